"""The brokers of one host: created on first use, dropped when idle."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from foxtailreach.core import effects
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.broker import Broker, Effects, Standing
from foxtailreach.core.dispatch.budgets import RetryPolicy
from foxtailreach.core.dispatch.cover import CoverageDemand, CoverageScope
from foxtailreach.core.dispatch.deployment import Deployment, TargetSpec
from foxtailreach.core.dispatch.mirror import NO_VERSION
from foxtailreach.core.units import SECOND_US

# Evidence becomes stale fast.
DIGEST_INTERVAL_US = SECOND_US
NOTE_INTERVAL_US = SECOND_US
BROKER_IDLE_US = 20 * SECOND_US


@dataclass(slots=True, frozen=True)
class Requester:
    """The host that requests a slot, and the standing of the broker's host."""

    host_id: str
    domain: str
    standing: Standing


@dataclass(slots=True)
class BrokerEntry:
    """A broker, and when it was last used."""

    broker: Broker
    last_used_us: int
    last_request_us: int = 0
    last_digest_us: int = 0
    last_note_us: int = 0
    last_refusal_note_us: int = 0
    noted_scope: CoverageScope = CoverageScope.NONE


class ServiceBrokers:
    """One broker for each service for which this host gets messages."""

    __slots__ = (
        '_deployment',
        '_entries',
        '_evacuated',
        '_policy',
        '_prefers_own_domain',
        '_rng',
        '_state_version',
        '_targets',
    )

    def __init__(
        self,
        policy: RetryPolicy,
        rng: random.Random,
        *,
        prefers_own_domain: bool = False,
    ) -> None:
        """Create no brokers yet; `update` sets the configuration."""
        self._policy = policy
        self._prefers_own_domain = prefers_own_domain
        self._rng = rng
        self._deployment: Deployment | None = None
        self._targets: tuple[TargetSpec, ...] = ()
        self._state_version = NO_VERSION
        self._evacuated: frozenset[str] = frozenset()
        self._entries: dict[str, BrokerEntry] = {}

    def update(
        self,
        deployment: Deployment | None,
        targets: Iterable[TargetSpec],
        evacuated: frozenset[str],
        now_us: int,
        state_version: int = NO_VERSION,
    ) -> Effects:
        """Replace the configuration and targets of all brokers."""
        self._state_version = state_version
        self._deployment = deployment
        self._targets = tuple(targets)
        self._evacuated = evacuated
        new_effects: Effects = []
        for service, entry in list(self._entries.items()):
            if deployment is None or service not in deployment.services:
                self._entries.pop(service)
                continue
            new_effects.extend(self._refresh(service, entry.broker, now_us))
        return new_effects

    def request_slot(
        self,
        sender: Requester,
        request: messages.SlotRequest,
        now_us: int,
    ) -> Effects:
        """Pass a request for a slot to the broker of its service.

        The request is refused if the service is not configured here.
        """
        entry = self._entry_for(request.service_name, now_us)
        if entry is None:
            cause = messages.RefusalCause.NOT_READY
            refusal = messages.SlotRefused(request.ask_id, cause, SECOND_US)
            return [messages.SendHost(sender.host_id, refusal)]
        entry.last_request_us = now_us
        entry.broker.set_standing(sender.standing)
        return entry.broker.request_slot(
            sender.host_id,
            sender.domain,
            request,
            now_us,
        )

    def report(
        self,
        host_id: str,
        report: messages.SlotReport,
        now_us: int,
    ) -> Effects:
        """Pass a report to the broker of its service."""
        entry = self._entry_for(report.service_name, now_us)
        return (
            []
            if entry is None
            else entry.broker.report(host_id, report, now_us)
        )

    def cancel(
        self,
        host_id: str,
        cancel: messages.SlotCancel,
        now_us: int,
    ) -> Effects:
        """Withdraw a request for a slot."""
        entry = self._entries.get(cancel.service_name)
        if entry is None:
            return []
        return entry.broker.cancel(host_id, cancel.ask_id, now_us)

    def merge_remote_outcomes(
        self,
        message: messages.EvidenceDigest | messages.TurnedAway,
        now_us: int,
    ) -> None:
        """Update a broker with outcomes from other hosts."""
        entry = self._entry_for(message.service_name, now_us)
        if entry is None:
            return
        match message:
            case messages.EvidenceDigest():
                entry.broker.merge_evidence(message, now_us)
            case messages.TurnedAway():
                entry.broker.record_turned_away(now_us)

    def oldest_grants(self) -> dict[str, int]:
        """Return the time of the oldest grant of each host with slots."""
        oldest_us: dict[str, int] = {}
        for entry in self._entries.values():
            for host_id, granted_us in entry.broker.oldest_grants().items():
                known_us = oldest_us.get(host_id, granted_us)
                oldest_us[host_id] = min(known_us, granted_us)
        return oldest_us

    def host_lost(self, host_id: str, now_us: int) -> Effects:
        """Release all slots that a lost host held."""
        new_effects: Effects = []
        for entry in self._entries.values():
            new_effects.extend(entry.broker.host_lost(host_id, now_us))
        return new_effects

    def tick(
        self,
        choose_recipients: Callable[[str], Iterable[str]],
        now_us: int,
    ) -> Effects:
        """Advance all brokers, drop idle ones, and send evidence digests.

        Each active broker sends a digest to the recipients for its service,
        every `DIGEST_INTERVAL_US`.
        """
        new_effects: Effects = []
        for service, entry in list(self._entries.items()):
            new_effects.extend(entry.broker.tick(now_us))
            if now_us - entry.last_used_us > BROKER_IDLE_US:
                self._entries.pop(service)
            elif _is_digest_due(entry, now_us):
                entry.last_digest_us = now_us
                digest = entry.broker.digest(now_us)
                new_effects.extend(
                    messages.SendHost(host_id, digest)
                    for host_id in choose_recipients(service)
                )
        return new_effects

    def notes(self, now_us: int) -> list[effects.Note]:
        """Describe changes of the coverage, and refusals."""
        return [*self._coverage_notes(now_us), *self._refusal_notes(now_us)]

    def _coverage_notes(self, now_us: int) -> list[effects.Note]:
        """Describe changes of the coverage, at most one in a second."""
        notes = []
        for service, entry in self._entries.items():
            demand = entry.broker.coverage(now_us)
            is_due = now_us - entry.last_note_us > NOTE_INTERVAL_US
            if is_due and demand.scope is not entry.noted_scope:
                entry.last_note_us = now_us
                entry.noted_scope = demand.scope
                notes.append(
                    effects.Note(
                        'coverage',
                        service,
                        _describe_coverage(entry.broker, demand, now_us),
                    ),
                )
        return notes

    def _refusal_notes(self, now_us: int) -> list[effects.Note]:
        """Describe the newest refusals, each service at most once a second."""
        notes = []
        for service, entry in self._entries.items():
            if now_us - entry.last_refusal_note_us > NOTE_INTERVAL_US:
                detail = entry.broker.refusals.describe_new()
                if detail:
                    entry.last_refusal_note_us = now_us
                    notes.append(effects.Note('queue', service, detail))
        return notes

    def queue_gauges(self) -> dict[str, int]:
        """Return waiting requests and work, and refusals, of each service."""
        gauges = {}
        for service, entry in self._entries.items():
            broker = entry.broker
            gauges[f'waiting_{service}'] = broker.queue_length
            gauges[f'waiting_work_us_{service}'] = broker.queued_work_us
            for cause, count in broker.refusals.counts.items():
                gauges[f'refused_{cause}_{service}'] = count
        return gauges

    def _entry_for(self, service: str, now_us: int) -> BrokerEntry | None:
        deployment = self._deployment
        if deployment is None or service not in deployment.services:
            return None
        entry = self._entries.get(service)
        if entry is None:
            spec = deployment.services[service]
            broker = Broker(
                spec,
                self._policy,
                self._rng,
                now_us,
                prefers_own_domain=self._prefers_own_domain,
            )
            entry = BrokerEntry(broker, now_us)
            self._entries[service] = entry
            self._refresh(service, broker, now_us)
        entry.last_used_us = now_us
        return entry

    def _refresh(self, service: str, broker: Broker, now_us: int) -> Effects:
        assert self._deployment is not None
        targets = [
            target for target in self._targets if target.service == service
        ]
        spec = self._deployment.services[service]
        return broker.update_targets(
            spec, targets, self._evacuated, now_us, self._state_version
        )


def _describe_coverage(
    broker: Broker, demand: CoverageDemand, now_us: int
) -> str:
    return (
        f'kept for {demand.scope}: '
        f'{demand.requests_per_target:.2f} requests a target, '
        f'{demand.unserved_share:.3f} not served, '
        f'recovery {demand.recovery_us} us, '
        f'{broker.idle_targets(now_us)} of {len(broker.records)} targets idle'
    )


def _is_digest_due(entry: BrokerEntry, now_us: int) -> bool:
    is_active = now_us - entry.last_request_us < DIGEST_INTERVAL_US
    return is_active and now_us - entry.last_digest_us > DIGEST_INTERVAL_US
