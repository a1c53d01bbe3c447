"""Decision core without sockets, clocks or logging.

Its classes take typed events and the current time, and return typed effects.
Times are integer microseconds of a monotonic clock; the random number
generator is passed in.
"""
