"""Names of the platform's HTTP headers and paths."""

from __future__ import annotations

from foxtailreach.gateway.http_types import HeaderNames

READY_PATH = '/foxtailreach/ready'

PLATFORM_HEADERS = HeaderNames(
    request_id=b'x-foxtailreach-request-id',
    # Time until the sender stops waiting, in milliseconds.
    time_left_ms=b'x-foxtailreach-request-deadline-ms',
    signature=b'x-foxtailreach-response-signature',
    customer=b'x-foxtailreach-tenant-id',
    # Id of the only target that may run the request.
    expected_target=b'x-foxtailreach-expected-instance',
    # Present if the target did not run the request.
    not_executed=b'x-foxtailreach-not-executed',
    # '1' if the target is about to leave.
    leaving=b'server-leaving',
    key_scheme=b'token',
)
