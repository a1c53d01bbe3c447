"""Decision core without sockets, clocks or logging.

Typed events and the time go in, typed effects come out. Times are integer
microseconds of a monotonic clock; random numbers are injected.
"""
