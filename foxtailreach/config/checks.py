"""Checks the references and unique fields of a change set."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from foxtailreach.config.faults import Fault
from foxtailreach.config.objects import KINDS, ChangeSet, Objects


@dataclass(slots=True, frozen=True)
class Reference:
    """A field of objects of one kind that names an object of another."""

    kind: str
    field: str
    referenced_kind: str


REFERENCES = (
    Reference('targets', 'service', 'services'),
    Reference('targets', 'domain', 'domains'),
    Reference('routes', 'service', 'services'),
    Reference('customers', 'limit', 'limits'),
    Reference('keys', 'customer', 'customers'),
)


def check_change_set(current: Objects, change: ChangeSet) -> list[Fault]:
    """Return all faults that applying `change` to `current` would cause."""
    return [
        *_missing_removals(current, change),
        *_dangling_upserts(current, change),
        *_dangling_unchanged(current, change),
        *_duplicate_prefixes(current, change),
        *_duplicate_digests(current, change),
    ]


def _objects_after(
    current: Objects,
    change: ChangeSet,
    kind: str,
) -> _ObjectsAfter:
    return _ObjectsAfter(
        current=getattr(current, kind),
        upserts=getattr(change.upserts, kind),
        removed=frozenset(getattr(change.removals, kind)),
    )


@dataclass(slots=True, frozen=True)
class _ObjectsAfter:
    """View of one kind's objects after a change, without copying them."""

    current: Mapping[str, object]
    upserts: Mapping[str, object]
    removed: frozenset[str]

    def __contains__(self, name: str) -> bool:
        if name in self.upserts:
            return True
        return name in self.current and name not in self.removed

    def unchanged(self) -> Iterator[tuple[str, object]]:
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
        after = _objects_after(current, change, reference.referenced_kind)
        upserts = getattr(change.upserts, reference.kind)
        for name, entry in upserts.items():
            referenced = getattr(entry, reference.field)
            if referenced not in after:
                yield _dangling_fault(reference, name, referenced)


def _dangling_unchanged(current: Objects, change: ChangeSet) -> Iterator[Fault]:
    for reference in REFERENCES:
        removed = frozenset(getattr(change.removals, reference.referenced_kind))
        if not removed:
            continue
        after = _objects_after(current, change, reference.kind)
        for name, entry in after.unchanged():
            referenced = getattr(entry, reference.field)
            if referenced in removed:
                yield _dangling_fault(reference, name, referenced)


def _dangling_fault(reference: Reference, name: str, referenced: str) -> Fault:
    return Fault(
        key=f'{reference.kind}.{name}.{reference.field}',
        found=repr(referenced),
        allowed=f'must name an object in {reference.referenced_kind}',
    )


def _duplicate_prefixes(current: Objects, change: ChangeSet) -> Iterator[Fault]:
    if not change.upserts.routes:
        return
    after = _objects_after(current, change, 'routes')
    names_by_prefix = {
        getattr(entry, 'path_prefix'): name for name, entry in after.unchanged()
    }
    for name, route in change.upserts.routes.items():
        other = names_by_prefix.setdefault(route.path_prefix, name)
        if other != name:
            yield Fault(
                key=f'routes.{name}.path_prefix',
                found=repr(route.path_prefix),
                allowed=f'must differ from that of routes.{other}',
            )


def _duplicate_digests(current: Objects, change: ChangeSet) -> Iterator[Fault]:
    if not change.upserts.keys:
        return
    after = _objects_after(current, change, 'keys')
    names_by_digest = {
        getattr(entry, 'digest_sha256'): name
        for name, entry in after.unchanged()
    }
    for name, key in change.upserts.keys.items():
        other = names_by_digest.setdefault(key.digest_sha256, name)
        if other != name:
            yield Fault(
                key=f'keys.{name}.digest_sha256',
                found='a digest already in use',
                allowed=f'must differ from that of keys.{other}',
            )
