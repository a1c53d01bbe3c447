"""Corrects the expected wait of new requests by what became of earlier ones.

Load pattern: requests that arrive later overtake a waiting one, because their
customers have used fewer slots or because it has become late. Its wait is then
longer than the work ahead on its arrival shows, and its refusal comes late. So
the estimate is multiplied by a margin, which each late refusal raises and each
request that got its slot lowers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from foxtailreach.core.units import SECOND_US

# In balance, about one in 14 requests that waited is refused late.
MARGIN_PER_REFUSAL = 1.5
MARGIN_PER_GRANT = 0.97
MAX_MARGIN = 16
# While all requests are refused on arrival, nothing lowers the margin. So it
# falls by itself, and some requests are admitted.
DECAY_US = 2 * SECOND_US
# A margin has fallen to 1 after this time at the latest.
FORGET_AFTER_US = 10 * SECOND_US

# Whether requests are surplus to a limit, their priority and customer.
MarginKey = tuple[bool, int, str]


@dataclass(slots=True, frozen=True)
class _Margin:
    factor: float
    changed_us: int

    def current(self, now_us: int) -> float:
        elapsed_us = max(0, now_us - self.changed_us)
        return 1 + (self.factor - 1) * math.exp(-elapsed_us / DECAY_US)


class AdmissionMargins:
    """The margins of the requests of one service."""

    __slots__ = ('_margins',)

    def __init__(self) -> None:
        """Create margins of 1."""
        # Those that have not changed for longest come first.
        self._margins: dict[MarginKey, _Margin] = {}

    def factor(self, key: MarginKey, now_us: int) -> float:
        """Return the factor on the expected wait of a new request."""
        known = self._margins.get(key)
        return 1 if known is None else known.current(now_us)

    def record_granted(self, key: MarginKey, now_us: int) -> None:
        """Record that a waiting request got its slot."""
        if key in self._margins:
            self._set(key, self.factor(key, now_us) * MARGIN_PER_GRANT, now_us)

    def record_refused(self, key: MarginKey, now_us: int) -> None:
        """Record that a waiting request was refused."""
        self._set(key, self.factor(key, now_us) * MARGIN_PER_REFUSAL, now_us)

    def forget(self, now_us: int) -> None:
        """Drop the margins that have fallen to 1."""
        for key, known in list(self._margins.items()):
            if now_us - known.changed_us < FORGET_AFTER_US:
                return
            self._margins.pop(key)

    def _set(self, key: MarginKey, factor: float, now_us: int) -> None:
        self._margins.pop(key, None)
        bounded = min(MAX_MARGIN, max(1, factor))
        self._margins[key] = _Margin(bounded, now_us)
