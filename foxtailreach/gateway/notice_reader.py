"""Reads what a target says of itself in the headers of an answer."""

from __future__ import annotations

import re
from http import HTTPStatus

from loguru import logger

from foxtailreach.core.dispatch.target_notices import (
    MAX_PAUSE_US,
    NO_NOTICE,
    TargetNotice,
)
from foxtailreach.core.units import SECOND_US
from foxtailreach.gateway.http_types import RawHeaders, bounded_number
from foxtailreach.gateway.logs import IntervalLimiter

PAUSE_HEADER = b'retry-after'
LEAVING_VALUE = b'1'
LOG_INTERVAL_US = 5 * SECOND_US
_PAUSE_STATUS = HTTPStatus.SERVICE_UNAVAILABLE
# Seconds, also with a fraction; not a date.
_SECONDS = re.compile(rb'([0-9]+)(?:\.([0-9]+))?')
_FRACTION_DIGITS = 6

_ignored_lines = IntervalLimiter(LOG_INTERVAL_US)


def read_notice(
    status: int, headers: RawHeaders, leaving_header: bytes
) -> TargetNotice:
    """Read the notice in an answer of a target to its own request.

    Names of headers are in lower case.

    A pause is asked for by a 503 alone. Of several values the longest pause
    counts; values that are no number of seconds are ignored.
    """
    is_leaving = False
    pause_us = 0
    for name, text in headers:
        if name == leaving_header:
            is_leaving = is_leaving or _is_leaving(text)
        elif name == PAUSE_HEADER and status == _PAUSE_STATUS:
            pause_us = max(pause_us, _parse_pause_us(text))
    if is_leaving or pause_us:
        return TargetNotice(is_leaving, pause_us)
    return NO_NOTICE


def _is_leaving(text: bytes) -> bool:
    if text.strip() == LEAVING_VALUE:
        return True
    _log_ignored('notice of leaving', text)
    return False


def _parse_pause_us(text: bytes) -> int:
    """Return a pause in microseconds, at most `MAX_PAUSE_US`.

    It is 0 if the text is no number of seconds.
    """
    found = _SECONDS.fullmatch(text.strip())
    if found is None:
        _log_ignored('pause', text)
        return 0
    seconds = bounded_number(found[1], MAX_PAUSE_US // SECOND_US)
    fraction = (found[2] or b'')[:_FRACTION_DIGITS]
    fraction_us = int(fraction.ljust(_FRACTION_DIGITS, b'0'))
    return min(MAX_PAUSE_US, seconds * SECOND_US + fraction_us)


def _log_ignored(what: str, text: bytes) -> None:
    if _ignored_lines.allow():
        logger.bind(lines_left_out=_ignored_lines.take_left_out()).warning(
            'unusable {} of a target ignored: {!r:.80}', what, text
        )
