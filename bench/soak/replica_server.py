"""Stand-in of a replica: answers searches and orders, and misbehaves on demand."""

from __future__ import annotations

from hashlib import blake2b
from random import Random
from typing import Any

from httptools import HttpParserError, HttpRequestParser
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from bench.soak.history import History, Part, Run
from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["ReplicaServer"]

SLOTS = 2
QUEUE = 12
RECORDS = 3
FAULTY_SHARE = 0.4  # of the answers, while a replica misbehaves
LATE_EXTRA_S = 0.05


class ReplicaServer(ServerFactory):
    """One replica with its slots and queue; ``mode`` is how it misbehaves.

    ``errors`` fails requests after running them, ``garble`` breaks answers off,
    ``extra`` sends each twice, ``lost`` runs requests and drops the answer, ``pause``
    holds everything up.
    """

    noisy = False

    def __init__(
        self,
        reactor: GatewayReactor,
        history: History,
        rng: Random,
        name: str,
        service: str,
        work_s: float,
    ) -> None:
        self.reactor = reactor
        self.history = history
        self.rng = rng
        self.name = name
        self.service = service
        self.work_s = work_s
        self.mode = ""
        self.running = 0
        self.queue: list[ReplicaConnection] = []
        self.connections: set[ReplicaConnection] = set()
        self.most_connections = 0

    def buildProtocol(self, addr: object) -> ReplicaConnection:
        """Return the protocol of a connection."""
        return ReplicaConnection(self)

    def opened(self, connection: ReplicaConnection) -> None:
        """Count a connection."""
        self.connections.add(connection)
        most = max(self.history.connections.get(self.name, 0), len(self.connections))
        self.history.connections[self.name] = most

    def admit(self, connection: ReplicaConnection) -> None:
        """Run a request, queue it, or refuse it."""
        if self.running < SLOTS and self.mode != "pause":
            self.run(connection)
        elif len(self.queue) < QUEUE:
            self.queue.append(connection)
        else:
            connection.refuse(503)

    def run(self, connection: ReplicaConnection) -> None:
        """Work on a request."""
        self.running += 1
        connection.note_run()
        took_s = self.work_s * self.rng.uniform(0.7, 1.5)
        self.reactor.callLater(took_s, self.end, connection)

    def end(self, connection: ReplicaConnection) -> None:
        """Answer a request and begin the next one."""
        self.running -= 1
        connection.finish()
        self.resume()

    def resume(self) -> None:
        """Work on what is queued."""
        while self.queue and self.running < SLOTS and self.mode != "pause":
            connection = self.queue.pop(0)
            if connection.open:
                self.run(connection)

    def set_mode(self, mode: str) -> None:
        """Begin or end to misbehave."""
        self.mode = mode
        self.resume()

    def close(self) -> None:
        """End all connections."""
        for connection in list(self.connections):
            connection.tcp.abortConnection()


class ReplicaConnection(Protocol):
    """One connection, with one request at a time."""

    def __init__(self, replica: ReplicaServer) -> None:
        self.replica = replica
        self.open = False
        self.generation = 0
        self.reset()

    def reset(self) -> None:
        """Forget the last request."""
        self.parser = HttpRequestParser(self)
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.whole = False

    def connectionMade(self) -> None:
        """Count the connection."""
        tcp: Any = self.transport
        self.tcp = tcp
        self.open = True
        self.replica.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Forget the connection."""
        self.open = False
        self.replica.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Read a request."""
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self.tcp.abortConnection()
            return
        if self.whole:
            self.whole = False
            self.take()

    def on_url(self, url: bytes) -> None:
        """Keep a part of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Note that the request is whole."""
        self.whole = True

    def take(self) -> None:
        """Take a request in, unless it is for another replica."""
        expected = self.headers.get(b"x-expect-instance", b"").decode()
        if expected and expected != self.replica.name:
            self.refuse(421)
        else:
            self.replica.admit(self)

    @property
    def request(self) -> str:
        """The id of the request."""
        return self.headers.get(b"x-request-id", b"").decode()

    def note_run(self) -> None:
        """Record that the replica works on the request."""
        deadline = self.headers.get(b"x-deadline-ms", b"0")
        replica = self.replica
        run = Run(
            self.request,
            replica.name,
            replica.service,
            replica.reactor.seconds(),
            self.parser.get_method().decode(),
            self.target.decode(),
            self.body,
            float(deadline),
        )
        replica.history.runs.append(run)

    def refuse(self, status: int) -> None:
        """Answer that the request was not run."""
        self.write(status, "", b"", b"X-Not-Executed: 1\r\n")

    def finish(self) -> None:
        """Answer the request that was run."""
        replica = self.replica
        if not self.open:
            return
        faulty = replica.rng.random() < FAULTY_SHARE and replica.mode
        if faulty == "lost":
            self.tcp.abortConnection()
            return
        part = self.make_part()
        if faulty == "errors":
            self.write(500, part.signature, b"failed")
            return
        replica.history.parts[part.signature] = part
        if faulty == "garble":
            self.write(200, part.signature, part.body, cut=len(part.body) // 2)
            return
        self.write(200, part.signature, part.body)
        if faulty == "extra":
            replica.reactor.callLater(LATE_EXTRA_S, self.repeat, part)

    def make_part(self) -> Part:
        """Make the answer to the request."""
        replica = self.replica
        nonce = replica.rng.getrandbits(32)
        signature = f"{self.request}.{replica.name}.{nonce:08x}"
        seed = f"{replica.service} {self.request}".encode()
        records = [
            blake2b(seed, digest_size=16, salt=bytes([number])).digest()
            for number in range(RECORDS)
        ]
        tail = b"tail"[: replica.rng.randrange(4)]
        return Part(signature, replica.service, replica.name, b"".join(records) + tail)

    def repeat(self, part: Part) -> None:
        """Send an answer that nobody asked for."""
        if self.open:
            request = part.signature.partition(".")[0]
            self.tcp.write(encode(200, part.signature, part.body, echo(request)))

    def write(
        self,
        status: int,
        signature: str,
        body: bytes,
        extra: bytes = b"",
        cut: int | None = None,
    ) -> None:
        """Write an answer, or only a part of its body."""
        if not self.open:
            return
        extra += echo(self.request) + self.load()
        whole = encode(status, signature, body, extra)
        if cut is None:
            self.tcp.write(whole)
            self.reset()
        else:
            self.tcp.write(whole[: len(whole) - cut])
            self.tcp.loseConnection()

    def load(self) -> bytes:
        """Return the header with the load."""
        replica = self.replica
        told = f"{replica.running},{len(replica.queue)},{SLOTS}"
        return f"X-Server-Load: {told}\r\n".encode()


def echo(request: str) -> bytes:
    """Return the header that names the request that is answered."""
    return f"X-Request-Id: {request}\r\n".encode()


def encode(status: int, signature: str, body: bytes, extra: bytes) -> bytes:
    """Return the bytes of an answer."""
    lines = f"HTTP/1.1 {status} Told\r\nContent-Length: {len(body)}\r\n".encode()
    if signature:
        lines += f"X-Server-Stamp: {signature}\r\n".encode()
    return lines + extra + b"Keep-Alive: timeout=5\r\n\r\n" + body
