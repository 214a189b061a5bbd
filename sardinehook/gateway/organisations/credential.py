"""A caller's key, in a form that no text shows."""

from __future__ import annotations

__all__ = ["Credential"]

HIDDEN = "Credential(hidden)"


class Credential(bytes):
    """A caller's key; empty if the caller stated several different ones.

    The texts of a key, and of objects that hold it, don't contain it.

    >>> Credential(b"k1"), [Credential(b"k1")], f"{Credential(b'k1')}"
    (Credential(hidden), [Credential(hidden)], 'Credential(hidden)')
    >>> Credential(b"k1") == b"k1"
    True
    """

    def __repr__(self) -> str:
        return HIDDEN

    def __str__(self) -> str:
        return HIDDEN
