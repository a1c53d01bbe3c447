"""A digest of keys and values, which is kept up to date record by record."""

from __future__ import annotations

import xxhash

_DIGEST_BITS = 63


class ContentDigest:
    """Hash of a set of keys and their values, whatever their order."""

    __slots__ = ('_key_digests', 'value')

    def __init__(self) -> None:
        """Start with the digest of no keys."""
        self._key_digests: dict[str, int] = {}
        self.value = 0

    def update(self, key: str, fingerprint: bytes) -> None:
        """Replace the value of a key, by a fingerprint of it."""
        hashed = xxhash.xxh64(f'{key}\n'.encode())
        hashed.update(fingerprint)
        # The digest is a non-negative 63-bit integer in messages.
        key_digest = int(hashed.intdigest()) >> (64 - _DIGEST_BITS)
        self.value ^= self._key_digests.get(key, 0) ^ key_digest
        self._key_digests[key] = key_digest

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.value ^= self._key_digests.pop(key, 0)
