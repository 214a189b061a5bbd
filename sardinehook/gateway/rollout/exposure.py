"""Decides which of one gateway's requests go to the new version of a service."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.gateway.rollout.orders import Phase, RolloutState

__all__ = ["Exposure", "Preference", "prefer"]

MAX_SPACED_SHARE = 0.5  # beyond it, requests to the new version follow each other
MAX_CREDIT = 2.0  # beyond the extra requests; bounds a burst after new replicas return


class Preference(NamedTuple):
    """Whether a request prefers the new version, and may use the other one instead."""

    new: bool
    may_use_other: bool


class Exposure:
    """The new version's share of one gateway's requests to a service.

    Each request that is sent earns ``share`` of a credit, and one to the new version
    costs 1. The first credit is uniform between 0 and 1, so that the rounding of many
    gateways adds nothing on average. Without messages, the sum over all gateways stays
    at the share of their requests plus ``extra``, whoever is cut off.

    >>> exposure = Exposure(first_credit=0.95)
    >>> exposure.set_share(0.1, 0.0)
    >>> sent = []
    >>> for _ in range(12):
    ...     sent.append(exposure.is_due)
    ...     exposure.record(sent[-1])
    >>> "".join("n" if new else "o" for new in sent)
    'nooooooooono'
    """

    __slots__ = ("credit", "extra", "last_was_new", "share")

    def __init__(self, first_credit: float) -> None:
        self.credit = first_credit
        self.share = 0.0
        self.extra = 0.0
        self.last_was_new = False

    def set_share(self, share: float, extra: float) -> None:
        """Set the share, and this gateway's part of the extra requests so far."""
        self.credit += max(0.0, extra - self.extra)
        self.extra = max(self.extra, extra)
        self.share = share

    @property
    def is_due(self) -> bool:
        """Whether the next request goes to the new version.

        Extra requests alternate with others, so that the versions are compared under
        the same load.
        """
        if self.last_was_new and self.share <= MAX_SPACED_SHARE:
            return False
        return self.share > 0.0 and self.credit + self.share >= 1.0

    def record(self, new: bool) -> None:
        """Count a request that is sent."""
        most = MAX_CREDIT + self.extra
        self.credit = min(self.credit + self.share, most) - float(new)
        self.last_was_new = new

    def give_back(self, new: bool) -> None:
        """Count back a request that never reached a replica."""
        self.credit += float(new) - self.share


def prefer(
    state: RolloutState | None,
    exposure: Exposure,
    has_old: bool,
    has_new: bool,
    stopped: bool,
) -> Preference:
    """Return the version to which the next request goes.

    ``has_old`` and ``has_new`` are whether any replica of that class can be used at
    all, ``stopped`` whether this gateway may send nothing to an undecided version.

    >>> due = Exposure(1.0)
    >>> due.set_share(0.1, 0.0)
    >>> canary = RolloutState("2", 60.0, 1, Phase.CANARY, 0.1)
    >>> prefer(canary, due, True, True, False)
    Preference(new=True, may_use_other=True)
    >>> prefer(canary, due, True, True, True)
    Preference(new=False, may_use_other=False)
    """
    if state is None:
        return Preference(False, not has_old)
    match state.phase:
        case Phase.ROLLED_BACK:
            return Preference(False, not has_old and not state.is_bad)
        case Phase.COMPLETED:
            return Preference(True, not has_new)
        case Phase.DRAINING_OLD if not stopped:
            return Preference(True, not has_new)
    if stopped or not exposure.is_due:
        return Preference(False, not has_old and not stopped)
    return Preference(True, True)
