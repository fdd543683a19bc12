"""Coordination between instances, through the store and peer messages."""
