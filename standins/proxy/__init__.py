"""A TCP proxy that injects faults between chosen addresses."""
