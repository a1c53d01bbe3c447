"""The entry host's side of fleet-wide limits.

A request spends one token. Tokens come from the seats of the customer's
group: the seat in this host's own domain first, then the others, so that a
request is refused only when every reachable seat is empty.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailreach.core import effects, messages
from foxtailreach.core.limits.seats import group_of, seat_key
from foxtailreach.core.units import MILLISECOND_US, SECOND_US

REQUEST_TIMEOUT_US = 150 * MILLISECOND_US
UNREACHABLE_US = 500 * MILLISECOND_US
RETURN_BEFORE_US = 50 * MILLISECOND_US
PREFETCH_US = 20 * MILLISECOND_US
MAX_PREFETCH = 16
RATE_WINDOW_US = 250 * MILLISECOND_US
IDLE_US = 10 * SECOND_US


class Admission(enum.Enum):
    """Outcome of a token wait."""

    GRANTED = enum.auto()
    OVER_LIMIT = enum.auto()
    UNAVAILABLE = enum.auto()


@dataclass(slots=True, frozen=True)
class Decision:
    """The admission of one waiting request."""

    request_id: str
    admission: Admission
    retry_after_us: int = 0


@dataclass(slots=True)
class Purse:
    """Prefetched tokens of one grant."""

    seat: int
    sequence: int
    count: int
    expires_us: int


@dataclass(slots=True)
class Account:
    """One customer's tokens, waiters and knowledge of seats."""

    customer: str
    seats: tuple[int, ...]
    purses: deque[Purse] = field(default_factory=deque)
    waiters: deque[str] = field(default_factory=deque)
    empty_until_us: dict[int, int] = field(default_factory=dict)
    unusable_until_us: dict[int, int] = field(default_factory=dict)
    pending_sequence: int = 0
    pending_seat: int = 0
    pending_since_us: int = 0
    arrivals: int = 0
    used_us: int = 0
    window_started_us: int = 0
    rate_per_s: float = 0

    @property
    def is_pending(self) -> bool:
        """Whether a token request is on its way."""
        return self.pending_sequence != 0


Locate = Callable[[str], str]
Order = Callable[[int], tuple[int, ...]]


