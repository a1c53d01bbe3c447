"""Shared test settings; deselects the tests listed in KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path

import hypothesis
import pytest

KNOWN_RED = Path(__file__).parents[2] / 'KNOWN-RED.txt'
KNOWN_RED_LINES = pytest.StashKey[list[str]]()

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile('ci')


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the size of the soak; 0 seeds means those of CI."""
    parser.addoption('--soak-seeds', type=int, default=0)
    parser.addoption('--soak-hosts', type=int, default=5)
    parser.addoption('--soak-seconds', type=float, default=12)


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Deselect the tests whose id is the first field of a listed line."""
    listed = {
        line.partition(' | ')[0]: line
        for line in KNOWN_RED.read_text().splitlines()
    }
    deselected = [item for item in items if item.nodeid in listed]
    config.stash[KNOWN_RED_LINES] = [listed[item.nodeid] for item in deselected]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item not in deselected]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
    config: pytest.Config,
) -> None:
    """Print the deselected tests, so that they aren't taken for passed."""
    for line in config.stash.get(KNOWN_RED_LINES, []):
        terminalreporter.write_line(f'known red, not run: {line}')
