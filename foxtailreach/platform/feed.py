"""Keeps this host's copy of the platform's state up to date.

One host of each failure domain reads the store. It notifies the others by
datagram, and they pull copies. The reader is elected in
`foxtailreach.core.dispatch.reader_election`. Hosts know each other through the
store, where each registers; the readers pass that list on like the targets.

A host that has not heard for too long that its configuration is the newest asks
hosts elsewhere, and then the store; see `foxtailreach.core.dispatch.freshness`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import asdict

from loguru import logger

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.deployment import Deployment
from foxtailreach.core.dispatch.eras import state_version
from foxtailreach.core.dispatch.fleet import FleetNode
from foxtailreach.core.dispatch.freshness import (
    APPLY_BOUND_US,
    FreshnessStep,
)
from foxtailreach.core.dispatch.host_messages import Effects
from foxtailreach.core.dispatch.mirror import StateMirror
from foxtailreach.core.dispatch.topic_mirror import TopicMirror
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.exceptions import PlatformUnavailableError
from foxtailreach.gateway.peers import PeerEndpoint
from foxtailreach.gateway.settings import GatewaySettings
from foxtailreach.gateway.state_puller import StatePuller
from foxtailreach.platform import records
from foxtailreach.platform.long_poll import LongPoll
from foxtailreach.platform.malformed import MALFORMED
from foxtailreach.platform.registration import Registration
from foxtailreach.platform.retainer import Retainer
from foxtailreach.platform.store import StoreClient, TopicPage
from foxtailreach.platform.topic_reader import fetch_topic

# A draining target must get no requests from 2 s after its record is in the
# store. The record is read within one interval, and notices reach the other
# hosts within a few milliseconds.
READ_INTERVAL_S = 0.7
# The end of a poll without changes confirms the configuration.
OPERATOR_POLL_WAIT_US = 700 * MILLISECOND_US
MIN_POLL_WAIT_US = 50 * MILLISECOND_US
# A reader that has sent a notice within this time sends none without changes.
NOTICE_INTERVAL_US = 500 * MILLISECOND_US
FRESHNESS_CHECK_INTERVAL_S = 0.1
HOSTS_READ_INTERVAL_US = 2 * SECOND_US
# All hosts may start at once, so the list is read with each read at first.
STARTING_US = 6 * SECOND_US
RETRY_INTERVAL_S = 0.5
READER_CHECK_INTERVAL_S = 0.2
# Registration takes two calls of 4 ms each; after this long, reading starts
# without it.
REGISTRATION_TIMEOUT_S = 0.6
ANNOUNCEMENT_ROUNDS = 3
ANNOUNCE_INTERVAL_S = 0.3
# Readers send a notice every 0.7 s, so two were missed after this long.
READER_SILENCE_US = 1500 * MILLISECOND_US
MAX_LOGGED_FAULTS = 20

OnEffects = Callable[[Effects], None]


class PlatformFeed:
    """Reads the store, or pulls a copy from another host."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: StoreClient,
        node: FleetNode,
        peers: PeerEndpoint,
        rng: random.Random,
        on_effects: OnEffects,
    ) -> None:
        """Start with an empty mirror; see `run`.

        `on_effects` is called with the effects of each state update.
        """
        self.mirror = records.create_mirror()
        self.last_read_us = 0
        self._is_store_up = True
        self._retainer = Retainer(
            self.mirror,
            settings.target_heartbeat_us,
            boot_time_us,
            self._apply_state,
        )
        self._registration = Registration(
            store,
            self.mirror.topics[records.HOSTS_TOPIC],
            node.announcement,
            rng,
        )
        self._settings = settings
        self._entry = settings.entry
        self._store = store
        self._node = node
        self._peers = peers
        self._rng = rng
        self._on_effects = on_effects
        self._started_us = boot_time_us()
        self._last_hosts_read_us = 0
        self._last_announced_us = 0
        self._last_notice_us = 0
        # When the newest of the calls that were answered was sent.
        self._answered_sent_us = 0
        self._poll = LongPoll()
        self._puller = StatePuller(node, self.mirror, self._adopt_copy)
        self._questions = 0
        self._is_late = False
        self._registered = asyncio.Event()
        node.election.last_heard_us = boot_time_us()
        self.mirror.freshness.start(boot_time_us())

    @property
    def is_ready(self) -> bool:
        """Whether configuration and targets are known."""
        return self._node.deployment is not None and bool(self._node.targets)

    @property
    def store_calls(self) -> int:
        """Number of calls made to the platform's store."""
        return self._store.calls

    @property
    def malformed_entries(self) -> int:
        """Number of entries of the store that could not be decoded."""
        return MALFORMED.counts.total()

    def age_us(self, now_us: int) -> int:
        """Return the time since the newest read by this host or the reader.

        In microseconds; -1 if neither time is set. Until the first notice,
        the time of the reader is the start of this host.
        """
        last_heard_us = max(
            self.last_read_us, self._node.election.last_heard_us
        )
        return now_us - last_heard_us if last_heard_us else -1

    async def run(self) -> None:
        """Register this host; keep the mirror current until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register())
            group.create_task(self._registration.keep())
            group.create_task(self._read_targets())
            group.create_task(self._poll_operator_topic())
            group.create_task(self._keep_fresh())

    def handle_notice(self, sender: str, message: messages.StateNotice) -> None:
        """Handle a notice; pull if the sender's state is newer.

        Also pull if this host's mirror has diverged.
        """
        now_us = boot_time_us()
        if self._is_in_own_domain(sender):
            if message.is_reading:
                self._node.record_cut_off_report(message.cut_off, now_us)
            self._node.election.record_notice(
                sender,
                now_us,
                is_reading=message.is_reading,
            )
            if message.is_reading:
                self._record_read_of_reader(message, now_us)
        if self.mirror.follow(message.versions):
            self._apply_hosts()
            self._apply_state(sender)
        _mark_contradicted(self.mirror, sender, message.versions)
        if self.mirror.is_diverged or self.mirror.is_behind(message.versions):
            asyncio.ensure_future(
                self._puller.pull_noticed(sender, message.versions)
            )
        if not self._lacks_operator_changes(message.versions):
            self._confirm(message.confirmed_age_us, now_us)

    def _record_read_of_reader(
        self, message: messages.StateNotice, now_us: int
    ) -> None:
        """Record up to where the reader has read the log of targets."""
        for version in message.versions:
            if version.topic == records.TARGETS_TOPIC:
                self._retainer.record_read(
                    message.log_offset, version.era, now_us
                )
                return
        self._retainer.record_read(message.log_offset, 0, now_us)

    def notify_host(self, host_id: str) -> None:
        """Send a notice to a host of this failure domain.

        Hosts of other domains pull state within their own domain.
        """
        if self._is_in_own_domain(host_id):
            self._peers.send(host_id, self._notice(boot_time_us()))

    async def _register(self) -> None:
        """Write this host to the store, and announce it to a few hosts.

        The coordinators of its domain send it notices of their state. Before,
        while the store may not answer, the seeds may.
        """
        topic = records.HOSTS_TOPIC
        for seed in self._settings.seeds:
            if seed.host != self._entry.address:
                address = (seed.host, self._entry.peer_port)
                self._peers.send_to(address, self._node.announcement())
        while not self._registered.is_set():
            sent_us = boot_time_us()
            try:
                await self._registration.write()
                page = await self._store.read_newest(topic)
            except PlatformUnavailableError as error:
                self._record_failure(error, sent_us)
                await asyncio.sleep(RETRY_INTERVAL_S * (1 + self._rng.random()))
                continue
            self._fold(self.mirror.topics[topic], page)
            self._last_hosts_read_us = boot_time_us()
            self._apply_hosts()
            self._registered.set()
        for _ in range(ANNOUNCEMENT_ROUNDS):
            for host_id in self._node.coordinators_of_domain():
                self._peers.send(host_id, self._node.announcement())
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _read_targets(self) -> None:
        """Read targets and hosts at intervals while this host is the reader."""
        await self._wait_for_registration()
        while True:
            if not self._node.election.should_read(boot_time_us()):
                await asyncio.sleep(READER_CHECK_INTERVAL_S)
                continue
            started_us = boot_time_us()
            try:
                await self._read_once()
            except PlatformUnavailableError as error:
                self._record_failure(error, started_us)
            spent_s = (boot_time_us() - started_us) / SECOND_US
            await asyncio.sleep(
                max(READER_CHECK_INTERVAL_S, READ_INTERVAL_S - spent_s)
            )

    async def _poll_operator_topic(self) -> None:
        """Read configurations and evacuations with long polls.

        Only while this host is the reader. Polls end at even intervals, since
        the others depend on their confirmations.
        """
        await self._wait_for_registration()
        while True:
            if not self._node.election.should_read(boot_time_us()):
                await asyncio.sleep(READER_CHECK_INTERVAL_S)
                continue
            started_us = boot_time_us()
            spent_us = started_us - self.mirror.freshness.confirmed_us
            wait_us = max(MIN_POLL_WAIT_US, OPERATOR_POLL_WAIT_US - spent_us)
            try:
                await self._poll.run(
                    self._read_operator_topic(wait_us), wait_us
                )
            except PlatformUnavailableError as error:
                self._record_failure(error, started_us)
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _read_operator_topic(self, wait_us: int) -> None:
        """Read and use the changes of the operators; wait for the first.

        Notify the domain of a change, and of the end of a wait.
        """
        sent_us = boot_time_us()
        topic = self.mirror.topics[records.OPERATOR_TOPIC]
        page = await fetch_topic(self._store, topic, wait_us // MILLISECOND_US)
        self._record_answer(sent_us)
        is_changed = self._fold(topic, page)
        is_changed = self._retainer.end_removed(page) or is_changed
        if is_changed:
            self._apply_state('the store')
        if page.is_last:
            # Without changes, the store answers after the wait.
            is_whole_wait = not page.records and not page.is_whole
            confirmed_us = sent_us + wait_us if is_whole_wait else sent_us
            self.mirror.freshness.confirm(min(confirmed_us, boot_time_us()))
        if is_changed or wait_us:
            self._notify_domain()

    async def _keep_fresh(self) -> None:
        """Ask hosts elsewhere, then the store, when confirmations are late."""
        while True:
            await asyncio.sleep(FRESHNESS_CHECK_INTERVAL_S)
            now_us = boot_time_us()
            step = self.mirror.freshness.next_step(
                now_us, is_coordinator=self._node.is_coordinator
            )
            match step:
                case FreshnessStep.ASK_PEER:
                    asyncio.ensure_future(self._ask_peer())
                case FreshnessStep.READ_STORE:
                    asyncio.ensure_future(self._read_for_itself())
                case FreshnessStep.NONE:
                    pass
            self._log_lateness(now_us)

    async def _ask_peer(self) -> None:
        """Pull from a coordinator, of other and of the own domain by turns.

        The reader may not know this host, if its announcement was lost; so
        announce it to a coordinator of its domain again.
        """
        now_us = boot_time_us()
        own = self._node.coordinators_of_domain()
        silent_us = now_us - self._node.election.last_heard_us
        is_due = now_us - self._last_announced_us >= READER_SILENCE_US
        if own and silent_us >= READER_SILENCE_US and is_due:
            self._last_announced_us = now_us
            self._peers.send(own[0], self._node.announcement())
        remote = self._node.coordinators_elsewhere()
        self._questions += 1
        is_own_turn = self._questions % 2 == 0
        preferred = own if is_own_turn else remote
        candidates = preferred or own or remote
        if not candidates or self._puller.is_busy:
            return
        if await self._puller.pull(self._rng.choice(candidates)):
            self.mirror.freshness.record_answer(boot_time_us())

    async def _read_for_itself(self) -> None:
        """Read the changes of the operators although others should."""
        started_us = boot_time_us()
        try:
            await self._read_operator_topic(0)
        except PlatformUnavailableError as error:
            logger.info('no configuration from the store either: {}', error)
            if started_us > self._answered_sent_us:
                self._is_store_up = False

    def _log_lateness(self, now_us: int) -> None:
        """Log when the configuration becomes older than its bound, or fresh.

        Requests are served by it nevertheless: the store may be away for hours.
        """
        age_us = self.mirror.freshness.age_us(now_us)
        if self._is_late == (age_us > APPLY_BOUND_US):
            return
        self._is_late = not self._is_late
        text = 'is not confirmed' if self._is_late else 'is confirmed again'
        logger.bind(unconfirmed_us=age_us).info('configuration {}', text)

    async def _wait_for_registration(self) -> None:
        """Wait for the list of hosts, which the reader election needs.

        Give up after `REGISTRATION_TIMEOUT_S`.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(REGISTRATION_TIMEOUT_S):
                await self._registered.wait()

    async def _read_once(self) -> None:
        sent_us = boot_time_us()
        topic = self.mirror.topics[records.TARGETS_TOPIC]
        is_changed = await self._read_topic(topic)
        now_us = boot_time_us()
        interval_us = HOSTS_READ_INTERVAL_US
        hosts = self.mirror.topics[records.HOSTS_TOPIC]
        if now_us - self._started_us < STARTING_US or hosts.era < topic.era:
            interval_us = 0
        if now_us - self._last_hosts_read_us > interval_us:
            self._last_hosts_read_us = now_us
            if await self._read_topic(hosts):
                self._apply_hosts()
        self.last_read_us = now_us
        self._record_answer(sent_us)
        self._node.election.record_notice(
            self._entry.host_id, now_us, is_reading=True
        )
        if is_changed:
            self._apply_state('the store')
        if is_changed or now_us - self._last_notice_us >= NOTICE_INTERVAL_US:
            self._notify_domain()

    async def _read_topic(self, topic: TopicMirror) -> bool:
        """Bring one topic up to date; return whether something changed."""
        page = await fetch_topic(self._store, topic, 0)
        if topic.name == records.TARGETS_TOPIC:
            self._retainer.retain_expired(topic, page, boot_time_us())
        return self._fold(topic, page)

    def _fold(self, topic: TopicMirror, page: TopicPage) -> bool:
        """Apply a page of the log; return whether something changed."""
        if page.is_whole:
            version = messages.TopicVersion(topic.name, 0, 0, 0, page.era)
            known = self._retainer.known_before([version])
            is_changed = topic.replace(page.records, page.next_offset, page.era)
            self._retainer.retain_missing(known)
            return is_changed
        # A copy of another host may have been adopted during the call.
        newer = [
            record
            for record in page.records
            if record.offset >= topic.next_offset
        ]
        return topic.fold(newer, page.next_offset)

    def _record_answer(self, sent_us: int) -> None:
        """Record that the store answered a call that was sent at a time."""
        self._answered_sent_us = max(self._answered_sent_us, sent_us)
        is_return = not self._is_store_up
        self._poll.record_answer(
            sent_us, is_return=is_return or self._is_poll_outdated()
        )
        if is_return:
            self._is_store_up = True
            self._node.election.record_recovery(self._entry.host_id)
            logger.info('store answers again')

    def _is_poll_outdated(self) -> bool:
        """Whether the poll waits for an offset of an older era."""
        topics = self.mirror.topics
        targets_era = topics[records.TARGETS_TOPIC].era
        return targets_era > topics[records.OPERATOR_TOPIC].era

    def _record_failure(
        self, error: PlatformUnavailableError, sent_us: int
    ) -> None:
        """Record a failed call, unless a later one has been answered."""
        if sent_us < self._answered_sent_us:
            logger.info('a call failed that the store had taken: {}', error)
            return
        if self._is_store_up:
            self._is_store_up = False
            logger.warning('store does not answer: {}', error)
        self._node.election.record_notice(
            self._entry.host_id,
            boot_time_us(),
            is_reading=False,
        )
        self._notify_domain()

    def _adopt_copy(
        self, sender: str, copy: messages.StateCopy, sent_us: int
    ) -> None:
        """Adopt the copy of another host, requested at `sent_us`."""
        topic = self.mirror.topics[records.TARGETS_TOPIC]
        known = {
            key: topic.records[key]
            for key in copy.retained
            if key in topic.records
        }
        versions = [one.version for one in copy.topics]
        known_before = self._retainer.known_before(versions)
        is_changed = self.mirror.adopt(copy.topics)
        removed = [
            record for key, record in known.items() if key not in topic.records
        ]
        self._retainer.retain(removed, copy.retained_for_us)
        self._retainer.retain_missing(known_before)
        if is_changed:
            self._apply_hosts()
            self._apply_state(sender)
        if self.mirror.contradicted(versions):
            # The sender may lack what this host holds.
            self._peers.send(sender, self._notice(boot_time_us()))
        if not self._lacks_operator_changes(versions):
            self._confirm(copy.confirmed_age_us, sent_us)

    def _confirm(self, age_us: int, at_us: int) -> None:
        """Record what another host said of its configuration's age."""
        if age_us >= 0:
            self.mirror.freshness.confirm(at_us - age_us)

    def _lacks_operator_changes(
        self, versions: Iterable[messages.TopicVersion]
    ) -> bool:
        """Whether another host knows other changes than this one."""
        operator_versions = [
            version
            for version in versions
            if version.topic == records.OPERATOR_TOPIC
        ]
        era = self.mirror.topics[records.OPERATOR_TOPIC].era
        return (
            self.mirror.is_behind(operator_versions)
            or any(version.era != era for version in operator_versions)
            or bool(self.mirror.contradicted(operator_versions))
        )

    def _apply_state(self, source: str) -> None:
        """Decode the mirrored state and update the node with it."""
        previous = self._node.deployment
        targets_topic = self.mirror.topics[records.TARGETS_TOPIC]
        self._retainer.end_renewed()
        deployment = records.decode_deployment(self.mirror) or previous
        targets = records.decode_targets(self.mirror)
        evacuated = records.decode_evacuated(self.mirror)
        if evacuated != self._node.evacuated:
            logger.info('failure domains taken out: {}', sorted(evacuated))
        effects = self._node.update_state(
            deployment,
            targets,
            evacuated,
            boot_time_us(),
            state_version(targets_topic.era, targets_topic.changed_offset),
        )
        self._on_effects(effects)
        if deployment is not None and deployment is not previous:
            # The store has accepted it after the last confirmation.
            logger.bind(
                source=source,
                at_most_late_us=self.mirror.freshness.age_us(boot_time_us()),
            ).info('configuration {} is in force', deployment.version)
            _log_faults(deployment)

    def _apply_hosts(self) -> None:
        registrations = records.decode_hosts(self.mirror)
        for registration in registrations:
            self._peers.add_host(registration.entry)
        self._on_effects(self._node.update_hosts(registrations, boot_time_us()))
        self._registration.check()

    def _notify_domain(self) -> None:
        self._last_notice_us = boot_time_us()
        notice = self._notice(self._last_notice_us)
        for host_id in self._node.membership.others():
            if self._is_in_own_domain(host_id):
                self._peers.send(host_id, notice)

    def _notice(self, now_us: int) -> messages.StateNotice:
        return messages.StateNotice(
            versions=self.mirror.versions(),
            age_us=self.age_us(now_us),
            is_reading=self._is_store_up and bool(self.last_read_us),
            cut_off=tuple(sorted(self._node.cut_off_domains(now_us))),
            log_offset=self.mirror.topics[records.TARGETS_TOPIC].next_offset,
            confirmed_age_us=self.mirror.freshness.age_us(now_us),
        )

    def _is_in_own_domain(self, host_id: str) -> bool:
        """Whether a host is in this host's failure domain."""
        state = self._node.membership.hosts.get(host_id)
        return state is not None and state.entry.domain == self._entry.domain


def _mark_contradicted(
    mirror: StateMirror, sender: str, versions: Iterable[messages.TopicVersion]
) -> None:
    """Request a whole copy of the topics that differ at the same offset."""
    for topic in mirror.contradicted(versions):
        topic.is_diverged = True
        logger.bind(
            topic=topic.name,
            changed_offset=topic.changed_offset,
            next_offset=topic.next_offset,
        ).warning('content differs from that of {}', sender)


def _log_faults(deployment: Deployment) -> None:
    """Log the parts of a configuration that cannot be used as written."""
    for fault in deployment.faults[:MAX_LOGGED_FAULTS]:
        logger.bind(
            config_version=deployment.version,
            faults=len(deployment.faults),
            **asdict(fault),
        ).warning('part of the configuration cannot be used')