class LimitClient:
    """Obtains tokens from holders and spends them on requests."""

    __slots__ = (
        '_accounts',
        '_busy',
        '_locate',
        '_next_eviction_us',
        '_order',
        '_sequence',
    )

    def __init__(self, locate: Locate, order: Order, sequence: int) -> None:
        """Create a client.

        `locate` maps a seat key to its holder's host or ''; `order` ranks a
        group's seats by nearness; `sequence` must not repeat after a restart.
        """
        self._locate = locate
        self._order = order
        self._sequence = sequence
        self._accounts: dict[str, Account] = {}
        self._busy: dict[str, Account] = {}
        self._next_eviction_us = 0

    def spend(self, customer: str, request_id: str, now_us: int) -> Step:
        """Spend a token, or wait for one."""
        account = self._account(customer)
        _record_arrival(account, now_us)
        if not account.waiters and _take_token(account, now_us):
            return Step([Decision(request_id, Admission.GRANTED)], [])
        account.waiters.append(request_id)
        return self._advance(account, now_us)

    def cancel(self, customer: str, request_id: str) -> None:
        """Stop waiting for a token."""
        account = self._accounts.get(customer)
        if account is not None and request_id in account.waiters:
            account.waiters.remove(request_id)

    def handle_grant(self, grant: messages.TokenGrant, now_us: int) -> Step:
        """Use granted tokens or turn to the next seat."""
        account = self._accounts.get(grant.customer)
        if account is None or account.pending_sequence != grant.sequence:
            return Step([], [])
        sent_us = account.pending_since_us
        account.pending_sequence = 0
        if grant.granted:
            expires_us = sent_us + grant.valid_us
            account.purses.append(
                Purse(grant.seat, grant.sequence, grant.granted, expires_us),
            )
        elif grant.is_holder:
            retry_us = now_us + grant.retry_after_us
            account.empty_until_us[grant.seat] = retry_us
        else:
            account.unusable_until_us[grant.seat] = now_us + UNREACHABLE_US
        return self._advance(account, now_us)

    def handle_unsent(
        self,
        request: messages.TokenRequest,
        now_us: int,
    ) -> Step:
        """Turn to the next seat after a request could not be sent."""
        account = self._accounts.get(request.customer)
        if account is None or account.pending_sequence != request.sequence:
            return Step([], [])
        return self._give_up_seat(account, now_us)

    def tick(self, now_us: int) -> Step:
        """Time out lost requests and return tokens about to expire."""
        step = Step([], [])
        for account in list(self._busy.values()):
            waited_us = now_us - account.pending_since_us
            if account.is_pending and waited_us >= REQUEST_TIMEOUT_US:
                step.extend(self._give_up_seat(account, now_us))
            step.effects.extend(self._return_unused(account, now_us))
            if not account.is_pending and not account.purses:
                self._busy.pop(account.customer)
        if now_us >= self._next_eviction_us:
            self._next_eviction_us = now_us + IDLE_US
            self._evict_idle(now_us)
        return step

    def _evict_idle(self, now_us: int) -> None:
        self._accounts = {
            customer: account
            for customer, account in self._accounts.items()
            if customer in self._busy or now_us - account.used_us < IDLE_US
        }

    def _account(self, customer: str) -> Account:
        account = self._accounts.get(customer)
        if account is None:
            seats = self._order(group_of(customer))
            account = Account(customer=customer, seats=seats)
            self._accounts[customer] = account
        return account

    def _give_up_seat(self, account: Account, now_us: int) -> Step:
        account.pending_sequence = 0
        until_us = now_us + UNREACHABLE_US
        account.unusable_until_us[account.pending_seat] = until_us
        return self._advance(account, now_us)

    def _advance(self, account: Account, now_us: int) -> Step:
        step = Step([], [])
        while account.waiters and _take_token(account, now_us):
            request_id = account.waiters.popleft()
            step.decisions.append(Decision(request_id, Admission.GRANTED))
        if not account.waiters or account.is_pending:
            return step
        seat = self._next_seat(account, now_us)
        if seat is None:
            step.decisions.extend(_refuse_waiters(account, now_us))
            return step
        step.effects.append(self._request_tokens(account, seat, now_us))
        return step

    def _next_seat(self, account: Account, now_us: int) -> int | None:
        group = group_of(account.customer)
        for seat in account.seats:
            if account.empty_until_us.get(seat, 0) > now_us:
                continue
            if account.unusable_until_us.get(seat, 0) > now_us:
                continue
            if self._locate(seat_key(group, seat)):
                return seat
            account.unusable_until_us[seat] = now_us + UNREACHABLE_US
        return None

    def _request_tokens(
        self,
        account: Account,
        seat: int,
        now_us: int,
    ) -> effects.Effect:
        self._sequence += 1
        self._busy[account.customer] = account
        account.pending_sequence = self._sequence
        account.pending_seat = seat
        account.pending_since_us = now_us
        expected = int(account.rate_per_s * PREFETCH_US / SECOND_US)
        want = min(len(account.waiters) + expected, MAX_PREFETCH)
        request = messages.TokenRequest(
            customer=account.customer,
            want=max(want, len(account.waiters)),
            sequence=self._sequence,
            seat=seat,
        )
        holder = self._locate(seat_key(group_of(account.customer), seat))
        return effects.SendPeer(holder, request)

    def _return_unused(
        self,
        account: Account,
        now_us: int,
    ) -> list[effects.Effect]:
        returns: list[effects.Effect] = []
        group = group_of(account.customer)
        while account.purses:
            purse = account.purses[0]
            if purse.expires_us - now_us > RETURN_BEFORE_US:
                break
            account.purses.popleft()
            holder = self._locate(seat_key(group, purse.seat))
            if holder and purse.expires_us > now_us:
                returned = messages.TokenReturn(
                    account.customer,
                    purse.seat,
                    purse.sequence,
                    purse.count,
                )
                returns.append(effects.SendPeer(holder, returned))
        return returns


@dataclass(slots=True)
class Step:
    """Decisions for waiting requests, and messages to send."""

    decisions: list[Decision]
    effects: list[effects.Effect]

    def extend(self, other: Step) -> None:
        """Append another step's content."""
        self.decisions.extend(other.decisions)
        self.effects.extend(other.effects)


def _take_token(account: Account, now_us: int) -> bool:
    while account.purses:
        purse = account.purses[0]
        if purse.expires_us <= now_us:
            account.purses.popleft()
            continue
        purse.count -= 1
        if not purse.count:
            account.purses.popleft()
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
    retry_after_us = min(empty, default=UNREACHABLE_US)
    decisions = [
        Decision(request_id, admission, retry_after_us)
        for request_id in account.waiters
    ]
    account.waiters.clear()
    return decisions


def _record_arrival(account: Account, now_us: int) -> None:
    account.arrivals += 1
    account.used_us = now_us
    elapsed_us = now_us - account.window_started_us
    if elapsed_us >= RATE_WINDOW_US:
        account.rate_per_s = account.arrivals * SECOND_US / elapsed_us
        account.arrivals = 0
        account.window_started_us = now_us
