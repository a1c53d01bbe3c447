"""The outcome of a request can be explained from logs alone."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from foxtailreach.exceptions import LogError, NotFoundError
from foxtailreach.queries.explain import explain

LOG_LINE = {
    'time': '2026-05-11T05:05:04.174+00:00',
    'level': 'INFO',
    'message': 'request',
    'host': 'h1',
    'status': 502,
    'verdict': 'may-have-run',
    'reason': 'target-failed',
    'latency_us': 5846,
    'state_age_us': 300_000,
    'request_id': 'r1',
    'route': 'book',
    'service': 'ledger',
    'customer': 'c1',
    'config_version': 4,
    'meter': 'h3',
    'charge_us': 1200,
    'detail': '',
    'attempts': [
        {
            'broker': 'h2',
            'target_id': 't1',
            'outcome': 'lost',
            'slot_wait_us': 3000,
            'latency_us': 2846,
            'proven_age_us': 120_000,
            'is_reused': True,
            'cause': 'answer exceeds the size limit',
        },
    ],
}


def test_explanation_names_the_deciding_facts(tmp_path: Path) -> None:
    log = tmp_path / 'h1.log'
    log.write_text(f'noise\n  0.17 h1 {json.dumps(LOG_LINE)}\n{{broken\n')
    explanation = '\n'.join(explain('r1', [log]))
    for part in (
        'status 502, may-have-run, target-failed',
        'customer c1, configuration 4',
        'metered by h3 after 1.2 ms',
        't1 (last good answer 120.0 ms before), granted by h2',
        'kept connection, lost after 2.8 ms: answer exceeds the size limit',
    ):
        assert part in explanation


def test_unknown_request_is_an_error(tmp_path: Path) -> None:
    log = tmp_path / 'h1.log'
    log.write_text(json.dumps(LOG_LINE))
    with pytest.raises(NotFoundError):
        explain('r2', [log])


def test_unreadable_log_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(LogError):
        explain('r1', [tmp_path / 'none.log'])
