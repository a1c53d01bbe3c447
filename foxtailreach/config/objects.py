"""Named objects that operators publish, and the change sets that hold them.

Each object is an immutable slotted dataclass. References are names;
`foxtailreach.config.checks` verifies them all at once.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass
from pydantic.networks import IPvAnyAddress

from foxtailreach.config.settings import Name, Port

_CONFIG = ConfigDict(extra='forbid')

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


@dataclass(slots=True, frozen=True, config=_CONFIG)
class FailureDomain:
    """A failure domain; in state `out` its targets get no new requests."""

    state: Literal['active', 'out'] = 'active'


@dataclass(slots=True, frozen=True, config=_CONFIG)
class Service:
    """A set of interchangeable targets.

    At least `floor_percent` of a pool's targets stay in service. A target
    unused for `cold_idle_ms` warms up again: it gets at most `cold_slots`
    requests at once for `warm_up_ms`, then slowly more. A request is refused
    after `max_queue_ms` in a queue. An answer with one of `shed_statuses`
    means that the target refused the request without running it.
    """

    floor_percent: Annotated[int, Field(ge=0, le=100)] = 50
    cold_slots: Annotated[int, Field(ge=1, le=1024)] = 1
    warm_up_ms: Annotated[int, Field(ge=0, le=600_000)] = 1000
    cold_idle_ms: Annotated[int, Field(ge=1000)] = 600_000
    max_queue_ms: Annotated[int, Field(ge=0, le=60_000)] = 500
    shed_statuses: tuple[Annotated[int, Field(ge=400, le=599)], ...] = ()


@dataclass(slots=True, frozen=True, config=_CONFIG)
class Target:
    """One back-end process of a service, which runs `slots` requests at once.

    A change of `generation` makes the target warm up again.
    """

    service: Name
    domain: Name
    address: IPvAnyAddress
    port: Port
    slots: Annotated[int, Field(ge=1, le=1024)] = 1
    state: Literal['active', 'draining'] = 'active'
    generation: Annotated[int, Field(ge=0)] = 0


@dataclass(slots=True, frozen=True, config=_CONFIG)
class Route:
    """A path prefix served by a service; an `open` route needs no key.

    While short requests wait, a `long` one starts only if no other long one
    runs.
    """

    service: Name
    path_prefix: Annotated[str, Field(pattern='^/')]
    open: bool = False
    duration: Literal['short', 'long'] = 'short'
    timeout_ms: Annotated[int, Field(ge=10, le=600_000)] = 10_000


@dataclass(slots=True, frozen=True, config=_CONFIG)
class Limit:
    """A token bucket: sustained rate and burst, fleet-wide."""

    rate_per_s: Annotated[int, Field(ge=1)]
    burst_requests: Annotated[int, Field(ge=1)]


@dataclass(slots=True, frozen=True, config=_CONFIG)
class Customer:
    """A customer; `limit` names its token bucket.

    Queued requests of several customers get slots in proportion to `weight`.
    """

    limit: Name
    weight: Annotated[int, Field(ge=1, le=1000)] = 1


@dataclass(slots=True, frozen=True, config=_CONFIG)
class Key:
    """An API key of a customer, stored only as a hexadecimal SHA-256."""

    customer: Name
    digest_sha256: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]


@dataclass(slots=True, config=_CONFIG)
class Objects:
    """Objects by kind and name: a configuration, or a change set's upserts."""

    domains: dict[Name, FailureDomain] = Field(default_factory=dict)
    services: dict[Name, Service] = Field(default_factory=dict)
    targets: dict[Name, Target] = Field(default_factory=dict)
    routes: dict[Name, Route] = Field(default_factory=dict)
    limits: dict[Name, Limit] = Field(default_factory=dict)
    customers: dict[Name, Customer] = Field(default_factory=dict)
    keys: dict[Name, Key] = Field(default_factory=dict)


@dataclass(slots=True, frozen=True, config=_CONFIG)
class Removals:
    """Names of objects that a change set deletes, by kind."""

    domains: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    targets: tuple[Name, ...] = ()
    routes: tuple[Name, ...] = ()
    limits: tuple[Name, ...] = ()
    customers: tuple[Name, ...] = ()
    keys: tuple[Name, ...] = ()


@dataclass(slots=True, frozen=True, config=_CONFIG)
class ChangeSet:
    """One atomic change, accepted only if `base_version` is current."""

    change_id: Annotated[str, Field(min_length=1, max_length=64)]
    base_version: Annotated[int, Field(ge=0)]
    upserts: Objects = Field(default_factory=Objects)
    removals: Removals = Field(default_factory=Removals)

    @classmethod
    def replacing(
        cls,
        objects: Objects,
        removals: dict[str, tuple[str, ...]],
    ) -> Self:
        """Build the change that turns a configuration into `objects`."""
        return cls(
            change_id='snapshot',
            base_version=0,
            upserts=objects,
            removals=Removals(**removals),
        )


KINDS = (
    'domains',
    'services',
    'targets',
    'routes',
    'limits',
    'customers',
    'keys',
)
CHANGE_SET = TypeAdapter(ChangeSet)
OBJECTS = TypeAdapter(Objects)
REMOVALS = TypeAdapter(Removals)
