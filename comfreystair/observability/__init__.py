"""Logs, metrics and traces; each module loads its own library."""
