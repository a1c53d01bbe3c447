"""The brokers of one host, one a pool: made on first use, dropped when idle."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from foxtailreach.core import effects
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.broker import (
    IMMUTABLE_TYPES,
    Broker,
    Effects,
    Standing,
)
from foxtailreach.core.dispatch.broker_notes import BrokerNotes, broker_gauges
from foxtailreach.core.dispatch.budgets import RetryPolicy
from foxtailreach.core.dispatch.deployment import Deployment, TargetSpec
from foxtailreach.core.dispatch.mirror import NO_VERSION
from foxtailreach.core.dispatch.pool_messages import (
    PoolStatus,
    SlotReferral,
    SlotScope,
)
from foxtailreach.core.dispatch.pool_status import (
    crashes_by_fingerprint,
    create_status,
    has_untried_room,
)
from foxtailreach.core.dispatch.pools import Pool, SpareSlots
from foxtailreach.core.dispatch.snapshot import copy_state, independent_rng
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

# Evidence becomes stale fast.
DIGEST_INTERVAL_US = SECOND_US
BROKER_IDLE_US = 20 * SECOND_US
# How often other pools learn of slots to spare.
STATUS_INTERVAL_US = 500 * MILLISECOND_US
# A pool without fresh evidence keeps a request at this interval, although other
# pools have slots to spare: otherwise it would never get evidence again.
KEEP_INTERVAL_US = SECOND_US
# A copy of a broker with this many waiting requests takes about 40 ms of a
# core, and the broker answers no host meanwhile. Hosts suspect it after 140 ms,
# and have 0.43 of a core or more.
MAX_COPIED_REQUESTS = 4096
# A copied and described target takes about as long as this many of them.
REQUESTS_PER_TARGET = 8


@dataclass(slots=True, frozen=True)
class Requester:
    """The host that requests a slot, and the standing of the broker's host."""

    host_id: str
    domain: str
    standing: Standing


@dataclass(slots=True)
class BrokerEntry:
    """The broker of a pool, and when it was last used.

    `spare` are the slots to spare of the service's other pools.
    """

    pool: Pool
    broker: Broker
    last_used_us: int
    spare: SpareSlots = field(default_factory=SpareSlots)
    last_kept_us: int = 0
    last_status_us: int = 0
    last_request_us: int = 0
    last_digest_us: int = 0


