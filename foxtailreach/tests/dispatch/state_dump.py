"""Dumps the state of a state machine, so that two states can be compared."""

from __future__ import annotations

import dataclasses
import random
from collections import deque
from typing import Any


def dump_state(value: Any) -> Any:
    """Return a copy of a state that consists of built-in types only."""
    match value:
        case random.Random():
            return value.getstate()
        case dict():
            # The order matters, as it is that of eviction.
            return [
                (dump_state(key), dump_state(entry))
                for key, entry in value.items()
            ]
        case list() | tuple() | deque():
            return [dump_state(entry) for entry in value]
        case set() | frozenset():
            return sorted(map(repr, value))
    names = _field_names(value)
    if not names or isinstance(value, (str, bytes, int, float)):
        return value
    return {
        name: dump_state(getattr(value, name))
        for name in names
        if hasattr(value, name)
    }


def _field_names(value: Any) -> list[str]:
    if dataclasses.is_dataclass(value):
        return [field.name for field in dataclasses.fields(value)]
    names = [
        name
        for base in type(value).__mro__
        for name in getattr(base, '__slots__', ())
    ]
    return names + list(getattr(value, '__dict__', ()))
