"""Schema of a host's settings file, with all defaults."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass
from pydantic.networks import IPvAnyAddress

from foxtailreach.config.faults import Fault, describe_faults
from foxtailreach.exceptions import SettingsError

FORBID_UNKNOWN = ConfigDict(extra='forbid')

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]


@dataclass(slots=True, frozen=True, config=FORBID_UNKNOWN)
class HostSection:
    """Identity and listening addresses of one host."""

    host_id: Name
    domain: Name
    address: IPvAnyAddress
    caller_port: Port
    peer_port: Port
    admin_port: Port


@dataclass(slots=True, frozen=True, config=FORBID_UNKNOWN)
class PlatformSection:
    """Address, timeout and polling interval of the platform's log service."""

    address: IPvAnyAddress
    port: Port
    timeout_ms: Annotated[int, Field(ge=50, le=60_000)] = 2_000
    poll_interval_ms: Annotated[int, Field(ge=50, le=60_000)] = 500


@dataclass(slots=True, frozen=True, config=FORBID_UNKNOWN)
class SeedSection:
    """A host to contact at startup while the log is unavailable."""

    host_id: Name
    domain: Name
    address: IPvAnyAddress
    peer_port: Port


@dataclass(slots=True, frozen=True, config=FORBID_UNKNOWN)
class LogSection:
    """Format and destination of log lines and trace spans."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    format: Literal['text', 'json'] = 'text'
    trace_file: str = ''
    trace_sample_ratio: Annotated[float, Field(ge=0, le=1)] = 0.01


@dataclass(slots=True, frozen=True, config=FORBID_UNKNOWN)
class LimitsSection:
    """Limits on requests, and the grace period for a graceful stop."""

    max_header_bytes: Annotated[int, Field(ge=1024, le=1_048_576)] = 32_768
    max_body_bytes: Annotated[int, Field(ge=1024)] = 1_073_741_824
    max_requests: Annotated[int, Field(ge=1, le=65_536)] = 1024
    stop_grace_ms: Annotated[int, Field(ge=0, le=600_000)] = 30_000


@dataclass(slots=True, frozen=True, config=FORBID_UNKNOWN)
class HostSettings:
    """The settings file of `foxtailreach serve`."""

    host: HostSection
    platform: PlatformSection
    log: LogSection = Field(default_factory=LogSection)
    limits: LimitsSection = Field(default_factory=LimitsSection)
    seeds: tuple[SeedSection, ...] = ()

    @classmethod
    def from_toml(cls, path: Path) -> HostSettings:
        """Read and validate a settings file.

        Raises a SettingsError that names each invalid key.
        """
        table = read_toml(path)
        try:
            return _SETTINGS.validate_python(table)
        except ValidationError as error:
            faults = Fault.from_validation(error)
            raise SettingsError(f'{path}: {describe_faults(faults)}') from error


def read_toml(path: Path) -> dict[str, object]:
    """Parse a TOML file.

    Raises SettingsError with the path, and for invalid TOML the position.
    """
    try:
        return tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: invalid TOML: {error}') from error


_SETTINGS = TypeAdapter(HostSettings)
