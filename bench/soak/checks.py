"""The promises to callers and replicas, checked over the history of a soak."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from bench.soak.history import Attempt, History, Run

__all__ = ["CHECKS", "Promises", "Violation", "check_all"]

REFUSALS = frozenset({408, 421, 429, 503})
RECORD_BYTES = 16
TIMEOUT_SLACK_S = 0.5
TIMEOUT_SHARE = 0.5  # of the requests that reach their timeout
TIMEOUT_LEAST = 8
BUDGET_STEP_S = 0.5
LOST_AFTER_LAST_BYTE_S = 0.2


class Promises(NamedTuple):
    """The figures of the promises, as in the settings of the gateways."""

    stability_s: float = 4.0
    drain_s: float = 3.0
    evacuation_s: float = 5.0
    configuration_s: float = 3.0
    rollback_slack_s: float = 0.25
    grace_s: float = 6.0
    budget_ratio: float = 0.2
    budget_slack: float = 58.0
    budget_window_s: float = 10.0
    cold_in_a_second: float = 8.0
    most_attempts: int = 2
    least_coverage: float = 0.5
    most_records: int = 8
    timeout_s: float = 1.2
    recovered_share: float = 0.9


class Violation(NamedTuple):
    """A promise that was broken, and by what."""

    promise: str
    request: str
    detail: str


Check = Callable[[History, Promises], Iterator[Violation]]


def check_all(history: History, promises: Promises) -> list[Violation]:
    """Return all violations in a history."""
    return [found for check in CHECKS for found in check(history, promises)]


def answers_are_whole(history: History, promises: Promises) -> Iterator[Violation]:
    """A success is a replica's whole answer, or the merge of what it names."""
    for attempt in history.attempts.values():
        answer = attempt.answer
        if answer is None or not 200 <= answer.status < 300:
            continue
        if attempt.kind == "search":
            detail = wrong_merge(attempt, history, promises)
        else:
            part = history.parts.get(answer.headers.get("x-server-stamp", ""))
            right = part is not None and part.signature.startswith(attempt.request)
            right = right and part is not None and part.body == answer.body
            detail = "" if right else "not the body of the replica that is named"
        if detail:
            yield Violation("whole answer", attempt.request, detail)


def wrong_merge(attempt: Attempt, history: History, promises: Promises) -> str:
    """Tell what is wrong with a merged answer, empty if nothing is."""
    assert attempt.answer is not None
    headers = attempt.answer.headers
    names = [n.strip() for n in headers.get("x-part-stamps", "").split(",")]
    parts = [history.parts.get(name) for name in names]
    if any(p is None or not p.signature.startswith(attempt.request) for p in parts):
        return "a signature of another request, or none"
    found = [part for part in parts if part is not None]
    services = [part.service for part in found]
    if len(set(services)) < len(services):
        return "two parts of one service"
    missing = int(headers.get("x-missing-parts", "0"))
    total = len(services) + missing
    sets = [r.services.get(prefix_of(attempt.target), ()) for r in history.revisions]
    if not any(len(s) == total and set(services) <= set(s) for s in sets):
        return f"{services} and {missing} missing make up no set of shards"
    if len(services) < promises.least_coverage * total:
        return f"{len(services)} of {total} shards are too few"
    records = [record for part in found for record in split(part.body)]
    wanted = b"".join(sorted(records, reverse=True)[: promises.most_records])
    return "" if attempt.answer.body == wanted else "not the greatest records"


def split(body: bytes) -> list[bytes]:
    """Return the whole records of a body."""
    last = len(body) - RECORD_BYTES + 1
    return [body[at : at + RECORD_BYTES] for at in range(0, last, RECORD_BYTES)]


def prefix_of(target: str) -> str:
    """Return the prefix of the route of a target."""
    return "/" + target.split("/")[1] + "/"


def runs_are_asked_for(history: History, promises: Promises) -> Iterator[Violation]:
    """A replica runs only what a caller sent, unchanged."""
    for run in history.runs:
        attempt = history.attempts.get(run.request)
        if attempt is None:
            yield Violation("asked for", run.request, "no caller sent it")
        elif (run.method, run.target, run.body) != (
            attempt.method,
            attempt.target,
            attempt.body,
        ):
            yield Violation("asked for", run.request, "changed on the way")


