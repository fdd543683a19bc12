"""Pools of connections to targets, shared by an instance's sessions."""
