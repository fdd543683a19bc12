"""Decision logic as state machines without side effects.

The modules take typed events and return typed effects. They do no I/O, read no
clock and draw no random numbers. The caller passes times, in monotonic
seconds, and random values.
"""
