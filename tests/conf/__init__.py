"""Tests of the conf package."""
