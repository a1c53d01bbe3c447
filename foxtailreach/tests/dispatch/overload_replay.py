"""Replays a service with more requests than slots, in virtual time.

Request types are those of deployment P in docs/design/competing-load.md. One
customer of five sends eight times as much as each of the others.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.messages import SendOutcome
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.tests.dispatch.fixtures import (
    START_US,
    FailurePeriods,
    create_broker,
    grants,
    refusals,
    slot_report,
    slot_request,
)

TARGETS = 10
SLOTS = 2
CUSTOMERS = ('busy', 'c1', 'c2', 'c3', 'c4')
CUSTOMER_WEIGHTS = (8, 1, 1, 1, 1)
# A caller that does not wait retries after this time, so many times.
EAGER_RETRY_US = 50 * MILLISECOND_US
EAGER_RETRIES = 10
PATIENCE_SHARE = 1 / 3
# A failing target fails this share of its requests, after this time.
FAILING_SHARE = 0.85
FAILURE_US = 5 * MILLISECOND_US
TICK_US = 100 * MILLISECOND_US


@dataclass(slots=True, frozen=True)
class RequestType:
    """One type of requests; `weight` is its share of all requests."""

    priority: int
    work_ms: int
    objective_ms: int
    deadline_ms: int
    value: float
    late_value: float
    weight: float


TYPES = (
    RequestType(0, 64, 579, 3436, 3.3, 0.66, 0.4),
    RequestType(1, 160, 1094, 6564, 1.7, 0.87, 0.4),
    RequestType(2, 195, 3234, 10721, 0.87, 0.65, 0.2),
)
MEAN_WORK_MS = sum(kind.work_ms * kind.weight for kind in TYPES)
CAPACITY_PER_S = 1000 * TARGETS * SLOTS / MEAN_WORK_MS


@dataclass(slots=True, frozen=True)
class Overload:
    """`load` is relative to the capacity; eager callers do not wait.

    With failures, each target fails 85% of its requests during 30% of the time.
    """

    load: float
    eager_share: float = 0
    eager_customer: str = ''
    has_failures: bool = False
    is_first_come: bool = False
    duration_s: int = 12


@dataclass(slots=True, eq=False)
class Call:
    """A caller's request with all its sends."""

    kind: RequestType
    customer: str
    started_us: int
    is_eager: bool
    sends: int = 0
    ended_us: int = 0
    is_served: bool = False
    first_refused_us: int = 0

    @property
    def deadline_us(self) -> int:
        """When the caller leaves."""
        return self.started_us + self.kind.deadline_ms * MILLISECOND_US

    @property
    def value(self) -> float:
        """What the response was worth."""
        if not self.is_served:
            return 0
        latency_ms = (self.ended_us - self.started_us) // MILLISECOND_US
        is_late = latency_ms > self.kind.objective_ms
        return self.kind.late_value if is_late else self.kind.value


