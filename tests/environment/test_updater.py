"""Tests of document updaters that share a store and exchange revisions."""

from __future__ import annotations

import random
from collections.abc import Callable

from twisted.internet.task import Clock

from sardinehook.environment.holder import DocumentHolder
from sardinehook.environment.revision import Revision, encode_revision, head_key
from sardinehook.environment.spread import Message
from sardinehook.environment.store_watch import MAX_BACKOFF_S
from sardinehook.environment.updater import ISOLATION_TIMEOUT_S, DocumentUpdater
from sardinehook.fleet.wire import decode_frame, encode_frame, encode_message
from tests.environment.documents import revision
from tests.environment.fake_store import FakeStore

LINK_S = 0.005
CONNECT_S = 0.03
STEP_S = 0.01


class Fleet:
    """Processes on one fake clock; messages for which ``cut`` is true are lost."""

    def __init__(self, names: str, watchers: str = "a") -> None:
        self.clock = Clock()
        self.store = FakeStore(self.clock)
        self.rng = random.Random(3)
        self.names = names
        self.watchers = watchers
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.nodes: dict[str, DocumentUpdater] = {}
        self.frame_bytes = 0
        self.started_at: dict[str, float] = {}
        self.in_force_log: list[tuple[str, int]] = []
        for name in names:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Start a process; stops the one that had the same name."""
        if name in self.nodes:
            self.nodes[name].stop()

        def send(peer: str, message: Message) -> None:
            frame = encode_frame(name, 0, [encode_message(message)])
            self.frame_bytes += len(frame)
            if not self.cut(name, peer) and self.connected(name):
                self.clock.callLater(LINK_S, self.deliver, peer, name, frame)

        self.started_at[name] = self.clock.seconds()
        holder = DocumentHolder("trial")
        holder.add_listener(
            lambda taken: self.in_force_log.append((name, taken.number))
        )
        updater = DocumentUpdater(
            self.clock,
            self.store,
            holder,
            send,
            lambda: self.connected(name),
            random.Random(self.rng.random()),
        )
        updater.set_watching(name in self.watchers)
        self.nodes[name] = updater
        updater.start([other for other in self.names if other != name])

    def connected(self, name: str) -> list[str]:
        """Return the peers of a process; none until ``CONNECT_S`` after its start."""
        if self.clock.seconds() < self.started_at[name] + CONNECT_S:
            return []
        return [other for other in self.names if other != name]

    def deliver(self, peer: str, sender: str, frame: bytes) -> None:
        """Deliver a frame to the process that currently has the name."""
        for message in decode_frame(frame).messages:
            self.nodes[peer].on_message(sender, message)

    def write_head(self, accepted: Revision) -> None:
        """Replace the head in the store."""
        key = head_key("trial")
        held = self.store.state.held.get(key)
        value = encode_revision(accepted)
        self.store.state.put(key, value, held.revision if held else 0, "")

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.pump([STEP_S] * round(seconds / STEP_S))

    def numbers(self) -> list[int]:
        """Return the revision number in force in each process."""
        return [self.nodes[name].holder.number for name in self.names]

    def calls(self, seconds: float) -> int:
        """Advance the clock and return the number of store calls made meanwhile."""
        before = len(self.store.calls)
        self.run(seconds)
        return len(self.store.calls) - before


class TestSpreadInTime:
    def test_revision_from_one_watcher_reaches_all_within_two_seconds(self) -> None:
        fleet = Fleet("abcdefgh")
        fleet.write_head(revision(1))
        fleet.run(3)
        assert fleet.numbers() == [1] * 8
        fleet.write_head(revision(2))
        fleet.run(2)
        assert fleet.numbers() == [2] * 8

    def test_store_calls_depend_on_watchers_not_on_nodes(self) -> None:
        small, large = Fleet("abc", "ab"), Fleet("abcdefghijklmnop", "ab")
        for fleet in (small, large):
            fleet.write_head(revision(1))
            fleet.run(5)
        assert abs(large.calls(60) - small.calls(60)) <= 4


class TestStoreOutage:
    def test_revision_read_before_the_outage_reaches_all(self) -> None:
        fleet = Fleet("abcd")
        fleet.write_head(revision(1))
        fleet.run(3)
        fleet.write_head(revision(2))
        fleet.run(0.02)
        fleet.store.down = True
        fleet.run(3)
        assert fleet.numbers() == [2] * 4

    def test_restart_during_the_outage_gets_the_highest_peer_revision(self) -> None:
        fleet = Fleet("abcd")
        fleet.write_head(revision(1))
        fleet.run(3)
        fleet.cut = lambda sender, receiver: "d" in (sender, receiver)
        fleet.write_head(revision(2))
        fleet.run(3)
        assert fleet.numbers() == [2, 2, 2, 1]
        fleet.store.down = True
        fleet.cut = lambda sender, receiver: False
        fleet.restart("b")
        fleet.run(2)
        assert fleet.numbers() == [2] * 4

    def test_full_restart_during_the_outage_has_no_document(self) -> None:
        fleet = Fleet("abcd")
        fleet.write_head(revision(1))
        fleet.run(3)
        fleet.store.down = True
        for name in "abcd":
            fleet.restart(name)
        fleet.run(10)
        assert fleet.numbers() == [0] * 4
        fleet.store.down = False
        fleet.run(MAX_BACKOFF_S + 2)
        assert fleet.numbers() == [1] * 4

    def test_store_calls_are_limited_during_and_after_the_outage(self) -> None:
        fleet = Fleet("abcdefgh", "ab")
        fleet.write_head(revision(1))
        fleet.run(3)
        fleet.store.down = True
        fleet.run(20)
        assert fleet.calls(60) <= 2 * 60 / 3
        fleet.store.down = False
        assert fleet.calls(10) <= 16

    def test_restart_with_a_stale_store_reverts_nothing(self) -> None:
        fleet = Fleet("abc")
        fleet.write_head(revision(1))
        fleet.run(3)
        fleet.store.freeze()
        old, fleet.store.frozen = fleet.store.frozen, None
        fleet.write_head(revision(2))
        fleet.run(3)
        fleet.store.frozen = old
        fleet.in_force_log.clear()
        fleet.restart("a")
        fleet.run(5)
        assert fleet.in_force_log == [("a", 2)]

    def test_stale_store_after_an_outage_reverts_nothing(self) -> None:
        fleet = Fleet("abc", "ab")
        fleet.write_head(revision(1))
        fleet.run(3)
        fleet.store.freeze()
        old, fleet.store.frozen = fleet.store.frozen, None
        fleet.write_head(revision(2))
        fleet.run(3)
        fleet.store.down, fleet.store.frozen = True, old
        fleet.run(10)
        fleet.store.down = False
        assert fleet.calls(MAX_BACKOFF_S) > 0
        assert sorted(fleet.in_force_log) == [(n, r) for n in "abc" for r in (1, 2)]


class TestIsolation:
    def test_isolated_node_watches_the_store(self) -> None:
        fleet = Fleet("abc")
        fleet.write_head(revision(1))
        fleet.run(3)
        fleet.cut = lambda sender, receiver: "c" in (sender, receiver)
        fleet.write_head(revision(2))
        fleet.run(ISOLATION_TIMEOUT_S - 2)
        assert fleet.numbers() == [2, 2, 1]
        fleet.run(6)
        assert fleet.numbers() == [2, 2, 2]

    def test_single_node_reads_the_store(self) -> None:
        fleet = Fleet("c")
        fleet.write_head(revision(4))
        fleet.run(1)
        assert fleet.numbers() == [4]

    def test_stopped_updater_makes_no_calls_and_sends_nothing(self) -> None:
        fleet = Fleet("ab")
        fleet.write_head(revision(1))
        fleet.run(3)
        for updater in fleet.nodes.values():
            updater.stop()
        before = fleet.frame_bytes
        assert fleet.calls(10) == 0
        assert fleet.frame_bytes == before
