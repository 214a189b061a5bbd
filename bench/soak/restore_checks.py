"""Check of what stays in force when the store comes back from an older copy."""

from __future__ import annotations

from collections.abc import Iterator

from bench.soak.history import Execution, History, Interval, Withdrawal
from bench.soak.violation import Guarantees, Violation

__all__ = ["check_restores"]


def check_restores(history: History, guarantees: Guarantees) -> Iterator[Violation]:
    """Check that replicas withdrawn before a restore of the store stay withdrawn.

    The bounds in time are not judged until the operator and the replicas have written
    again. What a gateway knew before, it must not forget in this time.
    """
    for restore in history.restores:
        for withdrawals, bound_s in (
            (history.draining, guarantees.drain_s),
            (history.evacuated, guarantees.evacuation_s),
        ):
            for withdrawal in withdrawals:
                if withdrawal.acked_at + bound_s < restore.start:
                    yield from find_forgotten(history, guarantees, restore, withdrawal)


def find_forgotten(
    history: History, guarantees: Guarantees, restore: Interval, withdrawal: Withdrawal
) -> Iterator[Violation]:
    """Return the executions by gateways that knew of a withdrawal and forgot it."""
    known_from = withdrawal.acked_at - guarantees.stability_s
    if not history.is_undisturbed(("store",), known_from, restore.start):
        return
    for execution in history.executions:
        if (
            execution.replica == withdrawal.replica
            and restore.start < execution.at < min(restore.end, withdrawal.until)
            and is_sender_undisturbed(history, execution, known_from)
        ):
            late_s = execution.at - restore.start
            yield Violation(
                "restore", execution.request, f"executed {late_s:.2f} s after"
            )


def is_sender_undisturbed(history: History, execution: Execution, since: float) -> bool:
    """Return whether the gateways that may have sent a request were undisturbed."""
    attempt = history.attempts.get(execution.request)
    if attempt is None:
        return False
    names = (attempt.gateway, *history.forwarders.get(attempt.gateway, ()))
    return history.is_undisturbed(names, since, execution.at)
