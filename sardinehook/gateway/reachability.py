"""Failure detector for the network paths to other data centres."""

from __future__ import annotations

from itertools import islice

import structlog

from sardinehook.observe.events import EventName, log_event

__all__ = ["Reachability"]

logger = structlog.get_logger(__name__)

SUSPECT_REPLICAS = 3  # fewer may be paused independently
SUSPECT_AFTER_S = 0.12  # the first of several replicas replies within 50 ms
CUT_OFF_AFTER_S = 0.3  # time from suspected to cut off


class PathState:
    """Requests to one data centre since the last response of any replica there."""

    __slots__ = ("suspect_since", "unanswered_since")

    def __init__(self) -> None:
        self.unanswered_since: dict[str, float] = {}
        self.suspect_since: float | None = None

    def overdue_s(self, now: float) -> float:
        """Return how long ``SUSPECT_REPLICAS`` replicas have all been unresponsive."""
        latest = next(
            islice(self.unanswered_since.values(), SUSPECT_REPLICAS - 1, None), now
        )
        return now - latest


class Reachability:
    """Suspects data centres in which no replica responds.

    Replicas pause and crash independently. If several got requests and no replica of
    the whole data centre has responded since, the path to it is suspected. Any
    response clears the suspicion, also an accepted connection.
    """

    def __init__(self) -> None:
        self.paths: dict[str, PathState] = {}

    def record_request(self, data_centre: str, replica_id: str, now: float) -> None:
        """Record a request or a connection attempt to a replica."""
        path = self.paths.get(data_centre)
        if path is None:
            path = self.paths[data_centre] = PathState()
        path.unanswered_since.setdefault(replica_id, now)

    def record_response(self, data_centre: str, now: float) -> None:
        """Record a reply or an accepted connection of any replica there."""
        path = self.paths.get(data_centre)
        if path is None or not path.unanswered_since:
            return
        path.unanswered_since.clear()
        if path.suspect_since is not None:
            path.suspect_since = None
            log_event(
                logger, EventName.DATA_CENTRE_STATE, state=f"{data_centre} reachable"
            )

    def is_suspect(self, data_centre: str, now: float) -> bool:
        """Return whether the path to a data centre is suspected."""
        path = self.paths.get(data_centre)
        if path is None:
            return False
        if path.suspect_since is not None:
            return True
        overdue_s = path.overdue_s(now)
        if overdue_s < SUSPECT_AFTER_S:
            return False
        path.suspect_since = now
        log_event(
            logger,
            EventName.DATA_CENTRE_STATE,
            state=f"{data_centre} suspect",
            count=len(path.unanswered_since),
            took_ms=overdue_s * 1000.0,
        )
        return True

    def is_cut_off(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre has been suspected for ``CUT_OFF_AFTER_S``."""
        if not self.is_suspect(data_centre, now):
            return False
        since = self.paths[data_centre].suspect_since
        return since is not None and now - since > CUT_OFF_AFTER_S

    def cut_off_data_centres(self, now: float) -> list[str]:
        """Return the sorted names of the data centres that are cut off."""
        return sorted(
            data_centre
            for data_centre in self.paths
            if self.is_cut_off(data_centre, now)
        )

    def suspected_data_centres(self, now: float) -> list[str]:
        """Return the sorted names of the data centres that are suspected."""
        return sorted(
            data_centre
            for data_centre in self.paths
            if self.is_suspect(data_centre, now)
        )
