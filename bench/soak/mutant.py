"""Runs a gateway with a fault put into it, to show that the soak finds it."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from typing import Any

from sardinehook.gateway import gather, records, run
from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.follower import StoreFollower
from sardinehook.gateway.process import GatewayProcess
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.single import SingleCall

__all__ = ["MUTANTS"]


def patch(owner: Any, name: str, mutated: Callable[..., Any]) -> None:  # noqa: ANN401
    """Replace a function of the product."""
    setattr(owner, name, mutated)


def repeat_orders() -> None:
    """Send requests that are not idempotent again after any failure."""
    send_extra = SingleCall.send_extra

    def mutated(call: SingleCall, now: float) -> bool:
        call.may_have_run = False
        call.policy.budget_for(call.service).repeats.sum = 0
        return send_extra(call, now)

    patch(SingleCall, "send_extra", mutated)


def refuse_falsely() -> None:
    """Say that requests have not run though they may have."""
    failed = SingleCall.failure_answer

    def mutated(call: SingleCall, now: float) -> CallerAnswer:
        return failed(call, now)._replace(status=503)

    patch(SingleCall, "failure_answer", mutated)


def ignore_draining() -> None:
    """Send requests to replicas that drain."""

    def mutated(directory: Directory, replica: Any, now: float) -> bool:  # noqa: ANN401
        return replica.entry.data_centre not in directory.evacuated

    patch(Directory, "is_usable", mutated)


def drop_records() -> None:
    """Lose a record of each merged answer."""
    merge = records.merge_records

    def mutated(parts: Any, most: int) -> bytes:  # noqa: ANN401
        return merge(parts, most - 1)

    patch(gather, "merge_records", mutated)


def ignore_changes() -> None:
    """Keep the first configuration."""
    take = StoreFollower.apply_configuration

    def mutated(follower: StoreFollower, value: bytes) -> bool:
        return follower.version < 0 and take(follower, value)

    patch(StoreFollower, "apply_configuration", mutated)


def stop_at_once() -> None:
    """End on SIGTERM without waiting for requests."""

    async def mutated(process: GatewayProcess) -> None:
        for connection in list(process.http_server.connections):
            connection.tcp.abortConnection()

    patch(GatewayProcess, "stop", mutated)


def forget_cold() -> None:
    """Take replicas in their cold start for warm ones."""

    def mutated(replica: Replica, now: float) -> bool:  # noqa: ARG001
        return False

    patch(Replica, "is_cold", mutated)


MUTANTS: dict[str, Callable[[], None]] = {
    "repeat-orders": repeat_orders,
    "refuse-falsely": refuse_falsely,
    "ignore-draining": ignore_draining,
    "drop-records": drop_records,
    "ignore-changes": ignore_changes,
    "stop-at-once": stop_at_once,
    "forget-cold": forget_cold,
}


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    MUTANTS[sys.argv[1]]()
    run.main()
