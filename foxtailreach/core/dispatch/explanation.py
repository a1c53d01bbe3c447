"""Explains what a request would get from the broker of a pool.

The decision is the one of the broker's own code, run on a copy of its state.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.ages import age_us
from foxtailreach.core.dispatch.broker import Broker
from foxtailreach.core.dispatch.placement import (
    PlacementRequest,
    PlacementState,
    choose_by_rule,
    cost_us,
    finishes_late,
)
from foxtailreach.core.dispatch.placement_messages import (
    MAX_CANDIDATES,
    Candidate,
    CandidateFlag,
    Decision,
    PlacementReport,
    RestCounts,
)
from foxtailreach.core.dispatch.pool_messages import SlotReferral
from foxtailreach.core.dispatch.service_brokers import (
    BrokerEntry,
    Requester,
    ServiceBrokers,
)
from foxtailreach.core.dispatch.target_load import expected_finish_us
from foxtailreach.core.dispatch.target_record import TargetRecord, TargetStatus
from foxtailreach.core.units import MILLISECOND_US

# The candidates of a report take up to this much of a message of 1,200 bytes.
MAX_CANDIDATE_BYTES = 960
# Encoded size of a candidate without its texts: 12 fields of one byte and more,
# with numbers of up to 3 bytes.
CANDIDATE_BYTES = 40
_WAITING = frozenset((Decision.QUEUED, Decision.REFUSED))


def explain_placement(
    brokers: ServiceBrokers,
    sender: Requester,
    request: messages.SlotRequest,
    now_us: int,
) -> PlacementReport:
    """Tell what a request for a slot would get; `brokers` stay unchanged."""
    report = PlacementReport(
        request.ask_id, request.service_name, Decision.QUEUED
    )
    copied = brokers.snapshot(request.service_name, now_us)
    if copied is None:
        return replace(report, decision=Decision.TOO_LARGE)
    entry = copied.entry_for(request.service_name, now_us)
    if entry is None:
        return _decide(report, copied, sender, request, now_us)
    broker = entry.broker
    broker.set_standing(sender.standing)
    broker.refusals.last_overload = None
    view = _PoolView.before(entry, sender, request, now_us)
    candidates = view.describe()
    expected_id, rule = view.choose()
    report = replace(
        report,
        work_us=view.work_us,
        queued=broker.queue_length,
        queued_work_us=broker.queued_work_us,
    )
    report = _decide(report, copied, sender, request, now_us)
    if report.target_id and report.target_id == expected_id:
        report = replace(report, rule=rule)
    wait = broker.expected_wait(sender.host_id, request.ask_id, now_us)
    wait = wait or broker.refusals.last_overload
    if wait is not None and report.decision in _WAITING:
        report = replace(report, wait_us=wait.wait_us, room=wait.room)
    return _with_candidates(report, candidates)


@dataclass(slots=True, frozen=True)
class _PoolView:
    """The targets of a pool as they are before a request."""

    broker: Broker
    request: PlacementRequest
    state: PlacementState
    work_us: int
    now_us: int

    @classmethod
    def before(
        cls,
        entry: BrokerEntry,
        sender: Requester,
        request: messages.SlotRequest,
        now_us: int,
    ) -> _PoolView:
        """Create the view from the state before a request."""
        broker = entry.broker
        domain = entry.pool.domain or sender.domain
        placement_request, state = broker.placement_inputs(
            sender.host_id, domain, request, now_us
        )
        work_us = broker.costs.expected_us(request)
        return cls(broker, placement_request, replace(state), work_us, now_us)

    def choose(self) -> tuple[str, str]:
        """Return the target of the request if none waits, and the rule."""
        record, rule = choose_by_rule(
            self.broker.records.values(),
            self.request,
            replace(self.state),
            self.now_us,
        )
        return ('' if record is None else record.spec.target_id), rule.value

    def describe(self) -> list[Candidate]:
        """Describe all targets, the best first."""
        described = [
            self._describe(record) for record in self.broker.records.values()
        ]
        return sorted(described, key=_preference)

    def _describe(self, record: TargetRecord) -> Candidate:
        now_us = self.now_us
        spec = record.spec
        slowness = self.broker.costs.slowness(spec.target_id)
        pause_left_us = max(0, record.paused_until_us - now_us)
        finish_us = expected_finish_us(self.work_us, slowness)
        compared_us = cost_us(record, self.request, self.state, now_us)
        return Candidate(
            target_id=spec.target_id,
            domain=spec.domain,
            status=int(record.status(now_us, self.state.service_us)),
            flags=self._flags(record, slowness),
            served_age_ms=_age_ms(record.last_served_us, now_us),
            failed_age_ms=_age_ms(record.last_failed_us, now_us),
            slots=spec.slots,
            granted=len(record.granted),
            remaining_ms=record.load.remaining_us(now_us) // MILLISECOND_US,
            finish_ms=finish_us // MILLISECOND_US,
            cost_ms=compared_us // MILLISECOND_US,
            pause_left_ms=pause_left_us // MILLISECOND_US,
        )

    def _flags(self, record: TargetRecord, slowness: float) -> CandidateFlag:
        now_us = self.now_us
        request = self.request
        target_id = record.spec.target_id
        is_late = request.estimate is not None and finishes_late(
            request.estimate, slowness, request.objective_left_us
        )
        present = {
            CandidateFlag.CONNECTED: target_id in request.connected,
            CandidateFlag.EXCLUDED: target_id in request.excluded,
            CandidateFlag.DRAINING: record.spec.is_draining,
            CandidateFlag.LEAVING: record.is_leaving,
            CandidateFlag.EVACUATED: record.is_evacuated,
            CandidateFlag.WARMING_UP: record.is_warming_up(now_us),
            CandidateFlag.UNUSABLE: not record.has_free_slot(now_us),
            CandidateFlag.LATE: is_late,
        }
        flags = CandidateFlag.NONE
        for flag, is_present in present.items():
            if is_present:
                flags |= flag
        return flags


def _decide(
    report: PlacementReport,
    brokers: ServiceBrokers,
    sender: Requester,
    request: messages.SlotRequest,
    now_us: int,
) -> PlacementReport:
    """Add the reply of the brokers to a report."""
    for effect in brokers.request_slot(sender, request, now_us):
        reply = effect.message
        if getattr(reply, 'ask_id', None) != request.ask_id:
            continue
        match reply:
            case messages.SlotGrant():
                return replace(
                    report,
                    decision=Decision.GRANTED,
                    target_id=reply.target_id,
                )
            case messages.SlotRefused():
                return replace(
                    report,
                    decision=Decision.REFUSED,
                    cause=reply.cause.value,
                    retry_after_us=reply.retry_after_us,
                )
            case SlotReferral():
                return replace(
                    report,
                    decision=Decision.REFERRED,
                    domain=reply.domain,
                    is_final=reply.is_final,
                )
    return report


def _preference(candidate: Candidate) -> tuple[bool, int, int]:
    """Order candidates as placement prefers them by status and cost."""
    is_unusable = bool(
        candidate.flags & (CandidateFlag.UNUSABLE | CandidateFlag.EXCLUDED)
    )
    return is_unusable, candidate.status, candidate.cost_ms


def _with_candidates(
    report: PlacementReport, candidates: Iterable[Candidate]
) -> PlacementReport:
    """Add the best candidates to a report, the chosen one first."""
    listed: list[Candidate] = []
    rest: Counter[int] = Counter()
    unusable = 0
    size_bytes = 0
    chosen_first = sorted(
        candidates,
        key=lambda candidate: candidate.target_id != report.target_id,
    )
    for candidate in chosen_first:
        size_bytes += _size_bytes(candidate)
        is_room_left = size_bytes <= MAX_CANDIDATE_BYTES
        if is_room_left and len(listed) < MAX_CANDIDATES:
            listed.append(_mark(candidate, report.target_id))
        else:
            rest[candidate.status] += 1
            unusable += _preference(candidate)[0]
    counts = RestCounts(
        rest[TargetStatus.PROVEN],
        rest[TargetStatus.UNPROVEN],
        rest[TargetStatus.EJECTED],
        unusable,
    )
    return replace(report, candidates=tuple(listed), rest=counts)


def _mark(candidate: Candidate, chosen_id: str) -> Candidate:
    if candidate.target_id != chosen_id:
        return candidate
    return replace(candidate, flags=candidate.flags | CandidateFlag.CHOSEN)


def _size_bytes(candidate: Candidate) -> int:
    texts = candidate.target_id + candidate.domain
    return len(texts.encode()) + CANDIDATE_BYTES


def _age_ms(occurred_us: int, now_us: int) -> int:
    event_age_us = age_us(occurred_us, now_us)
    return event_age_us if event_age_us < 0 else event_age_us // MILLISECOND_US
