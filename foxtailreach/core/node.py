"""One host's decisions as a state machine.

`Node.handle` takes an event and the time and returns effects. The daemon,
the tests and the benches all drive this one class.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core import effects, events, messages
from foxtailreach.core.catalog import Catalog
from foxtailreach.core.crashes import CrashTracker
from foxtailreach.core.directory import Directory
from foxtailreach.core.entry import EntryRouter
from foxtailreach.core.fold import Fold
from foxtailreach.core.gossip import GossipSpreader
from foxtailreach.core.limits.claims import SeatClaims
from foxtailreach.core.limits.client import LimitClient, Step
from foxtailreach.core.limits.holder import LimitHolder
from foxtailreach.core.limits.seating import Seating
from foxtailreach.core.loads import LoadView
from foxtailreach.core.log_freshness import CURRENT_US, LogFreshness
from foxtailreach.core.membership import Membership
from foxtailreach.core.ownership import Ownership
from foxtailreach.core.ranking import rank_candidates
from foxtailreach.core.relay import LogRelay
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.core.verdict import Reason, Verdict

TICK_INTERVAL_US = 20 * MILLISECOND_US
EXPIRY_INTERVAL_US = 10 * SECOND_US
SEQUENCE_BITS = 40
READERS_PER_DOMAIN = 2
READER_ROLE = 'log-reader'
MIN_FOLLOWER_FACTOR = 10
HOSTS_PER_FOLLOWER_FACTOR = 10

Effects = list[effects.Effect]


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """Identity of a node; `incarnation` must grow with every restart."""

    host_id: str
    domain: str
    incarnation: int


class Node:
    """Composes the policies of one host."""

    __slots__ = (
        '_claims',
        '_config',
        '_is_stopped',
        '_limits',
        '_membership_version',
        '_next_expiry_us',
        '_now_us',
        '_relay',
        '_gossip_spreader',
        '_version_reviewed',
        'catalog',
        'crashes',
        'directory',
        'entry',
        'fold',
        'holder',
        'is_stopping',
        'log_freshness',
        'loads',
        'membership',
        'ownership',
    )

    def __init__(
        self,
        config: NodeConfig,
        rng: random.Random,
        now_us: int,
    ) -> None:
        """Compose the policies; see `from_config`."""
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
        self.directory = Directory(self.membership)
        self.loads = LoadView(config.domain, rng)
        self.holder = LimitHolder(
            config.host_id,
            self.fold,
            self.catalog,
            self.log_freshness,
        )
        self._claims = SeatClaims(self.fold, self.membership, self.holder)
        seating = Seating(config.domain, self.fold, self.membership)
        self._limits = LimitClient(
            seating.locate,
            seating.order,
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
        self._membership_version = 0
        self._version_reviewed = 0
        self._next_expiry_us = now_us
        self._is_stopped = False
        self.is_stopping = False

    @classmethod
    def from_config(
        cls,
        config: NodeConfig,
        rng: random.Random,
        now_us: int,
    ) -> Node:
        """Create a node that knows nothing yet."""
        return cls(config, rng, now_us)

    def handle(self, event: events.Event, now_us: int) -> Effects:
        """Process one event; local messages are processed at once."""
        self._now_us = now_us
        outgoing: Effects = []
        todo = deque(self._decide(event, now_us))
        while todo:
            effect = todo.popleft()
            match effect:
                case effects.SendPeer(host_id=host_id, message=message) if (
                    host_id == self._config.host_id
                ):
                    todo.extend(self._receive(host_id, message, now_us))
                case effects.SpreadGossip(
                    gossip_update=gossip_update, is_relayed=True
                ):
                    todo.extend(self._gossip_spreader.relay(gossip_update))
                case effects.SpreadGossip(gossip_update=gossip_update):
                    todo.extend(self._gossip_spreader.start(gossip_update))
                case _:
                    outgoing.append(effect)
        return outgoing

    def address_of(self, host_id: str) -> tuple[str, int] | None:
        """Return where a host listens for other hosts."""
        state = self.membership.hosts.get(host_id)
        if state is None:
            return None
        return state.entry.address, state.entry.peer_port

    def poll_interval_factor(self) -> int:
        """Return how much longer than a log reader this host may wait.

        A few readers per failure domain read the log for the others, whose
        own reads are a backstop and grow rarer with the fleet.
        """
        hosts = self.membership.usable_hosts(self._config.domain)
        readers = rank_candidates(hosts, READER_ROLE)[:READERS_PER_DOMAIN]
        if not readers or self._config.host_id in readers:
            return 1
        fleet = len(self.membership.hosts)
        return max(MIN_FOLLOWER_FACTOR, fleet // HOSTS_PER_FOLLOWER_FACTOR)

    def _decide(self, event: events.Event, now_us: int) -> Effects:
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
                return self._unsent(host_id, message, now_us)
            case events.PeerDisconnected(host_id=host_id):
                return self.entry.host_lost(host_id, now_us)
            case events.AttemptHead() | events.AttemptEnded():
                return self._attempt_event(event, now_us)
            case _:
                return self._platform_event(event, now_us)

    def _attempt_event(
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
        step = owner.attempt_ended(
            event.attempt_id,
            event.outcome,
            now_us,
            was_sent=event.was_sent,
        )
        return self.ownership.attempt_ended(owner, step)

    def _platform_event(self, event: events.Event, now_us: int) -> Effects:
        match event:
            case events.LogRead():
                step = self._relay.read(event, now_us)
                return [*step, *self._review(now_us)]
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
                return self.entry.concluded(message, now_us)
            case messages.Forwarded():
                self.entry.forwarded(message)
                return []
            case messages.CancelHandoff(request_id=request_id):
                return self.ownership.cancel(request_id, now_us)
            case messages.PoolHandover():
                return self.ownership.handover(message, now_us)
            case messages.TokenRequest():
                return [self.holder.handle_request(sender, message, now_us)]
            case messages.TokenReturn():
                self.holder.handle_return(sender, message, now_us)
                return []
            case messages.TokenGrant():
                step = self._limits.handle_grant(message, now_us)
                return self._apply_limits(step, now_us)
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
                step = self.membership.handle_ping(sender, message, now_us)
                return [
                    *step,
                    *self._compare(sender, message, now_us),
                    *self._review(now_us),
                ]
            case messages.Ack():
                step = self.membership.handle_ack(sender, message, now_us)
                return [
                    *step,
                    *self._compare(sender, message, now_us),
                    *self._review(now_us),
                ]
            case messages.PingRequest():
                return self.membership.handle_ping_request(
                    sender,
                    message,
                    now_us,
                )
            case messages.HostRumor():
                return self._host_rumor(message, now_us)
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
                step = self._relay.receive(sender, message, now_us)
                return [*step, *self._review(now_us)]
            case messages.LogPull():
                return self._relay.answer_pull(sender, message, now_us)
            case messages.Snapshot():
                self._relay.adopt_snapshot(message)
                if len(self.membership.hosts) <= 1:
                    self.membership.apply_host_list(message.hosts, now_us)
                return self._review(now_us)
            case _:
                return []

    def _unsent(
        self,
        host_id: str,
        message: messages.PeerMessage,
        now_us: int,
    ) -> Effects:
        match message:
            case messages.Handoff(head=head, origin=origin) if (
                origin == self._config.host_id
            ):
                return self.entry.unsent(head.request_id, now_us)
            case messages.Handoff(head=head, origin=origin):
                return [_undelivered(origin, head.request_id)]
            case messages.TokenRequest():
                step = self._limits.handle_unsent(message, now_us)
                return self._apply_limits(step, now_us)
            case _:
                return []

    def _host_rumor(
        self, gossip_update: messages.HostRumor, now_us: int
    ) -> Effects:
        step = self.membership.apply_update(gossip_update, now_us)
        if step is None:
            return []
        if gossip_update.host_id != self._config.host_id:
            step.append(effects.SpreadGossip(gossip_update, is_relayed=True))
            note = effects.Note(
                'host', gossip_update.host_id, gossip_update.liveness.value
            )
            step.append(note)
        if gossip_update.liveness is messages.Liveness.DOWN:
            step.extend(self.entry.host_lost(gossip_update.host_id, now_us))
        return [*step, *self._review(now_us)]

    def _compare(
        self,
        sender: str,
        message: messages.Ping | messages.Ack,
        now_us: int,
    ) -> Effects:
        return self._relay.compare(
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
        step = self._review(now_us)
        if is_first and self.membership.hosts:
            step.append(effects.SpreadGossip(self.membership.announce()))
        return step

    def _stop(self, now_us: int) -> Effects:
        if self.is_stopping:
            return []
        self.is_stopping = True
        self.entry.is_stopping = True
        gossip_update = self.membership.leave()
        return [
            effects.SpreadGossip(gossip_update),
            *self._claims.release(),
            *self._review(now_us),
        ]

    def _tick(self, now_us: int) -> Effects:
        step: Effects = []
        step.extend(self.membership.tick(now_us, self.fold.next_offset))
        step.extend(self._apply_limits(self._limits.tick(now_us), now_us))
        step.extend(self.entry.tick(now_us))
        is_connected = self.log_freshness.is_connected(now_us)
        step.extend(self.ownership.tick(now_us, is_connected=is_connected))
        can_append = 0 <= self.log_freshness.age_us(now_us) < CURRENT_US
        step.extend(self._claims.tick(now_us, can_append=can_append))
        step.extend(self._relay.snapshot_if_due(can_append=can_append))
        if now_us >= self._next_expiry_us:
            self._next_expiry_us = now_us + EXPIRY_INTERVAL_US
            self.crashes.expire(now_us)
        step.extend(self._review(now_us))
        step.extend(self._stopped_if_idle())
        return step

    def _stopped_if_idle(self) -> Effects:
        if not self.is_stopping or self._is_stopped:
            return []
        if self.entry.pending or not self.ownership.is_idle:
            return []
        self._is_stopped = True
        return [effects.Stopped()]

    def _review(self, now_us: int) -> Effects:
        version = self.membership.version
        is_same = version == self._membership_version
        if is_same and self.fold.next_offset == self._version_reviewed:
            return []
        self._membership_version = version
        self._version_reviewed = self.fold.next_offset
        self.holder.refresh_terms(now_us)
        return self.ownership.review(now_us)

    def _apply_limits(self, step: Step, now_us: int) -> Effects:
        return [*step.effects, *self.entry.decide(step.decisions, now_us)]


def _undelivered(origin: str, request_id: str) -> effects.Effect:
    result = messages.HandoffResult(
        request_id=request_id,
        verdict=Verdict.NOT_RUN,
        reason=Reason.HOST_LOST,
    )
    return effects.SendPeer(origin, result)
