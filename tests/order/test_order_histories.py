"""Stateful tests: histories of orders under random faults are checked.

Mutations of the order code must be detected by the same checks.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)
from returns.result import Result, Success
from twisted.internet.defer import Deferred

from bench.checks import check_at_most_once, check_not_run
from sardinehook.errors import ErrorKind, Problem
from sardinehook.messages import Outcome, SubReply
from sardinehook.order import attempt as attempt_module
from sardinehook.order import coordinator as coordinator_module
from sardinehook.order.attempt import Attempt
from sardinehook.order.claim import OrderClaim, apply_reply
from sardinehook.order.claim_store import ClaimStore, SwapResult, Unavailable, Written
from sardinehook.order.coordinator import OrderState, OrderStatus
from tests.order.rig import Fate, OrderRig

PROCESSES = 2
MACHINE_SETTINGS = settings(
    max_examples=100,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
    derandomize=True,
    deadline=None,
    database=None,
)

MUTATION_SETTINGS = settings(
    MACHINE_SETTINGS, max_examples=2000, phases=[Phase.generate]
)

processes = st.integers(0, PROCESSES - 1)
keys = st.sampled_from(["k1", "k2"])
picks = st.integers(0, 7)
fates = st.sampled_from([*Fate, Fate.DONE, Fate.DONE, Fate.DONE, Fate.DONE])


class OrderMachine(RuleBasedStateMachine):
    """Desks of two data centres, callers that repeat, and a faulty network."""

    def __init__(self) -> None:
        super().__init__()
        self.rig = OrderRig(PROCESSES)
        self.untrue: list[str] = []

    @rule(
        number=processes,
        key=keys,
        body=st.sampled_from([b"x", b"x", b"x", b"y"]),
        deadline_ms=st.sampled_from([50.0, 1000.0, 8000.0]),
    )
    def place(self, number: int, key: str, body: bytes, deadline_ms: float) -> None:
        self.rig.place(number, key, body, deadline_ms)

    @precondition(lambda self: self.rig.network.calls)
    @rule(number=picks, fate=fates)
    def decide(self, number: int, fate: Fate) -> None:
        self.rig.network.decide(number, fate)
        self.judge()

    @precondition(lambda self: self.rig.network.calls)
    @rule(steps=st.integers(1, 5))
    def go_well(self, steps: int) -> None:
        for _ in range(steps):
            if self.rig.network.calls:
                self.rig.network.decide(0, Fate.DONE)
        self.judge()

    @precondition(lambda self: self.rig.network.late)
    @rule(number=picks)
    def arrive_late(self, number: int) -> None:
        self.rig.network.arrive_late(number)
        self.judge()

    @rule(number=processes, seconds=st.sampled_from([0.06, 0.3, 1.1, 9.0, 70.0]))
    def pass_time_at_one_process(self, number: int, seconds: float) -> None:
        self.rig.processes[number].clock.advance(seconds)
        self.judge()

    @rule(number=processes)
    def crash(self, number: int) -> None:
        self.rig.crash(number)

    @rule(number=processes, key=keys)
    def look_up(self, number: int, key: str) -> None:
        ran_before = self.rig.began(key)
        looked = Deferred.fromCoroutine(self.rig.processes[number].desk.look_up(key))
        looked.addCallback(self.judge_status, key, ran_before)

    def judge_status(
        self, result: Result[OrderStatus, Problem], key: str, ran_before: int
    ) -> None:
        status = result.value_or(OrderStatus(OrderState.UNKNOWN, ""))
        if status.state is OrderState.RUN and self.rig.began(key) != 1:
            self.untrue.append(f"{key} is told to have run")
        if status.state is OrderState.NOT_RUN and ran_before:
            self.untrue.append(f"{key} is told not to have run")

    def judge(self) -> None:
        assert self.untrue == []
        assert check_at_most_once(self.rig.history) == []
        assert check_not_run(self.rig.history) == []

    def teardown(self) -> None:
        self.rig.settle()
        self.judge()
        for process in self.rig.processes:
            assert not process.waiting
            assert not process.desk.open
        for request, result in self.rig.results.items():
            if isinstance(result, Success):
                assert result.unwrap().body in (b"ran x", b"ran y"), request


class RetryingAttempt(Attempt):
    """Mutation: sends an order again after its connection is lost."""

    def _set_outcome_unknown(self, detail: str) -> None:
        if not self.order.given_up:
            self.order.given_up = True
            self.order.awaits_reply = True
            reply = self.ports.send(self._sub_query(1000.0))
            reply.addCallback(lambda again: self._on_reply(again, again.sub_query_id))


class SendBeforeClaimAttempt(Attempt):
    """Mutation: sends an order before its key is claimed."""

    async def run(self) -> None:
        reply = self.ports.send(self._sub_query(1000.0))
        claim = await self._claim()
        if claim is not None:
            self._set_claim(claim, self.order.revision)
            reply.addCallback(lambda got: self._on_reply(got, got.sub_query_id))
        self._finish_claiming()


class DeadlineIgnoringAttempt(Attempt):
    """Mutation: sends an order that was reported to its callers as given up."""

    def _send(self, claim: OrderClaim) -> None:
        self.order.given_up = False
        self.order.deadline = self.ports.timers.seconds() + 1.0
        super()._send(claim)


class UnconfirmedClaimStore(ClaimStore):
    """Mutation: treats a swap whose reply was lost as written."""

    async def swap(self, claim: OrderClaim, expect: int, lease: str) -> SwapResult:
        swap = await super().swap(claim, expect, lease)
        if isinstance(swap, Unavailable) and swap.may_have_taken_effect:
            return Written(expect)
        return swap


def not_run_after_lost_connection(claim: OrderClaim, reply: SubReply) -> OrderClaim:
    """Mutation: takes a lost connection as proof of "not run"."""
    if reply.outcome is Outcome.CONNECTION_LOST:
        return claim.not_run(Problem(ErrorKind.TARGET_UNAVAILABLE, "lost"))
    return apply_reply(claim, reply)


def replaced_when_abandoned(
    self: Attempt, claim: OrderClaim, revision: int
) -> Deferred[int | None]:
    """Mutation: replaces another attempt's claim once it is abandoned."""

    async def wait_for_holder() -> int | None:
        if claim.is_abandoned(self.ports.wall_ms()):
            return revision
        return await WAIT_FOR_HOLDER(self, claim, revision)

    return Deferred.fromCoroutine(wait_for_holder())


