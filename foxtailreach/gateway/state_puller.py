"""Pulls copies of the platform's state from other hosts."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.fleet import FleetNode
from foxtailreach.core.dispatch.mirror import StateMirror
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.peers import pull_state

# A host that does not answer must not keep this host from asking others.
MAX_PULLS_TO_ASK = 3

# Adopts the copy of a host, by its id, that was requested at a time in
# microseconds.
OnCopy = Callable[[str, messages.StateCopy, int], None]


class StatePuller:
    """Pulls from several hosts, but at most once from each, at a time."""

    __slots__ = ('_mirror', '_node', '_noticed', '_on_copy', '_pulling')

    def __init__(
        self, node: FleetNode, mirror: StateMirror, on_copy: OnCopy
    ) -> None:
        """Pull what `mirror` lacks, and pass it to `on_copy`."""
        self._node = node
        self._mirror = mirror
        self._on_copy = on_copy
        # The newest versions of each host that is being pulled from.
        self._noticed: dict[str, tuple[messages.TopicVersion, ...]] = {}
        self._pulling: set[str] = set()

    @property
    def is_busy(self) -> bool:
        """Whether enough hosts are being asked without a notice of theirs."""
        return len(self._pulling) >= MAX_PULLS_TO_ASK

    async def pull_noticed(
        self, host_id: str, versions: tuple[messages.TopicVersion, ...]
    ) -> None:
        """Pull the versions that another host announced.

        Versions that it announces during a pull are pulled after it.
        """
        self._noticed[host_id] = versions
        pulled: tuple[messages.TopicVersion, ...] = ()
        while self._lacks(self._noticed[host_id]):
            if self._noticed[host_id] == pulled:
                return
            pulled = self._noticed[host_id]
            if not await self.pull(host_id):
                return

    def _lacks(self, versions: tuple[messages.TopicVersion, ...]) -> bool:
        return self._mirror.is_diverged or self._mirror.is_behind(versions)

    async def pull(self, host_id: str) -> bool:
        """Pull the state of a host; return whether it answered."""
        state = self._node.membership.hosts.get(host_id)
        if state is None or host_id in self._pulling:
            return False
        self._pulling.add(host_id)
        address = (state.entry.address, state.entry.peer_port)
        try:
            is_answered = await self._pull_from(host_id, address)
            if is_answered and self._mirror.is_diverged:
                logger.warning('changes of {} do not fit; copying all', host_id)
                is_answered = await self._pull_from(host_id, address)
        finally:
            self._pulling.discard(host_id)
        return is_answered

    async def _pull_from(self, host_id: str, address: tuple[str, int]) -> bool:
        sent_us = boot_time_us()
        pull = messages.StatePull(self._mirror.pull_versions())
        copy = await pull_state(address, pull)
        if copy is None:
            return False
        self._on_copy(host_id, copy, sent_us)
        return True
