"""An in-memory reactor and target connections, driven step by step by tests."""

from __future__ import annotations

from typing import cast

from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.interfaces import IConnector
from twisted.internet.protocol import ClientFactory
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from sardinehook.environment.document import Index, Replica
from sardinehook.messages import Outcome, SubQuery, SubReply
from sardinehook.target.allowance import Allowance
from sardinehook.target.connection import TargetConnection
from sardinehook.target.limits import OwnerLimits
from sardinehook.target.owner import TargetOwner

__all__ = ["FakeLink", "FakeReactor", "Rig", "connect", "query", "reply_bytes"]


class FakeLink:
    """The target's end of one connection: records requests and sends replies."""

    def __init__(self, protocol: TargetConnection) -> None:
        self.protocol = protocol
        self.requests: list[bytes] = []
        self.open = True
        self.half_closed = False
        self.closes_own_side = True

    def write(self, data: bytes) -> None:
        self.requests.append(data)

    def getHandle(self) -> FakeLink:
        return self

    def send(self, data: bytes) -> int:
        self.requests.append(data)
        return len(data)

    def setsockopt(self, level: int, option: int, value: int) -> None:
        pass

    def loseConnection(self) -> None:
        self.drop(ConnectionDone())

    def loseWriteConnection(self) -> None:
        assert self.open, "the socket is closed"
        self.half_closed = True
        if self.closes_own_side:
            self.drop(ConnectionDone())

    def abortConnection(self) -> None:
        self.drop(ConnectionLost())

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def drop(self, reason: Exception) -> None:
        """End the connection."""
        if self.open:
            self.open = False
            self.protocol.connectionLost(failure(reason))

    @property
    def last(self) -> bytes:
        return self.requests[-1]

    def header(self, name: str) -> str:
        """Return a header of the last request."""
        for line in self.last.decode().split("\r\n"):
            if line.startswith(f"{name}: "):
                return line.partition(": ")[2]
        return ""

    def answer(
        self, status: int = 200, body: bytes = b"{}", **headers: str | int
    ) -> None:
        """Reply to the last request; ``headers`` override or extend the defaults."""
        self.protocol.dataReceived(
            reply_bytes(
                status,
                body,
                **{
                    "Request_Id": self.header("Request-Id"),
                    "Sub_Query_Id": self.header("Sub-Query-Id"),
                    "Target_State": "warm",
                    "Index_Version": self.header("Index-Version") or "1",
                    "Partitioning_Version": self.header("Partitioning-Version") or "1",
                    **headers,
                },
            )
        )


def reply_bytes(status: int, body: bytes, **headers: str | int) -> bytes:
    """Return a reply; underscores in header names stand for hyphens."""
    lines = [f"HTTP/1.1 {status} Reason", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def failure(error: Exception) -> Failure:
    """Wrap ``error`` as Twisted passes it to protocols."""
    return Failure(error)


def connect(protocol: TargetConnection, link: FakeLink) -> None:
    """Establish a connection."""
    protocol.makeConnection(link)


class FakeReactor(Clock):
    """A clock that also accepts or refuses connections as the test sets it."""

    def __init__(self) -> None:
        super().__init__()
        self.attempts: list[ClientFactory] = []
        self.links: list[FakeLink] = []
        self.accepts = True
        self.refuses = False

    def connectTCP(
        self, host: str, port: int, factory: ClientFactory, timeout: float
    ) -> None:
        self.attempts.append(factory)
        if self.accepts or self.refuses:
            self.callLater(0.001, self.finish_attempt, factory)

    def finish_attempt(self, factory: ClientFactory) -> None:
        """Accept or refuse one connection attempt."""
        if self.refuses:
            error = ConnectionRefusedError()
            factory.clientConnectionFailed(cast(IConnector, self), failure(error))
            return
        protocol = factory.buildProtocol(None)
        assert isinstance(protocol, TargetConnection)
        link = FakeLink(protocol)
        self.links.append(link)
        connect(protocol, link)


def query(number: int = 1, **fields: object) -> SubQuery:
    """Return a sub-query to the one replica of the rig."""
    usual = SubQuery(number, f"r{number}", "s", "s-a", 0, 0, 150.0, 5, "", b"{}")
    return usual._replace(**fields)  # type: ignore[arg-type]


class Rig:
    """An owner of one replica, with the replies that it has given."""

    def __init__(
        self, slots: int = 2, cold: int = 1, allowance: Allowance | None = None
    ) -> None:
        self.reactor = FakeReactor()
        self.owner = TargetOwner(self.reactor, OwnerLimits(poll_interval_s=3600.0))
        self.replies: list[SubReply] = []
        self.index = Index(
            slots, 25, 6.0, {"s": [Replica("s-a", "dc", "10.0.0.1:80")]}, cold
        )
        self.owner.configure({"i": self.index})
        self.owner.set_allowance("s-a", allowance or Allowance(slots, 20, True))
        self.runner = self.owner.clients["s-a"]
        self.advance(0.002)
        self.answer_status()

    def answer_status(self) -> None:
        """Reply to the pending status polls."""
        for link in self.busy("GET /status"):
            link.answer(body=b'{"index_versions":[1],"partitioning":1}')

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps of one millisecond."""
        for _ in range(max(1, round(seconds / 0.001))):
            self.reactor.advance(0.001)

    def submit(self, *sub_queries: SubQuery) -> None:
        """Submit sub-queries and advance the clock so that connections open."""
        for sub_query in sub_queries:
            self.owner.submit("peer", sub_query, self.replies.append)
        self.advance(0.003)

    def busy(self, start: str = "POST /services") -> list[FakeLink]:
        """Return the open links whose last request has no reply yet."""
        return [
            link
            for link in self.reactor.links
            if link.open
            and link.protocol.finish is not None
            and link.last.decode().startswith(start)
        ]

    def sent(self, request_id: str) -> int:
        """Return how often a sub-query of this request was sent to the target."""
        wanted = f"Request-Id: {request_id}\r\n".encode()
        return sum(
            request.startswith(b"POST /services") and wanted in request
            for link in self.reactor.links
            for request in link.requests
        )

    def warm_up(self) -> None:
        """Warm up the replica by timely replies at the concurrency limit."""
        number = 10_000
        while self.runner.ramp.state.name != "WARM":
            for _ in range(self.runner.ramp.bound):
                number += 1
                self.submit(query(number))
            for link in self.busy():
                link.answer()
        self.replies.clear()

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes of the replies, in order."""
        return [reply.outcome for reply in self.replies]
