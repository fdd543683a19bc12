"""Tests of comfreystair.filters."""
