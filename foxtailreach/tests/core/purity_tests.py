"""The core imports no sockets, clocks or logging."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import foxtailreach.core

CORE = Path(foxtailreach.core.__file__).parent
FORBIDDEN = {
    'asyncio',
    'socket',
    'tornado',
    'pycurl',
    'loguru',
    'time',
    'threading',
    'datetime',
}


@pytest.mark.parametrize(
    'path',
    sorted(CORE.rglob('*.py')),
    ids=lambda path: str(path.relative_to(CORE)),
)
def test_core_imports_no_input_output(path: Path) -> None:
    tree = ast.parse(path.read_text(encoding='utf-8'))
    imported = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            imported |= {alias.name.split('.')[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported.add((node.module or '').split('.')[0])
            assert 'foxtailreach.daemon' not in (node.module or '')
    assert not imported & FORBIDDEN
