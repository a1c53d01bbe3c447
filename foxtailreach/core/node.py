"""State machine that makes all decisions of one host.

`Node.handle` takes an event and the time, and returns effects. The daemon,
the tests and the benchmarks all drive this class.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core import effects, events, messages
from foxtailreach.core.catalog import Catalog
from foxtailreach.core.crashes import CrashTracker
from foxtailreach.core.directory import PoolDirectory
from foxtailreach.core.entry import EntryRouter
from foxtailreach.core.fold import Fold
from foxtailreach.core.gossip import GossipSpreader
from foxtailreach.core.limits.claims import PartitionClaims
from foxtailreach.core.limits.client import LimitClient, LimitResult
from foxtailreach.core.limits.holder import LimitHolder
from foxtailreach.core.limits.partition_locator import PartitionLocator
from foxtailreach.core.loads import LoadView
from foxtailreach.core.log_freshness import MAX_CURRENT_AGE_US, LogFreshness
from foxtailreach.core.membership import Membership
from foxtailreach.core.ownership import Ownership
from foxtailreach.core.ranking import rank_candidates
from foxtailreach.core.relay import LogRelay
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.core.verdict import Reason, Verdict

TICK_INTERVAL_US = 20 * MILLISECOND_US
CRASH_EXPIRY_INTERVAL_US = 10 * SECOND_US
# Token requests are numbered from a random start of this many bits, so that
# numbers hardly ever repeat after a restart.
SEQUENCE_BITS = 40
READERS_PER_DOMAIN = 2
READER_ROLE = 'log-reader'
MIN_FOLLOWER_POLL_FACTOR = 10
HOSTS_PER_POLL_FACTOR = 10

Effects = list[effects.Effect]


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """Identity of a node; `incarnation` must increase at every restart."""

    host_id: str
    domain: str
    incarnation: int


class Node:
    """Routes events to the components of one host."""

    __slots__ = (
        '_claims',
        '_config',
        '_gossip_spreader',
        '_is_stopped',
        '_limits',
        '_next_crash_expiry_us',
        '_now_us',
        '_reconciled_offset',
        '_reconciled_version',
        '_relay',
        'catalog',
        'crashes',
        'directory',
        'entry',
        'fold',
        'holder',
        'is_stopping',
        'loads',
        'log_freshness',
        'membership',
        'ownership',
    )

    def __init__(
        self,
        config: NodeConfig,
        rng: random.Random,
        now_us: int,
    ) -> None:
        """Create the components; see `from_config`."""
        self._config = config
        self._now_us = now_us
        self.catalog = Catalog()
        self.fold = Fold(self.catalog.apply)
        self.log_freshness = LogFreshness()
        self.crashes = CrashTracker()
        self.membership = Membership(
            config.host_id,
            config.incarnation,
            self.log_freshness,
            rng,
            now_us,
        )
        self.directory = PoolDirectory(self.membership)
        self.loads = LoadView(config.domain, rng)
        self.holder = LimitHolder(
            config.host_id,
            self.fold,
            self.catalog,
            self.log_freshness,
        )
        self._claims = PartitionClaims(self.fold, self.membership, self.holder)
        partition_locator = PartitionLocator(
            config.domain, self.fold, self.membership
        )
        self._limits = LimitClient(
            partition_locator.locate_holder,
            partition_locator.order_partitions,
            rng.getrandbits(SEQUENCE_BITS),
        )
        self.ownership = Ownership(
            self.catalog,
            self.membership,
            self.directory,
            self.crashes,
            self.loads,
            rng,
        )
        self.entry = EntryRouter(
            self.catalog,
            self.membership,
            self.directory,
            self.log_freshness,
            self.crashes,
            self._limits,
            self.loads,
            now_us,
        )
        self._relay = LogRelay(self.fold, self.log_freshness, self.membership)
        self._gossip_spreader = GossipSpreader(self.membership, rng)
        self._reconciled_version = 0
        self._reconciled_offset = 0
        self._next_crash_expiry_us = now_us
        self._is_stopped = False
        self.is_stopping = False

    @classmethod
    def from_config(
        cls,
        config: NodeConfig,
        rng: random.Random,
        now_us: int,
    ) -> Node:
        """Create a node with no configuration and an empty host list."""
        return cls(config, rng, now_us)

    def handle(self, event: events.Event, now_us: int) -> Effects:
        """Process one event and return the effects for the driver.

        Messages to this host itself are processed at once.
        """
        self._now_us = now_us
        outgoing: Effects = []
        queued_effects = deque(self._handle_event(event, now_us))
        while queued_effects:
            effect = queued_effects.popleft()
            match effect:
                case effects.SendPeer(host_id=host_id, message=message) if (
                    host_id == self._config.host_id
                ):
                    queued_effects.extend(
                        self._receive(host_id, message, now_us)
                    )
                case effects.SpreadGossip(
                    gossip_update=gossip_update, is_relayed=True
                ):
                    queued_effects.extend(
                        self._gossip_spreader.relay(gossip_update)
                    )
                case effects.SpreadGossip(gossip_update=gossip_update):
                    queued_effects.extend(
                        self._gossip_spreader.start(gossip_update)
                    )
                case _:
                    outgoing.append(effect)
        return outgoing

    def address_of(self, host_id: str) -> tuple[str, int] | None:
        """Return the address and peer port of a host, if it is listed."""
        state = self.membership.hosts.get(host_id)
        if state is None:
            return None
        return state.entry.address, state.entry.peer_port

    def poll_interval_factor(self) -> int:
        """Return the factor by which this host stretches its poll interval.

        A few readers per failure domain poll the log at factor 1 and relay
        it. The other hosts poll only as a fallback, so their factor grows
        with the fleet.
        """
        hosts = self.membership.usable_hosts(self._config.domain)
        readers = rank_candidates(hosts, READER_ROLE)[:READERS_PER_DOMAIN]
        if not readers or self._config.host_id in readers:
            return 1
        fleet = len(self.membership.hosts)
        return max(MIN_FOLLOWER_POLL_FACTOR, fleet // HOSTS_PER_POLL_FACTOR)

    def _handle_event(self, event: events.Event, now_us: int) -> Effects:
        match event:
            case events.CallerRequest():
                return self.entry.admit(event, now_us)
            case events.CallerDisconnected(request_id=request_id):
                return self.entry.caller_disconnected(request_id)
            case events.AnswerStarted(request_id=request_id):
                self.entry.answer_started(request_id)
                return []
            case events.PeerReceived(sender=sender, message=message):
                return self._receive(sender, message, now_us)
            case events.PeerUnsent(host_id=host_id, message=message):
                return self._peer_unsent(host_id, message, now_us)
            case events.PeerDisconnected(host_id=host_id):
                return self.entry.host_lost(host_id, now_us)
            case events.AttemptHead() | events.AttemptEnded():
                return self._handle_attempt_event(event, now_us)
            case _:
                return self._handle_platform_event(event, now_us)

    def _handle_attempt_event(
        self,
        event: events.AttemptHead | events.AttemptEnded,
        now_us: int,
    ) -> Effects:
        owner = self.ownership.owner_of_attempt(event.attempt_id)
        if owner is None:
            return []
        if isinstance(event, events.AttemptHead):
            return owner.attempt_head(event.attempt_id, event.status, now_us)
        self.ownership.forget_attempt(event.attempt_id)
        new_effects = owner.attempt_ended(
            event.attempt_id,
            event.outcome,
            now_us,
            was_sent=event.was_sent,
        )
        return self.ownership.attempt_ended(owner, new_effects)

    def _handle_platform_event(
        self, event: events.Event, now_us: int
    ) -> Effects:
        match event:
            case events.LogRead():
                new_effects = self._relay.read(event, now_us)
                return [*new_effects, *self._reconcile(now_us)]
            case events.HostsListed(hosts=hosts):
                return self._hosts_listed(hosts, now_us)
            case events.StopRequested():
                return self._stop(now_us)
            case events.Tick():
                return self._tick(now_us)
            case _:
                return []

    def _receive(
        self,
        sender: str,
        message: messages.PeerMessage,
        now_us: int,
    ) -> Effects:
        match message:
            case messages.Handoff():
                return self.ownership.submit(message, now_us)
            case messages.HandoffResult():
                return self.entry.handoff_finished(message, now_us)
            case messages.Forwarded():
                self.entry.forwarded(message)
                return []
            case messages.CancelHandoff(request_id=request_id):
                return self.ownership.cancel(request_id, now_us)
            case messages.PoolHandover():
                return self.ownership.accept_handover(message, now_us)
            case messages.TokenRequest():
                return [self.holder.handle_request(sender, message, now_us)]
            case messages.TokenReturn():
                self.holder.handle_return(sender, message, now_us)
                return []
            case messages.TokenGrant():
                limit_result = self._limits.handle_grant(message, now_us)
                return self._apply_limits(limit_result, now_us)
            case _:
                return self._receive_gossip(sender, message, now_us)

    def _receive_gossip(
        self,
        sender: str,
        message: messages.PeerMessage,
        now_us: int,
    ) -> Effects:
        match message:
            case messages.Ping():
                new_effects = self.membership.handle_ping(
                    sender, message, now_us
                )
                return [
                    *new_effects,
                    *self._compare_offset(sender, message, now_us),
                    *self._reconcile(now_us),
                ]
            case messages.Ack():
                new_effects = self.membership.handle_ack(
                    sender, message, now_us
                )
                return [
                    *new_effects,
                    *self._compare_offset(sender, message, now_us),
                    *self._reconcile(now_us),
                ]
            case messages.PingRequest():
                return self.membership.handle_ping_request(
                    sender,
                    message,
                    now_us,
                )
            case messages.HostRumor():
                return self._handle_host_rumor(message, now_us)
            case messages.CrashRumor():
                if self.crashes.apply_update(message, now_us):
                    return [effects.SpreadGossip(message, is_relayed=True)]
                return []
            case _:
                return self._receive_log(sender, message, now_us)

    def _receive_log(
        self,
        sender: str,
        message: messages.PeerMessage,
        now_us: int,
    ) -> Effects:
        match message:
            case messages.LogBatch():
                new_effects = self._relay.receive(sender, message, now_us)
                return [*new_effects, *self._reconcile(now_us)]
            case messages.LogPull():
                return self._relay.answer_pull(sender, message, now_us)
            case messages.Snapshot():
                self._relay.adopt_snapshot(message)
                if len(self.membership.hosts) <= 1:
                    self.membership.apply_host_list(message.hosts, now_us)
                return self._reconcile(now_us)
            case _:
                return []

    def _peer_unsent(
        self,
        host_id: str,
        message: messages.PeerMessage,
        now_us: int,
    ) -> Effects:
        match message:
            case messages.Handoff(head=head, origin=origin) if (
                origin == self._config.host_id
            ):
                return self.entry.handoff_unsent(head.request_id, now_us)
            case messages.Handoff(head=head, origin=origin):
                return [_undelivered_result(origin, head.request_id)]
            case messages.TokenRequest():
                limit_result = self._limits.handle_unsent(message, now_us)
                return self._apply_limits(limit_result, now_us)
            case _:
                return []

    def _handle_host_rumor(
        self, gossip_update: messages.HostRumor, now_us: int
    ) -> Effects:
        new_effects = self.membership.apply_update(gossip_update, now_us)
        if new_effects is None:
            return []
        if gossip_update.host_id != self._config.host_id:
            new_effects.append(
                effects.SpreadGossip(gossip_update, is_relayed=True)
            )
            note = effects.Note(
                'host', gossip_update.host_id, gossip_update.liveness.value
            )
            new_effects.append(note)
        if gossip_update.liveness is messages.Liveness.DOWN:
            new_effects.extend(
                self.entry.host_lost(gossip_update.host_id, now_us)
            )
        return [*new_effects, *self._reconcile(now_us)]

    def _compare_offset(
        self,
        sender: str,
        message: messages.Ping | messages.Ack,
        now_us: int,
    ) -> Effects:
        return self._relay.compare_offset(
            sender,
            message.log_offset,
            message.log_age_us,
            now_us,
        )

    def _hosts_listed(
        self,
        hosts: Iterable[messages.HostEntry],
        now_us: int,
    ) -> Effects:
        is_first = not self.membership.hosts
        self.membership.apply_host_list(hosts, now_us)
        new_effects = self._reconcile(now_us)
        if is_first and self.membership.hosts:
            new_effects.append(effects.SpreadGossip(self.membership.announce()))
        return new_effects

    def _stop(self, now_us: int) -> Effects:
        if self.is_stopping:
            return []
        self.is_stopping = True
        self.entry.is_stopping = True
        gossip_update = self.membership.leave()
        return [
            effects.SpreadGossip(gossip_update),
            *self._claims.release(),
            *self._reconcile(now_us),
        ]

    def _tick(self, now_us: int) -> Effects:
        new_effects: Effects = []
        new_effects.extend(self.membership.tick(now_us, self.fold.next_offset))
        new_effects.extend(
            self._apply_limits(self._limits.tick(now_us), now_us)
        )
        new_effects.extend(self.entry.tick(now_us))
        is_connected = self.log_freshness.is_connected(now_us)
        new_effects.extend(
            self.ownership.tick(now_us, is_connected=is_connected)
        )
        can_append = 0 <= self.log_freshness.age_us(now_us) < MAX_CURRENT_AGE_US
        new_effects.extend(self._claims.tick(now_us, can_append=can_append))
        new_effects.extend(self._relay.snapshot_if_due(can_append=can_append))
        if now_us >= self._next_crash_expiry_us:
            self._next_crash_expiry_us = now_us + CRASH_EXPIRY_INTERVAL_US
            self.crashes.expire(now_us)
        new_effects.extend(self._reconcile(now_us))
        new_effects.extend(self._stopped_if_idle())
        return new_effects

    def _stopped_if_idle(self) -> Effects:
        if not self.is_stopping or self._is_stopped:
            return []
        if self.entry.pending or not self.ownership.is_idle:
            return []
        self._is_stopped = True
        return [effects.Stopped()]

    def _reconcile(self, now_us: int) -> Effects:
        version = self.membership.version
        is_same = version == self._reconciled_version
        if is_same and self.fold.next_offset == self._reconciled_offset:
            return []
        self._reconciled_version = version
        self._reconciled_offset = self.fold.next_offset
        self.holder.refresh_terms(now_us)
        return self.ownership.reconcile(now_us)

    def _apply_limits(self, limit_result: LimitResult, now_us: int) -> Effects:
        return [
            *limit_result.effects,
            *self.entry.apply_decisions(limit_result.decisions, now_us),
        ]


def _undelivered_result(origin: str, request_id: str) -> effects.Effect:
    result = messages.HandoffResult(
        request_id=request_id,
        verdict=Verdict.NOT_RUN,
        reason=Reason.HOST_LOST,
    )
    return effects.SendPeer(origin, result)
