"""Sample documents and revisions for tests."""

from __future__ import annotations

from sardinehook.environment.document import EnvironmentDocument
from sardinehook.environment.loading import load_document
from sardinehook.environment.revision import Revision, make_revision

__all__ = ["TEXT", "document", "revision"]

TEXT = """\
environment: trial
data_centres:
  kecskemet-a: {region: alfold}
  szolnok-b: {region: alfold, state: out}
indexes:
  logfinder:
    slots: 2
    connections: 25
    connect_cost_ms: 6
    services:
      logfinder-01:
        - {name: logfinder-01-a, data_centre: kecskemet-a, address: "127.0.0.1:23000"}
        - {name: logfinder-01-b, data_centre: szolnok-b, address: "127.0.0.1:23001"}
workloads:
  storm-night:
    indexes: [logfinder]
    scope: all
    deadline_ms: 150
    least_coverage: 0.5
    wait: enough
    enough_coverage: 0.9
"""


def document(deadline_ms: float = 150.0) -> EnvironmentDocument:
    """Load the document of ``TEXT`` with the given deadline."""
    text = TEXT.replace("deadline_ms: 150", f"deadline_ms: {deadline_ms}")
    return load_document(text, "trial.yaml").unwrap()


def revision(number: int, deadline_ms: float | None = None) -> Revision:
    """Make a revision; unless given, its deadline depends on its number."""
    changed = document(100.0 + number if deadline_ms is None else deadline_ms)
    return make_revision(number, f"change-{number}", "ilona", "", changed)