WAIT_FOR_HOLDER = Attempt._wait_for_holder

MUTATIONS = {
    "retries": (coordinator_module, "Attempt", RetryingAttempt),
    "sends before claiming": (coordinator_module, "Attempt", SendBeforeClaimAttempt),
    "sends after its deadline": (
        coordinator_module,
        "Attempt",
        DeadlineIgnoringAttempt,
    ),
    "treats an unconfirmed claim as stored": (
        coordinator_module,
        "ClaimStore",
        UnconfirmedClaimStore,
    ),
    "says not run after a lost connection": (
        attempt_module,
        "apply_reply",
        not_run_after_lost_connection,
    ),
    "takes over an abandoned claim": (
        Attempt,
        "_wait_for_holder",
        replaced_when_abandoned,
    ),
}


class TestOrderHistories:
    def test_every_history_satisfies_the_checks(self) -> None:
        run_state_machine_as_test(OrderMachine, settings=MACHINE_SETTINGS)

    @pytest.mark.parametrize("name", MUTATIONS)
    def test_mutation_is_detected(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        owner, attribute, mutation = MUTATIONS[name]
        monkeypatch.setattr(owner, attribute, mutation)
        with pytest.raises(AssertionError, match=r"rule='|is told"):
            run_state_machine_as_test(OrderMachine, settings=MUTATION_SETTINGS)
