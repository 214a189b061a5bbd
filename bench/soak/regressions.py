"""Soaks that once failed, each with its cause; the tests run them again."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["REGRESSIONS", "Regression"]


class Regression(NamedTuple):
    """A soak by its arguments, and what it once found."""

    seed: int
    minutes: float
    cause: str


REGRESSIONS = (
    Regression(7, 0.3, "a watch fell silent, versions were in force too late"),
    Regression(101, 0.5, "replicas of the stand-in left the request id out"),
    Regression(130, 0.5, "the check took a late hedge for a proof of a newer version"),
)
