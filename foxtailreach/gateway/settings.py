"""Typed settings of one gateway host."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from foxtailreach.core.dispatch.budgets import RetryPolicy
from foxtailreach.core.dispatch.meters import LimitPolicy
from foxtailreach.core.messages import HostEntry
from foxtailreach.core.units import MILLISECOND_US

MAX_PORT = 65_535
# The least that the hosts of a known deployment have.
DEFAULT_MAX_DESCRIPTORS = 4096
# That of a host with the default memory.
DEFAULT_CALLER_MEMORY_BYTES = 120 * 1024 * 1024
# Multicast and reserved addresses begin here; no host listens on those.
FIRST_RESERVED_OCTET = 224


@dataclass(slots=True, frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


def is_usable_address(host: str, port: int) -> bool:
    """Tell whether a connection to a port of an IPv4 address can be tried."""
    try:
        octets = socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return 0 < octets[0] < FIRST_RESERVED_OCTET and 0 < port <= MAX_PORT


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Identity, listening addresses and limits of one host.

    `seeds` are addresses of some hosts of the fleet and may be outdated; only
    their IP addresses are used, with this host's own peer port.
    `is_first_start` tells that the whole fleet starts for the first time.
    Targets write a heartbeat every `target_heartbeat_us`.
    `capacity` is the processor time of the host in hundredths of a core;
    `max_body_memory_bytes` bounds the memory for the bodies of all requests,
    `max_answer_memory_bytes` that for the answers to all of them,
    `max_caller_memory_bytes` all that is held for callers, with these.
    `max_descriptors` bounds the open files and sockets of the process.
    The fleet must bear the loss of `tolerated_domain_losses` failure domains.
    """

    host_id: str
    domain: str
    address: str
    capacity: int
    peer_port: int
    is_first_start: bool
    metrics_port: int
    callers: Address
    readiness: Address
    store: Address
    seeds: tuple[Address, ...]
    stop_grace_us: int
    max_body_memory_bytes: int
    max_answer_memory_bytes: int
    retry_policy: RetryPolicy
    limit_policy: LimitPolicy
    max_caller_memory_bytes: int = DEFAULT_CALLER_MEMORY_BYTES
    tolerated_domain_losses: int = 1
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    target_heartbeat_us: int = 1500 * MILLISECOND_US

    @property
    def prefers_own_domain(self) -> bool:
        """Whether requests stay in the failure domain of their caller.

        Where no failure domain may be lost, the targets of others need not be
        kept in use by all callers.
        """
        return self.tolerated_domain_losses == 0

    @property
    def entry(self) -> HostEntry:
        """Entry of this host in the list of hosts."""
        return HostEntry(
            self.host_id,
            self.domain,
            self.address,
            self.peer_port,
            capacity=self.capacity,
        )
