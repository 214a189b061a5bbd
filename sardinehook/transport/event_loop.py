"""Event loop of a gateway: TCP, UDP, timers and signals on asyncio.

It has the methods of a Twisted reactor that gateways use, so that Twisted's simulated
clocks can take its place in tests. Loading Twisted itself would take more time than
the rest of a gateway's start.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import sys
import termios
from collections.abc import Callable
from typing import Any, NamedTuple

from sardinehook.transport.early_sockets import Address, take_socket
from sardinehook.transport.reactor import (
    ConnectionEnd,
    DatagramHandler,
    StreamClientFactory,
    StreamProtocol,
    StreamServerFactory,
)

__all__ = ["EventLoop"]

RECEIVE_BYTES = 64 * 1024  # read at once from one connection
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSED_CLEANLY = ConnectionEnd(True, "Connection was closed cleanly.")

ErrorHandler = Callable[[str, BaseException | None], object]


class PeerAddress(NamedTuple):
    """The remote address of a connection."""

    host: str
    port: int


class DelayedCall:
    """A call that is made once after a delay, unless it is cancelled."""

    __slots__ = ("args", "function", "handle", "keywords")

    def __init__(
        self,
        function: Callable[..., object],
        args: tuple[object, ...],
        keywords: dict[str, object],
    ) -> None:
        self.function = function
        self.args = args
        self.keywords = keywords
        self.handle: asyncio.TimerHandle | None = None

    def run(self) -> None:
        """Make the call."""
        self.handle = None
        self.function(*self.args, **self.keywords)

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self.handle is not None

    def cancel(self) -> None:
        """Cancel the call."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None


class StreamTransport(asyncio.BufferedProtocol):
    """A TCP connection between asyncio and a ``StreamProtocol``.

    All connections share one receive buffer, since received bytes are copied before the
    next connection is read.
    """

    def __init__(self, protocol: StreamProtocol, buffer: memoryview) -> None:
        self.protocol = protocol
        self.buffer = buffer
        self.transport: Any = None
        self.socket: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the established connection to the protocol."""
        self.transport = transport
        self.socket = transport.get_extra_info("socket")
        self.protocol.makeConnection(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes to the protocol."""
        self.protocol.dataReceived(bytes(self.buffer[:nbytes]))

    def pause_writing(self) -> None:
        """Tell the protocol that the peer does not read what it writes."""
        self.protocol.pauseProducing()

    def resume_writing(self) -> None:
        """Tell the protocol that the peer has read most of what it wrote."""
        self.protocol.resumeProducing()

    def pauseProducing(self) -> None:
        """Stop reading from the connection."""
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resumeProducing(self) -> None:
        """Read from the connection again."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the protocol."""
        end = CLOSED_CLEANLY if exc is None else ConnectionEnd(False, str(exc))
        self.protocol.connectionLost(end)

    def write(self, data: bytes) -> None:
        """Send ``data`` after all earlier writes."""
        self.transport.write(data)

    def send(self, data: bytes) -> int:
        """Send ``data`` after all earlier writes; return its length."""
        self.transport.write(data)
        return len(data)

    def getHandle(self) -> StreamTransport:
        """Return the object with the socket's options."""
        return self

    def getsockopt(self, level: int, option: int, buflen: int) -> bytes:
        """Return the value of a socket option."""
        value: bytes = self.socket.getsockopt(level, option, buflen)
        return value

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Set a socket option."""
        self.socket.setsockopt(level, option, value)

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Enable or disable ``TCP_NODELAY``."""
        self.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, int(enabled))

    def getPeer(self) -> PeerAddress:
        """Return the remote address."""
        return PeerAddress(*self.transport.get_extra_info("peername"))

    def unsent_bytes(self) -> int:
        """Return how much written data the peer has not acknowledged yet.

        Only what this process still holds is known where the kernel doesn't tell.
        """
        held: int = self.transport.get_write_buffer_size()
        try:
            queued = fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError:
            return held
        return held + int.from_bytes(queued, sys.byteorder)

    def loseConnection(self) -> None:
        """Close the connection after all written data has been sent."""
        self.transport.close()

    def loseWriteConnection(self) -> None:
        """Close the sending direction after all written data has been sent."""
        if not self.transport.is_closing():
            self.transport.write_eof()

    def abortConnection(self) -> None:
        """Reset the connection at once, dropping unsent data."""
        if not self.transport.is_closing():
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()


