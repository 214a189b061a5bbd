"""Output of the document commands, as text and JSON."""

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
    """Print a value as JSON on one line."""
    typer.echo(msgspec.json.encode(plain(value)).decode())


def print_outcome(outcome: Outcome, json: bool) -> None:
    """Print the outcome of a change; exit with 1 unless it is in force."""
    if json:
        print_json(outcome_fields(outcome))
    match outcome:
        case Accepted(revision) if not json:
            typer.echo(f"accepted: {revision_summary(revision)}")
        case Unchanged(revision) if not json:
            typer.echo(f"unchanged: {revision_summary(revision)} is the same")
    problem = problem_of(outcome)
    if problem is None:
        return
    if isinstance(outcome, Lost) and not json:
        typer.echo("the revision in force differs from your document:", err=True)
        for difference in outcome.differences[:DIFFERENCES_SHOWN]:
            typer.echo(f"  {difference.line()}", err=True)
        remaining = len(outcome.differences) - DIFFERENCES_SHOWN
        if remaining > 0:
            typer.echo(f"  and {remaining} more", err=True)
    exit_with_problems(problem)


def outcome_fields(outcome: Outcome) -> dict[str, object]:
    """Return the outcome of a change as plain data."""
    problem = problem_of(outcome)
    fields: dict[str, object] = {
        "outcome": type(outcome).__name__.lower(),
        "detail": problem.detail if problem else "",
    }
    match outcome:
        case Accepted(revision) | Unchanged(revision):
            fields.update(revision_fields(revision))
        case Lost(winner=Revision() as winner, differences=found):
            fields.update(revision_fields(winner))
            fields["differences"] = list(found)
    return fields


def revision_fields(revision: Revision) -> dict[str, Plain]:
    """Return a revision without its document as plain data."""
    return {
        "environment": revision.document.environment,
        "revision": revision.number,
        "digest": revision.digest,
        "change_id": revision.change_id,
        "author": revision.author,
        "note": revision.note,
    }


def revision_summary(revision: Revision) -> str:
    """Return the environment, number and shortened digest of a revision."""
    environment = revision.document.environment
    digest = revision.digest[:DIGEST_CHARACTERS]
    return f"{environment} revision {revision.number}, digest {digest}"


def print_differences(found: Sequence[Difference], json: bool) -> None:
    """Print one line for each difference, or a JSON list."""
    if json:
        print_json(list(found))
        return
    if not found:
        typer.echo("no difference")
    for difference in found:
        typer.echo(difference.line())


def print_history(found: Sequence[Revision], json: bool) -> None:
    """Print one line for each revision, or a JSON list."""
    if json:
        print_json([revision_fields(revision) for revision in found])
        return
    for revision in found:
        digest = revision.digest[:DIGEST_CHARACTERS]
        typer.echo(
            f"{revision.number} {digest} change={revision.change_id}"
            f" by {revision.author}: {revision.note}"
        )


def print_status(report: StatusReport, json: bool) -> None:
    """Print the accepted revision and the state of each entry VM."""
    if json:
        fields = {
            **revision_fields(report.accepted),
            "list_as_of_ms": report.list_as_of_ms,
            "nodes": report.nodes,
        }
        print_json(fields)
        return
    typer.echo(f"accepted: {revision_summary(report.accepted)}")
    for node in report.nodes:
        detail = f" ({node.detail})" if node.detail else ""
        typer.echo(
            f"{node.node} in {node.data_centre}: {node.state},"
            f" revision {node.revision}{detail}"
        )
