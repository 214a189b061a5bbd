"""Tests of replica ownership and allowances."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sardinehook.fleet.ownership import (
    NOTHING,
    Role,
    allowance,
    leased_part,
    owner_of,
    rendezvous_order,
)

names = st.lists(
    st.integers(0, 99).map("entry-{}".format), min_size=1, max_size=12, unique=True
)


class TestRendezvous:
    @given(names, st.text(max_size=8))
    def test_order_does_not_depend_on_the_member_order(
        self, members: list[str], replica: str
    ) -> None:
        order = rendezvous_order(replica, members)
        assert sorted(order) == sorted(members)
        assert order == rendezvous_order(replica, members[::-1])

    @given(names, st.text(max_size=8))
    def test_a_leaving_member_moves_only_what_it_owned(
        self, members: list[str], replica: str
    ) -> None:
        owner = owner_of(replica, members)
        for member in members:
            rest = [name for name in members if name != member]
            if rest and member != owner:
                assert owner_of(replica, rest) == owner

    def test_replicas_are_spread_evenly(self) -> None:
        members = [f"entry-{number}" for number in range(9)]
        owned = dict.fromkeys(members, 0)
        for number in range(900):
            owned[rendezvous_order(f"replica-{number}", members)[0]] += 1
        assert max(owned.values()) < 1.5 * min(owned.values())


class TestAllowance:
    @given(st.integers(1, 50), st.integers(1, 500))
    def test_owner_and_deputy_never_exceed_the_capacity(
        self, slots: int, connections: int
    ) -> None:
        owner = allowance(Role.OWNER, False, slots, connections)
        deputy = allowance(Role.DEPUTY, True, slots, connections)
        assert owner.slots + deputy.slots == slots
        assert owner.connections + deputy.connections == connections
        assert min(owner.slots, owner.connections) >= 1
        assert deputy == leased_part(slots, connections)

    def test_without_a_lease_only_the_owner_serves(self) -> None:
        assert allowance(Role.DEPUTY, False, 3, 110) == NOTHING
        assert allowance(Role.NONE, True, 3, 110) == NOTHING
