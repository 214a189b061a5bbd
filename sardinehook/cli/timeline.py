"""The ``timeline`` command: merges the logs of processes into one time line."""

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
    files: Annotated[list[Path], typer.Argument(help="Log files of processes.")],
    request: Annotated[str, typer.Option(help="Only events of this request.")] = "",
    order: Annotated[str, typer.Option(help="Only events of this order key.")] = "",
    target: Annotated[str, typer.Option(help="Only events of this replica.")] = "",
    revision: Annotated[int, typer.Option(help="Only events of this revision.")] = 0,
    data_centre: Annotated[
        str, typer.Option(help="Only events of this data centre.")
    ] = "",
    every: Annotated[
        bool, typer.Option("--every", help="One row for each event, without folding.")
    ] = False,
    html: Annotated[
        Path | None, typer.Option(help="Write a static HTML page to this file instead.")
    ] = None,
) -> None:
    """Merge the logs of processes in causal order and print one time line."""
    selection = Selection(request, target, revision, data_centre, order)
    merged = build_timeline(read_logs(files), selection)
    rows = ungrouped_rows(merged.lines) if every else group_rows(merged)
    if html is None:
        for text in render_text(merged, rows):
            typer.echo(text)
        return
    selected = [f"{key} {value}" for key, value in selection._asdict().items() if value]
    title = "Time line" + "".join(f", {criterion}" for criterion in selected)
    try:
        html.write_text(render_page(merged, rows, title), encoding="utf-8")
    except OSError as error:
        exit_with_problems(Problem(ErrorKind.INVALID_SETTINGS, str(error)))
    typer.echo(f"{len(merged.lines)} events written to {html}")


def read_logs(files: list[Path]) -> Iterator[ParsedLog]:
    """Read and parse logs one by one; bytes that are not UTF-8 are replaced."""
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace", newline="\n") as lines:
                yield parse_log(lines)
        except OSError as error:
            exit_with_problems(Problem(ErrorKind.INVALID_SETTINGS, str(error)))