class DatagramTransport(asyncio.DatagramProtocol):
    """A UDP socket between asyncio and a ``DatagramHandler``."""

    def __init__(self, handler: DatagramHandler) -> None:
        self.handler = handler

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        """Give the handler the transport to send with."""
        self.transport = transport
        self.handler.transport = self

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.transport.sendto(datagram, address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a received datagram to the handler."""
        self.handler.datagramReceived(data, addr)


class EventLoop:
    """Runs the network, the timers and the signal handlers of one process.

    ``on_error`` receives errors that no handler has caught; the loop goes on.
    """

    def __init__(self, on_error: ErrorHandler) -> None:
        self.loop = asyncio.new_event_loop()
        self.seconds = self.loop.time
        self.on_error = on_error
        self.loop.set_exception_handler(self.handle_error)
        self.buffer = memoryview(bytearray(RECEIVE_BYTES))
        self.connecting: set[asyncio.Task[None]] = set()
        self.start_functions: list[Callable[[], object]] = []
        self.listening: list[tuple[socket.socket, StreamServerFactory, int]] = []
        self.datagrams: list[tuple[socket.socket, DatagramHandler]] = []
        self.opening: set[asyncio.Task[None]] = set()

    def handle_error(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Report an error that no handler has caught."""
        self.on_error(str(context.get("message", "")), context.get("exception"))

    def callLater(
        self,
        delay: float,
        callable: Callable[..., object],
        *args: object,
        **kw: object,
    ) -> DelayedCall:
        """Call ``callable`` after ``delay`` seconds."""
        call = DelayedCall(callable, args, kw)
        call.handle = self.loop.call_later(delay, call.run)
        return call

    def callWhenRunning(self, function: Callable[[], object]) -> None:
        """Call ``function`` when the loop runs."""
        self.start_functions.append(function)

    def call_on_signal(self, number: int, function: Callable[[], object]) -> None:
        """Call ``function`` for each signal ``number``."""
        self.loop.add_signal_handler(number, function)

    def connectTCP(
        self, host: str, port: int, factory: StreamClientFactory, timeout: float
    ) -> None:
        """Start to connect; the attempt fails after ``timeout`` seconds."""
        task = self.loop.create_task(self.connect(host, port, factory, timeout))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def connect(
        self, host: str, port: int, factory: StreamClientFactory, timeout: float
    ) -> None:
        """Connect, or report the failure to the factory.

        A connection that is established as its time ends is closed by asyncio. Its
        protocol is told so, and no failure is reported beside that.
        """
        made: list[StreamTransport] = []

        def make() -> StreamTransport:
            made.append(StreamTransport(factory.buildProtocol(None), self.buffer))
            return made[0]

        try:
            async with asyncio.timeout(timeout):
                await self.loop.create_connection(make, host, port)
        except Exception as error:
            # Whatever the error, those who wait for the connection have to learn it.
            if not isinstance(error, OSError):
                self.on_error(f"can't connect to {host}:{port}", error)
            if not made:
                detail = str(error) or "connection timed out"
                factory.clientConnectionFailed(None, ConnectionEnd(False, detail))

    def listenTCP(
        self, port: int, factory: StreamServerFactory, backlog: int, interface: str
    ) -> None:
        """Bind a TCP port; connections are accepted once the loop runs.

        Raises ``OSError`` if the address is in use or not one of this machine.
        """
        bound = take_socket(Address(interface, port))
        if bound is None:
            bound = bind_socket(socket.SOCK_STREAM, interface, port)
            bound.listen(backlog)
        self.listening.append((bound, factory, backlog))

    def listenUDP(self, port: int, handler: DatagramHandler, interface: str) -> None:
        """Bind a UDP port; datagrams are received once the loop runs.

        Raises ``OSError`` if the address is in use or not one of this machine.
        """
        bound = bind_socket(socket.SOCK_DGRAM, interface, port)
        if self.loop.is_running():
            opening = self.loop.create_task(self.open_datagrams(bound, handler))
            self.opening.add(opening)
            opening.add_done_callback(self.opening.discard)
        else:
            self.datagrams.append((bound, handler))

    def run(self) -> None:
        """Call the start functions, accept connections and run until ``stop``."""
        try:
            for function in self.start_functions:
                self.loop.call_soon(function)
            self.loop.run_until_complete(self.open_ports())
            self.loop.run_forever()
        finally:
            self.loop.close()

    async def open_ports(self) -> None:
        """Start to accept connections and datagrams on the bound ports."""
        for bound, factory, backlog in self.listening:

            def make(factory: StreamServerFactory = factory) -> StreamTransport:
                return StreamTransport(factory.buildProtocol(None), self.buffer)

            await self.loop.create_server(make, sock=bound, backlog=backlog)
        for datagram_socket, handler in self.datagrams:
            await self.open_datagrams(datagram_socket, handler)

    async def open_datagrams(
        self, bound: socket.socket, handler: DatagramHandler
    ) -> None:
        """Start to receive datagrams on a bound port."""
        await self.loop.create_datagram_endpoint(
            lambda: DatagramTransport(handler), sock=bound
        )

    def stop(self) -> None:
        """Stop the loop after the present iteration."""
        self.loop.stop()


def bind_socket(kind: int, interface: str, port: int) -> socket.socket:
    """Return a non-blocking socket that is bound to an address.

    Raises ``OSError`` with the address if that is not possible.
    """
    bound = socket.socket(socket.AF_INET, kind)
    try:
        if kind == socket.SOCK_STREAM:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setblocking(False)
        bound.bind((interface, port))
    except OSError as error:
        bound.close()
        raise OSError(
            error.errno, f"can't listen on {interface}:{port}: {error}"
        ) from None
    return bound
