"""Repeatable benchmarks, most of them in virtual time."""
