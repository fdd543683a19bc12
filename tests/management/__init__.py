"""Tests of the management package."""