def orders_run_once(history: History, promises: Promises) -> Iterator[Violation]:
    """A request that is not idempotent runs once at most."""
    counts = Counter(run.request for run in history.runs)
    for attempt in history.attempts.values():
        if attempt.kind == "order" and counts[attempt.request] > 1:
            yield Violation("at most once", attempt.request, str(counts))


def refusals_are_true(history: History, promises: Promises) -> Iterator[Violation]:
    """What is refused as not run has not run and never will."""
    ran = {run.request for run in history.runs}
    for attempt in history.attempts.values():
        refused = attempt.answer is not None and attempt.answer.status in REFUSALS
        if attempt.kind == "order" and refused and attempt.request in ran:
            yield Violation("true refusal", attempt.request, "it ran")


def attempts_are_bounded(history: History, promises: Promises) -> Iterator[Violation]:
    """A request runs on no more replicas of a service than its route allows."""
    for request, runs in history.runs_of().items():
        for service, count in Counter(run.service for run in runs).items():
            if count > promises.most_attempts:
                yield Violation("attempts", request, f"{count} at {service}")


def repeats_are_in_budget(history: History, promises: Promises) -> Iterator[Violation]:
    """Repeats to a service stay within the shared budget in each window."""
    firsts: dict[str, list[float]] = defaultdict(list)
    extras: dict[str, list[float]] = defaultdict(list)
    seen: set[tuple[str, str]] = set()
    for run in sorted(history.runs, key=lambda run: run.at):
        known = (run.request, run.service) in seen
        (extras if known else firsts)[run.service].append(run.at)
        seen.add((run.request, run.service))
    window_s = promises.budget_window_s
    for service, times in extras.items():
        for end in times:
            repeats = sum(end - window_s < at <= end for at in times)
            requests = max(
                sum(
                    end - shift - window_s < at <= end - shift for at in firsts[service]
                )
                for shift in (0.0, window_s / 2, window_s)
            )
            allowed = promises.budget_ratio * requests + promises.budget_slack
            if repeats > allowed:
                yield Violation("budget", service, f"{repeats} > {allowed:.0f}")
                break


def leaving_get_nothing(history: History, promises: Promises) -> Iterator[Violation]:
    """A replica that drains, or whose data centre is taken out, gets no more work."""
    for leavings, bound_s, promise in (
        (history.draining, promises.drain_s, "drain"),
        (history.evacuated, promises.evacuation_s, "evacuation"),
    ):
        for left in leavings:
            for run in runs_at(history, left.replica, left.acked_at + bound_s):
                if run.at < left.until and in_touch(history, promises, run):
                    late_s = run.at - left.acked_at
                    yield Violation(promise, run.request, f"{late_s:.2f} s after")


def runs_at(history: History, replica: str, after: float) -> Iterator[Run]:
    """List the runs of a replica after a moment."""
    return (run for run in history.runs if run.replica == replica and run.at > after)


def in_touch(history: History, promises: Promises, run: Run) -> bool:
    """Tell whether the gateway that sent a request, and the store, had been calm."""
    attempt = history.attempts.get(run.request)
    if attempt is None:
        return False
    helpers = history.helpers.get(attempt.gateway, ())
    names = (attempt.gateway, *helpers, "store")
    return history.is_calm(names, run.at - promises.stability_s, run.at)


def cold_replicas_are_spared(
    history: History, promises: Promises
) -> Iterator[Violation]:
    """A replica in its cold start gets no more than it bears in any second."""
    cold = {interval.name: interval for interval in history.cold}
    arrivals: dict[str, list[float]] = defaultdict(list)
    for run in history.runs:
        interval = cold.get(run.replica)
        if interval is not None and interval.start <= run.at < interval.end:
            arrivals[run.replica].append(run.at)
    for replica, times in arrivals.items():
        for start in times:
            second = [at for at in times if start <= at < start + 1.0]
            calm = history.is_calm((replica,), start - 1.0, start + 1.0)
            if calm and len(second) > promises.cold_in_a_second:
                yield Violation("cold", "", f"{replica} got {len(second)} in a second")
                break


