"""Invalid input gives a clear error message and a distinct exit code."""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
from pathlib import Path

import pytest

VALID_SETTINGS = """
[host]
host_id = "a"
domain = "d"
address = "127.0.0.1"
caller_port = {port}
peer_port = 19002
admin_port = 19003
[platform]
address = "127.0.0.1"
port = 1
"""


def run_cli(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, '-m', 'foxtailreach', *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize(
    ('settings', 'exit_code', 'words'),
    [
        ('', 2, ['host', 'found nothing']),
        ('[host', 2, ['invalid TOML']),
        (VALID_SETTINGS.format(port=0), 2, ['host.caller_port', 'found 0']),
        (VALID_SETTINGS.format(port=99999), 2, ['host.caller_port', '65535']),
        (VALID_SETTINGS.format(port=9001) + 'speed = 3', 2, ['platform.speed']),
    ],
)
def test_invalid_settings_are_named(
    tmp_path: Path,
    settings: str,
    exit_code: int,
    words: list[str],
) -> None:
    path = tmp_path / 'host.toml'
    path.write_text(settings)
    completed = run_cli('serve', '--settings', str(path))
    assert completed.returncode == exit_code
    assert completed.stderr.count('\n') == 1
    assert all(word in completed.stderr for word in words)


def test_port_in_use_is_named(tmp_path: Path) -> None:
    with contextlib.closing(socket.socket()) as taken:
        taken.bind(('127.0.0.1', 0))
        taken.listen()
        port = taken.getsockname()[1]
        path = tmp_path / 'host.toml'
        path.write_text(VALID_SETTINGS.format(port=port))
        completed = run_cli('serve', '--settings', str(path))
    assert completed.returncode == 6
    assert f'127.0.0.1:{port} is in use' in completed.stderr
    assert 'Traceback' not in completed.stderr


@pytest.mark.parametrize(
    ('objects', 'words'),
    [
        (
            '[routes.r]\nservice = "none"\npath_prefix = "/"',
            ['routes.r.service'],
        ),
        ('[speed.x]\na = 1', ['speed', 'unknown table']),
        ('[limits.l]\nrate_per_s = 0\nburst_requests = 1', ['rate_per_s']),
        (
            '[keys.k]\ncustomer = "c"\ndigest_sha256 = "x"\n'
            '[customers.c]\nlimit = "none"',
            ['keys.k.digest_sha256', 'customers.c.limit'],
        ),
        ('[remove]\nkeys = ["absent"]', ['removals.keys', 'absent']),
    ],
)
def test_check_lists_faults(
    tmp_path: Path,
    objects: str,
    words: list[str],
) -> None:
    path = tmp_path / 'objects.toml'
    path.write_text(objects)
    completed = run_cli('check', str(path))
    assert completed.returncode == 3
    assert all(word in completed.stderr for word in words)
    assert 'Traceback' not in completed.stderr


def test_check_accepts_the_example_configurations() -> None:
    demo = Path(__file__).parent.parent.parent / 'demo'
    for name in ('scara', 'techo'):
        assert run_cli('check', str(demo / f'{name}.toml')).returncode == 0


def test_unreachable_platform_is_named(tmp_path: Path) -> None:
    path = tmp_path / 'host.toml'
    path.write_text(VALID_SETTINGS.format(port=9001))
    completed = run_cli('withdraw-key', '--settings', str(path), 'k')
    assert completed.returncode == 5
    assert 'does not answer' in completed.stderr
