"""Passes messages between the node, the fleet client and other hosts."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from foxtailreach.core import effects
from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.fleet import FleetNode
from foxtailreach.core.dispatch.host_messages import Effects
from foxtailreach.daemon.clock import boot_time_us
from foxtailreach.gateway.fleet_client import REPLY_TYPES, FleetClient

SendDatagram = Callable[[str, messages.FleetMessage], None]


class MessageRouter:
    """Delivers messages of one host, also those to itself.

    `client` requests slots and charges; replies to it are handled by the node
    too, since any message can decide what the node waits for.
    """

    __slots__ = ('_node', '_send_datagram', 'client')

    def __init__(self, node: FleetNode, send_datagram: SendDatagram) -> None:
        """Send messages to other hosts with `send_datagram`."""
        self._node = node
        self._send_datagram = send_datagram
        self.client = FleetClient(node, self.send)

    def send(self, host_id: str, message: messages.FleetMessage) -> None:
        """Send a message to a host, which may be this one."""
        if host_id == self._node.host_id:
            self.receive(host_id, message)
        else:
            self._send_datagram(host_id, message)

    def receive(self, sender: str, message: messages.FleetMessage) -> None:
        """Handle a message from a host, which may be this one."""
        self.apply(self._node.receive(sender, message, boot_time_us()))
        if isinstance(message, REPLY_TYPES):
            self.client.receive(sender, message)
        elif isinstance(message, messages.SlotCheck):
            self.client.check_slots(sender, message)

    def apply(self, new_effects: Effects) -> None:
        """Carry out effects of the node."""
        for effect in new_effects:
            match effect:
                case messages.SendHost(host_id=host_id, message=message):
                    self.send(host_id, message)
                case effects.Note(name=name, subject=subject, detail=detail):
                    logger.info('{} {} is {}', name, subject, detail)
