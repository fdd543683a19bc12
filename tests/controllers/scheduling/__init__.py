"""Tests of the controllers of scheduling."""
