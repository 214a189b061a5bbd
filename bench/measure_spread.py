"""Measures the cost of spreading revisions (``python -m bench.measure_spread``).

Simulates many nodes on a virtual clock: one field is changed, the watchers of each
data centre read it from the store, and all others get it from their peers. Times
exclude processor time; bytes are those of link frames without TCP headers.
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from bench.measure_revisions import large_document
from sardinehook.environment.holder import DocumentHolder
from sardinehook.environment.revision import Revision, make_revision
from sardinehook.environment.spread import Message, Send, Spread
from sardinehook.environment.store_watch import WATCH_TIMEOUT_MS
from sardinehook.environment.updater import register_messages
from sardinehook.fleet.wire import encode_frame, encode_message

__all__ = ["Figures", "main", "simulate"]

SIZES = ((9, 3), (60, 3), (550, 7))
WATCHERS_PER_DATA_CENTRE = 2
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.0045
STORE_DELAY_S = 0.005
IDLE_S = 60.0
CHANGE_WAIT_S = 20.0
REPLICAS = 100
CHANGES_PER_DAY = 330
DAY_S = 86_400


class Figures(NamedTuple):
    """The cost of one change, and of a minute without changes."""

    nodes: int
    data_centres: int
    loss: float
    p50_ms: float
    p99_ms: float
    max_ms: float
    change_messages_a_node: float
    change_bytes_a_node: float
    rest_bytes_a_node_s: float
    day_bytes_a_node_s: float
    store_calls_s: float


class Network:
    """Simulates nodes with timers and messages on a virtual clock."""

    def __init__(self, nodes: int, data_centres: int, loss: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.names = [f"entry-{number:03d}" for number in range(nodes)]
        self.data_centre_of = {
            name: n % data_centres for n, name in enumerate(self.names)
        }
        self.spreads = {
            name: Spread(DocumentHolder("production"), random.Random(self.rng.random()))
            for name in self.names
        }
        self.now = 0.0
        self.queue: list[tuple[float, int, str, str, Message | None]] = []
        self.order = 0
        self.sent_messages: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        for name in self.names:
            self.schedule(self.spreads[name].next_tick_s() * self.rng.random(), name)

    def schedule(
        self,
        delay_s: float,
        name: str,
        sender: str = "",
        message: Message | None = None,
    ) -> None:
        """Schedule the arrival of a message, or a tick if there is none."""
        self.order += 1
        event = (self.now + delay_s, self.order, name, sender, message)
        heapq.heappush(self.queue, event)

    def send(self, sender: str, sends: Sequence[Send]) -> None:
        """Send messages, of which a ratio of ``loss`` is dropped."""
        for peer, message in sends:
            kind = type(message).__name__
            frame = encode_frame(sender, 0, [encode_message(message)])
            self.sent_messages[kind] += 1
            self.sent_bytes[kind] += len(frame)
            local = self.data_centre_of[sender] == self.data_centre_of[peer]
            delay_s = LOCAL_DELAY_S if local else REMOTE_DELAY_S
            if self.rng.random() >= self.loss:
                self.schedule(delay_s * self.rng.uniform(1, 2), peer, sender, message)

    def peers(self, name: str) -> list[str]:
        """Return the names of all other nodes."""
        return [other for other in self.names if other != name]

    def run(self, until: float, number: int = 0) -> list[float]:
        """Advance the clock and return when each node reached revision ``number``."""
        in_force_at: list[float] = []
        while self.queue and self.queue[0][0] <= until:
            self.now, _, name, sender, message = heapq.heappop(self.queue)
            spread = self.spreads[name]
            before = spread.holder.number
            peers = self.peers(name)
            if message is not None:
                self.send(name, spread.receive(sender, message, peers, self.now))
                self.schedule_retry(spread, name)
            elif sender == name:
                self.send(name, spread.request_newest(peers, self.now))
                self.schedule_retry(spread, name)
            else:
                self.send(name, spread.tick(peers, self.now))
                self.schedule(spread.next_tick_s(), name)
            if before < number <= spread.holder.number:
                in_force_at.append(self.now)
        self.now = until
        return in_force_at

    def schedule_retry(self, spread: Spread, name: str) -> None:
        """Schedule a retry for when the pending request of a node times out."""
        if spread.pending is not None:
            self.schedule(spread.pending.until - self.now, name, name)

    def watchers(self) -> list[str]:
        """Return the nodes that watch the store, the first ones of each data centre."""
        by_data_centre: dict[int, list[str]] = {}
        for name in self.names:
            by_data_centre.setdefault(self.data_centre_of[name], []).append(name)
        return [
            n
            for names in by_data_centre.values()
            for n in names[:WATCHERS_PER_DATA_CENTRE]
        ]

    def total_bytes(self) -> int:
        """Return the number of bytes sent."""
        return self.sent_bytes.total()


def make_change(number: int) -> Revision:
    """Return a revision whose document has a deadline that depends on ``number``."""
    document = large_document(REPLICAS, 100.0 + number)
    return make_revision(number, "0123456789abcdef", "ilona", "shorter", document)


def simulate(nodes: int, data_centres: int, loss: float, seed: int) -> Figures:
    """Simulate idle time and one change in a fleet of one size."""
    network = Network(nodes, data_centres, loss, seed)
    for name in network.names:
        network.spreads[name].offer(make_change(1), [], 0.0)
    network.run(IDLE_S)
    idle_bytes_per_s = network.total_bytes() / nodes / IDLE_S
    messages, size = network.sent_messages.total(), network.total_bytes()
    accepted_at = network.now
    in_force_at = []
    for name in network.watchers():
        network.now = accepted_at + STORE_DELAY_S * network.rng.uniform(1, 2)
        spread, peers = network.spreads[name], network.peers(name)
        network.send(name, spread.offer(make_change(2), peers, network.now))
        in_force_at.append(network.now)
    in_force_at += network.run(accepted_at + CHANGE_WAIT_S, 2)
    delays_ms = sorted((at - accepted_at) * 1000 for at in in_force_at)
    assert len(delays_ms) == nodes, (
        f"revision 2 is in force on {len(delays_ms)} of {nodes} nodes"
    )
    change_bytes = (
        network.total_bytes() - size
    ) / nodes - idle_bytes_per_s * CHANGE_WAIT_S
    change_messages = network.sent_messages.total() - messages * (
        1 + CHANGE_WAIT_S / IDLE_S
    )
    watchers = len(network.watchers())
    return Figures(
        nodes=nodes,
        data_centres=data_centres,
        loss=loss,
        p50_ms=delays_ms[len(delays_ms) // 2],
        p99_ms=delays_ms[min(len(delays_ms) - 1, int(len(delays_ms) * 0.99))],
        max_ms=delays_ms[-1],
        change_messages_a_node=change_messages / nodes,
        change_bytes_a_node=change_bytes,
        rest_bytes_a_node_s=idle_bytes_per_s,
        day_bytes_a_node_s=idle_bytes_per_s + change_bytes * CHANGES_PER_DAY / DAY_S,
        store_calls_s=watchers * 1000 / WATCH_TIMEOUT_MS,
    )


def main() -> None:
    """Print one line of figures for each fleet size and message loss."""
    register_messages()
    parser = argparse.ArgumentParser(prog="python -m bench.measure_spread")
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for nodes, data_centres in SIZES:
        for loss in (0.0, 0.2):
            figures = simulate(nodes, data_centres, loss, seed)
            print(" ".join(f"{k}={v:.4g}" for k, v in figures._asdict().items()))


if __name__ == "__main__":
    main()
