"""The command that draws the events of all processes as one time line."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from sardinehook.cli.failure import exit_with_problems
from sardinehook.errors import ErrorKind, Problem
from sardinehook.observe.logfmt import ParsedLog, parse_log
from sardinehook.observe.timeline import (
    Selection,
    build_timeline,
    group_rows,
    render_text,
    ungrouped_rows,
)
from sardinehook.observe.timeline_page import render_page

__all__ = ["timeline"]


def timeline(
    files: Annotated[list[Path], typer.Argument(help="Logs of processes.")],
    request: Annotated[str, typer.Option(help="Only this request's story.")] = "",
    order: Annotated[str, typer.Option(help="Only this order key's story.")] = "",
    target: Annotated[str, typer.Option(help="Only events of this replica.")] = "",
    revision: Annotated[int, typer.Option(help="Only this revision's story.")] = 0,
    data_centre: Annotated[
        str, typer.Option(help="Only events of this data centre.")
    ] = "",
    every: Annotated[
        bool, typer.Option("--every", help="One row for every event, none folded.")
    ] = False,
    html: Annotated[
        Path | None, typer.Option(help="Write one static HTML page here instead.")
    ] = None,
) -> None:
    """Merge the logs of processes by cause and draw them as one time line."""
    selection = Selection(request, target, revision, data_centre, order)
    drawn = build_timeline(read_logs(files), selection)
    rows = ungrouped_rows(drawn.lines) if every else group_rows(drawn)
    if html is None:
        for text in render_text(drawn, rows):
            typer.echo(text)
        return
    chosen = [f"{key} {value}" for key, value in selection._asdict().items() if value]
    title = "Time line" + "".join(f", {choice}" for choice in chosen)
    try:
        html.write_text(render_page(drawn, rows, title), encoding="utf-8")
    except OSError as error:
        exit_with_problems(Problem(ErrorKind.INVALID_SETTINGS, str(error)))
    typer.echo(f"{len(drawn.lines)} events written to {html}")


def read_logs(files: list[Path]) -> Iterator[ParsedLog]:
    """Read logs one by one; bytes that are no UTF-8 make a line malformed at most."""
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace", newline="\n") as lines:
                yield parse_log(lines)
        except OSError as error:
            exit_with_problems(Problem(ErrorKind.INVALID_SETTINGS, str(error)))
