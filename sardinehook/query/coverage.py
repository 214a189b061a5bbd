"""Coverage: the share of services in an answer and why others are missing."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from sardinehook.messages import Outcome
from sardinehook.query.snapshot import Snapshot

__all__ = ["Coverage", "MissingReason", "MissingService", "missing_reason"]


class MissingReason(StrEnum):
    """Why a service that should be asked is missing from the answer."""

    NO_REPLICA = "no_replica"
    NOT_ASKED = "not_asked"
    NOT_RUN = "not_run"
    SHED = "shed"
    LATE = "late"
    WRONG_VERSION = "wrong_version"
    GARBLED = "garbled"
    TRUNCATED = "truncated"
    TOO_LARGE = "too_large"
    NO_MEMORY = "no_memory"
    CONNECTION_LOST = "connection_lost"
    FAILED = "failed"


class MissingService(NamedTuple):
    """A service that is missing from the answer."""

    service: str
    reason: MissingReason


class Coverage(NamedTuple):
    """How complete an answer is.

    ``asked`` and ``answered`` count distinct services. ``snapshot`` maps each index
    with an answer to the snapshot it was taken from.

    >>> Coverage(4, 3, (MissingService("s4", MissingReason.LATE),), {}).ratio
    0.75
    """

    asked: int
    answered: int
    missing: tuple[MissingService, ...]
    snapshot: Mapping[str, Snapshot]

    @property
    def ratio(self) -> float:
        """The share of the asked services that answered, 1.0 if none was asked."""
        return self.answered / self.asked if self.asked else 1.0


REASON_OF_OUTCOME: dict[Outcome, MissingReason] = {
    Outcome.NOT_RUN: MissingReason.NOT_RUN,
    Outcome.SHED: MissingReason.SHED,
    Outcome.LATE: MissingReason.LATE,
    Outcome.WRONG_VERSION: MissingReason.WRONG_VERSION,
    Outcome.GARBLED: MissingReason.GARBLED,
    Outcome.CONNECTION_LOST: MissingReason.CONNECTION_LOST,
    Outcome.FAILED: MissingReason.FAILED,
    Outcome.CANCELLED: MissingReason.LATE,
}


def missing_reason(outcome: Outcome) -> MissingReason:
    """Return why a service is missing whose sub-query ended with ``outcome``.

    Raises ``KeyError`` for ``Outcome.ANSWERED``, which has no reason.
    """
    return REASON_OF_OUTCOME[outcome]
