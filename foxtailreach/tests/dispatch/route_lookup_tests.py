"""Tests of finding the route of a path."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from foxtailreach.core.dispatch.deployment import (
    Deployment,
    RequestKind,
    RouteSpec,
    index_routes,
)

HOST = 'h.example'
PREFIXES = ['/', '/a/', '/a/b/', '/a//', '/b/']
PATHS = st.text('ab/', max_size=12).map(lambda text: f'/{text}')


class CountingRoutes(dict[str, RouteSpec]):
    """Counts the look-ups of a host's routes."""

    lookups = 0

    def get(self, key: str, default: Any = None) -> Any:
        """Count a look-up."""
        self.lookups += 1
        return super().get(key, default)


def routes(prefixes: list[str]) -> Mapping[str, Mapping[str, RouteSpec]]:
    return index_routes(
        RouteSpec(prefix, HOST, prefix, RequestKind.IDEMPOTENT, (), 0)
        for prefix in prefixes
    )


@hypothesis.given(st.lists(st.sampled_from(PREFIXES), unique=True), PATHS)
def test_route_has_the_longest_prefix(prefixes: list[str], path: str) -> None:
    found = Deployment(1, routes(prefixes)).find_route(HOST, path)
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    longest = max(matching, key=len, default=None)
    assert (found.name if found else None) == longest


@pytest.mark.parametrize(
    ('path', 'most'),
    [
        ('/a/b' + '/' * 15_000, 1),
        ('/none' + '/' * 15_000, 2),
        ('/a/c/x' * 5000, 2),
    ],
)
def test_lookups_are_bounded_by_the_longest_prefix(
    path: str, most: int
) -> None:
    """Guards against a path that takes the time of many requests."""
    counted = CountingRoutes(routes(['/a/', '/a/b/'])[HOST])
    Deployment(1, {HOST: counted}).find_route(HOST, path)
    assert counted.lookups <= most
