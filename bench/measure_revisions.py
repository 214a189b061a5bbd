"""Measures size and time of revisions (``python -m bench.measure_revisions``).

One field of a document changes. The printed bytes are those of the canonical form, of
the stored revision, and of the change sent as a full document and as a delta.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from sardinehook.environment.canonical import canonical_bytes
from sardinehook.environment.delta import NO_BASE, apply_delta, make_delta
from sardinehook.environment.document import (
    DataCentre,
    EnvironmentDocument,
    Index,
    Replica,
    Scope,
    Wait,
    Workload,
)
from sardinehook.environment.holder import DocumentHolder
from sardinehook.environment.revision import (
    decode_revision,
    encode_revision,
    make_revision,
)

__all__ = ["large_document", "main"]

SIZES = (100, 1_000, 4_300)
DATA_CENTRES = 7
REPLICAS_PER_SERVICE = 2
REPEATS = 9
FIRST_PORT = 21_000


def large_document(replicas: int, deadline_ms: float) -> EnvironmentDocument:
    """Return a document of a given size, with seven data centres in two regions."""
    data_centres = {
        f"dc-{n}": DataCentre(f"region-{n // 4}") for n in range(DATA_CENTRES)
    }
    services = {
        f"logfinder-{number:04d}": [
            make_replica(number, place) for place in range(REPLICAS_PER_SERVICE)
        ]
        for number in range(replicas // REPLICAS_PER_SERVICE)
    }
    workload = Workload(
        ["logfinder"], Scope.ALL, deadline_ms, 0.6, Wait.ENOUGH, enough_coverage=0.95
    )
    indexes = {"logfinder": Index(2, 25, 6.0, services)}
    workloads = {"storm-night": workload}
    return EnvironmentDocument("production", data_centres, indexes, workloads)


def make_replica(number: int, place: int) -> Replica:
    """Return a replica; replicas of one service are in different data centres."""
    service = f"logfinder-{number:04d}"
    data_centre = (number + place) % DATA_CENTRES
    host = (number * REPLICAS_PER_SERVICE + place) * 37 % 62_500
    address = (
        f"10.{data_centre}.{host // 250}.{host % 250 + 1}:{FIRST_PORT + number % 9}"
    )
    return Replica(f"{service}-r{place + 1}", f"dc-{data_centre}", address)


def min_duration_ms(call: Callable[[], object]) -> float:
    """Return the minimum duration of ``REPEATS`` calls, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        call()
        times.append(time.perf_counter() - started)
    return min(times) * 1000


def measure(replicas: int) -> dict[str, float]:
    """Measure a document with ``replicas`` replicas."""
    old, new = large_document(replicas, 150.0), large_document(replicas, 140.0)
    old_form, new_form = canonical_bytes(old), canonical_bytes(new)
    revision = make_revision(2, "0123456789abcdef", "ilona", "", new)
    stored_revision = encode_revision(revision)
    delta = make_delta(old_form, new_form)
    assert apply_delta(old_form, delta).unwrap() == new_form
    return {
        "replicas": replicas,
        "canonical_bytes": len(new_form),
        "stored_bytes": len(stored_revision),
        "whole_bytes": len(make_delta(NO_BASE, new_form)),
        "delta_bytes": len(delta),
        "make_delta_ms": min_duration_ms(lambda: make_delta(old_form, new_form)),
        "apply_delta_ms": min_duration_ms(lambda: apply_delta(old_form, delta)),
        "decode_ms": min_duration_ms(lambda: decode_revision(stored_revision)),
        "offer_ms": min_duration_ms(lambda: DocumentHolder().offer(revision)),
    }


def main() -> None:
    """Print one line of figures for each document size."""
    for replicas in SIZES:
        measured = measure(replicas)
        print(" ".join(f"{key}={value:.5g}" for key, value in measured.items()))


if __name__ == "__main__":
    main()
