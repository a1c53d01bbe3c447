"""The broker of one service: lends slots and judges targets by outcomes."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core.crashes import CrashTracker
from foxtailreach.core.dispatch import messages, waiting
from foxtailreach.core.dispatch.budgets import RepeatBudget, RetryPolicy
from foxtailreach.core.dispatch.cover import RecentOutcomes, is_stale
from foxtailreach.core.dispatch.deployment import ServiceSpec, TargetSpec
from foxtailreach.core.dispatch.evidence import (
    SLOW_FACTOR,
    Standing,
    TargetRecord,
)
from foxtailreach.core.dispatch.messages import RefusalCause, SendOutcome
from foxtailreach.core.dispatch.placement import (
    PlacementAsk,
    PlacementState,
    choose_target,
)
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# The usual service time until the first answers have been seen.
DEFAULT_SERVICE_TIME_US = 250 * MILLISECOND_US
SERVICE_TIME_GAIN = 0.05
# A slot lapses this long after the request's own time is over.
LEASE_SLACK_US = SECOND_US
# Distinct targets lost to one fingerprint before it is refused; resets that
# have another cause hit the same request less often.
CRASHES_TO_REFUSE = 3
CRASH_MEMORY_US = 60 * SECOND_US
QUARANTINE_RETRY_US = 30 * SECOND_US

Holder = tuple[str, int]
Step = list[messages.SendHost]

_INCONCLUSIVE = frozenset((SendOutcome.ABANDONED, SendOutcome.SHED))
_BAD_OUTCOMES = frozenset(
    (
        SendOutcome.FAILED,
        SendOutcome.LOST,
        SendOutcome.TIMED_OUT,
        SendOutcome.UNREACHABLE,
        SendOutcome.MISDIRECTED,
    )
)


@dataclass(slots=True, frozen=True)
class Lease:
    """A slot that was lent; `is_trial` if without fresh evidence."""

    grant: messages.SlotGrant
    lapses_us: int
    is_trial: bool


class Broker:
    """State machine of one service on the host that brokers it."""

    __slots__ = (
        '_crashes',
        '_granted',
        '_line',
        '_outcomes',
        '_placement',
        '_repeats',
        '_service_us',
        '_spec',
        'records',
    )

    def __init__(
        self,
        spec: ServiceSpec,
        policy: RetryPolicy,
        rng: random.Random,
        now_us: int,
    ) -> None:
        """Start without targets; see `update_targets`."""
        self.records: dict[str, TargetRecord] = {}
        self._spec = spec
        self._line = waiting.WaitingLine(rng)
        self._repeats = RepeatBudget(policy)
        self._service_us = float(DEFAULT_SERVICE_TIME_US)
        self._placement = PlacementState(now_us, DEFAULT_SERVICE_TIME_US)
        self._outcomes = RecentOutcomes()
        self._granted: dict[Holder, Lease] = {}
        self._crashes = CrashTracker(CRASHES_TO_REFUSE, CRASH_MEMORY_US)

    def set_alone(self, *, is_alone: bool) -> None:
        """Tell whether this host has lost contact to all others."""
        self._placement.is_alone = is_alone

    @property
    def queue_length(self) -> int:
        """Count the requests that wait for a slot."""
        return len(self._line)

    def update_targets(
        self,
        spec: ServiceSpec,
        targets: Iterable[TargetSpec],
        evacuated: frozenset[str],
        now_us: int,
    ) -> Step:
        """Adopt the current targets and the domains that get no work."""
        self._spec = spec
        listed = {target.target_id: target for target in targets}
        for gone in self.records.keys() - listed.keys():
            self.records.pop(gone)
        for target_id, target in listed.items():
            record = self.records.get(target_id)
            if record is None:
                record = TargetRecord(target, spec, now_us)
                self.records[target_id] = record
            record.update(target, now_us)
            was_evacuated = record.is_evacuated
            record.is_evacuated = target.domain in evacuated
            if was_evacuated and not record.is_evacuated:
                record.chill(now_us, spec.warm_up_us)
        return self._serve_line(now_us)

    def ask(
        self,
        host_id: str,
        domain: str,
        request: messages.SlotRequest,
        now_us: int,
    ) -> Step:
        """Grant a slot, let the request wait, or refuse it."""
        holder = (host_id, request.ask_id)
        known = self._granted.get(holder)
        if known is not None:
            return [messages.SendHost(host_id, known.grant)]
        if holder in self._line:
            return [self._queued(host_id, request)]
        if self._crashes.is_quarantined(request.fingerprint):
            return [
                self._refuse(
                    host_id,
                    request,
                    RefusalCause.QUARANTINED,
                    QUARANTINE_RETRY_US,
                ),
            ]
        if request.is_repeat and not self._repeats.allows_repeat(now_us):
            cause = RefusalCause.REPEAT_BUDGET
            return [self._refuse(host_id, request, cause, self._each_us())]
        return self._admit(host_id, domain, request, now_us)

    def report(
        self,
        host_id: str,
        report: messages.SlotReport,
        now_us: int,
    ) -> Step:
        """Take a slot back and learn from its outcome."""
        holder = (host_id, report.ask_id)
        lease = self._granted.pop(holder, None)
        record = self.records.get(report.target_id)
        if record is not None:
            record.release(holder)
            if record.spec.started_ms == report.started_ms:
                self._learn(record, host_id, report, now_us)
        if report.outcome not in _INCONCLUSIVE:
            is_served = report.outcome not in _BAD_OUTCOMES
            if lease is not None and lease.is_trial:
                self._outcomes.note_trial(now_us, is_served=is_served)
            else:
                self._outcomes.note(now_us, is_served=is_served)
        return self._serve_line(now_us)

    def cancel(self, host_id: str, ask_id: int, now_us: int) -> Step:
        """Forget a request that no longer needs a slot."""
        self._line.leave(host_id, ask_id)
        self._release(host_id, ask_id)
        return self._serve_line(now_us)

    def host_lost(self, host_id: str, now_us: int) -> Step:
        """Take back all slots of a host that is gone."""
        holders = [holder for holder in self._granted if holder[0] == host_id]
        for holder in holders:
            self._release(*holder)
        return self._serve_line(now_us)

    def note_turned_away(self, now_us: int) -> None:
        """Count a request that was refused before it asked for a slot."""
        self._outcomes.note(now_us, is_served=False)

    def adopt(self, digest: messages.EvidenceDigest, now_us: int) -> None:
        """Merge the evidence of another broker."""
        for entry in digest.entries:
            record = self.records.get(entry.target_id)
            if record is not None:
                record.adopt(
                    _moment_us(entry.served_age_us, now_us),
                    _moment_us(entry.failed_age_us, now_us),
                )

    def digest(self, now_us: int) -> messages.EvidenceDigest:
        """Return the evidence for hosts that may lose this broker."""
        entries = tuple(
            messages.TargetEvidence(
                target_id,
                _age_us(record.served_us, now_us),
                _age_us(record.failed_us, now_us),
            )
            for target_id, record in self.records.items()
            if record.is_tried
        )
        return messages.EvidenceDigest(self._spec.name, entries)

    def tick(self, now_us: int) -> Step:
        """Expire leases and waiting requests, then serve the line."""
        self._crashes.expire(now_us)
        lapsed = [
            holder
            for holder, lease in self._granted.items()
            if lease.lapses_us <= now_us
        ]
        for holder in lapsed:
            self._release(*holder)
        step: Step = []
        for waiter in self._line.pop_expired(now_us):
            self._outcomes.note(now_us, is_served=False)
            step.append(self._refuse_overload(waiter.host_id, waiter.ask))
        return [*step, *self._serve_line(now_us)]

    def _admit(
        self,
        host_id: str,
        domain: str,
        request: messages.SlotRequest,
        now_us: int,
    ) -> Step:
        if not self._usable_slots():
            cause = RefusalCause.NO_TARGET
            wait_us = waiting.MIN_RETRY_AFTER_US
            self._outcomes.note(now_us, is_served=False)
            return [self._refuse(host_id, request, cause, wait_us)]
        wait_us = 0
        if len(self._line):
            wait_us = self._expected_wait_us(request.priority)
        if waiting.is_hopeless(request, wait_us, self._each_us()):
            self._outcomes.note(now_us, is_served=False)
            return [self._refuse_overload(host_id, request)]
        self._line.join(host_id, domain, request, now_us)
        step = self._serve_line(now_us)
        if (host_id, request.ask_id) in self._line:
            step.append(self._queued(host_id, request))
        return step

    def _serve_line(self, now_us: int) -> Step:
        if not len(self._line):
            return []
        state = self._placement
        state.service_us = self._each_us()
        state.busy_slots = len(self._granted)
        state.demand = self._outcomes.demand(len(self.records), now_us)
        step: Step = []
        for waiter in self._line.ordered(now_us, self._each_us()):
            if not self._has_free_slot(now_us):
                break
            ask = self._placement_ask(waiter, now_us)
            record = choose_target(self.records.values(), ask, state, now_us)
            if record is not None:
                step.append(self._grant(waiter, record, now_us))
        return step

    def _placement_ask(
        self,
        waiter: waiting.Waiter,
        now_us: int,
    ) -> PlacementAsk:
        ask = waiter.ask
        may_try = ask.may_repeat and self._repeats.allows_trials(now_us)
        return PlacementAsk(
            domain=waiter.domain,
            kind=ask.kind,
            may_repeat=ask.may_repeat,
            may_try=may_try,
            waited_us=now_us - waiter.enqueued_us,
            connected=frozenset(ask.connected),
            excluded=frozenset(ask.excluded),
        )

    def _has_free_slot(self, now_us: int) -> bool:
        return any(record.has_slot(now_us) for record in self.records.values())

    def _grant(
        self,
        waiter: waiting.Waiter,
        record: TargetRecord,
        now_us: int,
    ) -> messages.SendHost:
        ask = waiter.ask
        self._line.leave(waiter.host_id, ask.ask_id)
        is_proven = record.standing(now_us, self._each_us()) is Standing.PROVEN
        proven_age_us = now_us - record.served_us if is_proven else -1
        lapses_us = waiter.enqueued_us + ask.time_left_us + LEASE_SLACK_US
        holder = (waiter.host_id, ask.ask_id)
        is_trial = is_stale(record, now_us)
        record.grant(holder, now_us)
        if ask.is_repeat:
            self._repeats.record_repeat(now_us)
        else:
            self._repeats.record_first(now_us)
        grant = messages.SlotGrant(
            ask_id=ask.ask_id,
            target_id=record.spec.target_id,
            address=record.spec.address,
            port=record.spec.port,
            started_ms=record.spec.started_ms,
            proven_age_us=proven_age_us,
        )
        self._granted[holder] = Lease(grant, lapses_us, is_trial)
        return messages.SendHost(waiter.host_id, grant)

    def _learn(
        self,
        record: TargetRecord,
        host_id: str,
        report: messages.SlotReport,
        now_us: int,
    ) -> None:
        is_served = report.outcome is SendOutcome.SERVED
        is_slow = report.latency_us > SLOW_FACTOR * self._service_us
        record.record(
            report.outcome,
            host_id,
            self._spec,
            now_us,
            is_slow=is_served and is_slow,
        )
        if is_served and not record.is_cold(now_us):
            change_us = report.latency_us - self._service_us
            self._service_us += SERVICE_TIME_GAIN * change_us
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
                self._crashes.report_crash(
                    fingerprint,
                    target_id,
                    report_id,
                    now_us,
                )
            case SendOutcome.SERVED if self._crashes.is_suspect(fingerprint):
                self._crashes.withdraw(fingerprint, report_id, now_us)
            case _:
                return

    def _release(self, host_id: str, ask_id: int) -> None:
        known = self._granted.pop((host_id, ask_id), None)
        if known is None:
            return
        record = self.records.get(known.grant.target_id)
        if record is not None:
            record.release((host_id, ask_id))

    def _usable_slots(self) -> int:
        return sum(
            record.spec.slots
            for record in self.records.values()
            if record.is_open
        )

    def _expected_wait_us(self, priority: int) -> int:
        slots = self._usable_slots()
        return self._line.expected_wait_us(priority, slots, self._each_us())

    def _each_us(self) -> int:
        return int(self._service_us)

    def _queued(
        self,
        host_id: str,
        request: messages.SlotRequest,
    ) -> messages.SendHost:
        return messages.SendHost(
            host_id,
            messages.SlotQueued(request.ask_id, self._each_us()),
        )

    def _refuse_overload(
        self,
        host_id: str,
        request: messages.SlotRequest,
    ) -> messages.SendHost:
        slots = sum(record.spec.slots for record in self.records.values())
        wait_us = self._line.expected_wait_us(
            request.priority,
            slots,
            self._each_us(),
        )
        return self._refuse(host_id, request, RefusalCause.OVERLOAD, wait_us)

    def _refuse(
        self,
        host_id: str,
        request: messages.SlotRequest,
        cause: RefusalCause,
        wait_us: int,
    ) -> messages.SendHost:
        retry_after_us = self._line.retry_after_us(wait_us)
        refusal = messages.SlotRefused(request.ask_id, cause, retry_after_us)
        return messages.SendHost(host_id, refusal)


def _age_us(moment_us: int, now_us: int) -> int:
    return now_us - moment_us if moment_us else -1


def _moment_us(age_us: int, now_us: int) -> int:
    return now_us - age_us if age_us >= 0 else 0
