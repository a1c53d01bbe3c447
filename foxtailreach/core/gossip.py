"""Epidemic spreading of rumors with a bounded fan-out."""

from __future__ import annotations

import random

from foxtailreach.core import effects
from foxtailreach.core.membership import Membership
from foxtailreach.core.messages import GossipUpdate

FANOUT = 4
BROADCAST_HOSTS = 64


class GossipSpreader:
    """Chooses the hosts that get a rumor next.

    A small fleet is told directly, which takes one hop. In a larger one each
    host that hears a rumor for the first time tells `FANOUT` others.
    """

    __slots__ = ('_membership', '_rng')

    def __init__(self, membership: Membership, rng: random.Random) -> None:
        """Create a mill that spreads among the members."""
        self._membership = membership
        self._rng = rng

    def relay(self, gossip_update: GossipUpdate) -> list[effects.Effect]:
        """Return the messages that pass a rumor on."""
        others = self._membership.others()
        if len(others) > FANOUT:
            others = self._rng.sample(others, FANOUT)
        return [effects.SendPeer(host_id, gossip_update) for host_id in others]

    def start(self, gossip_update: GossipUpdate) -> list[effects.Effect]:
        """Return the messages that start a rumor."""
        others = self._membership.others()
        if len(others) > BROADCAST_HOSTS:
            return self.relay(gossip_update)
        return [effects.SendPeer(host_id, gossip_update) for host_id in others]
