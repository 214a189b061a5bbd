"""Test server of a replica: answers searches and orders, with fault modes."""

from __future__ import annotations

from hashlib import blake2b
from random import Random
from typing import Any
from zlib import crc32

from httptools import HttpParserError, HttpRequestParser
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from bench.soak.history import Arrival, Execution, History, Notice, ReplicaAnswer
from bench.soak.rollouts import Defect
from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["ReplicaServer"]

SLOTS = 2
QUEUE_LIMIT = 12
RECORDS_PER_ANSWER = 3
FAULTY_SHARE = 0.4  # of answers, in a fault mode
DUPLICATE_DELAY_S = 0.05
PAUSE_S = 1.5
LIMIT_PER_S = 6.0
ENDLESS_INTERVAL_S = 0.01
CHUNKED = b"HTTP/1.1 200 Told\r\nTransfer-Encoding: chunked\r\n\r\n"
# The first bytes of an endless answer, and those that are sent again and again.
ENDLESS = (
    (b"HTTP/1.1 200 Told\r\n\r\n", bytes(65536)),
    (CHUNKED, b"2\r\nab\r\n" * 16384),
    (CHUNKED, b"1\r\na\r\n" * 16384),
    (b"HTTP/1.1 200 Told\r\n", b"X: y\r\n" * 2048),
    (CHUNKED + b"0\r\n", b"X: y\r\n" * 2048),
)


