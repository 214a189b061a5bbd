"""Experiment: repeated orders while the store, targets and entry VMs fail."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from bench.experiment import (
    AT_LEAST,
    AT_MOST,
    Bound,
    Experiment,
    Options,
    Step,
    Trial,
)
from bench.history_bounds import history_bound
from bench.load import CallRecord, Stream
from bench.processes import Child
from bench.results import RunResult
from bench.rig import Deployment, Rig, load_example

__all__ = ["ORDERS"]

ORDER_RATE_PER_S = 40.0
REPEAT_RATIO = 0.3
LOAD_S = 14.0
DEADLINE_MS = 1000.0
LOST_STORE_REPLIES = 40
ORDER_RECORDS = "production/orders/"
PAUSED_ENTRY, KILLED_ENTRY = 0, 1
UNKNOWN_KINDS = frozenset({"outcome_unknown", "order_in_progress"})


def build_trials(options: Options) -> Sequence[Trial]:
    """Build the trials: orders without faults, and with all faults in turn."""
    document = load_example("lakeshore-production")
    deployment = Deployment(document)
    index = document.workloads["place-order"].indexes[0]
    stream = Stream(
        "place-order",
        ORDER_RATE_PER_S * options.scale,
        0.0,
        LOAD_S,
        DEADLINE_MS,
        tuple(document.indexes[index].services),
        order=True,
        repeat_ratio=REPEAT_RATIO,
    )
    calm = Trial("calm", deployment, (stream._replace(to_s=6.0),))
    product = Trial(
        "product", deployment, (stream,), steps=STEPS, duration_s=LOAD_S + 3.0
    )
    return [product, calm]


def lose_store_replies(rig: Rig) -> None:
    """Apply the next writes of order records but drop the replies."""
    rig.control_platform(
        {"lose_replies": LOST_STORE_REPLIES, "lose_replies_prefix": ORDER_RECORDS}
    )


def silence_targets(rig: Rig) -> None:
    """Make every open connection to a target stop responding without closing."""
    rig.control_targets({"do": "silence"})


STEPS = (
    Step(2.0, "replies of the store are lost", lose_store_replies),
    Step(4.0, "store out", lambda rig: rig.control_platform({"outage": "cut"})),
    Step(5.0, "store back", lambda rig: rig.control_platform({"outage": "none"})),
    Step(6.0, "stale reads", lambda rig: rig.control_platform({"stale": True})),
    Step(7.0, "true reads", lambda rig: rig.control_platform({"stale": False})),
    Step(8.0, "connections go silent", silence_targets),
    Step(9.0, "entry paused", lambda rig: entry_process(rig, PAUSED_ENTRY).pause()),
    Step(11.0, "entry goes on", lambda rig: entry_process(rig, PAUSED_ENTRY).resume()),
    Step(12.0, "entry killed", lambda rig: entry_process(rig, KILLED_ENTRY).kill()),
)


def entry_process(rig: Rig, number: int) -> Child:
    """Return the process of the entry VM with this index."""
    return rig.children[rig.entries[number].node]


def evaluate(results: Mapping[str, RunResult]) -> Sequence[Bound]:
    """Check both histories, and that every caller learned the outcome."""
    calm, product = results["calm"], results["product"]
    killed = entry_name(product, KILLED_ENTRY)
    without_reply = sum(
        call.status == 0 and call.entry != killed for call in product.calls
    )
    source = "the caller always learns run, not run or unknown"
    return [
        history_bound(product),
        history_bound(calm),
        Bound("untold", without_reply, AT_MOST, 0, source),
        Bound(
            "answered_but_not_run",
            count_answered_not_begun(product),
            AT_MOST,
            0,
            source,
        ),
        Bound("calm.answered", calm.answered_ratio(), AT_LEAST, 1.0, "no fault"),
        Bound("answered", product.answered_ratio(), AT_LEAST, 0.5, "faults of 6 s"),
    ]


def entry_name(run: RunResult, number: int) -> str:
    """Return the node name of the entry VM with this index."""
    return list(run.exit_codes)[number]


def count_answered_not_begun(run: RunResult) -> int:
    """Count the orders that were answered though no target began them."""
    began = {event.order_key for event in run.events if event.kind == "begun"}
    return sum(call.ok and call.order_key not in began for call in run.calls)


def kind_ratio(calls: Sequence[CallRecord], kinds: frozenset[str]) -> float:
    """Return the share of calls whose error is of one of the given kinds."""
    kinds_seen = [call.answer.get("error", {}).get("kind", "") for call in calls]
    return sum(kind in kinds for kind in kinds_seen) / max(len(calls), 1)


def compute_figures(results: Mapping[str, RunResult]) -> Mapping[str, float]:
    """Return call counts, outcome ratios and latencies."""
    calm, product = results["calm"], results["product"]
    refused = sum(
        call.answer.get("error", {}).get("not_run", False) for call in product.calls
    )
    keys = {call.order_key for call in calm.calls}
    writes = calm.platform_counts["prefixes"].get("production", 0)
    return {
        "calls": len(product.calls),
        "keys": len({call.order_key for call in product.calls}),
        "begun": product.count_events("begun"),
        "not_run_ratio": refused / max(len(product.calls), 1),
        "unknown_ratio": kind_ratio(product.calls, UNKNOWN_KINDS),
        "calm_p50_ms": calm.latency_ms(0.5),
        "calm_p99_ms": calm.latency_ms(0.99),
        "p99_ms": product.latency_ms(0.99),
        "calm_store_calls_per_key": writes / max(len(keys), 1),
    }


ORDERS = Experiment(
    "orders",
    "Orders at most once while store, targets and entry VMs fail",
    build_trials,
    evaluate,
    compute_figures,
)
