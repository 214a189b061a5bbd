"""Measures the processor time of the event log per event and per query."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from typing import Annotated, NamedTuple

import structlog
import typer
from structlog.typing import FilteringBoundLogger

from sardinehook.observe.clock import HybridClock
from sardinehook.observe.events import EventName, configure_logging, log_event
from sardinehook.observe.metrics import Attempt, Metrics
from sardinehook.observe.sampling import QueryLog, QuerySampler

US_PER_S = 1e6
ROUNDS = 5
VERY_LARGE = 1 << 62


class Cost(NamedTuple):
    """Processor time of one operation in microseconds, the minimum of all rounds."""

    name: str
    microseconds: float


def measure(name: str, count: int, action: Callable[[], object]) -> Cost:
    """Return the processor time per call, the minimum of ``ROUNDS`` rounds."""
    action()
    rounds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(count):
            action()
        rounds.append((time.process_time() - started) / count)
    return Cost(name, min(rounds) * US_PER_S)


def run_query(
    logger: FilteringBoundLogger,
    clock: HybridClock,
    sampler: QuerySampler,
    sub_queries: int,
    failed: bool,
) -> None:
    """Log a query as the HTTP front end does: two events for each sub-query."""
    log = QueryLog(logger, clock, sampler, "r-12345678")
    log.record(EventName.QUERY_RECEIVED, workload="storm", asked=sub_queries)
    for number in range(sub_queries):
        log.record(EventName.SUB_QUERY_SENT, target="logfinder-07-a", sub_query=number)
        log.record(EventName.SUB_QUERY_ENDED, target="logfinder-07-a", sub_query=number)
    log.end(EventName.QUERY_ANSWERED, failed, asked=sub_queries, took_ms=12.5)


def log_costs(sub_queries: int, count: int) -> list[Cost]:
    """Measure events and queries, written to the null device line by line."""
    clock, metrics = HybridClock(time.time), Metrics()
    sampler = QuerySampler(VERY_LARGE, events_per_second=VERY_LARGE)
    logger = structlog.get_logger()
    with open(os.devnull, "w", encoding="utf-8") as stream:
        configure_logging(stream, "entry-1", "duluth", clock)

        def log_refusal() -> None:
            log_event(
                logger,
                EventName.QUERY_REFUSED,
                request="r-12345678",
                workload="storm",
                kind="overloaded",
                detail="the queue is full",
            )

        def count_query() -> None:
            metrics.observe_answer("storm", 0.04, 0.99)
            metrics.count_sub_queries("storm", Attempt.FIRST, sub_queries)

        def query(failed: bool) -> Callable[[], None]:
            return lambda: run_query(logger, clock, sampler, sub_queries, failed)

        costs = [
            measure("event written", count, log_refusal),
            measure("stamp", count, clock.tick),
            measure("query not sampled", max(count // 20, 1), query(False)),
            measure("query in trouble", max(count // 100, 1), query(True)),
            measure("metrics of a query", count, count_query),
            measure("metrics rendered", max(count // 100, 1), metrics.render),
        ]
    structlog.reset_defaults()
    return costs


def main(
    sub_queries: Annotated[int, typer.Option(help="Sub-queries of a query.")] = 50,
    count: Annotated[int, typer.Option(help="Events for each round.")] = 20_000,
) -> None:
    """Print the cost of each operation in microseconds of processor time."""
    for cost in log_costs(sub_queries, count):
        sys.stdout.write(f"{cost.name}: {cost.microseconds:.2f} us\n")


if __name__ == "__main__":
    typer.run(main)
