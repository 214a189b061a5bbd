"""The revision of the environment document in force in this process."""

from __future__ import annotations

from collections.abc import Callable

from sardinehook.environment.canonical import canonical_bytes, digest_of
from sardinehook.environment.revision import Revision

__all__ = ["DocumentHolder"]

Listener = Callable[[Revision], None]


class DocumentHolder:
    """Holds the highest revision offered so far; the number never decreases.

    ``canonical`` is the canonical form of the document in force.

    Revisions of other environments are refused. An empty ``environment`` is set from
    the first revision accepted.

    >>> DocumentHolder("trial").in_force is None
    True
    """

    def __init__(self, environment: str = "") -> None:
        self.environment = environment
        self.in_force: Revision | None = None
        self.canonical = b""
        self.listeners: list[Listener] = []

    @property
    def number(self) -> int:
        """The number of the revision in force, or zero if there is none."""
        return self.in_force.number if self.in_force else 0

    def add_listener(self, listener: Listener) -> None:
        """Register a function to call with each revision that comes in force."""
        self.listeners.append(listener)

    def offer(self, revision: Revision) -> bool:
        """Put a revision in force if it is newer and its digest matches.

        Returns whether the revision was put in force.
        """
        if revision.number <= self.number:
            return False
        if self.environment not in ("", revision.document.environment):
            return False
        canonical = canonical_bytes(revision.document)
        if digest_of(canonical) != revision.digest:
            return False
        self.environment = revision.document.environment
        self.canonical = canonical
        self.in_force = revision
        for listener in tuple(self.listeners):
            listener(revision)
        return True
