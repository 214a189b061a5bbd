"""Tests of plans, of the choice of snapshots and of the choice of replicas."""

from __future__ import annotations

import pytest

from sardinehook.environment.document import (
    DataCentre,
    DataCentreState,
    EnvironmentDocument,
    Index,
    Replica,
    Scope,
    Workload,
)
from sardinehook.errors import ErrorKind
from sardinehook.messages import Outcome, ReplicaReport, TargetState
from sardinehook.query.planner import Planner
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.replica_choice import Placement, ReplicaChooser
from sardinehook.query.search import Search, SearchRequest
from sardinehook.query.snapshot import ANY_SNAPSHOT, Holdings, choose_snapshot
from tests.query.support import NEW, OLD, reply_to, sent

OWN = Placement("own", "szolnok-b")
TWIN = Placement("twin", "szolnok-b")
REMOTE = Placement("remote", "bekes-c")
ALL = Workload(["logs"], Scope.ALL, 150.0, 0.5)
ONE = Workload(["logs"], Scope.ONE, 150.0, 1.0)


def document(state: DataCentreState = DataCentreState.IN) -> EnvironmentDocument:
    services = {
        f"logs-{number}": [
            Replica(f"logs-{number}-{letter}", data_centre, "127.0.0.1:80")
            for letter, data_centre in (("a", "szolnok-b"), ("b", "bekes-c"))
        ]
        for number in range(3)
    }
    return EnvironmentDocument(
        "trial",
        {"szolnok-b": DataCentre("alfold"), "bekes-c": DataCentre("alfold", state)},
        {"logs": Index(2, 25, 6.0, services)},
        {"storm": ALL, "lookup": ONE},
    )


def planner(state: DataCentreState = DataCentreState.IN) -> Planner:
    held = Planner(SearchPolicy(chooser=ReplicaChooser("szolnok-b", 1)))
    held.apply(document(state))
    return held


def view(
    replica: str,
    state: TargetState = TargetState.WARM,
    versions: tuple[int, ...] = (42,),
    wait_ms: float = 1.0,
) -> ReplicaReport:
    return ReplicaReport(replica, state, versions, 1, wait_ms, 2)


def chooser() -> ReplicaChooser:
    return ReplicaChooser("szolnok-b", 1)


class TestPlan:
    def test_all_services_own_data_centre_first(self) -> None:
        plan = planner().plan(ALL, "", 0.0).unwrap()
        assert [service.service for service in plan.services] == [
            "logs-0",
            "logs-1",
            "logs-2",
        ]
        assert plan.services[0].replicas == ("logs-0-a", "logs-0-b")
        assert plan.snapshots == {}

    def test_one_service(self) -> None:
        plan = planner().plan(ONE, "logs-1", 0.0).unwrap()
        assert [service.service for service in plan.services] == ["logs-1"]
        problem = planner().plan(ONE, "elsewhere", 0.0).failure()
        assert problem.kind is ErrorKind.NOT_FOUND

    def test_counts_what_a_plan_would_ask(self) -> None:
        assert planner().count_services(ALL, "") == 3
        assert planner().count_services(ONE, "logs-1") == 1
        assert planner().count_services(ONE, "elsewhere") == 0

    def test_data_centre_that_is_out_gets_nothing(self) -> None:
        plan = planner(DataCentreState.OUT).plan(ALL, "", 0.0).unwrap()
        assert plan.services[0].replicas == ("logs-0-a",)

    def test_replicas_that_left_the_document_are_forgotten(self) -> None:
        held = planner()
        for replica in ("logs-0-a", "former"):
            held.observe_report(view(replica), 0.0)
        held.apply(document())
        assert set(held.policy.chooser.records) == {"logs-0-a"}
        assert set(held.policy.holdings.held) == {"logs-0-a"}

    def test_replica_without_the_snapshot_comes_last(self) -> None:
        held = planner()
        for number in range(3):
            held.observe_report(view(f"logs-{number}-a", versions=(41, 42)), 0.0)
            held.observe_report(view(f"logs-{number}-b", versions=(41, 42)), 0.0)
        held.observe_report(view("logs-0-a", versions=(41,)), 0.0)
        plan = held.plan(ALL, "", 1.0).unwrap()
        assert plan.snapshots == {"logs": NEW}
        assert plan.services[0].replicas == ("logs-0-b", "logs-0-a")

    def test_replies_teach_the_snapshot_without_any_view(self) -> None:
        held = planner()
        plan = held.plan(ALL, "", 0.0).unwrap()
        request = SearchRequest("r1", "storm", 0.15, 10, b"{}")
        search = Search(request, ALL, plan.services, plan.snapshots, held.policy, 0.0)
        for query in sent(search.begin(0.0)):
            search.on_reply(reply_to(query), 0.01)
        assert held.plan(ALL, "", 0.02).unwrap().snapshots == {"logs": NEW}


