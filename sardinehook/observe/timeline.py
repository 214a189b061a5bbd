"""One time line of the events of many processes, in the order of cause."""

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
    """Which events to show; an empty field selects all.

    ``revision`` zero selects all. ``target`` is the name of a replica and ``order``
    the idempotency key of an order.
    """

    request: str = ""
    target: str = ""
    revision: int = 0
    data_centre: str = ""
    order: str = ""

    def matches(self, line: LogLine) -> bool:
        """Tell whether an event is to be shown."""
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
    """Events in the order of cause, the processes in that of their first event."""

    lines: list[LogLine]
    processes: list[str]
    malformed: int

    def offset_ms(self, line: LogLine) -> float:
        """Return the time of an event after the first one in milliseconds."""
        first = stamp_seconds(self.lines[0].stamp)
        return (stamp_seconds(line.stamp) - first) * MS_PER_SECOND


class Row(NamedTuple):
    """Events that are drawn as one: a single one, or a run of like ones."""

    lines: list[LogLine]

    @property
    def first(self) -> LogLine:
        """The first event of the row."""
        return self.lines[0]

    @property
    def title(self) -> str:
        """The event, with the number of times if it is more than one."""
        count = len(self.lines)
        return self.first.event if count == 1 else f"{self.first.event} x{count}"


def build_timeline(logs: Iterable[ParsedLog], selection: Selection) -> Timeline:
    """Merge logs by hybrid stamp, so that no event comes before its cause."""
    lines: list[LogLine] = []
    malformed = 0
    for log in logs:
        malformed += log.malformed
        lines += [line for line in log.lines if selection.matches(line)]
    lines.sort(key=lambda line: (line.stamp, line.process))
    processes = list(dict.fromkeys(line.process for line in lines))
    return Timeline(lines, processes, malformed)


def group_rows(timeline: Timeline) -> list[Row]:
    """Put runs of like events of a process into one row each."""
    rows: list[Row] = []
    for _, run in groupby(timeline.lines, key=grouping_key):
        lines = list(run)
        if len(lines) < MIN_GROUPED_EVENTS:
            rows += ungrouped_rows(lines)
        else:
            rows.append(Row(lines))
    return rows


def grouping_key(line: LogLine) -> tuple[str, ...]:
    """Return what events of one row have in common."""
    same = [line.fields.get(key, "") for key in GROUPING_FIELDS]
    return (line.process, line.event, *same)


def ungrouped_rows(lines: Iterable[LogLine]) -> list[Row]:
    """Return a row for each event."""
    return [Row([line]) for line in lines]


def render_text(timeline: Timeline, rows: Iterable[Row]) -> Iterator[str]:
    """Draw a time line for a terminal."""
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
    """Show the fields of a row as key=value pairs, empty ones left out.

    Of events that are drawn as one, a field that differs shows its first and its
    last value.
    """
    last = row.lines[-1].fields
    shown = []
    for key, value in row.first.fields.items():
        other = last.get(key, "")
        if value and value == other:
            shown.append(f"{key}={value}")
        elif value:
            shown.append(f"{key}={value}..{other}")
    return printable(" ".join(shown))


def summarise(timeline: Timeline) -> Iterator[str]:
    """Sum up a time line: its size, and when each revision was in force."""
    count, processes = len(timeline.lines), len(timeline.processes)
    span = timeline.offset_ms(timeline.lines[-1]) if timeline.lines else 0.0
    yield f"{count} events of {processes} processes in {span:.0f} ms"
    if timeline.malformed:
        yield f"{timeline.malformed} malformed lines left out"
    for revision, lines in events_in_force(timeline).items():
        first, last = lines[0], lines[-1]
        spread = timeline.offset_ms(last) - timeline.offset_ms(first)
        nodes = len({line.process for line in lines})
        yield (
            f"revision {printable(revision)} in force on {nodes} processes, "
            f"the last {printable(last.process)}, {spread:.0f} ms after the first"
        )


def events_in_force(timeline: Timeline) -> dict[str, list[LogLine]]:
    """Return for each revision the events by which processes put it in force."""
    found: dict[str, list[LogLine]] = {}
    for line in timeline.lines:
        if line.event == EventName.REVISION_IN_FORCE:
            found.setdefault(line.fields.get("revision", "?"), []).append(line)
    return found
