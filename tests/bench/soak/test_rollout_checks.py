"""Each check of rollouts detects its violation and accepts a correct history."""

from __future__ import annotations

from bench.soak.checks import Guarantees
from bench.soak.history import Arrival, History, RolloutRecord
from bench.soak.rollout_checks import check_rollouts


def correct_history(defect: str = "good") -> History:
    """Return a history with a rollout that is decided rightly after 20 s."""
    decision = "completed" if defect == "good" else "rolled_back"
    record = RolloutRecord("till", defect, 10.0, 50.0, ["o"], ["n"])
    record.decision, record.decided_at = decision, 30.0
    history = History(rollouts=[record])
    for number in range(200):
        name = "n" if number % 10 == 0 else "o"
        history.arrivals.append(Arrival(f"r{number}", name, 10.0 + 0.1 * number))
    return history


def violated(history: History) -> list[str]:
    """Return the guarantees that are violated."""
    return [one.guarantee for one in check_rollouts(history, Guarantees())]


class TestRolloutChecks:
    def test_correct_histories_pass(self) -> None:
        assert not violated(correct_history())
        assert not violated(correct_history("failing"))

    def test_too_large_share_is_detected(self) -> None:
        history = correct_history()
        history.arrivals += [Arrival("x", "n", 12.0)] * 60
        assert violated(history) == ["canary share"]
        history.rollouts[0].found_good_at = 11.0
        assert not violated(history)

    def test_late_request_to_a_bad_version_is_detected(self) -> None:
        history = correct_history("failing")
        history.rollouts[0].bad_answers = [12.0] * 50
        assert violated(history) == ["roll back"]

    def test_wrong_late_or_changed_decision_is_detected(self) -> None:
        history = correct_history()
        record = history.rollouts[0]
        record.decided_at = 51.0
        record.later_decision = "rolled_back"
        assert violated(history) == ["rollout", "rollout"]
        record.decision = record.later_decision = ""
        assert violated(history) == ["rollout"]

    def test_request_at_an_old_replica_is_detected_if_calm(self) -> None:
        history = correct_history()
        history.rollouts[0].at_old_when_completed = 1
        assert violated(history) == ["drained"]
        history.record_disturbance("store", 28.0, 29.0)
        assert not violated(history)