def versions_go_in_force(history: History, promises: Promises) -> Iterator[Violation]:
    """A version is in force in time everywhere, and is never taken back."""
    proven: dict[tuple[str, int], tuple[int, float]] = {}
    for run in sorted(history.runs, key=lambda run: run.at):
        attempt = history.attempts.get(run.request)
        if attempt is None:
            continue
        allowed = allowing(history, attempt, run)
        if not allowed:
            yield Violation("routing", run.request, f"no version allows {run.service}")
            continue
        due = newest_due(history, attempt.sent_at - promises.configuration_s)
        if allowed[-1] < due and in_touch(history, promises, run):
            detail = f"as of {allowed[-1]}, {due} was due"
            yield Violation("configuration", run.request, detail)
        incarnation = (attempt.gateway, attempt.incarnation)
        known, since = proven.get(incarnation, (-1, 0.0))
        later = [version for version in allowed if version >= known]
        in_order = attempt.sent_at > since + promises.rollback_slack_s
        # A hedge of a request from before may still run as an older version says.
        if later and later[0] > known and (in_order or allowed[0] > known):
            proven[incarnation] = (later[0], run.at)
        elif not later and in_order:
            yield Violation("never back", run.request, f"{allowed[-1]} after {known}")


def allowing(history: History, attempt: Attempt, run: Run) -> list[int]:
    """List the versions, of those sent by then, under which a run is allowed."""
    prefix = prefix_of(attempt.target)
    return [
        revision.version
        for revision in history.revisions
        if run.service in revision.services.get(prefix, ())
        and revision.sent_at <= run.at
    ]


def newest_due(history: History, at: float) -> int:
    """Return the newest version that was acknowledged by a moment."""
    versions = [r.version for r in history.revisions if r.acked_at <= at]
    return max(versions, default=-1)


def callers_are_answered(history: History, promises: Promises) -> Iterator[Violation]:
    """Requests that reach the timeout of their route get an answer then."""
    reached = [
        attempt
        for attempt in history.attempts.values()
        if attempt.patience_s > promises.timeout_s + TIMEOUT_SLACK_S
        and attempt.end != "unconnected"
        and attempt.ended_at - attempt.sent_at > promises.timeout_s
        and history.is_calm(
            (attempt.gateway,),
            attempt.sent_at - promises.stability_s,
            attempt.ended_at,
        )
    ]
    slack_s = promises.timeout_s + TIMEOUT_SLACK_S
    late = [a for a in reached if a.ended_at - a.sent_at > slack_s]
    if len(late) >= TIMEOUT_LEAST and len(late) > TIMEOUT_SHARE * len(reached):
        detail = f"{len(late)} of {len(reached)} held longer"
        yield Violation("timeout", late[0].request, detail)


def stops_are_graceful(history: History, promises: Promises) -> Iterator[Violation]:
    """A planned stop ends no request that the gateway has taken."""
    ran = {run.request for run in history.runs}
    for stop in history.stops:
        for attempt in history.attempts.values():
            around = stop.start - 1.0 < attempt.sent_at < stop.start + 3.0
            if attempt.gateway != stop.name or not around or attempt.end != "closed":
                continue
            taken = attempt.request in ran
            held_s = attempt.ended_at - attempt.sent_at
            calm = history.is_calm(
                (attempt.gateway,),
                attempt.sent_at - promises.stability_s,
                attempt.ended_at,
            )
            if calm and (taken or held_s > LOST_AFTER_LAST_BYTE_S):
                yield Violation("graceful stop", attempt.request, f"{held_s:.3f} s")


def service_recovers(history: History, promises: Promises) -> Iterator[Violation]:
    """After the last fault most requests are served again."""
    late = [
        attempt
        for attempt in history.attempts.values()
        if attempt.sent_at > history.recovered_at > 0.0 and attempt.end != "left"
    ]
    good = sum(a.answer is not None and a.answer.status == 200 for a in late)
    if late and good < promises.recovered_share * len(late):
        reasons: Mapping[str, int] = Counter(
            str(a.answer.status) if a.answer else a.end for a in late
        )
        yield Violation("recovery", "", f"{good} of {len(late)}: {dict(reasons)}")


CHECKS: tuple[Check, ...] = (
    answers_are_whole,
    runs_are_asked_for,
    orders_run_once,
    refusals_are_true,
    attempts_are_bounded,
    repeats_are_in_budget,
    leaving_get_nothing,
    cold_replicas_are_spared,
    versions_go_in_force,
    callers_are_answered,
    stops_are_graceful,
    service_recovers,
)
