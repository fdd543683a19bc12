"""Tests of comfreystair.callers."""
