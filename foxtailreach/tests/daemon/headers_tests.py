"""Headers of a request: forwarded fields, caller's key and body length."""

from __future__ import annotations

import pytest
from tornado.httputil import HTTPHeaders

from foxtailreach.daemon import headers as fields


@pytest.mark.parametrize(
    ('sent', 'kept'),
    [
        ({'Accept': 'a', 'X-Other': 'b'}, {'Accept', 'X-Other'}),
        ({'Connection': 'x-drop, close', 'X-Drop': 'a'}, set()),
        ({'Keep-Alive': '5', 'TE': 'trailers', 'Upgrade': 'h2c'}, set()),
        ({'Proxy-Authorization': 'a', 'Proxy-Connection': 'b'}, set()),
        ({'X-Api-Key': 'a', 'Authorization': 'Bearer a'}, set()),
        ({'Foxtailreach-Customer': 'a', 'Forwarded': 'for=b'}, set()),
        ({'Transfer-Encoding': 'chunked', 'Content-Length': '3'}, set()),
        ({'Idempotency-Key': 'a'}, {'Idempotency-Key'}),
    ],
)
def test_fields_that_reach_a_target(
    sent: dict[str, str],
    kept: set[str],
) -> None:
    forwarded = fields.request_headers(HTTPHeaders(sent))
    assert {header.name for header in forwarded} == kept


@pytest.mark.parametrize(
    ('sent', 'key'),
    [
        ([], ''),
        ([('X-Api-Key', 'a')], 'a'),
        ([('Authorization', 'Bearer a')], 'a'),
        ([('Authorization', 'bearer a'), ('X-Api-Key', 'a')], 'a'),
        ([('Authorization', 'Basic a')], ''),
        ([('X-Api-Key', 'a'), ('X-Api-Key', 'b')], None),
        ([('X-Api-Key', 'a'), ('Authorization', 'Bearer b')], None),
    ],
)
def test_key_of_a_request(
    sent: list[tuple[str, str]],
    key: str | None,
) -> None:
    headers = HTTPHeaders()
    for name, text in sent:
        headers.add(name, text)
    assert fields.caller_key(headers) == key


@pytest.mark.parametrize(
    ('sent', 'length'),
    [
        ([], 0),
        ([('Content-Length', '3')], 3),
        ([('Transfer-Encoding', 'chunked')], -1),
        ([('Content-Length', '3'), ('Content-Length', '3')], None),
        ([('Content-Length', '+3')], None),
        ([('Content-Length', '3, 3')], None),
        ([('Transfer-Encoding', 'gzip, chunked')], None),
        ([('Transfer-Encoding', 'chunked'), ('Content-Length', '3')], None),
    ],
)
def test_body_length_of_a_request(
    sent: list[tuple[str, str]],
    length: int | None,
) -> None:
    headers = HTTPHeaders()
    for name, text in sent:
        headers.add(name, text)
    assert fields.body_length(headers) == length
