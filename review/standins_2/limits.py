"""The check of LIMIT, as the news page has it."""

from __future__ import annotations

from review.standins_2.client import Outcome
from review.standins_2.deployment import Record
from review.standins_2.replica import Replica

STABILITY_S = 4.0
TOLD_S = 0.5
WINDOW_S = 4.0


def allowed(limit_per_s: float) -> float:
    """Return how many requests a limit allows in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


class Told:
    """When each machine first passed on an answer that names a replica's limit."""

    def __init__(self, machines: int) -> None:
        self.machines = machines
        self.told_at: dict[tuple[int, str], float] = {}

    def observe(self, machine: int, outcome: Outcome) -> None:
        """Use an answer that a client has got from a machine."""
        answer = outcome.answer
        if answer is not None and "server-limit" in answer.headers:
            replica = answer.headers["x-server-stamp"].partition(".")[2]
            self.told_at.setdefault((machine, replica), outcome.ended_at)

    def most_requests(self, replica: Replica, record: Record) -> int | None:
        """Return the most requests in a window, ``None`` if that can't be judged.

        It counts from the time at which the rule holds for every machine.
        """
        told = [self.told_at.get((n, replica.identity)) for n in range(self.machines)]
        if None in told or replica.stated_at is None:
            record.write(f"not every machine passed on the limit of {replica.identity}")
            return None
        first = replica.stated_at
        since = max(first + STABILITY_S, *(at + TOLD_S for at in told if at))
        times = [at for at, _, _ in replica.arrivals if at >= since]
        most = max(
            (sum(s <= t < s + WINDOW_S for t in times) for s in times), default=0
        )
        record.write(
            f"{replica.identity}: {most} requests in some 4 s, counted from "
            f"{since - first:.1f} s after the limit was first named"
        )
        return most
