"""The command tree of the ``sardinehook`` program."""

from __future__ import annotations

import typer

from sardinehook import __version__
from sardinehook.cli.document import document
from sardinehook.cli.entry import entry
from sardinehook.cli.search import search
from sardinehook.cli.timeline import timeline

__all__ = ["app", "main"]

app = typer.Typer(
    help="A query tier over many shards.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
app.command()(entry)
app.command()(search)
app.command()(timeline)
app.add_typer(document, name="document")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command given on the command line."""
    app()
