"""What a gateway asks of the adapter that follows the platform's state."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.fleet import Effects, FleetNode
from foxtailreach.core.dispatch.mirror import StateMirror
from foxtailreach.gateway.peers import PeerEndpoint


class Feed(Protocol):
    """What keeps the node's view of the platform current."""

    @property
    def mirror(self) -> StateMirror:
        """This host's copy of the platform's state."""

    @property
    def is_ready(self) -> bool:
        """Whether configuration and targets are known."""

    @property
    def store_calls(self) -> int:
        """Calls made to the platform's store."""

    async def run(self) -> None:
        """Keep the view current for ever."""

    def age_us(self, now_us: int) -> int:
        """Return the age of the view, -1 if there is none."""

    def notice(self, sender: str, message: messages.StateNotice) -> None:
        """Hear which state another host has."""

    def welcome(self, host_id: str) -> None:
        """Tell a new host which state there is."""


@dataclass(slots=True)
class FeedParts:
    """What a feed is made of besides its own client."""

    node: FleetNode
    peers: PeerEndpoint
    rng: random.Random
    on_effects: Callable[[Effects], None]
