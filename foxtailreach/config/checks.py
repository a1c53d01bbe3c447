"""Referential checks of a change set against the objects it applies to."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from foxtailreach.config.faults import Fault
from foxtailreach.config.objects import KINDS, ChangeSet, Objects


@dataclass(slots=True, frozen=True)
class Reference:
    """A field of one kind that names an object of another kind."""

    kind: str
    field: str
    target_kind: str


REFERENCES = (
    Reference('targets', 'service', 'services'),
    Reference('targets', 'domain', 'domains'),
    Reference('routes', 'service', 'services'),
    Reference('customers', 'limit', 'limits'),
    Reference('keys', 'customer', 'customers'),
)


def check_change_set(current: Objects, change: ChangeSet) -> list[Fault]:
    """Return every fault that applying `change` to `current` would cause."""
    return [
        *_missing_removals(current, change),
        *_dangling_upserts(current, change),
        *_dangling_leftovers(current, change),
        *_clashing_routes(current, change),
        *_clashing_keys(current, change),
    ]


def _names_after(current: Objects, change: ChangeSet, kind: str) -> _After:
    return _After(
        current=getattr(current, kind),
        upserts=getattr(change.upserts, kind),
        removed=frozenset(getattr(change.removals, kind)),
    )


@dataclass(slots=True, frozen=True)
class _After:
    """The objects of one kind as they will be, without a copy."""

    current: Mapping[str, object]
    upserts: Mapping[str, object]
    removed: frozenset[str]

    def __contains__(self, name: str) -> bool:
        if name in self.upserts:
            return True
        return name in self.current and name not in self.removed

    def untouched(self) -> Iterator[tuple[str, object]]:
        for name, entry in self.current.items():
            if name not in self.upserts and name not in self.removed:
                yield name, entry


def _missing_removals(current: Objects, change: ChangeSet) -> Iterator[Fault]:
    for kind in KINDS:
        known = getattr(current, kind)
        for name in getattr(change.removals, kind):
            if name not in known:
                yield Fault(
                    key=f'removals.{kind}',
                    found=repr(name),
                    allowed='only existing objects can be removed',
                )


def _dangling_upserts(current: Objects, change: ChangeSet) -> Iterator[Fault]:
    for reference in REFERENCES:
        after = _names_after(current, change, reference.target_kind)
        upserts = getattr(change.upserts, reference.kind)
        for name, entry in upserts.items():
            referred = getattr(entry, reference.field)
            if referred not in after:
                yield _dangling(reference, name, referred)


def _dangling_leftovers(current: Objects, change: ChangeSet) -> Iterator[Fault]:
    for reference in REFERENCES:
        removed = frozenset(getattr(change.removals, reference.target_kind))
        if not removed:
            continue
        after = _names_after(current, change, reference.kind)
        for name, entry in after.untouched():
            referred = getattr(entry, reference.field)
            if referred in removed:
                yield _dangling(reference, name, referred)


def _dangling(reference: Reference, name: str, referred: str) -> Fault:
    return Fault(
        key=f'{reference.kind}.{name}.{reference.field}',
        found=repr(referred),
        allowed=f'must name an object in {reference.target_kind}',
    )


def _clashing_routes(current: Objects, change: ChangeSet) -> Iterator[Fault]:
    if not change.upserts.routes:
        return
    after = _names_after(current, change, 'routes')
    owners = {
        getattr(entry, 'path_prefix'): name for name, entry in after.untouched()
    }
    for name, route in change.upserts.routes.items():
        other = owners.setdefault(route.path_prefix, name)
        if other != name:
            yield Fault(
                key=f'routes.{name}.path_prefix',
                found=repr(route.path_prefix),
                allowed=f'must differ from that of routes.{other}',
            )


def _clashing_keys(current: Objects, change: ChangeSet) -> Iterator[Fault]:
    if not change.upserts.keys:
        return
    after = _names_after(current, change, 'keys')
    owners = {
        getattr(entry, 'digest_sha256'): name
        for name, entry in after.untouched()
    }
    for name, key in change.upserts.keys.items():
        other = owners.setdefault(key.digest_sha256, name)
        if other != name:
            yield Fault(
                key=f'keys.{name}.digest_sha256',
                found='a digest already in use',
                allowed=f'must differ from that of keys.{other}',
            )
