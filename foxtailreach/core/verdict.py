"""Verdicts on whether a request ran, and reasons for refusals."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Verdict(enum.StrEnum):
    """Whether a request may have been executed by a target."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class Reason(enum.StrEnum):
    """Why a request was refused or failed.

    `KEYS_UNCERTAIN` means that the host's copy of the log, which holds the
    keys, may be outdated. `NO_SERVICE` means that the configuration of a route
    names no usable service.
    """

    NO_KEY = 'no-key'
    UNKNOWN_KEY = 'unknown-key'
    KEYS_UNCERTAIN = 'keys-uncertain'
    NO_CONFIGURATION = 'no-configuration'
    NO_ROUTE = 'no-route'
    NO_SERVICE = 'no-service'
    OVER_LIMIT = 'over-limit'
    LIMIT_UNAVAILABLE = 'limit-unavailable'
    OVERLOAD = 'overload'
    NO_TARGET = 'no-target'
    PAUSED = 'paused'
    QUARANTINED = 'quarantined'
    DEADLINE = 'deadline'
    TARGET_FAILED = 'target-failed'
    HOST_LOST = 'host-lost'
    STOPPING = 'stopping'
    CANCELLED = 'cancelled'
    NOT_OWNER = 'not-owner'
    MALFORMED = 'malformed'


_STATUSES = {
    Reason.NO_KEY: 401,
    Reason.UNKNOWN_KEY: 401,
    Reason.QUARANTINED: 403,
    Reason.NO_ROUTE: 404,
    Reason.OVER_LIMIT: 429,
    Reason.TARGET_FAILED: 502,
    Reason.HOST_LOST: 502,
    Reason.DEADLINE: 504,
}
_UNAVAILABLE_STATUS = 503


@dataclass(slots=True, frozen=True)
class Refusal:
    """Answer of the proxy itself in place of a target's answer."""

    verdict: Verdict
    reason: Reason
    retry_after_us: int = 0

    @property
    def status(self) -> int:
        """Return the HTTP status code of the refusal."""
        return _STATUSES.get(self.reason, _UNAVAILABLE_STATUS)


def may_resend(verdict: Verdict, *, idempotent: bool) -> bool:
    """Tell whether a request may be sent again without harm."""
    match verdict:
        case Verdict.NOT_RUN:
            return True
        case Verdict.MAY_HAVE_RUN:
            return idempotent
        case Verdict.RAN:
            return False
