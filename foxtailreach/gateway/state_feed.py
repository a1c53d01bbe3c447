"""Interface of the adapter that follows the platform's state."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.fleet import FleetNode
from foxtailreach.core.dispatch.host_messages import Effects
from foxtailreach.core.dispatch.mirror import StateMirror
from foxtailreach.gateway.peers import PeerEndpoint


class StateFeed(Protocol):
    """Keeps this host's copy of the platform's state up to date."""

    @property
    def mirror(self) -> StateMirror:
        """This host's copy of the platform's state."""

    @property
    def is_ready(self) -> bool:
        """Whether configuration and targets are known."""

    @property
    def store_calls(self) -> int:
        """Number of calls made to the platform's store."""

    @property
    def malformed_entries(self) -> int:
        """Number of entries that could not be decoded."""

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""

    def age_us(self, now_us: int) -> int:
        """Return the time since the newest read by this host or the reader.

        In microseconds; -1 if neither time is set.
        """

    def handle_notice(self, sender: str, message: messages.StateNotice) -> None:
        """Handle a notice of the state versions that another host has."""

    def notify_host(self, host_id: str) -> None:
        """Send a notice of this host's state versions to a new host."""


@dataclass(slots=True)
class FeedDependencies:
    """Objects of the gateway that a feed works with."""

    node: FleetNode
    peers: PeerEndpoint
    rng: random.Random
    on_effects: Callable[[Effects], None]
