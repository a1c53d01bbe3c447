"""Failure detection among hosts at a cost that does not grow with the fleet.

Each host pings a few neighbours on a hash ring. A neighbour that stays
silent is suspected and pinged through other hosts before it is reported as
down. The report spreads by gossip. A host that was wrongly reported refutes
the report with a higher incarnation.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Container, Iterable
from dataclasses import dataclass

import xxhash

from foxtailreach.core import effects, messages
from foxtailreach.core.log_freshness import LogFreshness
from foxtailreach.core.messages import HostEntry, HostRumor, Liveness
from foxtailreach.core.ranking import rendezvous_score
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

NEIGHBOUR_COUNT = 3
INDIRECT_PINGERS = 3
MAX_TICK_GAP_US = SECOND_US
# Hashed with a host's name to get its place on the ring.
RING_SUBJECT = 'ring'
_DIGEST_BITS = 63

Effects = list[effects.Effect]


@dataclass(slots=True, frozen=True)
class HeartbeatTiming:
    """Interval of pings and times until a silent host is reported.

    A host is suspected after `suspect_after_us` without a ping or an ack from
    it. It is reported as down `down_after_us` later. Hosts that are not watched
    closely are pinged in every `ring_rounds`-th interval only, and the times
    until they are reported are as many times longer.
    """

    interval_us: int = 250 * MILLISECOND_US
    suspect_after_us: int = 750 * MILLISECOND_US
    down_after_us: int = 500 * MILLISECOND_US
    ring_rounds: int = 1


DEFAULT_TIMING = HeartbeatTiming()


@dataclass(slots=True)
class HostState:
    """Last known state of one host; `suspected_us` is 0 if not suspected."""

    entry: HostEntry
    incarnation: int = 0
    liveness: Liveness = Liveness.UP
    last_heard_us: int = 0
    suspected_us: int = 0


class Membership:
    """Hosts in the platform's list, and their liveness by heartbeats."""

    __slots__ = (
        '_last_tick_us',
        '_log_freshness',
        '_log_offset',
        '_next_ping_us',
        '_ring_order',
        '_rng',
        '_round',
        '_sequence',
        '_timing',
        '_view_digest',
        '_view_key',
        '_watched',
        '_watched_neighbours',
        'host_id',
        'hosts',
        'incarnation',
        'is_leaving',
        'neighbours',
        'version',
    )

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        log_freshness: LogFreshness,
        rng: random.Random,
        now_us: int,
        timing: HeartbeatTiming = DEFAULT_TIMING,
    ) -> None:
        """Start with an empty host list; see `apply_host_list`."""
        self._timing = timing
        self.host_id = host_id
        self.incarnation = incarnation
        self.is_leaving = False
        self.hosts: dict[str, HostState] = {}
        self.neighbours: tuple[str, ...] = ()
        self.version = 0
        self._log_freshness = log_freshness
        self._rng = rng
        self._round = 0
        self._ring_order: list[str] = []
        self._watched: frozenset[str] = frozenset()
        self._watched_neighbours: tuple[str, ...] = ()
        self._sequence = 0
        self._log_offset = 0
        self._next_ping_us = now_us
        self._last_tick_us = now_us
        self._view_key: tuple[int, int] | None = None
        self._view_digest = 0

    def is_usable(self, host_id: str) -> bool:
        """Tell whether a host may own pools and get new work."""
        if host_id == self.host_id:
            return not self.is_leaving
        state = self.hosts.get(host_id)
        return state is not None and _is_usable(state)

    def usable_hosts(self, domain: str | None = None) -> list[str]:
        """List the hosts that may own pools, including this host."""
        return [
            host_id
            for host_id, state in self.hosts.items()
            if self.is_usable(host_id) and domain in {None, state.entry.domain}
        ]

    def others(self) -> list[str]:
        """List the other hosts that are not known to be down."""
        return [
            host_id
            for host_id, state in self.hosts.items()
            if host_id != self.host_id and state.liveness is not Liveness.DOWN
        ]

    def apply_host_list(
        self, entries: Iterable[HostEntry], now_us: int
    ) -> bool:
        """Apply the platform's host list; true if the membership changed."""
        listed = {entry.host_id: entry for entry in entries}
        gone = self.hosts.keys() - listed.keys()
        changed = bool(gone)
        for host_id in gone:
            self.hosts.pop(host_id)
        for host_id, entry in listed.items():
            changed = self._update_entry(host_id, entry, now_us) or changed
        if changed:
            self._update_ring()
        self._log_freshness.record_host_list(has_peers=len(self.hosts) > 1)
        return changed

    def watch_closely(self, hosts: frozenset[str]) -> None:
        """Let these hosts watch each other, besides the ring of all hosts."""
        if hosts != self._watched:
            self._watched = hosts
            self._view_key = None
            self._watched_neighbours = self._next_on_ring(hosts)

    @property
    def view_digest(self) -> int:
        """Hash `watched_liveness` to a non-negative 63-bit integer.

        It is 0 without hosts that are watched closely.
        """
        key = (self.version, self.incarnation)
        if key != self._view_key:
            self._view_key = key
            self._view_digest = 0
            for entry in self.watched_liveness():
                text = f'{entry.host_id}/{entry.incarnation}/{entry.liveness}'
                digest = xxhash.xxh64_intdigest(text.encode())
                self._view_digest ^= int(digest) >> (64 - _DIGEST_BITS)
        return self._view_digest

    def watched_liveness(self) -> tuple[HostRumor, ...]:
        """Return what is known of the hosts that are watched closely."""
        return tuple(
            HostRumor(host_id, state.incarnation, state.liveness)
            if host_id != self.host_id
            else self.announce()
            for host_id, state in self.hosts.items()
            if host_id in self._watched
        )

    def announce(self) -> HostRumor:
        """Build the gossip update with this host's own liveness."""
        liveness = Liveness.LEAVING if self.is_leaving else Liveness.UP
        return HostRumor(self.host_id, self.incarnation, liveness)

    def leave(self) -> HostRumor:
        """Stop being a candidate for ownership; return the update to spread."""
        self.is_leaving = True
        self._update_ring()
        return self.announce()

    def create_ping(self, now_us: int, on_behalf_of: str = '') -> messages.Ping:
        """Build a heartbeat to any host, with the next sequence number."""
        self._sequence += 1
        return messages.Ping(
            sequence=self._sequence,
            incarnation=self.incarnation,
            log_offset=self._log_offset,
            log_age_us=self._log_freshness.age_us(now_us),
            on_behalf_of=on_behalf_of,
            view_digest=self.view_digest,
        )

    def apply_update(
        self, gossip_update: HostRumor, now_us: int
    ) -> Effects | None:
        """Apply a gossip update; None if it is not new and need not spread."""
        if gossip_update.host_id == self.host_id:
            return self._refute(gossip_update)
        state = self.hosts.get(gossip_update.host_id)
        if state is None or not _supersedes(gossip_update, state):
            return None
        if gossip_update.liveness is Liveness.UP:
            state.last_heard_us = now_us
        state.incarnation = gossip_update.incarnation
        state.liveness = gossip_update.liveness
        state.suspected_us = 0
        self._update_ring()
        return []

    def handle_ping(
        self, sender: str, ping: messages.Ping, now_us: int
    ) -> Effects:
        """Answer a heartbeat."""
        new_effects = self._record_alive(sender, ping.incarnation, now_us)
        self._log_freshness.record_peer(sender, ping.log_age_us, now_us)
        ack = messages.Ack(
            sequence=ping.sequence,
            subject=self.host_id,
            incarnation=self.incarnation,
            log_offset=self._log_offset,
            log_age_us=self._log_freshness.age_us(now_us),
            view_digest=self.view_digest,
        )
        new_effects.append(effects.SendPeer(sender, ack))
        if ping.on_behalf_of:
            new_effects.append(effects.SendPeer(ping.on_behalf_of, ack))
        return new_effects

    def handle_ack(
        self, sender: str, ack: messages.Ack, now_us: int
    ) -> Effects:
        """Record that the subject of an ack is alive."""
        if sender == ack.subject:
            self._log_freshness.record_peer(sender, ack.log_age_us, now_us)
        return self._record_alive(ack.subject, ack.incarnation, now_us)

    def handle_ping_request(
        self,
        sender: str,
        request: messages.PingRequest,
        now_us: int,
    ) -> Effects:
        """Ping a host on behalf of a sender that cannot reach it."""
        return [self._ping(request.subject, now_us, on_behalf_of=sender)]

    def tick(self, now_us: int, log_offset: int) -> Effects:
        """Ping neighbours and report those that stay silent.

        After a gap of more than `MAX_TICK_GAP_US` between ticks this host
        itself was paused, so silence starts counting anew. A host that hears
        from no other host reports none, because it may itself be isolated.
        """
        self._log_offset = log_offset
        paused_us = now_us - self._last_tick_us
        self._last_tick_us = now_us
        if paused_us > MAX_TICK_GAP_US:
            self._reset_silence(now_us)
        if now_us < self._next_ping_us:
            return []
        self._next_ping_us = now_us + self._timing.interval_us
        self._round += 1
        rounds_by_host = dict.fromkeys(self._watched_neighbours, 1)
        if self._round % self._timing.ring_rounds == 0:
            for neighbour in self.neighbours:
                rounds_by_host.setdefault(neighbour, self._timing.ring_rounds)
        new_effects: Effects = []
        for host_id, rounds in rounds_by_host.items():
            new_effects.append(self._ping(host_id, now_us))
            new_effects.extend(self._check_liveness(host_id, rounds, now_us))
        return new_effects

    def _update_entry(
        self,
        host_id: str,
        entry: HostEntry,
        now_us: int,
    ) -> bool:
        state = self.hosts.get(host_id)
        if state is None:
            self.hosts[host_id] = HostState(entry, last_heard_us=now_us)
            return True
        changed = state.entry != entry
        state.entry = entry
        return changed

    def _update_ring(self) -> None:
        self.version += 1
        if len(self._ring_order) != len(self.hosts) or any(
            host_id not in self.hosts for host_id in self._ring_order
        ):
            self._ring_order = sorted(
                self.hosts,
                key=lambda host_id: rendezvous_score(host_id, RING_SUBJECT),
            )
        self.neighbours = self._next_on_ring(self.hosts)
        self._watched_neighbours = self._next_on_ring(self._watched)

    def _next_on_ring(self, hosts: Container[str]) -> tuple[str, ...]:
        """Return the hosts that follow this one, among `hosts`.

        Empty if this host is not among them.
        """
        order = self._ring_order
        if self.host_id not in hosts or self.host_id not in self.hosts:
            return ()
        own = order.index(self.host_id)
        following: list[str] = []
        for host_id in itertools.chain(order[own + 1 :], order[:own]):
            if len(following) == NEIGHBOUR_COUNT:
                break
            if host_id in hosts and not self.hosts[host_id].entry.is_leaving:
                following.append(host_id)
        return tuple(following)

    def _ping(
        self,
        host_id: str,
        now_us: int,
        on_behalf_of: str = '',
    ) -> effects.Effect:
        ping = self.create_ping(now_us, on_behalf_of)
        return effects.SendPeer(host_id, ping)

    def _check_liveness(
        self, host_id: str, rounds: int, now_us: int
    ) -> Effects:
        """Report a host that is pinged once in `rounds` intervals."""
        state = self.hosts[host_id]
        silent_us = now_us - state.last_heard_us
        if (
            state.liveness is Liveness.DOWN
            or silent_us < self._timing.suspect_after_us * rounds
        ):
            return []
        if not state.suspected_us:
            state.suspected_us = now_us
            return self._request_indirect_pings(host_id)
        if now_us - state.suspected_us < self._timing.down_after_us * rounds:
            return []
        if not self._log_freshness.is_connected(now_us):
            return []
        gossip_update = HostRumor(host_id, state.incarnation, Liveness.DOWN)
        self.apply_update(gossip_update, now_us)
        return [effects.SpreadGossip(gossip_update)]

    def _request_indirect_pings(self, host_id: str) -> Effects:
        candidates = [other for other in self.others() if other != host_id]
        count = min(INDIRECT_PINGERS, len(candidates))
        request = messages.PingRequest(host_id)
        return [
            effects.SendPeer(pinger, request)
            for pinger in self._rng.sample(candidates, count)
        ]

    def _record_alive(
        self,
        host_id: str,
        incarnation: int,
        now_us: int,
    ) -> Effects:
        state = self.hosts.get(host_id)
        if state is None:
            return []
        state.last_heard_us = now_us
        state.suspected_us = 0
        is_back = state.liveness is Liveness.DOWN
        if incarnation <= state.incarnation and not is_back:
            return []
        if incarnation < state.incarnation:
            return []
        if is_back and incarnation == state.incarnation:
            # The host refutes this with a higher incarnation.
            down_update = HostRumor(host_id, incarnation, Liveness.DOWN)
            return [effects.SendPeer(host_id, down_update)]
        if is_back or incarnation > state.incarnation:
            state.incarnation = incarnation
            state.liveness = Liveness.UP
            self._update_ring()
            gossip_update = HostRumor(host_id, incarnation, Liveness.UP)
            return [effects.SpreadGossip(gossip_update)]
        return []

    def _refute(self, gossip_update: HostRumor) -> Effects | None:
        if gossip_update.incarnation < self.incarnation:
            return None
        if gossip_update == self.announce():
            return None
        self.incarnation = gossip_update.incarnation + 1
        return [effects.SpreadGossip(self.announce())]

    def _reset_silence(self, now_us: int) -> None:
        for state in self.hosts.values():
            state.last_heard_us = now_us
            state.suspected_us = 0


# Of two updates with the same incarnation, the more severe one is kept.
_SEVERITY = {Liveness.UP: 0, Liveness.LEAVING: 1, Liveness.DOWN: 2}


def _supersedes(gossip_update: HostRumor, state: HostState) -> bool:
    if gossip_update.incarnation != state.incarnation:
        return gossip_update.incarnation > state.incarnation
    return _SEVERITY[gossip_update.liveness] > _SEVERITY[state.liveness]


def _is_usable(state: HostState) -> bool:
    return state.liveness is Liveness.UP and not state.entry.is_leaving
