"""Tests of the event log and of the sampling of query events."""

from __future__ import annotations

from collections.abc import Iterator
from io import StringIO

import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st
from structlog.typing import FilteringBoundLogger

from sardinehook.observe.clock import HybridClock
from sardinehook.observe.events import (
    MAX_VALUE_CHARACTERS,
    EventName,
    configure_logging,
    log_event,
    printable,
)
from sardinehook.observe.sampling import (
    MAX_EVENTS_PER_QUERY,
    QueryLog,
    QuerySampler,
)

NEVER_SAMPLED = 1 << 40


@pytest.fixture
def clock() -> HybridClock:
    return HybridClock(lambda: 12.5)


@pytest.fixture
def stream(clock: HybridClock) -> Iterator[StringIO]:
    stream = StringIO()
    configure_logging(stream, "entry-1", "duluth", clock)
    yield stream
    structlog.reset_defaults()


@pytest.fixture
def logger(stream: StringIO) -> FilteringBoundLogger:
    logger: FilteringBoundLogger = structlog.get_logger()
    return logger


class TestLogEvent:
    def test_each_event_is_one_logfmt_line(
        self, stream: StringIO, logger: FilteringBoundLogger
    ) -> None:
        log_event(logger, EventName.STORE_DOWN, detail="no route", took_ms=1.23456)
        stamp = 12500 << 16
        assert stream.getvalue() == (
            f"stamp={stamp} time=12.500 level=warning event=store_down "
            'process=entry-1 data_centre=duluth detail="no route" took_ms=1.235\n'
        )

    def test_untrusted_text_cannot_forge_a_line(
        self, stream: StringIO, logger: FilteringBoundLogger
    ) -> None:
        log_event(logger, EventName.QUERY_FAILED, detail="x\r\nstamp=1 event=y\x1b[2J")
        assert len(stream.getvalue().splitlines()) == 1
        assert "\x1b" not in stream.getvalue()

    @given(st.text())
    def test_values_are_printable_and_bounded(self, value: str) -> None:
        shown = printable(value)
        assert shown.isprintable()
        assert len(shown) <= 10 * MAX_VALUE_CHARACTERS + 3


class TestQueryLog:
    def test_successful_query_is_not_written_unless_sampled(
        self, stream: StringIO, logger: FilteringBoundLogger, clock: HybridClock
    ) -> None:
        log = QueryLog(logger, clock, QuerySampler(NEVER_SAMPLED), "r-1")
        log.record(EventName.SUB_QUERY_SENT, target="a")
        assert not log.end(EventName.QUERY_ANSWERED, failed=False)
        assert stream.getvalue() == ""

    def test_failed_query_is_written_with_original_stamps_of_its_events(
        self, stream: StringIO, logger: FilteringBoundLogger, clock: HybridClock
    ) -> None:
        log = QueryLog(logger, clock, QuerySampler(NEVER_SAMPLED), "r-1")
        for target in ("a", "b"):
            log.record(EventName.SUB_QUERY_SENT, target=target)
        clock.tick()
        assert log.end(EventName.QUERY_FAILED, failed=True)
        lines = stream.getvalue().splitlines()
        first = 12500 << 16
        assert [line.split()[0] for line in lines] == [
            f"stamp={first}",
            f"stamp={first + 1}",
            f"stamp={first + 3}",
        ]
        assert all("request=r-1" in line for line in lines)

    def test_events_beyond_limit_per_query_are_dropped_and_counted(
        self, stream: StringIO, logger: FilteringBoundLogger, clock: HybridClock
    ) -> None:
        log = QueryLog(logger, clock, QuerySampler(1), "r-1")
        for _ in range(MAX_EVENTS_PER_QUERY + 7):
            log.record(EventName.SUB_QUERY_SENT)
        log.end(EventName.QUERY_ANSWERED, failed=False)
        lines = stream.getvalue().splitlines()
        assert len(lines) == MAX_EVENTS_PER_QUERY + 1
        assert "dropped=7" in lines[-1]

    def test_failed_queries_above_rate_write_only_their_last_event(
        self, stream: StringIO, logger: FilteringBoundLogger, clock: HybridClock
    ) -> None:
        sampler = QuerySampler(NEVER_SAMPLED, events_per_second=20.0)
        for number in range(100):
            log = QueryLog(logger, clock, sampler, f"r-{number}")
            for _ in range(9):
                log.record(EventName.SUB_QUERY_SENT)
            assert log.end(EventName.QUERY_FAILED, failed=True)
        lines = stream.getvalue().splitlines()
        assert len(lines) == 100 + 3 * 9
        assert "dropped=9" in lines[-1]
        assert sampler.try_consume(9, clock.wall() + 1.0)

    def test_sampling_approximates_configured_ratio(self) -> None:
        sampler = QuerySampler(one_in=10)
        kept = sum(sampler.is_sampled(f"r-{number}") for number in range(10_000))
        assert 900 < kept < 1100
