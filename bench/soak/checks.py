"""The promises to callers and replicas, checked over the history of a soak."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from bench.soak.history import Attempt, Execution, History

__all__ = ["CHECKS", "Guarantees", "Violation", "check_all"]

REFUSALS = frozenset({408, 421, 429, 503})
RECORD_BYTES = 16
TIMEOUT_MARGIN_S = 0.5
MAX_LATE_SHARE = 0.5  # of the requests that reach their timeout
MIN_LATE_REQUESTS = 8
BUDGET_STEP_S = 0.5
LOST_AFTER_LAST_BYTE_S = 0.2


class Guarantees(NamedTuple):
    """The figures of the promises, as in the settings of the gateways."""

    stability_s: float = 4.0
    drain_s: float = 3.0
    evacuation_s: float = 5.0
    configuration_s: float = 3.0
    rollback_margin_s: float = 0.25
    grace_s: float = 6.0
    budget_ratio: float = 0.2
    budget_slack: float = 58.0
    budget_window_s: float = 10.0
    cold_requests_per_s: float = 8.0
    max_attempts: int = 2
    min_coverage: float = 0.5
    max_records: int = 8
    timeout_s: float = 1.2
    recovered_share: float = 0.9


class Violation(NamedTuple):
    """A promise that was broken, and by what."""

    guarantee: str
    request: str
    detail: str


Check = Callable[[History, Guarantees], Iterator[Violation]]


def check_all(history: History, guarantees: Guarantees) -> list[Violation]:
    """Return all violations in a history."""
    return [found for check in CHECKS for found in check(history, guarantees)]


def check_answers_complete(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """A success is a replica's whole answer, or the merge of what it names."""
    for attempt in history.attempts.values():
        answer = attempt.answer
        if answer is None or not 200 <= answer.status < 300:
            continue
        if attempt.kind == "search":
            detail = merge_error(attempt, history, guarantees)
        else:
            part = history.replica_answers.get(answer.headers.get("x-server-stamp", ""))
            right = part is not None and part.signature.startswith(attempt.request)
            right = right and part is not None and part.body == answer.body
            detail = "" if right else "not the body of the replica that is named"
        if detail:
            yield Violation("whole answer", attempt.request, detail)


def merge_error(attempt: Attempt, history: History, guarantees: Guarantees) -> str:
    """Tell what is wrong with a merged answer, empty if nothing is."""
    assert attempt.answer is not None
    headers = attempt.answer.headers
    names = [n.strip() for n in headers.get("x-part-stamps", "").split(",")]
    parts = [history.replica_answers.get(name) for name in names]
    if any(p is None or not p.signature.startswith(attempt.request) for p in parts):
        return "a signature of another request, or none"
    found = [part for part in parts if part is not None]
    services = [part.service for part in found]
    if len(set(services)) < len(services):
        return "two parts of one service"
    missing = int(headers.get("x-missing-parts", "0"))
    total = len(services) + missing
    sets = [r.services.get(route_prefix(attempt.target), ()) for r in history.revisions]
    if not any(len(s) == total and set(services) <= set(s) for s in sets):
        return f"{services} and {missing} missing make up no set of shards"
    if len(services) < guarantees.min_coverage * total:
        return f"{len(services)} of {total} shards are too few"
    records = [record for part in found for record in split_records(part.body)]
    wanted = b"".join(sorted(records, reverse=True)[: guarantees.max_records])
    return "" if attempt.answer.body == wanted else "not the greatest records"


def split_records(body: bytes) -> list[bytes]:
    """Return the whole records of a body."""
    last = len(body) - RECORD_BYTES + 1
    return [body[at : at + RECORD_BYTES] for at in range(0, last, RECORD_BYTES)]


def route_prefix(target: str) -> str:
    """Return the prefix of the route of a target."""
    return "/" + target.split("/")[1] + "/"


