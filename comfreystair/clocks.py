"""The clock that all ages and leases are counted by."""

import time


def read_clock() -> float:
    """Return seconds since boot, with the time spent suspended.

    Unlike the monotonic clock it goes on while the machine is suspended, and
    unlike the time of day it never jumps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
