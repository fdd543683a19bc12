"""Tests of comfreystair.sessions."""
