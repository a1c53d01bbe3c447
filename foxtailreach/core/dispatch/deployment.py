"""The configuration by operators, and the running targets, as plain data.

All types are immutable; a new version replaces the whole `Deployment`.
"""

from __future__ import annotations

import enum
import hashlib
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


class RequestKind(enum.StrEnum):
    """Whether requests of a route are repeatable, and how large they are.

    Answers of `DOWNLOAD` are large; its requests are repeatable. Bodies of
    `UPLOAD` requests are large; they run at most once.
    """

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'
    DOWNLOAD = 'download'
    UPLOAD = 'upload'

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in _REPEATABLE_KINDS


_REPEATABLE_KINDS = frozenset((RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD))


@dataclass(slots=True, frozen=True)
class ConfigurationFault:
    """A part of a configuration that cannot be used as it is written.

    `effect` says how the object that has the fault is treated.
    """

    object_type: str
    name: str
    field_name: str
    effect: str


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: int


@dataclass(slots=True, frozen=True)
class RouteSpec:
    """Which requests a route matches, and how they are handled.

    `objective_us` is the latency within which an answer is worth most;
    `timeout_us` is 0 if only the caller's deadline counts; `is_open` admits
    callers without a key. Without `shares` no request of the route can be
    served.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    objective_us: int
    timeout_us: int = 0
    max_attempts: int = 1
    priority: int = 0
    is_open: bool = False

    def choose_service(self, rng: random.Random) -> str:
        """Choose a service at random, in proportion to the weights."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """Connection limit and warm-up of the targets of a service."""

    name: str
    max_connections: int
    warm_up_us: int
    warm_up_rate_per_s: float


@dataclass(slots=True, frozen=True)
class CustomerSpec:
    """Priority (0 is the highest) and fleet-wide rate limit of a customer.

    `rate_per_s` of 0 means that the customer has no limit. Without
    `has_known_limit` the limit cannot be read from the configuration.
    """

    name: str
    priority: int = 0
    rate_per_s: float = 0
    burst_requests: float = 0
    has_known_limit: bool = True


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on the size of callers' requests and the time to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_us: int = 3_000_000
    idle_timeout_us: int = 15_000_000


@dataclass(slots=True, frozen=True)
class TargetSpec:
    """One running target, as it describes itself.

    `slots` is the number of requests that it serves at the same time.
    `started_ms` is the wall-clock time of its start: the same id with a
    later start is a new process without the state of the earlier one.
    """

    target_id: str
    service: str
    domain: str
    address: str
    port: int
    slots: int
    is_draining: bool = False
    warm_up_left_us: int = 0
    started_ms: int = 0


@dataclass(slots=True, frozen=True)
class Deployment:
    """One validated version of the whole configuration."""

    version: int
    routes: Mapping[str, Mapping[str, RouteSpec]] = field(default_factory=dict)
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    customers: Mapping[str, CustomerSpec] = field(default_factory=dict)
    key_digests: Mapping[bytes, str] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    faults: tuple[ConfigurationFault, ...] = ()
    # Length of the longest path prefix of each host.
    _longest_prefix: dict[str, int] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Index the routes."""
        for host, by_prefix in self.routes.items():
            self._longest_prefix[host] = max(map(len, by_prefix), default=0)

    def find_route(self, host: str, path: str) -> RouteSpec | None:
        """Return the route of the host with the longest matching prefix.

        Prefixes end with a slash, so only the path up to each of its
        slashes is looked up, however many routes the host has. Slashes behind
        the longest prefix are not.
        """
        by_prefix = self.routes.get(host)
        if by_prefix is None:
            return None
        end = min(len(path), self._longest_prefix[host])
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None

    def find_customer(self, key: str) -> CustomerSpec | None:
        """Return the customer that holds a key, or None."""
        name = self.key_digests.get(digest_key(key))
        return None if name is None else self.customers.get(name)


def digest_key(key: str) -> bytes:
    """Hash a key, so that it is neither stored nor compared in clear text."""
    return hashlib.sha256(key.encode()).digest()


def index_routes(
    routes: Iterable[RouteSpec],
) -> dict[str, dict[str, RouteSpec]]:
    """Group routes by host and path prefix."""
    by_host: dict[str, dict[str, RouteSpec]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.path_prefix] = route
    return by_host
