"""Soak runs that failed in the past; the tests repeat them."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["REGRESSIONS", "Regression"]


class Regression(NamedTuple):
    """The arguments of a soak run and the cause of its failure."""

    seed: int
    minutes: float
    cause: str


REGRESSIONS = (
    Regression(7, 0.3, "a watch went silent, so versions were applied too late"),
    Regression(101, 0.5, "replicas of the test server omitted the request id"),
    Regression(130, 0.5, "the check took a late hedge as proof of a newer version"),
)
