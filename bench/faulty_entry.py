"""An entry process with injected network faults.

Runs the unmodified entry process and wraps three of its interfaces: the frames of
links, the datagrams of membership and the calls to the platform.
"""

from __future__ import annotations

import argparse
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any, TypedDict

import msgspec
from returns.result import Failure
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from bench.ports import LOOPBACK
from sardinehook.entry.process import EntryProcess
from sardinehook.entry.settings import EntrySettings
from sardinehook.environment.loading import load_yaml
from sardinehook.errors import ErrorKind
from sardinehook.fleet.connection import Link
from sardinehook.observe.events import configure_logging
from sardinehook.store.http_client import HttpClient
from sardinehook.store.port import StoreUnavailable

__all__ = ["FaultInjector", "NetworkFaults"]

MS_PER_S = 1000.0


class NetworkFaults(TypedDict, total=False):
    """The body of ``POST /network``; absent fields keep their value.

    Frames and datagrams from data centres in ``lost_from`` are dropped, and those from
    other data centres are delayed by ``delay_ms``. With ``store_cut`` calls to the
    platform fail.
    """

    lost_from: list[str]
    delay_ms: float
    store_cut: bool


class FaultInjector:
    """The network faults of one process, applied on the receiving side."""

    def __init__(self, reactor: Any, own_data_centre: str) -> None:  # noqa: ANN401
        self.reactor = reactor
        self.own_data_centre = own_data_centre
        self.lost_from: frozenset[str] = frozenset()
        self.delay_ms = 0.0
        self.store_cut = False

    def set_faults(self, faults: NetworkFaults) -> None:
        """Set the faults that are given; the others keep their value."""
        self.lost_from = frozenset(faults.get("lost_from", self.lost_from))
        self.delay_ms = faults.get("delay_ms", self.delay_ms)
        self.store_cut = faults.get("store_cut", self.store_cut)

    def deliver_with_faults(self, node: str, deliver: partial[None]) -> None:
        """Deliver data from a node at once, after the delay, or not at all."""
        data_centre = data_centre_of(node)
        if data_centre in self.lost_from:
            return
        if data_centre == self.own_data_centre or not self.delay_ms:
            deliver()
        else:
            self.reactor.callLater(self.delay_ms / MS_PER_S, deliver)

    def install(self, process: EntryProcess) -> None:
        """Patch the receiving methods and the platform calls of a process."""
        injector = self
        original_receive_frame = Link.stringReceived
        original_call = HttpClient.call
        gossip = process.fleet.gossip
        original_receive_datagram = gossip.datagramReceived

        def receive_frame(link: Link, data: bytes) -> None:
            injector.deliver_with_faults(
                frame_sender(data), partial(original_receive_frame, link, data)
            )

        def receive_datagram(data: bytes, addr: tuple[str, int]) -> None:
            node = injector.find_member(process, addr)
            injector.deliver_with_faults(
                node, partial(original_receive_datagram, data, addr)
            )

        async def call_platform(caller: HttpClient, *args: Any) -> Any:  # noqa: ANN401
            if injector.store_cut:
                return Failure(
                    StoreUnavailable("platform is cut off by fault injection", False)
                )
            return await original_call(caller, *args)

        setattr(Link, "stringReceived", receive_frame)  # noqa: B010
        setattr(HttpClient, "call", call_platform)  # noqa: B010
        setattr(gossip, "datagramReceived", receive_datagram)  # noqa: B010

    def find_member(self, process: EntryProcess, addr: tuple[str, int]) -> str:
        """Return the name of the member at an address, empty if there is none."""
        wanted = f"{addr[0]}:{addr[1]}"
        for member in process.fleet.membership.table.members.values():
            if member.link_address == wanted:
                return member.name
        return ""


def frame_sender(receive_frame: bytes) -> str:
    """Return the sender's name in a link frame."""
    fields = msgspec.msgpack.decode(receive_frame)
    return str(fields[0])


def data_centre_of(node: str) -> str:
    """Return the data centre from a node name that the rig assigned.

    >>> data_centre_of("entry-bekes-c-1")
    'bekes-c'
    """
    return node.removeprefix("entry-").rpartition("-")[0]


class FaultResource(Resource):
    """Serves ``POST /network``, which sets the faults."""

    isLeaf = True

    def __init__(self, injector: FaultInjector) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.injector = injector

    def render_POST(self, request: Request) -> bytes:
        """Set the faults in the request body."""
        assert request.content is not None
        faults = msgspec.json.decode(request.content.read(), type=NetworkFaults)
        self.injector.set_faults(faults)
        return b"{}"


def main() -> None:
    """Run the entry process and its fault control port until terminated."""
    parser = argparse.ArgumentParser(prog="python -m bench.faulty_entry")
    parser.add_argument("--settings", type=Path, required=True)
    parser.add_argument("--control", type=int, required=True)
    options = parser.parse_args()
    text = options.settings.read_text()
    kind = ErrorKind.INVALID_SETTINGS
    settings = load_yaml(EntrySettings, text, str(options.settings), kind).unwrap()
    from twisted.internet import reactor

    running: Any = reactor
    running.seconds = time.monotonic
    process = EntryProcess(running, settings)
    injector = FaultInjector(running, settings.data_centre)
    injector.install(process)
    configure_logging(sys.stdout, settings.node, settings.data_centre, process.clock)
    site = Site(FaultResource(injector))
    running.listenTCP(options.control, site, interface=LOOPBACK)
    process.run()


if __name__ == "__main__":
    main()
