"""Checks that only the adapter contains names of the users' platform."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

import foxtailreach

PACKAGE = Path(foxtailreach.__file__).parent
PLATFORM_NAMES = re.compile(
    r'x-foxtailreach-|/log-(append|read|newest|join)|keyed\.|warmup_left_ms'
    r'|traffic_split|FOXTAILREACH_CONFIG|api_keys|resource_type'
    r'|health_path|retry_budget_ratio|config_apply|fleetbench',
    re.IGNORECASE,
)


@pytest.mark.parametrize(
    'path',
    [
        path
        for path in sorted(PACKAGE.rglob('*.py'))
        if path.parent.name != 'platform'
    ],
    ids=lambda path: str(path.relative_to(PACKAGE)),
)
def test_module_has_no_name_of_the_platform(path: Path) -> None:
    found = PLATFORM_NAMES.search(path.read_text(encoding='utf-8'))
    assert found is None
