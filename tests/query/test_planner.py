"""Tests of query planning, snapshot choice and replica selection."""

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
from sardinehook.query.snapshot import ANY_SNAPSHOT, ReplicaSnapshots, choose_snapshot
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


def make_planner(state: DataCentreState = DataCentreState.IN) -> Planner:
    planner = Planner(SearchPolicy(chooser=ReplicaChooser("szolnok-b", 1)))
    planner.apply(document(state))
    return planner


def make_report(
    replica: str,
    state: TargetState = TargetState.WARM,
    versions: tuple[int, ...] = (42,),
    wait_ms: float = 1.0,
) -> ReplicaReport:
    return ReplicaReport(replica, state, versions, 1, wait_ms, 2)


def make_chooser() -> ReplicaChooser:
    return ReplicaChooser("szolnok-b", 1)


class TestPlan:
    def test_all_services_are_planned_local_data_centre_first(self) -> None:
        plan = make_planner().plan(ALL, "", 0.0).unwrap()
        assert [service.service for service in plan.services] == [
            "logs-0",
            "logs-1",
            "logs-2",
        ]
        assert plan.services[0].replicas == ("logs-0-a", "logs-0-b")
        assert plan.snapshots == {}

    def test_scope_one_plans_a_single_service(self) -> None:
        plan = make_planner().plan(ONE, "logs-1", 0.0).unwrap()
        assert [service.service for service in plan.services] == ["logs-1"]
        problem = make_planner().plan(ONE, "elsewhere", 0.0).failure()
        assert problem.kind is ErrorKind.NOT_FOUND

    def test_count_services_matches_the_plan(self) -> None:
        assert make_planner().count_services(ALL, "") == 3
        assert make_planner().count_services(ONE, "logs-1") == 1
        assert make_planner().count_services(ONE, "elsewhere") == 0

    def test_replicas_of_a_data_centre_that_is_out_are_excluded(self) -> None:
        plan = make_planner(DataCentreState.OUT).plan(ALL, "", 0.0).unwrap()
        assert plan.services[0].replicas == ("logs-0-a",)

    def test_replicas_removed_from_the_document_are_dropped(self) -> None:
        planner = make_planner()
        for replica in ("logs-0-a", "former"):
            planner.observe_report(make_report(replica), 0.0)
        planner.apply(document())
        assert set(planner.policy.chooser.stats) == {"logs-0-a"}
        assert set(planner.policy.replica_snapshots.snapshots) == {"logs-0-a"}

    def test_replica_without_the_snapshot_comes_last(self) -> None:
        planner = make_planner()
        for number in range(3):
            planner.observe_report(
                make_report(f"logs-{number}-a", versions=(41, 42)), 0.0
            )
            planner.observe_report(
                make_report(f"logs-{number}-b", versions=(41, 42)), 0.0
            )
        planner.observe_report(make_report("logs-0-a", versions=(41,)), 0.0)
        plan = planner.plan(ALL, "", 1.0).unwrap()
        assert plan.snapshots == {"logs": NEW}
        assert plan.services[0].replicas == ("logs-0-b", "logs-0-a")

    def test_replies_determine_the_snapshot_without_any_report(self) -> None:
        planner = make_planner()
        plan = planner.plan(ALL, "", 0.0).unwrap()
        request = SearchRequest("r1", "storm", 0.15, 10, b"{}")
        search = Search(
            request, ALL, plan.services, plan.snapshots, planner.policy, 0.0
        )
        for query in sent(search.begin(0.0)):
            search.on_reply(reply_to(query), 0.01)
        assert planner.plan(ALL, "", 0.02).unwrap().snapshots == {"logs": NEW}


