"""Measures orders over HTTP against the simulated platform, in one process.

``python -m bench.order_cost`` prints store calls, latencies and processor time.
"""

from __future__ import annotations

import os
import time
from collections.abc import Coroutine
from itertools import count
from typing import Annotated, Any, cast

import numpy as np
import typer
from returns.result import Success
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater, react

from bench.http_server import ListeningReactor, listen
from bench.platform import Platform
from sardinehook.messages import Outcome, SubQuery, SubReply
from sardinehook.observe.clock import HybridClock
from sardinehook.observe.events import configure_logging
from sardinehook.observe.metrics import Metrics
from sardinehook.order.claim import Claimant, OrderRequest
from sardinehook.order.coordinator import OrderCoordinator
from sardinehook.store.http_store import HttpStore

RETENTION_MS = 86_400_000.0
STORE_TIMEOUT_MS = 1000.0
DEADLINE_MS = 5000.0
MS_PER_S = 1000.0
PERCENTILES = (50, 99)


class OrderBenchmark:
    """An order coordinator whose target replies after ``service_ms``."""

    def __init__(self, reactor: Any, delay_ms: float, service_ms: float) -> None:  # noqa: ANN401
        self.reactor = reactor
        self.service_s = service_ms / MS_PER_S
        self.platform = Platform(reactor)
        self.platform.faults = self.platform.faults._replace(delay_ms=delay_ms)
        self.platform.start()
        self.port = listen(cast(ListeningReactor, reactor), self.platform)
        address = f"127.0.0.1:{self.port.getHost().port}"
        self.store = HttpStore(reactor, address, STORE_TIMEOUT_MS)
        self.started: dict[str, float] = {}
        self.before_send_ms: list[float] = []
        self.total_ms: list[float] = []
        self.coordinator = OrderCoordinator(
            self.store,
            "trial",
            Claimant("entry-1", "1"),
            reactor,
            time.time,
            self.send,
            count(1),
            RETENTION_MS,
            Metrics(),
        )

    def send(self, sub_query: SubQuery) -> Deferred[SubReply]:
        """Reply to an order after the service time."""
        elapsed = time.perf_counter() - self.started[sub_query.request_id]
        self.before_send_ms.append(elapsed * MS_PER_S)
        reply = SubReply(
            sub_query.sub_query_id, Outcome.ANSWERED, 1, 1, 0.0, 1.0, True, "", b"{}"
        )
        return deferLater(self.reactor, self.service_s, lambda: reply)

    async def place(self, number: int) -> None:
        """Place one order and record its latency; raises RuntimeError if it fails."""
        request = f"r-{number}"
        self.started[request] = time.perf_counter()
        order = OrderRequest(
            request, "orders", f"key-{number}", "s", "t", DEADLINE_MS, 5, b"{}"
        )
        result = await self.coordinator.place(order)
        if not isinstance(result, Success):
            raise RuntimeError(str(result))
        elapsed = time.perf_counter() - self.started[request]
        self.total_ms.append(elapsed * MS_PER_S)

    async def run(self, orders: int, at_once: int) -> None:
        """Place orders in batches of ``at_once``."""
        for first in range(0, orders, at_once):
            batch = [
                Deferred.fromCoroutine(self.place(first + number))
                for number in range(at_once)
            ]
            await gatherResults(batch)
        await self.coordinator.drain()
        self.platform.stop()
        await cast("Deferred[object]", self.store.close())
        await cast("Deferred[object]", self.port.stopListening())

    def report(self) -> None:
        """Print store calls, latencies and processor time."""
        placed = len(self.total_ms)
        calls = dict(self.platform.counts.calls)
        print(f"orders: {placed}, store calls: {calls}")
        for name, values in (
            ("before sending", self.before_send_ms),
            ("whole order", self.total_ms),
        ):
            p50, p99 = np.percentile(values, PERCENTILES)
            print(f"{name}: p50 {p50:.2f} ms, p99 {p99:.2f} ms")
        print(f"processor time an order: {time.process_time() / placed * 1e3:.2f} ms")


def main(
    orders: Annotated[int, typer.Option(help="Orders to place.")] = 1000,
    at_once: Annotated[int, typer.Option(help="Orders in flight.")] = 4,
    delay_ms: Annotated[float, typer.Option(help="Delay of the store.")] = 3.0,
    service_ms: Annotated[float, typer.Option(help="Time at the target.")] = 20.0,
) -> None:
    """Place orders and print their cost."""
    stream = open(os.devnull, "w", encoding="utf-8")
    configure_logging(stream, "entry-1", "duluth", HybridClock(time.time))

    def start(reactor: Any) -> Deferred[None]:  # noqa: ANN401
        benchmark = OrderBenchmark(reactor, delay_ms, service_ms)
        running: Coroutine[Any, Any, None] = benchmark.run(orders, at_once)
        return Deferred.fromCoroutine(running).addCallback(lambda _: benchmark.report())

    react(start, (), _reactor=default_reactor)


if __name__ == "__main__":
    typer.run(main)
