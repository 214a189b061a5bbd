"""Renders a timeline as a static HTML page with one column per process."""

from __future__ import annotations

from collections.abc import Iterable
from html import escape
from string import Template

from sardinehook.observe.events import WARNING_EVENTS
from sardinehook.observe.logfmt import LogLine
from sardinehook.observe.timeline import Row, Timeline, format_fields, summarise

__all__ = ["render_page"]

PAGE_TEMPLATE = Template(
    """<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>$title</title>
<style>
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eee; }
th, td { border-left: 1px solid #ccc; padding: 1px 6px; vertical-align: top; }
td.time { text-align: right; white-space: nowrap; color: #555; }
td div { border-radius: 4px; padding: 2px 5px; background: #e4eefa; }
td div.trouble { background: #f8d4d0; }
td b { white-space: nowrap; }
td span { color: #444; font-size: 11px; overflow-wrap: anywhere; }
</style>
</head>
<body>
<h1>$title</h1>
$summary
<table>
<thead><tr><th>ms</th>$heads</tr></thead>
<tbody>
$rows
</tbody>
</table>
</body>
</html>
"""
)
PROBLEM_WORDS = ("refused", "failed", "lost", "silent", "dropped", "withdrawn")


def render_page(timeline: Timeline, rows: Iterable[Row], title: str) -> str:
    """Render a timeline as HTML; all text from logs is escaped."""
    data_centres = {line.process: line.data_centre for line in timeline.lines}
    heads = "".join(
        f"<th>{escape(process)}<br>{escape(data_centres[process])}</th>"
        for process in timeline.processes
    )
    return PAGE_TEMPLATE.substitute(
        title=escape(title),
        summary="\n".join(f"<p>{escape(text)}</p>" for text in summarise(timeline)),
        heads=heads,
        rows="\n".join(render_row(timeline, row) for row in rows),
    )


def render_row(timeline: Timeline, row: Row) -> str:
    """Render one row, with its event in the column of its process."""
    line = row.first
    column = timeline.processes.index(line.process)
    before = "<td></td>" * column
    after = "<td></td>" * (len(timeline.processes) - column - 1)
    style = ' class="trouble"' if is_problem(line) else ""
    event, fields = escape(row.title), escape(format_fields(row))
    return (
        f'<tr><td class="time">{timeline.offset_ms(line):.0f}</td>{before}'
        f"<td><div{style}><b>{event}</b> <span>{fields}</span></div></td>{after}</tr>"
    )


def is_problem(line: LogLine) -> bool:
    """Return whether an event is highlighted as a problem."""
    if line.event in {event.value for event in WARNING_EVENTS}:
        return True
    return any(word in line.event for word in PROBLEM_WORDS)
