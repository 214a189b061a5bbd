"""Replicas of one service hand out wrong bytes in a few answers, for five seconds.

Five in a hundred answers of two of four replicas carry a load report whose number has
400 digits. Each gateway that has read one can no longer choose a replica of that
service: it closes the connections of callers without an answer, also long after the
replicas are sound again.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.deployment import run_case
from review.standins.two_routes import SOUND_LOAD, TwoRoutes

GARBLE_S = 5.0
GARBLED_SHARE = 0.05  # of the answers of a replica; the site file's largest
GARBLING = ("scheduling-0", "scheduling-1")  # 0.5; the site file's largest is 0.6
WRONG_LOAD = "9" * 400 + ",0,6"


class Case:
    """The state of one run."""

    def __init__(self) -> None:
        self.routes = TwoRoutes(__file__, self.load)
        self.garbling = False
        self.garbled = 0

    def load(self, name: str) -> str:
        """Return the load that a replica reports in its next answer."""
        is_wrong = random.random() < GARBLED_SHARE
        if not (self.garbling and is_wrong and name in GARBLING):
            return SOUND_LOAD
        self.garbled += 1
        self.routes.record.write(f"{name} garbles an answer")
        return WRONG_LOAD

    async def disturb(self) -> None:
        """Let the replicas garble answers for some time."""
        self.garbling = self.routes.deployment.trouble
        await asyncio.sleep(GARBLE_S)
        self.garbling = False
        self.routes.record.write(f"end of it: {self.garbled} answers were garbled")


async def main() -> int:
    """Run the case."""
    case = Case()
    return await case.routes.run(case.disturb)


run_case(main)
