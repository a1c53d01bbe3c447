"""Tracks how long ago this host's configuration was known to be the newest.

Load pattern: operators bound the time from the store's acknowledgement of a
change until every host uses it. A host normally learns of changes from the
reader of its failure domain, which may be lost, cut off or unable to read. So
each host knows until when it has heard of all changes; once that is too long
ago, it asks other hosts, and then the store itself.
"""

from __future__ import annotations

import enum

from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# Operators' bound for a change, of the strictest deployment.
APPLY_BOUND_US = 2 * SECOND_US
# Readers confirm their copy every 0.7 s, so that one notice was missed.
ASK_PEER_AFTER_US = 1000 * MILLISECOND_US
# Coordinators read first, so that the other hosts can copy their state.
COORDINATOR_READ_AFTER_US = 1200 * MILLISECOND_US
READ_AFTER_US = 1400 * MILLISECOND_US
# The pause between questions to peers grows while none has newer state.
MIN_ASK_INTERVAL_US = 250 * MILLISECOND_US
MAX_ASK_INTERVAL_US = SECOND_US
ASK_BACKOFF = 1.5
# A host that got an answer from a peer does not read the store by itself.
PEER_ANSWER_VALID_US = 1200 * MILLISECOND_US
READ_RETRY_INTERVAL_US = 2 * SECOND_US


class FreshnessStep(enum.Enum):
    """What a host does about the age of its configuration."""

    NONE = 'none'
    ASK_PEER = 'ask-peer'
    READ_STORE = 'read-store'


class Freshness:
    """Time until which this host knows of all changes, and its questions.

    `confirmed_us` is 0 until the first confirmation.
    """

    __slots__ = (
        '_ask_interval_us',
        '_last_answer_us',
        '_last_ask_us',
        '_last_read_us',
        '_started_us',
        'confirmed_us',
    )

    def __init__(self) -> None:
        """Start without a confirmation; see `start`."""
        self.confirmed_us = 0
        self._started_us = 0
        self._last_ask_us = 0
        self._last_answer_us = 0
        self._last_read_us = 0
        self._ask_interval_us = MIN_ASK_INTERVAL_US

    def start(self, now_us: int) -> None:
        """Measure the wait for the first confirmation from now on."""
        self._started_us = now_us

    def confirm(self, at_us: int) -> None:
        """Record that this host knows of all changes until `at_us`."""
        if at_us > self.confirmed_us:
            self.confirmed_us = at_us
            self._ask_interval_us = MIN_ASK_INTERVAL_US

    def age_us(self, now_us: int) -> int:
        """Return the time since the last confirmation; -1 without one."""
        return now_us - self.confirmed_us if self.confirmed_us else -1

    def record_answer(self, now_us: int) -> None:
        """Record that a peer has answered a question."""
        self._last_answer_us = now_us

    def next_step(self, now_us: int, *, is_coordinator: bool) -> FreshnessStep:
        """Return what to do now, and count it as done."""
        age_us = now_us - (self.confirmed_us or self._started_us)
        if self._must_read(age_us, now_us, is_coordinator=is_coordinator):
            self._last_read_us = now_us
            return FreshnessStep.READ_STORE
        if age_us < ASK_PEER_AFTER_US:
            return FreshnessStep.NONE
        if now_us - self._last_ask_us < self._ask_interval_us:
            return FreshnessStep.NONE
        if self._last_ask_us > self.confirmed_us:
            self._ask_interval_us = min(
                int(ASK_BACKOFF * self._ask_interval_us), MAX_ASK_INTERVAL_US
            )
        self._last_ask_us = now_us
        return FreshnessStep.ASK_PEER

    def _must_read(
        self, age_us: int, now_us: int, *, is_coordinator: bool
    ) -> bool:
        has_failed = self._last_read_us > self.confirmed_us
        if has_failed and now_us - self._last_read_us < READ_RETRY_INTERVAL_US:
            return False
        if is_coordinator:
            return age_us >= COORDINATOR_READ_AFTER_US
        if now_us - self._last_answer_us < PEER_ANSWER_VALID_US:
            return False
        return age_us >= READ_AFTER_US
