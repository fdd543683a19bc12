"""Tests of comfreystair.platform."""
