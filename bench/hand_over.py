"""Measures how long replicas are unserved when ownership moves, and any overlap."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import typer
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bench.fleet_nodes import INDEX, REPLICAS, SLOTS, FleetNode, reactor
from bench.http_server import listen
from bench.platform import Platform

__all__ = ["HandOver", "main"]

POLL_S = 0.002
SETTLE_S = 8.0
SAMPLING_S = 3.0
ROUNDS = 5
LEAVE_LIMIT_S = 5.0


class HandOver(NamedTuple):
    """The gaps of service and the overlaps that one kind of change caused."""

    change: str
    rounds: int
    replicas_moved: int
    gap_median_ms: float
    gap_longest_ms: float
    moments_of_overlap: int


class AllowanceSampler:
    """Samples the allowances of all nodes to find unserved replicas and overlaps."""

    def __init__(self, nodes: list[FleetNode]) -> None:
        self.nodes = nodes
        self.unserved_since: dict[str, float] = {}
        self.gaps: list[float] = []
        self.overlaps = 0

    async def run(self, seconds: float) -> None:
        """Sample every ``POLL_S`` for the given time."""
        end = reactor.seconds() + seconds
        while reactor.seconds() < end:
            self.sample(reactor.seconds())
            await deferLater(reactor, POLL_S)

    def sample(self, now: float) -> None:
        """Check the allowances of every replica once."""
        for replica in REPLICAS:
            shares = [node.fleet.allowance(replica, INDEX) for node in self.nodes]
            cold = sum(share.may_serve_cold for share in shares)
            slots = sum(share.slots for share in shares)
            self.overlaps += cold > 1 or slots > SLOTS
            if not cold:
                self.unserved_since.setdefault(replica.name, now)
            elif replica.name in self.unserved_since:
                self.gaps.append(now - self.unserved_since.pop(replica.name))


class HandOverBenchmark:
    """Measures a fleet that a node repeatedly joins and leaves."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.nodes: list[FleetNode] = []
        self.boots = 0

    def start(self) -> FleetNode:
        """Start a node that joins through the first node."""
        self.boots += 1
        seeds = [node.links.address for node in self.nodes[:1]]
        node = FleetNode(f"e{self.boots}", self.boots, self.address, seeds)
        self.nodes.append(node)
        return node

    async def join(self) -> None:
        """Let a new node join the fleet."""
        self.start()

    async def leave(self) -> None:
        """Let the last node leave gracefully."""
        await self.nodes[-1].fleet.leave(LEAVE_LIMIT_S)

    async def measure(
        self, name: str, change: Callable[[], Awaitable[None]]
    ) -> tuple[list[float], int]:
        """Sample the fleet during one change and return the gaps and overlaps."""
        sampler = AllowanceSampler(self.nodes)
        watching: Deferred[Any] = Deferred.fromCoroutine(sampler.run(SAMPLING_S))
        await change()
        await watching
        return sampler.gaps, sampler.overlaps

    async def run(self) -> list[HandOver]:
        """Measure ``ROUNDS`` joins and planned stops."""
        self.start()
        self.start()
        await deferLater(reactor, SETTLE_S)
        gaps: dict[str, list[float]] = {"join": [], "planned stop": []}
        overlaps = dict.fromkeys(gaps, 0)
        for _ in range(ROUNDS):
            for name, change in (("join", self.join), ("planned stop", self.leave)):
                gaps_found, overlaps_found = await self.measure(name, change)
                gaps[name] += gaps_found
                overlaps[name] += overlaps_found
            await self.nodes.pop().close()
        for node in self.nodes:
            await node.close()
        return [
            summarise(name, gaps_found, overlaps[name])
            for name, gaps_found in gaps.items()
        ]


def summarise(name: str, gaps: list[float], overlaps: int) -> HandOver:
    """Return the figures of one kind of change."""
    ordered = sorted(gaps) or [0.0]
    median = ordered[len(ordered) // 2]
    return HandOver(
        name,
        ROUNDS,
        len(gaps),
        round(median * 1000, 1),
        round(ordered[-1] * 1000, 1),
        overlaps,
    )


def main() -> None:
    """Print a table of the figures of each kind of change."""
    platform = Platform(reactor)
    platform.start()
    port = listen(reactor, platform)
    benchmark = HandOverBenchmark(f"127.0.0.1:{port.getHost().port}")

    def print_table(rows: list[HandOver]) -> None:
        print(" | ".join(HandOver._fields))
        for row in rows:
            print(" | ".join(str(value) for value in row))

    running = Deferred.fromCoroutine(benchmark.run())
    running.addCallback(print_table).addErrback(
        lambda failure: failure.printTraceback()
    )
    running.addBoth(lambda _: reactor.stop())
    reactor.run()


if __name__ == "__main__":
    typer.run(main)
