"""Generic mapping between dataclasses and thrift structs.

A dataclass and its struct have the same class and field names, so one
mapping works for all message types of a generated module.
"""

from __future__ import annotations

import dataclasses
import enum
import inspect
import operator
import re
import struct
import types
import typing
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Generic, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from foxtailreach.exceptions import ProtocolError

MAX_FRAME_BYTES = 256 * 1024 * 1024
_LENGTH = struct.Struct('!I')
_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()

Convert = Callable[[Any], Any]
FrameT = TypeVar('FrameT')


class FrameCodec(Generic[FrameT]):
    """Encodes and decodes the frames defined by a generated module."""

    def __init__(
        self,
        generated: Any,
        envelope: str,
        frame_types: Iterable[type],
    ) -> None:
        """Map the frame types to the fields of the envelope struct."""
        frame_types = tuple(frame_types)
        self._envelope = getattr(generated, envelope)
        self._mapping = StructMapping(generated)
        self._types_by_field = {
            _snake_case(frame_type.__name__): frame_type
            for frame_type in frame_types
        }
        self._names_by_id = {
            field[0]: field[2]
            for field in self._envelope.thrift_spec
            if field is not None
        }
        # Building a protocol takes a third of the time for a small frame.
        self._reader = _PROTOCOL_FACTORY.getProtocol(TMemoryBuffer())
        self._writer = _PROTOCOL_FACTORY.getProtocol(TMemoryBuffer())
        self._fields_by_type = {
            frame_type: name
            for name, frame_type in self._types_by_field.items()
        }

    def encode(self, frame: FrameT) -> bytes:
        """Serialize a frame with its length prefix."""
        frame_type: Any = type(frame)
        convert = self._mapping.to_thrift(frame_type)
        envelope = self._envelope(
            **{self._fields_by_type[frame_type]: convert(frame)}
        )
        buffer = TMemoryBuffer()
        self._writer.trans = buffer
        envelope.write(self._writer)
        payload: bytes = buffer.getvalue()
        return _LENGTH.pack(len(payload)) + payload

    def decode(self, payload: bytes) -> FrameT:
        """Deserialize a frame without its length prefix.

        Raises ProtocolError on bytes that are not a frame.
        """
        envelope = self._envelope()
        self._reader.trans = TMemoryBuffer(payload)
        try:
            envelope.read(self._reader)
        except Exception as error:
            raise ProtocolError(f'malformed frame: {error}') from error
        name = self._names_by_id.get(_first_field_id(payload), '')
        value = getattr(envelope, name, None)
        if value is None:
            raise ProtocolError('frame of an unknown type')
        convert = self._mapping.from_thrift(self._types_by_field[name])
        try:
            return typing.cast(FrameT, convert(value))
        except Exception as error:
            raise ProtocolError(f'malformed {name}: {error!r}') from error


class FrameBuffer(Generic[FrameT]):
    """Splits a byte stream into frames."""

    __slots__ = ('_buffer', '_codec')

    def __init__(self, codec: FrameCodec[FrameT]) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()
        self._codec = codec

    def feed(self, chunk: bytes) -> Iterator[FrameT]:
        """Add bytes and yield the frames that are complete.

        Raises ProtocolError on malformed or oversized frames.
        """
        self._buffer += chunk
        position = 0
        while len(self._buffer) - position >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer, position)
            if size > MAX_FRAME_BYTES:
                raise ProtocolError(f'frame of {size} bytes is too long')
            end = position + _LENGTH.size + size
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[position + _LENGTH.size : end])
            position = end
            yield self._codec.decode(payload)
        del self._buffer[:position]


class StructMapping:
    """Builds converters between dataclasses and a module's structs.

    Converters are cached by type.
    """

    def __init__(self, generated: Any) -> None:
        """Start with an empty cache of converters."""
        self._generated = generated
        self._outgoing: dict[Any, Convert] = {}
        self._incoming: dict[Any, Convert] = {}

    def to_thrift(self, hint: Any) -> Convert:
        """Return the converter from a dataclass type to its struct."""
        if hint not in self._outgoing:
            self._outgoing[hint] = self._build_outgoing(hint)
        return self._outgoing[hint]

    def from_thrift(self, hint: Any) -> Convert:
        """Return the converter from a struct to a dataclass type."""
        if hint not in self._incoming:
            self._incoming[hint] = self._build_incoming(hint)
        return self._incoming[hint]

    def _build_outgoing(self, hint: Any) -> Convert:
        if dataclasses.is_dataclass(hint):
            name = typing.cast(type, hint).__name__
            return _field_converter(
                getattr(self._generated, name),
                hint,
                self.to_thrift,
            )
        if typing.get_origin(hint) is tuple:
            convert_entry = self.to_thrift(typing.get_args(hint)[0])
            return lambda entries: [convert_entry(entry) for entry in entries]
        return _identity

    def _build_incoming(self, hint: Any) -> Convert:
        if dataclasses.is_dataclass(hint):
            return _field_converter(
                typing.cast(type, hint), hint, self.from_thrift
            )
        origin = typing.get_origin(hint)
        if origin is tuple:
            convert_entry = self.from_thrift(typing.get_args(hint)[0])
            return lambda entries: tuple(map(convert_entry, entries))
        if origin in {types.UnionType, typing.Union}:
            convert_value = self.from_thrift(typing.get_args(hint)[0])
            return lambda value: None if value is None else convert_value(value)
        if isinstance(hint, type) and issubclass(hint, enum.Enum):
            return hint
        return _identity


def _field_converter(
    result_type: Any,
    hint: Any,
    converter_for: Callable[[Any], Convert],
) -> Convert:
    """Build a converter that passes the fields in the order of `result_type`.

    Every message passes through these, so fields that need no conversion are
    read and passed on without a call for each.
    """
    hints = typing.get_type_hints(hint)
    names = [
        name
        for name in inspect.signature(result_type).parameters
        if name in hints
    ]
    converters = [
        (index, converter)
        for index, name in enumerate(names)
        if (converter := converter_for(hints[name])) is not _identity
    ]
    read_fields = _fields_getter(names)
    # Fields that a frame lacks, or has of another type, are None.
    may_lack_fields = any(map(_is_optional, hints.values()))

    def convert(value: Any) -> Any:
        fields = read_fields(value)
        if None in fields and not may_lack_fields:
            raise ProtocolError(f'{value!r} lacks a field')
        if converters:
            fields = list(fields)
            for index, convert_field in converters:
                fields[index] = convert_field(fields[index])
        return result_type(*fields)

    return convert


def _is_optional(hint: Any) -> bool:
    return types.NoneType in typing.get_args(hint)


def _first_field_id(payload: bytes) -> int:
    """Return the id of the first field of a struct; 0 if there is none.

    The compact protocol packs small ids into the first byte, and others into
    the next ones in zigzag notation.
    """
    if not payload:
        return 0
    if payload[0] >> 4:
        return payload[0] >> 4
    return payload[1] >> 1 if len(payload) > 1 else 0


def _fields_getter(names: list[str]) -> Callable[[Any], Any]:
    if len(names) == 1:
        get_field = operator.attrgetter(names[0])
        return lambda value: (get_field(value),)
    return operator.attrgetter(*names)


def _identity(value: Any) -> Any:
    return value


def _snake_case(name: str) -> str:
    return re.sub('(?<!^)(?=[A-Z])', '_', name).lower()
