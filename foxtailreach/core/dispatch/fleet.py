"""One host of the fleet as a state machine without input or output.

`FleetNode` tracks the live hosts, brokers the slots of services, meters
customers, and ranks the hosts that broker a service or meter a customer.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from foxtailreach.core import messages as core_messages
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.broker import Standing
from foxtailreach.core.dispatch.broker_ranking import BrokerRanking
from foxtailreach.core.dispatch.budgets import RetryPolicy
from foxtailreach.core.dispatch.coordinators import Coordinators
from foxtailreach.core.dispatch.deployment import (
    CustomerSpec,
    Deployment,
    TargetSpec,
)
from foxtailreach.core.dispatch.explanation import explain_placement
from foxtailreach.core.dispatch.granted_targets import has_left
from foxtailreach.core.dispatch.holder_watch import HolderWatch
from foxtailreach.core.dispatch.host_messages import Effects, HostMessages
from foxtailreach.core.dispatch.metering import Metering
from foxtailreach.core.dispatch.meters import LimitPolicy
from foxtailreach.core.dispatch.mirror import NO_VERSION
from foxtailreach.core.dispatch.placement_messages import PlacementReport
from foxtailreach.core.dispatch.pool_messages import PoolStatus
from foxtailreach.core.dispatch.pools import Pool, divided_services
from foxtailreach.core.dispatch.reach import Reach
from foxtailreach.core.dispatch.reader_election import ReaderElection
from foxtailreach.core.dispatch.service_brokers import Requester, ServiceBrokers
from foxtailreach.core.dispatch.target_notices import (
    NO_NOTICE,
    Incarnation,
    TargetNotice,
    TargetNotices,
)
from foxtailreach.core.log_freshness import LogFreshness
from foxtailreach.core.membership import HeartbeatTiming, Membership
from foxtailreach.core.units import MILLISECOND_US

# Hosts that use a lost broker detect the loss within 0.2 s; heartbeats only
# inform the others, so they may be slower. Hosts that are no coordinators are
# watched more slowly: a broker checks by itself whether those that hold its
# slots are alive.
HEARTBEAT_TIMING = HeartbeatTiming(
    interval_us=500 * MILLISECOND_US,
    suspect_after_us=1100 * MILLISECOND_US,
    down_after_us=500 * MILLISECOND_US,
    ring_rounds=2,
)
# Long enough to lose two rounds of heartbeats with three neighbours, and their
# answers.
ISOLATED_AFTER_US = 1200 * MILLISECOND_US
# A host that did not answer in time is skipped for this long.
SUSPECTED_FOR_US = 1500 * MILLISECOND_US
# When the whole fleet starts, no host has requests before it knows the others.
FIRST_REQUESTS_AFTER_US = 500 * MILLISECOND_US
LEFT_BY_LIST = 'the target leaves by the list of targets'


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """Identity of a host, and the fleet-wide retry and rate limits.

    `is_first_start` tells that the whole fleet starts for the first time,
    `prefers_own_domain` that requests stay in the failure domain of their
    caller where they can.
    """

    entry: core_messages.HostEntry
    incarnation: int
    retry_policy: RetryPolicy
    limit_policy: LimitPolicy
    is_first_start: bool = False
    prefers_own_domain: bool = False


class FleetNode:
    """Membership, brokers and meters of one host."""

    __slots__ = (
        '_brokered_since_us',
        '_brokers',
        '_config',
        '_coordinators',
        '_divided_services',
        '_holders',
        '_host_messages',
        '_last_heard_us',
        '_metering',
        '_ranking',
        '_reach',
        '_rng',
        '_suspected',
        'deployment',
        'election',
        '_targets_by_id',
        'notices',
        'evacuated',
        'membership',
        'targets',
        'targets_version',
    )

    def __init__(
        self,
        config: FleetConfig,
        rng: random.Random,
        now_us: int,
    ) -> None:
        """Create a node that knows only itself."""
        self._config = config
        self._rng = rng
        self.membership = Membership(
            config.entry.host_id,
            config.incarnation,
            LogFreshness(),
            rng,
            now_us,
            HEARTBEAT_TIMING,
        )
        self.membership.apply_host_list([config.entry], now_us)
        self._coordinators = Coordinators(self.membership)
        self.election = ReaderElection(
            self.membership, self._coordinators, config.entry.domain
        )
        self.deployment: Deployment | None = None
        self.targets: tuple[TargetSpec, ...] = ()
        self.targets_version = NO_VERSION
        self._targets_by_id: dict[str, TargetSpec] = {}
        # Those that have a pool in each failure domain.
        self._divided_services: frozenset[str] = frozenset()
        self.notices = TargetNotices()
        self.evacuated: frozenset[str] = frozenset()
        self._brokers = ServiceBrokers(
            config.retry_policy,
            rng,
            prefers_own_domain=config.prefers_own_domain,
        )
        self._host_messages = HostMessages(
            config.entry,
            self.membership,
            self._coordinators,
            self._brokers.host_lost,
            rng,
        )
        self._holders = HolderWatch()
        self._reach = Reach(
            self.membership,
            self._coordinators,
            config.entry.domain,
            max(config.limit_policy.metered_us, config.retry_policy.window_us),
            rng,
            now_us,
        )
        self._ranking = BrokerRanking(
            self.membership, self._coordinators, self._reach
        )
        self._metering = Metering(
            self.membership,
            self._reach,
            self._host_messages.introduction,
            config.limit_policy,
        )
        # No host has brokered before; 0 if that is not known.
        self._brokered_since_us = 0
        if config.is_first_start:
            self._brokered_since_us = now_us + FIRST_REQUESTS_AFTER_US
        self._suspected: dict[str, int] = {}
        self._last_heard_us = now_us

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

    @property
    def domain(self) -> str:
        """Failure domain of this host."""
        return self._config.entry.domain

    def is_isolated(self, now_us: int) -> bool:
        """Tell whether all other hosts have been silent for too long.

        False if no other host is known.
        """
        if len(self.membership.hosts) <= 1:
            return False
        return now_us - self._last_heard_us > ISOLATED_AFTER_US

    def pool_of(self, service: str) -> Pool:
        """Return the pool that this host's requests to a service go to."""
        if service in self._divided_services:
            return Pool(service, self.domain)
        return Pool(service)

    def broker_hosts(self, pool: Pool, now_us: int) -> list[str]:
        """Rank the hosts that may broker a pool, the first to ask first."""
        return self._ranking.trusted_hosts(pool, self._suspected, now_us)

    def meter_hosts(self, customer: str, now_us: int) -> list[str]:
        """Rank the hosts that may meter a customer, the first to ask first.

        Suspected hosts come last.
        """
        return sorted(
            self._metering.top_hosts(customer, now_us),
            key=lambda host_id: self._suspected.get(host_id, 0) > now_us,
        )

    def suspect(self, host_id: str, now_us: int) -> None:
        """Skip a host that did not answer in time."""
        self._suspected[host_id] = now_us + SUSPECTED_FOR_US

    def charge_local_share(
        self,
        customer: CustomerSpec,
        now_us: int,
    ) -> messages.ChargeResult:
        """Admit or refuse a request from this host's share of the limit."""
        return self._metering.charge_local_share(
            customer, self._last_heard_us, now_us
        )

    def update_state(
        self,
        deployment: Deployment | None,
        targets: Iterable[TargetSpec],
        evacuated: frozenset[str],
        now_us: int,
        targets_version: int = NO_VERSION,
    ) -> Effects:
        """Replace the configuration, targets and evacuated domains."""
        self.deployment = deployment
        self.targets = tuple(targets)
        self.targets_version = targets_version
        self._targets_by_id = {
            target.target_id: target for target in self.targets
        }
        if self._config.prefers_own_domain:
            self._divided_services = divided_services(self.targets)
        self.notices.update_list(self.targets, now_us)
        self.evacuated = evacuated
        new_effects = self._brokers.update(
            deployment,
            self.targets,
            evacuated,
            now_us,
            targets_version,
        )
        return list(new_effects)

    def knows_as_left(self, grant: messages.SlotGrant) -> bool:
        """Tell whether a granted target must get no further requests.

        See `foxtailreach.core.dispatch.granted_targets`.
        """
        target = self._targets_by_id.get(grant.target_id)
        return has_left(grant, target, self.targets_version)

    def notice_of(self, grant: messages.SlotGrant, now_us: int) -> TargetNotice:
        """Return what a granted target has told this host."""
        if self.notices.is_empty:
            return NO_NOTICE
        incarnation = Incarnation(grant.target_id, grant.started_ms)
        return self.notices.current(incarnation, now_us)

    def withhold_cause(self, grant: messages.SlotGrant, now_us: int) -> str:
        """Tell why a granted target must get no request now; '' if it may."""
        notice = self.notice_of(grant, now_us)
        if notice is NO_NOTICE:
            return LEFT_BY_LIST if self.knows_as_left(grant) else ''
        if notice.is_leaving:
            return 'the target has said that it leaves'
        return f'the target has asked for a pause, {notice.pause_us} us left'

    def update_hosts(
        self,
        registrations: Iterable[messages.HostAnnounced],
        now_us: int,
    ) -> Effects:
        """Add the hosts of the platform's list, and their processes."""
        new_effects = self._host_messages.register(registrations, now_us)
        new_effects.extend(self._host_messages.start_introduction(now_us))
        return new_effects

    def coordinators_of_domain(self) -> list[str]:
        """List the other coordinators of this host's failure domain."""
        return [
            host_id
            for host_id in self._coordinators.of_domain(self.domain)
            if host_id != self.host_id and self.membership.is_usable(host_id)
        ]

    def coordinators_elsewhere(self) -> list[str]:
        """List the usable coordinators of the other failure domains."""
        return [
            host_id
            for domain, host_ids in self._coordinators.by_domain().items()
            for host_id in host_ids
            if domain != self.domain and self.membership.is_usable(host_id)
        ]

    @property
    def is_coordinator(self) -> bool:
        """Whether this host is a coordinator of its failure domain."""
        return self._coordinators.includes_this_host

    def cut_off_domains(self, now_us: int) -> frozenset[str]:
        """Return the failure domains that are out of contact."""
        return self._reach.contact.cut_off(now_us)

    def record_cut_off_report(
        self, cut_off: Iterable[str], now_us: int
    ) -> None:
        """Record which domains are cut off, as this domain's reader reports."""
        self._reach.contact.record_cut_off_report(cut_off, now_us)

    def announcement(self) -> messages.HostAnnounced:
        """Build the message that introduces this host to others."""
        return messages.HostAnnounced(
            self._config.entry,
            self.membership.incarnation,
        )

    def leave(self, now_us: int) -> Effects:
        """Announce that this host leaves, and copy its meters."""
        new_effects = self._host_messages.leave()
        new_effects.extend(self._metering.leave(now_us))
        return new_effects

    def receive(
        self,
        sender: str,
        message: messages.FleetMessage,
        now_us: int,
    ) -> Effects:
        """Handle a message from any host, including this one."""
        self._reach.record_activity(now_us)
        if sender != self.host_id:
            self._record_heard(sender, now_us)
        new_effects = self._dispatch(sender, message, now_us)
        new_effects.extend(self._decide_held_charges(now_us))
        return new_effects

    def tick(self, now_us: int) -> Effects:
        """Send heartbeats, and expire leases and waiting requests."""
        self._reach.record_activity(now_us)
        new_effects = self._host_messages.tick(now_us)
        for host_id in self._reach.contact.hosts_to_keep_alive(now_us):
            ping = self.membership.create_ping(now_us)
            new_effects.append(messages.SendHost(host_id, ping))
        new_effects.extend(self._metering.watch_membership(now_us))
        new_effects.extend(self._decide_held_charges(now_us))
        new_effects.extend(self._check_holders(now_us))
        new_effects.extend(
            self._brokers.tick(
                self._ranking.successors, self._ranking.first, now_us
            )
        )
        new_effects.extend(self._brokers.notes(now_us))
        return new_effects

    def explain(
        self, sender: str, query: messages.PlacementQuery, now_us: int
    ) -> PlacementReport:
        """Tell what a request would get here; nothing is changed."""
        standing = self._standing(query.request.service_name, now_us)
        requester = Requester(sender, query.domain, standing)
        return explain_placement(
            self._brokers, requester, query.request, now_us
        )

    def broker_gauges(self) -> dict[str, int]:
        """Return the metrics of the brokers of this host by name."""
        return self._brokers.gauges()

    def _record_heard(self, sender: str, now_us: int) -> None:
        if self.is_isolated(now_us):
            self._reach.record_gap(self._last_heard_us, now_us)
        self._last_heard_us = now_us
        self._suspected.pop(sender, None)
        self._holders.record_heard(sender, now_us)
        self._reach.contact.record(self._domain_of(sender), now_us)

    def _dispatch(
        self,
        sender: str,
        message: messages.FleetMessage,
        now_us: int,
    ) -> Effects:
        match message:
            case messages.SlotRequest():
                requester = Requester(
                    sender,
                    self._domain_of(sender),
                    self._standing(message.service_name, now_us),
                )
                return list(
                    self._brokers.request_slot(requester, message, now_us),
                )
            case messages.SlotReport():
                return list(self._brokers.report(sender, message, now_us))
            case messages.SlotCancel():
                return list(self._brokers.cancel(sender, message, now_us))
            case messages.ChargeRequest():
                customer = self._find_customer(message.customer)
                return list(
                    self._metering.charge(sender, message, customer, now_us),
                )
            case messages.ChargeCancel():
                return list(self._metering.cancel(sender, message, now_us))
            case messages.MeterCopy():
                self._metering.merge(sender, message, now_us)
            case messages.MeterRequest():
                return list(self._metering.answer(sender, message, now_us))
            case (
                messages.EvidenceDigest() | messages.TurnedAway() | PoolStatus()
            ):
                self._brokers.merge_remote(message, now_us)
            case _:
                new_effects = self._host_messages.receive(
                    sender, message, now_us
                )
                new_effects.extend(self._metering.watch_membership(now_us))
                return new_effects
        return []

    def _standing(self, pool_name: str, now_us: int) -> Standing:
        pool = self._pool_named(pool_name)
        self._reach.update(now_us)
        is_first = self._ranking.first(pool) == self.host_id
        is_settled = self._ranking.was_first(
            pool, self._brokered_since_us, now_us
        )
        return Standing(is_first and not self.is_isolated(now_us), is_settled)

    def _pool_named(self, name: str) -> Pool:
        services = () if self.deployment is None else self.deployment.services
        return Pool.parse(name, services) or Pool(name)

    def _find_customer(self, name: str) -> CustomerSpec | None:
        if self.deployment is None:
            return None
        return self.deployment.customers.get(name)

    def _decide_held_charges(self, now_us: int) -> Effects:
        """Decide the charges that waited for contact with other domains."""
        new_effects: Effects = []
        for held in self._metering.take_decidable(now_us):
            customer = self._find_customer(held.request.customer)
            new_effects.extend(
                self._metering.charge(
                    held.sender, held.request, customer, now_us
                )
            )
        return new_effects

    def _check_holders(self, now_us: int) -> Effects:
        """Ping hosts that hold slots for long; release those of lost ones."""
        if self._reach.resumed_us == now_us:
            self._holders.reset()
        oldest_grants_us = self._brokers.oldest_grants()
        oldest_grants_us.pop(self.host_id, None)
        checks = self._holders.check(oldest_grants_us, now_us)
        new_effects: Effects = [
            messages.SendHost(host_id, self.membership.create_ping(now_us))
            for host_id in checks.to_ping
        ]
        for host_id in checks.lost:
            new_effects.extend(self._brokers.host_lost(host_id, now_us))
        return new_effects

    def _domain_of(self, host_id: str) -> str:
        state = self.membership.hosts.get(host_id)
        return '' if state is None else state.entry.domain
