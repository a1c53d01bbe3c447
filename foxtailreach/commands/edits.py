"""Frequent changes by operators: keys, failure domains, targets."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from dataclasses import replace
from typing import Literal

from foxtailreach.commands.publish import Edit, publish
from foxtailreach.config.objects import (
    ChangeSet,
    FailureDomain,
    Key,
    Objects,
    Removals,
)
from foxtailreach.daemon.platform import PlatformAddress
from foxtailreach.exceptions import ConfigurationError

KEY_BYTES = 24


def issue_key(address: PlatformAddress, name: str, customer: str) -> str:
    """Publish a new key and return its secret, of which only a hash is kept."""
    secret = secrets.token_urlsafe(KEY_BYTES)
    asyncio.run(publish(address, issue_key_edit(name, customer, secret)))
    return secret


def withdraw_key(address: PlatformAddress, name: str) -> int:
    """Withdraw a key on all hosts; return the new version."""
    return asyncio.run(publish(address, withdraw_key_edit(name)))


def set_domain(
    address: PlatformAddress,
    name: str,
    state: Literal['active', 'out'],
) -> int:
    """Take a failure domain out or put it back; return the new version."""
    return asyncio.run(publish(address, set_domain_edit(name, state)))


def set_target(
    address: PlatformAddress,
    name: str,
    state: Literal['active', 'draining'],
) -> int:
    """Drain a target or put it back; return the new version."""
    return asyncio.run(publish(address, set_target_edit(name, state)))


def issue_key_edit(name: str, customer: str, secret: str) -> Edit:
    """Build the edit that adds a key."""
    digest = hashlib.sha256(secret.encode()).hexdigest()

    def edit(current: Objects, change_id: str, version: int) -> ChangeSet:
        if name in current.keys:
            raise ConfigurationError(f'keys.{name} exists; choose another name')
        upserts = Objects(keys={name: Key(customer, digest)})
        return ChangeSet(change_id, version, upserts)

    return edit


def withdraw_key_edit(name: str) -> Edit:
    """Build the edit that removes a key."""

    def edit(current: Objects, change_id: str, version: int) -> ChangeSet:
        return ChangeSet(change_id, version, removals=Removals(keys=(name,)))

    return edit


def set_domain_edit(name: str, state: Literal['active', 'out']) -> Edit:
    """Build the edit that changes a failure domain's state."""

    def edit(current: Objects, change_id: str, version: int) -> ChangeSet:
        if name not in current.domains:
            known = ', '.join(sorted(current.domains))
            raise ConfigurationError(
                f'domains.{name} does not exist; use one of {known}'
            )
        upserts = Objects(domains={name: FailureDomain(state)})
        return ChangeSet(change_id, version, upserts)

    return edit


def set_target_edit(name: str, state: Literal['active', 'draining']) -> Edit:
    """Build the edit that drains a target or puts it back."""

    def edit(current: Objects, change_id: str, version: int) -> ChangeSet:
        if name not in current.targets:
            raise ConfigurationError(f'targets.{name} does not exist')
        target = replace(current.targets[name], state=state)
        return ChangeSet(change_id, version, Objects(targets={name: target}))

    return edit
