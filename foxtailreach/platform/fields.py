"""Reads the fields of entries that other writers put into the store.

Any bytes give either a value that can be used, sent to other hosts and stored,
or a ProtocolError.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from foxtailreach.exceptions import ProtocolError
from foxtailreach.gateway.settings import Address, is_usable_address
from foxtailreach.platform.settings import parse_address

MAX_TEXT_LENGTH = 255
# Integers of messages between hosts have 64 bits.
MAX_INTEGER = 2**63 - 1


def parse_object(payload: bytes) -> dict[str, Any]:
    """Parse a JSON object; raises ProtocolError."""
    try:
        document = json.loads(payload)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(f'not JSON: {error}') from error
    if not isinstance(document, dict):
        raise ProtocolError('not an object')
    return document


def is_usable_text(text: str) -> bool:
    """Tell whether a text can be a key, a field of a message and a header.

    Unpaired surrogates cannot be encoded, and control characters or spaces at
    the ends would be refused in a header.
    """
    if not text or len(text) > MAX_TEXT_LENGTH:
        return False
    return text.isprintable() and text == text.strip()


def read_text(fields: Mapping[str, Any], name: str) -> str:
    """Return a text field; raises ProtocolError."""
    found = fields.get(name)
    if not isinstance(found, str) or not is_usable_text(found):
        raise ProtocolError(f'{name} is no usable text')
    return found


def read_integer(
    fields: Mapping[str, Any],
    name: str,
    lowest: int = 0,
    highest: int = MAX_INTEGER,
) -> int:
    """Return an integer field; raises ProtocolError."""
    found = fields.get(name)
    if not isinstance(found, int) or isinstance(found, bool):
        raise ProtocolError(f'{name} is no integer')
    if not lowest <= found <= highest:
        raise ProtocolError(f'{name} is out of range')
    return found


def read_address(fields: Mapping[str, Any], name: str) -> Address:
    """Return an address to which hosts can connect; raises ProtocolError."""
    try:
        address = parse_address(read_text(fields, name))
    except ValueError as error:
        raise ProtocolError(f'{name}: {error}') from error
    if not is_usable_address(address.host, address.port):
        raise ProtocolError(f'{name} is no usable address')
    return address
