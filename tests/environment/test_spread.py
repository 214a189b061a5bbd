"""Tests of the revision protocol over a network that loses and reorders messages."""

from __future__ import annotations

import random
from collections.abc import Sequence

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sardinehook.environment.holder import DocumentHolder
from sardinehook.environment.revision import Revision
from sardinehook.environment.spread import (
    MAX_BASE_REVISIONS,
    REQUEST_TRIES,
    START_TIMEOUT_S,
    RevisionAnnounce,
    RevisionDelta,
    RevisionRequest,
    Send,
    Spread,
)
from tests.environment.documents import revision

NODES = ("a", "b", "c", "d")
TICK_S = 0.6


def node(*held: int) -> Spread:
    """Create a node that has put the given revisions in force, in this order."""
    spread = Spread(DocumentHolder("trial"), random.Random(1))
    for number in held:
        spread.offer(revision(number), [], 0.0)
    return spread


def exchange_messages(
    one: Spread, other: Spread, sends: Sequence[Send], now: float = 0.0
) -> int:
    """Deliver all messages between two nodes; return their number."""
    queue = [(other, "one", send.message) for send in sends]
    count = 0
    while queue:
        receiver, sender, message = queue.pop(0)
        count += 1
        assert count < 50
        replies = receiver.receive(sender, message, [], now)
        back = (one, "other") if receiver is other else (other, "one")
        queue += [(back[0], back[1], reply.message) for reply in replies]
    return count


class TestExchange:
    def test_node_behind_requests_and_receives_a_delta(self) -> None:
        ahead, behind = node(1, 2), node(1)
        exchange_messages(ahead, behind, [ahead.announce_to("other")])
        assert behind.holder.in_force == revision(2)
        assert ahead.counts.deltas == 1
        assert ahead.counts.delta_bytes < 100

    def test_announcement_from_a_node_behind_is_answered(self) -> None:
        ahead, behind = node(1, 2), node(1)
        exchange_messages(behind, ahead, [behind.announce_to("other")])
        assert behind.holder.in_force == revision(2)

    def test_equal_nodes_send_no_replies(self) -> None:
        assert (
            exchange_messages(node(3), node(3), [Send("x", RevisionAnnounce(3, "0"))])
            == 1
        )

    def test_node_with_an_evicted_base_receives_a_full_copy(self) -> None:
        ahead, behind = node(*range(1, MAX_BASE_REVISIONS + 5)), node(1)
        exchange_messages(ahead, behind, [ahead.announce_to("other")])
        assert behind.holder.in_force == ahead.holder.in_force

    def test_different_document_with_the_same_number_is_counted(self) -> None:
        spread = node(3)
        spread.receive("x", RevisionAnnounce(3, "other"), [], 0.0)
        assert spread.counts.conflicts == 1


class TestBadPeers:
    def test_outdated_peer_reverts_nothing(self) -> None:
        spread = node(5)
        old = node(4)
        sent = old.answer_request("x", 0, "")[0].message
        assert spread.receive("old", sent, [], 0.0) == []
        assert spread.receive("old", RevisionAnnounce(4, ""), [], 0.0) == [
            spread.announce_to("old")
        ]
        assert spread.holder.number == 5

    def test_full_copy_is_requested_once_after_a_malformed_delta(self) -> None:
        spread = node(1)
        bad = RevisionDelta(2, "0" * 64, "c", "a", "", 1, b"garbage")
        asked = spread.receive("x", RevisionAnnounce(2, ""), [], 0.0)
        assert asked == [Send("x", RevisionRequest(1, revision(1).digest))]
        again = spread.receive("x", bad, [], 0.0)
        assert again == [Send("x", RevisionRequest(0, ""))]
        assert spread.receive("x", bad, [], 0.0) == []
        assert spread.receive("x", bad, [], 0.0) == []
        assert spread.counts.refused == 3

    def test_peer_that_announces_but_never_delivers_is_forgotten(self) -> None:
        spread = node(1)
        spread.receive("x", RevisionAnnounce(10**9, ""), [], 0.0)
        for second in range(1, 10):
            spread.tick([], float(second))
        assert spread.counts.requests == REQUEST_TRIES
        assert spread.peers_ahead == {}

    def test_timed_out_request_is_sent_to_another_peer(self) -> None:
        spread = node(1)
        first = spread.receive("x", RevisionAnnounce(2, ""), [], 0.0)[0].peer
        spread.receive("y", RevisionAnnounce(2, ""), [], 0.1)
        second = [s.peer for s in spread.tick([], 2.0)]
        assert (first, second) == ("x", ["y"])

    def test_peer_of_another_environment_is_forgotten(self) -> None:
        spread = Spread(DocumentHolder("production"), random.Random(1))
        other = node(1, 2)
        exchange_messages(spread, other, [spread.announce_to("other")])
        assert spread.holder.in_force is None
        assert spread.peers_ahead == {}


