"""Entry host side of fleet-wide rate limits.

A request spends one token. Tokens come from the partitions of the customer's
group: first the partition in this host's own failure domain, then the others.
So a request is refused only if every reachable partition is empty.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailreach.core import effects, messages
from foxtailreach.core.limits.partitions import group_of, key_of_partition
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

TOKEN_REQUEST_TIMEOUT_US = 150 * MILLISECOND_US
# Time for which a partition is skipped after its holder could not be found, did
# not answer, or turned out not to hold it.
UNREACHABLE_BACKOFF_US = 500 * MILLISECOND_US
# Tokens that expire within this time are returned to the holder unspent.
RETURN_BEFORE_EXPIRY_US = 50 * MILLISECOND_US
# Tokens for the requests expected within this time are requested in advance.
PREFETCH_US = 20 * MILLISECOND_US
MAX_PREFETCH = 16
RATE_WINDOW_US = 250 * MILLISECOND_US
ACCOUNT_IDLE_US = 10 * SECOND_US


class Admission(enum.Enum):
    """Outcome of a request for a token.

    `OVER_LIMIT` means that all partitions are empty, and `UNAVAILABLE` that
    the holder of at least one could not be asked.
    """

    GRANTED = enum.auto()
    OVER_LIMIT = enum.auto()
    UNAVAILABLE = enum.auto()


@dataclass(slots=True, frozen=True)
class Decision:
    """Admission of one waiting request."""

    request_id: str
    admission: Admission
    retry_after_us: int = 0


@dataclass(slots=True)
class TokenLease:
    """Unspent tokens of one grant."""

    partition_index: int
    sequence: int
    count: int
    expires_us: int


@dataclass(slots=True)
class Account:
    """Leases, waiting requests and known partition states of a customer.

    The keys of `empty_until_us` and `unusable_until_us` are partition
    indexes. `pending_sequence` is 0 if no token request is on its way.
    """

    customer: str
    partitions: tuple[int, ...]
    leases: deque[TokenLease] = field(default_factory=deque)
    waiters: deque[str] = field(default_factory=deque)
    empty_until_us: dict[int, int] = field(default_factory=dict)
    unusable_until_us: dict[int, int] = field(default_factory=dict)
    pending_sequence: int = 0
    pending_partition: int = 0
    pending_since_us: int = 0
    arrivals: int = 0
    last_used_us: int = 0
    window_started_us: int = 0
    rate_per_s: float = 0

    @property
    def is_pending(self) -> bool:
        """Tell whether a token request is on its way."""
        return self.pending_sequence != 0


LocateHolder = Callable[[str], str]
OrderPartitions = Callable[[int], tuple[int, ...]]


class LimitClient:
    """Leases tokens from partition holders and spends them on requests."""

    __slots__ = (
        '_accounts',
        '_active_accounts',
        '_locate_holder',
        '_next_eviction_us',
        '_order_partitions',
        '_sequence',
    )

    def __init__(
        self,
        locate_holder: LocateHolder,
        order_partitions: OrderPartitions,
        sequence: int,
    ) -> None:
        """Create a client.

        `locate_holder` maps a partition key to the holder's host, or to '' if
        none can be asked. `order_partitions` returns a group's partition
        indexes, the nearest first. `sequence` must not repeat after a
        restart.
        """
        self._locate_holder = locate_holder
        self._order_partitions = order_partitions
        self._sequence = sequence
        self._accounts: dict[str, Account] = {}
        self._active_accounts: dict[str, Account] = {}
        self._next_eviction_us = 0

    def spend(self, customer: str, request_id: str, now_us: int) -> LimitResult:
        """Spend a token, wait for one, or refuse the request."""
        account = self._account(customer)
        _record_arrival(account, now_us)
        if not account.waiters and _take_token(account, now_us):
            return LimitResult([Decision(request_id, Admission.GRANTED)], [])
        account.waiters.append(request_id)
        return self._serve_waiters(account, now_us)

    def cancel(self, customer: str, request_id: str) -> None:
        """Stop waiting for a token."""
        account = self._accounts.get(customer)
        if account is not None and request_id in account.waiters:
            account.waiters.remove(request_id)

    def handle_grant(
        self, grant: messages.TokenGrant, now_us: int
    ) -> LimitResult:
        """Spend granted tokens, or ask the next partition."""
        account = self._accounts.get(grant.customer)
        if account is None or account.pending_sequence != grant.sequence:
            return LimitResult([], [])
        sent_us = account.pending_since_us
        account.pending_sequence = 0
        if grant.granted:
            expires_us = sent_us + grant.valid_us
            account.leases.append(
                TokenLease(
                    grant.seat, grant.sequence, grant.granted, expires_us
                ),
            )
        elif grant.is_holder:
            retry_us = now_us + grant.retry_after_us
            account.empty_until_us[grant.seat] = retry_us
        else:
            account.unusable_until_us[grant.seat] = (
                now_us + UNREACHABLE_BACKOFF_US
            )
        return self._serve_waiters(account, now_us)

    def handle_unsent(
        self,
        request: messages.TokenRequest,
        now_us: int,
    ) -> LimitResult:
        """Ask the next partition after a token request could not be sent."""
        account = self._accounts.get(request.customer)
        if account is None or account.pending_sequence != request.sequence:
            return LimitResult([], [])
        return self._skip_partition(account, now_us)

    def tick(self, now_us: int) -> LimitResult:
        """Time out lost token requests and return tokens about to expire."""
        limit_result = LimitResult([], [])
        for account in list(self._active_accounts.values()):
            waited_us = now_us - account.pending_since_us
            if account.is_pending and waited_us >= TOKEN_REQUEST_TIMEOUT_US:
                limit_result.extend(self._skip_partition(account, now_us))
            limit_result.effects.extend(self._return_unspent(account, now_us))
            if not account.is_pending and not account.leases:
                self._active_accounts.pop(account.customer)
        if now_us >= self._next_eviction_us:
            self._next_eviction_us = now_us + ACCOUNT_IDLE_US
            self._evict_idle(now_us)
        return limit_result

    def _evict_idle(self, now_us: int) -> None:
        self._accounts = {
            customer: account
            for customer, account in self._accounts.items()
            if customer in self._active_accounts
            or now_us - account.last_used_us < ACCOUNT_IDLE_US
        }

    def _account(self, customer: str) -> Account:
        account = self._accounts.get(customer)
        if account is None:
            partitions = self._order_partitions(group_of(customer))
            account = Account(customer=customer, partitions=partitions)
            self._accounts[customer] = account
        return account

    def _skip_partition(self, account: Account, now_us: int) -> LimitResult:
        account.pending_sequence = 0
        until_us = now_us + UNREACHABLE_BACKOFF_US
        account.unusable_until_us[account.pending_partition] = until_us
        return self._serve_waiters(account, now_us)

    def _serve_waiters(self, account: Account, now_us: int) -> LimitResult:
        limit_result = LimitResult([], [])
        while account.waiters and _take_token(account, now_us):
            request_id = account.waiters.popleft()
            limit_result.decisions.append(
                Decision(request_id, Admission.GRANTED)
            )
        if not account.waiters or account.is_pending:
            return limit_result
        partition_index = self._next_partition(account, now_us)
        if partition_index is None:
            limit_result.decisions.extend(_refuse_waiters(account, now_us))
            return limit_result
        limit_result.effects.append(
            self._request_tokens(account, partition_index, now_us)
        )
        return limit_result

    def _next_partition(self, account: Account, now_us: int) -> int | None:
        group = group_of(account.customer)
        for partition_index in account.partitions:
            if account.empty_until_us.get(partition_index, 0) > now_us:
                continue
            if account.unusable_until_us.get(partition_index, 0) > now_us:
                continue
            if self._locate_holder(key_of_partition(group, partition_index)):
                return partition_index
            account.unusable_until_us[partition_index] = (
                now_us + UNREACHABLE_BACKOFF_US
            )
        return None

    def _request_tokens(
        self,
        account: Account,
        partition_index: int,
        now_us: int,
    ) -> effects.Effect:
        self._sequence += 1
        self._active_accounts[account.customer] = account
        account.pending_sequence = self._sequence
        account.pending_partition = partition_index
        account.pending_since_us = now_us
        expected = int(account.rate_per_s * PREFETCH_US / SECOND_US)
        want = min(len(account.waiters) + expected, MAX_PREFETCH)
        request = messages.TokenRequest(
            customer=account.customer,
            want=max(want, len(account.waiters)),
            sequence=self._sequence,
            seat=partition_index,
        )
        holder = self._locate_holder(
            key_of_partition(group_of(account.customer), partition_index)
        )
        return effects.SendPeer(holder, request)

    def _return_unspent(
        self,
        account: Account,
        now_us: int,
    ) -> list[effects.Effect]:
        returns: list[effects.Effect] = []
        group = group_of(account.customer)
        while account.leases:
            lease = account.leases[0]
            if lease.expires_us - now_us > RETURN_BEFORE_EXPIRY_US:
                break
            account.leases.popleft()
            holder = self._locate_holder(
                key_of_partition(group, lease.partition_index)
            )
            if holder and lease.expires_us > now_us:
                returned = messages.TokenReturn(
                    account.customer,
                    lease.partition_index,
                    lease.sequence,
                    lease.count,
                )
                returns.append(effects.SendPeer(holder, returned))
        return returns


@dataclass(slots=True)
class LimitResult:
    """Decisions for waiting requests, and messages to send."""

    decisions: list[Decision]
    effects: list[effects.Effect]

    def extend(self, other: LimitResult) -> None:
        """Append the content of another result."""
        self.decisions.extend(other.decisions)
        self.effects.extend(other.effects)


def _take_token(account: Account, now_us: int) -> bool:
    while account.leases:
        lease = account.leases[0]
        if lease.expires_us <= now_us:
            account.leases.popleft()
            continue
        lease.count -= 1
        if not lease.count:
            account.leases.popleft()
        return True
    return False


def _refuse_waiters(account: Account, now_us: int) -> list[Decision]:
    empty = [
        until_us - now_us
        for until_us in account.empty_until_us.values()
        if until_us > now_us
    ]
    is_any_unusable = any(
        until_us > now_us for until_us in account.unusable_until_us.values()
    )
    admission = Admission.OVER_LIMIT
    if is_any_unusable:
        admission = Admission.UNAVAILABLE
    retry_after_us = min(empty, default=UNREACHABLE_BACKOFF_US)
    decisions = [
        Decision(request_id, admission, retry_after_us)
        for request_id in account.waiters
    ]
    account.waiters.clear()
    return decisions


def _record_arrival(account: Account, now_us: int) -> None:
    account.arrivals += 1
    account.last_used_us = now_us
    elapsed_us = now_us - account.window_started_us
    if elapsed_us >= RATE_WINDOW_US:
        account.rate_per_s = account.arrivals * SECOND_US / elapsed_us
        account.arrivals = 0
        account.window_started_us = now_us
