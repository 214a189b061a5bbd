"""Bursts and averages of organisations, and the counts that levels depend on."""

from __future__ import annotations

from random import Random

import pytest

from sardinehook.gateway.fleet import GatewayRecord
from sardinehook.gateway.organisations.organisation import Organisation
from sardinehook.gateway.quota.admission import (
    QuotaAdmission,
    quota_bucket,
    quota_limit,
)
from sardinehook.gateway.quota.bucket import REPLAY_S
from sardinehook.gateway.quota.gate import Admitted
from sardinehook.gateway.usage.ledger import FleetLedger
from sardinehook.gateway.usage.table import UsageTable
from tests.gateway.quota.fleet import BOUNDS, SimulatedFleet, bound, most_in_window

CALM = Organisation("calm", None, 2.0, 2.0)
USUAL_PER_S = CALM.rate_per_s / 1.6
BUSY = Organisation("busy", None, 8.0, 20.0)  # 60 in a window, a bucket of 33
CLOCK_S = 0.01  # by which another data centre takes a request for later than it was
GATEWAYS = 9  # of which six are holders


def run_fleet(
    organisation: Organisation, seed: int, seconds: float, rate_per_s: float
) -> SimulatedFleet:
    """Run a small fleet with random requests of one organisation."""
    fleet = SimulatedFleet(organisation, gateways=GATEWAYS)
    fleet.random = Random(seed)
    fleet.run(6.0)
    fleet.run(seconds, rate_per_s, organisation.name)
    return fleet


def refused_within_bucket(fleet: SimulatedFleet, organisation: Organisation) -> int:
    """Count the refusals at times when an exact bucket had a request left."""
    rate, depth = quota_bucket(organisation, BOUNDS)
    level, at = depth, 0.0
    refused = 0
    for decided in fleet.decided:
        level = min(depth, level + rate * (decided.at - at))
        at = decided.at
        if isinstance(decided.decision, Admitted):
            level -= 1.0
        else:
            refused += level >= 1.0 + rate * CLOCK_S
    return refused


class TestBursts:
    """Guards against refusals of callers whose average is below their rate.

    A window of 5 s with 12 requests refuses chance bursts of 13 or 14.
    """

    @pytest.mark.parametrize("seed", range(5))
    def test_chance_bursts_at_the_usual_rate(self, seed: int) -> None:
        fleet = run_fleet(CALM, seed, 60.0, USUAL_PER_S)
        assert len(fleet.decided) > 50
        assert refused_within_bucket(fleet, CALM) == 0
        assert len(fleet.refused()) <= 1
        assert most_in_window(fleet.admitted("calm")) <= bound(CALM)

    def test_surge_is_refused_only_by_the_bucket(self) -> None:
        fleet = run_fleet(BUSY, 1, 20.0, 20.0)
        assert len(fleet.refused()) > 100
        assert refused_within_bucket(fleet, BUSY) == 0


class TestAverage:
    """Guards against a bucket that is full again when its oldest counts expire.

    It would add its depth to what the limit of each window allows.
    """

    def test_organisation_that_always_asks(self) -> None:
        fleet = run_fleet(BUSY, 1, 120.0, 3.0 * BUSY.rate_per_s)
        limit = quota_limit(BUSY, BOUNDS.quota_window_s)
        windows = 60.0 / BOUNDS.quota_window_s
        middle = fleet.clock.now - 60.0
        first = sum(at < middle for at in fleet.admitted("busy"))
        second = len(fleet.admitted("busy")) - first
        burst = quota_bucket(BUSY, BOUNDS).depth
        # Counts of other holders that are not known yet cost a few requests once.
        assert first <= windows * limit + burst + 8.0
        assert 0.95 * windows * limit <= second <= windows * limit + 8.0


