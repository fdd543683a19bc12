"""Decisions on connections to targets, and on retries."""
