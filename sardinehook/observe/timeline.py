"""One time line of the events of many processes, in the order of cause."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sardinehook.observe.clock import stamp_seconds
from sardinehook.observe.events import EventName, printable
from sardinehook.observe.logfmt import LogLine, ParsedLog

__all__ = ["Selection", "Timeline", "build_timeline", "render_text", "summarise"]

MS_PER_SECOND = 1000.0
PROCESS_WIDTH = 14
EVENT_WIDTH = 22


class Selection(NamedTuple):
    """Which events to show; an empty field selects all.

    ``revision`` zero selects all. ``target`` is the name of a replica.
    """

    request: str = ""
    target: str = ""
    revision: int = 0
    data_centre: str = ""

    def takes(self, line: LogLine) -> bool:
        """Tell whether an event is to be shown."""
        fields = line.fields
        if self.request and self.request not in (
            fields.get("request"),
            fields.get("cause"),
        ):
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


def build_timeline(logs: Iterable[ParsedLog], selection: Selection) -> Timeline:
    """Merge logs by hybrid stamp, so that no event comes before its cause."""
    lines: list[LogLine] = []
    malformed = 0
    for log in logs:
        malformed += log.malformed
        lines += [line for line in log.lines if selection.takes(line)]
    lines.sort(key=lambda line: (line.stamp, line.process))
    processes = list(dict.fromkeys(line.process for line in lines))
    return Timeline(lines, processes, malformed)


def render_text(timeline: Timeline) -> Iterator[str]:
    """Draw a time line for a terminal, one event in a row."""
    for line in timeline.lines:
        offset = f"+{timeline.offset_ms(line):.0f} ms"
        process = printable(line.process)
        event = printable(line.event)
        yield (
            f"{offset:>12}  {process:<{PROCESS_WIDTH}} {event:<{EVENT_WIDTH}} "
            f"{show_fields(line)}"
        ).rstrip()
    yield from summarise(timeline)


def show_fields(line: LogLine) -> str:
    """Show the fields of an event as key=value pairs, empty ones left out."""
    shown = [f"{key}={value}" for key, value in line.fields.items() if value]
    return printable(" ".join(shown))


def summarise(timeline: Timeline) -> Iterator[str]:
    """Sum up a time line: its size, and when each revision was in force."""
    count, processes = len(timeline.lines), len(timeline.processes)
    span = timeline.offset_ms(timeline.lines[-1]) if timeline.lines else 0.0
    yield f"{count} events of {processes} processes in {span:.0f} ms"
    if timeline.malformed:
        yield f"{timeline.malformed} malformed lines left out"
    for revision, lines in in_force(timeline).items():
        first, last = lines[0], lines[-1]
        spread = timeline.offset_ms(last) - timeline.offset_ms(first)
        nodes = len({line.process for line in lines})
        yield (
            f"revision {printable(revision)} in force on {nodes} processes, "
            f"the last {printable(last.process)}, {spread:.0f} ms after the first"
        )


def in_force(timeline: Timeline) -> dict[str, list[LogLine]]:
    """Return for each revision the events by which processes put it in force."""
    found: dict[str, list[LogLine]] = {}
    for line in timeline.lines:
        if line.event == EventName.REVISION_IN_FORCE:
            found.setdefault(line.fields.get("revision", "?"), []).append(line)
    return found
