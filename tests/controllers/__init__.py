"""Tests of the controllers package."""
