"""Handles the messages by which hosts learn of each other.

Load pattern: many hosts are lost, restarted or added at once. All hosts need
to know which coordinators are alive, but only the coordinators need to know
that of the other hosts; sent to all, a lost failure domain would cost each host
a message for each lost one.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import cast

from foxtailreach.core import effects
from foxtailreach.core import messages as core_messages
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.coordinators import Coordinators
from foxtailreach.core.dispatch.introduction import (
    PINGED_HOSTS,
    Introduction,
)
from foxtailreach.core.gossip import GossipSpreader
from foxtailreach.core.membership import Membership
from foxtailreach.core.units import MILLISECOND_US

Effects = list[messages.SendHost | effects.Note]
# Releases the slots of a lost host, at a time in microseconds.
ReleaseSlots = Callable[[str, int], Iterable[messages.SendHost]]
HeartbeatMessage = core_messages.Ping | core_messages.Ack
# A host that knows otherwise gets a table at most once in this time.
TABLE_INTERVAL_US = 400 * MILLISECOND_US


class HostMessages:
    """Heartbeats, announcements and gossip of one host."""

    __slots__ = (
        '_coordinators',
        '_membership',
        '_own_entry',
        '_release_slots',
        '_rng',
        '_spreader',
        '_table_sent_us',
        'introduction',
    )

    def __init__(
        self,
        own_entry: core_messages.HostEntry,
        membership: Membership,
        coordinators: Coordinators,
        release_slots: ReleaseSlots,
        rng: random.Random,
    ) -> None:
        """Update `membership` with what arrives."""
        self._own_entry = own_entry
        self._membership = membership
        self._coordinators = coordinators
        self._release_slots = release_slots
        self._spreader = GossipSpreader(membership, rng)
        self._rng = rng
        self._table_sent_us: dict[str, int] = {}
        self.introduction = Introduction()

    def tick(self, now_us: int) -> Effects:
        """Send heartbeats, and report hosts that stay silent."""
        self._membership.watch_closely(self._coordinators.hosts)
        new_effects = self._to_messages(self._membership.tick(now_us, 0))
        new_effects.extend(self._ask_for_introduction(now_us))
        return new_effects

    def leave(self) -> Effects:
        """Announce that this host leaves."""
        update = self._membership.leave()
        return self._to_messages([effects.SpreadGossip(update)])

    def register(
        self,
        registrations: Iterable[messages.HostAnnounced],
        now_us: int,
    ) -> Effects:
        """Add the hosts of the platform's list, and their processes."""
        known = {
            host_id: state.entry
            for host_id, state in self._membership.hosts.items()
        }
        registrations = list(registrations)
        for registration in registrations:
            known[registration.entry.host_id] = registration.entry
        known[self._own_entry.host_id] = self._own_entry
        self._membership.apply_host_list(known.values(), now_us)
        new_effects: Effects = []
        for registration in registrations:
            new_effects.extend(
                self._record_process(
                    registration.entry.host_id, registration.incarnation, now_us
                ),
            )
        self._membership.watch_closely(self._coordinators.hosts)
        return new_effects

    def start_introduction(self, now_us: int) -> Effects:
        """Ask others which of the listed hosts are alive."""
        self.introduction.start(now_us)
        if len(self._membership.hosts) == 1:
            self.introduction.confirm()
        return self._ask_for_introduction(now_us)

    def receive(
        self,
        sender: str,
        message: messages.FleetMessage,
        now_us: int,
    ) -> Effects:
        """Handle a message; those of other kinds have no effect."""
        match message:
            case core_messages.Ping() | core_messages.Ack():
                return self._handle_heartbeat(sender, message, now_us)
            case core_messages.PingRequest():
                new_effects = self._membership.handle_ping_request(
                    sender, message, now_us
                )
                return self._to_messages(new_effects)
            case core_messages.HostRumor():
                return self._handle_host_rumor(message, now_us)
            case messages.LivenessTable():
                return self._handle_table(message, now_us)
            case messages.HostAnnounced():
                return self._handle_announcement(message, now_us)
            case _:
                return []

    def _handle_heartbeat(
        self, sender: str, message: HeartbeatMessage, now_us: int
    ) -> Effects:
        """Answer a ping or take an ack; notice that a host has restarted."""
        match message:
            case core_messages.Ping():
                subject = sender
                known = self._incarnation(subject)
                new_effects = self._membership.handle_ping(
                    sender, message, now_us
                )
            case core_messages.Ack():
                subject = message.subject
                known = self._incarnation(subject)
                new_effects = self._membership.handle_ack(
                    sender, message, now_us
                )
        sent = self._to_messages(new_effects)
        if known and known < message.incarnation:
            sent.extend(self._release_slots(subject, now_us))
        sent.extend(self._compare_views(sender, message.view_digest, now_us))
        return sent

    def _compare_views(
        self, sender: str, view_digest: int, now_us: int
    ) -> Effects:
        """Send a table to a host that knows otherwise of the coordinators.

        It sends its own likewise, so that a report which one of them has missed
        reaches it.
        """
        if not view_digest:
            return []
        if view_digest == self._membership.view_digest:
            self.introduction.confirm()
            return []
        sent_us = self._table_sent_us.get(sender, -TABLE_INTERVAL_US)
        if now_us - sent_us < TABLE_INTERVAL_US:
            return []
        self._table_sent_us[sender] = now_us
        table = messages.LivenessTable(self._membership.watched_liveness())
        return [messages.SendHost(sender, table)]

    def _handle_table(
        self, table: messages.LivenessTable, now_us: int
    ) -> Effects:
        new_effects: Effects = []
        for entry in table.entries:
            new_effects.extend(
                self._handle_host_rumor(entry, now_us, is_relayed=False)
            )
        self.introduction.confirm()
        return new_effects

    def _ask_for_introduction(self, now_us: int) -> Effects:
        """Ping some coordinators while this process has not been introduced."""
        candidates = [
            host_id
            for host_id in self._membership.others()
            if host_id in self._coordinators.hosts
        ]
        if not candidates:
            return []
        if not self.introduction.take_ping(now_us):
            return []
        count = min(PINGED_HOSTS, len(candidates))
        return [
            messages.SendHost(host_id, self._membership.create_ping(now_us))
            for host_id in self._rng.sample(candidates, count)
        ]

    def _handle_host_rumor(
        self,
        gossip_update: core_messages.HostRumor,
        now_us: int,
        *,
        is_relayed: bool = True,
    ) -> Effects:
        host_id = gossip_update.host_id
        known = self._incarnation(host_id)
        gossip_effects = self._membership.apply_update(gossip_update, now_us)
        if gossip_effects is None:
            return []
        if host_id != self._own_entry.host_id:
            if is_relayed:
                gossip_effects.append(
                    effects.SpreadGossip(gossip_update, is_relayed=True),
                )
            liveness = gossip_update.liveness.value
            gossip_effects.append(effects.Note('host', host_id, liveness))
        new_effects = self._to_messages(gossip_effects)
        is_down = gossip_update.liveness is core_messages.Liveness.DOWN
        if is_down or 0 < known < gossip_update.incarnation:
            new_effects.extend(self._release_slots(host_id, now_us))
        return new_effects

    def _handle_announcement(
        self, message: messages.HostAnnounced, now_us: int
    ) -> Effects:
        entry = message.entry
        state = self._membership.hosts.get(entry.host_id)
        if state is None or state.entry != entry:
            return self.register([message], now_us)
        return self._record_process(entry.host_id, message.incarnation, now_us)

    def _record_process(
        self, host_id: str, incarnation: int, now_us: int
    ) -> Effects:
        """Record which process of a host runs; free the slots of others."""
        known = self._incarnation(host_id)
        if incarnation <= known:
            return []
        gossip_update = core_messages.HostRumor(
            host_id, incarnation, core_messages.Liveness.UP
        )
        self._membership.apply_update(gossip_update, now_us)
        return list(self._release_slots(host_id, now_us)) if known else []

    def _incarnation(self, host_id: str) -> int:
        """Return the known incarnation of a host; 0 if none is known."""
        state = self._membership.hosts.get(host_id)
        return 0 if state is None else state.incarnation

    def _to_messages(self, gossip_effects: Iterable[effects.Effect]) -> Effects:
        """Convert gossip effects into messages to hosts."""
        new_effects: Effects = []
        for effect in gossip_effects:
            match effect:
                case effects.SpreadGossip(
                    gossip_update=core_messages.HostRumor() as update,
                    is_relayed=is_relayed,
                ):
                    recipients = self._recipients(update, is_relayed=is_relayed)
                    new_effects.extend(
                        messages.SendHost(host_id, update)
                        for host_id in recipients
                    )
                case effects.SendPeer(host_id=host_id, message=message):
                    fleet_message = cast(messages.FleetMessage, message)
                    new_effects.append(
                        messages.SendHost(host_id, fleet_message)
                    )
                case effects.Note():
                    new_effects.append(effect)
        return new_effects

    def _recipients(
        self, gossip_update: core_messages.HostRumor, *, is_relayed: bool
    ) -> list[str]:
        """List the hosts to which an update of a host's liveness is sent."""
        coordinators = self._coordinators.hosts
        if gossip_update.host_id in coordinators:
            sent = (
                self._spreader.relay(gossip_update)
                if is_relayed
                else self._spreader.start(gossip_update)
            )
            return [
                effect.host_id
                for effect in sent
                if isinstance(effect, effects.SendPeer)
            ]
        if is_relayed:
            return []
        return [
            host_id
            for host_id in self._membership.others()
            if host_id in coordinators
        ]
