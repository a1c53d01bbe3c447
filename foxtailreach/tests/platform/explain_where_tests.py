"""Explanations of placements by hosts that run as processes."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import pytest

from foxtailreach.gateway.where_query import QueryError, WhereQuery
from foxtailreach.tests.platform.end_to_end_tests import (
    Fleet,
    call,
    run_scenario,
)
from foxtailreach.tests.platform.fakes import Target

REQUEST = {'host': 'shop.example', 'path': '/a/x', 'customer': 'c1'}
MALFORMED: list[tuple[dict[str, Any], str]] = [
    ({'host': ''}, 'host is missing'),
    ({'path': ''}, 'path is missing'),
    ({'path': 'a/x'}, 'path does not start with a slash'),
    ({'path': '/' + 9000 * 'x'}, 'path is longer than 8192 characters'),
    ({'path': ['/a/', '/b/']}, 'path is given 2 times'),
    ({'method': 'G T'}, "method 'G T' is not a token"),
    ({'body_bytes': '-1'}, "body_bytes '-1' is not a number of that size"),
    ({'body_bytes': '9' * 13}, 'body_bytes is more than 1099511627776'),
    ({'time_left_ms': 'x'}, "time_left_ms 'x' is not a number of that size"),
    ({'domain': 257 * 'd'}, 'domain is longer than 256 characters'),
    ({'domain': b'\xff'}, 'domain is not UTF-8'),
    ({'size': '1'}, "unknown argument 'size'"),
]


@pytest.mark.parametrize(('changes', 'reason'), MALFORMED)
def test_malformed_query_is_refused_with_its_reason(
    changes: dict[str, Any], reason: str
) -> None:
    """Guards against an explanation of another request than was meant."""
    given = {**REQUEST, **changes}
    arguments = {
        name: [
            one if isinstance(one, bytes) else one.encode()
            for one in (texts if isinstance(texts, list) else [texts])
        ]
        for name, texts in given.items()
    }
    with pytest.raises(QueryError) as error:
        WhereQuery.parse(arguments)
    assert str(error.value) == reason


async def explain(
    fleet: Fleet, name: str, fields: Mapping[str, Any] = REQUEST
) -> tuple[int, dict[str, Any]]:
    query = urlencode(fields, doseq=True)
    answer = await call(
        fleet.address(name), fleet.port + 1, f'/foxtailreach/where?{query}'
    )
    return answer.status, json.loads(answer.body)


async def run_command(
    fleet: Fleet, name: str, *arguments: str
) -> tuple[int, str]:
    """Run the command; return its exit code and all that it prints."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'foxtailreach',
        'explain-where',
        f'{fleet.address(name)}:{fleet.port + 1}',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode()


async def gauges(fleet: Fleet, name: str) -> list[str]:
    """Return the metrics of a host that requests change."""
    page = await call(fleet.address(name), fleet.port + 1, '/metrics')
    return [
        line
        for line in page.body.splitlines()
        if '_stock' in line or 'requests' in line or 'sends' in line
    ]


async def all_hosts_name_the_next_target(fleet: Fleet) -> None:
    await fleet.request('h1', '/a/x', method='POST')
    fleet.store.is_down = True
    await asyncio.sleep(0.5)
    before = [await gauges(fleet, name) for name in fleet.processes]
    named = set()
    for name in ('h1', 'h2'):
        status, page = await explain(fleet, name)
        assert status == 200
        assert page['asked_host'] == name
        assert page['limit'] == 'not checked'
        assert page['configuration']['version'] == 1
        assert page['configuration']['age_ms'] >= 0
        assert page['targets']['age_ms'] >= 500
        pool = page['pools'][0]
        named.add(pool['broker'])
        assert pool['inputs']['config_version'] == 1
        assert pool['inputs']['targets_age_ms'] >= 500
        assert len(pool['candidates']) == 3
        assert page['decision']['decision'] == 'granted'
        assert page['decision']['target'] == pool['candidates'][0]['target_id']
        assert 'chosen' in pool['candidates'][0]['flags']
        assert 0 <= pool['candidates'][0]['served_age_ms'] < 10_000
    assert len(named) == 1
    assert before == [await gauges(fleet, name) for name in fleet.processes]
    for target in fleet.targets:
        assert len(target.seen) <= 1
    _, page = await explain(fleet, 'h1')
    for target in fleet.targets:
        target.seen.clear()
    assert (await fleet.request('h1', '/a/x', method='POST')).status == 200
    served_by = [one.target_id for one in fleet.targets if one.seen]
    assert served_by == [page['decision']['target']]


