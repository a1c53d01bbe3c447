"""Faults in settings and configuration files, one line each."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pydantic import ValidationError


@dataclass(slots=True, frozen=True)
class Fault:
    """A key, the value found there and what is allowed."""

    key: str
    found: str
    allowed: str

    @classmethod
    def from_validation(cls, error: ValidationError) -> list[Fault]:
        """Convert a pydantic validation error to one fault per detail."""
        return [
            cls(
                key='.'.join(str(part) for part in detail['loc']),
                found=_describe_found(detail['type'], detail['input']),
                allowed=detail['msg'],
            )
            for detail in error.errors()
        ]

    def __str__(self) -> str:
        """Format the fault as one line."""
        return f'{self.key}: found {self.found}; {self.allowed}'


def describe_faults(faults: Iterable[Fault]) -> str:
    """Join faults into a single line."""
    return ' | '.join(str(fault) for fault in faults)


def _describe_found(error_type: str, found: object) -> str:
    if error_type in {'missing', 'missing_argument'}:
        return 'nothing'
    return repr(found)
