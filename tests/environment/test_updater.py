"""Tests of processes that follow the store and each other."""

from __future__ import annotations

import random
from collections.abc import Callable

from twisted.internet.task import Clock

from sardinehook.environment.holder import DocumentHolder
from sardinehook.environment.revision import Revision, encode_revision, head_key
from sardinehook.environment.spread import Message
from sardinehook.environment.store_watch import MAX_BACKOFF_S
from sardinehook.environment.updater import ISOLATED_S, DocumentUpdater
from sardinehook.fleet.wire import decode_frame, encode_frame, encode_message
from tests.environment.documents import revision
from tests.environment.fake_store import FakeStore

LINK_S = 0.005
CONNECT_S = 0.03
STEP_S = 0.01


class Fleet:
    """Processes on one clock; ``cut`` loses the messages between some of them."""

    def __init__(self, names: str, watchers: str = "a") -> None:
        self.clock = Clock()
        self.store = FakeStore(self.clock)
        self.rng = random.Random(3)
        self.names = names
        self.watchers = watchers
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.nodes: dict[str, DocumentUpdater] = {}
        self.frame_bytes = 0
        self.booted: dict[str, float] = {}
        self.forced: list[tuple[str, int]] = []
        for name in names:
            self.boot(name)

    def boot(self, name: str) -> None:
        """Start a process, in the place of the one that had the name."""
        if name in self.nodes:
            self.nodes[name].stop()

        def send(peer: str, message: Message) -> None:
            frame = encode_frame(name, 0, [encode_message(message)])
            self.frame_bytes += len(frame)
            if not self.cut(name, peer) and self.connected(name):
                self.clock.callLater(LINK_S, self.arrive, peer, name, frame)

        self.booted[name] = self.clock.seconds()
        holder = DocumentHolder("trial")
        holder.add_listener(lambda taken: self.forced.append((name, taken.number)))
        control = DocumentUpdater(
            self.clock,
            self.store,
            holder,
            send,
            lambda: self.connected(name),
            random.Random(self.rng.random()),
        )
        control.set_watching(name in self.watchers)
        self.nodes[name] = control
        control.start([other for other in self.names if other != name])

    def connected(self, name: str) -> list[str]:
        """The peers of a process; none in its first moments."""
        if self.clock.seconds() < self.booted[name] + CONNECT_S:
            return []
        return [other for other in self.names if other != name]

    def arrive(self, peer: str, sender: str, frame: bytes) -> None:
        """Hand a frame to the process that has the name now."""
        for message in decode_frame(frame).messages:
            self.nodes[peer].on_message(sender, message)

    def accept(self, accepted: Revision) -> None:
        """Swap the head."""
        key = head_key("trial")
        held = self.store.state.held.get(key)
        value = encode_revision(accepted)
        self.store.state.put(key, value, held.revision if held else 0, "")

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.pump([STEP_S] * round(seconds / STEP_S))

    def numbers(self) -> list[int]:
        """The number in force in each process."""
        return [self.nodes[name].holder.number for name in self.names]

    def calls(self, seconds: float) -> int:
        """The calls on the store in a while."""
        before = len(self.store.calls)
        self.run(seconds)
        return len(self.store.calls) - before


class TestSpreadInTime:
    def test_one_watcher_serves_all_within_two_seconds(self) -> None:
        fleet = Fleet("abcdefgh")
        fleet.accept(revision(1))
        fleet.run(3)
        assert fleet.numbers() == [1] * 8
        fleet.accept(revision(2))
        fleet.run(2)
        assert fleet.numbers() == [2] * 8

    def test_calls_grow_with_watchers_not_with_nodes(self) -> None:
        small, large = Fleet("abc", "ab"), Fleet("abcdefghijklmnop", "ab")
        for fleet in (small, large):
            fleet.accept(revision(1))
            fleet.run(5)
        assert abs(large.calls(60) - small.calls(60)) <= 4


