"""The commands by which operators check, change and promote documents."""

from __future__ import annotations

import getpass
import secrets
from pathlib import Path
from typing import Annotated

import typer
from returns.result import Failure

from sardinehook.cli.document_output import (
    print_differences,
    print_history,
    print_json,
    print_outcome,
    print_status,
)
from sardinehook.cli.document_session import (
    Session,
    StatusReport,
    good_or_exit,
    with_session,
)
from sardinehook.cli.entry import read_text
from sardinehook.cli.failure import exit_with_problems
from sardinehook.environment.canonical import canonical_bytes, digest_of
from sardinehook.environment.change import Change
from sardinehook.environment.difference import differences
from sardinehook.environment.document import EnvironmentDocument
from sardinehook.environment.loading import load_document
from sardinehook.environment.node_status import NodeState
from sardinehook.environment.promotion import promote_policy, same_policy
from sardinehook.environment.writing import document_text
from sardinehook.errors import ErrorKind, Problem

__all__ = ["document"]

CHANGE_ID_BYTES = 8

document = typer.Typer(
    help="Check, change and promote the documents of environments.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

FileArgument = Annotated[Path, typer.Argument(help="A document (YAML).")]
EnvironmentArgument = Annotated[str, typer.Argument(help="An environment's name.")]
Platform = Annotated[
    str,
    typer.Option(
        envvar="SARDINEHOOK_PLATFORM", help="IP:port of the platform's service."
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
From = Annotated[
    int,
    typer.Option("--from", min=0, help="The revision you edited from; 0 for none."),
]
Author = Annotated[str, typer.Option(help="Who changes; your login by default.")]
Note = Annotated[str, typer.Option(help="Why, in one line.")]


def load_file(path: Path) -> EnvironmentDocument:
    """Load a document from a file or exit with one line for each problem."""
    loaded = load_document(read_text(path), str(path))
    if isinstance(loaded, Failure):
        exit_with_problems(*loaded.failure())
    return loaded.unwrap()


def new_change(
    changed: EnvironmentDocument, edited_from: int, author: str, note: str
) -> Change:
    """Make a change with an identity of its own."""
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    return Change(changed, edited_from, change_id, author or login(), note)


def login() -> str:
    """The login of the operator, or a stand-in where the machine has none."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


@document.command()
def check(file: FileArgument, json: Json = False) -> None:
    """Check a document offline."""
    loaded = load_file(file)
    digest = digest_of(canonical_bytes(loaded))
    if json:
        print_json({"environment": loaded.environment, "digest": digest})
    else:
        typer.echo(f"{file}: environment {loaded.environment}, digest {digest[:12]}")


@document.command()
def put(
    file: FileArgument,
    platform: Platform,
    edited_from: From = 0,
    author: Author = "",
    note: Note = "",
    untested: Annotated[
        bool, typer.Option(help="Let a change of policy pass without promotion.")
    ] = False,
    json: Json = False,
) -> None:
    """Put a document in force in the environment that it names.

    The first one needs no more. A later one names the revision that you edited from
    (--from) and is refused if another came first. Outside trial only places may
    differ from what is in force: policy comes by promote, unless --untested is given.
    """
    change = new_change(load_file(file), edited_from, author, note)

    async def run(session: Session) -> None:
        head = good_or_exit(await session.registry.head(change.document.environment))
        if head is not None and not untested:
            refuse_untested(head.revision.document, change.document)
        print_outcome(await session.registry.commit(change), json)

    with_session(platform, run)


def refuse_untested(old: EnvironmentDocument, new: EnvironmentDocument) -> None:
    """Exit if a change of policy does not come from trial."""
    if new.environment == "trial" or same_policy(old, new):
        return
    detail = (
        f"the policy of {new.environment} differs from what is in force: put it to"
        " trial and promote it, or give --untested"
    )
    exit_with_problems(Problem(ErrorKind.CONFLICT, detail))


@document.command()
def show(
    environment: EnvironmentArgument,
    platform: Platform,
    revision: Annotated[
        int, typer.Option(min=0, help="A past revision; the current one if 0.")
    ] = 0,
    json: Json = False,
) -> None:
    """Print a revision's document, to edit from."""

    async def run(session: Session) -> None:
        found = await session.find(environment, revision)
        if json:
            print_json(found)
            return
        typer.echo(f"# {environment}: revision {found.number} by {found.author}")
        typer.echo(document_text(found.document), nl=False)

    with_session(platform, run)


@document.command()
def diff(file: FileArgument, platform: Platform, json: Json = False) -> None:
    """Print what a file would change in the environment that it names."""
    loaded = load_file(file)

    async def run(session: Session) -> None:
        found = await session.find(loaded.environment, 0)
        if not json:
            typer.echo(f"against revision {found.number} by {found.author}")
        print_differences(differences(found.document, loaded), json)

    with_session(platform, run)


@document.command()
def promote(
    source: Annotated[str, typer.Argument(help="Where it was tested, as trial.")],
    target: Annotated[str, typer.Argument(help="Where it goes, as production.")],
    platform: Platform,
    revision: Annotated[
        int, typer.Option(min=1, help="The revision of the source that was tested.")
    ],
    edited_from: From = 0,
    places: Annotated[
        Path | None,
        typer.Option(help="A document of the target with the places of new services."),
    ] = None,
    author: Author = "",
    note: Note = "",
    json: Json = False,
) -> None:
    """Promote the policy of a tested revision, exactly as it was tested.

    Workloads, limits and what each index bears come from the source; the name, data
    centres and replicas stay the target's own, or come from --places.
    """
    given = load_file(places) if places else None

    async def run(session: Session) -> None:
        tested = await session.find(source, revision)
        kept = given or (await session.find(target, 0)).document
        if kept.environment != target:
            detail = f"--places is a document of {kept.environment}, not of {target}"
            exit_with_problems(Problem(ErrorKind.INVALID_DOCUMENT, detail))
        result = good_or_exit(promote_policy(tested.document, kept))
        origin = f"promoted from {source} {revision}"
        told = f"{origin}: {note}" if note else origin
        change = new_change(result, edited_from, author, told)
        print_outcome(await session.registry.commit(change), json)

    with_session(platform, run)


@document.command()
def rollback(
    environment: EnvironmentArgument,
    platform: Platform,
    to: Annotated[int, typer.Option(min=1, help="The revision to go back to.")],
    edited_from: From = 0,
    author: Author = "",
    note: Note = "",
    json: Json = False,
) -> None:
    """Put a past revision's document in force, as a new revision."""

    async def run(session: Session) -> None:
        past = await session.find(environment, to)
        origin = f"roll-back to {to}"
        told = f"{origin}: {note}" if note else origin
        change = new_change(past.document, edited_from, author, told)
        print_outcome(await session.registry.commit(change), json)

    with_session(platform, run)


@document.command()
def history(
    environment: EnvironmentArgument,
    platform: Platform,
    limit: Annotated[int, typer.Option(min=1, max=1000, help="How many.")] = 20,
    json: Json = False,
) -> None:
    """Print the newest revisions of an environment."""

    async def run(session: Session) -> None:
        found = good_or_exit(await session.registry.history(environment, limit))
        print_history(found, json)

    with_session(platform, run)


@document.command()
def status(
    environment: EnvironmentArgument,
    platform: Platform,
    wait_ms: Annotated[
        int, typer.Option(min=0, help="Ask again until in force on all, so long.")
    ] = 0,
    json: Json = False,
) -> None:
    """Tell which entry VMs have the accepted revision in force.

    Exits with 1 unless every VM that the platform lists as live has it in force.
    The list lags: a VM that started in the last seconds may not be in it.
    """

    async def run(session: Session) -> StatusReport:
        return await session.status(environment, wait_ms)

    report = with_session(platform, run)
    print_status(report, json)
    if not report.nodes:
        detail = "the platform lists no live VM"
        exit_with_problems(Problem(ErrorKind.NOT_FOUND, detail))
    if any(node.state is not NodeState.IN_FORCE for node in report.nodes):
        raise typer.Exit(1)
