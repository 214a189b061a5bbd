"""Measures what a message between entry processes costs by transport and batch size."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from time import perf_counter, process_time
from typing import Annotated, Any, NamedTuple, cast

import typer

from sardinehook.fleet.link import Links
from sardinehook.fleet.wire import (
    PackedMessage,
    decode_frame,
    encode_frame,
    encode_message,
)
from sardinehook.messages import SubQuery

__all__ = ["LinkCost", "Transport", "main"]

WARM_UP_S = 0.5
MEASURE_S = 2.0
TRANSPORTS = ("link", "pynng-asyncio", "pynng-fd", "pynng-fd-capped")
BUFFER_MESSAGES = 16
BATCH_SIZES = (1, 10, 100)
BODY = b'{"query":"strike counts of substation 4711","limit":20}'


class LinkCost(NamedTuple):
    """The cost of echoing batches between two ends in one process."""

    transport: str
    batch: int
    round_trips_per_s: float
    messages_per_s: float
    processor_us_per_message: float
    threads: int
    resident_mb: float


Transport = Callable[[int, "Meter"], None]


class Meter:
    """Counts round trips after a warm-up and tells when to stop."""

    def __init__(self) -> None:
        self.started = perf_counter()
        self.round_trips = 0
        self.measuring = False
        self.processor_started_s = 0.0
        self.measuring_started = 0.0
        self.seconds = 0.0
        self.processor_s = 0.0

    def count_round_trip(self) -> bool:
        """Count one round trip and return False when the measurement is over."""
        now = perf_counter()
        if not self.measuring and now - self.started > WARM_UP_S:
            self.measuring = True
            self.measuring_started = now
            self.processor_started_s = process_time()
        elif self.measuring:
            self.round_trips += 1
        if self.measuring and now - self.measuring_started > MEASURE_S:
            self.seconds = now - self.measuring_started
            self.processor_s = process_time() - self.processor_started_s
            return False
        return True


def make_sub_queries(count: int) -> list[SubQuery]:
    """Return ``count`` sub-queries of the usual size."""
    return [
        SubQuery(n, "r-1", "counters-1", "counters-1a", 0, 0, 90.0, 5, "", BODY)
        for n in range(count)
    ]


def run_link(batch: int, meter: Meter) -> None:
    """Echo batches over ``sardinehook.fleet.link``."""
    from twisted.internet import reactor as global_reactor

    reactor: Any = global_reactor
    ends = [Links(reactor, name, "127.0.0.1:0") for name in ("e1", "e2")]
    messages = make_sub_queries(batch)
    echoed = 0

    def send_batch() -> None:
        for message in messages:
            ends[0].send("e2", message)

    def receive(_: str, message: SubQuery) -> None:
        nonlocal echoed
        echoed += 1
        if echoed == batch:
            echoed = 0
            send_batch() if meter.count_round_trip() else reactor.stop()

    def start() -> None:
        if ends[0].connected("e2") and ends[1].connected("e1"):
            send_batch()
        else:
            reactor.callLater(0.01, start)

    ends[0].on(SubQuery, receive)
    ends[1].on(SubQuery, lambda _, message: cast("None", ends[1].send("e1", message)))
    ends[1].listen()
    ends[0].connect("e2", ends[1].address)
    reactor.callLater(0.05, start)
    reactor.run()


def encode_batch(messages: list[SubQuery]) -> bytes:
    """Encode a batch as a link would."""
    return encode_frame("e1", 0, [encode_message(message) for message in messages])


def echo_batch(data: bytes) -> bytes:
    """Decode a batch and encode it again, as both ends of a link do."""
    messages: list[PackedMessage] = [
        encode_message(message) for message in decode_frame(data).messages
    ]
    return encode_frame("e2", 0, messages)


def open_socket_pair(capped: bool) -> tuple[Any, Any]:
    """Return two connected pynng sockets, with single-threaded pools if ``capped``."""
    import pynng

    if capped:
        for name in ("TASK", "POLLER", "EXPIRE"):
            for bound in ("MAX", "NUM"):
                parameter = getattr(pynng.lib, f"NNG_INIT_{bound}_{name}_THREADS")
                pynng.lib.nng_init_set_parameter(parameter, 1)
        pynng.lib.nng_init_set_parameter(pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS, 1)
    buffers = {"recv_buffer_size": BUFFER_MESSAGES, "send_buffer_size": BUFFER_MESSAGES}
    listener = pynng.Pair0(listen="tcp://127.0.0.1:0", **buffers)
    address = listener.listeners[0].local_address
    dialler = pynng.Pair0(dial=f"tcp://{address}", block_on_dial=True, **buffers)
    return dialler, listener


def run_pynng_asyncio(batch: int, meter: Meter) -> None:
    """Echo batches over pynng's asyncio interface."""
    import asyncio

    from pynng.exceptions import Closed

    dialler, listener = open_socket_pair(capped=False)

    async def echo() -> None:
        with suppress(Closed):
            while True:
                await listener.asend(echo_batch(await listener.arecv()))

    async def drive() -> None:
        echoing = asyncio.create_task(echo())
        await dialler.asend(encode_batch(make_sub_queries(batch)))
        while meter.count_round_trip():
            await dialler.asend(echo_batch(await dialler.arecv()))
        listener.close()
        await asyncio.wait([echoing], timeout=1.0)

    asyncio.run(drive())


