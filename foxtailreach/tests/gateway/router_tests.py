"""Messages that the node waits for may come as replies to the client."""

from __future__ import annotations

import pytest

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.fleet import FleetNode
from foxtailreach.core.units import SECOND_US
from foxtailreach.gateway import router
from foxtailreach.tests.dispatch.fleet_tests import create_fleet, settle

REPLIES = (
    messages.ChargeResult(7, messages.Admission.REFUSED, 0),
    messages.SlotQueued(7, 0),
    messages.StateNotice((), 0, is_reading=True),
)


def create_holder() -> tuple[FleetNode, str, int]:
    """Create a holder of the meter that has heard from nobody for a while.

    Return a host of another domain as well, and the time in microseconds.
    """
    fleet = create_fleet(('d1', 'd2', 'd3'))
    now_us = settle(fleet)
    holder_id, other_id, _ = fleet['h1'].meter_hosts('c', now_us)
    holder = fleet[holder_id]
    for _ in range(4):
        now_us += SECOND_US // 10
        holder.tick(now_us)
    return holder, other_id, now_us


@pytest.mark.parametrize('reply', REPLIES)
def test_reply_does_not_lose_what_the_node_decides(
    reply: messages.FleetMessage,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A charge waits for contact, which the reply of a host restores."""
    node, other_id, now_us = create_holder()
    monkeypatch.setattr(router, 'boot_time_us', lambda: now_us)
    sent: list[messages.FleetMessage] = []
    message_router = router.MessageRouter(
        node, lambda host_id, message: sent.append(message)
    )
    message_router.receive(node.host_id, messages.ChargeRequest(1, 'c'))
    assert not any(isinstance(message, messages.MeterCopy) for message in sent)
    message_router.receive(other_id, reply)
    assert any(isinstance(message, messages.MeterCopy) for message in sent)
