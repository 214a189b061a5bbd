"""The ``search`` command: sends a search as a caller would."""

from __future__ import annotations

import sys
import time
import urllib.error
import urllib.request
from typing import Annotated, NamedTuple, TypedDict

import msgspec
import typer

from sardinehook.cli.failure import exit_with_problems
from sardinehook.errors import ErrorKind, Problem

__all__ = ["search"]

TIMEOUT_MARGIN_S = 5.0
MS_PER_S = 1000
MISSING_SHOWN = 5


class CoverageBody(TypedDict):
    """The part of an answer's coverage that the command prints."""

    asked: int
    answered: int
    missing: list[dict[str, str]]
    snapshot: dict[str, dict[str, int]]


class AnswerBody(TypedDict):
    """The part of an answer that the command prints."""

    request_id: str
    records: list[dict[str, object]]
    coverage: CoverageBody


class HttpAnswer(NamedTuple):
    """Status, body and latency of an HTTP response."""

    status: int
    body: bytes
    latency_ms: float


def search(
    workload: Annotated[str, typer.Argument(help="A workload of the document.")],
    entry: Annotated[str, typer.Option(help="IP:port of an entry VM.")],
    query: Annotated[str, typer.Option(help="The text to search for.")] = "",
    service: Annotated[str, typer.Option(help="Query only this service.")] = "",
    limit: Annotated[int, typer.Option(min=1, help="Maximum number of records.")] = 5,
    deadline_ms: Annotated[
        float, typer.Option(min=1.0, help="Deadline in ms.")
    ] = 2000.0,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Send a search to an entry VM and print the answer and its coverage."""
    fields: dict[str, object] = {"query": query, "limit": limit}
    if service:
        fields["service"] = service
    url = f"http://{entry}/search/{workload}"
    answer = post_json(url, msgspec.json.encode(fields), deadline_ms)
    if as_json:
        sys.stdout.buffer.write(answer.body + b"\n")
    elif answer.status == 200:
        print_answer(answer)
    else:
        typer.echo(f"status {answer.status}: {answer.body.decode()}", err=True)
    if answer.status != 200:
        raise typer.Exit(1)


def post_json(url: str, body: bytes, deadline_ms: float) -> HttpAnswer:
    """POST a JSON body and return the response, whatever its status.

    Exits with an error if no response arrives.
    """
    headers = {"Content-Type": "application/json", "Deadline-Ms": f"{deadline_ms:g}"}
    request = urllib.request.Request(url, data=body, headers=headers, method="POST")
    started = time.monotonic()
    timeout_s = deadline_ms / MS_PER_S + TIMEOUT_MARGIN_S
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            status, reply = response.status, response.read()
    except urllib.error.HTTPError as error:
        status, reply = error.code, error.read()
    except (OSError, ValueError) as error:
        detail = f"no response from {url}: {error}"
        exit_with_problems(Problem(ErrorKind.TARGET_UNAVAILABLE, detail))
    return HttpAnswer(status, reply, (time.monotonic() - started) * MS_PER_S)


def print_answer(answer: HttpAnswer) -> None:
    """Print coverage, latency and records as text."""
    body = msgspec.json.decode(answer.body, type=AnswerBody)
    coverage = body["coverage"]
    typer.echo(
        f"request={body['request_id']} latency_ms={answer.latency_ms:.1f}"
        f" answered={coverage['answered']}/{coverage['asked']}"
        f" records={len(body['records'])}"
    )
    for index, snapshot in sorted(coverage["snapshot"].items()):
        version = snapshot["index_version"]
        partitioning = snapshot["partitioning"]
        typer.echo(f"  {index}: version {version}, partitioning {partitioning}")
    for missing in coverage["missing"][:MISSING_SHOWN]:
        typer.echo(f"  missing {missing['service']}: {missing['reason']}")
    for record in body["records"]:
        typer.echo(f"  {msgspec.json.encode(record).decode()}")
