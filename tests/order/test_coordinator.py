"""Tests of the order coordinator under one fault at a time."""

from __future__ import annotations

import pytest
from returns.result import Failure, Success
from twisted.internet.defer import Deferred

from bench.checks import check_all
from sardinehook.errors import ErrorKind
from sardinehook.order.claim import MAX_RECORDED_BODY_BYTES
from sardinehook.order.coordinator import MAX_OPEN_ORDERS, OrderState, OrderStatus
from tests.order.rig import Fate, OrderRig


@pytest.fixture
def rig() -> OrderRig:
    return OrderRig()


def deliver(rig: OrderRig, *fates: Fate) -> None:
    for fate in fates:
        rig.network.decide(0, fate)


def kind(rig: OrderRig, request: str) -> ErrorKind | None:
    result = rig.results[request]
    return result.failure().kind if isinstance(result, Failure) else None


def look_up(rig: OrderRig, number: int, key: str) -> OrderState:
    found: list[OrderStatus] = []
    looked = Deferred.fromCoroutine(rig.processes[number].desk.look_up(key))
    looked.addCallback(lambda result: found.append(result.unwrap()))
    rig.settle(3)
    return found[0].state


LEASED, CLAIMED, SENT = Fate.DONE, Fate.DONE, Fate.DONE


class TestPlace:
    def test_order_runs_and_is_recorded(self, rig: OrderRig) -> None:
        request = rig.place(0, "k")
        deliver(rig, LEASED, CLAIMED)
        assert rig.began("k") == 0
        deliver(rig, SENT)
        assert rig.results[request].unwrap().body == b"ran x"
        rig.settle()
        assert not rig.processes[0].desk.open
        assert look_up(rig, 1, "k") is OrderState.RUN

    def test_nothing_is_sent_before_the_claim_is_stored(self, rig: OrderRig) -> None:
        rig.place(0, "k")
        deliver(rig, LEASED)
        assert len(rig.network.calls) == 1
        assert not rig.values.held

    def test_repeat_at_another_process_gets_recorded_answer(
        self, rig: OrderRig
    ) -> None:
        rig.place(0, "k")
        rig.settle(2)
        again = rig.place(1, "k")
        rig.settle(2)
        answer = rig.results[again].unwrap()
        assert (answer.body, answer.repeated) == (b"ran x", True)
        assert rig.began("k") == 1

    def test_repeat_at_another_process_waits_for_first(self, rig: OrderRig) -> None:
        rig.place(0, "k")
        deliver(rig, LEASED, CLAIMED)
        again = rig.place(1, "k", deadline_ms=5000.0)
        deliver(rig, SENT)
        rig.settle(4)
        assert rig.results[again].unwrap().body == b"ran x"
        assert rig.began("k") == 1

    def test_repeat_at_same_process_waits_without_store_call(
        self, rig: OrderRig
    ) -> None:
        rig.place(0, "k")
        deliver(rig, LEASED, CLAIMED)
        again = rig.place(0, "k")
        assert len(rig.network.calls) == 1
        deliver(rig, SENT)
        assert rig.results[again].unwrap().repeated

    def test_repeat_that_reaches_its_deadline_is_in_progress(
        self, rig: OrderRig
    ) -> None:
        rig.place(0, "k", deadline_ms=9000.0)
        deliver(rig, LEASED, CLAIMED)
        here = rig.place(0, "k", deadline_ms=100.0)
        there = rig.place(1, "k", deadline_ms=100.0)
        rig.network.decide(1, Fate.DONE)
        rig.network.decide(1, Fate.DONE)
        for process in rig.processes:
            process.clock.advance(0.2)
        assert kind(rig, here) is ErrorKind.ORDER_IN_PROGRESS
        assert kind(rig, there) is ErrorKind.ORDER_IN_PROGRESS

    @pytest.mark.parametrize("number", [0, 1])
    def test_key_reuse_for_another_order_is_a_conflict(
        self, rig: OrderRig, number: int
    ) -> None:
        rig.place(0, "k")
        deliver(rig, LEASED, CLAIMED)
        other = rig.place(number, "k", body=b"other")
        rig.settle(2)
        assert kind(rig, other) is ErrorKind.CONFLICT
        assert rig.began("k") == 1

    @pytest.mark.parametrize("key", ["", "k" * 129, "k\n", "k ", "ké"])
    def test_invalid_keys_are_refused(self, rig: OrderRig, key: str) -> None:
        assert kind(rig, rig.place(0, key)) is ErrorKind.BAD_REQUEST

    def test_open_orders_are_limited(self, rig: OrderRig) -> None:
        for number in range(MAX_OPEN_ORDERS):
            rig.place(0, f"k{number}")
        assert kind(rig, rig.place(0, "one-more")) is ErrorKind.OVERLOADED

    def test_large_answer_is_returned_but_not_recorded(self, rig: OrderRig) -> None:
        body = b"x" * MAX_RECORDED_BODY_BYTES
        first = rig.place(0, "k", body=body)
        rig.settle(2)
        again = rig.place(1, "k", body=body)
        rig.settle(2)
        assert rig.results[first].unwrap().body == b"ran " + body
        answer = rig.results[again].unwrap()
        assert (answer.body, answer.body_kept) == (b"", False)

    def test_drain_waits_for_orders_and_refuses_new_ones(self, rig: OrderRig) -> None:
        request = rig.place(0, "k")
        drained = Deferred.fromCoroutine(rig.processes[0].desk.drain())
        assert kind(rig, rig.place(0, "k2")) is ErrorKind.STOPPING
        deliver(rig, LEASED, CLAIMED)
        assert not drained.called
        rig.settle(3)
        assert drained.called
        assert isinstance(rig.results[request], Success)


