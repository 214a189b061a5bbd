"""Tests of node leases and their registry."""

from __future__ import annotations

from sardinehook.fleet.lease import (
    CLOCK_RATE_MARGIN,
    MIN_LEASE_S,
    WORK_LIMIT_S,
    LeaseRegistry,
    NodeLease,
)

MEMBERS = ("e1", "e2", "e3")
PAUSE_S = 30.0


class TestNodeLease:
    def test_lease_is_counted_from_the_request_time(self) -> None:
        registry, lease = LeaseRegistry(), NodeLease()
        registry.begin(own_until=1000.0, now=0.0)
        request = lease.new_request(boot=1, epoch=1, now=10.0)
        grant = registry.request("e1", request, MEMBERS, 1, now=12.0)
        assert grant is not None
        lease.apply_grant(grant)
        last = 10.0 + MIN_LEASE_S * (1 - CLOCK_RATE_MARGIN) - WORK_LIMIT_S
        assert lease.valid(1, last - 0.01) and not lease.valid(1, last)
        assert not lease.valid(2, 10.0)

    def test_paused_process_holds_no_leased_part(self) -> None:
        registry, lease = LeaseRegistry(), NodeLease()
        registry.begin(own_until=1000.0, now=0.0)
        request = lease.new_request(boot=1, epoch=1, now=10.0)
        grant = registry.request("e1", request, MEMBERS, 1, now=10.0)
        assert grant is not None
        lease.apply_grant(grant)
        assert not lease.holds_leased_part("e1", "a", MEMBERS, 10.0 + PAUSE_S, 1)


class TestLeaseRegistry:
    def test_no_lease_outlasts_that_of_the_registrar(self) -> None:
        registry = LeaseRegistry()
        registry.begin(own_until=3.0, now=0.0)
        grant = registry.request(
            "e1", NodeLease().new_request(1, 1, 0.0), MEMBERS, 1, 0.0
        )
        assert grant is not None and grant.ttl_ms < 3000.0
        late = NodeLease().new_request(1, 1, 2.5)
        assert registry.request("e2", late, MEMBERS, 1, 2.5) is None

    def test_new_epoch_waits_until_all_holders_relinquish(self) -> None:
        registry = LeaseRegistry()
        registry.begin(own_until=1000.0, now=0.0)
        leases = {name: NodeLease() for name in MEMBERS[:2]}
        for name, lease in leases.items():
            grant = registry.request(
                name, lease.new_request(1, 1, 1.0), MEMBERS, 1, 1.0
            )
            assert grant is not None
            lease.apply_grant(grant)
        first, second = (lease.new_request(1, 2, 1.5) for lease in leases.values())
        assert registry.request("e1", first, MEMBERS, 2, 1.5) is None
        assert registry.request("e2", second, MEMBERS, 2, 1.5) is not None

    def test_no_member_counts_as_lapsed_at_the_start(self) -> None:
        registry = LeaseRegistry()
        registry.begin(own_until=1000.0, now=0.0)
        early = registry.request(
            "e1", NodeLease().new_request(1, 1, 1.0), MEMBERS, 1, 1.0
        )
        assert early is not None and early.lapsed == ()
        now = MIN_LEASE_S + 2.0
        later = registry.request(
            "e2", NodeLease().new_request(1, 1, now), MEMBERS, 1, now
        )
        assert later is not None and later.lapsed == ("e1", "e3")
