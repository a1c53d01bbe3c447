"""Reads the settings file that the platform places on each host."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from foxtailreach.core.dispatch.budgets import RetryPolicy
from foxtailreach.core.dispatch.meters import LimitPolicy
from foxtailreach.core.units import MILLISECOND_US, SECOND_US
from foxtailreach.exceptions import SettingsError
from foxtailreach.gateway.settings import (
    DEFAULT_MAX_DESCRIPTORS,
    Address,
    GatewaySettings,
)

SETTINGS_VARIABLE = 'FOXTAILREACH_CONFIG'
# Retries in proportion to first sends add up over all brokers of a service; the
# rest covers requests whose first send and retry are at different brokers.
BROKER_RATIO_SHARE = 0.9
# Each side of a network partition may use the slack.
BROKER_SLACK_SHARE = 0.5
DEFAULT_MEMORY_MB = 200
DEFAULT_HEARTBEAT_MS = 1500
DEFAULT_DOMAIN_LOSSES = 1
BODY_MEMORY_SHARE = 0.4
ANSWER_MEMORY_SHARE = 0.25
# All that is held for callers; the rest is for the process itself.
CALLER_MEMORY_SHARE = 0.75
PROCESS_MEMORY_BYTES = 30 * 1024 * 1024
MIN_CALLER_MEMORY_SHARE = 0.25
CAPACITY_PER_CORE = 100
BYTES_PER_MB = 1024 * 1024
MAX_PORT_DIGITS = 5
_DECODE_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)


def settings_path() -> Path:
    """Return the path of the settings file from the environment.

    Raises SettingsError if the variable is not set or empty.
    """
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        raise SettingsError(f'{SETTINGS_VARIABLE} is not set')
    return Path(path)


def read_settings(path: Path) -> GatewaySettings:
    """Read the settings file.

    Raises SettingsError with the path and the cause.
    """
    try:
        table = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(f'{path}: invalid TOML: {error}') from error
    try:
        return decode_settings(table)
    except _DECODE_ERRORS as error:
        raise SettingsError(f'{path}: {error!r}') from error


def decode_settings(table: Mapping[str, Any]) -> GatewaySettings:
    """Convert the platform's fields into settings.

    Raises KeyError, TypeError, ValueError or IndexError on missing or
    malformed fields.
    """
    listen = table['listen']
    bounds = _bounds(table.get('bounds', ()))
    ports = table['internal_ports']
    limits = table.get('limits', {})
    memory_bytes = limits.get('memory_mb', DEFAULT_MEMORY_MB) * BYTES_PER_MB
    tolerated = table.get('fault_tolerance', {})
    return GatewaySettings(
        host_id=table['node_name'],
        domain=table['zone'],
        address=table['ip'],
        capacity=_capacity(limits),
        peer_port=ports[0],
        is_first_start=table.get('first_start') is True,
        metrics_port=ports[1],
        callers=parse_address(listen['frontend']),
        readiness=parse_address(listen['readiness']),
        store=parse_address(table['platform']['address']),
        seeds=tuple(map(parse_address, table.get('seeds', ()))),
        stop_grace_us=int(bounds.get('grace_s', 6) * SECOND_US),
        max_body_memory_bytes=int(memory_bytes * BODY_MEMORY_SHARE),
        max_answer_memory_bytes=int(memory_bytes * ANSWER_MEMORY_SHARE),
        max_caller_memory_bytes=_caller_memory_bytes(memory_bytes),
        retry_policy=RetryPolicy(
            ratio=bounds.get('retry_budget_ratio', 0.2) * BROKER_RATIO_SHARE,
            window_us=int(bounds.get('retry_window_s', 10) * SECOND_US),
            slack=int(
                bounds.get('retry_budget_slack', 60) * BROKER_SLACK_SHARE
            ),
        ),
        limit_policy=LimitPolicy(
            window_us=int(bounds.get('quota_window_s', 5) * SECOND_US),
            overage=bounds.get('quota_overage', 0),
            slack=bounds.get('quota_slack', 0),
        ),
        max_descriptors=int(limits.get('max_fds', DEFAULT_MAX_DESCRIPTORS)),
        tolerated_domain_losses=int(
            tolerated.get('zones', DEFAULT_DOMAIN_LOSSES)
        ),
        target_heartbeat_us=int(
            table.get('heartbeat_ms', DEFAULT_HEARTBEAT_MS) * MILLISECOND_US
        ),
    )


def parse_address(text: str) -> Address:
    """Parse `host:port`; raises ValueError on anything else."""
    host, separator, port = text.rpartition(':')
    if not separator or not host:
        raise ValueError(f'{text!r} is not of the form host:port')
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS:
        raise ValueError(f'{text!r} has no port')
    return Address(host, int(port))


def _caller_memory_bytes(memory_bytes: int) -> int:
    """Return the memory for all that is held for callers."""
    share_bytes = memory_bytes * CALLER_MEMORY_SHARE - PROCESS_MEMORY_BYTES
    return int(max(share_bytes, memory_bytes * MIN_CALLER_MEMORY_SHARE))


def _capacity(limits: Mapping[str, Any]) -> int:
    """Return the processor time of a host in hundredths of a core.

    `cpu_share` is its share of one core, which is `cores` times as fast.
    """
    share = float(limits.get('cpu_share', 1))
    return round(share * float(limits.get('cores', 1)) * CAPACITY_PER_CORE)


def _bounds(texts: Any) -> dict[str, float]:
    """Parse texts of the form `name=number`; skip true and false."""
    bounds: dict[str, float] = {}
    for text in texts:
        name, _, number = str(text).partition('=')
        if number not in {'true', 'false'}:
            bounds[name] = float(number)
    return bounds