class TestStoreFaults:
    def test_refusal_by_the_store_is_not_run(self, rig: OrderRig) -> None:
        request = rig.place(0, "k")
        deliver(rig, LEASED, Fate.REFUSED)
        assert kind(rig, request) is ErrorKind.STORE_UNAVAILABLE
        detail = rig.results[request].failure().detail
        assert "an earlier request with its key may have" in detail
        rig.settle()
        assert rig.began("k") == 0

    def test_claim_write_with_lost_reply_is_repeated(self, rig: OrderRig) -> None:
        request = rig.place(0, "k")
        deliver(rig, LEASED, Fate.REPLY_LOST)
        rig.processes[0].clock.advance(0.1)
        deliver(rig, Fate.DONE, SENT)
        assert rig.results[request].unwrap().body == b"ran x"
        assert rig.began("k") == 1

    @pytest.mark.parametrize("fate", [Fate.REPLY_LOST, Fate.LOST, Fate.DELAYED])
    def test_claim_of_unknown_outcome_is_not_sent_and_is_withdrawn(
        self, rig: OrderRig, fate: Fate
    ) -> None:
        request = rig.place(0, "k")
        deliver(rig, LEASED, fate)
        for _ in range(2):
            rig.processes[0].clock.advance(0.3)
            deliver(rig, Fate.LOST)
        rig.processes[0].clock.advance(0.3)
        assert kind(rig, request) is ErrorKind.STORE_UNAVAILABLE
        rig.settle()
        assert rig.began("k") == 0
        assert look_up(rig, 1, "k") is OrderState.NOT_RUN
        again = rig.place(1, "k")
        rig.settle(2)
        assert isinstance(rig.results[again], Success)

    def test_stale_read_of_not_run_is_confirmed_by_a_write(self, rig: OrderRig) -> None:
        rig.place(0, "k")
        deliver(rig, LEASED, CLAIMED, Fate.REFUSED)
        rig.settle(2)
        rig.place(0, "k")
        deliver(rig, Fate.DONE, Fate.DONE)
        found: list[OrderStatus] = []
        looked = Deferred.fromCoroutine(rig.processes[1].desk.look_up("k"))
        looked.addCallback(lambda result: found.append(result.unwrap()))
        for _ in range(3):
            rig.network.decide(1, Fate.STALE)
        assert found[0].state is OrderState.IN_PROGRESS

    def test_outcome_during_outage_is_answered_and_recorded_later(
        self, rig: OrderRig
    ) -> None:
        request = rig.place(0, "k")
        deliver(rig, LEASED, CLAIMED, SENT)
        assert isinstance(rig.results[request], Success)
        for _ in range(10):
            deliver(rig, Fate.LOST)
            rig.processes[0].clock.advance(6.0)
        assert rig.processes[0].desk.metrics.orders_unrecorded._value.get() == 1
        rig.settle(10)
        assert look_up(rig, 1, "k") is OrderState.RUN
        assert rig.processes[0].desk.metrics.orders_unrecorded._value.get() == 0

    def test_recording_backs_off_while_the_store_fails(self, rig: OrderRig) -> None:
        for number in range(40):
            rig.place(0, f"k{number}")
        while len(rig.network.calls) < 40 or not rig.values.held:
            rig.network.decide(0, Fate.DONE)
        while rig.began("k39") == 0:
            rig.network.decide(0, Fate.DONE)
        asked = 0
        for _ in range(60):
            asked += len(rig.network.calls)
            while rig.network.calls:
                rig.network.decide(0, Fate.LOST)
            rig.processes[0].clock.advance(1.0)
        assert asked < 60
        rig.settle(60)
        assert not rig.processes[0].desk.open

    def test_expired_lease_is_replaced(self, rig: OrderRig) -> None:
        rig.place(0, "k1")
        rig.settle(2)
        rig.values.leases.clear()
        request = rig.place(0, "k2")
        rig.settle(2)
        assert isinstance(rig.results[request], Success)

    def test_malformed_claim_is_unknown(self, rig: OrderRig) -> None:
        rig.place(0, "k")
        rig.settle(2)
        (name,) = rig.values.held
        rig.values.put(name, b"{]", rig.values.held[name].revision, "")
        again = rig.place(1, "k")
        rig.settle(2)
        assert kind(rig, again) is ErrorKind.OUTCOME_UNKNOWN


