"""The ``document`` commands: check, change and promote environment documents."""

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
    PlatformSession,
    StatusReport,
    run_with_session,
    value_or_exit,
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
EnvironmentArgument = Annotated[str, typer.Argument(help="Name of the environment.")]
PlatformOption = Annotated[
    str,
    typer.Option(
        envvar="SARDINEHOOK_PLATFORM", help="IP:port of the platform's service."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
EditedFromOption = Annotated[
    int,
    typer.Option("--from", min=0, help="The revision that was edited; 0 for none."),
]
AuthorOption = Annotated[
    str, typer.Option(help="Author of the change; your login by default.")
]
NoteOption = Annotated[str, typer.Option(help="Reason for the change, in one line.")]


def load_file(path: Path) -> EnvironmentDocument:
    """Load a document from a file or exit with one line for each problem."""
    loaded = load_document(read_text(path), str(path))
    if isinstance(loaded, Failure):
        exit_with_problems(*loaded.failure())
    return loaded.unwrap()


def new_change(
    changed: EnvironmentDocument, edited_from: int, author: str, note: str
) -> Change:
    """Build a change with a new random change id."""
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    return Change(changed, edited_from, change_id, author or login_name(), note)


def login_name() -> str:
    """Return the login of the operator, or "unknown" if the machine has none."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


@document.command()
def check(file: FileArgument, json: JsonOption = False) -> None:
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
    platform: PlatformOption,
    edited_from: EditedFromOption = 0,
    author: AuthorOption = "",
    note: NoteOption = "",
    untested: Annotated[
        bool, typer.Option(help="Allow a policy change without promotion.")
    ] = False,
    json: JsonOption = False,
) -> None:
    """Put a document in force in the environment that it names.

    The first document needs no option. A later one requires the revision that was
    edited (--from) and is refused if another change was accepted since. Outside trial,
    only data centres and replicas may change: use promote for policy, or --untested.
    """
    change = new_change(load_file(file), edited_from, author, note)

    async def execute(session: PlatformSession) -> None:
        head = value_or_exit(await session.registry.head(change.document.environment))
        if head is not None and not untested:
            exit_if_untested(head.revision.document, change.document)
        print_outcome(await session.registry.commit(change), json)

    run_with_session(platform, execute)


def exit_if_untested(old: EnvironmentDocument, new: EnvironmentDocument) -> None:
    """Exit with an error if the policy changes outside trial."""
    if new.environment == "trial" or same_policy(old, new):
        return
    detail = (
        f"the policy of {new.environment} differs from the one in force: put it to"
        " trial and promote it, or give --untested"
    )
    exit_with_problems(Problem(ErrorKind.CONFLICT, detail))


@document.command()
def show(
    environment: EnvironmentArgument,
    platform: PlatformOption,
    revision: Annotated[
        int, typer.Option(min=0, help="A past revision; 0 for the current one.")
    ] = 0,
    json: JsonOption = False,
) -> None:
    """Print the document of a revision as a basis for editing."""

    async def execute(session: PlatformSession) -> None:
        found = await session.read_revision(environment, revision)
        if json:
            print_json(found)
            return
        typer.echo(f"# {environment}: revision {found.number} by {found.author}")
        typer.echo(document_text(found.document), nl=False)

    run_with_session(platform, execute)


@document.command()
def diff(
    file: FileArgument, platform: PlatformOption, json: JsonOption = False
) -> None:
    """Print the differences between a file and the document in force."""
    loaded = load_file(file)

    async def execute(session: PlatformSession) -> None:
        found = await session.read_revision(loaded.environment, 0)
        if not json:
            typer.echo(f"against revision {found.number} by {found.author}")
        print_differences(differences(found.document, loaded), json)

    run_with_session(platform, execute)


@document.command()
def promote(
    source: Annotated[
        str, typer.Argument(help="Environment where it was tested, such as trial.")
    ],
    target: Annotated[
        str, typer.Argument(help="Environment to change, such as production.")
    ],
    platform: PlatformOption,
    revision: Annotated[
        int, typer.Option(min=1, help="The revision of the source that was tested.")
    ],
    edited_from: EditedFromOption = 0,
    places: Annotated[
        Path | None,
        typer.Option(help="A document of the target that places new services."),
    ] = None,
    author: AuthorOption = "",
    note: NoteOption = "",
    json: JsonOption = False,
) -> None:
    """Promote the policy of a tested revision unchanged.

    Workloads, limits and the capacity of each index come from the source. The name,
    data centres and replicas are those of the target, or come from --places.
    """
    placement = load_file(places) if places else None

    async def execute(session: PlatformSession) -> None:
        tested = await session.read_revision(source, revision)
        base = placement or (await session.read_revision(target, 0)).document
        if base.environment != target:
            detail = f"--places is a document of {base.environment}, not of {target}"
            exit_with_problems(Problem(ErrorKind.INVALID_DOCUMENT, detail))
        promoted = value_or_exit(promote_policy(tested.document, base))
        origin = f"promoted from {source} {revision}"
        full_note = f"{origin}: {note}" if note else origin
        change = new_change(promoted, edited_from, author, full_note)
        print_outcome(await session.registry.commit(change), json)

    run_with_session(platform, execute)


@document.command()
def rollback(
    environment: EnvironmentArgument,
    platform: PlatformOption,
    to: Annotated[int, typer.Option(min=1, help="The revision to go back to.")],
    edited_from: EditedFromOption = 0,
    author: AuthorOption = "",
    note: NoteOption = "",
    json: JsonOption = False,
) -> None:
    """Put the document of a past revision in force as a new revision."""

    async def execute(session: PlatformSession) -> None:
        past = await session.read_revision(environment, to)
        origin = f"roll-back to {to}"
        full_note = f"{origin}: {note}" if note else origin
        change = new_change(past.document, edited_from, author, full_note)
        print_outcome(await session.registry.commit(change), json)

    run_with_session(platform, execute)


@document.command()
def history(
    environment: EnvironmentArgument,
    platform: PlatformOption,
    limit: Annotated[
        int, typer.Option(min=1, max=1000, help="Maximum number of revisions.")
    ] = 20,
    json: JsonOption = False,
) -> None:
    """Print the newest revisions of an environment."""

    async def execute(session: PlatformSession) -> None:
        found = value_or_exit(await session.registry.history(environment, limit))
        print_history(found, json)

    run_with_session(platform, execute)


@document.command()
def status(
    environment: EnvironmentArgument,
    platform: PlatformOption,
    wait_ms: Annotated[
        int, typer.Option(min=0, help="How long to wait until all are in force.")
    ] = 0,
    json: JsonOption = False,
) -> None:
    """Show which entry VMs have the accepted revision in force.

    Exits with 1 unless it is in force on every VM that the platform lists as live.
    The list lags: a VM that started in the last few seconds may be missing from it.
    """

    async def execute(session: PlatformSession) -> StatusReport:
        return await session.status(environment, wait_ms)

    report = run_with_session(platform, execute)
    print_status(report, json)
    if not report.nodes:
        detail = "the platform lists no live VM"
        exit_with_problems(Problem(ErrorKind.NOT_FOUND, detail))
    if any(node.state is not NodeState.IN_FORCE for node in report.nodes):
        raise typer.Exit(1)