class ReplicaServer(ServerFactory):
    """A replica with slots and a queue; ``mode`` selects a fault.

    ``errors`` fails requests after running them, ``garble`` truncates answers,
    ``extra`` sends them twice, ``lost`` closes the connection instead of answering,
    ``pause`` starts no request, ``cut_head`` closes in the head of answers, ``endless``
    sends heads and bodies without end. ``refuse`` turns requests away with a pause,
    ``limit`` states a rate. A replica that is ``leaving`` says so in all answers.
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
        self.leaving = False
        self.period = 0
        self.running = 0
        self.queue: list[ReplicaConnection] = []
        self.connections: set[ReplicaConnection] = set()
        self.most_connections = 0
        self.defect: Defect | None = None
        self.started_at = reactor.seconds()

    def buildProtocol(self, addr: object) -> ReplicaConnection:
        """Return a new protocol for an accepted connection."""
        return ReplicaConnection(self)

    def connection_opened(self, connection: ReplicaConnection) -> None:
        """Track a connection and the peak number of open connections."""
        self.connections.add(connection)
        most = max(self.history.connections.get(self.name, 0), len(self.connections))
        self.history.connections[self.name] = most

    def admit(self, connection: ReplicaConnection) -> None:
        """Run a request, queue it, or refuse it with 503 if the queue is full."""
        if self.mode == "refuse":
            connection.refuse(503, f"Retry-After: {PAUSE_S}\r\n".encode())
            self.record_notice("pause", connection, PAUSE_S)
        elif self.running < SLOTS and self.mode != "pause":
            self.run(connection)
        elif len(self.queue) < QUEUE_LIMIT:
            self.queue.append(connection)
        else:
            connection.refuse(503)

    def run(self, connection: ReplicaConnection) -> None:
        """Run a request for a random service time."""
        self.running += 1
        connection.record_execution()
        took_s = self.work_s * self.rng.uniform(0.7, 1.5)
        if self.shows_defect(connection) and self.defect is not None:
            took_s *= self.defect.slowness
            connection.fails = self.rng.random() < self.defect.failing
        self.reactor.callLater(took_s, self.finish_request, connection)

    def shows_defect(self, connection: ReplicaConnection) -> bool:
        """Return whether the version is bad for a request."""
        defect = self.defect
        if defect is None:
            return False
        since_s = self.reactor.seconds() - self.started_at
        target = connection.target.decode()
        has_load = self.running >= defect.running
        return (
            has_load and since_s >= defect.after_s and target.startswith(defect.prefix)
        )

    def pending_requests(self) -> int:
        """Return how many requests run or wait here."""
        return self.running + sum(one.open for one in self.queue)

    def record_bad_answer(self) -> None:
        """Record a failed or slow answer of a version that is rolled out."""
        for record in self.history.rollouts:
            if self.name in record.new:
                record.bad_answers.append(self.reactor.seconds())

    def finish_request(self, connection: ReplicaConnection) -> None:
        """Answer a request and start the next queued one."""
        self.running -= 1
        connection.finish()
        self.run_queued()

    def run_queued(self) -> None:
        """Start queued requests while slots are free."""
        while self.queue and self.running < SLOTS and self.mode != "pause":
            connection = self.queue.pop(0)
            if connection.open:
                self.run(connection)

    def record_notice(
        self, kind: str, connection: ReplicaConnection, value: float
    ) -> None:
        """Record that an answer said something of this replica."""
        notice = Notice(
            kind,
            self.name,
            connection.request,
            self.reactor.seconds(),
            value,
            self.period,
        )
        self.history.notices.append(notice)

    def notice_headers(self, connection: ReplicaConnection) -> bytes:
        """Return the headers that say what holds now, and record them."""
        headers = b""
        if self.leaving:
            self.record_notice("leaving", connection, 0.0)
            headers += b"Server-Leaving: 1\r\n"
        if self.mode == "limit":
            self.record_notice("limit", connection, LIMIT_PER_S)
            headers += f"Server-Limit: {LIMIT_PER_S}\r\n".encode()
        return headers

    def set_mode(self, mode: str) -> None:
        """Set the fault mode, empty for none."""
        self.period += mode != self.mode
        self.mode = mode
        self.run_queued()

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.tcp.abortConnection()


class ReplicaConnection(Protocol):
    """A server connection; one request at a time, no pipelining."""

    def __init__(self, replica: ReplicaServer) -> None:
        self.replica = replica
        self.open = False
        self.generation = 0
        self.reset()

    def reset(self) -> None:
        """Reset the parser and the buffers for the next request."""
        self.parser = HttpRequestParser(self)
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.complete = False
        self.fails = False

    def connectionMade(self) -> None:
        """Register the connection with the replica."""
        tcp: Any = self.transport
        self.tcp = tcp
        self.open = True
        self.replica.connection_opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the connection from the replica."""
        self.open = False
        self.replica.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse a request and dispatch it when complete."""
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self.tcp.abortConnection()
            return
        if self.complete:
            self.complete = False
            self.dispatch()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.complete = True

    def dispatch(self) -> None:
        """Admit a request; refuse it with 421 if it expects another replica."""
        expected = self.headers.get(b"x-expect-instance", b"").decode()
        replica = self.replica
        if expected and expected != replica.name:
            self.refuse(421)
            return
        arrival = Arrival(self.request, replica.name, replica.reactor.seconds())
        replica.history.arrivals.append(arrival)
        replica.admit(self)

    @property
    def request(self) -> str:
        """The request id from the header."""
        return self.headers.get(b"x-request-id", b"").decode()

    def record_execution(self) -> None:
        """Record the start of the request's execution in the history."""
        deadline = self.headers.get(b"x-deadline-ms", b"0")
        replica = self.replica
        execution = Execution(
            self.request,
            replica.name,
            replica.service,
            replica.reactor.seconds(),
            self.parser.get_method().decode(),
            self.target.decode(),
            self.body,
            float(deadline),
        )
        replica.history.executions.append(execution)

    def refuse(self, status: int, extra: bytes = b"") -> None:
        """Answer with a status and the header that the request was not executed."""
        self.write(status, "", b"", b"X-Not-Executed: 1\r\n" + extra)

    def finish(self) -> None:
        """Answer an executed request, or apply the fault mode to a share of them."""
        replica = self.replica
        if not self.open:
            return
        fault = replica.rng.random() < FAULTY_SHARE and replica.mode
        defect = replica.defect
        if self.fails or (defect is not None and defect.slowness > 1.0):
            replica.record_bad_answer()
        if self.fails:
            fault = "errors"
        if fault == "lost":
            self.tcp.abortConnection()
            return
        answer = self.make_answer()
        if fault == "errors":
            self.write(500, answer.signature, b"failed")
            return
        replica.history.replica_answers[answer.signature] = answer
        if fault == "garble":
            self.write(200, answer.signature, answer.body, cut=len(answer.body) // 2)
            return
        if fault == "cut_head":
            self.write(200, answer.signature, answer.body, cut=len(answer.body) + 30)
            return
        if fault == "endless":
            first, piece = ENDLESS[crc32(self.request.encode()) % len(ENDLESS)]
            self.tcp.write(first)
            self.send_endless(piece)
            return
        self.write(200, answer.signature, answer.body)
        if fault == "extra":
            replica.reactor.callLater(DUPLICATE_DELAY_S, self.send_duplicate, answer)

    def send_endless(self, piece: bytes) -> None:
        """Send a piece again and again until the connection is closed."""
        if self.open:
            self.tcp.write(piece)
            self.replica.reactor.callLater(ENDLESS_INTERVAL_S, self.send_endless, piece)

    def make_answer(self) -> ReplicaAnswer:
        """Create the answer; replicas of a service return the same records."""
        replica = self.replica
        nonce = replica.rng.getrandbits(32)
        signature = f"{self.request}.{replica.name}.{nonce:08x}"
        seed = f"{replica.service} {self.request}".encode()
        records = [
            blake2b(seed, digest_size=16, salt=bytes([number])).digest()
            for number in range(RECORDS_PER_ANSWER)
        ]
        tail = b"tail"[: replica.rng.randrange(4)]
        return ReplicaAnswer(
            signature, replica.service, replica.name, b"".join(records) + tail
        )

    def send_duplicate(self, answer: ReplicaAnswer) -> None:
        """Send an answer a second time, without a request for it."""
        if self.open:
            request = answer.signature.partition(".")[0]
            self.tcp.write(
                encode_response(
                    200, answer.signature, answer.body, request_id_header(request)
                )
            )

    def write(
        self,
        status: int,
        signature: str,
        body: bytes,
        extra: bytes = b"",
        cut: int | None = None,
    ) -> None:
        """Write an answer; with ``cut``, leave out that many bytes and close."""
        if not self.open:
            return
        extra += request_id_header(self.request) + self.load_header()
        extra += self.replica.notice_headers(self)
        response = encode_response(status, signature, body, extra)
        if cut is None:
            self.tcp.write(response)
            self.reset()
        else:
            self.tcp.write(response[: len(response) - cut])
            self.tcp.loseConnection()

    def load_header(self) -> bytes:
        """Return the load header: running, queued, slots."""
        replica = self.replica
        load = f"{replica.running},{len(replica.queue)},{SLOTS}"
        return f"X-Server-Load: {load}\r\n".encode()


def request_id_header(request: str) -> bytes:
    """Return the header with the id of the answered request."""
    return f"X-Request-Id: {request}\r\n".encode()


def encode_response(status: int, signature: str, body: bytes, extra: bytes) -> bytes:
    """Encode an HTTP answer."""
    lines = f"HTTP/1.1 {status} Told\r\nContent-Length: {len(body)}\r\n".encode()
    if signature:
        lines += f"X-Server-Stamp: {signature}\r\n".encode()
    return lines + extra + b"Keep-Alive: timeout=5\r\n\r\n" + body
