"""A randomized fault soak of entry instances on the stand-in platform."""