@dataclass(slots=True)
class OverloadReplay:
    """A broker, its callers, and the events to come."""

    overload: Overload
    seed: int
    calls: list[Call] = field(default_factory=list)
    returns_per_s: Counter[int] = field(default_factory=Counter)
    retry_after_us: list[int] = field(default_factory=list)
    _failures: list[list[tuple[float, float]]] = field(
        default_factory=lambda: [[] for _ in range(TARGETS)]
    )

    def run(self) -> OverloadReplay:
        """Send all requests and wait for their ends."""
        rng = random.Random(self.seed)
        broker = create_broker(TARGETS, slots=SLOTS)
        if self.overload.has_failures:
            horizon_s = self.overload.duration_s + 11
            periods = FailurePeriods(6.3, 2.7, random.Random(1), horizon_s)
            self._failures = periods.draw(TARGETS)
        numbers = itertools.count(1)
        sent: dict[int, Call] = {}
        events: list[tuple[int, int, Call | messages.SlotReport | None]] = []
        for at_us, call in self._draw_calls(rng):
            heapq.heappush(events, (at_us, next(numbers), call))
        end_us = START_US + (self.overload.duration_s + 11) * SECOND_US
        for at_us in range(START_US, end_us, TICK_US):
            heapq.heappush(events, (at_us, next(numbers), None))
        while events:
            now_us, _, event = heapq.heappop(events)
            match event:
                case None:
                    new_effects = broker.tick(now_us)
                case Call():
                    ask_id = next(numbers)
                    sent[ask_id] = event
                    event.sends += 1
                    request = self._request(event, ask_id, now_us)
                    new_effects = broker.request_slot(
                        'h1', 'd1', request, now_us
                    )
                case _:
                    call = sent[event.ask_id]
                    call.ended_us = now_us
                    is_served = event.outcome is SendOutcome.SERVED
                    call.is_served = is_served and now_us <= call.deadline_us
                    new_effects = broker.report('h1', event, now_us)
            for grant in grants(new_effects):
                report = self._report(sent[grant.ask_id], grant, now_us, rng)
                ended = (now_us + report.latency_us, next(numbers), report)
                heapq.heappush(events, ended)
            for refusal in refusals(new_effects):
                call = sent[refusal.ask_id]
                at_us = self._next_send_us(call, refusal, now_us)
                if at_us:
                    heapq.heappush(events, (at_us, next(numbers), call))
        return self

    def earned(self, **chosen: object) -> float:
        """Return the share of the value of some calls that was earned."""
        calls = self._select(chosen)
        offered = sum(call.kind.value for call in calls)
        return sum(call.value for call in calls) / offered

    def served(self, **chosen: object) -> float:
        """Return the share of some calls that was served."""
        calls = self._select(chosen)
        return sum(call.is_served for call in calls) / len(calls)

    def refused_late(self) -> float:
        """Return the share of calls whose first refusal came too late.

        That is after an eighth of the objective.
        """
        return sum(
            call.first_refused_us - call.started_us
            > call.kind.objective_ms * MILLISECOND_US / 8
            for call in self.calls
        ) / len(self.calls)

    def _select(self, chosen: dict[str, object]) -> list[Call]:
        customers = chosen.get('customers', CUSTOMERS)
        priority = chosen.get('priority')
        assert isinstance(customers, tuple)
        return [
            call
            for call in self.calls
            if call.customer in customers
            and (priority is None or call.kind.priority == priority)
        ]

    def _draw_calls(self, rng: random.Random) -> list[tuple[int, Call]]:
        at_us = START_US
        end_us = START_US + self.overload.duration_s * SECOND_US
        rate_per_s = self.overload.load * CAPACITY_PER_S
        while at_us < end_us:
            at_us += int(rng.expovariate(rate_per_s) * SECOND_US)
            weights = [kind.weight for kind in TYPES]
            call = Call(
                kind=rng.choices(TYPES, weights)[0],
                customer=rng.choices(CUSTOMERS, CUSTOMER_WEIGHTS)[0],
                started_us=at_us,
                is_eager=rng.random() < self.overload.eager_share,
            )
            if call.customer == self.overload.eager_customer:
                call.is_eager = True
            self.calls.append(call)
        return [(call.started_us, call) for call in self.calls]

    def _request(
        self, call: Call, ask_id: int, now_us: int
    ) -> messages.SlotRequest:
        spent_us = now_us - call.started_us
        request = slot_request(
            ask_id,
            priority=call.kind.priority,
            customer=call.customer,
            time_left_us=call.deadline_us - now_us,
            objective_left_us=(
                call.kind.objective_ms * MILLISECOND_US - spent_us
            ),
        )
        if self.overload.is_first_come:
            return replace(
                request,
                priority=1,
                customer='',
                objective_left_us=3600 * SECOND_US,
            )
        return request

    def _report(
        self,
        call: Call,
        grant: messages.SlotGrant,
        now_us: int,
        rng: random.Random,
    ) -> messages.SlotReport:
        at_s = (now_us - START_US) / SECOND_US
        is_failing = any(
            start_s <= at_s < stop_s
            for start_s, stop_s in self._failures[int(grant.target_id[1:])]
        )
        if is_failing and rng.random() < FAILING_SHARE:
            return slot_report(grant, SendOutcome.FAILED, FAILURE_US)
        mean_us = call.kind.work_ms * MILLISECOND_US
        latency_us = int(mean_us * rng.uniform(0.7, 1.3))
        return slot_report(grant, latency_us=latency_us)

    def _next_send_us(
        self, call: Call, refusal: messages.SlotRefused, now_us: int
    ) -> int:
        """Return when the caller sends again; 0 if it gives up."""
        call.first_refused_us = call.first_refused_us or now_us
        left_us = call.deadline_us - now_us
        self.retry_after_us.append(refusal.retry_after_us)
        if call.is_eager:
            may_send = call.sends <= EAGER_RETRIES and left_us > EAGER_RETRY_US
            return now_us + EAGER_RETRY_US if may_send else 0
        if refusal.retry_after_us > left_us * PATIENCE_SHARE:
            return 0
        at_us = now_us + refusal.retry_after_us
        self.returns_per_s[at_us // SECOND_US] += 1
        return at_us


def describe(overload: Overload, seed: int = 1) -> str:
    """Return a row of the table of who bears the cost."""
    callers = 'a third' if overload.eager_share else 'none'
    failing = '30%' if overload.has_failures else 'none'
    cells = [f'{overload.load:g}', callers, failing]
    results = [
        OverloadReplay(
            replace(overload, is_first_come=is_first_come), seed
        ).run()
        for is_first_come in (True, False)
    ]
    for kind in TYPES:
        cells.append(
            ' / '.join(
                f'{result.earned(priority=kind.priority):.2f}'
                for result in results
            ),
        )
    for customers in (CUSTOMERS[:1], CUSTOMERS[1:]):
        cells.append(
            ' / '.join(
                f'{result.served(customers=customers):.2f}'
                for result in results
            ),
        )
    cells.append(' / '.join(f'{result.earned():.2f}' for result in results))
    cells.append(
        ' / '.join(f'{result.refused_late():.2f}' for result in results)
    )
    return f'| {" | ".join(cells)} |'


def print_table() -> None:
    """Print the table of docs/design/waiting.md."""
    loads = (0.8, 1.2, 2, 4)
    for has_failures in (False, True):
        for eager_share, load in itertools.product((0, 1 / 3), loads):
            overload = Overload(load, eager_share, has_failures=has_failures)
            print(describe(overload), flush=True)


if __name__ == '__main__':
    print_table()
