"""Callers' sessions, independent of the protocol."""
