"""A database proxy with session consistency, run by a manifest."""
