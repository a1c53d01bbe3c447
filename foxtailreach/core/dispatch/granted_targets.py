"""Whether a host knows that the target of a granted slot has left."""

from __future__ import annotations

from foxtailreach.core.dispatch.deployment import TargetSpec
from foxtailreach.core.dispatch.eras import is_same_era
from foxtailreach.core.dispatch.messages import SlotGrant


def has_left(
    grant: SlotGrant, target: TargetSpec | None, targets_version: int
) -> bool:
    """Tell whether a granted target must get no further requests.

    `target` is its entry in the host's own list of version `targets_version`,
    None if it has none. True if it is draining, gone or restarted by a list
    that is at least as new as the broker's. A list of an older era of the store
    only tells that a target drains, which it does until it starts again; the
    broker may have started after the restoration and not know it.
    """
    if grant.state_version <= targets_version:
        if target is None or target.is_draining:
            return True
        return target.started_ms != grant.started_ms
    if target is None or is_same_era(grant.state_version, targets_version):
        return False
    return target.is_draining and target.started_ms == grant.started_ms
