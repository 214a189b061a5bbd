"""Links between entry processes: message batches over TCP connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol, TypeVar, cast

import structlog
from twisted.application.internet import backoffPolicy
from twisted.internet.address import IPv4Address, IPv6Address
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred, DeferredList, maybeDeferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IProtocolFactory
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from sardinehook.fleet.connection import Link, split_address
from sardinehook.fleet.wire import (
    Message,
    MessageRole,
    encode_message,
    register_message,
)

__all__ = ["Link", "Links", "MessageRole", "register_message", "split_address"]

logger = structlog.get_logger(__name__)

MessageT = TypeVar("MessageT", bound=Message)
Handler = Callable[[str, Any], None]
DownHandler = Callable[[str], None]

CONNECT_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 2.0
SUSPICION_LIMIT_S = 1.5
MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0


class ListeningPort(Protocol):
    """The part of Twisted's listening port that ``Links`` uses."""

    def getHost(self) -> IPv4Address | IPv6Address:
        """Return the bound address."""

    def stopListening(self) -> Deferred[None] | None:
        """Stop accepting connections."""


class LinkFactory(Factory):
    """Creates the protocols of accepted and dialled connections."""

    noisy = False

    def __init__(self, links: Links, expected: str | None = None) -> None:
        self.links = links
        self.expected = expected

    def buildProtocol(self, addr: object) -> Link:
        """Create the link of one connection."""
        return Link(self.links, self.expected)


class Peer:
    """A node to which a connection is kept open, and its connection attempts."""

    def __init__(self, node: str, address: str) -> None:
        self.node = node
        self.address = address
        self.failures = 0
        self.dialling: Deferred[Any] | None = None
        self.opening = False
        self.retry_call: DelayedCall | None = None

    def stop(self) -> None:
        """Cancel pending and running connection attempts."""
        if self.retry_call is not None and self.retry_call.active():
            self.retry_call.cancel()
        if self.dialling is not None:
            self.dialling.cancel()