class TestChooseSnapshot:
    def test_snapshot_of_the_most_services_wins_over_the_newest(self) -> None:
        replica_snapshots = ReplicaSnapshots()
        for replica in ("a", "b"):
            replica_snapshots.confirm(replica, OLD)
        replica_snapshots.confirm("b", NEW)
        assert choose_snapshot([["a"], ["b"]], replica_snapshots) == OLD
        replica_snapshots.confirm("a", NEW)
        assert choose_snapshot([["a"], ["b"]], replica_snapshots) == NEW

    def test_snapshot_on_half_of_the_replicas_is_passed_over(self) -> None:
        replica_snapshots = ReplicaSnapshots()
        for replica in ("a1", "a2", "b1", "b2"):
            replica_snapshots.confirm(replica, OLD)
        for replica in ("a1", "b1"):
            replica_snapshots.confirm(replica, NEW)
        services = [["a1", "a2"], ["b1", "b2"]]
        assert choose_snapshot(services, replica_snapshots) == OLD
        replica_snapshots.confirm("a2", NEW)
        assert choose_snapshot(services, replica_snapshots) == NEW

    def test_wrong_version_corrects_a_report(self) -> None:
        replica_snapshots = ReplicaSnapshots()
        replica_snapshots.observe_report(make_report("a", versions=(41, 42)))
        replica_snapshots.correct("a", NEW, ANY_SNAPSHOT)
        assert replica_snapshots.of("a") == {OLD}

    def test_answer_replaces_snapshots_of_other_partitionings(self) -> None:
        replica_snapshots = ReplicaSnapshots()
        replica_snapshots.confirm("a", NEW)
        replica_snapshots.confirm("a", NEW._replace(partitioning=2))
        assert replica_snapshots.of("a") == {NEW._replace(partitioning=2)}


class TestReplicaChooser:
    def test_observed_latency_wins_over_a_misleading_report(self) -> None:
        chooser = make_chooser()
        chooser.observe_report(make_report("own", wait_ms=0.1), 10.0)
        chooser.observe_report(make_report("twin", wait_ms=50.0), 10.0)
        for replica, latency_ms in (("own", 100.0), ("twin", 3.0)):
            chooser.observe_sent(replica, 10.0)
            chooser.observe_reply(replica, Outcome.ANSWERED, latency_ms, 10.0)
        assert chooser.order([OWN, TWIN], 10.1) == ("twin", "own")

    def test_spills_over_only_when_the_local_replica_is_much_worse(self) -> None:
        chooser = make_chooser()
        for replica, latency_ms in (("own", 15.0), ("remote", 5.0)):
            chooser.observe_sent(replica, 0.0)
            chooser.observe_reply(replica, Outcome.ANSWERED, latency_ms, 0.0)
        assert chooser.order([OWN, REMOTE], 0.1) == ("own", "remote")
        for _ in range(4):
            chooser.observe_sent("own", 0.1)
        assert chooser.order([OWN, REMOTE], 0.1) == ("remote", "own")

    def test_replica_that_is_always_cancelled_as_slow_is_avoided(self) -> None:
        chooser = make_chooser()
        for replica in ("own", "twin"):
            chooser.observe_sent(replica, 0.0)
            chooser.observe_reply(replica, Outcome.ANSWERED, 4.0, 0.0)
        for _ in range(5):
            chooser.observe_sent("twin", 0.0)
            chooser.observe_slow_cancel("twin", 12.0, 0.0)
        chooser.observe_sent("own", 0.0)
        assert chooser.order([OWN, TWIN], 0.1) == ("own", "twin")
        assert chooser.is_much_slower("twin", "own")
        assert not chooser.is_much_slower("own", "twin")

    def test_failing_replica_comes_last_and_is_probed(self) -> None:
        chooser = make_chooser()
        for replica in ("own", "twin"):
            chooser.observe_sent(replica, 0.0)
        chooser.observe_reply("own", Outcome.SHED, 1.0, 0.0)
        chooser.observe_reply("twin", Outcome.ANSWERED, 5.0, 0.0)
        assert chooser.order([OWN, TWIN], 0.1) == ("twin", "own")
        assert chooser.order([OWN, TWIN], 2.0)[0] in ("own", "twin")
        chooser.observe_sent("twin", 2.0)
        assert chooser.order([OWN, TWIN], 2.0) == ("own", "twin")
        chooser.observe_sent("own", 2.0)
        assert chooser.order([OWN, TWIN], 2.0) == ("twin", "own")

    @pytest.mark.parametrize("state", [TargetState.DRAINING, TargetState.GONE])
    def test_draining_or_gone_replica_is_excluded(self, state: TargetState) -> None:
        chooser = make_chooser()
        chooser.observe_report(make_report("own", state), 0.0)
        assert chooser.order([OWN, TWIN], 0.1) == ("twin",)

    def test_cold_replica_comes_last(self) -> None:
        chooser = make_chooser()
        chooser.observe_report(make_report("own", TargetState.COLD), 0.0)
        assert chooser.order([OWN, REMOTE], 9.0) == ("remote", "own")

    def test_equal_replicas_share_the_load(self) -> None:
        chooser = make_chooser()
        for number in range(100):
            first, _ = chooser.order([OWN, TWIN], number * 0.001)
            chooser.observe_sent(first, number * 0.001)
        counts = [chooser.stats_of(name).outstanding for name in ("own", "twin")]
        assert counts == [50, 50]
