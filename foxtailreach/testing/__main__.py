"""Runs the stand-ins as processes of their own."""

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
    """Serve the platform's stand-in until the process is ended."""
    asyncio.run(_serve_platform(port))


@app.command()
def target(port: int, slots: int = 2, service_ms: float = 20) -> None:
    """Serve a target's stand-in until the process is ended."""
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
