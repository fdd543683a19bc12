"""What instances keep in the store and tell each other."""
