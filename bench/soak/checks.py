"""Checks of the guarantees to callers and replicas over the history of a soak."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping

from bench.soak.history import Attempt, Execution, History
from bench.soak.notice_checks import check_leaving, check_limits, check_pauses
from bench.soak.restore_checks import check_restores
from bench.soak.rollout_checks import check_rollouts
from bench.soak.violation import Guarantees, Violation

__all__ = ["CHECKS", "Guarantees", "Violation", "check_all"]

REFUSALS = frozenset({408, 421, 429, 503})
RECORD_BYTES = 16
TIMEOUT_MARGIN_S = 0.5
MAX_LATE_SHARE = 0.5  # of the requests that reach their route's timeout
MIN_LATE_REQUESTS = 8
BUDGET_STEP_S = 0.5
LOST_AFTER_LAST_BYTE_S = 0.2


Check = Callable[[History, Guarantees], Iterator[Violation]]


def check_all(history: History, guarantees: Guarantees) -> list[Violation]:
    """Run all checks and return the violations that they found."""
    return [found for check in CHECKS for found in check(history, guarantees)]


def check_answers_complete(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Check that a 2xx answer is the named replica's body, or a correct merge."""
    for attempt in history.attempts.values():
        answer = attempt.answer
        if answer is None or not 200 <= answer.status < 300:
            continue
        if attempt.kind == "search":
            detail = merge_error(attempt, history, guarantees)
        else:
            part = history.replica_answers.get(answer.headers.get("x-server-stamp", ""))
            matches = part is not None and part.signature.startswith(attempt.request)
            matches = matches and part is not None and part.body == answer.body
            detail = (
                "" if matches else "body differs from the answer of the named replica"
            )
        if detail:
            yield Violation("whole answer", attempt.request, detail)


def merge_error(attempt: Attempt, history: History, guarantees: Guarantees) -> str:
    """Return what is wrong with a merged answer, or an empty string."""
    assert attempt.answer is not None
    headers = attempt.answer.headers
    names = [n.strip() for n in headers.get("x-part-stamps", "").split(",")]
    parts = [history.replica_answers.get(name) for name in names]
    if any(p is None or not p.signature.startswith(attempt.request) for p in parts):
        return "part signature is unknown or belongs to another request"
    found = [part for part in parts if part is not None]
    services = [part.service for part in found]
    if len(set(services)) < len(services):
        return "two parts from the same service"
    missing = int(headers.get("x-missing-parts", "0"))
    total = len(services) + missing
    sets = [r.services.get(route_prefix(attempt.target), ()) for r in history.revisions]
    if not any(len(s) == total and set(services) <= set(s) for s in sets):
        return f"{services} plus {missing} missing match no configured set of shards"
    if len(services) < guarantees.min_coverage * total:
        return f"coverage too low: {len(services)} of {total} shards"
    records = [record for part in found for record in split_records(part.body)]
    expected = b"".join(sorted(records, reverse=True)[: guarantees.max_records])
    return (
        ""
        if attempt.answer.body == expected
        else "body is not the top records of the named parts"
    )


def split_records(body: bytes) -> list[bytes]:
    """Split a body into records; an incomplete last record is ignored."""
    last = len(body) - RECORD_BYTES + 1
    return [body[at : at + RECORD_BYTES] for at in range(0, last, RECORD_BYTES)]


def route_prefix(target: str) -> str:
    """Return the route prefix of a request target."""
    return "/" + target.split("/")[1] + "/"


