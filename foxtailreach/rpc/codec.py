"""Maps the core's messages and the daemons' frames to thrift bytes.

Dataclasses and thrift structs share their field names, so that one generic
mapping serves all of them.
"""

from __future__ import annotations

import dataclasses
import enum
import re
import struct
import types
import typing
from collections.abc import Callable, Iterator
from functools import cache
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from foxtailreach.core import messages
from foxtailreach.exceptions import ProtocolError
from foxtailreach.rpc import frames
from foxtailreach.rpc.generated import peer

MAX_FRAME_BYTES = 256 * 1024 * 1024
_LENGTH = struct.Struct('!I')
_FACTORY = TCompactProtocolAcceleratedFactory()

Convert = Callable[[Any], Any]


def encode_frame(frame: frames.Frame) -> bytes:
    """Serialize a frame with its length prefix."""
    frame_type: Any = type(frame)
    name = _FIELD_NAMES[frame_type]
    envelope = peer.Envelope(**{name: _to_thrift(frame_type)(frame)})
    payload: bytes = serialize(envelope, _FACTORY)
    return _LENGTH.pack(len(payload)) + payload


class FrameDecoder:
    """Splits a byte stream into frames."""

    __slots__ = ('_buffer',)

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> Iterator[frames.Frame]:
        """Add bytes and yield the frames that are complete.

        Raises ProtocolError on bytes that are not a frame.
        """
        self._buffer += chunk
        position = 0
        while len(self._buffer) - position >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer, position)
            if size > MAX_FRAME_BYTES:
                raise ProtocolError(f'a frame of {size} bytes is too long')
            end = position + _LENGTH.size + size
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[position + _LENGTH.size : end])
            position = end
            yield _decode(payload)
        del self._buffer[:position]


def _decode(payload: bytes) -> frames.Frame:
    try:
        envelope = deserialize(peer.Envelope(), payload, _FACTORY)
    except Exception as error:
        raise ProtocolError(f'malformed frame: {error}') from error
    for name, frame_type in _FRAME_TYPES.items():
        found = getattr(envelope, name)
        if found is not None:
            return typing.cast(
                frames.Frame,
                _from_thrift(frame_type)(found),
            )
    raise ProtocolError('a frame of an unknown type')


@cache
def _to_thrift(hint: Any) -> Convert:
    if dataclasses.is_dataclass(hint):
        struct_type = getattr(peer, typing.cast(type, hint).__name__)
        hints = typing.get_type_hints(hint)
        getters = [(name, _to_thrift(hints[name])) for name in hints]

        def convert(message: Any) -> Any:
            return struct_type(
                **{name: get(getattr(message, name)) for name, get in getters},
            )

        return convert
    origin = typing.get_origin(hint)
    if origin is tuple:
        convert_entry = _to_thrift(typing.get_args(hint)[0])
        return lambda entries: [convert_entry(entry) for entry in entries]
    return _identity


@cache
def _from_thrift(hint: Any) -> Convert:
    if dataclasses.is_dataclass(hint):
        message_type = typing.cast(type, hint)
        hints = typing.get_type_hints(hint)
        getters = [(name, _from_thrift(hints[name])) for name in hints]

        def convert(found: Any) -> Any:
            return message_type(
                **{name: get(getattr(found, name)) for name, get in getters},
            )

        return convert
    origin = typing.get_origin(hint)
    if origin is tuple:
        convert_entry = _from_thrift(typing.get_args(hint)[0])
        return lambda entries: tuple(convert_entry(entry) for entry in entries)
    if origin in {types.UnionType, typing.Union}:
        convert_some = _from_thrift(typing.get_args(hint)[0])
        return lambda found: None if found is None else convert_some(found)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    return _identity


def _identity(found: Any) -> Any:
    return found


def _snake_case(name: str) -> str:
    return re.sub('(?<!^)(?=[A-Z])', '_', name).lower()


_FRAME_TYPES: dict[str, type] = {
    _snake_case(frame_type.__name__): frame_type
    for frame_type in (
        *typing.get_args(messages.PeerMessage),
        frames.Hello,
        frames.Answer,
        frames.AnswerChunk,
        frames.AnswerCut,
        frames.BodyChunk,
        frames.Credit,
    )
}
_FIELD_NAMES = {frame_type: name for name, frame_type in _FRAME_TYPES.items()}
