"""Tests of comfreystair.coordination."""
