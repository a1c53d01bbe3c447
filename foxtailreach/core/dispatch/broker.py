"""The broker of one service.

Leases the slots of the service's targets to requests, and tracks the health
of each target by the outcomes that hosts report.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from foxtailreach.core.crashes import CrashTracker
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.ages import age_us, timestamp_us
from foxtailreach.core.dispatch.budgets import RetryBudget, RetryPolicy
from foxtailreach.core.dispatch.cover import (
    CoverageDemand,
    RecentOutcomes,
    has_failed_last,
    lacks_fresh_evidence,
)
from foxtailreach.core.dispatch.deployment import ServiceSpec, TargetSpec
from foxtailreach.core.dispatch.messages import RefusalCause, SendOutcome
from foxtailreach.core.dispatch.mirror import NO_VERSION
from foxtailreach.core.dispatch.passed_over import PassedOver
from foxtailreach.core.dispatch.placement import (
    PlacementRequest,
    PlacementState,
    choose_target,
    has_target_by_evidence,
)
from foxtailreach.core.dispatch.pool_messages import newest_crashes
from foxtailreach.core.dispatch.pools import Pool
from foxtailreach.core.dispatch.refusals import (
    OverloadInputs,
    Refusals,
    accept_requests,
    count_room,
    has_free_slot,
    pause_left_us,
)
from foxtailreach.core.dispatch.request_costs import (
    DEFAULT_SERVICE_TIME_US,
    CostEstimate,
    RequestCosts,
)
from foxtailreach.core.dispatch.tail_rule import TailRule
from foxtailreach.core.dispatch.target_load import overdue_after_us
from foxtailreach.core.dispatch.target_notices import TargetNotice
from foxtailreach.core.dispatch.target_record import (
    TargetRecord,
    TargetStatus,
)
from foxtailreach.core.dispatch.wait_queue import WaitQueue
from foxtailreach.core.dispatch.waiter import Waiter
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# A lease expires this long after the request's deadline.
LEASE_GRACE_US = SECOND_US
# A fingerprint is quarantined after it crashed this many distinct targets.
# Connection resets with another cause rarely hit the same request this often.
CRASHES_TO_QUARANTINE = 3
CRASH_WINDOW_US = 60 * SECOND_US
QUARANTINE_RETRY_AFTER_US = 30 * SECOND_US
# Hosts are asked at this interval whether they hold overdue slots.
SLOT_CHECK_INTERVAL_US = 400 * MILLISECOND_US
# Copies of a message arrive within this time.
REMEMBER_ENDED_US = 2 * SECOND_US

# Host id and `ask_id` of the request that holds a slot.
Holder = tuple[str, int]
# Messages that one call of the state machine produces.
Effects = list[messages.SendHost]

_INCONCLUSIVE_OUTCOMES = frozenset(
    (SendOutcome.ABANDONED, SendOutcome.SHED, SendOutcome.WITHHELD)
)
# Outcomes that say nothing of a target's health if it leaves or pauses.
_UNSERVED_BY_NOTICE = frozenset((SendOutcome.SHED, SendOutcome.WITHHELD))
_FAILED_OUTCOMES = frozenset(
    (
        SendOutcome.FAILED,
        SendOutcome.LOST,
        SendOutcome.TIMED_OUT,
        SendOutcome.UNREACHABLE,
        SendOutcome.MISDIRECTED,
    ),
)


@dataclass(slots=True, frozen=True)
class Standing:
    """How a broker's host stands among the brokers of its service.

    `is_sole`: it ranks first and is in contact with others, so that none of
    them brokers. `is_settled`: none can have brokered in the window of the
    retry budget.
    """

    is_sole: bool
    is_settled: bool


@dataclass(slots=True, frozen=True)
class Lease:
    """A granted slot.

    `is_probe` if its target had no fresh evidence, `is_after_failure` if that
    had failed last, `is_repeat` if the slot is for a retry.
    """

    grant: messages.SlotGrant
    granted_us: int
    expires_us: int
    is_probe: bool
    is_after_failure: bool
    is_repeat: bool


@dataclass(slots=True, frozen=True)
class EndedRequest:
    """When a request was reported or withdrawn, and whether reported."""

    ended_us: int
    is_reported: bool


# The types of the immutable objects that a broker keeps many of.
IMMUTABLE_TYPES: tuple[type, ...] = (
    CostEstimate,
    EndedRequest,
    Lease,
    ServiceSpec,
    TargetSpec,
    messages.SlotRequest,
)


class Broker:
    """State machine that grants the slots of one service's targets."""

    __slots__ = (
        '_ended',
        '_last_check_us',
        '_leases',
        '_outcomes',
        '_placement',
        '_pool',
        '_pools',
        '_queue',
        '_retry_budget',
        '_spec',
        '_state_version',
        'crashes',
        'costs',
        'records',
        'refusals',
        'tail_rule',
    )

    def __init__(
        self,
        spec: ServiceSpec,
        policy: RetryPolicy,
        rng: random.Random,
        now_us: int,
        *,
        pool: Pool | None = None,
        pools: int = 1,
        prefers_own_domain: bool = False,
    ) -> None:
        """Create a broker without targets; `update_targets` adds them.

        Its targets are those of `pool`, by default all of the service, which
        has `pools` in all.
        """
        self._pool = pool or Pool(spec.name)
        self._pools = pools
        self.records: dict[str, TargetRecord] = {}
        self._spec = spec
        self._state_version = NO_VERSION
        self._queue = WaitQueue(now_us)
        self.refusals = Refusals(rng)
        self._retry_budget = RetryBudget(policy)
        self.costs = RequestCosts()
        self.tail_rule = TailRule()
        self._placement = PlacementState(
            now_us,
            DEFAULT_SERVICE_TIME_US,
            prefers_own_domain=prefers_own_domain,
        )
        self._outcomes = RecentOutcomes(now_us)
        self._leases: dict[Holder, Lease] = {}
        self._last_check_us = now_us
        # Requests that were reported or withdrawn, the oldest first.
        self._ended: dict[Holder, EndedRequest] = {}
        self.crashes = CrashTracker(CRASHES_TO_QUARANTINE, CRASH_WINDOW_US)

    def set_standing(self, standing: Standing) -> None:
        """Set how this host stands among the brokers of the service."""
        self._placement.is_sole = standing.is_sole
        self._retry_budget.has_slack = standing.is_settled

    @property
    def service_time_us(self) -> int:
        """Mean service time of the recent answers."""
        return int(self.costs.service_mean_us)

    @property
    def queue_length(self) -> int:
        """Count the requests that wait for a slot."""
        return len(self._queue)

    def is_decided(self, host_id: str, ask_id: int) -> bool:
        """Tell whether a request has a slot, or has been ended."""
        holder = (host_id, ask_id)
        return holder in self._leases or holder in self._ended

    def finds_target(
        self,
        host_id: str,
        domain: str,
        request: messages.SlotRequest,
        now_us: int,
    ) -> bool:
        """Tell whether a request would get a target without the last resort.

        It would not while others wait.
        """
        if self._queue or pause_left_us(self.records.values(), now_us):
            return False
        placement_request, state = self.placement_inputs(
            host_id, domain, request, now_us
        )
        return has_target_by_evidence(
            self.records.values(), placement_request, state, now_us
        )

    def placement_inputs(
        self,
        host_id: str,
        domain: str,
        request: messages.SlotRequest,
        now_us: int,
    ) -> tuple[PlacementRequest, PlacementState]:
        """Return what the target of a new request is chosen by."""
        waiter = self._queue.prepare(
            host_id, domain, request, self.costs.expected_us(request), now_us
        )
        self._update_placement(now_us)
        return self._placement_request(waiter, now_us), self._placement

    def expected_wait(
        self, host_id: str, ask_id: int, now_us: int
    ) -> OverloadInputs | None:
        """Estimate what a queued request waits for; None if there is none."""
        for waiter in self._queue.ordered(now_us):
            known = (waiter.host_id, waiter.slot_request.ask_id)
            if known == (host_id, ask_id):
                room = self._room(now_us)
                return OverloadInputs.from_queue(
                    self._queue, waiter, room, now_us
                )
        return None

    @property
    def queued_work_us(self) -> int:
        """Return the expected service time of the requests that wait."""
        return self._queue.work_us

    def coverage(self, now_us: int) -> CoverageDemand:
        """Return the present demand for coverage of the targets."""
        demand = self._outcomes.demand(len(self.records), now_us)
        return (
            replace(demand, pools=self._pools) if demand.is_needed else demand
        )

    def update_targets(
        self,
        spec: ServiceSpec,
        targets: Iterable[TargetSpec],
        evacuated: frozenset[str],
        now_us: int,
        state_version: int = NO_VERSION,
    ) -> Effects:
        """Replace the targets; those in evacuated domains get no requests.

        A target whose domain returns to service warms up again.
        """
        self._spec = spec
        self._state_version = state_version
        listed = {target.target_id: target for target in targets}
        for removed_id in self.records.keys() - listed.keys():
            self.records.pop(removed_id)
            self.costs.forget_target(removed_id)
        for target_id, target in listed.items():
            record = self.records.get(target_id)
            if record is None:
                record = TargetRecord(target, spec, now_us)
                self.records[target_id] = record
            record.update(target, now_us)
            was_evacuated = record.is_evacuated
            record.is_evacuated = target.domain in evacuated
            if was_evacuated and not record.is_evacuated:
                record.start_warm_up(now_us, spec.warm_up_us)
        return self._serve_queue(now_us)

    def request_slot(
        self,
        host_id: str,
        domain: str,
        request: messages.SlotRequest,
        now_us: int,
    ) -> Effects:
        """Grant a slot, queue the request, or refuse it.

        A request that is sent again gets the same answer.
        """
        holder = (host_id, request.ask_id)
        known = self._leases.get(holder)
        if known is not None:
            return [messages.SendHost(host_id, known.grant)]
        if holder in self._queue:
            return [_queued_reply(host_id, request, self.service_time_us)]
        if holder in self._ended:
            # A late copy of a message must not take another slot.
            return []
        if self.crashes.is_quarantined(request.fingerprint):
            return [
                self.refusals.refuse(
                    host_id,
                    request,
                    RefusalCause.QUARANTINED,
                    QUARANTINE_RETRY_AFTER_US,
                ),
            ]
        if request.is_repeat and not self._retry_budget.allows_retry(
            now_us, self._queue.count_retries()
        ):
            cause = RefusalCause.REPEAT_BUDGET
            wait_us = self.service_time_us
            return [self.refusals.refuse(host_id, request, cause, wait_us)]
        return self._admit(host_id, domain, request, now_us)

    def report(
        self,
        host_id: str,
        report: messages.SlotReport,
        now_us: int,
    ) -> Effects:
        """Release the slot of a request and record its outcome.

        A second copy of the report changes nothing.
        """
        holder = (host_id, report.ask_id)
        if holder in self._ended and self._ended[holder].is_reported:
            return []
        lease = self._leases.pop(holder, None)
        self._queue.finish(holder, now_us)
        self._ended[holder] = EndedRequest(now_us, is_reported=True)
        record = self.records.get(report.target_id)
        if record is not None:
            record.release(holder)
            if record.spec.started_ms == report.started_ms:
                self._apply_report(record, host_id, report, now_us)
        is_sent = report.outcome is not SendOutcome.WITHHELD
        if lease is not None and is_sent and not lease.is_repeat:
            self._retry_budget.record_first_send(now_us)
        if lease is not None and lease.is_repeat and not is_sent:
            self._retry_budget.withdraw_retry(lease.granted_us)
        if report.outcome not in _INCONCLUSIVE_OUTCOMES:
            is_served = report.outcome not in _FAILED_OUTCOMES
            if lease is not None and lease.is_probe:
                self._outcomes.record_probe(
                    now_us,
                    is_served=is_served,
                    is_after_failure=lease.is_after_failure,
                )
            else:
                self._outcomes.record_request(now_us, is_served=is_served)
        return self._serve_queue(now_us)

    def cancel(self, host_id: str, ask_id: int, now_us: int) -> Effects:
        """Remove a request from the queue or release its slot."""
        self._queue.remove(host_id, ask_id, now_us)
        holder = (host_id, ask_id)
        if holder not in self._ended:
            self._ended[holder] = EndedRequest(now_us, is_reported=False)
        self._release(host_id, ask_id, now_us)
        return self._serve_queue(now_us)

    def oldest_grants(self) -> dict[str, int]:
        """Return the time of the oldest grant of each host with slots."""
        oldest_us: dict[str, int] = {}
        for (host_id, _), lease in self._leases.items():
            known_us = oldest_us.get(host_id, lease.granted_us)
            oldest_us[host_id] = min(known_us, lease.granted_us)
        return oldest_us

    def host_lost(self, host_id: str, now_us: int) -> Effects:
        """Release all slots that a lost host held.

        Its requests in flight count as not served.
        """
        holders = [holder for holder in self._leases if holder[0] == host_id]
        for holder in holders:
            self._release(*holder, now_us)
            self._outcomes.record_request(now_us, is_served=False)
        return self._serve_queue(now_us)

    def record_turned_away(self, now_us: int) -> None:
        """Count a request that was refused before it requested a slot."""
        self._outcomes.record_request(now_us, is_served=False)

    def merge_evidence(
        self,
        digest: messages.EvidenceDigest,
        now_us: int,
    ) -> None:
        """Merge the outcomes that another broker of this service saw."""
        for entry in digest.entries:
            record = self.records.get(entry.target_id)
            if record is not None:
                record.merge_evidence(
                    timestamp_us(entry.served_age_us, now_us),
                    timestamp_us(entry.failed_age_us, now_us),
                )
                self.costs.merge_slowness(
                    entry.target_id, entry.slowness_permille
                )
        self.costs.merge(digest.costs)
        for crashed in digest.crashes:
            self.crashes.merge(crashed.fingerprint, crashed.target_ids, now_us)

    def digest(self, now_us: int) -> messages.EvidenceDigest:
        """Return the evidence for hosts that may replace this broker."""
        entries = tuple(
            messages.TargetEvidence(
                target_id,
                age_us(record.last_served_us, now_us),
                age_us(record.last_failed_us, now_us),
                self.costs.slowness_permille(target_id),
            )
            for target_id, record in self.records.items()
            if record.is_tried
        )
        return messages.EvidenceDigest(
            self._pool.name,
            entries,
            self.costs.digest(),
            newest_crashes(self.crashes),
        )

    def tick(self, now_us: int) -> Effects:
        """Expire leases and waiting requests, then serve the queue."""
        self.crashes.expire(now_us)
        self._forget_ended(now_us)
        expired = [
            holder
            for holder, lease in self._leases.items()
            if lease.expires_us <= now_us
        ]
        for holder in expired:
            self._release(*holder, now_us)
        new_effects: Effects = []
        self._queue.tick(now_us)
        if len(self._queue):
            room = self._room(now_us)
            new_effects.extend(
                self._refuse_overload(waiter, room, now_us)
                for waiter in self._queue.pop_hopeless(room, now_us)
            )
        new_effects.extend(self._check_overdue_slots(now_us))
        return [*new_effects, *self._serve_queue(now_us)]

    def _check_overdue_slots(self, now_us: int) -> Effects:
        """Ask the holders of overdue slots whether they still hold them.

        Load pattern: links lose bursts of messages, with all copies of a
        report. Its slot would keep a healthy target out of use until the
        deadline of the request.
        """
        if now_us - self._last_check_us < SLOT_CHECK_INTERVAL_US:
            return []
        self._last_check_us = now_us
        granted_before_us = now_us - overdue_after_us(self.service_time_us)
        overdue: dict[str, list[int]] = {}
        for (host_id, ask_id), lease in self._leases.items():
            if lease.granted_us < granted_before_us:
                overdue.setdefault(host_id, []).append(ask_id)
        return [
            messages.SendHost(
                host_id, messages.SlotCheck(self._pool.name, tuple(ask_ids))
            )
            for host_id, ask_ids in overdue.items()
        ]

    def _forget_ended(self, now_us: int) -> None:
        for holder, ended in list(self._ended.items()):
            if now_us - ended.ended_us < REMEMBER_ENDED_US:
                return
            self._ended.pop(holder)

    def _admit(
        self,
        host_id: str,
        domain: str,
        request: messages.SlotRequest,
        now_us: int,
    ) -> Effects:
        pause_us = pause_left_us(self.records.values(), now_us)
        if pause_us:
            self._outcomes.record_request(now_us, is_served=False)
            return [self.refusals.refuse_paused(host_id, request, pause_us)]
        if not accept_requests(self.records.values(), now_us):
            cause = RefusalCause.NO_TARGET
            self._outcomes.record_request(now_us, is_served=False)
            return [self.refusals.refuse(host_id, request, cause)]
        work_us = self.costs.expected_us(request)
        waiter = self._queue.prepare(host_id, domain, request, work_us, now_us)
        room = self._room(now_us) if len(self._queue) else 0
        wait_us = self._queue.expected_wait_us(waiter, room, now_us)
        if now_us + wait_us > waiter.last_start_us:
            return [self._refuse_overload(waiter, room, now_us)]
        self._queue.add(waiter, now_us)
        new_effects = [
            self._refuse_overload(excess, room, now_us)
            for excess in self._queue.pop_excess(now_us)
        ]
        new_effects.extend(self._serve_queue(now_us))
        if (host_id, request.ask_id) in self._queue:
            new_effects.append(
                _queued_reply(host_id, request, self.service_time_us)
            )
        return new_effects

    def _serve_queue(self, now_us: int) -> Effects:
        if not len(self._queue):
            return []
        pause_us = pause_left_us(self.records.values(), now_us)
        if pause_us:
            return self._refuse_waiting(pause_us, now_us)
        self._update_placement(now_us)
        new_effects: Effects = []
        if not has_free_slot(self.records.values(), now_us):
            return new_effects
        passed_over = PassedOver()
        for waiter in self._queue.ordered(now_us):
            record = self._choose_target(waiter, passed_over, now_us)
            if record is not None:
                new_effects.append(self._grant(waiter, record, now_us))
            if passed_over.is_full or not has_free_slot(
                self.records.values(), now_us
            ):
                break
        return new_effects

    def _update_placement(self, now_us: int) -> None:
        self._placement.service_us = self.service_time_us
        self._placement.busy_slots = len(self._leases)
        self._placement.demand = self.coverage(now_us)
        self._placement.costs = self.costs

    def _choose_target(
        self, waiter: Waiter, passed_over: PassedOver, now_us: int
    ) -> TargetRecord | None:
        request = self._placement_request(waiter, now_us)
        record = None
        if not passed_over.covers(request):
            record = choose_target(
                self.records.values(), request, self._placement, now_us
            )
        if record is None:
            passed_over.add(request)
        return record

    def _refuse_waiting(self, pause_us: int, now_us: int) -> Effects:
        """Refuse all waiting requests, as all targets pause."""
        new_effects: Effects = []
        for waiter in self._queue.pop_all(now_us):
            self._outcomes.record_request(now_us, is_served=False)
            new_effects.append(
                self.refusals.refuse_paused(
                    waiter.host_id, waiter.slot_request, pause_us
                ),
            )
        return new_effects

    def _placement_request(
        self,
        waiter: Waiter,
        now_us: int,
    ) -> PlacementRequest:
        slot_request = waiter.slot_request
        may_probe = (
            slot_request.may_repeat and self._retry_budget.allows_probes(now_us)
        )
        return PlacementRequest(
            domain=waiter.domain,
            kind=slot_request.kind,
            may_repeat=slot_request.may_repeat,
            may_probe=may_probe,
            waited_us=now_us - waiter.enqueued_us,
            connected=frozenset(slot_request.connected),
            excluded=frozenset(slot_request.excluded),
            estimate=self.costs.class_estimate(
                slot_request.request_class, slot_request.body_bytes
            ),
            objective_left_us=waiter.late_after_us + waiter.work_us - now_us,
        )

    def _grant(
        self,
        waiter: Waiter,
        record: TargetRecord,
        now_us: int,
    ) -> messages.SendHost:
        slot_request = waiter.slot_request
        is_proven = (
            record.status(now_us, self.service_time_us) is TargetStatus.PROVEN
        )
        proven_age_us = now_us - record.last_served_us if is_proven else -1
        expires_us = (
            waiter.enqueued_us + slot_request.time_left_us + LEASE_GRACE_US
        )
        holder = (waiter.host_id, slot_request.ask_id)
        is_probe = lacks_fresh_evidence(record, now_us)
        is_after_failure = has_failed_last(record)
        estimate = self.costs.estimate(
            slot_request.request_class, slot_request.body_bytes
        )
        record.grant(holder, now_us, estimate)
        self._queue.start(waiter, now_us)
        if slot_request.is_repeat:
            self._retry_budget.record_retry(now_us)
        else:
            self._outcomes.record_grant(now_us)
        grant = messages.SlotGrant(
            ask_id=slot_request.ask_id,
            target_id=record.spec.target_id,
            address=record.spec.address,
            port=record.spec.port,
            started_ms=record.spec.started_ms,
            proven_age_us=proven_age_us,
            state_version=self._state_version,
        )
        self._leases[holder] = Lease(
            grant=grant,
            granted_us=now_us,
            expires_us=expires_us,
            is_probe=is_probe,
            is_after_failure=is_after_failure,
            is_repeat=slot_request.is_repeat,
        )
        return messages.SendHost(waiter.host_id, grant)

    def _apply_report(
        self,
        record: TargetRecord,
        host_id: str,
        report: messages.SlotReport,
        now_us: int,
    ) -> None:
        notice = TargetNotice(report.is_leaving, report.pause_us)
        record.record_notice(notice, now_us)
        if notice and report.outcome in _UNSERVED_BY_NOTICE:
            return
        is_slow = self.tail_rule.apply(record, self.costs, report, now_us)
        if is_slow is not None:
            record.record_outcome(
                report.outcome,
                host_id,
                self._spec,
                now_us - report.latency_us,
                now_us,
                is_slow=is_slow,
            )
        self._record_crash(host_id, report, now_us)

    def _record_crash(
        self,
        host_id: str,
        report: messages.SlotReport,
        now_us: int,
    ) -> None:
        fingerprint = report.fingerprint
        report_id = f'{host_id}/{report.ask_id}'
        match report.outcome:
            case SendOutcome.LOST:
                target_id = report.target_id
                self.crashes.report_crash(
                    fingerprint,
                    target_id,
                    report_id,
                    now_us,
                )
            case SendOutcome.SERVED if self.crashes.is_suspect(fingerprint):
                self.crashes.withdraw(fingerprint, report_id, now_us)
            case _:
                return

    def _release(self, host_id: str, ask_id: int, now_us: int) -> None:
        self._queue.finish((host_id, ask_id), now_us)
        known = self._leases.pop((host_id, ask_id), None)
        if known is None:
            return
        record = self.records.get(known.grant.target_id)
        if record is not None:
            record.release((host_id, ask_id))

    def _room(self, now_us: int) -> int:
        return count_room(
            self.records.values(),
            self.service_time_us,
            now_us,
            is_sole=self._placement.is_sole,
        )

    def _refuse_overload(
        self, waiter: Waiter, room: int, now_us: int
    ) -> messages.SendHost:
        self._outcomes.record_request(now_us, is_served=False)
        room = room or self._room(now_us)
        inputs = OverloadInputs.from_queue(self._queue, waiter, room, now_us)
        return self.refusals.refuse_overload(
            waiter.host_id, waiter.slot_request, inputs, now_us
        )


def _queued_reply(
    host_id: str, request: messages.SlotRequest, service_us: int
) -> messages.SendHost:
    return messages.SendHost(
        host_id, messages.SlotQueued(request.ask_id, service_us)
    )