class TestTargetFaults:
    def test_refusal_by_the_target_is_not_run_and_frees_the_key(
        self, rig: OrderRig
    ) -> None:
        request = rig.place(0, "k")
        deliver(rig, LEASED, CLAIMED, Fate.REFUSED)
        assert kind(rig, request) is ErrorKind.OVERLOADED
        rig.settle(2)
        again = rig.place(1, "k")
        rig.settle(2)
        assert isinstance(rig.results[again], Success)
        assert rig.began("k") == 1

    @pytest.mark.parametrize("fate", [Fate.REPLY_LOST, Fate.LOST, Fate.DELAYED])
    def test_lost_connection_stays_unknown(self, rig: OrderRig, fate: Fate) -> None:
        request = rig.place(0, "k")
        deliver(rig, LEASED, CLAIMED, fate)
        assert kind(rig, request) is ErrorKind.OUTCOME_UNKNOWN
        rig.settle(2)
        again = rig.place(1, "k")
        rig.settle(2)
        assert kind(rig, again) is ErrorKind.OUTCOME_UNKNOWN
        assert rig.began("k") <= 1

    def test_unknown_becomes_run_if_the_target_ran_the_key(self, rig: OrderRig) -> None:
        rig.place(0, "k")
        deliver(rig, LEASED, CLAIMED, Fate.REPLY_LOST)
        rig.settle(2)
        desk = rig.processes[1].desk
        asked: Deferred[bool] = Deferred()
        desk.ports = desk.ports._replace(ask_target=lambda replica, key: asked)
        again = rig.place(1, "k")
        rig.network.decide(0, Fate.DONE)
        rig.network.decide(0, Fate.DONE)
        asked.callback(True)
        answer = rig.results[again].unwrap()
        assert (answer.body_kept, answer.repeated) == (False, True)

    def test_reply_after_the_deadline_is_recorded(self, rig: OrderRig) -> None:
        request = rig.place(0, "k", deadline_ms=500.0)
        deliver(rig, LEASED, CLAIMED)
        rig.processes[0].clock.advance(0.6)
        assert kind(rig, request) is ErrorKind.OUTCOME_UNKNOWN
        rig.settle(2)
        assert look_up(rig, 1, "k") is OrderState.RUN


class TestPausesAndCrashes:
    def test_claim_stored_after_the_deadline_sends_nothing(self, rig: OrderRig) -> None:
        request = rig.place(0, "k", deadline_ms=500.0)
        deliver(rig, LEASED)
        rig.processes[0].clock.advance(0.6)
        assert kind(rig, request) is ErrorKind.STORE_UNAVAILABLE
        deliver(rig, CLAIMED)
        rig.settle(5)
        assert rig.began("k") == 0
        assert look_up(rig, 1, "k") is OrderState.NOT_RUN

    def test_abandoned_claim_becomes_unknown_and_is_not_replaced(
        self, rig: OrderRig
    ) -> None:
        rig.place(0, "k")
        deliver(rig, LEASED, CLAIMED)
        rig.crash(0)
        rig.network.calls.clear()
        for process in rig.processes:
            process.clock.advance(60.0)
        again = rig.place(1, "k")
        rig.settle(2)
        assert kind(rig, again) is ErrorKind.OUTCOME_UNKNOWN
        assert rig.began("k") == 0
        assert check_all(rig.history) == []
