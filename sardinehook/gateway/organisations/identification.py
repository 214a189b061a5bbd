"""Decides to which organisation a request belongs, by its key."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from returns.result import Failure, Result, Success

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.organisations.confirmation import accepts_keys
from sardinehook.gateway.organisations.organisation import Organisations
from sardinehook.gateway.settings import Bounds

__all__ = ["KeyRefusal", "RefusalReason", "identify_caller"]


class RefusalReason(StrEnum):
    """Why a request is refused for its key; the values of the metric's label."""

    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    NOT_CONFIRMED = "not_confirmed"


class KeyRefusal(NamedTuple):
    """The refusal of a request for its key."""

    reason: RefusalReason
    problem: Problem


NO_KEY = KeyRefusal(
    RefusalReason.NO_KEY, Problem(ErrorKind.UNKNOWN_KEY, "a key is required")
)
UNKNOWN_KEY = KeyRefusal(
    RefusalReason.UNKNOWN_KEY, Problem(ErrorKind.UNKNOWN_KEY, "the key is unknown")
)


def identify_caller(
    organisations: Organisations | None,
    anonymous: bool,
    credential: bytes | None,
    bounds: Bounds,
    confirmed_s: float,
) -> Result[str, KeyRefusal]:
    """Return the name of the caller's organisation, empty if it has none.

    ``organisations`` is ``None`` in a deployment without keys. On an ``anonymous``
    route a key is not required, and an unknown one is ignored. ``confirmed_s`` is how
    long ago the store confirmed the configuration. Where revocation is strict, an older
    one than the bound identifies no caller: the key may have been withdrawn, and a key
    that is unknown here may have been added.

    >>> identify_caller(None, False, b"k", Bounds(), 0.0).unwrap()
    ''
    """
    if organisations is None:
        return Success("")
    is_confirmed = accepts_keys(bounds, confirmed_s)
    found = organisations.find(credential) if is_confirmed else None
    if found is not None:
        return Success(found.name)
    if anonymous:
        return Success("")
    if not is_confirmed:
        return Failure(unconfirmed(confirmed_s))
    return Failure(NO_KEY if credential is None else UNKNOWN_KEY)


def unconfirmed(confirmed_s: float) -> KeyRefusal:
    """Return the refusal while the configuration is not confirmed.

    >>> unconfirmed(float("inf")).problem.detail
    'keys have not been confirmed by the store'
    """
    since = "" if confirmed_s == float("inf") else f" for {confirmed_s:.1f} s"
    detail = f"keys have not been confirmed by the store{since}"
    return KeyRefusal(
        RefusalReason.NOT_CONFIRMED, Problem(ErrorKind.STORE_UNAVAILABLE, detail)
    )
