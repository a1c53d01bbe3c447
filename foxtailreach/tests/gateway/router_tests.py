"""Messages that the node waits for may come as replies to the client."""

from __future__ import annotations

import pytest

from foxtailreach.core.dispatch import messages
from foxtailreach.core.dispatch.fleet import FleetNode
from foxtailreach.core.units import SECOND_US
from foxtailreach.gateway import router
from foxtailreach.tests.dispatch.fixtures import START_US
from foxtailreach.tests.dispatch.fleet_tests import create_fleet

REPLIES = (
    messages.ChargeResult(7, messages.Admission.REFUSED, 0),
    messages.SlotQueued(7, 0),
    messages.StateNotice((), 0, is_reading=True),
)


def create_holder() -> tuple[FleetNode, str]:
    """Create a holder of the meter, and return a host of another domain."""
    fleet = create_fleet(('d1', 'd2', 'd3'))
    holder_id, other_id, _ = fleet['h1'].meter_hosts('c', START_US)
    return fleet[holder_id], other_id


@pytest.mark.parametrize('reply', REPLIES)
def test_reply_does_not_lose_what_the_node_decides(
    reply: messages.FleetMessage,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A charge waits for contact, which the reply of a host restores."""
    now_us = START_US + SECOND_US // 5
    monkeypatch.setattr(router, 'boot_time_us', lambda: now_us)
    node, other_id = create_holder()
    sent: list[messages.FleetMessage] = []
    message_router = router.MessageRouter(
        node, lambda host_id, message: sent.append(message)
    )
    message_router.receive(node.host_id, messages.ChargeRequest(1, 'c'))
    assert not any(isinstance(message, messages.MeterCopy) for message in sent)
    message_router.receive(other_id, reply)
    assert any(isinstance(message, messages.MeterCopy) for message in sent)
