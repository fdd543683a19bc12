"""Connections to targets, shared by all sessions of an instance."""
