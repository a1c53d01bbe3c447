"""The holder's side of fleet-wide limits: grants tokens of its seats."""

from __future__ import annotations

from dataclasses import dataclass

from foxtailreach.config.objects import Limit
from foxtailreach.core import effects, messages
from foxtailreach.core.catalog import Catalog
from foxtailreach.core.fold import Fold
from foxtailreach.core.limits.bucket import LOAN_VALID_US, LeasingBucket
from foxtailreach.core.limits.seats import group_of, part_of_limit, seat_key
from foxtailreach.core.log_freshness import LogFreshness
from foxtailreach.core.units import SECOND_US

NO_PART_RETRY_US = SECOND_US


@dataclass(slots=True, frozen=True)
class SeatTerm:
    """One uninterrupted holding of a seat by this process.

    Only the first holder of a seat ever starts with a full burst; a
    successor cannot know what was spent and starts empty.
    """

    epoch: int
    started_us: int
    is_first: bool


class LimitHolder:
    """Buckets of the seats that the log assigns to this host."""

    __slots__ = (
        '_buckets',
        '_catalog',
        '_fold',
        '_host_id',
        '_log_freshness',
        '_own_claims',
        '_terms',
        'is_releasing',
    )

    def __init__(
        self,
        host_id: str,
        fold: Fold,
        catalog: Catalog,
        log_freshness: LogFreshness,
    ) -> None:
        """Create a holder without buckets; they are made on demand."""
        self._host_id = host_id
        self._fold = fold
        self._catalog = catalog
        self._log_freshness = log_freshness
        self._buckets: dict[str, dict[str, LeasingBucket]] = {}
        self._terms: dict[str, SeatTerm] = {}
        self._own_claims: dict[str, int] = {}
        self.is_releasing = False

    def held_partitions(self) -> list[str]:
        """List the seats that the log assigns to this host."""
        return [
            seat
            for seat, holder in self._fold.holders.items()
            if holder.host_id == self._host_id
        ]

    def record_claim(self, seat: str, epoch: int) -> None:
        """Remember a claim that this process appended to the log."""
        self._own_claims[seat] = epoch

    def refresh_terms(self, now_us: int) -> None:
        """Begin and end terms after the log was folded."""
        held = {
            seat: self._fold.holders[seat] for seat in self.held_partitions()
        }
        for seat, term in list(self._terms.items()):
            if seat not in held or held[seat].epoch != term.epoch:
                self._terms.pop(seat)
                self._buckets.pop(seat, None)
        for seat, holder in held.items():
            if seat not in self._terms:
                is_own = self._own_claims.get(seat) == holder.epoch
                self._terms[seat] = SeatTerm(
                    epoch=holder.epoch,
                    started_us=now_us,
                    is_first=is_own and holder.epoch == 1,
                )

    def handle_request(
        self,
        sender: str,
        request: messages.TokenRequest,
        now_us: int,
    ) -> effects.Effect:
        """Grant tokens if the seat is held here and may be spent from."""
        bucket = self._bucket(request.customer, request.seat, now_us)
        granted = 0
        retry_after_us = NO_PART_RETRY_US
        if bucket is not None:
            granted = bucket.grant_lease(
                sender,
                request.sequence,
                request.want,
                now_us,
            )
            retry_after_us = bucket.retry_after_us(now_us)
        grant = messages.TokenGrant(
            customer=request.customer,
            sequence=request.sequence,
            seat=request.seat,
            granted=granted,
            valid_us=LOAN_VALID_US,
            retry_after_us=retry_after_us,
            is_holder=self._may_spend(request.customer, request.seat, now_us),
        )
        return effects.SendPeer(sender, grant)

    def handle_return(
        self,
        sender: str,
        returned: messages.TokenReturn,
        now_us: int,
    ) -> None:
        """Credit tokens that an entry host could not use."""
        bucket = self._bucket(returned.customer, returned.seat, now_us)
        if bucket is not None:
            bucket.take_back(
                sender,
                returned.sequence,
                returned.count,
                now_us,
            )

    def _bucket(
        self,
        customer: str,
        seat: int,
        now_us: int,
    ) -> LeasingBucket | None:
        limit = self._catalog.limit_of(customer)
        if limit is None or not self._may_spend(customer, seat, now_us):
            return None
        part = part_of_limit(limit, seat)
        if part is None:
            return None
        key = seat_key(group_of(customer), seat)
        return self._open_bucket(key, self._terms[key], customer, part, now_us)

    def _may_spend(self, customer: str, seat: int, now_us: int) -> bool:
        if self.is_releasing or not self._log_freshness.is_current(now_us):
            return False
        return seat_key(group_of(customer), seat) in self._terms

    def _open_bucket(
        self,
        seat: str,
        term: SeatTerm,
        customer: str,
        part: Limit,
        now_us: int,
    ) -> LeasingBucket:
        buckets = self._buckets.setdefault(seat, {})
        bucket = buckets.get(customer)
        if bucket is None:
            tokens = part.burst_requests if term.is_first else 0
            bucket = LeasingBucket(part, tokens, term.started_us)
            buckets[customer] = bucket
        elif bucket.limit != part:
            bucket.change_limit(part, now_us)
        return bucket
