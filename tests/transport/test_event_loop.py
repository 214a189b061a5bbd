"""The event loop: connections, datagrams, timers and unexpected errors, on loopback."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Iterator
from os import getpid, kill
from typing import Any

import pytest

from sardinehook.transport.early_sockets import Address, listen_early, take_socket
from sardinehook.transport.event_loop import EventLoop, PeerAddress
from sardinehook.transport.reactor import ConnectionEnd, StreamProtocol

GIVE_UP_S = 10.0
HOST = "127.0.0.1"


class Recorder(StreamProtocol):
    """Records what happens to a connection, and acts on it."""

    def __init__(self, act: Callable[[Recorder, str], object]) -> None:
        self.act = act
        self.received = b""
        self.end: ConnectionEnd | None = None

    def connectionMade(self) -> None:
        self.act(self, "made")

    def dataReceived(self, data: bytes) -> None:
        self.received += data
        self.act(self, "data")

    def connectionLost(self, reason: ConnectionEnd) -> None:
        self.end = reason
        self.act(self, "lost")

    def pauseProducing(self) -> None:
        self.act(self, "paused")

    def resumeProducing(self) -> None:
        self.act(self, "resumed")


class Factory:
    """Makes recorders, and records connections that could not be opened."""

    def __init__(self, act: Callable[[Recorder, str], object]) -> None:
        self.act = act
        self.made: list[Recorder] = []
        self.failed: list[ConnectionEnd] = []
        self.on_failed: Callable[[], object] = int

    def buildProtocol(self, addr: object) -> Recorder:
        self.made.append(Recorder(self.act))
        return self.made[-1]

    def clientConnectionFailed(self, connector: object, reason: ConnectionEnd) -> None:
        self.failed.append(reason)
        self.on_failed()


class LoopRig:
    """An event loop that gives up after ``GIVE_UP_S`` seconds."""

    def __init__(self) -> None:
        self.errors: list[tuple[str, BaseException | None]] = []
        self.loop = EventLoop(lambda *error: self.errors.append(error))
        self.gave_up = False

    def give_up(self) -> None:
        self.gave_up = True
        self.loop.stop()

    def run(self) -> None:
        """Run until the test stops the loop."""
        self.loop.callLater(GIVE_UP_S, self.give_up)
        self.loop.run()
        assert not self.gave_up

    def connect(self, port: int, client: Factory, server: Factory) -> None:
        """Connect a client to a server."""
        self.loop.listenTCP(port, server, 16, HOST)
        self.loop.connectTCP(HOST, port, client, 1.0)


@pytest.fixture
def free_port() -> Iterator[int]:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
    yield port


def echo(connection: Recorder, event: str) -> None:
    """Return received bytes."""
    if event == "data":
        connection.transport.write(connection.received)


class TestConnections:
    def test_bytes_are_exchanged_and_a_close_is_clean(self, free_port: int) -> None:
        rig = LoopRig()

        def act(connection: Recorder, event: str) -> None:
            if event == "made":
                assert connection.transport.getHandle().send(b"question") == 8
            elif event == "data":
                connection.transport.loseConnection()
            else:
                rig.loop.callLater(0.01, rig.loop.stop)

        client, server = Factory(act), Factory(echo)
        rig.connect(free_port, client, server)
        rig.run()
        assert client.made[0].received == b"question"
        assert server.made[0].end is not None and server.made[0].end.is_clean
        assert isinstance(server.made[0].transport.getPeer(), PeerAddress)

    def test_an_abort_resets_the_connection(self, free_port: int) -> None:
        rig = LoopRig()

        def act(connection: Recorder, event: str) -> None:
            if event == "made":
                connection.transport.write(b"question")
            elif event == "data":
                connection.transport.abortConnection()

        def stop_when_lost(connection: Recorder, event: str) -> None:
            echo(connection, event)
            if event == "lost":
                rig.loop.stop()

        client, server = Factory(act), Factory(stop_when_lost)
        rig.connect(free_port, client, server)
        rig.run()
        assert server.made[0].end is not None and not server.made[0].end.is_clean

    def test_after_half_a_close_the_peer_still_answers(self, free_port: int) -> None:
        rig = LoopRig()

        def act(connection: Recorder, event: str) -> None:
            if event == "made":
                connection.transport.write(b"question")
                connection.transport.loseWriteConnection()
            elif event == "lost":
                rig.loop.stop()

        client, server = Factory(act), Factory(echo)
        rig.connect(free_port, client, server)
        rig.run()
        assert client.made[0].received == b"question"

    def test_a_protocol_learns_that_its_peer_does_not_read(
        self, free_port: int
    ) -> None:
        """Guards against written data that piles up without bound."""
        rig = LoopRig()
        events: list[str] = []

        def write_much(connection: Recorder, event: str) -> None:
            events.append(event)
            if event == "made":
                connection.transport.write(bytes(16 * 1024 * 1024))
            elif event == "paused":
                connection.transport.pauseProducing()
            elif event == "resumed":
                connection.transport.resumeProducing()
                connection.transport.loseConnection()

        def read_late(connection: Recorder, event: str) -> None:
            if event == "made":
                connection.transport.pauseProducing()
                rig.loop.callLater(0.05, connection.transport.resumeProducing)
            elif event == "lost":
                rig.loop.stop()

        client, server = Factory(write_much), Factory(read_late)
        rig.connect(free_port, client, server)
        rig.run()
        assert events[:3] == ["made", "paused", "resumed"]
        assert len(server.made[0].received) == 16 * 1024 * 1024

    def test_a_refused_connection_is_reported(self, free_port: int) -> None:
        rig = LoopRig()
        client = Factory(echo)
        client.on_failed = rig.loop.stop
        rig.loop.connectTCP(HOST, free_port, client, 1.0)
        rig.run()
        assert len(client.failed) == 1 and not client.made

    def test_a_connection_established_as_its_time_ends_did_not_fail(
        self, free_port: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Both reports would count one attempt twice, after a pause of the process."""
        rig = LoopRig()
        create_connection = rig.loop.loop.create_connection

        async def establish_late(*args: Any, **kw: Any) -> None:
            transport, _ = await create_connection(*args, **kw)
            transport.close()
            raise TimeoutError

        def stop_when_lost(connection: Recorder, event: str) -> None:
            if event == "lost":
                rig.loop.callLater(0.0, rig.loop.stop)

        monkeypatch.setattr(rig.loop.loop, "create_connection", establish_late)
        client = Factory(stop_when_lost)
        rig.connect(free_port, client, Factory(echo))
        rig.run()
        assert client.failed == [] and len(client.made) == 1

    def test_an_error_in_a_handler_ends_its_connection_alone(
        self, free_port: int
    ) -> None:
        rig = LoopRig()

        def fail(connection: Recorder, event: str) -> None:
            if event == "data":
                raise ValueError("unexpected")

        def act(connection: Recorder, event: str) -> None:
            if event == "made":
                connection.transport.write(b"question")
            elif event == "lost":
                rig.loop.callLater(0.0, rig.loop.stop)

        client, server = Factory(act), Factory(fail)
        rig.connect(free_port, client, server)
        rig.run()
        assert [type(error) for _, error in rig.errors] == [ValueError]


