"""A limit is never exceeded, under any order of messages and failures."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from foxtailreach.bench.statistics import max_excess_over_limit
from foxtailreach.config.objects import (
    ChangeSet,
    Customer,
    Limit,
    Objects,
)
from foxtailreach.config.records import (
    ChangeRecord,
    ClaimRecord,
    SeatEpoch,
    encode_record,
)
from foxtailreach.core import effects, messages
from foxtailreach.core.catalog import Catalog
from foxtailreach.core.fold import Fold
from foxtailreach.core.limits.claims import HOLDER_GONE_GRACE_US
from foxtailreach.core.limits.client import Admission, LimitClient, LimitResult
from foxtailreach.core.limits.holder import LimitHolder
from foxtailreach.core.limits.partitions import (
    PARTITIONS_PER_GROUP,
    group_of,
    key_of_partition,
)
from foxtailreach.core.log_freshness import MAX_CURRENT_AGE_US, LogFreshness

CUSTOMER = 'customer'
ENTRY_HOSTS = ('entry-a', 'entry-b')
US_PER_S = 1_000_000
RATES = st.sampled_from((3, 20, 100))
BURSTS = st.sampled_from((3, 10, 40))


@dataclass
class HolderProcess:
    """A process that holds partitions, with its own copy of the log."""

    host_id: str
    fold: Fold
    log_freshness: LogFreshness
    holder: LimitHolder


class LimitMachine(RuleBasedStateMachine):
    """Two entry hosts and all partitions over an unreliable network."""

    @initialize(rate=RATES, burst=BURSTS)
    def start(self, rate: int, burst: int) -> None:
        self.now_us = 0
        self.grant_times_s: list[float] = []
        self.requests = 0
        self.version = 0
        self.log: list[bytes] = []
        self.network: list[tuple[str, str, object]] = []
        self.holders: dict[str, HolderProcess] = {}
        self.retired: dict[str, HolderProcess] = {}
        self.partitions: dict[int, tuple[str, int]] = {}
        self.group = group_of(CUSTOMER)
        self.max_rate = rate
        self.max_burst = burst
        self.clients = {
            name: LimitClient(
                self.locate_holder,
                lambda group: tuple(range(PARTITIONS_PER_GROUP)),
                index << 20,
            )
            for index, name in enumerate(ENTRY_HOSTS)
        }
        self.append_limit(rate, burst)
        for partition_index in range(PARTITIONS_PER_GROUP):
            self.claim(
                partition_index,
                f'holder-{partition_index}',
                epoch=1,
                is_first=True,
            )

    def locate_holder(self, partition_key: str) -> str:
        holder = self.partitions.get(int(partition_key.partition('/')[2]))
        return '' if holder is None else holder[0]

    def append_limit(self, rate: int, burst: int) -> None:
        objects = Objects(
            limits={'limit': Limit(rate, burst)},
            customers={CUSTOMER: Customer('limit')},
        )
        change = ChangeSet(f'change-{self.version}', self.version, objects)
        self.version += 1
        self.log.append(encode_record(ChangeRecord(change)))
        self.refresh()

    def claim(
        self,
        partition_index: int,
        host_id: str,
        epoch: int,
        *,
        is_first: bool = False,
    ) -> None:
        claims = (
            SeatEpoch(key_of_partition(self.group, partition_index), epoch),
        )
        self.log.append(encode_record(ClaimRecord(host_id, claims)))
        catalog = Catalog()
        fold = Fold(catalog.apply)
        log_freshness = LogFreshness()
        holder = LimitHolder(host_id, fold, catalog, log_freshness)
        if is_first:
            holder.record_claim(claims[0].seat, epoch)
        self.holders[host_id] = HolderProcess(
            host_id, fold, log_freshness, holder
        )
        self.partitions[partition_index] = (host_id, epoch)
        self.refresh()

    def refresh(self) -> None:
        for process in self.holders.values():
            offset = process.fold.next_offset
            for index, payload in enumerate(self.log[offset:], offset):
                process.fold.apply(index, payload)
            process.log_freshness.record_read(self.now_us)
            process.holder.refresh_terms(self.now_us)

    def send(self, sender: str, limit_result: LimitResult) -> None:
        for decision in limit_result.decisions:
            if decision.admission is Admission.GRANTED:
                self.grant_times_s.append(self.now_us / US_PER_S)
        for effect in limit_result.effects:
            assert isinstance(effect, effects.SendPeer)
            self.network.append((sender, effect.host_id, effect.message))

    @rule(entry=st.sampled_from(ENTRY_HOSTS), count=st.integers(1, 30))
    def spend(self, entry: str, count: int) -> None:
        for _ in range(count):
            self.requests += 1
            client = self.clients[entry]
            limit_result = client.spend(
                CUSTOMER, f'{self.requests}', self.now_us
            )
            self.send(entry, limit_result)

    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data: st.DataObject, keep: bool) -> None:
        """Deliver any message, in any order, perhaps more than once."""
        if not self.network:
            return
        index = data.draw(st.integers(0, len(self.network) - 1))
        sender, receiver, message = self.network[index]
        if not keep:
            self.network.pop(index)
        self.receive(sender, receiver, message)

    @rule()
    def deliver_all(self) -> None:
        for _ in range(40):
            if not self.network:
                return
            self.receive(*self.network.pop(0))

    def receive(self, sender: str, receiver: str, message: object) -> None:
        process = self.holders.get(receiver) or self.retired.get(receiver)
        match message:
            case messages.TokenRequest() if process is not None:
                effect = process.holder.handle_request(
                    sender,
                    message,
                    self.now_us,
                )
                self.send(receiver, LimitResult([], [effect]))
            case messages.TokenReturn() if process is not None:
                process.holder.handle_return(sender, message, self.now_us)
            case messages.TokenGrant():
                client = self.clients[receiver]
                limit_result = client.handle_grant(message, self.now_us)
                self.send(receiver, limit_result)

    @rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        if self.network:
            index = data.draw(st.integers(0, len(self.network) - 1))
            self.network.pop(index)

    @rule(milliseconds=st.sampled_from((1, 20, 150, 400, 3000)))
    def wait(self, milliseconds: int) -> None:
        self.now_us += milliseconds * 1000
        self.refresh()
        for entry, client in self.clients.items():
            self.send(entry, client.tick(self.now_us))

    @rule(partition_index=st.integers(0, PARTITIONS_PER_GROUP - 1))
    def replace_holder(self, partition_index: int) -> None:
        """Isolate a holder; another one takes over after the grace period.

        The former holder keeps running with its old copy of the log.
        """
        host_id, epoch = self.partitions[partition_index]
        self.retired[host_id] = self.holders.pop(host_id)
        self.now_us += max(MAX_CURRENT_AGE_US, HOLDER_GONE_GRACE_US)
        self.claim(
            partition_index, f'holder-{partition_index}-{epoch + 1}', epoch + 1
        )

    @rule(partition_index=st.integers(0, PARTITIONS_PER_GROUP - 1))
    def restart_holder(self, partition_index: int) -> None:
        """Restart a holder process under its old name."""
        host_id, epoch = self.partitions[partition_index]
        self.holders.pop(host_id)
        self.log.append(b'filler that no host can decode')
        self.claim(partition_index, host_id, epoch)

    @rule(rate=RATES, burst=BURSTS)
    def change_limit(self, rate: int, burst: int) -> None:
        self.max_rate = max(self.max_rate, rate)
        self.max_burst = max(self.max_burst, burst)
        self.append_limit(rate, burst)

    @invariant()
    def limit_is_never_exceeded(self) -> None:
        if hasattr(self, 'grant_times_s'):
            excess = max_excess_over_limit(
                self.grant_times_s, self.max_rate, self.max_burst
            )
            assert excess <= 1e-6


TestLimitMachine = LimitMachine.TestCase
TestLimitMachine.settings = settings(max_examples=60, stateful_step_count=60)
