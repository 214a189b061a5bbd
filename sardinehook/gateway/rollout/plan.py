"""Decides the next state of a rollout from the verdict and the age of the order."""

from __future__ import annotations

from typing import NamedTuple

from msgspec.structs import replace

from sardinehook.gateway.rollout.orders import Phase, RolloutOrder, RolloutState
from sardinehook.gateway.rollout.verdict import Bad, Good, Undecided, Verdict

__all__ = ["LATEST_GOOD_RATIO", "Situation", "first_state", "next_state"]

# Of the duration of the order.
EARLIEST_GOOD_RATIO = 0.4  # a version may turn bad some time after its start
LATEST_GOOD_RATIO = 0.55  # from here on, less evidence is enough
GIVE_UP_RATIO = 0.7  # later, the steps to completion would not fit
RAMP_STEP_RATIO = 0.07  # how long each share beyond the limit is kept at least
COMPLETED_RATIO = 0.9  # the old replicas are replaced in the rest
SPREAD_RATIO = 0.15  # the longest wait until all gateways know that old ones are left

CANARY_SHARES = (0.1, 0.3, 0.9)  # of the limit, by step; 0.9 leaves room for rounding
CANARY_EXTRA = (0.2, 0.4, 0.6)  # of the slack; the rest is for restarts and rounding
ANSWERS_PER_STEP = 6  # of the new version, without a sign that it is bad
CANARY_STEP_RATIO = 0.08  # of the duration: a step follows without a sign, too
ANSWERS_PER_CHECKPOINT = 10
RAMP_SHARES = (0.3, 0.6)


class Situation(NamedTuple):
    """What the decision depends on, besides the state.

    ``age_s`` is that of the order, ``phase_age_s`` that of the state. Every gateway in
    contact knows a state after ``spread_s``. ``old_is_idle`` is whether the ledger
    shows that no gateway has requests at old replicas; ``longest_timeout_s`` is the
    longest that one can last. ``share`` and ``slack`` are the deployment's limits.
    """

    age_s: float
    phase_age_s: float
    verdict: Verdict
    answers: int
    scores: tuple[float, float]
    has_new: bool
    old_is_idle: bool
    spread_s: float
    longest_timeout_s: float
    share: float
    slack: float


def first_state(
    order: RolloutOrder,
    share: float,
    slack: float,
    ordered_at: float = 0.0,
    round_number: int = 1,
    age_s: float = 0.0,
) -> RolloutState:
    """Return the state in which a rollout begins."""
    return RolloutState(
        order.target_version,
        order.duration_s,
        1,
        Phase.CANARY,
        CANARY_SHARES[0] * share,
        CANARY_EXTRA[0] * slack,
        age_s=age_s,
        ordered_at=ordered_at,
        reason="ordered",
        round_number=round_number,
    )


def next_state(state: RolloutState, now: Situation) -> RolloutState | None:
    """Return the next state, ``None`` if the present one is kept.

    >>> order = RolloutOrder("desk", "2", 60.0)
    >>> state = first_state(order, 0.1, 50.0)
    >>> bad = Bad("9 of 10 failures")
    >>> now = Situation(
    ...     3.0, 3.0, bad, 10, (9.0, 0.0), True, False, 5.0, 1.0, 0.1, 50.0
    ... )
    >>> next_state(state, now).phase.value
    'rolled_back'
    """
    if state.phase.is_final:
        return None
    if isinstance(now.verdict, Bad):
        return roll_back(state, now, now.verdict.figures, True)
    if now.age_s >= state.duration_s:
        return roll_back(state, now, "not decided before the deadline", False)
    match state.phase:
        case Phase.CANARY:
            return next_canary(state, now)
        case Phase.RAMP:
            return next_ramp(state, now)
        case Phase.DRAINING_OLD:
            return next_draining(state, now)
    return None


