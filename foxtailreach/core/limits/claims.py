"""Claims of unheld seats through the log, and their release."""

from __future__ import annotations

from foxtailreach.config.records import (
    ClaimRecord,
    ReleaseRecord,
    SeatEpoch,
    encode_record,
)
from foxtailreach.core import effects
from foxtailreach.core.fold import Fold
from foxtailreach.core.limits.holder import LimitHolder
from foxtailreach.core.limits.seats import all_seats, domain_of_seat
from foxtailreach.core.membership import Membership
from foxtailreach.core.ranking import top_candidate
from foxtailreach.core.units import SECOND_US

GONE_SAFETY_US = 5 * SECOND_US
CLAIM_INTERVAL_US = SECOND_US

Effects = list[effects.Effect]


class SeatClaims:
    """Claims the seats that this host should hold."""

    __slots__ = ('_fold', '_gone_since', '_holder', '_membership', '_next_us')

    def __init__(
        self,
        fold: Fold,
        membership: Membership,
        holder: LimitHolder,
    ) -> None:
        """Create the claimant over the node's shared state."""
        self._fold = fold
        self._membership = membership
        self._holder = holder
        self._gone_since: dict[str, int] = {}
        self._next_us = 0

    def tick(self, now_us: int, *, can_append: bool) -> Effects:
        """Append a claim for vacant seats, at most once per interval."""
        if now_us < self._next_us:
            return []
        self._next_us = now_us + CLAIM_INTERVAL_US
        self._track_gone(now_us)
        if self._membership.is_leaving or not can_append:
            return []
        claims = tuple(self._due_claims(now_us))
        if not claims:
            return []
        for claim in claims:
            self._holder.record_claim(claim.seat, claim.epoch)
        record = ClaimRecord(self._membership.host_id, claims)
        return [effects.AppendRecord(encode_record(record))]

    def release(self) -> Effects:
        """Append the release of all seats before a planned stop."""
        self._holder.is_releasing = True
        seats = tuple(
            SeatEpoch(seat, self._fold.holders[seat].epoch)
            for seat in self._holder.held_partitions()
        )
        if not seats:
            return []
        record = ReleaseRecord(self._membership.host_id, seats)
        return [effects.AppendRecord(encode_record(record))]

    def _track_gone(self, now_us: int) -> None:
        listed = self._membership.hosts
        holders = {holder.host_id for holder in self._fold.holders.values()}
        self._gone_since = {
            host_id: self._gone_since.get(host_id, now_us)
            for host_id in holders
            if host_id and host_id not in listed
        }

    def _due_claims(self, now_us: int) -> list[SeatEpoch]:
        claims = []
        domains = sorted(self._fold.objects.domains)
        for seat in all_seats():
            if self._is_vacant(seat, now_us) and self._is_mine(seat, domains):
                current = self._fold.holders.get(seat)
                epoch = 0 if current is None else current.epoch
                claims.append(SeatEpoch(seat, epoch + 1))
        return claims

    def _is_vacant(self, seat: str, now_us: int) -> bool:
        holder = self._fold.holders.get(seat)
        if holder is None or not holder.host_id:
            return True
        gone_since_us = self._gone_since.get(holder.host_id)
        if gone_since_us is None:
            return False
        return now_us - gone_since_us >= GONE_SAFETY_US

    def _is_mine(self, seat: str, domains: list[str]) -> bool:
        domain = domain_of_seat(seat, domains)
        candidates = self._membership.usable_hosts(domain)
        if not candidates:
            candidates = self._membership.usable_hosts()
        return top_candidate(candidates, seat) == self._membership.host_id