class TestListening:
    def test_an_address_in_use_is_an_error_that_names_it(self) -> None:
        with socket.socket() as other:
            other.bind((HOST, 0))
            other.listen()
            port = other.getsockname()[1]
            with pytest.raises(OSError, match=str(port)):
                LoopRig().loop.listenTCP(port, Factory(echo), 16, HOST)

    def test_a_caller_that_came_before_the_loop_is_answered(
        self, free_port: int
    ) -> None:
        """A gateway that starts keeps the requests that arrive meanwhile."""
        rig = LoopRig()
        assert listen_early(Address(HOST, free_port))
        with socket.create_connection((HOST, free_port), 1.0) as caller:
            caller.sendall(b"question")

            def act(connection: Recorder, event: str) -> None:
                echo(connection, event)
                rig.loop.callLater(0.0, rig.loop.stop)

            rig.loop.listenTCP(free_port, Factory(act), 16, HOST)
            rig.run()
            assert caller.recv(100) == b"question"
        assert take_socket(Address(HOST, free_port)) is None

    def test_an_address_in_use_is_left_to_the_loop_to_report(self) -> None:
        with socket.socket() as other:
            other.bind((HOST, 0))
            other.listen()
            assert not listen_early(Address(HOST, other.getsockname()[1]))

    @pytest.mark.parametrize("port", [-1, 70000])
    def test_an_impossible_port_is_left_to_the_loop_to_report(self, port: int) -> None:
        assert not listen_early(Address(HOST, port))


class DatagramRecorder:
    """Records datagrams, and stops the loop at the first."""

    def __init__(self, rig: LoopRig) -> None:
        self.transport = None
        self.rig = rig
        self.received: list[bytes] = []

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        self.received.append(datagram)
        self.rig.loop.stop()


class TestDatagrams:
    def test_a_datagram_arrives(self, free_port: int) -> None:
        rig = LoopRig()
        recorder = DatagramRecorder(rig)
        rig.loop.listenUDP(free_port, recorder, HOST)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b"alive", (HOST, free_port))
            rig.run()
        assert recorder.received == [b"alive"]


class TestTimersAndSignals:
    def test_a_cancelled_call_is_not_made(self) -> None:
        rig = LoopRig()
        calls: list[str] = []
        cancelled = rig.loop.callLater(0.0, calls.append, "cancelled")
        made = rig.loop.callLater(0.0, calls.append, "made")
        cancelled.cancel()
        assert made.active() and not cancelled.active()
        rig.loop.callLater(0.01, rig.loop.stop)
        rig.run()
        assert calls == ["made"] and not made.active()

    def test_an_error_in_a_timer_is_reported_and_the_loop_goes_on(self) -> None:
        rig = LoopRig()
        rig.loop.callLater(0.0, int, "no number")
        rig.loop.callLater(0.01, rig.loop.stop)
        rig.run()
        assert [type(error) for _, error in rig.errors] == [ValueError]

    def test_a_signal_calls_its_function(self) -> None:
        rig = LoopRig()
        rig.loop.call_on_signal(signal.SIGUSR1, rig.loop.stop)
        rig.loop.callWhenRunning(lambda: kill(getpid(), signal.SIGUSR1))
        rig.run()
