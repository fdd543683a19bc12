"""The clock by which all ages and leases are measured."""

import time


def read_clock() -> float:
    """Return the seconds since boot, including time spent suspended.

    Unlike the monotonic clock, it advances while the machine is suspended.
    Unlike the time of day, it never jumps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