class DescriptorReader:
    """Lets Twisted's reactor read a pynng socket by its descriptor."""

    def __init__(self, socket: Any, received: Callable[[bytes], None]) -> None:  # noqa: ANN401
        self.socket = socket
        self.received = received

    def fileno(self) -> int:
        """Return the descriptor that is readable when a message has arrived."""
        return cast("int", self.socket.recv_fd)

    def doRead(self) -> None:
        """Receive all messages that have arrived."""
        import pynng

        while True:
            try:
                data = self.socket.recv(block=False)
            except pynng.TryAgain:
                return
            self.received(data)

    def connectionLost(self, reason: object) -> None:
        """Do nothing at the end of the run."""

    def logPrefix(self) -> str:
        """Return the name of the reader in the reactor's log."""
        return "pynng"


def run_pynng_descriptor(batch: int, meter: Meter, capped: bool) -> None:
    """Echo batches over pynng sockets that Twisted's reactor reads."""
    from twisted.internet import reactor as global_reactor

    reactor: Any = global_reactor
    dialler, listener = open_socket_pair(capped)

    def receive(data: bytes) -> None:
        if meter.count_round_trip():
            dialler.send(echo_batch(data), block=False)
        else:
            reactor.stop()

    reactor.addReader(DescriptorReader(dialler, receive))
    reactor.addReader(
        DescriptorReader(listener, lambda data: listener.send(echo_batch(data)))
    )
    reactor.callLater(0.05, dialler.send, encode_batch(make_sub_queries(batch)))
    reactor.run()


def read_status(key: str) -> int:
    """Return a number from ``/proc/self/status``."""
    with open("/proc/self/status", encoding="utf-8") as status:
        lines = dict(line.split(":", 1) for line in status)
    return int(lines[key].split()[0])


def measure(transport: str, batch: int) -> LinkCost:
    """Measure one transport in this process."""
    meter = Meter()
    match transport:
        case "link":
            run_link(batch, meter)
        case "pynng-asyncio":
            run_pynng_asyncio(batch, meter)
        case _:
            run_pynng_descriptor(batch, meter, capped="capped" in transport)
    messages = meter.round_trips * batch * 2
    return LinkCost(
        transport,
        batch,
        round(meter.round_trips / meter.seconds),
        round(messages / meter.seconds),
        round(meter.processor_s / messages * 1e6, 1),
        read_status("Threads"),
        round(read_status("VmRSS") / 1024, 1),
    )


def main(transport: Annotated[str, typer.Option()] = "", batch: int = 1) -> None:
    """Measure one transport, or all of them, each in a process of its own."""
    if transport:
        print(json.dumps(measure(transport, batch)._asdict()))
        return
    print(" | ".join(LinkCost._fields))
    for name in TRANSPORTS:
        for size in BATCH_SIZES:
            arguments = ["--transport", name, "--batch", str(size)]
            command = [sys.executable, "-m", "bench.link_cost", *arguments]
            completed = subprocess.run(
                command, capture_output=True, text=True, check=True
            )
            print(
                " | ".join(
                    str(value) for value in json.loads(completed.stdout).values()
                )
            )


if __name__ == "__main__":
    typer.run(main)