class TestStart:
    def test_highest_number_is_requested_once_all_have_answered(self) -> None:
        spread = node()
        assert len(spread.start(["x", "y"], 0.0)) == 2
        assert spread.receive("x", RevisionAnnounce(4, ""), [], 0.1) == []
        asked = spread.receive("y", RevisionAnnounce(7, ""), [], 0.2)
        assert asked == [Send("y", RevisionRequest(0, ""))]

    def test_startup_wait_for_silent_peers_times_out(self) -> None:
        spread = node()
        spread.start(["x", "y"], 0.0)
        assert spread.receive("x", RevisionAnnounce(4, ""), [], 0.1) == []
        assert spread.tick([], START_TIMEOUT_S) == [Send("x", RevisionRequest(0, ""))]

    def test_outdated_store_read_is_held_until_the_peers_answer(self) -> None:
        spread, peer = node(), node(7)
        spread.start(["one"], 0.0)
        assert spread.offer(revision(6), [], 0.1) == []
        assert spread.holder.in_force is None
        exchange_messages(peer, spread, [peer.announce_to("other")], 0.2)
        assert spread.holder.in_force == revision(7)

    def test_store_read_is_used_if_no_peer_is_ahead(self) -> None:
        spread = node()
        spread.start(["x"], 0.0)
        spread.offer(revision(6), [], 0.1)
        spread.tick([], START_TIMEOUT_S)
        assert spread.holder.in_force == revision(6)


class SpreadMachine(RuleBasedStateMachine):
    """Nodes over a network that loses, repeats and reorders; a store that is old."""

    @initialize(seed=st.integers(0, 999))
    def begin(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.accepted: list[Revision] = [revision(1)]
        self.nodes = {name: self.make() for name in NODES}
        self.seen = dict.fromkeys(NODES, 0)
        self.network: list[tuple[str, Send]] = []

    def make(self) -> Spread:
        return Spread(DocumentHolder("trial"), random.Random(self.rng.random()))

    def peers(self, name: str) -> list[str]:
        return [other for other in NODES if other != name]

    def post(self, sender: str, sends: Sequence[Send]) -> None:
        self.network += [(sender, send) for send in sends]

    def deliver(self, place: int) -> None:
        sender, send = self.network[place]
        receiver = self.nodes[send.peer]
        peers = self.peers(send.peer)
        self.post(send.peer, receiver.receive(sender, send.message, peers, self.now))

    @rule()
    def accept(self) -> None:
        self.accepted.append(revision(len(self.accepted) + 1))

    @rule(name=st.sampled_from(NODES), back=st.integers(0, 3))
    def read_store(self, name: str, back: int) -> None:
        """A node reads the store, which may answer from an older state."""
        read = self.accepted[max(0, len(self.accepted) - 1 - back)]
        self.post(name, self.nodes[name].offer(read, self.peers(name), self.now))

    @rule(place=st.integers(0, 99), repeated=st.booleans())
    def deliver_one(self, place: int, repeated: bool) -> None:
        if self.network:
            place %= len(self.network)
            self.deliver(place)
            if not repeated:
                self.network.pop(place)

    @rule(place=st.integers(0, 99))
    def lose_one(self, place: int) -> None:
        if self.network:
            self.network.pop(place % len(self.network))

    @rule(name=st.sampled_from(NODES))
    def restart(self, name: str) -> None:
        """A node is replaced and knows nothing; it asks its peers."""
        self.nodes[name] = self.make()
        self.seen[name] = 0
        self.post(name, self.nodes[name].start(self.peers(name), self.now))

    @rule(name=st.sampled_from(NODES), seconds=st.floats(0.0, 2.0))
    def tick(self, name: str, seconds: float) -> None:
        self.now += seconds
        self.post(name, self.nodes[name].tick(self.peers(name), self.now))

    @rule(name=st.sampled_from(NODES), place=st.integers(0, 99), data=st.binary())
    def garble(self, name: str, place: int, data: bytes) -> None:
        """A message arrives damaged."""
        bad = RevisionDelta(len(self.accepted) + place, "", "", "", "", place, data)
        self.nodes[name].receive("x", bad, self.peers(name), self.now)

    @invariant()
    def never_reverts_and_holds_what_was_accepted(self) -> None:
        for name, spread in getattr(self, "nodes", {}).items():
            held = spread.holder.in_force
            if held is None:
                assert self.seen[name] == 0
                continue
            assert held.number >= self.seen[name]
            assert held == self.accepted[held.number - 1]
            self.seen[name] = held.number

    def teardown(self) -> None:
        """Once the network is well and one node reads the store, all are equal."""
        if not hasattr(self, "nodes"):
            return
        newest = self.accepted[-1]
        self.post("a", self.nodes["a"].offer(newest, self.peers("a"), self.now))
        for _ in range(20):
            self.now += TICK_S
            for name in NODES:
                self.post(name, self.nodes[name].tick(self.peers(name), self.now))
            while self.network:
                self.deliver(0)
                self.network.pop(0)
        assert all(s.holder.in_force == newest for s in self.nodes.values())


SpreadMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=40)
TestSpreadMachine = SpreadMachine.TestCase
