"""A replica of the target stand-in on its port: restarts, silence, connection cap."""

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
    """A port that accepts connections."""

    def getHost(self) -> Address:
        """Return the address."""

    def stopListening(self) -> object:
        """Stop accepting connections."""


class ListeningReactor(TcpReactor, Protocol):
    """A reactor that also accepts connections."""

    def listenTCP(
        self, port: int, factory: ServerFactory, backlog: int, interface: str
    ) -> ListeningPort:
        """Accept connections on ``port``."""

    def run(self) -> None:
        """Run until the process is told to end."""


class TargetHost:
    """Listens for one replica and carries out what a control request asks."""

    def __init__(self, reactor: ListeningReactor, model: TargetModel) -> None:
        self.reactor = reactor
        self.model = model
        self.port = model.settings.port
        self.listening: ListeningPort | None = None
        self.connections: set[TargetServer] = set()
        model.fall_over = self.fall_over

    def listen(self) -> None:
        """Begin to accept connections."""
        if self.listening is not None:
            return
        factory = TargetFactory(lambda: TargetServer(self))
        self.listening = self.reactor.listenTCP(
            self.port, factory, 128, self.model.settings.address
        )
        self.port = self.listening.getHost().port

    def connected(self, server: TargetServer) -> bool:
        """Count a connection; tell whether the cap allows it."""
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

    def disconnected(self, server: TargetServer) -> None:
        """Give the place of a connection free."""
        self.connections.discard(server)
        self.model.counters.connections = len(self.connections)

    def fall_over(self) -> None:
        """End the process after an overrun and start it again, cold."""
        self.model.note_life("fell_over")
        self.go_down(self.model.settings.fall_over_ms / 1000.0)

    def go_down(self, seconds: float) -> None:
        """Lose all work and connections; come back cold after ``seconds``."""
        self.leave()
        self.reactor.callLater(seconds, self.come_back)

    def leave(self) -> None:
        """Lose all work and connections and accept none."""
        if self.listening is not None:
            self.listening.stopListening()
            self.listening = None
        self.model.lose_all()
        for server in list(self.connections):
            server.open = False
            server.tcp.abortConnection()

    def come_back(self) -> None:
        """Accept connections again, cold."""
        self.model.become_cold()
        self.model.draining = False
        self.listen()
        self.model.note_life("return")

    def act(self, action: str) -> None:
        """Carry out one action of a control request."""
        if action:
            self.model.note_life(action)
        actions: dict[str, Callable[[], None]] = {
            "restart": lambda: self.go_down(0.02),
            "drain": self.drain,
            "undrain": self.undrain,
            "leave": self.leave,
            "return": self.come_back,
            "silence": self.silence,
            "cold": self.model.become_cold,
            "warm": self.warm,
        }
        if action:
            actions[action]()

    def drain(self) -> None:
        """Refuse new work and say so."""
        self.model.draining = True

    def undrain(self) -> None:
        """Take new work again."""
        self.model.draining = False

    def warm(self) -> None:
        """End a cold start."""
        self.model.cold = False

    def silence(self) -> None:
        """Let the connections that are open now go silent for good."""
        for server in self.connections:
            server.silent = True