def check_executions_requested(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """A replica runs only what a caller sent, unchanged."""
    for execution in history.executions:
        attempt = history.attempts.get(execution.request)
        if attempt is None:
            yield Violation("asked for", execution.request, "no caller sent it")
        elif (execution.method, execution.target, execution.body) != (
            attempt.method,
            attempt.target,
            attempt.body,
        ):
            yield Violation("asked for", execution.request, "changed on the way")


def check_orders_run_once(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """A request that is not idempotent runs once at most."""
    counts = Counter(execution.request for execution in history.executions)
    for attempt in history.attempts.values():
        if attempt.kind == "order" and counts[attempt.request] > 1:
            yield Violation("at most once", attempt.request, str(counts))


def check_refused_orders_not_run(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """What is refused as not run has not run and never will."""
    ran = {execution.request for execution in history.executions}
    for attempt in history.attempts.values():
        refused = attempt.answer is not None and attempt.answer.status in REFUSALS
        if attempt.kind == "order" and refused and attempt.request in ran:
            yield Violation("true refusal", attempt.request, "it ran")


def check_attempt_limit(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """A request runs on no more replicas of a service than its route allows."""
    for request, executions in history.executions_by_request().items():
        for service, count in Counter(
            execution.service for execution in executions
        ).items():
            if count > guarantees.max_attempts:
                yield Violation("attempts", request, f"{count} at {service}")


def check_retry_budget(history: History, guarantees: Guarantees) -> Iterator[Violation]:
    """Repeats to a service stay within the shared budget in each window."""
    firsts: dict[str, list[float]] = defaultdict(list)
    extras: dict[str, list[float]] = defaultdict(list)
    seen: set[tuple[str, str]] = set()
    for execution in sorted(history.executions, key=lambda execution: execution.at):
        known = (execution.request, execution.service) in seen
        (extras if known else firsts)[execution.service].append(execution.at)
        seen.add((execution.request, execution.service))
    window_s = guarantees.budget_window_s
    for service, times in extras.items():
        for end in times:
            repeats = sum(end - window_s < at <= end for at in times)
            requests = max(
                sum(
                    end - shift - window_s < at <= end - shift for at in firsts[service]
                )
                for shift in (0.0, window_s / 2, window_s)
            )
            allowed = guarantees.budget_ratio * requests + guarantees.budget_slack
            if repeats > allowed:
                yield Violation("budget", service, f"{repeats} > {allowed:.0f}")
                break


def check_withdrawn_replicas(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """A replica that drains, or whose data centre is taken out, gets no more work."""
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
                        guarantee, execution.request, f"{late_s:.2f} s after"
                    )


def executions_after(
    history: History, replica: str, after: float
) -> Iterator[Execution]:
    """List the runs of a replica after a moment."""
    return (
        execution
        for execution in history.executions
        if execution.replica == replica and execution.at > after
    )


def is_sender_undisturbed(
    history: History, guarantees: Guarantees, execution: Execution
) -> bool:
    """Tell whether the gateway that sent a request, and the store, had been calm."""
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
    """A replica in its cold start gets no more than it bears in any second."""
    cold = {interval.name: interval for interval in history.cold_starts}
    arrivals: dict[str, list[float]] = defaultdict(list)
    for execution in history.executions:
        interval = cold.get(execution.replica)
        if interval is not None and interval.start <= execution.at < interval.end:
            arrivals[execution.replica].append(execution.at)
    for replica, times in arrivals.items():
        for start in times:
            second = [at for at in times if start <= at < start + 1.0]
            calm = history.is_undisturbed((replica,), start - 1.0, start + 1.0)
            if calm and len(second) > guarantees.cold_requests_per_s:
                yield Violation("cold", "", f"{replica} got {len(second)} in a second")
                break


def check_configuration_versions(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """A version is in force in time everywhere, and is never taken back."""
    proven: dict[tuple[str, int], tuple[int, float]] = {}
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
            detail = f"as of {allowed[-1]}, {due} was due"
            yield Violation("configuration", execution.request, detail)
        incarnation = (attempt.gateway, attempt.incarnation)
        known, since = proven.get(incarnation, (-1, 0.0))
        later = [version for version in allowed if version >= known]
        in_order = attempt.sent_at > since + guarantees.rollback_margin_s
        # A hedge of a request from before may still run as an older version says.
        if later and later[0] > known and (in_order or allowed[0] > known):
            proven[incarnation] = (later[0], execution.at)
        elif not later and in_order:
            yield Violation(
                "never back", execution.request, f"{allowed[-1]} after {known}"
            )


def allowed_versions(
    history: History, attempt: Attempt, execution: Execution
) -> list[int]:
    """List the versions, of those sent by then, under which a run is allowed."""
    prefix = route_prefix(attempt.target)
    return [
        revision.version
        for revision in history.revisions
        if execution.service in revision.services.get(prefix, ())
        and revision.sent_at <= execution.at
    ]


def newest_acknowledged(history: History, at: float) -> int:
    """Return the newest version that was acknowledged by a moment."""
    versions = [r.version for r in history.revisions if r.acked_at <= at]
    return max(versions, default=-1)


def check_route_timeouts(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """Requests that reach the timeout of their route get an answer then."""
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
    slack_s = guarantees.timeout_s + TIMEOUT_MARGIN_S
    late = [a for a in reached if a.ended_at - a.sent_at > slack_s]
    if len(late) >= MIN_LATE_REQUESTS and len(late) > MAX_LATE_SHARE * len(reached):
        detail = f"{len(late)} of {len(reached)} held longer"
        yield Violation("timeout", late[0].request, detail)


def check_graceful_stops(
    history: History, guarantees: Guarantees
) -> Iterator[Violation]:
    """A planned stop ends no request that the gateway has taken."""
    ran = {execution.request for execution in history.executions}
    for stop in history.planned_stops:
        for attempt in history.attempts.values():
            around = stop.start - 1.0 < attempt.sent_at < stop.start + 3.0
            if attempt.gateway != stop.name or not around or attempt.end != "closed":
                continue
            taken = attempt.request in ran
            held_s = attempt.ended_at - attempt.sent_at
            calm = history.is_undisturbed(
                (attempt.gateway,),
                attempt.sent_at - guarantees.stability_s,
                attempt.ended_at,
            )
            if calm and (taken or held_s > LOST_AFTER_LAST_BYTE_S):
                yield Violation("graceful stop", attempt.request, f"{held_s:.3f} s")


def check_recovery(history: History, guarantees: Guarantees) -> Iterator[Violation]:
    """After the last fault most requests are served again."""
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
        yield Violation("recovery", "", f"{good} of {len(late)}: {dict(reasons)}")


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
)
