"""Error output and exit status of commands."""

from __future__ import annotations

from typing import NoReturn

import typer

from sardinehook.errors import Problem

__all__ = ["exit_with_problems"]

EXIT_FAILURE = 1


def exit_with_problems(*problems: Problem) -> NoReturn:
    """Print each problem as one line to standard error and exit with code 1."""
    for problem in problems:
        typer.echo(f"{problem.kind.value}: {problem.detail}", err=True)
    raise typer.Exit(EXIT_FAILURE)