def check_executions_requested(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Check that replicas execute only requests that a caller sent, unmodified."""
    for execution in history.executions:
        attempt = history.attempts.get(execution.request)
        if attempt is None:
            yield Violation(
                "asked for", execution.request, "no caller sent this request"
            )
        elif (execution.method, execution.target, execution.body) != (
            attempt.method,
            attempt.target,
            attempt.body,
        ):
            yield Violation(
                "asked for",
                execution.request,
                "method, target or body differs from what the caller sent",
            )


def check_orders_run_once(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Check that a request that is not idempotent is executed at most once."""
    counts = Counter(execution.request for execution in history.executions)
    for attempt in history.attempts.values():
        if attempt.kind == "order" and counts[attempt.request] > 1:
            yield Violation("at most once", attempt.request, str(counts))


def check_refused_orders_not_run(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Check that orders refused as not run were never executed."""
    ran = {execution.request for execution in history.executions}
    for attempt in history.attempts.values():
        refused = attempt.answer is not None and attempt.answer.status in REFUSALS
        if attempt.kind == "order" and refused and attempt.request in ran:
            yield Violation(
                "true refusal", attempt.request, "refused order was executed"
            )


def check_attempt_limit(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Check that a request is executed no more often than its route allows."""
    for request, executions in history.executions_by_request().items():
        for service, count in Counter(
            execution.service for execution in executions
        ).items():
            if count > guarantees.max_attempts:
                yield Violation("attempts", request, f"{count} executions at {service}")


def check_retry_budget(history: History, guarantees: Guarantees) -> Iterator[Violation]:
    """Check that retries and hedges of a service stay within the shared budget."""
    first_executions: dict[str, list[float]] = defaultdict(list)
    repeats_by_service: dict[str, list[float]] = defaultdict(list)
    seen: set[tuple[str, str]] = set()
    for execution in sorted(history.executions, key=lambda execution: execution.at):
        is_repeat = (execution.request, execution.service) in seen
        (repeats_by_service if is_repeat else first_executions)[
            execution.service
        ].append(execution.at)
        seen.add((execution.request, execution.service))
    window_s = guarantees.budget_window_s
    for service, times in repeats_by_service.items():
        for end in times:
            repeats = sum(end - window_s < at <= end for at in times)
            requests = max(
                sum(
                    end - shift - window_s < at <= end - shift
                    for at in first_executions[service]
                )
                for shift in (0.0, window_s / 2, window_s)
            )
            allowed = guarantees.budget_ratio * requests + guarantees.budget_slack
            if repeats > allowed:
                yield Violation(
                    "budget", service, f"{repeats} repeats, budget {allowed:.0f}"
                )
                break


def check_withdrawn_replicas(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Check that draining and evacuated replicas get no requests after the bound."""
    for withdrawals, bound_s, guarantee in (
        (history.draining, guarantees.drain_s, "drain"),
        (history.evacuated, guarantees.evacuation_s, "evacuation"),
    ):
        for withdrawal in withdrawals:
            for execution in executions_after(
                history, withdrawal.replica, withdrawal.acked_at + bound_s
            ):
                if execution.at < withdrawal.until and is_sender_undisturbed(
                    history, guarantees, execution
                ):
                    late_s = execution.at - withdrawal.acked_at
                    yield Violation(
                        guarantee, execution.request, f"executed {late_s:.2f} s after"
                    )


def executions_after(
    history: History, replica: str, after: float
) -> Iterator[Execution]:
    """Return the executions of a replica after a time."""
    return (
        execution
        for execution in history.executions
        if execution.replica == replica and execution.at > after
    )


def is_sender_undisturbed(
    history: History, guarantees: Guarantees, execution: Execution
) -> bool:
    """Return whether the sending gateways and the store were undisturbed before it."""
    attempt = history.attempts.get(execution.request)
    if attempt is None:
        return False
    forwarders = history.forwarders.get(attempt.gateway, ())
    names = (attempt.gateway, *forwarders, "store")
    return history.is_undisturbed(
        names, execution.at - guarantees.stability_s, execution.at
    )


def check_cold_start_limit(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Check that a replica in its cold start stays below its request rate limit."""
    cold = {interval.name: interval for interval in history.cold_starts}
    arrivals: dict[str, list[float]] = defaultdict(list)
    for execution in history.executions:
        interval = cold.get(execution.replica)
        if interval is not None and interval.start <= execution.at < interval.end:
            arrivals[execution.replica].append(execution.at)
    for replica, times in arrivals.items():
        for start in times:
            within_1_s = [at for at in times if start <= at < start + 1.0]
            undisturbed = history.is_undisturbed((replica,), start - 1.0, start + 1.0)
            if undisturbed and len(within_1_s) > guarantees.cold_requests_per_s:
                yield Violation(
                    "cold", "", f"{replica} got {len(within_1_s)} requests in 1 s"
                )
                break


def check_configuration_versions(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Check that versions apply in time and that no gateway reverts to an older one."""
    applied: dict[tuple[str, int], tuple[int, float]] = {}
    for execution in sorted(history.executions, key=lambda execution: execution.at):
        attempt = history.attempts.get(execution.request)
        if attempt is None:
            continue
        allowed = allowed_versions(history, attempt, execution)
        if not allowed:
            yield Violation(
                "routing", execution.request, f"no version allows {execution.service}"
            )
            continue
        due = newest_acknowledged(history, attempt.sent_at - guarantees.configuration_s)
        if allowed[-1] < due and is_sender_undisturbed(history, guarantees, execution):
            detail = f"routed by version {allowed[-1]}, version {due} was due"
            yield Violation("configuration", execution.request, detail)
        incarnation = (attempt.gateway, attempt.incarnation)
        current, since = applied.get(incarnation, (-1, 0.0))
        later = [version for version in allowed if version >= current]
        in_order = attempt.sent_at > since + guarantees.rollback_margin_s
        # A late hedge of an earlier request may still follow an older version.
        if later and later[0] > current and (in_order or allowed[0] > current):
            applied[incarnation] = (later[0], execution.at)
        elif not later and in_order:
            yield Violation(
                "never back",
                execution.request,
                f"version {allowed[-1]} after {current}",
            )


def allowed_versions(
    history: History, attempt: Attempt, execution: Execution
) -> list[int]:
    """Return the versions sent before an execution whose routes allow it."""
    prefix = route_prefix(attempt.target)
    return [
        revision.version
        for revision in history.revisions
        if execution.service in revision.services.get(prefix, ())
        and revision.sent_at <= execution.at
    ]


def newest_acknowledged(history: History, at: float) -> int:
    """Return the newest version acknowledged by a time, -1 if there is none."""
    versions = [r.version for r in history.revisions if r.acked_at <= at]
    return max(versions, default=-1)


def check_route_timeouts(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Check that requests get an answer when the timeout of their route is reached."""
    reached = [
        attempt
        for attempt in history.attempts.values()
        if attempt.timeout_s > guarantees.timeout_s + TIMEOUT_MARGIN_S
        and attempt.end != "unconnected"
        and attempt.ended_at - attempt.sent_at > guarantees.timeout_s
        and history.is_undisturbed(
            (attempt.gateway,),
            attempt.sent_at - guarantees.stability_s,
            attempt.ended_at,
        )
    ]
    limit_s = guarantees.timeout_s + TIMEOUT_MARGIN_S
    late = [a for a in reached if a.ended_at - a.sent_at > limit_s]
    if len(late) >= MIN_LATE_REQUESTS and len(late) > MAX_LATE_SHARE * len(reached):
        detail = f"{len(late)} of {len(reached)} requests held beyond the timeout"
        yield Violation("timeout", late[0].request, detail)


def check_graceful_stops(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Check that a planned stop aborts no request that the gateway has accepted."""
    ran = {execution.request for execution in history.executions}
    for stop in history.planned_stops:
        for attempt in history.attempts.values():
            around = stop.start - 1.0 < attempt.sent_at < stop.start + 3.0
            if attempt.gateway != stop.name or not around or attempt.end != "closed":
                continue
            taken = attempt.request in ran
            held_s = attempt.ended_at - attempt.sent_at
            undisturbed = history.is_undisturbed(
                (attempt.gateway,),
                attempt.sent_at - guarantees.stability_s,
                attempt.ended_at,
            )
            if undisturbed and (taken or held_s > LOST_AFTER_LAST_BYTE_S):
                yield Violation(
                    "graceful stop", attempt.request, f"aborted after {held_s:.3f} s"
                )


def check_recovery(history: History, guarantees: Guarantees) -> Iterator[Violation]:
    """Check that most requests succeed again after the last fault."""
    late = [
        attempt
        for attempt in history.attempts.values()
        if attempt.sent_at > history.recovered_at > 0.0 and attempt.end != "left"
    ]
    good = sum(a.answer is not None and a.answer.status == 200 for a in late)
    if late and good < guarantees.recovered_share * len(late):
        reasons: Mapping[str, int] = Counter(
            str(a.answer.status) if a.answer else a.end for a in late
        )
        yield Violation(
            "recovery", "", f"{good} of {len(late)} answered: {dict(reasons)}"
        )


CHECKS: tuple[Check, ...] = (
    check_answers_complete,
    check_executions_requested,
    check_orders_run_once,
    check_refused_orders_not_run,
    check_attempt_limit,
    check_retry_budget,
    check_withdrawn_replicas,
    check_cold_start_limit,
    check_configuration_versions,
    check_route_timeouts,
    check_graceful_stops,
    check_recovery,
    check_leaving,
    check_pauses,
    check_limits,
    check_rollouts,
    check_restores,
)