class TestStoreOutage:
    def test_accepted_before_the_outage_reaches_all(self) -> None:
        fleet = Fleet("abcd")
        fleet.accept(revision(1))
        fleet.run(3)
        fleet.accept(revision(2))
        fleet.run(0.02)
        fleet.store.down = True
        fleet.run(3)
        assert fleet.numbers() == [2] * 4

    def test_restart_during_the_outage_takes_the_highest_of_the_peers(self) -> None:
        fleet = Fleet("abcd")
        fleet.accept(revision(1))
        fleet.run(3)
        fleet.cut = lambda sender, receiver: "d" in (sender, receiver)
        fleet.accept(revision(2))
        fleet.run(3)
        assert fleet.numbers() == [2, 2, 2, 1]
        fleet.store.down = True
        fleet.cut = lambda sender, receiver: False
        fleet.boot("b")
        fleet.run(2)
        assert fleet.numbers() == [2] * 4

    def test_all_anew_during_the_outage_serve_nothing(self) -> None:
        fleet = Fleet("abcd")
        fleet.accept(revision(1))
        fleet.run(3)
        fleet.store.down = True
        for name in "abcd":
            fleet.boot(name)
        fleet.run(10)
        assert fleet.numbers() == [0] * 4
        fleet.store.down = False
        fleet.run(MAX_BACKOFF_S + 2)
        assert fleet.numbers() == [1] * 4

    def test_calls_are_rare_during_and_after_the_outage(self) -> None:
        fleet = Fleet("abcdefgh", "ab")
        fleet.accept(revision(1))
        fleet.run(3)
        fleet.store.down = True
        fleet.run(20)
        assert fleet.calls(60) <= 2 * 60 / 3
        fleet.store.down = False
        assert fleet.calls(10) <= 16

    def test_restart_on_an_older_state_reverts_nothing(self) -> None:
        fleet = Fleet("abc")
        fleet.accept(revision(1))
        fleet.run(3)
        fleet.store.freeze()
        old, fleet.store.frozen = fleet.store.frozen, None
        fleet.accept(revision(2))
        fleet.run(3)
        fleet.store.frozen = old
        fleet.forced.clear()
        fleet.boot("a")
        fleet.run(5)
        assert fleet.forced == [("a", 2)]

    def test_older_state_after_an_outage_reverts_nothing(self) -> None:
        fleet = Fleet("abc", "ab")
        fleet.accept(revision(1))
        fleet.run(3)
        fleet.store.freeze()
        old, fleet.store.frozen = fleet.store.frozen, None
        fleet.accept(revision(2))
        fleet.run(3)
        fleet.store.down, fleet.store.frozen = True, old
        fleet.run(10)
        fleet.store.down = False
        assert fleet.calls(MAX_BACKOFF_S) > 0
        assert sorted(fleet.forced) == [(n, r) for n in "abc" for r in (1, 2)]


class TestCutOff:
    def test_node_that_hears_nobody_looks_at_the_store(self) -> None:
        fleet = Fleet("abc")
        fleet.accept(revision(1))
        fleet.run(3)
        fleet.cut = lambda sender, receiver: "c" in (sender, receiver)
        fleet.accept(revision(2))
        fleet.run(ISOLATED_S - 2)
        assert fleet.numbers() == [2, 2, 1]
        fleet.run(6)
        assert fleet.numbers() == [2, 2, 2]

    def test_first_node_of_all_reads_the_store(self) -> None:
        fleet = Fleet("c")
        fleet.accept(revision(4))
        fleet.run(1)
        assert fleet.numbers() == [4]

    def test_stopped_process_is_silent(self) -> None:
        fleet = Fleet("ab")
        fleet.accept(revision(1))
        fleet.run(3)
        for control in fleet.nodes.values():
            control.stop()
        before = fleet.frame_bytes
        assert fleet.calls(10) == 0
        assert fleet.frame_bytes == before