def holder() -> tuple[FleetLedger, QuotaAdmission]:
    """Return the ledger and the admission of a single holder with nothing to learn."""
    ledger = FleetLedger("here", "a", 1, BOUNDS.quota_window_s)
    records = {
        name: GatewayRecord("", data_centre, "", 100.0, usage_at="x:1")
        for name, data_centre in (("here", "a"), ("there", "b"))
    }
    ledger.update_members(records, (), 0.0)
    ledger.contacts.record_heard("there", 100.0)
    ledger.contacts.record_complete("there", 100.0)
    return ledger, QuotaAdmission(ledger, BOUNDS)


def admit_all(
    admission: QuotaAdmission, now: float, organisation: Organisation = BUSY
) -> int:
    """Ask until a request is refused; return how many were admitted."""
    admitted = 0
    while admission.decide(organisation, 1.0, now).granted:
        admitted += 1
    return admitted


def state(
    ledger: FleetLedger, other: UsageTable, now: float, seconds: float = 60.0
) -> None:
    """State the counts of another holder."""
    for statement in other.statements(other.own, now, seconds):
        ledger.table.merge(statement, other.own.node, now)


class TestLevels:
    def test_retry_after_is_when_the_level_is_reached(self) -> None:
        _, admission = holder()
        assert admit_all(admission, 100.0) == 60
        refused = admission.decide(BUSY, 1.0, 100.0)
        assert refused.retry_after_s == pytest.approx((60.0 - 33.0 + 1.0) / 8.0)
        later = 100.0 + refused.retry_after_s
        assert admission.decide(BUSY, 1.0, later).granted

    def test_late_and_corrected_counts(self) -> None:
        """Counts that come after a cut must weigh as if they had been known."""
        ledger, admission = holder()
        other = UsageTable("there", 1)
        assert admission.decide(BUSY, 1.0, 100.0).granted
        other.record("quota/busy", 90.0, 101.0)
        state(ledger, other, 109.0)
        assert not admission.decide(BUSY, 1.0, 105.9).granted
        other.give_back("quota/busy", 60.0, 101.0, 105.9)
        state(ledger, other, 109.1)
        assert admit_all(admission, 105.9) == 33

    def test_level_outlasts_the_counts(self) -> None:
        ledger, admission = holder()
        now = 100.0
        admitted = 0
        while now < 100.0 + 3.0 * REPLAY_S:
            admitted += admit_all(admission, now)
            ledger.sweep(now)
            now += 0.25
        limits = (now - 100.25) / BOUNDS.quota_window_s * 60.0
        assert limits - 60.0 <= admitted <= limits + 60.0

    def test_lowered_quota_leaves_no_debt_of_requests_before(self) -> None:
        _, admission = holder()
        for second in range(25):
            admit_all(admission, 100.0 + second)
        lower = Organisation("busy", None, 2.0, 5.0)
        admit_all(admission, 125.0, lower)
        assert admission.decide(lower, 1.0, 130.2).granted

    def test_quotas_that_alternate_fill_no_bucket(self) -> None:
        """Gateways may ask by different configurations for some seconds."""
        _, admission = holder()
        larger = Organisation("busy", None, 8.0, 60.0)
        admitted = sum(
            admit_all(admission, 100.0, one) for _ in range(5) for one in (BUSY, larger)
        )
        assert admitted == 100

    def test_share_of_a_holder_that_is_cut_off_is_left(self) -> None:
        """Both sides of a cut must not use the whole depth and the whole rate."""
        ledger, admission = holder()
        ledger.find_silent(102.0)
        assert ledger.silent_share("quota/busy", 102.0) == pytest.approx(0.5)
        assert 29 <= admit_all(admission, 102.0) <= 30
        assert admit_all(admission, 103.0) == 0

    def test_bucket_after_a_start_begins_at_the_allowance(self) -> None:
        _, admission = holder()
        assert admit_all(admission, 0.0) == 10
        assert admit_all(admission, 0.5) == 4
        assert admit_all(admission, 4.6) == 4  # 0.7 of the tolerance
        assert 41 <= admit_all(admission, 4.71) <= 43
