"""Tests of the simulated target, and of the owner against its faults."""

from __future__ import annotations

from collections import Counter
from typing import cast

import msgspec
import pytest

from bench.memory_reactor import MemoryReactor
from bench.target import TargetGroup
from bench.target_host import ListeningReactor, TargetHost
from bench.target_records import Shard, records_body
from bench.target_settings import Control, ReplicaSettings, TargetSettings
from sardinehook.environment.document import Index, Replica
from sardinehook.messages import Outcome, SubQuery, SubReply, TargetState
from sardinehook.target.allowance import Allowance
from sardinehook.target.limits import OwnerLimits
from sardinehook.target.owner import TargetOwner


class TargetScenario:
    """One simulated target and its owner, on a fake clock."""

    def __init__(self, slots: int = 2, **fields: object) -> None:
        self.reactor = MemoryReactor()
        replica = ReplicaSettings(service="s", index="i", name="s-a", slots=slots)
        for name, value in fields.items():
            setattr(replica, name, value)
        self.group = TargetGroup(
            cast(ListeningReactor, self.reactor), TargetSettings([replica])
        )
        self.group.listen()
        listed = self.group.addresses()[0]
        self.owner = TargetOwner(self.reactor, OwnerLimits())
        index = Index(slots, 25, 1.0, {"s": [Replica("s-a", "dc", listed.address)]}, 1)
        self.owner.configure({"i": index})
        self.owner.set_allowance("s-a", Allowance(slots, 20, True))
        self.replies: list[SubReply] = []
        self.submitted = 0
        self.advance(0.1)

    @property
    def host(self) -> TargetHost:
        return self.group.hosts["s-a"]

    @property
    def state(self) -> TargetState:
        return self.owner.views()[0].state

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.0005)):
            self.reactor.advance(0.0005)

    def load(self, seconds: float, gap_s: float = 0.002, order: bool = False) -> None:
        """Submit sub-queries at a constant rate."""
        for _ in range(round(seconds / gap_s)):
            self.submitted += 1
            number = self.submitted
            key = f"k{number}" if order else ""
            query = SubQuery(
                number, f"r{number}", "s", "s-a", 0, 0, 150.0, 5, key, b"{}"
            )
            self.owner.submit("peer", query, self.replies.append)
            self.advance(gap_s)

    def do(self, action: str, **fields: object) -> None:
        """Apply a control request."""
        control = {"do": action, "set": fields}
        self.group.control(
            msgspec.convert(msgspec.to_builtins(control), ControlRequest).decode()
        )

    def outcomes(self) -> Counter[Outcome]:
        self.advance(0.3)
        assert len(self.replies) == self.submitted
        return Counter(reply.outcome for reply in self.replies)


class ControlRequest(msgspec.Struct):
    """A control request with plain values."""

    do: str = ""
    set: dict[str, int | float | str | bool | list[int]] = {}

    def decode(self) -> Control:
        return msgspec.json.decode(msgspec.json.encode(self), type=Control)


class TestColdStart:
    def test_cold_target_is_not_overloaded_and_warms_up(self) -> None:
        scenario = TargetScenario(slots=3, cold=True)
        scenario.load(2.0)
        counters = scenario.host.model.counters
        assert (counters.cold_overruns, counters.peak_in_flight_cold) == (0, 1)
        assert scenario.state is TargetState.WARM
        assert counters.peak_in_flight == 3

    def test_restarted_target_is_not_overloaded(self) -> None:
        scenario = TargetScenario(slots=3)
        scenario.load(0.5)
        for _ in range(4):
            scenario.do("restart")
            scenario.load(0.6)
        assert scenario.host.model.counters.cold_overruns == 0
        assert scenario.outcomes()[Outcome.ANSWERED] > 800

    def test_unannounced_cold_state_overloads_target_at_most_once(self) -> None:
        scenario = TargetScenario(slots=2)
        scenario.load(0.5)
        scenario.do("cold")
        scenario.load(2.0)
        assert scenario.host.model.counters.fell_over <= 1

    def test_simulated_target_records_overload_while_cold(self) -> None:
        scenario = TargetScenario(slots=3, cold=True)
        scenario.owner.clients["s-a"].ramp.bound = 3
        scenario.load(0.1, gap_s=0.001)
        counters = scenario.host.model.counters
        assert counters.fell_over >= 1
        assert counters.peak_in_flight_cold == 2


