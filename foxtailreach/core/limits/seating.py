"""Where seats are held now, as one host sees it."""

from __future__ import annotations

from foxtailreach.core.fold import Fold
from foxtailreach.core.limits.seats import SEATS, domain_of_seat, seat_key
from foxtailreach.core.membership import Membership
from foxtailreach.core.messages import Liveness


class Seating:
    """Maps seats to reachable holders and ranks them by nearness."""

    __slots__ = ('_domain', '_fold', '_membership')

    def __init__(
        self,
        domain: str,
        fold: Fold,
        membership: Membership,
    ) -> None:
        """Create the view of a host in `domain`."""
        self._domain = domain
        self._fold = fold
        self._membership = membership

    def locate(self, seat: str) -> str:
        """Return the seat's holder, or '' if none can be asked."""
        holder = self._fold.holders.get(seat)
        if holder is None or not holder.host_id:
            return ''
        if holder.host_id == self._membership.host_id:
            return holder.host_id
        state = self._membership.hosts.get(holder.host_id)
        if state is None or state.liveness is Liveness.DOWN:
            return ''
        return holder.host_id

    def order(self, group: int) -> tuple[int, ...]:
        """Order a group's seats: the host's own failure domain first."""
        domains = sorted(self._fold.objects.domains)
        seats = list(range(SEATS))
        seats.sort(
            key=lambda seat: (
                domain_of_seat(seat_key(group, seat), domains) != self._domain
            ),
        )
        return tuple(seats)