async def configuration_refuses(fleet: Fleet) -> None:
    for changes, cause, status in (
        ({'path': '/none'}, 'no-route', 404),
        ({'customer': ''}, 'no-key', 401),
        ({'body_bytes': 2**38}, 'malformed', 413),
    ):
        http_status, page = await explain(fleet, 'h1', {**REQUEST, **changes})
        assert http_status == 200
        assert page['decision'] == {
            'decision': 'refused',
            'cause': cause,
            'status': status,
        }
        assert page['pools'] == []
    for changes, reason in (
        *MALFORMED,
        ({'customer': 'c9'}, "there is no customer 'c9'"),
        ({'domain': 'west'}, "there is no failure domain 'west'"),
        ({'service': 's9'}, "has no service 's9'"),
    ):
        http_status, page = await explain(fleet, 'h1', {**REQUEST, **changes})
        assert http_status == 400
        assert reason in page['error']


async def silent_broker_is_named(fleet: Fleet) -> None:
    _, page = await explain(fleet, 'h1')
    broker = page['pools'][0]['broker']
    other = next(name for name in fleet.processes if name != broker)
    fleet.processes[broker].send_signal(signal.SIGSTOP)
    try:
        _, page = await explain(fleet, other)
    finally:
        fleet.processes[broker].send_signal(signal.SIGCONT)
    assert page['pools'][0]['brokers_without_answer'] == [broker]
    assert page['pools'][0]['broker'] == other
    assert page['decision']['decision'] == 'granted'


async def command_prints_text_and_json(fleet: Fleet) -> None:
    await fleet.request('h1', '/a/x', method='POST')
    code, text = await run_command(
        fleet, 'h1', 'shop.example/a/x', '--customer', 'c1', '--method', 'POST'
    )
    assert code == 0
    assert 'decision: target ' in text
    assert 'flags: chosen' in text
    code, text = await run_command(
        fleet, 'h2', 'shop.example/a/x', '--customer', 'c1', '--json'
    )
    assert code == 0
    assert json.loads(text)['decision']['decision'] == 'granted'
    code, text = await run_command(fleet, 'h1', 'shop.example')
    assert (code, text) == (1, 'error: path is missing\n')


async def referral_is_followed(fleet: Fleet) -> None:
    """The domain of the second host has no targets."""
    for index in range(3, 8):
        target = Target(f't{index}')
        target.open()
        fleet.targets.append(target)
        await fleet.store.put('keyed.servers', f't{index}', target.entry())
    async with asyncio.timeout(5):
        pools: list[dict[str, Any]] = []
        while len(pools) < 2:
            await asyncio.sleep(0.25)
            status, page = await explain(fleet, 'h2')
            pools = page['pools']
    assert status == 200
    assert [pool['pool'] for pool in pools] == ['stock@south', 'stock@north']
    assert pools[0]['decision'] == {'decision': 'referred', 'domain': 'north'}
    assert pools[0]['candidates'] == []
    assert pools[1]['broker'] == 'h1'
    assert page['decision'] == pools[1]['decision']
    assert page['decision']['decision'] == 'granted'
    _, page = await explain(fleet, 'h2', {**REQUEST, 'domain': 'north'})
    assert [pool['pool'] for pool in page['pools']] == ['stock@north']


def test_explanation_follows_a_referral(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an explanation that ends at a pool without targets."""
    settings = Fleet.settings
    section = '[fault_tolerance]\nzones = 0\n'
    monkeypatch.setattr(
        Fleet, 'settings', lambda fleet, name: settings(fleet, name) + section
    )
    run_scenario(tmp_path, referral_is_followed)


@pytest.mark.parametrize(
    'scenario',
    [
        all_hosts_name_the_next_target,
        configuration_refuses,
        silent_broker_is_named,
        command_prints_text_and_json,
    ],
    ids=lambda scenario: scenario.__name__,
)
def test_hosts_explain_placements(tmp_path: Path, scenario: Any) -> None:
    """Guards against a page that differs from what hosts do."""
    run_scenario(tmp_path, scenario)