class TestFaults:
    @pytest.mark.parametrize(
        ("field", "outcomes"),
        [
            ("truncated_rate", {Outcome.GARBLED}),
            ("foreign_rate", {Outcome.GARBLED}),
            ("garbage_rate", {Outcome.GARBLED}),
            ("error_rate", {Outcome.FAILED}),
            ("shed_rate", {Outcome.SHED}),
            ("lost_reply_rate", {Outcome.CONNECTION_LOST}),
        ],
    )
    def test_faulty_reply_is_never_reported_as_answered(
        self, field: str, outcomes: set[Outcome]
    ) -> None:
        scenario = TargetScenario()
        scenario.do("", **{field: 1.0})
        scenario.load(0.5, gap_s=0.01)
        assert set(scenario.outcomes()) - {Outcome.NOT_RUN} == outcomes

    def test_duplicate_reply_does_not_affect_next_exchange(self) -> None:
        scenario = TargetScenario()
        scenario.do("", duplicate_rate=1.0)
        scenario.load(0.5, gap_s=0.005)
        assert scenario.outcomes() == {Outcome.ANSWERED: 100}

    def test_silent_connections_are_replaced(self) -> None:
        scenario = TargetScenario()
        scenario.load(0.5, gap_s=0.005)
        scenario.do("silence")
        scenario.load(1.0, gap_s=0.005)
        outcomes = scenario.outcomes()
        assert outcomes[Outcome.ANSWERED] >= 295
        assert sum(outcomes.values()) == 300

    def test_order_runs_at_most_once_under_faults(self) -> None:
        scenario = TargetScenario(slots=4)
        scenario.do("", lost_reply_rate=0.2, truncated_rate=0.2, straggler_rate=0.1)
        scenario.load(1.0, gap_s=0.005, order=True)
        scenario.do("silence")
        scenario.load(0.5, gap_s=0.005, order=True)
        scenario.do("restart")
        scenario.load(0.5, gap_s=0.005, order=True)
        scenario.outcomes()
        runs = scenario.host.model.counters.orders
        assert set(runs.values()) == {1}
        for reply in scenario.replies:
            if not reply.began:
                assert f"k{reply.sub_query_id}" not in runs

    def test_draining_target_gets_no_new_work(self) -> None:
        scenario = TargetScenario(works_while_draining=True)
        scenario.load(0.5)
        scenario.do("drain")
        scenario.load(2.0)
        assert scenario.host.model.counters.begun_while_draining <= 2
        assert scenario.state is TargetState.DRAINING

    def test_false_draining_status_does_not_stop_work(self) -> None:
        scenario = TargetScenario(status_state="draining")
        scenario.load(1.0, gap_s=0.01)
        assert scenario.outcomes() == {Outcome.ANSWERED: 100}

    def test_status_without_draining_does_not_resume_work(self) -> None:
        scenario = TargetScenario(status_state="warm", works_while_draining=True)
        scenario.load(0.5)
        scenario.do("drain")
        scenario.load(3.0, gap_s=0.01)
        assert scenario.host.model.counters.begun_while_draining <= 2

    def test_connection_limit_is_kept(self) -> None:
        scenario = TargetScenario(connections=20)
        scenario.load(0.5, gap_s=0.0005)
        counters = scenario.host.model.counters
        assert counters.peak_connections <= 20
        assert counters.connections_refused == 0

    def test_target_aborts_work_at_the_deadline(self) -> None:
        scenario = TargetScenario(service_ms=500.0)
        scenario.load(0.4, gap_s=0.1)
        counters = scenario.host.model.counters
        assert counters.expired + counters.cancelled == counters.begun
        assert counters.finished == 0


class TestVersions:
    def test_version_not_held_is_refused_without_work(self) -> None:
        scenario = TargetScenario(versions=[3, 4])
        query = SubQuery(1, "r1", "s", "s-a", 5, 0, 150.0, 5, "", b"{}")
        scenario.owner.submit("peer", query, scenario.replies.append)
        scenario.advance(0.05)
        assert scenario.replies[0].outcome is Outcome.WRONG_VERSION
        assert not scenario.replies[0].began
        assert scenario.host.model.counters.begun == 0

    def test_new_index_versions_show_in_the_view(self) -> None:
        scenario = TargetScenario(versions=[3, 4])
        scenario.do("", versions=[4, 5], partitioning=2)
        scenario.load(0.1, gap_s=0.01)
        (view,) = scenario.owner.views()
        assert (view.index_versions, view.partitioning) == ((4, 5), 2)

    def test_each_partitioning_has_every_record_once(self) -> None:
        for partitioning in (1, 2, 3):
            ids: Counter[str] = Counter()
            for service in range(5):
                shard = Shard("i", service, 5, 1, partitioning)
                body = msgspec.json.decode(records_body(shard, 7, 1, False))
                ids.update(record["id"] for record in body["records"])
            assert len(ids) == 35
            assert set(ids.values()) == {1}
