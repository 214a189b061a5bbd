"""Tests of the log parser and of the timeline."""

from __future__ import annotations

from io import StringIO

import structlog
from hypothesis import given
from hypothesis import strategies as st

from sardinehook.observe.clock import HybridClock
from sardinehook.observe.events import EventName, configure_logging, log_event
from sardinehook.observe.logfmt import ParsedLog, parse_line, parse_log
from sardinehook.observe.timeline import (
    Selection,
    build_timeline,
    group_rows,
    render_text,
)
from sardinehook.observe.timeline_page import render_page

ALL_EVENTS = Selection()


class Node:
    """A process with its own wall clock and log."""

    def __init__(self, name: str, data_centre: str, wall: float) -> None:
        self.name = name
        self.data_centre = data_centre
        self.clock = HybridClock(lambda: wall)
        self.stream = StringIO()

    def log(self, event: EventName, **fields: str | int) -> None:
        configure_logging(self.stream, self.name, self.data_centre, self.clock)
        log_event(structlog.get_logger(), event, **fields)  # type: ignore[arg-type]
        structlog.reset_defaults()

    def parsed(self) -> ParsedLog:
        return parse_log(self.stream.getvalue().splitlines())


def log_hedged_query() -> list[Node]:
    """Log a query that is hedged to an owner whose clock is 90 s behind."""
    front, owner = Node("entry-1", "duluth", 100.0), Node("entry-2", "marquette", 10.0)
    front.log(EventName.QUERY_RECEIVED, request="r-1", workload="storm")
    front.log(EventName.QUERY_RECEIVED, request="r-2", workload="storm")
    front.log(EventName.SUB_QUERY_SENT, request="r-1", target="a")
    front.log(EventName.SUB_QUERY_HEDGED, request="r-1", target="b")
    owner.clock.witness(front.clock.tick())
    owner.log(EventName.OWNER_STARTED, request="r-1", target="b")
    front.clock.witness(owner.clock.tick())
    front.log(EventName.QUERY_ANSWERED, request="r-1")
    return [owner, front]


def render(nodes: list[Node], selection: Selection = ALL_EVENTS) -> list[str]:
    timeline = build_timeline([node.parsed() for node in nodes], selection)
    return list(render_text(timeline, group_rows(timeline)))


class TestParse:
    @given(st.text(), st.text())
    def test_what_was_logged_is_read_back(self, detail: str, cause: str) -> None:
        node = Node("p", "d", 1.0)
        node.log(EventName.QUERY_FAILED, detail=detail, cause=cause)
        (line,) = node.parsed().lines
        if detail.isprintable() and "\\" not in detail:
            assert line.fields["detail"] == detail
        assert line.event == "query_failed"

    @given(st.text())
    def test_any_text_is_read_or_counted(self, text: str) -> None:
        parsed = parse_log([text])
        assert len(parsed.lines) + parsed.malformed == bool(text.strip())

    def test_malformed_lines_are_counted_and_skipped(self) -> None:
        good = "stamp=1 event=e process=p data_centre=d"
        bad = ["Traceback:", "stamp=x event=e process=p", "event=e process=p", "a=1 b"]
        parsed = parse_log([good, *bad, "", f"stamp={1 << 64} event=e process=p"])
        assert (len(parsed.lines), parsed.malformed) == (1, 5)
        assert parse_line("stamp=" + "9" * 70_000) is None


class TestTimeline:
    def test_events_are_in_causal_order_despite_clock_skew(self) -> None:
        events = [row.split()[3] for row in render(log_hedged_query())[:-1]]
        assert events == [
            "query_received",
            "query_received",
            "sub_query_sent",
            "sub_query_hedged",
            "owner_started",
            "query_answered",
        ]

    def test_request_filter_selects_all_events_of_one_request(self) -> None:
        rows = render(log_hedged_query(), Selection(request="r-1"))
        assert len(rows) == 6
        assert not any("r-2" in row for row in rows)
        assert rows[-1] == "5 events of 2 processes in 0 ms"

    def test_order_filter_joins_requests_that_repeat_the_order(self) -> None:
        first, second = Node("e1", "d", 1.0), Node("e2", "d", 2.0)
        first.log(EventName.ORDER_SENT, request="r-1", order="A-17")
        first.log(EventName.ORDER_SENT, request="r-2", order="B-1")
        second.log(EventName.ORDER_REPEATED, request="r-3", order="A-17")
        rows = render([first, second], Selection(order="A-17"))
        assert [row.split()[3] for row in rows[:-1]] == ["order_sent", "order_repeated"]

    def test_filters_by_target_and_data_centre(self) -> None:
        assert len(render(log_hedged_query(), Selection(target="b"))) == 3
        assert len(render(log_hedged_query(), Selection(data_centre="duluth"))) == 6

    def test_summary_says_when_revision_was_in_force_on_all_processes(self) -> None:
        nodes = [Node(f"entry-{n}", "duluth", 100.0 + n) for n in range(3)]
        nodes[0].log(EventName.REVISION_ACCEPTED, revision=7)
        for node in nodes:
            node.log(EventName.REVISION_IN_FORCE, revision=7)
            node.log(EventName.REVISION_IN_FORCE, revision=8)
        rows = render(nodes, Selection(revision=7))
        assert len(rows) == 6
        assert rows[-1] == (
            "revision 7 in force on 3 processes, the last entry-2, 2000 ms after the "
            "first"
        )

    def test_runs_of_similar_events_are_one_row(self) -> None:
        node = Node("p", "d", 1.0)
        for number in range(50):
            node.log(EventName.SUB_QUERY_SENT, request="r", target=f"t{number}")
        for outcome in ("answered", "answered", "late", "answered"):
            node.log(EventName.SUB_QUERY_ENDED, request="r", outcome=outcome)
        rows = render([node])
        assert len(rows) == 1 + 4 + 1
        assert "sub_query_sent x50" in rows[0]
        assert "target=t0..t49" in rows[0]
        assert "outcome=late" in rows[3]

    def test_summary_counts_malformed_lines(self) -> None:
        node = Node("p", "d", 1.0)
        node.stream.write("garbage\n")
        assert render([node])[-1] == "1 malformed lines left out"

    def test_page_has_column_per_process_and_escapes_logged_text(self) -> None:
        nodes = log_hedged_query()
        nodes[0].log(EventName.QUERY_FAILED, detail="<script>alert(1)</script>")
        timeline = build_timeline([node.parsed() for node in nodes], ALL_EVENTS)
        page = render_page(timeline, group_rows(timeline), "<b>")
        assert "<th>entry-1<br>duluth</th><th>entry-2<br>marquette</th>" in page
        assert page.count("<tr><td") == 7
        assert 'class="trouble"' in page
        assert "<script" not in page
        assert "&lt;script&gt;" in page
