"""Gossip with a bounded fan-out."""

from __future__ import annotations

import random

from foxtailreach.core import effects
from foxtailreach.core.membership import Membership
from foxtailreach.core.messages import GossipUpdate

FANOUT = 4
BROADCAST_HOSTS = 64


class GossipSpreader:
    """Chooses the hosts that a gossip update is sent to.

    The origin sends an update to all other hosts if they are at most
    `BROADCAST_HOSTS`, which takes one hop, and otherwise to `FANOUT` random
    ones. A host to which the update is new relays it to `FANOUT` random hosts.
    """

    __slots__ = ('_membership', '_rng')

    def __init__(self, membership: Membership, rng: random.Random) -> None:
        """Create a spreader that sends to the members."""
        self._membership = membership
        self._rng = rng

    def relay(self, gossip_update: GossipUpdate) -> list[effects.Effect]:
        """Return the messages that relay an update from another host."""
        others = self._membership.others()
        if len(others) > FANOUT:
            others = self._rng.sample(others, FANOUT)
        return [effects.SendPeer(host_id, gossip_update) for host_id in others]

    def start(self, gossip_update: GossipUpdate) -> list[effects.Effect]:
        """Return the messages that spread an update of this host."""
        others = self._membership.others()
        if len(others) > BROADCAST_HOSTS:
            return self.relay(gossip_update)
        return [effects.SendPeer(host_id, gossip_update) for host_id in others]