class TestChooseSnapshot:
    def test_most_services_go_before_the_newest(self) -> None:
        holdings = Holdings()
        for replica in ("a", "b"):
            holdings.confirm(replica, OLD)
        holdings.confirm("b", NEW)
        assert choose_snapshot([["a"], ["b"]], holdings) == OLD
        holdings.confirm("a", NEW)
        assert choose_snapshot([["a"], ["b"]], holdings) == NEW

    def test_half_of_the_replicas_do_not_get_all_of_the_load(self) -> None:
        holdings = Holdings()
        for replica in ("a1", "a2", "b1", "b2"):
            holdings.confirm(replica, OLD)
        for replica in ("a1", "b1"):
            holdings.confirm(replica, NEW)
        services = [["a1", "a2"], ["b1", "b2"]]
        assert choose_snapshot(services, holdings) == OLD
        holdings.confirm("a2", NEW)
        assert choose_snapshot(services, holdings) == NEW

    def test_refusal_corrects_a_view(self) -> None:
        holdings = Holdings()
        holdings.observe_report(view("a", versions=(41, 42)))
        holdings.refuse("a", NEW, ANY_SNAPSHOT)
        assert holdings.of("a") == {OLD}

    def test_one_partitioning_at_a_replica(self) -> None:
        holdings = Holdings()
        holdings.confirm("a", NEW)
        holdings.confirm("a", NEW._replace(partitioning=2))
        assert holdings.of("a") == {NEW._replace(partitioning=2)}


class TestReplicaChoice:
    def test_real_replies_go_before_a_misleading_hint(self) -> None:
        held = chooser()
        held.observe_report(view("own", wait_ms=0.1), 10.0)
        held.observe_report(view("twin", wait_ms=50.0), 10.0)
        for replica, latency_ms in (("own", 100.0), ("twin", 3.0)):
            held.observe_sent(replica, 10.0)
            held.observe_reply(replica, Outcome.ANSWERED, latency_ms, 10.0)
        assert held.order([OWN, TWIN], 10.1) == ("twin", "own")

    def test_spills_only_when_the_own_replica_is_much_worse(self) -> None:
        held = chooser()
        for replica, latency_ms in (("own", 15.0), ("remote", 5.0)):
            held.observe_sent(replica, 0.0)
            held.observe_reply(replica, Outcome.ANSWERED, latency_ms, 0.0)
        assert held.order([OWN, REMOTE], 0.1) == ("own", "remote")
        for _ in range(4):
            held.observe_sent("own", 0.1)
        assert held.order([OWN, REMOTE], 0.1) == ("remote", "own")

    def test_replica_that_is_always_given_up_as_slow_is_avoided(self) -> None:
        held = chooser()
        for replica in ("own", "twin"):
            held.observe_sent(replica, 0.0)
            held.observe_reply(replica, Outcome.ANSWERED, 4.0, 0.0)
        for _ in range(5):
            held.observe_sent("twin", 0.0)
            held.observe_given_up("twin", 12.0, 0.0)
        held.observe_sent("own", 0.0)
        assert held.order([OWN, TWIN], 0.1) == ("own", "twin")
        assert held.is_much_slower("twin", "own")
        assert not held.is_much_slower("own", "twin")

    def test_failing_replica_comes_last_and_is_probed(self) -> None:
        held = chooser()
        for replica in ("own", "twin"):
            held.observe_sent(replica, 0.0)
        held.observe_reply("own", Outcome.SHED, 1.0, 0.0)
        held.observe_reply("twin", Outcome.ANSWERED, 5.0, 0.0)
        assert held.order([OWN, TWIN], 0.1) == ("twin", "own")
        assert held.order([OWN, TWIN], 2.0)[0] in ("own", "twin")
        held.observe_sent("twin", 2.0)
        assert held.order([OWN, TWIN], 2.0) == ("own", "twin")
        held.observe_sent("own", 2.0)
        assert held.order([OWN, TWIN], 2.0) == ("twin", "own")

    @pytest.mark.parametrize("state", [TargetState.DRAINING, TargetState.GONE])
    def test_leaving_replica_gets_nothing(self, state: TargetState) -> None:
        held = chooser()
        held.observe_report(view("own", state), 0.0)
        assert held.order([OWN, TWIN], 0.1) == ("twin",)

    def test_cold_replica_comes_last(self) -> None:
        held = chooser()
        held.observe_report(view("own", TargetState.COLD), 0.0)
        assert held.order([OWN, REMOTE], 9.0) == ("remote", "own")

    def test_equal_replicas_share_the_load(self) -> None:
        held = chooser()
        for number in range(100):
            first, _ = held.order([OWN, TWIN], number * 0.001)
            held.observe_sent(first, number * 0.001)
        counts = [held.record_of(name).outstanding for name in ("own", "twin")]
        assert counts == [50, 50]
