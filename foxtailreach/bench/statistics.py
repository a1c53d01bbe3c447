"""Statistics for the benchmarks and the demo."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile of unsorted values, or 0 without values."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def max_excess_over_limit(
    times_s: Iterable[float], rate: float, burst: float
) -> float:
    """Return the largest excess of any window over rate x time + burst.

    Simulates a token bucket that never refuses; its lowest level below zero
    is the excess of the worst window.
    """
    worst = -burst
    level = burst
    last_s: float | None = None
    for at_s in sorted(times_s):
        if last_s is not None:
            level = min(burst, level + (at_s - last_s) * rate)
        level -= 1
        worst = max(worst, -level)
        last_s = at_s
    return worst
