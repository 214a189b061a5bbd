"""Look-up of callers' keys by digest."""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b

__all__ = ["DIGEST_BYTES", "KeyIndex", "digest_key"]

DIGEST_BYTES = 16
PURPOSE = b"sardinehook key"  # keeps digests apart from those of other uses


def digest_key(key: bytes) -> bytes:
    """Return the digest of a key, which is the same at all gateways."""
    return blake2b(key, digest_size=DIGEST_BYTES, person=PURPOSE).digest()


class KeyIndex:
    """Names of the holders of keys, by the digests of these.

    The time of a look-up depends on the digest only, and tells nothing about how much
    of a key is right.

    >>> KeyIndex({digest_key(b"k"): "desk"}).find(b"k")
    'desk'
    """

    __slots__ = ("holders",)

    def __init__(self, holders: Mapping[bytes, str]) -> None:
        self.holders = holders

    def __len__(self) -> int:
        return len(self.holders)

    def find(self, key: bytes) -> str | None:
        """Return the holder of a key, ``None`` if the key is unknown."""
        return self.holders.get(digest_key(key))
