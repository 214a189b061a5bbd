"""What a replica says of itself in its answers, for the choice of replicas.

Discovery says that a replica drains or left; answers say so sooner, and also while the
store is unavailable. Times are those of the monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.gateway.rate_share import RateShare

__all__ = ["MAX_PAUSE_S", "NO_NOTICES", "Notices", "StatedNotices"]

LEAVING_MEMORY_S = 600.0  # for entries that lapse and return in an outage
MAX_PAUSE_S = 3600.0  # a replica that asks for more is asked again after this time


class StatedNotices(NamedTuple):
    """The notices in one answer of a replica.

    ``leaving`` is set if it is shutting down. It takes ``limit_per_s`` requests from
    all gateways together, and wants none from this one for ``pause_s``; ``None`` if it
    states neither. ``malformed`` names the values that could not be read.
    """

    leaving: bool = False
    limit_per_s: float | None = None
    pause_s: float | None = None
    malformed: str = ""


NO_NOTICES = StatedNotices()


class Notices:
    """The notices of one replica process that are in force.

    ``leaving_since`` is never taken back: a process that leaves does not return, and an
    older discovery entry or a late answer may say otherwise. A pause ends at
    ``paused_until``, and is only ever extended. ``rate_share`` is this gateway's share
    of a rate limit, which ends with an answer that states none.
    """

    __slots__ = ("leaving_since", "malformed", "paused_until", "rate_share")

    def __init__(self) -> None:
        self.leaving_since: float | None = None
        self.paused_until = 0.0
        self.rate_share: RateShare | None = None
        self.malformed = ""

    def allow_requests(self, now: float) -> bool:
        """Return whether the replica takes new requests, apart from its rate limit."""
        return self.leaving_since is None and now >= self.paused_until

    def outlast(self, now: float) -> bool:
        """Return whether any of these is still in force without further answers.

        >>> notices = Notices()
        >>> notices.pause(2.0, 10.0)
        >>> notices.outlast(11.9), notices.outlast(12.0)
        (True, False)
        """
        since, share = self.leaving_since, self.rate_share
        if since is not None and now <= since + LEAVING_MEMORY_S:
            return True
        is_limited = share is not None and now <= share.stated_at + share.validity_s
        return is_limited or now < self.paused_until

    def pause(self, pause_s: float, now: float) -> None:
        """Send nothing for ``pause_s``.

        >>> notices = Notices()
        >>> notices.pause(2.0, 10.0)
        >>> notices.pause(0.5, 10.1)
        >>> notices.allow_requests(11.9), notices.allow_requests(12.0)
        (False, True)
        """
        until = now + min(pause_s, MAX_PAUSE_S)
        self.paused_until = max(self.paused_until, until)

    def pause_left_s(self, now: float) -> float:
        """Return how long the pause still lasts."""
        return max(0.0, self.paused_until - now)
