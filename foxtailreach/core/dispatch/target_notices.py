"""What the targets have told this host in their answers.

A target that is about to leave says so in its answers, and one that declines a
request may ask for a pause. Both bind this host at once and by themselves: also
while the platform's store is silent, while a broker cannot be reached or still
grants slots of the target, and while its entry says that it is ready.

A notice is about one process of a target. A later process with the same id, and
a target that has taken over the address, are not bound by it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from foxtailreach.core.dispatch.deployment import TargetSpec
from foxtailreach.core.units import SECOND_US

# A target that wants to be left alone for longer has to say so again.
MAX_PAUSE_US = 300 * SECOND_US
# An entry that expired in an outage of the store can return; no target serves
# this long after it has said that it leaves.
FORGET_AFTER_US = 600 * SECOND_US
MAX_NOTICES = 20_000
# Start of a process of which the platform does not know when it started.
UNKNOWN_START_MS = 0


class Incarnation(NamedTuple):
    """One process of a target."""

    target_id: str
    started_ms: int


@dataclass(slots=True, frozen=True)
class TargetNotice:
    """What a target says in an answer.

    It wants no requests for `pause_us` from then on; 0 if it asks for none.
    """

    is_leaving: bool = False
    pause_us: int = 0

    def __bool__(self) -> bool:
        """Whether the target says anything."""
        return self.is_leaving or self.pause_us > 0


NO_NOTICE = TargetNotice()


class TargetNotices:
    """The notices that bind this host, by process of a target."""

    __slots__ = ('_leaving', '_paused_until_us')

    def __init__(self) -> None:
        """Start without notices."""
        # When each process said that it leaves, the oldest first.
        self._leaving: dict[Incarnation, int] = {}
        self._paused_until_us: dict[Incarnation, int] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target has told this host anything."""
        return not self._leaving and not self._paused_until_us

    def record(
        self, incarnation: Incarnation, notice: TargetNotice, now_us: int
    ) -> None:
        """Record the notice in an answer of a target."""
        if notice.is_leaving:
            self._leaving.setdefault(incarnation, now_us)
            _drop_oldest(self._leaving)
        if notice.pause_us > 0:
            until_us = now_us + min(notice.pause_us, MAX_PAUSE_US)
            known_us = self._paused_until_us.pop(incarnation, 0)
            self._paused_until_us[incarnation] = max(known_us, until_us)
            _drop_oldest(self._paused_until_us)

    def current(self, incarnation: Incarnation, now_us: int) -> TargetNotice:
        """Return what binds this host now; the pause is what is left of it."""
        is_leaving = incarnation in self._leaving
        pause_us = self._paused_until_us.get(incarnation, 0) - now_us
        if is_leaving or pause_us > 0:
            return TargetNotice(is_leaving, max(0, pause_us))
        return NO_NOTICE

    def update_list(self, targets: Iterable[TargetSpec], now_us: int) -> None:
        """Forget notices of processes that are gone, by the list of targets.

        A process that is not listed may only have been lost from the list. If
        the platform does not know its start, it is taken for gone, since the
        next process could not be told from it.
        """
        listed = {
            Incarnation(target.target_id, target.started_ms)
            for target in targets
        }
        self._leaving = {
            incarnation: told_us
            for incarnation, told_us in self._leaving.items()
            if incarnation in listed
            or (
                incarnation.started_ms != UNKNOWN_START_MS
                and now_us - told_us < FORGET_AFTER_US
            )
        }
        self._paused_until_us = {
            incarnation: until_us
            for incarnation, until_us in self._paused_until_us.items()
            if until_us > now_us
        }


def _drop_oldest(entries: dict[Incarnation, int]) -> None:
    if len(entries) > MAX_NOTICES:
        entries.pop(next(iter(entries)))
