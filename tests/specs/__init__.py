"""Tests of the specs package."""
