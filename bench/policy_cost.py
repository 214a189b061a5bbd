"""Measures the processor time of the search policy per sub-query, without I/O.

Run ``python -m bench.policy_cost``. A query is planned, fanned out, answered with
pages of ``RECORDS`` records each, merged and encoded. The minimum of the samples is
reported, as other work on the machine can only add to it.
"""

from __future__ import annotations

import sys
from argparse import ArgumentParser
from collections.abc import Sequence
from time import process_time

import msgspec

from sardinehook.environment.document import (
    DataCentre,
    EnvironmentDocument,
    Index,
    Replica,
    Scope,
    Workload,
)
from sardinehook.messages import Outcome, SubQuery, SubReply
from sardinehook.query.actions import Action, Send, Settle
from sardinehook.query.answer import SearchAnswer, encode_answer
from sardinehook.query.planner import Planner
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.replica_choice import ReplicaChooser
from sardinehook.query.search import Search, SearchRequest

__all__ = ["main"]

FAN_OUTS = (1, 10, 50, 200, 740)
RECORDS = 5
SUB_QUERIES_PER_SAMPLE = 4000
WORKLOAD = Workload(["logs"], Scope.ALL, 150.0, 0.5)


def make_document(service_count: int) -> EnvironmentDocument:
    """Build an environment of one index with two replicas for each service."""
    services = {
        f"logs-{number}": [
            Replica(f"logs-{number}-{copy}", "szolnok-b", "127.0.0.1:80")
            for copy in "ab"
        ]
        for number in range(service_count)
    }
    return EnvironmentDocument(
        "trial",
        {"szolnok-b": DataCentre("alfold")},
        {"logs": Index(2, 25, 6.0, services)},
        {"storm": WORKLOAD},
    )


def make_page(service: str) -> bytes:
    """Encode a target's reply with ``RECORDS`` records."""
    return msgspec.json.encode(
        {
            "records": [
                {
                    "id": f"{service}/{number}",
                    "rank": float(number),
                    "fields": {"counter": number, "tower": "B-117", "strikes": 3},
                }
                for number in range(RECORDS)
            ],
            "truncated": False,
        }
    )


def make_reply(sub_query: SubQuery, body: bytes) -> SubReply:
    """Return a successful reply to a sub-query."""
    return SubReply(
        sub_query.sub_query_id, Outcome.ANSWERED, 42, 1, 0.1, 4.0, True, "", body
    )


def run_query(planner: Planner, bodies: dict[str, bytes], now: float) -> float:
    """Run one query and return the processor time spent in the policy, in seconds."""
    started = process_time()
    plan = planner.plan(WORKLOAD, "", now).unwrap()
    request = SearchRequest("r1", "storm", now + 0.15, 100, b"{}")
    search = Search(
        request, WORKLOAD, plan.services, plan.snapshots, planner.policy, now
    )
    actions = search.begin(now)
    spent_s = process_time() - started
    replies = [
        make_reply(action.sub_query, bodies[action.sub_query.service])
        for action in actions
        if isinstance(action, Send)
    ]
    last: Sequence[Action] = ()
    started = process_time()
    for reply in replies:
        last = search.on_reply(reply, now + 0.004)
        search.next_timer()
    encode_outcome(last)
    return spent_s + process_time() - started


def encode_outcome(actions: Sequence[Action]) -> None:
    """Encode the answer that ends a query; raises RuntimeError if there is none."""
    settle = actions[-1]
    if not isinstance(settle, Settle) or not isinstance(settle.outcome, SearchAnswer):
        raise RuntimeError("benchmark query ended without an answer")
    encode_answer(settle.outcome)


def measure_policy_us(fan_out: int, samples: int) -> float:
    """Return the minimum over ``samples`` of the processor time per sub-query, in us.

    One more sample is run first as warm-up and left out.
    """
    planner = Planner(SearchPolicy(chooser=ReplicaChooser("szolnok-b", 1)))
    planner.apply(make_document(fan_out))
    bodies = {
        f"logs-{number}": make_page(f"logs-{number}") for number in range(fan_out)
    }
    queries = max(1, SUB_QUERIES_PER_SAMPLE // fan_out)
    now = 0.0
    costs = []
    for _ in range(samples + 1):
        spent_s = 0.0
        for _ in range(queries):
            now += 0.01
            spent_s += run_query(planner, bodies, now)
        costs.append(spent_s * 1e6 / (queries * fan_out))
    return min(costs[1:])


def main(arguments: Sequence[str]) -> None:
    """Print the cost per sub-query for each fan-out."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--samples", type=int, default=9)
    options = parser.parse_args(arguments)
    for fan_out in FAN_OUTS:
        cost = measure_policy_us(fan_out, options.samples)
        print(f"fan_out={fan_out} us_per_sub_query={cost:.1f}")


if __name__ == "__main__":
    main(sys.argv[1:])
