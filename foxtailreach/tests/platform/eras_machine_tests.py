"""Hosts that follow a store which is restored from copies, step by step."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from foxtailreach.core.dispatch.messages import KeyedRecord
from foxtailreach.core.dispatch.mirror import StateMirror
from foxtailreach.platform import records
from foxtailreach.tests.platform.records_tests import CONFIGURATION, HEARTBEAT

HOSTS = 3
TARGETS = ('t0', 't1')
TOPICS = (records.OPERATOR_TOPIC, records.TARGETS_TOPIC)
# Notices that two hosts in contact exchange within 3 s, one every 0.7 s each.
NOTICES = 4
HOST = st.integers(0, HOSTS - 1)
TARGET = st.sampled_from(TARGETS)
READERS = st.sets(HOST)


class Store:
    """The logs of the store, and the newest copy of them."""

    def __init__(self) -> None:
        """Start with empty logs and an empty copy."""
        self.era = 0
        self.logs: dict[str, list[KeyedRecord]] = {name: [] for name in TOPICS}
        self.copied = self._copy()

    def append(self, topic: str, key: str, payload: bytes) -> None:
        """Append a record."""
        log = self.logs[topic]
        log.append(KeyedRecord(key, payload, len(log)))

    def back_up(self) -> None:
        """Replace the copy."""
        self.copied = self._copy()

    def restore(self, eras: int) -> None:
        """Come back from the copy."""
        self.logs = {name: list(log) for name, log in self.copied.items()}
        self.era += eras

    def read(self, mirror: StateMirror, name: str, *, is_listed: bool) -> None:
        """Read a topic as `fetch_topic` does."""
        topic, log = mirror.topics[name], self.logs[name]
        is_lost = topic.era != self.era or topic.next_offset > len(log)
        if is_listed or is_lost or topic.is_diverged or not topic.is_read:
            newest = {record.key: record for record in log}
            listed = [one for one in newest.values() if one.payload]
            topic.replace(listed, len(log), self.era)
        else:
            topic.fold(log[topic.next_offset :], len(log))

    def _copy(self) -> dict[str, list[KeyedRecord]]:
        return {name: list(log) for name, log in self.logs.items()}


@dataclass(slots=True)
class Target:
    """A target: its newest entry, '' as state if it has left."""

    started_ms: int = 1
    sequence: int = 0
    state: str = ''

    def entry(self) -> bytes:
        """Return its next heartbeat; nothing if it has left."""
        if not self.state:
            return b''
        self.sequence += 1
        changes = {
            'state': self.state,
            'born': self.started_ms,
            'sequence': self.sequence,
        }
        return json.dumps({**HEARTBEAT, **changes}).encode()


@dataclass(slots=True)
class Host:
    """A host, and what it has known so far.

    `retired` are the processes of targets that it knew to drain, or to have
    left.
    """

    mirror: StateMirror = field(default_factory=records.create_mirror)
    newest: int = -1
    ready: frozenset[tuple[str, int]] = frozenset()
    retired: set[tuple[str, int]] = field(default_factory=set)

    @property
    def listed_version(self) -> int:
        """Version of the configuration in the mirror; -1 without one."""
        deployment = records.decode_deployment(self.mirror)
        return -1 if deployment is None else deployment.version

    @property
    def version(self) -> int:
        """Version in force; the last one stays if it is removed."""
        listed = self.listed_version
        return self.newest if listed < 0 else listed

    def targets(self, *, is_draining: bool) -> frozenset[tuple[str, int]]:
        """Return the processes of targets in a state."""
        return frozenset(
            (target.target_id, target.started_ms)
            for target in records.decode_targets(self.mirror)
            if target.is_draining == is_draining
        )

    def notice(self, other: Host) -> None:
        """Handle a notice of another host as the feed does."""
        versions = other.mirror.versions()
        self.mirror.follow(versions)
        for topic in self.mirror.contradicted(versions):
            topic.is_diverged = True
        if self.mirror.is_diverged or self.mirror.is_behind(versions):
            self._pull(other)
            if self.mirror.is_diverged:
                self._pull(other)

    def _pull(self, other: Host) -> None:
        versions = self.mirror.pull_versions()
        self.mirror.adopt(other.mirror.deltas_since(versions))


class RestorationMachine(RuleBasedStateMachine):
    """Guards against hosts that go back to what a copy of the store lists.

    A key that operators have withdrawn is in configurations of lower versions.
    """

    def __init__(self) -> None:
        """Start with a configuration and no targets."""
        super().__init__()
        self.store = Store()
        self.hosts = [Host() for _ in range(HOSTS)]
        self.cut: set[frozenset[int]] = set()
        self.cut_from_store: set[int] = set()
        self.version = 0
        self.targets = {name: Target() for name in TARGETS}
        self.configure(is_new=True, is_copied=True, readers=set())

    @rule(is_new=st.booleans(), is_copied=st.booleans(), readers=READERS)
    def configure(
        self, is_new: bool, is_copied: bool, readers: set[int]
    ) -> None:
        """Operators withdraw a key, or write again what they had written."""
        self._back_up(is_copied=is_copied)
        self.version += is_new
        content = {**CONFIGURATION, 'version': f'{self.version:08x}'}
        self.store.append(
            records.OPERATOR_TOPIC,
            records.CONFIGURATION_KEY,
            json.dumps(content).encode(),
        )
        self._read_all(readers)

    @rule(readers=READERS)
    def remove_configuration(self, readers: set[int]) -> None:
        """Operators remove the configuration, and the last one stays in use."""
        self.store.append(
            records.OPERATOR_TOPIC, records.CONFIGURATION_KEY, b''
        )
        self._read_all(readers)

    @rule(
        name=TARGET,
        change=st.sampled_from(('start', 'renew', 'drain', 'leave')),
        is_copied=st.booleans(),
        readers=READERS,
    )
    def change_target(
        self, name: str, change: str, is_copied: bool, readers: set[int]
    ) -> None:
        """A target writes a new entry; it may leave without having drained."""
        self._back_up(is_copied=is_copied)
        target = self.targets[name]
        match change:
            case 'start':
                target = Target(target.started_ms + 1, 0, 'ready')
                self.targets[name] = target
            case 'drain' if target.state:
                target.state = 'draining'
            case 'leave' if target.state:
                target.state = ''
                self.store.append(records.TARGETS_TOPIC, name, b'')
        payload = target.entry()
        if payload:
            self.store.append(records.TARGETS_TOPIC, name, payload)
        self._read_all(readers)

    # Whether eras may skip numbers is not known.
    @rule(eras=st.sampled_from((1, 1, 2)), readers=READERS)
    def rewind(self, eras: int, readers: set[int]) -> None:
        """The store comes back from its copy."""
        self.store.restore(eras)
        self._read_all(readers)

    @rule(index=HOST, name=st.sampled_from(TOPICS), is_listed=st.booleans())
    def read(self, index: int, name: str, is_listed: bool) -> None:
        """A host reads a topic."""
        if index not in self.cut_from_store:
            mirror = self.hosts[index].mirror
            self.store.read(mirror, name, is_listed=is_listed)

    @rule(first=HOST, second=HOST)
    def copy(self, first: int, second: int) -> None:
        """A host gets one notice of another one."""
        if frozenset((first, second)) not in self.cut:
            self.hosts[first].notice(self.hosts[second])

    @rule(index=HOST)
    def kill(self, index: int) -> None:
        """A host starts again."""
        self.hosts[index] = Host()

    @rule(first=HOST, second=HOST)
    def cut_or_mend(self, first: int, second: int) -> None:
        """A link between hosts, or of one to the store, fails or is mended."""
        if first == second:
            self.cut_from_store ^= {first}
        else:
            self.cut ^= {frozenset((first, second))}

    @rule(first=HOST, second=HOST)
    def stay_in_contact(self, first: int, second: int) -> None:
        """Two hosts that reach each other agree after a few notices."""
        one, other = self.hosts[first], self.hosts[second]
        if frozenset((first, second)) in self.cut:
            return
        for _ in range(NOTICES):
            one.notice(other)
            other.notice(one)
        assert one.listed_version == other.listed_version
        ready = one.targets(is_draining=False)
        assert ready == other.targets(is_draining=False)
        # Hosts that contradict each other copy whole topics with each notice.
        assert not one.mirror.contradicted(other.mirror.versions())

    def _back_up(self, *, is_copied: bool) -> None:
        if is_copied:
            self.store.back_up()

    def _read_all(self, readers: set[int]) -> None:
        """Let some hosts read all topics before anything else happens."""
        for index in readers - self.cut_from_store:
            for name in TOPICS:
                self.store.read(self.hosts[index].mirror, name, is_listed=False)

    @invariant()
    def nothing_comes_back(self) -> None:
        """Each host only goes forward, whatever it reads or copies."""
        for host in self.hosts:
            assert host.version >= host.newest
            host.newest = host.version
            ready = host.targets(is_draining=False)
            assert not ready & host.retired
            host.retired |= host.targets(is_draining=True)
            live = {
                (name, target.started_ms)
                for name, target in self.targets.items()
                if target.state
            }
            host.retired |= host.ready - ready - live
            host.ready = ready


RestorationTest = RestorationMachine.TestCase
RestorationTest.settings = settings(
    max_examples=2000, stateful_step_count=20, deadline=None
)
