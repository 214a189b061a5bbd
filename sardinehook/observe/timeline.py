"""Merges the event logs of many processes into one timeline in causal order."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from sardinehook.observe.clock import stamp_seconds
from sardinehook.observe.events import EventName, printable
from sardinehook.observe.logfmt import LogLine, ParsedLog

__all__ = [
    "Row",
    "Selection",
    "Timeline",
    "build_timeline",
    "group_rows",
    "render_text",
    "summarise",
    "ungrouped_rows",
]

MS_PER_SECOND = 1000.0
MAX_PROCESS_WIDTH = 24
EVENT_WIDTH = 24
MIN_GROUPED_EVENTS = 3
GROUPING_FIELDS = ("request", "outcome", "kind", "state", "revision", "cause", "order")


class Selection(NamedTuple):
    """Filter for events; an empty field matches all.

    ``revision`` zero matches all. ``target`` is the name of a replica and ``order``
    the idempotency key of an order.
    """

    request: str = ""
    target: str = ""
    revision: int = 0
    data_centre: str = ""
    order: str = ""

    def matches(self, line: LogLine) -> bool:
        """Return whether an event matches all fields of the filter."""
        fields = line.fields
        if self.request and self.request not in (
            fields.get("request"),
            fields.get("cause"),
        ):
            return False
        if self.order and fields.get("order") != self.order:
            return False
        if self.target and fields.get("target") != self.target:
            return False
        if self.revision and fields.get("revision") != str(self.revision):
            return False
        return not self.data_centre or line.data_centre == self.data_centre


class Timeline(NamedTuple):
    """Events in causal order, and processes in the order of their first event."""

    lines: list[LogLine]
    processes: list[str]
    malformed: int

    def offset_ms(self, line: LogLine) -> float:
        """Return the milliseconds from the first event to ``line``."""
        first = stamp_seconds(self.lines[0].stamp)
        return (stamp_seconds(line.stamp) - first) * MS_PER_SECOND


class Row(NamedTuple):
    """One row of the timeline: a single event or a run of similar events."""

    lines: list[LogLine]

    @property
    def first(self) -> LogLine:
        """The first event of the row."""
        return self.lines[0]

    @property
    def title(self) -> str:
        """The event name, with the count if the row has more than one event."""
        count = len(self.lines)
        return self.first.event if count == 1 else f"{self.first.event} x{count}"


def build_timeline(logs: Iterable[ParsedLog], selection: Selection) -> Timeline:
    """Merge the selected events of logs by hybrid stamp, that is, in causal order."""
    lines: list[LogLine] = []
    malformed = 0
    for log in logs:
        malformed += log.malformed
        lines += [line for line in log.lines if selection.matches(line)]
    lines.sort(key=lambda line: (line.stamp, line.process))
    processes = list(dict.fromkeys(line.process for line in lines))
    return Timeline(lines, processes, malformed)


def group_rows(timeline: Timeline) -> list[Row]:
    """Group runs of ``MIN_GROUPED_EVENTS`` or more similar events into rows."""
    rows: list[Row] = []
    for _, similar in groupby(timeline.lines, key=grouping_key):
        lines = list(similar)
        if len(lines) < MIN_GROUPED_EVENTS:
            rows += ungrouped_rows(lines)
        else:
            rows.append(Row(lines))
    return rows


def grouping_key(line: LogLine) -> tuple[str, ...]:
    """Return the values that all events of a row share."""
    values = [line.fields.get(key, "") for key in GROUPING_FIELDS]
    return (line.process, line.event, *values)


def ungrouped_rows(lines: Iterable[LogLine]) -> list[Row]:
    """Return a row for each event."""
    return [Row([line]) for line in lines]


def render_text(timeline: Timeline, rows: Iterable[Row]) -> Iterator[str]:
    """Yield the lines of a timeline for a terminal."""
    width = max((len(name) for name in timeline.processes), default=0)
    width = min(width, MAX_PROCESS_WIDTH)
    for row in rows:
        offset = f"+{timeline.offset_ms(row.first):.0f} ms"
        process, event = printable(row.first.process), printable(row.title)
        yield (
            f"{offset:>10}  {process:<{width}}  {event:<{EVENT_WIDTH}} "
            f"{format_fields(row)}"
        ).rstrip()
    yield from summarise(timeline)


def format_fields(row: Row) -> str:
    """Format the fields of a row as key=value pairs, omitting empty ones.

    In a row of several events, a field whose first and last values differ shows
    both.
    """
    last = row.lines[-1].fields
    pairs = []
    for key, value in row.first.fields.items():
        last_value = last.get(key, "")
        if value and value == last_value:
            pairs.append(f"{key}={value}")
        elif value:
            pairs.append(f"{key}={value}..{last_value}")
    return printable(" ".join(pairs))


def summarise(timeline: Timeline) -> Iterator[str]:
    """Yield summary lines: event count, and when each revision was in force."""
    count, processes = len(timeline.lines), len(timeline.processes)
    total_ms = timeline.offset_ms(timeline.lines[-1]) if timeline.lines else 0.0
    yield f"{count} events of {processes} processes in {total_ms:.0f} ms"
    if timeline.malformed:
        yield f"{timeline.malformed} malformed lines left out"
    for revision, lines in events_in_force(timeline).items():
        first, last = lines[0], lines[-1]
        span_ms = timeline.offset_ms(last) - timeline.offset_ms(first)
        nodes = len({line.process for line in lines})
        yield (
            f"revision {printable(revision)} in force on {nodes} processes, "
            f"the last {printable(last.process)}, {span_ms:.0f} ms after the first"
        )


def events_in_force(timeline: Timeline) -> dict[str, list[LogLine]]:
    """Return the ``REVISION_IN_FORCE`` events of each revision."""
    by_revision: dict[str, list[LogLine]] = {}
    for line in timeline.lines:
        if line.event == EventName.REVISION_IN_FORCE:
            by_revision.setdefault(line.fields.get("revision", "?"), []).append(line)
    return by_revision
