"""Measures one owner and one target on a fake clock, with and without its features.

The features are the concurrency ramp after a cold start and the connection probe.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Annotated, NamedTuple, cast
from unittest.mock import patch

import numpy as np
import structlog
import typer

from bench.memory_reactor import MemoryReactor
from bench.target import TargetGroup
from bench.target_host import ListeningReactor
from bench.target_settings import Control, ReplicaSettings, TargetSettings
from sardinehook.environment.document import Index, Replica
from sardinehook.messages import Outcome, SubQuery, SubReply
from sardinehook.target.allowance import Allowance
from sardinehook.target.limits import OwnerLimits
from sardinehook.target.owner import TargetOwner

__all__ = ["Figures", "main"]

SLOTS = 3
TICK_S = 0.0005
RUN_S = 10.0
FAULT_INTERVAL_S = 2.0
DEADLINE_MS = 150.0


class Figures(NamedTuple):
    """The results of one run; times in milliseconds."""

    sub_queries: int
    answered: float
    not_run: float
    p50_ms: float
    p99_ms: float
    worst_ms: float
    sent_per_answer: float
    fell_over: int
    peak_cold: int


def run_scene(
    seed: int, cold_start_slots: int, gap_s: float, fault: Control | None
) -> Figures:
    """Load one target for ``RUN_S``, applying ``fault`` every ``FAULT_INTERVAL_S``."""
    reactor = MemoryReactor()
    settings = ReplicaSettings(
        service="s", index="i", name="s-a", slots=SLOTS, straggler_rate=0.01
    )
    group = TargetGroup(
        cast(ListeningReactor, reactor), TargetSettings([settings], seed=seed)
    )
    group.listen()
    replica = Replica("s-a", "dc", group.addresses()[0].address)
    owner = TargetOwner(reactor, OwnerLimits())
    owner.configure({"i": Index(SLOTS, 25, 1.0, {"s": [replica]}, cold_start_slots)})
    owner.set_allowance("s-a", Allowance(SLOTS, 20, True))
    replies: list[tuple[SubReply, float]] = []
    load(reactor, owner, group, gap_s, fault, replies)
    for _ in range(round(0.5 / TICK_S)):
        reactor.advance(TICK_S)
    return summarise(replies, group)


def load(
    reactor: MemoryReactor,
    owner: TargetOwner,
    group: TargetGroup,
    gap_s: float,
    fault: Control | None,
    replies: list[tuple[SubReply, float]],
) -> None:
    """Submit sub-queries at a constant rate and record replies with their latencies."""
    next_query_s, next_fault_s = 0.5, 2.0
    number = 0
    while reactor.seconds() < RUN_S:
        reactor.advance(TICK_S)
        now = reactor.seconds()
        if fault is not None and now >= next_fault_s:
            next_fault_s += FAULT_INTERVAL_S
            group.control(fault)
        while now >= next_query_s:
            next_query_s += gap_s
            number += 1
            query = SubQuery(
                number, f"r{number}", "s", "s-a", 0, 0, DEADLINE_MS, 5, "", b"{}"
            )
            owner.submit("peer", query, record_reply(replies, reactor, now))


def record_reply(
    replies: list[tuple[SubReply, float]], reactor: MemoryReactor, begun_at: float
) -> Callable[[SubReply], None]:
    """Return a callback that records a reply with its latency in milliseconds."""
    return lambda reply: replies.append(
        (reply, (reactor.seconds() - begun_at) * 1000.0)
    )


def summarise(replies: list[tuple[SubReply, float]], group: TargetGroup) -> Figures:
    """Compute the results of one run."""
    outcomes = Counter(reply.outcome for reply, _ in replies)
    answered = [ms for reply, ms in replies if reply.outcome is Outcome.ANSWERED]
    p50, p99, worst = np.percentile(answered or [np.nan], [50, 99, 100])
    counters = group.hosts["s-a"].model.counters
    return Figures(
        len(replies),
        outcomes[Outcome.ANSWERED] / len(replies),
        outcomes[Outcome.NOT_RUN] / len(replies),
        float(p50),
        float(p99),
        float(worst),
        counters.begun / max(1, len(answered)),
        counters.fell_over,
        counters.peak_in_flight_cold,
    )


def show(scene: str, way: str, seed: int, figures: Figures) -> None:
    """Print the results of one run on one line."""
    values = " ".join(
        f"{name}={value:.4g}" for name, value in figures._asdict().items()
    )
    print(f"scene={scene} way={way} seed={seed} {values}")


def main(seeds: Annotated[int, typer.Option(help="Seeds of each scene.")] = 3) -> None:
    """Compare runs with the ramp and the probe to runs without them."""
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    cold, silence = Control(do="cold"), Control(do="silence")
    restart = Control(do="restart")
    for seed in range(1, seeds + 1):
        show("fault-free", "ramp", seed, run_scene(seed, 1, 0.004, None))
        for name, fault in (("cold", cold), ("restart", restart)):
            show(name, "ramp", seed, run_scene(seed, 1, 0.002, fault))
            show(name, "none", seed, run_scene(seed, SLOTS, 0.002, fault))
        show("silence", "probe", seed, run_scene(seed, 1, 0.004, silence))
        with patch("sardinehook.target.exchanges.probe_delay_s", lambda *_: None):
            show("silence", "none", seed, run_scene(seed, 1, 0.004, silence))


if __name__ == "__main__":
    typer.run(main)
