"""Thrift codec of the frames between hosts."""

from __future__ import annotations

import typing

from foxtailreach.core import messages
from foxtailreach.rpc import frames
from foxtailreach.rpc.generated import peer
from foxtailreach.rpc.mapping import FrameBuffer, FrameCodec

_PEER_CODEC: FrameCodec[frames.Frame] = FrameCodec(
    peer,
    'Envelope',
    (
        *typing.get_args(messages.PeerMessage),
        frames.Hello,
        frames.Answer,
        frames.AnswerChunk,
        frames.AnswerCut,
        frames.BodyChunk,
        frames.Credit,
    ),
)


def encode_frame(frame: frames.Frame) -> bytes:
    """Serialize a frame with its length prefix."""
    return _PEER_CODEC.encode(frame)


class FrameDecoder(FrameBuffer[frames.Frame]):
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        super().__init__(_PEER_CODEC)
