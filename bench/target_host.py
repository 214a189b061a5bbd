"""One simulated replica on its port: restarts, silence and the connection limit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.protocol import ServerFactory

from bench.target_http import TargetFactory, TargetServer
from bench.target_model import TargetModel
from sardinehook.transport.reactor import TcpReactor

__all__ = ["ListeningReactor", "TargetHost"]


class Address(Protocol):
    """The address of a listening port."""

    port: int


class ListeningPort(Protocol):
    """A listening port."""

    def getHost(self) -> Address:
        """Return the local address."""

    def stopListening(self) -> object:
        """Stop accepting connections."""


class ListeningReactor(TcpReactor, Protocol):
    """A reactor that can also listen and run."""

    def listenTCP(
        self, port: int, factory: ServerFactory, backlog: int, interface: str
    ) -> ListeningPort:
        """Listen on ``port``."""

    def run(self) -> None:
        """Run the event loop until the reactor is stopped."""


class TargetHost:
    """Listens for one replica and applies the actions of control requests."""

    def __init__(self, reactor: ListeningReactor, model: TargetModel) -> None:
        self.reactor = reactor
        self.model = model
        self.port = model.settings.port
        self.listening: ListeningPort | None = None
        self.connections: set[TargetServer] = set()
        model.crash = self.crash

    def listen(self) -> None:
        """Start listening; does nothing if already listening."""
        if self.listening is not None:
            return
        factory = TargetFactory(lambda: TargetServer(self))
        self.listening = self.reactor.listenTCP(
            self.port, factory, 128, self.model.settings.address
        )
        self.port = self.listening.getHost().port

    def add_connection(self, server: TargetServer) -> bool:
        """Count a connection; returns whether the connection limit admits it."""
        counters = self.model.counters
        counters.connections_opened += 1
        if len(self.connections) >= self.model.settings.connections:
            counters.connections_refused += 1
            return False
        self.connections.add(server)
        counters.connections = len(self.connections)
        counters.peak_connections = max(
            counters.peak_connections, len(self.connections)
        )
        return True

    def remove_connection(self, server: TargetServer) -> None:
        """Remove a closed connection from the count."""
        self.connections.discard(server)
        self.model.counters.connections = len(self.connections)

    def crash(self) -> None:
        """Simulate a process crash on overload and a cold restart."""
        self.model.log_replica_event("fell_over")
        self.restart_cold(self.model.settings.fall_over_ms / 1000.0)

    def restart_cold(self, seconds: float) -> None:
        """Shut down and restart cold after ``seconds``."""
        self.shut_down()
        self.reactor.callLater(seconds, self.resume_cold)

    def shut_down(self) -> None:
        """Stop listening, abort all jobs and all connections."""
        if self.listening is not None:
            self.listening.stopListening()
            self.listening = None
        self.model.abort_all()
        for server in list(self.connections):
            server.open = False
            server.tcp.abortConnection()

    def resume_cold(self) -> None:
        """Listen again, in the cold state and not draining."""
        self.model.start_cold_state()
        self.model.draining = False
        self.listen()
        self.model.log_replica_event("return")

    def apply_action(self, action: str) -> None:
        """Log and apply one action of a control request, if any."""
        if action:
            self.model.log_replica_event(action)
        actions: dict[str, Callable[[], None]] = {
            "restart": lambda: self.restart_cold(0.02),
            "drain": self.drain,
            "undrain": self.undrain,
            "leave": self.shut_down,
            "return": self.resume_cold,
            "silence": self.silence,
            "cold": self.model.start_cold_state,
            "warm": self.warm,
        }
        if action:
            actions[action]()

    def drain(self) -> None:
        """Start draining: refuse new work and report the state."""
        self.model.draining = True

    def undrain(self) -> None:
        """Stop draining."""
        self.model.draining = False

    def warm(self) -> None:
        """End the cold start."""
        self.model.cold = False

    def silence(self) -> None:
        """Stop all reads and writes on the connections that are open now."""
        for server in self.connections:
            server.silent = True
