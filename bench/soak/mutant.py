"""Runs a gateway with an injected defect, to show that the soak detects it."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from typing import Any

from sardinehook.gateway import records, run, search_answer
from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.era import EraVerdict, StoreEra
from sardinehook.gateway.process import GatewayProcess
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.retained_state import RetainedState
from sardinehook.gateway.single import SingleCall
from sardinehook.gateway.store_state import StoreState

__all__ = ["MUTANTS"]


def patch(owner: Any, name: str, mutated: Callable[..., Any]) -> None:  # noqa: ANN401
    """Replace a function or method of the gateway."""
    setattr(owner, name, mutated)


def repeat_orders() -> None:
    """Retry requests that are not idempotent after any failure."""
    send_extra = SingleCall.send_extra

    def mutated(call: SingleCall, now: float) -> bool:
        call.may_have_run = False
        call.policy.budget_for(call.service).repeats.sum = 0
        return send_extra(call, now)

    patch(SingleCall, "send_extra", mutated)


def refuse_falsely() -> None:
    """Answer that requests were not run although they may have been."""
    failure_answer = SingleCall.failure_answer

    def mutated(call: SingleCall, now: float) -> CallerAnswer:
        return failure_answer(call, now)._replace(status=503)

    patch(SingleCall, "failure_answer", mutated)


def ignore_draining() -> None:
    """Send requests to draining replicas."""

    def mutated(directory: Directory, replica: Any, now: float) -> bool:  # noqa: ANN401
        return replica.entry.data_centre not in directory.evacuated

    patch(Directory, "is_usable", mutated)


def drop_records() -> None:
    """Drop one record of each merged answer."""
    merge = records.merge_records

    def mutated(parts: Any, most: int) -> bytes:  # noqa: ANN401
        return merge(parts, most - 1)

    patch(search_answer, "merge_records", mutated)


def ignore_changes() -> None:
    """Ignore configuration changes after the first version."""
    apply_configuration = StoreState.apply_configuration

    def mutated(state: StoreState, value: bytes) -> bool:
        return state.version < 0 and apply_configuration(state, value)

    patch(StoreState, "apply_configuration", mutated)


def stop_at_once() -> None:
    """Exit on SIGTERM without waiting for requests in flight."""

    async def mutated(process: GatewayProcess) -> None:
        for connection in list(process.http_server.connections):
            connection.tcp.abortConnection()

    patch(GatewayProcess, "stop", mutated)


def forget_cold() -> None:
    """Treat replicas in their cold start as warm."""

    def mutated(replica: Replica, now: float) -> bool:  # noqa: ARG001
        return False

    patch(Replica, "is_cold", mutated)


def believe_copies() -> None:
    """Forget what an older copy of the store lacks, or has from before."""

    def mutated(retained: RetainedState, *_arguments: Any) -> None:  # noqa: ANN401
        retained.in_force.clear()
        retained.until.clear()
        retained.earlier.clear()

    patch(RetainedState, "compare", mutated)


def ignore_eras() -> None:
    """Compare revisions of different eras of the store."""

    def mutated(era: StoreEra, stated: int, now: float) -> EraVerdict:  # noqa: ARG001
        era.known = 0
        return EraVerdict.SAME

    patch(StoreEra, "observe_store", mutated)


MUTANTS: dict[str, Callable[[], None]] = {
    "repeat-orders": repeat_orders,
    "refuse-falsely": refuse_falsely,
    "ignore-draining": ignore_draining,
    "drop-records": drop_records,
    "ignore-changes": ignore_changes,
    "stop-at-once": stop_at_once,
    "forget-cold": forget_cold,
    "believe-copies": believe_copies,
    "ignore-eras": ignore_eras,
}


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    MUTANTS[sys.argv[1]]()
    run.main()
