"""Frames between hosts survive the codec; other bytes are rejected."""

from __future__ import annotations

import dataclasses
import enum
import types
import typing
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailreach.core.dispatch import messages
from foxtailreach.exceptions import ProtocolError
from foxtailreach.rpc.fleet import FLEET_CODEC

LENGTH_BYTES = 4
MESSAGE_TYPES = typing.get_args(messages.FleetMessage)


def strategy_for(hint: Any) -> st.SearchStrategy[Any]:
    """Return values of a field's type, within the range of its struct."""
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        fields = {name: strategy_for(hints[name]) for name in hints}
        return st.builds(typing.cast(Any, hint), **fields)
    origin = typing.get_origin(hint)
    if origin is tuple:
        entries = strategy_for(typing.get_args(hint)[0])
        return st.lists(entries, max_size=3).map(tuple)
    if origin in {types.UnionType, typing.Union}:
        return st.none() | strategy_for(typing.get_args(hint)[0])
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return st.sampled_from(hint)
    strategies: dict[Any, st.SearchStrategy[Any]] = {
        bool: st.booleans(),
        int: st.integers(-(2**31), 2**31 - 1),
        str: st.text(max_size=20),
        bytes: st.binary(max_size=20),
        float: st.floats(allow_nan=False),
    }
    return strategies[hint]


@pytest.mark.parametrize(
    'message_type', MESSAGE_TYPES, ids=lambda one: one.__name__
)
def test_message_survives_the_codec(message_type: type) -> None:
    @given(strategy_for(message_type))
    def check(message: Any) -> None:
        frame = FLEET_CODEC.encode(message)
        size = int.from_bytes(frame[:LENGTH_BYTES])
        assert size == len(frame) - LENGTH_BYTES
        assert FLEET_CODEC.decode(frame[LENGTH_BYTES:]) == message

    check()


@given(st.binary(max_size=40))
def test_other_bytes_are_rejected_or_a_message(payload: bytes) -> None:
    try:
        message = FLEET_CODEC.decode(payload)
    except (ProtocolError, ValueError):
        return
    assert isinstance(message, MESSAGE_TYPES)


@pytest.mark.parametrize('payload', [b'', b'\x00', b'\x0c', b'\xff' * 9])
def test_frame_without_a_message_is_rejected(payload: bytes) -> None:
    with pytest.raises(ProtocolError):
        FLEET_CODEC.decode(payload)


def test_cut_frame_is_rejected_and_the_next_one_read() -> None:
    frame = FLEET_CODEC.encode(messages.TurnedAway('svc'))[LENGTH_BYTES:]
    with pytest.raises(ProtocolError):
        FLEET_CODEC.decode(frame[:-2])
    assert FLEET_CODEC.decode(frame) == messages.TurnedAway('svc')
