"""What the document commands print."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import typer

from sardinehook.cli.document_session import StatusReport
from sardinehook.cli.failure import exit_with_problems
from sardinehook.environment.canonical import Plain, plain
from sardinehook.environment.change import (
    Accepted,
    Lost,
    Outcome,
    Unchanged,
    problem_of,
)
from sardinehook.environment.difference import Difference
from sardinehook.environment.revision import Revision

__all__ = [
    "print_differences",
    "print_history",
    "print_json",
    "print_outcome",
    "print_status",
]

DIGEST_CHARACTERS = 12
DIFFERENCES_SHOWN = 20


def print_json(value: object) -> None:
    """Print typed data as JSON on one line."""
    typer.echo(msgspec.json.encode(plain(value)).decode())


def print_outcome(outcome: Outcome, json: bool) -> None:
    """Print how a change ended; exit with 1 unless it is in force."""
    if json:
        print_json(outcome_data(outcome))
    match outcome:
        case Accepted(revision) if not json:
            typer.echo(f"accepted: {title(revision)}")
        case Unchanged(revision) if not json:
            typer.echo(f"unchanged: {title(revision)} is the same")
    problem = problem_of(outcome)
    if problem is None:
        return
    if isinstance(outcome, Lost) and not json:
        typer.echo("what is in force differs from yours:", err=True)
        for difference in outcome.differences[:DIFFERENCES_SHOWN]:
            typer.echo(f"  {difference.line()}", err=True)
        more = len(outcome.differences) - DIFFERENCES_SHOWN
        if more > 0:
            typer.echo(f"  and {more} more", err=True)
    exit_with_problems(problem)


def outcome_data(outcome: Outcome) -> dict[str, object]:
    """The outcome of a change as plain data."""
    problem = problem_of(outcome)
    data: dict[str, object] = {
        "outcome": type(outcome).__name__.lower(),
        "detail": problem.detail if problem else "",
    }
    match outcome:
        case Accepted(revision) | Unchanged(revision):
            data.update(identity(revision))
        case Lost(winner=Revision() as winner, differences=found):
            data.update(identity(winner))
            data["differences"] = list(found)
    return data


def identity(revision: Revision) -> dict[str, Plain]:
    """A revision without its document, as plain data."""
    return {
        "environment": revision.document.environment,
        "revision": revision.number,
        "digest": revision.digest,
        "change_id": revision.change_id,
        "author": revision.author,
        "note": revision.note,
    }


def title(revision: Revision) -> str:
    """A revision in a few words."""
    environment = revision.document.environment
    digest = revision.digest[:DIGEST_CHARACTERS]
    return f"{environment} revision {revision.number}, digest {digest}"


def print_differences(found: Sequence[Difference], json: bool) -> None:
    """Print differences."""
    if json:
        print_json(list(found))
        return
    if not found:
        typer.echo("no difference")
    for difference in found:
        typer.echo(difference.line())


def print_history(found: Sequence[Revision], json: bool) -> None:
    """Print revisions."""
    if json:
        print_json([identity(revision) for revision in found])
        return
    for revision in found:
        digest = revision.digest[:DIGEST_CHARACTERS]
        typer.echo(
            f"{revision.number} {digest} change={revision.change_id}"
            f" by {revision.author}: {revision.note}"
        )


def print_status(report: StatusReport, json: bool) -> None:
    """Print what each entry VM has in force."""
    if json:
        data = {
            **identity(report.accepted),
            "list_as_of_ms": report.list_as_of_ms,
            "nodes": report.nodes,
        }
        print_json(data)
        return
    typer.echo(f"accepted: {title(report.accepted)}")
    for node in report.nodes:
        detail = f" ({node.detail})" if node.detail else ""
        typer.echo(
            f"{node.node} in {node.data_centre}: {node.state},"
            f" revision {node.revision}{detail}"
        )
