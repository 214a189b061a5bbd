"""Counts what the spread of revisions costs (``python -m bench.measure_spread``).

Drives the decisions of many nodes on a fake clock: one change of a field is accepted,
the watchers of each data centre learn of it, and all others from their peers. Times
leave out processor time; bytes are those of link frames without TCP's headers.
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
WATCHERS_A_DATA_CENTRE = 2
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.0045
STORE_DELAY_S = 0.005
REST_S = 60.0
CHANGE_S = 20.0
REPLICAS = 100
CHANGES_A_DAY = 330
DAY_S = 86_400


class Figures(NamedTuple):
    """What one change and a minute at rest cost."""

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
    """Nodes with timers and messages on a fake clock."""

    def __init__(self, nodes: int, centres: int, loss: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.names = [f"entry-{number:03d}" for number in range(nodes)]
        self.centre = {name: n % centres for n, name in enumerate(self.names)}
        self.spreads = {
            name: Spread(DocumentHolder("production"), random.Random(self.rng.random()))
            for name in self.names
        }
        self.now = 0.0
        self.queue: list[tuple[float, int, str, str, Message | None]] = []
        self.order = 0
        self.sent: Counter[str] = Counter()
        self.sizes: Counter[str] = Counter()
        for name in self.names:
            self.push(self.spreads[name].next_tick_s() * self.rng.random(), name)

    def push(
        self,
        delay_s: float,
        name: str,
        sender: str = "",
        message: Message | None = None,
    ) -> None:
        """Let a message arrive, or a tick happen, after a delay."""
        self.order += 1
        event = (self.now + delay_s, self.order, name, sender, message)
        heapq.heappush(self.queue, event)

    def post(self, sender: str, sends: Sequence[Send]) -> None:
        """Send messages, of which some are lost."""
        for peer, message in sends:
            kind = type(message).__name__
            frame = encode_frame(sender, 0, [encode_message(message)])
            self.sent[kind] += 1
            self.sizes[kind] += len(frame)
            local = self.centre[sender] == self.centre[peer]
            delay_s = LOCAL_DELAY_S if local else REMOTE_DELAY_S
            if self.rng.random() >= self.loss:
                self.push(delay_s * self.rng.uniform(1, 2), peer, sender, message)

    def peers(self, name: str) -> list[str]:
        """All but one."""
        return [other for other in self.names if other != name]

    def run(self, until: float, number: int = 0) -> list[float]:
        """Let time pass; returns when each node got to ``number``."""
        forced: list[float] = []
        while self.queue and self.queue[0][0] <= until:
            self.now, _, name, sender, message = heapq.heappop(self.queue)
            spread = self.spreads[name]
            before = spread.holder.number
            peers = self.peers(name)
            if message is not None:
                self.post(name, spread.receive(sender, message, peers, self.now))
                self.push_retry(spread, name)
            elif sender == name:
                self.post(name, spread.request_newest(peers, self.now))
                self.push_retry(spread, name)
            else:
                self.post(name, spread.tick(peers, self.now))
                self.push(spread.next_tick_s(), name)
            if before < number <= spread.holder.number:
                forced.append(self.now)
        self.now = until
        return forced

    def push_retry(self, spread: Spread, name: str) -> None:
        """Let a node look again once its request is overdue."""
        if spread.pending is not None:
            self.push(spread.pending.until - self.now, name, name)

    def watchers(self) -> list[str]:
        """The first nodes of each data centre."""
        by_centre: dict[int, list[str]] = {}
        for name in self.names:
            by_centre.setdefault(self.centre[name], []).append(name)
        return [
            n for names in by_centre.values() for n in names[:WATCHERS_A_DATA_CENTRE]
        ]

    def total_bytes(self) -> int:
        """The bytes sent so far."""
        return self.sizes.total()


def make_change(number: int) -> Revision:
    """A revision whose deadline differs by its number."""
    document = large_document(REPLICAS, 100.0 + number)
    return make_revision(number, "0123456789abcdef", "ilona", "shorter", document)


def simulate(nodes: int, centres: int, loss: float, seed: int) -> Figures:
    """Measure one size."""
    network = Network(nodes, centres, loss, seed)
    for name in network.names:
        network.spreads[name].offer(make_change(1), [], 0.0)
    network.run(REST_S)
    rest = network.total_bytes() / nodes / REST_S
    messages, size = network.sent.total(), network.total_bytes()
    accepted_at = network.now
    forced = []
    for name in network.watchers():
        network.now = accepted_at + STORE_DELAY_S * network.rng.uniform(1, 2)
        spread, peers = network.spreads[name], network.peers(name)
        network.post(name, spread.offer(make_change(2), peers, network.now))
        forced.append(network.now)
    forced += network.run(accepted_at + CHANGE_S, 2)
    times = sorted((at - accepted_at) * 1000 for at in forced)
    assert len(times) == nodes, "not in force everywhere"
    change_bytes = (network.total_bytes() - size) / nodes - rest * CHANGE_S
    change_messages = network.sent.total() - messages * (1 + CHANGE_S / REST_S)
    watchers = len(network.watchers())
    return Figures(
        nodes=nodes,
        data_centres=centres,
        loss=loss,
        p50_ms=times[len(times) // 2],
        p99_ms=times[min(len(times) - 1, int(len(times) * 0.99))],
        max_ms=times[-1],
        change_messages_a_node=change_messages / nodes,
        change_bytes_a_node=change_bytes,
        rest_bytes_a_node_s=rest,
        day_bytes_a_node_s=rest + change_bytes * CHANGES_A_DAY / DAY_S,
        store_calls_s=watchers * 1000 / WATCH_TIMEOUT_MS,
    )


def main() -> None:
    """Print a line for each size and loss."""
    register_messages()
    parser = argparse.ArgumentParser(prog="python -m bench.measure_spread")
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for nodes, centres in SIZES:
        for loss in (0.0, 0.2):
            figures = simulate(nodes, centres, loss, seed)
            print(" ".join(f"{k}={v:.4g}" for k, v in figures._asdict().items()))


if __name__ == "__main__":
    main()