class ServiceBrokers:
    """One broker for each pool for which this host gets messages."""

    __slots__ = (
        '_deployment',
        '_entries',
        '_evacuated',
        '_notes',
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
        self._notes = BrokerNotes()

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
        for name, entry in list(self._entries.items()):
            if (
                deployment is None
                or entry.pool.service not in deployment.services
            ):
                self._entries.pop(name)
                self._notes.forget(name)
                continue
            new_effects.extend(self._refresh(entry.pool, entry.broker, now_us))
        return new_effects

    def snapshot(self, name: str, now_us: int) -> ServiceBrokers | None:
        """Return an independent copy with the broker of one pool.

        None if that would take too long; see `MAX_COPIED_REQUESTS`.
        """
        known = self._entries.get(name)
        if known is not None and _copy_size(known.broker) > MAX_COPIED_REQUESTS:
            return None
        copied = ServiceBrokers(
            self._policy,
            independent_rng(self._rng),
            prefers_own_domain=self._prefers_own_domain,
        )
        copied.update(
            self._deployment,
            self._targets,
            self._evacuated,
            now_us,
            self._state_version,
        )
        if known is not None:
            copied.restore(copy_state(known, IMMUTABLE_TYPES))
        return copied

    def restore(self, entry: BrokerEntry) -> None:
        """Use the broker of an entry for its pool."""
        self._entries[entry.pool.name] = entry

    def request_slot(
        self,
        sender: Requester,
        request: messages.SlotRequest,
        now_us: int,
    ) -> Effects:
        """Pass a request for a slot to the broker of its pool, or refer it.

        The request is refused if the service is not configured here.
        """
        entry = self.entry_for(request.service_name, now_us)
        if entry is None:
            cause = messages.RefusalCause.NOT_READY
            refusal = messages.SlotRefused(request.ask_id, cause, SECOND_US)
            return [messages.SendHost(sender.host_id, refusal)]
        entry.last_request_us = now_us
        entry.broker.set_standing(sender.standing)
        elsewhere = self._direct_elsewhere(entry, sender, request, now_us)
        if elsewhere is not None:
            return [
                messages.SendHost(sender.host_id, elsewhere),
                *entry.broker.cancel(sender.host_id, request.ask_id, now_us),
            ]
        return entry.broker.request_slot(
            sender.host_id,
            entry.pool.domain or sender.domain,
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
        entry = self.entry_for(report.service_name, now_us)
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

    def merge_remote(
        self,
        message: messages.EvidenceDigest | messages.TurnedAway | PoolStatus,
        now_us: int,
    ) -> None:
        """Update brokers with what other hosts have seen."""
        match message:
            case messages.EvidenceDigest():
                entry = self.entry_for(message.service_name, now_us)
                if entry is not None:
                    entry.broker.merge_evidence(message, now_us)
            case messages.TurnedAway():
                entry = self.entry_for(message.service_name, now_us)
                if entry is not None:
                    entry.broker.record_turned_away(now_us)
            case PoolStatus():
                self._record_pool_status(message, now_us)

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
        choose_recipients: Callable[[Pool], Iterable[str]],
        choose_broker: Callable[[Pool], str],
        now_us: int,
    ) -> Effects:
        """Advance all brokers, drop idle ones, and send evidence digests.

        Each active broker sends a digest to the recipients for its pool, every
        `DIGEST_INTERVAL_US`, and the slots that it can spare to the brokers of
        the other pools of its service.
        """
        new_effects: Effects = []
        for name, entry in list(self._entries.items()):
            new_effects.extend(entry.broker.tick(now_us))
            if now_us - entry.last_used_us > BROKER_IDLE_US:
                self._entries.pop(name)
                self._notes.forget(name)
                continue
            if _is_digest_due(entry, now_us):
                entry.last_digest_us = now_us
                digest = entry.broker.digest(now_us)
                new_effects.extend(
                    messages.SendHost(host_id, digest)
                    for host_id in choose_recipients(entry.pool)
                )
            new_effects.extend(self._report_spare(entry, choose_broker, now_us))
        return new_effects

    def notes(self, now_us: int) -> list[effects.Note]:
        """Describe the brokers for the log."""
        brokers = {name: entry.broker for name, entry in self._entries.items()}
        return self._notes.collect(brokers, now_us)

    def gauges(self) -> dict[str, int]:
        """Return the metrics of all brokers by name."""
        gauges: dict[str, int] = {}
        for name, entry in self._entries.items():
            gauges.update(broker_gauges(name, entry.broker))
        return gauges

    def _direct_elsewhere(
        self,
        entry: BrokerEntry,
        sender: Requester,
        request: messages.SlotRequest,
        now_us: int,
    ) -> SlotReferral | messages.SlotRefused | None:
        """Refer a request to another pool, or refuse it one of this pool.

        None if the broker of this pool decides.
        """
        broker = entry.broker
        host_id, ask_id = sender.host_id, request.ask_id
        if request.scope is SlotScope.FINAL or broker.is_decided(
            host_id, ask_id
        ):
            return None
        # To a pool all requests are from its own domain.
        if broker.finds_target(host_id, entry.pool.domain, request, now_us):
            return None
        if request.scope is SlotScope.OVERFLOW:
            if has_untried_room(broker, now_us):
                return None
            cause = messages.RefusalCause.NO_SPARE
            return messages.SlotRefused(ask_id, cause, 0)
        others = self._domains_of(entry.pool.service) - {entry.pool.domain}
        domain = entry.spare.take(others, now_us)
        accepts_work = any(
            record.accepts_work for record in broker.records.values()
        )
        if not accepts_work:
            domain = domain or self._other_domain(entry.pool)
        elif now_us - entry.last_kept_us > KEEP_INTERVAL_US:
            entry.last_kept_us = now_us
            return None
        if not domain:
            return None
        return SlotReferral(ask_id, domain, is_final=not accepts_work)

    def _record_pool_status(self, status: PoolStatus, now_us: int) -> None:
        """Record the status of a pool for the other ones of its service."""
        if self._deployment is None:
            return
        reported = Pool.parse(status.service_name, self._deployment.services)
        for entry in self._entries.values():
            if reported is None or not entry.pool.is_beside(reported):
                continue
            entry.spare.record(reported.domain, status.spare_slots, now_us)
            entry.broker.crashes.replace_elsewhere(
                reported.domain, crashes_by_fingerprint(status)
            )

    def _other_domain(self, pool: Pool) -> str:
        """Return the other domain with the most targets; '' if none has any."""
        counts = Counter(
            target.domain
            for target in self._targets
            if target.service == pool.service
            and target.domain != pool.domain
            and not target.is_draining
            and target.domain not in self._evacuated
        )
        return counts.most_common(1)[0][0] if counts else ''

    def _report_spare(
        self,
        entry: BrokerEntry,
        choose_broker: Callable[[Pool], str],
        now_us: int,
    ) -> Effects:
        """Tell the brokers of the service's other pools of slots to spare."""
        pool = entry.pool
        is_active = now_us - entry.last_request_us < BROKER_IDLE_US
        is_due = now_us - entry.last_status_us > STATUS_INTERVAL_US
        if not pool.domain or not is_active or not is_due:
            return []
        entry.last_status_us = now_us
        status = create_status(pool, entry.broker, now_us)
        domains = self._domains_of(pool.service)
        return [
            messages.SendHost(host_id, status)
            for domain in sorted(domains - {pool.domain})
            if (host_id := choose_broker(Pool(pool.service, domain)))
        ]

    def entry_for(self, name: str, now_us: int) -> BrokerEntry | None:
        """Return the entry of a pool, made if its service is configured."""
        deployment = self._deployment
        entry = self._entries.get(name)
        if entry is None and deployment is not None:
            pool = Pool.parse(name, deployment.services)
            if pool is None:
                return None
            pools = 1
            if pool.domain:
                pools = max(1, len(self._domains_of(pool.service)))
            broker = Broker(
                deployment.services[pool.service],
                # Each pool has its part of the slack.
                replace(self._policy, slack=self._policy.slack // pools),
                self._rng,
                now_us,
                pool=pool,
                pools=pools,
                prefers_own_domain=self._prefers_own_domain,
            )
            entry = BrokerEntry(pool, broker, now_us)
            self._entries[name] = entry
            self._refresh(pool, broker, now_us)
        if entry is not None:
            entry.last_used_us = now_us
        return entry

    def _domains_of(self, service: str) -> set[str]:
        return {
            target.domain
            for target in self._targets
            if target.service == service
        }

    def _refresh(self, pool: Pool, broker: Broker, now_us: int) -> Effects:
        assert self._deployment is not None
        targets = [target for target in self._targets if pool.includes(target)]
        spec = self._deployment.services[pool.service]
        return broker.update_targets(
            spec, targets, self._evacuated, now_us, self._state_version
        )


def _copy_size(broker: Broker) -> int:
    """Return the size of a broker's state in waiting requests."""
    return broker.queue_length + REQUESTS_PER_TARGET * len(broker.records)


def _is_digest_due(entry: BrokerEntry, now_us: int) -> bool:
    is_active = now_us - entry.last_request_us < DIGEST_INTERVAL_US
    return is_active and now_us - entry.last_digest_us > DIGEST_INTERVAL_US
