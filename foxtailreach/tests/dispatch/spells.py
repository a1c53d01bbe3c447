"""Replays a service whose targets fail most requests for seconds at a time.

The bench that operators use draws targets in the same way: each is good and
bad by turns, and its health check is good all along.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import RequestKind
from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.units import SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    START_US,
    Spells,
    create_broker,
    grants,
    slot_report,
    slot_request,
)

# Share of requests that fail at good targets.
RANDOM_ERRORS = 0.012
# The floor binds windows of this length, in which more than a tenth and less
# than half of the requests is not served.
WINDOW_S = 2.0
WINDOW_STEP_S = 0.5
FLOOR_SHARE = 0.7
UNSERVED_MIN = 0.1
UNSERVED_MAX = 0.5
# Before this moment nothing is proven yet.
SETTLED_S = 8.0


@dataclass(slots=True, frozen=True)
class SpellLoad:
    """Targets with their spells, and the requests sent to them."""

    targets: int = 19
    slots: int = 2
    requests_per_s: float = 25
    good_s: float = 6.3
    bad_s: float = 2.7
    failing_share: float = 0.85
    mean_ms: int = 220
    requests: int = 5000
    is_repeatable: bool = False


@dataclass(slots=True, frozen=True)
class Send:
    """One request as a target saw it."""

    at_s: float
    target: int
    is_failed: bool


@dataclass(slots=True)
class SpellReplay:
    """What became of the requests, and when each target was bad."""

    load: SpellLoad
    bad_times: list[list[tuple[float, float]]]
    sends: list[Send] = field(default_factory=list)

    def failed_share(self) -> float:
        """Return the share of sends that failed."""
        return sum(send.is_failed for send in self.sends) / len(self.sends)

    def floor_breaks(self, judged: int) -> float:
        """Return the share of windows in which the floor is broken.

        At most `judged` of the sound targets count; the others were disturbed
        in some other way.
        """
        rng = random.Random(judged)
        windows = breaks = 0
        end_s = SETTLED_S
        while end_s < self.sends[-1].at_s:
            windows += 1
            breaks += self._breaks_floor(end_s, judged, rng)
            end_s += WINDOW_STEP_S
        return breaks / windows

    def _breaks_floor(
        self,
        end_s: float,
        judged: int,
        rng: random.Random,
    ) -> bool:
        window = [
            send for send in self.sends if end_s - WINDOW_S <= send.at_s < end_s
        ]
        sound = [
            index
            for index, times in enumerate(self.bad_times)
            if not any(
                low < end_s and high > end_s - 2 * WINDOW_S
                for low, high in times
            )
        ]
        if not window or not sound:
            return False
        sound = rng.sample(sound, min(judged, len(sound)))
        used = {send.target for send in window}
        used_share = sum(index in used for index in sound) / len(sound)
        failed_share = sum(send.is_failed for send in window) / len(window)
        is_judged = UNSERVED_MIN < failed_share < UNSERVED_MAX
        return is_judged and 0 < used_share < FLOOR_SHARE


def replay(load: SpellLoad, seed: int) -> SpellReplay:
    """Send the load through a broker in virtual time."""
    rng = random.Random(seed)
    horizon_s = 1.2 * load.requests / load.requests_per_s
    spells = Spells(load.good_s, load.bad_s, rng, horizon_s)
    result = SpellReplay(load, spells.draw(load.targets))
    broker = create_broker(load.targets, slots=load.slots)
    ends: list[tuple[int, int, messages.SlotReport]] = []
    asked = 0
    now_us = next_us = START_US
    kind = RequestKind.AT_MOST_ONCE
    if load.is_repeatable:
        kind = RequestKind.IDEMPOTENT
    while asked < load.requests:
        if ends and ends[0][0] <= next_us:
            now_us, _, report = heapq.heappop(ends)
            step = broker.report('h1', report, now_us)
        else:
            now_us = next_us
            asked += 1
            request = slot_request(
                asked,
                kind=kind,
                may_repeat=load.is_repeatable,
            )
            step = broker.ask('h1', 'd1', request, now_us)
            pause_s = rng.expovariate(load.requests_per_s)
            next_us += int(pause_s * SECOND_US)
        step += broker.tick(now_us)
        for grant in grants(step):
            ended = _run(result, grant, now_us, rng)
            heapq.heappush(ends, ended)
    return result


def _run(
    result: SpellReplay,
    grant: messages.SlotGrant,
    now_us: int,
    rng: random.Random,
) -> tuple[int, int, messages.SlotReport]:
    """Draw the outcome of one request; return its end and report."""
    load = result.load
    at_s = (now_us - START_US) / SECOND_US
    target = int(grant.target_id[1:])
    is_bad = any(low <= at_s < high for low, high in result.bad_times[target])
    failing_share = load.failing_share if is_bad else RANDOM_ERRORS
    is_failed = rng.random() < failing_share
    spent_us = 1000
    if not is_failed:
        spent_us = int(rng.gammavariate(4, load.mean_ms * 1000 / 4))
    result.sends.append(Send(at_s, target, is_failed))
    outcome = SendOutcome.FAILED if is_failed else SendOutcome.SERVED
    report = slot_report(grant, outcome, spent_us)
    return now_us + spent_us, grant.ask_id, report
