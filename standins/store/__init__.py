"""A stand-in for the platform: its store and its list of instances."""
