"""Thrift codec of the messages between hosts that broker slots."""

from __future__ import annotations

import typing

from foxtailreach.core.dispatch.messages import FleetMessage
from foxtailreach.rpc.generated import fleet
from foxtailreach.rpc.mapping import FrameCodec

FLEET_CODEC: FrameCodec[FleetMessage] = FrameCodec(
    fleet,
    'FleetEnvelope',
    typing.get_args(FleetMessage),
)
