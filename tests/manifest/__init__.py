"""Tests of the manifest package."""
