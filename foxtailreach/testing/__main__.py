"""Runs the fake platform or a fake target as a process."""

from __future__ import annotations

import asyncio

import typer

from foxtailreach.testing.platform import PlatformState, create_platform
from foxtailreach.testing.target import (
    TargetBehaviour,
    TargetServer,
    TargetState,
)

LOOPBACK = '127.0.0.1'

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.command()
def platform(port: int) -> None:
    """Serve the fake platform until the process is terminated."""
    asyncio.run(_serve_platform(port))


@app.command()
def target(port: int, slots: int = 2, service_ms: float = 20) -> None:
    """Serve a fake target until the process is terminated."""
    behaviour = TargetBehaviour(slots=slots, service_ms=service_ms)
    asyncio.run(_serve_target(port, behaviour))


async def _serve_platform(port: int) -> None:
    create_platform(PlatformState()).listen(port, LOOPBACK)
    await asyncio.Event().wait()


async def _serve_target(port: int, behaviour: TargetBehaviour) -> None:
    state = TargetState(f'target-{port}', behaviour)
    TargetServer(state, LOOPBACK, port).start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    app()
