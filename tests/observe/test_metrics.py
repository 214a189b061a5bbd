"""Tests of the metrics of an entry process."""

from __future__ import annotations

from sardinehook.errors import ErrorKind
from sardinehook.messages import TargetState
from sardinehook.observe.metrics import (
    MAX_WORKLOADS,
    OTHER_WORKLOAD,
    Attempt,
    Metrics,
)


class TestMetrics:
    def test_rendered_text_contains_recorded_values(self) -> None:
        metrics = Metrics()
        metrics.observe_answer("storm", 0.04, 0.98)
        metrics.observe_refusal("storm", 0.001, ErrorKind.OVERLOADED)
        metrics.count_sub_queries("storm", Attempt.HEDGE, 3)
        metrics.set_replicas({TargetState.COLD: 2})
        text = metrics.render().decode()
        hedges = 'sub_queries_total{attempt="hedge",workload="storm"} 3.0'
        assert f"sardinehook_{hedges}" in text
        assert 'sardinehook_refusals_total{kind="overloaded"} 1.0' in text
        assert 'sardinehook_replicas{state="cold"} 2.0' in text
        assert 'sardinehook_replicas{state="warm"} 0.0' in text

    def test_instances_do_not_share_a_registry(self) -> None:
        first, second = Metrics(), Metrics()
        first.in_flight.inc()
        assert b"sardinehook_in_flight 0.0" in second.render()

    def test_workload_labels_are_bounded(self) -> None:
        metrics = Metrics()
        for number in range(10 * MAX_WORKLOADS):
            metrics.observe_answer(f"w{number}", 0.01, 1.0)
        assert metrics.workload("w0") == "w0"
        assert metrics.workload("one-more") == OTHER_WORKLOAD
        labels = metrics.render().decode().count("coverage_ratio_count{")
        assert labels == MAX_WORKLOADS + 1
