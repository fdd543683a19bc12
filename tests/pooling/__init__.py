"""Tests of comfreystair.pooling."""
