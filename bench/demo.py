"""Demonstration: three data centres and one search of each workload."""

from __future__ import annotations

import argparse
import signal
import sys
from pathlib import Path

import msgspec

from bench.rig import Deployment, Rig, load_example
from sardinehook.cli.search import post_json, print_answer
from sardinehook.environment.document import EnvironmentDocument, Scope

__all__ = ["main"]

EXAMPLE = "szovetseg-production"
HTTP_OK = 200


def search_each_workload(rig: Rig) -> bool:
    """Run one search of each idempotent workload; returns whether all succeeded."""
    all_answered = True
    for name, workload in rig.document.workloads.items():
        if not workload.idempotent:
            continue
        body = {"query": "strike counts", "limit": 2}
        if workload.scope is Scope.ONE:
            body["service"] = first_service(rig.document, workload.indexes[0])
        address = rig.entries[0].http_address
        print(f"\n{name} ({workload.deadline_ms:g} ms) at {rig.entries[0].node}:")
        url = f"http://{address}/search/{name}"
        answer = post_json(url, msgspec.json.encode(body), workload.deadline_ms)
        if answer.status == HTTP_OK:
            print_answer(answer)
        else:
            print(f"status {answer.status}: {answer.body.decode()}")
            all_answered = False
    return all_answered


def first_service(document: EnvironmentDocument, index: str) -> str:
    """Return the first service of an index."""
    return next(iter(document.indexes[index].services))


def print_addresses(rig: Rig) -> None:
    """Print the addresses of the demonstration and an example request."""
    for entry in rig.entries:
        print(f"{entry.node}: http://{entry.http_address}")
    print(f"platform: {rig.platform_address}")
    print(f"logs: {rig.directory}")
    print("Try:")
    print(
        f'  curl -s -XPOST -H \'Deadline-Ms: 150\' -d \'{{"query":"x","limit":3}}\''
        f" http://{rig.entries[0].http_address}/search/storm-night"
    )


def main() -> int:
    """Run the demonstration; return the exit code."""
    parser = argparse.ArgumentParser(prog="./demo", description=__doc__)
    parser.add_argument(
        "--keep", action="store_true", help="keep running until interrupted"
    )
    parser.add_argument("--directory", type=Path, help="directory for logs")
    parser.add_argument(
        "--binary", type=Path, help="run entries from this executable file"
    )
    options = parser.parse_args()
    deployment = Deployment(load_example(EXAMPLE))
    if options.binary is not None:
        deployment = deployment._replace(program=(str(options.binary.resolve()),))
    with Rig(deployment, options.directory) as rig:
        all_answered = search_each_workload(rig)
        if options.keep:
            print()
            print_addresses(rig)
            print("Press Ctrl-C to stop.", flush=True)
            signal.sigwait({signal.SIGINT, signal.SIGTERM})
    print("\nall answered" if all_answered else "\nnot all answered")
    return 0 if all_answered else 1


if __name__ == "__main__":
    sys.exit(main())
