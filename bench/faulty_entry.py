"""An entry process whose network can be cut and delayed.

Takes the product's process as it is and puts faults around three of its interfaces: the
frames of links, the datagrams of membership and the calls on the platform.
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

__all__ = ["Network", "NetworkFaults"]

MS_PER_S = 1000.0


class NetworkFaults(TypedDict, total=False):
    """The body of ``POST /network``; what is absent stays as it is.

    ``lost_from`` are data centres from which nothing arrives, ``delay_ms`` the one-way
    delay from other data centres, and ``store_cut`` cuts the platform off.
    """

    lost_from: list[str]
    delay_ms: float
    store_cut: bool


class Network:
    """The faults of one process; everything is decided where it arrives."""

    def __init__(self, reactor: Any, own_data_centre: str) -> None:  # noqa: ANN401
        self.reactor = reactor
        self.own = own_data_centre
        self.lost_from: frozenset[str] = frozenset()
        self.delay_ms = 0.0
        self.store_cut = False

    def set_faults(self, faults: NetworkFaults) -> None:
        """Change the faults."""
        self.lost_from = frozenset(faults.get("lost_from", self.lost_from))
        self.delay_ms = faults.get("delay_ms", self.delay_ms)
        self.store_cut = faults.get("store_cut", self.store_cut)

    def arrive(self, node: str, deliver: partial[None]) -> None:
        """Deliver what came from a node: now, later, or never."""
        data_centre = data_centre_of(node)
        if data_centre in self.lost_from:
            return
        if data_centre == self.own or not self.delay_ms:
            deliver()
        else:
            self.reactor.callLater(self.delay_ms / MS_PER_S, deliver)

    def install(self, process: EntryProcess) -> None:
        """Put the faults around the interfaces of a process."""
        network = self
        take_frame = Link.stringReceived
        call = HttpClient.call
        gossip = process.fleet.gossip
        take_datagram = gossip.datagramReceived

        def frame(link: Link, data: bytes) -> None:
            network.arrive(sender_of(data), partial(take_frame, link, data))

        def datagram(data: bytes, addr: tuple[str, int]) -> None:
            node = network.node_at(process, addr)
            network.arrive(node, partial(take_datagram, data, addr))

        async def cut_call(caller: HttpClient, *rest: Any) -> Any:  # noqa: ANN401
            if network.store_cut:
                return Failure(StoreUnavailable("cut off", False))
            return await call(caller, *rest)

        setattr(Link, "stringReceived", frame)  # noqa: B010
        setattr(HttpClient, "call", cut_call)  # noqa: B010
        setattr(gossip, "datagramReceived", datagram)  # noqa: B010

    def node_at(self, process: EntryProcess, addr: tuple[str, int]) -> str:
        """Return the member that sends from an address."""
        wanted = f"{addr[0]}:{addr[1]}"
        for member in process.fleet.membership.table.members.values():
            if member.link_address == wanted:
                return member.name
        return ""


def sender_of(frame: bytes) -> str:
    """Return the sender that a frame of a link names."""
    fields = msgspec.msgpack.decode(frame)
    return str(fields[0])


def data_centre_of(node: str) -> str:
    """Return the data centre in a node name of the rig.

    >>> data_centre_of("entry-bekes-c-1")
    'bekes-c'
    """
    return node.removeprefix("entry-").rpartition("-")[0]


class NetworkResource(Resource):
    """``POST /network`` changes the faults."""

    isLeaf = True

    def __init__(self, network: Network) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.network = network

    def render_POST(self, request: Request) -> bytes:
        """Change the faults."""
        assert request.content is not None
        faults = msgspec.json.decode(request.content.read(), type=NetworkFaults)
        self.network.set_faults(faults)
        return b"{}"


def main() -> None:
    """Run the process."""
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
    network = Network(running, settings.data_centre)
    network.install(process)
    configure_logging(sys.stdout, settings.node, settings.data_centre, process.clock)
    site = Site(NetworkResource(network))
    running.listenTCP(options.control, site, interface=LOOPBACK)
    process.run()


if __name__ == "__main__":
    main()
