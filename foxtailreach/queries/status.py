"""Shows the status of a running host."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from foxtailreach.exceptions import FoxtailreachError

TIMEOUT_S = 3


def fetch_status(address: str, admin_port: int) -> dict[str, Any]:
    """Return the status page of a host.

    Raises FoxtailreachError if the host does not respond.
    """
    return asyncio.run(_fetch(address, admin_port))


async def _fetch(address: str, admin_port: int) -> dict[str, Any]:
    url = f'http://{address}:{admin_port}/status'
    try:
        response = await AsyncHTTPClient().fetch(url, request_timeout=TIMEOUT_S)
    except (HTTPClientError, OSError) as error:
        raise FoxtailreachError(
            f'no host answers at {address}:{admin_port}: {error}',
        ) from error
    status: dict[str, Any] = json.loads(response.body)
    return status
