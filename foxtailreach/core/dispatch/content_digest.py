"""A digest of keys and values, which is kept up to date record by record."""

from __future__ import annotations

import xxhash

_DIGEST_BITS = 63


class ContentDigest:
    """Hash of a set of keys and their values, whatever their order.

    Keys on which replicas may differ can be left out, see `leave_out`.
    """

    __slots__ = ('_is_leaving_out', '_key_digests', '_optional_keys', 'value')

    def __init__(self) -> None:
        """Start with the digest of no keys."""
        self._key_digests: dict[str, int] = {}
        self._optional_keys: set[str] = set()
        self._is_leaving_out = False
        self.value = 0

    def leave_out(self) -> None:
        """Leave out the optional keys from now on."""
        self._is_leaving_out = True
        for key in self._optional_keys:
            self.value ^= self._key_digests.pop(key, 0)

    def update(
        self, key: str, fingerprint: bytes, *, is_optional: bool
    ) -> None:
        """Replace the value of a key, by a fingerprint of it."""
        self.remove(key)
        if is_optional:
            self._optional_keys.add(key)
            if self._is_leaving_out:
                return
        hashed = xxhash.xxh64(f'{key}\n'.encode())
        hashed.update(fingerprint)
        # The digest is a non-negative 63-bit integer in messages.
        key_digest = int(hashed.intdigest()) >> (64 - _DIGEST_BITS)
        self.value ^= key_digest
        self._key_digests[key] = key_digest

    def remove(self, key: str) -> None:
        """Remove a key."""
        self._optional_keys.discard(key)
        self.value ^= self._key_digests.pop(key, 0)
