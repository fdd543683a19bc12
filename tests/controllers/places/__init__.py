"""Decisions about where in the fleet a request may run."""