class Links:
    """All links of one entry process.

    ``node`` is the name of this process and ``listen_address`` an ``IP:port``; port 0
    selects a free port. After ``listen``, ``address`` is the bound address. Messages
    sent to a peer in the same reactor turn share a frame, up to its target size.
    ``read_stamp`` and ``observe_stamp`` connect a hybrid logical clock to the frames.
    """

    def __init__(self, reactor: Any, node: str, listen_address: str) -> None:  # noqa: ANN401
        self.reactor = reactor
        self.node = node
        self.listen_address = listen_address
        self.address = listen_address
        self.port: ListeningPort | None = None
        self.peers: dict[str, Peer] = {}
        self.open_links: set[Link] = set()
        self.live_links: dict[str, list[Link]] = {}
        self.handlers: dict[type[Message], list[Handler]] = {}
        self.down_handlers: list[DownHandler] = []
        self.read_stamp: Callable[[], int] = lambda: 0
        self.observe_stamp: Callable[[int], None] = lambda stamp: None
        self.retry_delay = backoffPolicy(MIN_RETRY_S, MAX_RETRY_S, 2.0)
        self.closing = False

    def listen(self) -> Deferred[str]:
        """Start accepting connections; the result is the bound address."""
        host, port = split_address(self.listen_address)
        accepted: ListeningPort = self.reactor.listenTCP(
            port, LinkFactory(self), interface=host
        )
        self.port = accepted
        shown = f"[{host}]" if ":" in host else host
        self.address = f"{shown}:{accepted.getHost().port}"
        return succeed(self.address)

    def connect(self, node: str, address: str) -> None:
        """Keep a connection open to a node; reconnect after a loss."""
        known = self.peers.get(node)
        if known is not None and known.address == address:
            return
        if known is not None:
            known.stop()
        if node == self.node or self.closing:
            return
        self.peers[node] = Peer(node, address)
        self.dial(self.peers[node])

    def disconnect(self, node: str) -> None:
        """Flush and close the links to a node and stop reconnecting."""
        peer = self.peers.pop(node, None)
        if peer is not None:
            peer.stop()
        for link in list(self.live_links.get(node, ())):
            link.flush_and_close()

    def dial(self, peer: Peer) -> None:
        """Open a connection to a peer; a failed attempt is retried."""
        peer.retry_call = None
        peer.opening = True
        host, port = split_address(peer.address)
        endpoint = TCP4ClientEndpoint(self.reactor, host, port, CONNECT_TIMEOUT_S)
        peer.dialling = endpoint.connect(
            cast("IProtocolFactory", LinkFactory(self, peer.node))
        )
        peer.dialling.addBoth(self.dial_ended, peer)

    def dial_ended(self, result: object, peer: Peer) -> None:
        """Schedule a retry if the connection attempt failed."""
        peer.dialling = None
        if isinstance(result, Failure):
            peer.opening = False
            self.retry(peer)

    def retry(self, peer: Peer) -> None:
        """Schedule a connection attempt with exponential backoff and jitter."""
        if self.closing or self.peers.get(peer.node) is not peer:
            return
        if peer.retry_call is not None or peer.opening:
            return
        delay = self.retry_delay(peer.failures)
        peer.failures += 1
        peer.retry_call = self.reactor.callLater(delay, self.dial, peer)

    def link_opened(self, link: Link) -> None:
        """Record a connection whose peer is not identified yet."""
        self.open_links.add(link)

    def link_up(self, link: Link) -> None:
        """Start using a link; abort those of the same direction and suspected ones."""
        known = self.live_links.setdefault(link.peer, [])
        replaced = [
            old for old in known if old.dialled == link.dialled or not old.usable
        ]
        known.append(link)
        known.sort(key=self.link_preference)
        if link.dialled and link.peer in self.peers:
            self.peers[link.peer].failures = 0
            self.peers[link.peer].opening = False
        for old in replaced:
            logger.info("link_replaced", peer=link.peer, doubted=old.monitor.suspected)
            old.tcp.abortConnection()

    def link_preference(self, link: Link) -> bool:
        """Return a sort key that prefers the link dialled by the smaller node name.

        If both ends have dialled each other, both then send on the same connection.
        """
        return link.dialled != (self.node < link.peer)

    def link_suspected(self, link: Link) -> None:
        """Dial a replacement at once.

        The link is aborted instead if it has been silent for longer than
        ``SUSPICION_LIMIT_S``, or if this process does not dial its peer.
        """
        peer = self.peers.get(link.peer)
        silent_s = self.reactor.seconds() - link.monitor.last_received_at
        if peer is None or silent_s > SUSPICION_LIMIT_S:
            logger.warning("link_silent", peer=link.peer, silent_s=round(silent_s, 3))
            link.tcp.abortConnection()
        elif not peer.opening and peer.retry_call is None:
            self.dial(peer)

    def link_down(self, link: Link, was_live: bool) -> None:
        """Remove a lost link, notify the handlers and reconnect if necessary."""
        self.open_links.discard(link)
        if was_live:
            self.live_links[link.peer].remove(link)
            if not self.live_links[link.peer]:
                del self.live_links[link.peer]
            for handler in self.down_handlers:
                handler(link.peer)
        peer = self.peers.get(link.expected or link.peer)
        if peer is not None and link.dialled and not was_live:
            peer.opening = False
        if peer is not None and not self.dialled_link(peer.node):
            self.retry(peer)

    def dialled_link(self, node: str) -> Link | None:
        """Return the live link to a node that this process dialled, if any."""
        links = self.live_links.get(node, ())
        return next((link for link in links if link.dialled), None)

    def usable_link(self, node: str) -> Link | None:
        """Return the link for messages to a node, or None."""
        links = self.live_links.get(node, ())
        return next((link for link in links if link.usable), None)

    def send(self, node: str, message: Message) -> bool:
        """Queue a message; False means that nothing of it will be sent."""
        link = self.usable_link(node)
        if link is None or self.closing:
            return False
        return link.enqueue(encode_message(message))

    def connected(self, node: str) -> bool:
        """Return whether there is a live link to a node that is not suspected."""
        return self.usable_link(node) is not None

    def on(
        self, message_type: type[MessageT], handler: Callable[[str, MessageT], None]
    ) -> None:
        """Register ``handler(sender, message)`` for the messages of a type."""
        self.handlers.setdefault(message_type, []).append(handler)

    def on_down(self, handler: DownHandler) -> None:
        """Register ``handler(node)``, which is called when a live link is lost.

        Replies to requests sent to that node before may never arrive.
        """
        self.down_handlers.append(handler)

    def dispatch(self, sender: str, message: Message) -> None:
        """Call the handlers of a message.

        An exception in a handler is logged; it affects neither the link nor the other
        handlers.
        """
        for handler in self.handlers.get(type(message), ()):
            try:
                handler(sender, message)
            except Exception:
                logger.exception("handler_failed", message=type(message).__name__)

    def close(self) -> Deferred[None]:
        """Flush and close all links; abort those still open at ``CLOSE_TIMEOUT_S``."""
        self.closing = True
        for peer in self.peers.values():
            peer.stop()
        ended: list[Deferred[Any]] = [link.lost for link in self.open_links]
        if self.port is not None:
            ended.append(maybeDeferred(self.port.stopListening))
        for link in list(self.open_links):
            link.flush_and_close()
        abort = self.reactor.callLater(CLOSE_TIMEOUT_S, self.abort_all)
        closed: Deferred[Any] = DeferredList(ended, consumeErrors=True)
        return closed.addCallback(lambda _: abort.active() and abort.cancel() or None)

    def abort_all(self) -> None:
        """Abort the links that did not close in time."""
        for link in list(self.open_links):
            link.tcp.abortConnection()
