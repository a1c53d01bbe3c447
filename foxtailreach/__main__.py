"""Command line interface; commands and queries are imported on use."""

from __future__ import annotations

import json
import sys
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from foxtailreach.config.settings import HostSettings
from foxtailreach.daemon.platform import PlatformAddress
from foxtailreach.exceptions import FoxtailreachError

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
    help='A proxy fleet for targets with gray failures.',
)

SettingsOption = Annotated[
    Path,
    typer.Option('--settings', help='TOML file with the settings of a host.'),
]
PathsArgument = Annotated[
    list[Path],
    typer.Argument(help='TOML files with named objects.'),
]


class Deployment(StrEnum):
    """Example configurations that come with the demo."""

    SCARA = 'scara'
    TECHO = 'techo'


class DomainState(StrEnum):
    """Whether the targets of a failure domain get new requests."""

    ACTIVE = 'active'
    OUT = 'out'


class TargetState(StrEnum):
    """Whether a target gets new requests."""

    ACTIVE = 'active'
    DRAINING = 'draining'


@app.command()
def serve(settings: SettingsOption) -> None:
    """Run one host until SIGTERM."""
    from foxtailreach.commands.serve import serve as run

    run(settings)


@app.command()
def publish(settings: SettingsOption, paths: PathsArgument) -> None:
    """Publish named objects as one change set."""
    from foxtailreach.commands.publish import publish_files

    version = publish_files(_platform_address(settings), paths)
    typer.echo(f'published as version {version}')


@app.command()
def check(
    paths: PathsArgument,
    settings: Annotated[
        Path | None,
        typer.Option(help='Check on top of what is published.'),
    ] = None,
) -> None:
    """Check named objects without publishing them."""
    from foxtailreach.queries.check import check_files

    address = None if settings is None else _platform_address(settings)
    check_files(paths, address)
    typer.echo('no faults')


@app.command('issue-key')
def issue_key(settings: SettingsOption, name: str, customer: str) -> None:
    """Create a key for a customer and print its secret once."""
    from foxtailreach.commands.edits import issue_key as issue

    typer.echo(issue(_platform_address(settings), name, customer))


@app.command('withdraw-key')
def withdraw_key(settings: SettingsOption, name: str) -> None:
    """Withdraw a key on every host."""
    from foxtailreach.commands.edits import withdraw_key as withdraw

    version = withdraw(_platform_address(settings), name)
    typer.echo(f'published as version {version}')


@app.command('set-domain')
def set_domain(settings: SettingsOption, name: str, state: DomainState) -> None:
    """Take a failure domain out of service, or put it back."""
    from foxtailreach.commands.edits import set_domain as change

    version = change(_platform_address(settings), name, state.value)
    typer.echo(f'published as version {version}')


@app.command('set-target')
def set_target(settings: SettingsOption, name: str, state: TargetState) -> None:
    """Drain a target, or put it back."""
    from foxtailreach.commands.edits import set_target as change

    version = change(_platform_address(settings), name, state.value)
    typer.echo(f'published as version {version}')


@app.command()
def status(
    admin_port: int,
    address: Annotated[str, typer.Option()] = '127.0.0.1',
) -> None:
    """Show the status of a running host."""
    from foxtailreach.queries.status import fetch_status

    typer.echo(json.dumps(fetch_status(address, admin_port), indent=2))


@app.command()
def explain(
    request_id: str,
    logs: Annotated[list[Path], typer.Argument(help='Logs of hosts.')],
) -> None:
    """Explain from host logs why a request ended as it did."""
    from foxtailreach.queries.explain import explain as explain_request

    for line in explain_request(request_id, logs):
        typer.echo(line)


@app.command('explain-where')
def explain_where(
    address: Annotated[
        str, typer.Argument(help='Metrics address of a host, as host:port.')
    ],
    url: Annotated[
        str, typer.Argument(help='Host and path, such as shop.example/a/x.')
    ],
    customer: Annotated[str, typer.Option(help='Name, not the key.')] = '',
    method: str = 'GET',
    body_bytes: int = 0,
    domain: Annotated[
        str, typer.Option(help='Of the caller; that of the host by default.')
    ] = '',
    service: Annotated[
        str, typer.Option(help='One of a traffic split; largest by default.')
    ] = '',
    time_left_ms: Annotated[
        int, typer.Option(help="Until the caller's deadline; 0 if it has none.")
    ] = 0,
    as_json: Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Explain where a request would go now, without sending it."""
    from foxtailreach.queries.where import describe_where, fetch_where

    host, slash, path = url.partition('/')
    page = fetch_where(
        address,
        {
            'host': host,
            'path': slash + path,
            'customer': customer,
            'method': method,
            'body_bytes': body_bytes,
            'domain': domain,
            'service': service,
            'time_left_ms': time_left_ms,
        },
    )
    if as_json:
        typer.echo(json.dumps(page, indent=2))
        return
    for line in describe_where(page):
        typer.echo(line)


@app.command()
def demo(
    deployment: Deployment = Deployment.SCARA,
    as_json: Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Run callers, hosts and targets with faults, and check guarantees."""
    from foxtailreach.demo.run import run_demo

    run_demo(deployment.value, as_json=as_json)


@app.command('bench-routing')
def bench_routing(
    deployment: Deployment = Deployment.SCARA,
    seed: int = 1,
    as_json: Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Compare routing strategies in virtual time."""
    from foxtailreach.queries.benches import print_routing

    print_routing(deployment.value, seed, typer.echo, as_json=as_json)


@app.command('bench-latency')
def bench_latency(seed: int = 1) -> None:
    """Measure added latency with real processes on loopback."""
    from foxtailreach.queries.benches import print_latency

    print_latency(seed, typer.echo)


@app.command()
def slopes() -> None:
    """Measure the resource costs on the capacity page."""
    from foxtailreach.queries.benches import print_slopes

    print_slopes(typer.echo)


def _platform_address(settings_path: Path) -> PlatformAddress:
    section = HostSettings.from_toml(settings_path).platform
    return PlatformAddress(
        str(section.address),
        section.port,
        section.timeout_ms,
    )


def main() -> None:
    """Run the command line; print an expected error as one line."""
    try:
        app()
    except FoxtailreachError as error:
        typer.echo(f'error: {error}', err=True)
        sys.exit(error.exit_code)


if __name__ == '__main__':
    main()
