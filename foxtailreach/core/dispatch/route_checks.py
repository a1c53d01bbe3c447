"""Refusals that follow from the configuration alone."""

from __future__ import annotations

from foxtailreach.core.dispatch.deployment import (
    CustomerSpec,
    Deployment,
    RouteSpec,
)
from foxtailreach.core.verdict import Reason


def find_refusal(
    deployment: Deployment,
    route: RouteSpec | None,
    customer: CustomerSpec | None,
    *,
    has_key: bool,
) -> Reason | None:
    """Return why a request is refused before it is metered, or None."""
    if route is None:
        return Reason.NO_ROUTE
    if deployment.customers and customer is None and not route.is_open:
        return Reason.UNKNOWN_KEY if has_key else Reason.NO_KEY
    if not route.shares:
        return Reason.NO_SERVICE
    if customer is not None and not customer.has_known_limit:
        return Reason.LIMIT_UNAVAILABLE
    return None
