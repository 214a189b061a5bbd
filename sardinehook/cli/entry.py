"""The command that runs an entry process."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from sardinehook.cli.failure import exit_with_problems
from sardinehook.entry.settings import EntrySettings
from sardinehook.environment.loading import load_yaml
from sardinehook.errors import ErrorKind, Problem

__all__ = ["entry", "read_text"]


def read_text(path: Path) -> str:
    """Read a text file; exit with a one-line error if that fails."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        exit_with_problems(
            Problem(ErrorKind.INVALID_SETTINGS, f"can't read {path}: {error}")
        )


def entry(
    settings: Annotated[Path, typer.Option(help="The settings file (YAML).")],
) -> None:
    """Run an entry process until SIGTERM or SIGINT."""
    text = read_text(settings)
    loaded = load_yaml(EntrySettings, text, str(settings), ErrorKind.INVALID_SETTINGS)
    problems = loaded.swap().value_or(None)
    if problems is not None:
        exit_with_problems(*problems)
    from sardinehook.entry.process import run_entry

    run_entry(loaded.unwrap())