def next_canary(state: RolloutState, now: Situation) -> RolloutState | None:
    """Return the state after a canary, whose share grows with the evidence."""
    progress = now.age_s / state.duration_s
    match now.verdict:
        case Good(figures) if progress >= EARLIEST_GOOD_RATIO and now.has_new:
            reason = f"good: {figures}"
            return change(state, now, Phase.RAMP, RAMP_SHARES[0], 0, reason)
        case Undecided(figures, suspicious):
            if progress >= GIVE_UP_RATIO:
                return roll_back(state, now, f"too little evidence: {figures}", False)
            if suspicious:
                return None
    step = canary_step(now.answers, progress)
    if step <= state.step:
        if now.answers < state.answers + ANSWERS_PER_CHECKPOINT:
            return None
        # Kept for holders that restart.
        step = state.step
    share = CANARY_SHARES[step] * now.share
    reason = f"{now.answers} answers without a sign against the version"
    following = change(state, now, Phase.CANARY, share, step, reason)
    return replace(following, extra=CANARY_EXTRA[step] * now.slack)


def canary_step(answers: int, progress: float) -> int:
    """Return the step of a canary, by its answers or by the time that has passed.

    Where requests are rare, a small share gives too few answers to grow by them alone.

    >>> [canary_step(n, 0.05) for n in (1, 6, 60)], canary_step(0, 0.1)
    ([0, 1, 2], 1)
    """
    step = max(answers // ANSWERS_PER_STEP, int(progress / CANARY_STEP_RATIO))
    return min(step, len(CANARY_SHARES) - 1)


def next_ramp(state: RolloutState, now: Situation) -> RolloutState | None:
    """Return the state after a share beyond the limit, once that was kept a while."""
    if now.age_s >= COMPLETED_RATIO * state.duration_s:
        reason = f"no time left to drain the old replicas, {now.answers} answers"
        return roll_back(state, now, reason, False)
    waited = now.phase_age_s >= RAMP_STEP_RATIO * state.duration_s
    if not waited or not now.has_new or is_suspicious(now.verdict):
        return None
    step = state.step + 1
    reason = f"{now.answers} answers"
    if step < len(RAMP_SHARES):
        return change(state, now, Phase.RAMP, RAMP_SHARES[step], step, reason)
    return change(state, now, Phase.DRAINING_OLD, 1.0, step, reason)


def next_draining(state: RolloutState, now: Situation) -> RolloutState | None:
    """Return the state after the drain of the old replicas, once nothing runs there."""
    if not now.has_new:
        share, step = RAMP_SHARES[-1], len(RAMP_SHARES) - 1
        return change(state, now, Phase.RAMP, share, step, "no new replicas left")
    spread_s = min(now.spread_s, SPREAD_RATIO * state.duration_s)
    is_idle = now.phase_age_s >= spread_s and now.old_is_idle
    has_ended = now.phase_age_s >= spread_s + now.longest_timeout_s
    is_late = now.age_s >= COMPLETED_RATIO * state.duration_s
    if is_suspicious(now.verdict) and not is_late:
        return None
    # Without either, the deadline rolls back: that ends no request.
    if is_idle or has_ended:
        reason = f"nothing runs at old replicas, {now.answers} answers"
        return change(state, now, Phase.COMPLETED, 1.0, state.step, reason)
    return None


def is_suspicious(verdict: Verdict) -> bool:
    """Return whether the evidence points at a bad version."""
    return isinstance(verdict, Undecided) and verdict.suspicious


def roll_back(
    state: RolloutState, now: Situation, reason: str, is_bad: bool
) -> RolloutState:
    """Return the state in which nothing goes to the new version."""
    following = change(state, now, Phase.ROLLED_BACK, 0.0, state.step, reason)
    return replace(following, is_bad=is_bad)


def change(
    state: RolloutState,
    now: Situation,
    phase: Phase,
    share: float,
    step: int,
    reason: str,
) -> RolloutState:
    """Return the state that follows, with the next serial."""
    return replace(
        state,
        serial=state.serial + 1,
        phase=phase,
        share=share,
        step=step,
        age_s=now.age_s,
        reason=reason,
        answers=now.answers,
        scores=now.scores,
    )
