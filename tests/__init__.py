"""Tests of comfreystair; they mirror the package."""
