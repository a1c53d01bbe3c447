"""The platform, targets and hosts of the demo, in one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass, replace
from ipaddress import IPv4Address
from pathlib import Path

from foxtailreach.commands.publish import Edit, publish
from foxtailreach.config.files import read_change_set
from foxtailreach.config.objects import ChangeSet, Objects
from foxtailreach.config.settings import (
    HostSection,
    HostSettings,
    PlatformSection,
)
from foxtailreach.core.messages import HostEntry
from foxtailreach.daemon.host import Host
from foxtailreach.daemon.platform import PlatformAddress
from foxtailreach.testing.platform import PlatformState, create_platform
from foxtailreach.testing.target import (
    TargetBehaviour,
    TargetServer,
    TargetState,
)

LOOPBACK = '127.0.0.1'
HOSTS_PER_DOMAIN = 2
PORTS_PER_HOST = 3
TARGET_SERVICE_MS = 20
TARGET_COLD_MS = 1500
PLATFORM_TIMEOUT_MS = 1000
PLATFORM_POLL_MS = 300


@dataclass(slots=True)
class RunningHost:
    """A running host, its task and its port for callers."""

    host: Host
    task: asyncio.Task[None]
    caller_port: int


class DemoEnvironment:
    """Starts and stops the platform, targets and hosts of a deployment."""

    def __init__(self, deployment: str) -> None:
        """Read the deployment's objects; `start` starts the servers."""
        path = Path(__file__).parent / f'{deployment}.toml'
        self._change = read_change_set([path], 'initial', 0)
        self._exit_stack = contextlib.AsyncExitStack()
        self.objects = _with_free_ports(self._change.upserts)
        self.platform = PlatformState()
        self.platform_port = 0
        self.targets: dict[str, TargetServer] = {}
        self.hosts: dict[str, RunningHost] = {}

    async def start(self) -> None:
        """Start platform, targets and hosts, and publish the configuration."""
        (self.platform_port,) = free_ports(1)
        platform = create_platform(self.platform)
        platform.listen(self.platform_port, LOOPBACK)
        self._exit_stack.callback(platform.stop)
        for name, target in self.objects.targets.items():
            self._start_target(name, target.port, target.slots)
        await self.publish(self._initial_change)
        for domain in self.objects.domains:
            for index in range(HOSTS_PER_DOMAIN):
                self.start_host(f'{domain}-{index + 1}', domain)

    async def stop(self) -> None:
        """Stop all hosts gracefully, then the fake targets and platform."""
        for running_host in self.hosts.values():
            running_host.host.request_stop()
        tasks = [running_host.task for running_host in self.hosts.values()]
        await asyncio.gather(*tasks, return_exceptions=True)
        for target in self.targets.values():
            await target.stop()
        await self._exit_stack.aclose()

    async def publish(self, edit: Edit) -> int:
        """Publish a change through the log; return the new version."""
        address = PlatformAddress(
            LOOPBACK,
            self.platform_port,
            PLATFORM_TIMEOUT_MS,
        )
        return await publish(address, edit)

    def start_host(self, host_id: str, domain: str) -> RunningHost:
        """Start a host and add it to the platform's host list."""
        caller_port, peer_port, admin_port = free_ports(PORTS_PER_HOST)
        settings = HostSettings(
            host=HostSection(
                host_id=host_id,
                domain=domain,
                address=IPv4Address(LOOPBACK),
                caller_port=caller_port,
                peer_port=peer_port,
                admin_port=admin_port,
            ),
            platform=PlatformSection(
                address=IPv4Address(LOOPBACK),
                port=self.platform_port,
                timeout_ms=PLATFORM_TIMEOUT_MS,
                poll_interval_ms=PLATFORM_POLL_MS,
            ),
        )
        host = Host(settings)
        task = asyncio.ensure_future(host.serve())
        self.platform.hosts[host_id] = HostEntry(
            host_id,
            domain,
            LOOPBACK,
            peer_port,
        )
        running_host = RunningHost(host, task, caller_port)
        self.hosts[host_id] = running_host
        return running_host

    async def stop_host(self, host_id: str) -> None:
        """Stop a host gracefully and remove it from the host list."""
        running_host = self.hosts.pop(host_id)
        running_host.host.request_stop()
        await running_host.task
        self.platform.hosts.pop(host_id)

    def target_status(self, name: str) -> str:
        """Return a target's status at the host that owns its pool."""
        for running_host in self.hosts.values():
            for owner in running_host.host.node.ownership.pools.values():
                state = owner.targets.get(name)
                if state is not None and owner.is_active:
                    return state.status.value
        return 'unowned'

    def _initial_change(
        self,
        current: Objects,
        change_id: str,
        version: int,
    ) -> ChangeSet:
        return ChangeSet(change_id, version, self.objects)

    def _start_target(self, name: str, port: int, slots: int) -> None:
        behaviour = TargetBehaviour(
            slots=slots,
            service_ms=TARGET_SERVICE_MS,
            cold_ms=TARGET_COLD_MS,
        )
        server = TargetServer(TargetState(name, behaviour), LOOPBACK, port)
        server.start()
        self.targets[name] = server


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind((LOOPBACK, 0))
            ports.append(int(listener.getsockname()[1]))
        return ports


def _with_free_ports(objects: Objects) -> Objects:
    ports = free_ports(len(objects.targets))
    targets = {
        name: replace(target, port=port)
        for (name, target), port in zip(
            objects.targets.items(),
            ports,
            strict=True,
        )
    }
    return replace(objects, targets=targets)
