"""Keeps most of the sound targets of a service in use.

Load pattern: work concentrates on the few targets that answered well most
recently. When those turn bad, or hosts are lost with the requests under way,
over a tenth of the requests fails within a second, and operators ask that at
least 0.7 of the sound targets are in use during any 2 s of that kind. There
is no time to try others then, so they are tried all along, as few as will do
while all is well and more as soon as failures rise. Nobody can see which
targets are sound; each counts by the chance that it is.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core.dispatch.evidence import TargetRecord
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# Operators judge 2 s; a request takes up to 0.2 s until it is sent.
COVER_INTERVAL_US = 1800 * MILLISECOND_US
# The part of the sound targets that operators ask for.
FLOOR_SHARE = 0.7
# Which targets are sound is an estimate, and a worse one for a service with
# few targets. So this many standard errors are added for a share of requests
# that are not served: two at a tenth, where operators judge the floor.
MARGIN_PER_SHARE = 20
MIN_MARGIN = 0.5
MAX_MARGIN = 2.2
# Operators judge at a tenth; a rise is noticed here within a second.
FAILING_SHARE = 0.06
FAILING_WINDOW_US = 1500 * MILLISECOND_US
# One failure of fewer requests says little about the share.
MIN_REQUESTS = 8
# With fewer requests than this for each target the floor is out of reach, and
# trials would only spoil requests.
MIN_REQUESTS_PER_TARGET = 0.4
# A target that failed by itself counts as sound again after this time.
SOUND_AFTER_US = 2 * SECOND_US
# Nearly all bad spells have ended this long after a failure: they last 2.7 s
# on average in the measured deployments.
SPELL_END_US = 4 * SECOND_US
# Until the first trials have ended: 0.3 of the targets are bad at a time in
# the measured deployments.
FIRST_TRIAL_SUCCESS = 0.7
# The last twenty trials or so count.
TRIAL_GAIN = 0.05


@dataclass(slots=True, frozen=True)
class CoverDemand:
    """Whether most sound targets must be in use, and how surely.

    `margin` counts standard errors; `is_failing` if failures are many.
    `unknown_chance` is that of a target without fresh evidence to be sound.
    """

    is_needed: bool = False
    margin: float = 0
    unknown_chance: float = FIRST_TRIAL_SUCCESS**2
    is_failing: bool = False


@dataclass(slots=True, frozen=True)
class _Outcome:
    ended_us: int
    is_served: bool


class RecentOutcomes:
    """How the requests of the last seconds ended, refusals included."""

    __slots__ = ('_outcomes', '_trial_success')

    def __init__(self) -> None:
        """Start without requests."""
        self._outcomes: deque[_Outcome] = deque()
        self._trial_success = FIRST_TRIAL_SUCCESS

    def note(self, now_us: int, *, is_served: bool) -> None:
        """Count a request that was served or not."""
        self._outcomes.append(_Outcome(now_us, is_served))

    def note_trial(self, now_us: int, *, is_served: bool) -> None:
        """Learn how often targets without fresh evidence serve.

        A failed trial must not cause further ones.
        """
        self.note(now_us, is_served=True)
        change = is_served - self._trial_success
        self._trial_success += TRIAL_GAIN * change

    def demand(self, targets: int, now_us: int) -> CoverDemand:
        """Tell which part of a service's targets must be in use."""
        horizon_us = now_us - FAILING_WINDOW_US
        while self._outcomes and self._outcomes[0].ended_us < horizon_us:
            self._outcomes.popleft()
        count = len(self._outcomes)
        if count < MIN_REQUESTS_PER_TARGET * targets:
            return CoverDemand()
        unserved = sum(not outcome.is_served for outcome in self._outcomes)
        unserved_share = unserved / max(MIN_REQUESTS, count)
        margin = MARGIN_PER_SHARE * unserved_share
        return CoverDemand(
            is_needed=True,
            margin=min(MAX_MARGIN, max(MIN_MARGIN, margin)),
            # Sound targets are good now and were so a while ago.
            unknown_chance=self._trial_success**2,
            is_failing=unserved_share > FAILING_SHARE,
        )


def neglected_targets(
    records: Iterable[TargetRecord],
    demand: CoverDemand,
    now_us: int,
) -> list[TargetRecord]:
    """List the targets to use again, the likeliest to be sound first.

    Returns nothing while enough of the sound targets were used of late.
    """
    if not demand.is_needed:
        return []
    chances = [
        (sound_chance(record, demand, now_us), record)
        for record in records
        if record.is_open
    ]
    idle = [
        (chance, record)
        for chance, record in chances
        if chance and now_us - record.last_grant_us > COVER_INTERVAL_US
    ]
    total = sum(chance for chance, _ in chances)
    used = total - sum(chance for chance, _ in idle)
    if used >= _share(total, demand) * total:
        return []
    idle.sort(
        key=lambda pair: (pair[0], pair[1].served_us, -pair[1].failed_us),
        reverse=True,
    )
    return [record for _, record in idle]


def is_stale(record: TargetRecord, now_us: int) -> bool:
    """Whether a request to the target would be a trial."""
    is_good = record.served_us > record.failed_us
    return not is_good or now_us - record.served_us >= SOUND_AFTER_US


def sound_chance(
    record: TargetRecord,
    demand: CoverDemand,
    now_us: int,
) -> float:
    """Estimate the chance that a target has been sound for a while."""
    failed_age_us = now_us - record.failed_us
    if failed_age_us < SOUND_AFTER_US:
        return 0
    if not is_stale(record, now_us):
        return 1
    if record.served_us > record.failed_us:
        return demand.unknown_chance
    ended_share = (failed_age_us - SOUND_AFTER_US) / SPELL_END_US
    return min(1, ended_share) * demand.unknown_chance


def _share(sound: float, demand: CoverDemand) -> float:
    """Return the floor plus a margin for the error of the estimate."""
    error = math.sqrt(FLOOR_SHARE * (1 - FLOOR_SHARE) / max(1, sound))
    return min(1, FLOOR_SHARE + demand.margin * error)
