"""Exposure, evidence and codecs of rollouts."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Result, Success

from sardinehook.gateway.dispatch import Answered, Exchange, Failed, NotRun
from sardinehook.gateway.interfaces import Load
from sardinehook.gateway.rollout.evidence import (
    EvidenceReader,
    ReplicaKey,
    bucket_of,
    subject_of,
)
from sardinehook.gateway.rollout.exposure import Exposure
from sardinehook.gateway.rollout.leader import StateWriter
from sardinehook.gateway.rollout.local_ledger import LocalLedger
from sardinehook.gateway.rollout.orders import (
    Phase,
    RolloutOrder,
    RolloutState,
    decode_state,
)
from sardinehook.gateway.rollout.plan import Situation, next_state
from sardinehook.gateway.rollout.recorder import RolloutRecorder
from sardinehook.gateway.rollout.service import ServiceRollout
from sardinehook.gateway.rollout.verdict import Undecided
from sardinehook.gateway.store import Conflict, Item, StoreProblem, Write
from sardinehook.platform.discovery import PlatformKeys
from sardinehook.platform.kv_store import read_conditional_write
from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.connection import Reply
from tests.gateway.fake_transport import RecordingReactor
from tests.gateway.support import (
    REQUEST,
    configuration,
    make_gateway,
    reply,
    single_route,
)
from tests.gateway.test_follower import ScriptedStore

KEY = ReplicaKey("i-1", "here", True, False)


class TestExposure:
    """Guards against roundings of many gateways that add up."""

    @pytest.mark.parametrize("requests", [1, 7, 100])
    def test_sum_of_many_gateways_is_the_share(self, requests: int) -> None:
        rng = Random(1)
        new = 0
        for _ in range(400):
            exposure = Exposure(rng.random())
            exposure.set_share(0.1, 30 / 400)
            for _ in range(requests):
                due = exposure.is_due
                exposure.record(due)
                new += due
        assert abs(new - 0.1 * 400 * requests) < 30 + 25

    def test_extra_requests_do_not_grow_when_registrations_end(self) -> None:
        """Where leases are lost, each gateway would take a part for all the others."""
        rollout = ServiceRollout("desk", 0.0)
        rollout.begin(RolloutOrder("desk", "2", 60.0), 5, True, 0.0)
        rollout.state = RolloutState("2", 60.0, 3, Phase.CANARY, 0.0, 30.0)
        for gateways in (60, 98, 5, 1):
            rollout.update_share(gateways, 1.0)
        assert rollout.exposure.credit == pytest.approx(30.0 / 60)

    def test_request_that_reached_no_replica_is_counted_back(self) -> None:
        exposure = Exposure(0.95)
        exposure.set_share(0.1, 0.0)
        exposure.record(True)
        exposure.give_back(True)
        assert exposure.credit == pytest.approx(0.95)


class TestEvidence:
    def test_intervals_follow_each_other_without_gaps(self) -> None:
        """Guards against answers that are counted twice, or not at all."""
        ledger = LocalLedger()
        reader = EvidenceReader(ledger, "desk", "2", 50.0)
        rng = Random(2)
        now, recorded, read = 50.0, 0, 0
        subject = subject_of("desk", "2", "r", KEY, "requests")
        while now < 80.0:
            now += rng.uniform(0.0, 0.3)
            if now < 75.0:
                ledger.record(subject, 1.0, now)
                recorded += 1
            found = reader.read(["r"], [KEY], now)
            read += found["r"][KEY].requests if found else 0
        assert read == recorded

    def test_names_with_separators_do_not_collide(self) -> None:
        subjects = {
            subject_of("a/b", "2", "c", KEY, "requests"),
            subject_of("a", "b/2", "c", KEY, "requests"),
            subject_of("a", "2", "b/c", KEY, "requests"),
        }
        assert len(subjects) == 3


class TestDrainOfTheOldReplicas:
    """Guards against requests that are lost when the old replicas stop."""

    @pytest.mark.parametrize("age_s", [54.0, 59.9])
    def test_nothing_is_completed_while_requests_may_run_there(
        self, age_s: float
    ) -> None:
        state = RolloutState("2", 60.0, 6, Phase.DRAINING_OLD, 1.0)
        found = Undecided("", False)
        draining = Situation(
            age_s, 1.0, found, 90, (0.0, 0.0), True, False, 5.0, 10.0, 0.1, 50.0
        )
        assert next_state(state, draining) is None
        for drained in (
            draining._replace(phase_age_s=5.0, old_is_idle=True),
            draining._replace(phase_age_s=15.0),
        ):
            following = next_state(state, drained)
            assert following is not None
            assert following.phase is Phase.COMPLETED
        ended = next_state(state, draining._replace(age_s=60.0))
        assert ended is not None
        assert ended.phase is Phase.ROLLED_BACK


class TestRecorder:
    """Guards against trouble of a replica that counts against its version."""

    def setup_method(self) -> None:
        self.gateway = make_gateway()
        self.gateway.directory.configure(configuration(single_route(True)))
        self.replica = self.gateway.add("i-1", "desk")
        self.replica.entry = self.replica.entry._replace(version="2")
        self.ledger = LocalLedger()
        self.recorder = RolloutRecorder(
            self.gateway.directory, "here", self.ledger, self.ledger, lambda *_: None
        )
        self.rollout = ServiceRollout("desk", 0.5)
        self.rollout.begin(RolloutOrder("desk", "2", 60.0), 1, True, 100.0)

    def exchange(self, took_s: float = 0.1) -> Exchange:
        now = self.gateway.reactor.seconds()
        found = Exchange(REQUEST, self.replica, now, now + 1.0, lambda *_: None)
        found.sent_at = now - took_s
        return found

    def counted(self, counter: str) -> float:
        subject = subject_of("desk", "2", "o", KEY, counter)
        return self.ledger.total(subject, 2.0, self.gateway.reactor.seconds())

    def end(self, outcome: Answered | Failed | NotRun, took_s: float = 0.1) -> None:
        now = self.gateway.reactor.seconds()
        self.recorder.record_end(self.rollout, self.exchange(took_s), outcome, now)

    def test_answers_and_failures_are_counted(self) -> None:
        self.end(Answered(reply(200, b"s")))
        self.end(Answered(reply(500, b"s")))
        self.end(Answered(reply(404, b"s")))
        self.end(Failed("lost"))
        assert (self.counted("requests"), self.counted("failures")) == (4.0, 2.0)

    def test_nothing_is_sent_to_holders_after_the_decision(self) -> None:
        """An order may stay in the store for days."""
        self.rollout.state = RolloutState("2", 60.0, 9, Phase.COMPLETED, 1.0)
        self.end(Answered(reply(200, b"s")))
        assert not self.ledger.slots

    def test_refusal_counts_unless_the_replica_is_busy(self) -> None:
        self.end(NotRun("refused with status 503", True))
        assert self.counted("failures") == 1.0
        self.replica.observe_load(Load(2, 3, 2), self.gateway.reactor.seconds())
        self.end(NotRun("refused with status 503", True))
        assert self.counted("requests") == 1.0

    def test_cold_replica_is_not_timed(self) -> None:
        self.replica.cold_until = 1e9
        self.end(Answered(reply(200, b"s")))
        assert self.counted("requests") == 1.0
        assert self.counted(f"t{bucket_of(0.1)}") == 0.0

    def test_reply_given_up_for_that_to_a_hedge_is_slow(self) -> None:
        now = self.gateway.reactor.seconds()
        self.recorder.record_abandoned(self.rollout, self.exchange(0.4), now)
        assert self.counted(f"t{bucket_of(0.6)}") == 1.0
        self.recorder.record_abandoned(self.rollout, self.exchange(0.01), now)
        assert self.counted("requests") == 1.0


class TestCodecs:
    @given(st.binary(max_size=60))
    def test_never_raises(self, value: bytes) -> None:
        keys = PlatformKeys()
        keys.read_rollout("desk", value)
        keys.read_rollout_status(value)
        decode_state(value)

    def test_conflict_has_the_current_items(self) -> None:
        body = b'{"items":[{"Key":"a","Value":"MQ==","Revision":7}]}'
        problem = read_conditional_write(Reply(412, (), body)).failure()
        assert problem == Conflict((Item("a", b"1", 7),))

    @pytest.mark.parametrize("status", [412, 200, 503])
    def test_malformed_answer_is_no_success(self, status: int) -> None:
        problem = read_conditional_write(Reply(status, (), b"x")).failure()
        assert isinstance(problem, StoreUnavailable)


class TestStateWriter:
    def test_nothing_is_written_on_revisions_of_an_earlier_era(self) -> None:
        """The store may have given the same revision to another write."""
        writer = StateWriter(
            RecordingReactor(),
            ScriptedStore(),
            PlatformKeys(),
            lambda _rollout, _items: None,
            lambda _rollout, _state, _revision: None,
        )
        assert writer.may_write("desk", 1.0)
        writer.is_behind = lambda: True
        assert not writer.may_write("desk", 1.0)

    def test_a_write_that_an_older_copy_lost_is_written_again(self) -> None:
        """Its revision, of the earlier era, would count as that of the new one."""
        store, eras, written = ScriptedStore(), [1], []

        async def write_if(writes: Sequence[Write]) -> Result[int, StoreProblem]:
            eras.append(2)
            rollout.record_stored(None, 0)  # by the listing of the new era
            return Success(70)

        store.write_if = write_if  # type: ignore[method-assign]
        writer = StateWriter(
            RecordingReactor(),
            store,
            PlatformKeys(),
            lambda _rollout, _items: None,
            lambda _rollout, state, _revision: written.append(state),
        )
        writer.era = lambda: eras[-1]
        rollout = ServiceRollout("desk", 0.5)
        rollout.begin(RolloutOrder("desk", "2", 60.0), 5, True, 0.0)
        rollout.state = RolloutState("2", 60.0, 7, Phase.COMPLETED, 1.0)
        writer.write(rollout, rollout.state)
        assert written == [rollout.state]
        assert (rollout.stored_state, rollout.status_revision) == (None, 0)
        assert rollout.must_write
