"""One host of a brokered fleet as a state machine without input or output.

`FleetNode` knows the live hosts, brokers the services that it is asked for,
meters customers, and tells which host to ask for what.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import cast

from foxtailreach.core import effects
from foxtailreach.core import messages as gossip
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.budgets import RetryPolicy
from foxtailreach.core.dispatch.deployment import (
    CustomerSpec,
    Deployment,
    TargetSpec,
)
from foxtailreach.core.dispatch.meters import (
    Contact,
    CustomerMeters,
    LimitPolicy,
)
from foxtailreach.core.dispatch.reader_election import ReaderElection
from foxtailreach.core.dispatch.service_brokers import Asking, ServiceBrokers
from foxtailreach.core.gossip import GossipSpreader
from foxtailreach.core.log_freshness import LogFreshness
from foxtailreach.core.membership import HeartbeatTiming, Membership
from foxtailreach.core.ranking import rank_candidates, top_candidate
from foxtailreach.core.units import MILLISECOND_US

# A lost broker is noticed by those who ask it within 0.2 s, so heartbeats
# only have to tell the others.
PACE = HeartbeatTiming(
    interval_us=500 * MILLISECOND_US,
    suspect_after_us=1100 * MILLISECOND_US,
    down_after_us=500 * MILLISECOND_US,
)
# Two rounds of heartbeats of three neighbours, and their answers, are lost.
ISOLATED_US = 1200 * MILLISECOND_US
SUSPECT_US = 1500 * MILLISECOND_US

Effects = list[messages.SendHost | effects.Note]
Gossip = list[effects.Effect]


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """Identity of a host and the fleet-wide bounds that it keeps."""

    entry: gossip.HostEntry
    incarnation: int
    retry_policy: RetryPolicy
    limit_policy: LimitPolicy


class FleetNode:
    """Composes membership, brokers and meters of one host."""

    __slots__ = (
        '_brokers',
        '_changed_us',
        '_config',
        '_heard_us',
        '_membership_version',
        '_meters',
        '_rng',
        '_gossip_spreader',
        '_suspected',
        '_usable',
        'deployment',
        'election',
        'evacuated',
        'membership',
        'targets',
    )

    def __init__(
        self,
        config: FleetConfig,
        rng: random.Random,
        now_us: int,
    ) -> None:
        """Compose the policies; see `from_config`."""
        self._config = config
        self._rng = rng
        self.membership = Membership(
            config.entry.host_id,
            config.incarnation,
            LogFreshness(),
            rng,
            now_us,
            PACE,
        )
        self.membership.apply_host_list([config.entry], now_us)
        self.election = ReaderElection(self.membership, config.entry.domain)
        self.deployment: Deployment | None = None
        self.targets: tuple[TargetSpec, ...] = ()
        self.evacuated: frozenset[str] = frozenset()
        self._gossip_spreader = GossipSpreader(self.membership, rng)
        self._brokers = ServiceBrokers(config.retry_policy, rng)
        self._meters = CustomerMeters(config.limit_policy)
        self._suspected: dict[str, int] = {}
        self._heard_us = now_us
        self._changed_us = now_us
        self._membership_version = 0
        self._usable = self.membership.usable_hosts()

    @classmethod
    def from_config(
        cls,
        config: FleetConfig,
        rng: random.Random,
        now_us: int,
    ) -> FleetNode:
        """Create a node that knows only itself."""
        return cls(config, rng, now_us)

    @property
    def host_id(self) -> str:
        """Identifier of this host."""
        return self._config.entry.host_id

    def is_isolated(self, now_us: int) -> bool:
        """Whether no other host was heard of late, though there are some."""
        if len(self.membership.hosts) <= 1:
            return False
        return now_us - self._heard_us > ISOLATED_US

    def broker_hosts(self, service: str, now_us: int) -> list[str]:
        """Rank the hosts that may broker a service, the first to ask first."""
        return self._ranked(f'service/{service}', now_us)

    def meter_hosts(self, customer: str, now_us: int) -> list[str]:
        """Rank the hosts that may meter a customer."""
        return self._ranked(_meter_subject(customer), now_us)

    def suspect(self, host_id: str, now_us: int) -> None:
        """Pass a host over that did not answer in time."""
        self._suspected[host_id] = now_us + SUSPECT_US

    def charge_local_share(
        self,
        customer: CustomerSpec,
        now_us: int,
    ) -> messages.ChargeResult:
        """Spend this host's own share of a customer's limit."""
        hosts = len(self.membership.hosts)
        return self._meters.charge_local_share(customer, hosts, now_us)

    def update_state(
        self,
        deployment: Deployment | None,
        targets: Iterable[TargetSpec],
        evacuated: frozenset[str],
        now_us: int,
    ) -> Effects:
        """Adopt the current configuration and targets."""
        self.deployment = deployment
        self.targets = tuple(targets)
        self.evacuated = evacuated
        step = self._brokers.update(
            deployment,
            self.targets,
            evacuated,
            now_us,
        )
        return list(step)

    def update_hosts(
        self,
        entries: Iterable[gossip.HostEntry],
        now_us: int,
    ) -> list[gossip.HostEntry]:
        """Add listed hosts; return those that were not known."""
        known = {
            host_id: state.entry
            for host_id, state in self.membership.hosts.items()
        }
        listed = {entry.host_id: entry for entry in entries}
        listed[self.host_id] = self._config.entry
        fresh = [
            entry for host_id, entry in listed.items() if host_id not in known
        ]
        self.membership.apply_host_list({**known, **listed}.values(), now_us)
        return fresh

    def announcement(self) -> messages.HostAnnounced:
        """Build the message that introduces this host."""
        return messages.HostAnnounced(
            self._config.entry,
            self.membership.incarnation,
        )

    def leave(self, now_us: int) -> Effects:
        """Stop being asked for anything."""
        step = self._spread([effects.SpreadGossip(self.membership.leave())])
        step.extend(self._watch_membership(now_us))
        return step

    def receive(
        self,
        sender: str,
        message: messages.FleetMessage,
        now_us: int,
    ) -> Effects:
        """Handle a message from a host, perhaps this one."""
        if sender != self.host_id:
            self._heard_us = now_us
            self._suspected.pop(sender, None)
        match message:
            case messages.SlotRequest():
                asking = Asking(
                    sender,
                    self._domain_of(sender),
                    self.is_isolated(now_us),
                )
                return list(self._brokers.ask(asking, message, now_us))
            case messages.SlotReport():
                return list(self._brokers.report(sender, message, now_us))
            case messages.SlotCancel():
                return list(self._brokers.cancel(sender, message, now_us))
            case messages.ChargeRequest():
                return self._charged(sender, message, now_us)
            case messages.EvidenceDigest():
                self._brokers.hear(message, now_us)
                return self._relay_digest(sender, message)
            case messages.TurnedAway():
                self._brokers.hear(message, now_us)
            case messages.MeterHandover():
                self._meters.take_over(message, now_us)
            case _:
                step = self._gossip(sender, message, now_us)
                step.extend(self._watch_membership(now_us))
                return step
        return []

    def tick(self, now_us: int) -> Effects:
        """Let time pass for heartbeats, leases and waiting requests."""
        step = self._spread(self.membership.tick(now_us, 0))
        step.extend(self._watch_membership(now_us))
        step.extend(self._brokers.tick(self._digest_listeners(), now_us))
        return step

    def queue_lengths(self) -> dict[str, int]:
        """Return how many requests wait for each brokered service."""
        return self._brokers.queue_lengths()

    def _digest_listeners(self) -> list[str]:
        """Name the hosts of this domain, and one of each other domain.

        Bytes between domains are dear, so that one host passes a digest on.
        It is drawn anew each time, as it may be lost or cut off.
        """
        others: dict[str, list[str]] = {}
        for host_id in self.membership.others():
            others.setdefault(self._domain_of(host_id), []).append(host_id)
        listeners = others.pop(self._config.entry.domain, [])
        return [*listeners, *(self._rng.choice(far) for far in others.values())]

    def _relay_digest(
        self,
        sender: str,
        digest: messages.EvidenceDigest,
    ) -> Effects:
        """Pass evidence from another domain on within this one."""
        domain = self._config.entry.domain
        if self._domain_of(sender) == domain:
            return []
        return [
            messages.SendHost(host_id, digest)
            for host_id in self.membership.others()
            if self._domain_of(host_id) == domain
        ]

    def _ranked(self, subject: str, now_us: int) -> list[str]:
        hosts = [
            host_id
            for host_id in self.membership.usable_hosts()
            if self._suspected.get(host_id, 0) <= now_us
        ]
        return rank_candidates(hosts, subject)

    def _charged(
        self,
        sender: str,
        request: messages.ChargeRequest,
        now_us: int,
    ) -> Effects:
        customer = None
        if self.deployment is not None:
            customer = self.deployment.customers.get(request.customer)
        contact = self._contact(now_us)
        result = self._meters.charge(request, customer, contact, now_us)
        return [messages.SendHost(sender, result)]

    def _contact(self, now_us: int) -> Contact:
        """Tell how far this host knows what others admitted."""
        live = 1 + len(self.membership.others())
        known = max(1, len(self.membership.hosts))
        return Contact(live / known, now_us - self._changed_us)

    def _watch_membership(self, now_us: int) -> Effects:
        """Hand meters over whose customers have another owner now."""
        if self.membership.version == self._membership_version:
            return []
        self._membership_version = self.membership.version
        self._changed_us = now_us
        before, self._usable = self._usable, self.membership.usable_hosts()
        step: Effects = []
        for handover in self._meters.hand_over(now_us):
            subject = _meter_subject(handover.customer)
            # Earlier owners keep copies; only the last one may hand over.
            if top_candidate(before, subject) != self.host_id:
                continue
            owner = top_candidate(self._usable, subject)
            if owner not in {None, self.host_id}:
                step.append(messages.SendHost(owner or '', handover))
        return step

    def _gossip(
        self,
        sender: str,
        message: messages.FleetMessage,
        now_us: int,
    ) -> Effects:
        match message:
            case gossip.Ping():
                step = self.membership.handle_ping(sender, message, now_us)
            case gossip.Ack():
                step = self.membership.handle_ack(sender, message, now_us)
            case gossip.PingRequest():
                step = self.membership.handle_ping_request(
                    sender,
                    message,
                    now_us,
                )
            case gossip.HostRumor():
                return self._host_rumor(message, now_us)
            case messages.HostAnnounced():
                return self._announced(message, now_us)
            case _:
                return []
        return self._spread(step)

    def _host_rumor(
        self, gossip_update: gossip.HostRumor, now_us: int
    ) -> Effects:
        news = self.membership.apply_update(gossip_update, now_us)
        if news is None:
            return []
        if gossip_update.host_id != self.host_id:
            news.append(effects.SpreadGossip(gossip_update, is_relayed=True))
            note = effects.Note(
                'host', gossip_update.host_id, gossip_update.liveness.value
            )
            news.append(note)
        step = self._spread(news)
        if gossip_update.liveness is gossip.Liveness.DOWN:
            step.extend(self._host_lost(gossip_update.host_id, now_us))
        return step

    def _host_lost(self, host_id: str, now_us: int) -> Effects:
        return list(self._brokers.host_lost(host_id, now_us))

    def _announced(
        self,
        message: messages.HostAnnounced,
        now_us: int,
    ) -> Effects:
        self.update_hosts([message.entry], now_us)
        gossip_update = gossip.HostRumor(
            message.entry.host_id,
            message.incarnation,
            gossip.Liveness.UP,
        )
        is_restarted = (
            self.membership.apply_update(gossip_update, now_us) is not None
        )
        if is_restarted:
            return self._host_lost(message.entry.host_id, now_us)
        return []

    def _spread(self, news: Gossip) -> Effects:
        """Turn rumors into messages; small fleets are told directly."""
        step: Effects = []
        for effect in news:
            match effect:
                case effects.SpreadGossip(
                    gossip_update=gossip_update, is_relayed=is_relayed
                ):
                    passed_on = (
                        self._gossip_spreader.relay(gossip_update)
                        if is_relayed
                        else self._gossip_spreader.start(gossip_update)
                    )
                    step.extend(self._spread(passed_on))
                case effects.SendPeer(host_id=host_id, message=message):
                    fleet_message = cast(messages.FleetMessage, message)
                    step.append(messages.SendHost(host_id, fleet_message))
                case effects.Note():
                    step.append(effect)
        return step

    def _domain_of(self, host_id: str) -> str:
        state = self.membership.hosts.get(host_id)
        return '' if state is None else state.entry.domain


def _meter_subject(customer: str) -> str:
    return f'customer/{customer}'
