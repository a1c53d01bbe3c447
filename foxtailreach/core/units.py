"""Units of time used by the core (microseconds)."""

from __future__ import annotations

from typing import Final

MILLISECOND_US: Final = 1000
SECOND_US: Final = 1_000_000
MINUTE_US: Final = 60_000_000
