"""Relays the log between hosts, so that few hosts need to read it."""

from __future__ import annotations

from collections import deque

from foxtailreach.config.records import SnapshotRecord, decode_record
from foxtailreach.core import effects, events, messages
from foxtailreach.core.fold import Fold
from foxtailreach.core.log_freshness import LogFreshness
from foxtailreach.core.membership import Membership
from foxtailreach.core.ranking import top_candidate
from foxtailreach.core.units import MILLISECOND_US
from foxtailreach.exceptions import ProtocolError

RETAINED_RECORDS = 256
SNAPSHOT_EVERY_RECORDS = 500
PULL_INTERVAL_US = 200 * MILLISECOND_US

Effects = list[effects.Effect]


class LogRelay:
    """Folds records from the log or from peers and passes them on."""

    __slots__ = (
        '_fold',
        '_log_freshness',
        '_membership',
        '_next_pull_us',
        '_recent',
    )

    def __init__(
        self,
        fold: Fold,
        log_freshness: LogFreshness,
        membership: Membership,
    ) -> None:
        """Create a relay over the node's fold."""
        self._fold = fold
        self._log_freshness = log_freshness
        self._membership = membership
        self._next_pull_us = 0
        self._recent: deque[messages.LogRecord] = deque(maxlen=RETAINED_RECORDS)

    def read(self, event: events.LogRead, now_us: int) -> Effects:
        """Fold records that this host read, and pass on what is new."""
        step: Effects = []
        if self._absorb(event.records):
            step.append(
                effects.SpreadGossip(self._batch(event.records, now_us))
            )
        if self._fold.next_offset >= event.next_offset:
            self._log_freshness.record_read(now_us)
        elif event.first_offset > self._fold.next_offset:
            note = effects.Note('log-trimmed', str(event.first_offset))
            step.append(note)
        return step

    def receive(
        self,
        sender: str,
        batch: messages.LogBatch,
        now_us: int,
    ) -> Effects:
        """Fold records that a peer passed on."""
        step: Effects = []
        if self._absorb(batch.records):
            step.append(effects.SpreadGossip(batch, is_relayed=True))
        records = batch.records
        next_offset = records[-1].offset + 1 if records else 0
        compared = self.compare(sender, next_offset, batch.log_age_us, now_us)
        return [*step, *compared]

    def answer_pull(
        self,
        sender: str,
        pull: messages.LogPull,
        now_us: int,
    ) -> Effects:
        """Send what a peer lacks: recent records, or a snapshot."""
        if pull.next_offset >= self._fold.next_offset:
            return []
        missing = tuple(
            record
            for record in self._recent
            if record.offset >= pull.next_offset
        )
        if missing and missing[0].offset == pull.next_offset:
            return [effects.SendPeer(sender, self._batch(missing, now_us))]
        hosts = tuple(state.entry for state in self._membership.hosts.values())
        snapshot = messages.Snapshot(
            payload=self._fold.encoded_snapshot(),
            next_offset=self._fold.next_offset,
            log_age_us=self._log_freshness.age_us(now_us),
            hosts=hosts,
        )
        return [effects.SendPeer(sender, snapshot)]

    def adopt_snapshot(self, snapshot: messages.Snapshot) -> bool:
        """Take over a peer's folded state if it is ahead."""
        try:
            record = decode_record(snapshot.payload)
        except ProtocolError:
            return False
        if not isinstance(record, SnapshotRecord):
            return False
        return self._fold.restore(record)

    def snapshot_if_due(self, *, can_append: bool) -> Effects:
        """Append a snapshot when enough records followed the last one.

        The hosts take turns, so that one of them appends each snapshot.
        """
        next_offset = self._fold.next_offset
        behind = next_offset - self._fold.snapshot_offset
        if not can_append or behind < SNAPSHOT_EVERY_RECORDS:
            return []
        hosts = self._membership.usable_hosts()
        turn = str(next_offset // SNAPSHOT_EVERY_RECORDS)
        if top_candidate(hosts, turn) != self._membership.host_id:
            return []
        self._fold.snapshot_offset = next_offset
        return [effects.AppendRecord(self._fold.encoded_snapshot())]

    def compare(
        self,
        host_id: str,
        log_offset: int,
        log_age_us: int,
        now_us: int,
    ) -> Effects:
        """React to a peer's position in the log."""
        if log_offset > self._fold.next_offset:
            if now_us < self._next_pull_us:
                return []
            self._next_pull_us = now_us + PULL_INTERVAL_US
            pull = messages.LogPull(self._fold.next_offset)
            return [effects.SendPeer(host_id, pull)]
        if log_offset == self._fold.next_offset and log_age_us >= 0:
            self._log_freshness.record_read(now_us - log_age_us)
        return []

    def _absorb(self, records: tuple[messages.LogRecord, ...]) -> bool:
        is_new = False
        for record in records:
            if self._fold.apply(record.offset, record.payload):
                self._recent.append(record)
                is_new = True
        return is_new

    def _batch(
        self,
        records: tuple[messages.LogRecord, ...],
        now_us: int,
    ) -> messages.LogBatch:
        return messages.LogBatch(records, self._log_freshness.age_us(now_us))
