"""Links between entry processes: batches of messages over TCP connections."""

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
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from sardinehook.fleet.wire import (
    MalformedFrame,
    Message,
    PackedMessage,
    decode_frame,
    encode_frame,
    encode_message,
    register_message,
)

__all__ = ["Link", "Links", "register_message"]

logger = structlog.get_logger(__name__)

MessageT = TypeVar("MessageT", bound=Message)
Handler = Callable[[str, Any], None]
DownHandler = Callable[[str], None]

FRAME_LIMIT_BYTES = 8 * 1024 * 1024
FRAME_TARGET_BYTES = 256 * 1024
UNSENT_LIMIT_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 2.0
RETRY_FIRST_S = 0.05
RETRY_MOST_S = 5.0


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port``.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class TcpTransport(Protocol):
    """What a link uses of Twisted's TCP transport."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Send small writes at once."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Report through ``producer`` when the buffer is full or empty again."""

    def unregisterProducer(self) -> None:
        """Stop these reports."""

    def loseConnection(self) -> None:
        """Close once the buffer is empty."""

    def abortConnection(self) -> None:
        """Close at once."""


class ListeningPort(Protocol):
    """What links use of Twisted's listening port."""

    def getHost(self) -> IPv4Address | IPv6Address:
        """Return the address in use."""

    def stopListening(self) -> Deferred[None] | None:
        """Accept no more connections."""


class Link(Int32StringReceiver):
    """One connection to another entry process.

    It is live once the peer's first frame has told the peer's name. ``dialled`` tells
    whether this side opened the connection.
    """

    MAX_LENGTH = FRAME_LIMIT_BYTES
    tcp: TcpTransport

    def __init__(self, links: Links, expected: str | None = None) -> None:
        self.links = links
        self.expected = expected
        self.peer = ""
        self.live = False
        self.waiting: list[PackedMessage] = []
        self.unsent_bytes = 0
        self.flush_call: DelayedCall | None = None
        self.paused = False
        self.lost: Deferred[None] = Deferred()

    @property
    def dialled(self) -> bool:
        """Whether this side opened the connection."""
        return self.expected is not None

    def connectionMade(self) -> None:
        """Introduce this node to the peer by an empty frame."""
        self.tcp = cast("TcpTransport", self.transport)
        self.tcp.setTcpNoDelay(True)
        self.tcp.registerProducer(self, True)
        self.links.open_links.add(self)
        self.write_frame([])

    def stringReceived(self, data: bytes) -> None:
        """Pass on the messages of one frame."""
        try:
            envelope = decode_frame(data)
        except MalformedFrame as error:
            self.reject("malformed_frame", str(error))
            return
        if not self.live and not self.introduce(envelope.sender):
            return
        self.links.observe_stamp(envelope.stamp)
        for message in envelope.messages:
            self.links.dispatch(self.peer, message)

    def introduce(self, sender: str) -> bool:
        """Take the peer's name; refuse the connection if it is not the one dialled."""
        if self.expected not in (None, sender):
            self.reject("wrong_peer", f"{sender} answered for {self.expected}")
            return False
        self.peer = sender
        self.live = True
        self.links.link_up(self)
        return True

    def lengthLimitExceeded(self, length: int) -> None:
        """Close the connection: the length is beyond what a peer would send."""
        self.reject("frame_too_long", f"{length} bytes")

    def reject(self, reason: str, detail: str) -> None:
        """Close the connection at once, with one line in the log."""
        logger.warning("link_rejected", peer=self.peer, reason=reason, detail=detail)
        self.tcp.abortConnection()

    def enqueue(self, message: PackedMessage) -> bool:
        """Add a message to the frame that leaves at the end of this reactor turn."""
        size = len(memoryview(message.fields))
        if size >= FRAME_LIMIT_BYTES - FRAME_TARGET_BYTES:
            return False
        if self.unsent_bytes + size > UNSENT_LIMIT_BYTES:
            return False
        self.unsent_bytes += size
        self.waiting.append(message)
        if self.flush_call is None and not self.paused:
            self.flush_call = self.links.reactor.callLater(0, self.flush)
        return True

    def flush(self) -> None:
        """Send what is waiting, as few frames as their target size allows."""
        self.flush_call = None
        batch: list[PackedMessage] = []
        batch_bytes = 0
        waiting, self.waiting, self.unsent_bytes = self.waiting, [], 0
        for message in waiting:
            batch.append(message)
            batch_bytes += len(memoryview(message.fields))
            if batch_bytes >= FRAME_TARGET_BYTES:
                self.write_frame(batch)
                batch, batch_bytes = [], 0
        if batch:
            self.write_frame(batch)

    def write_frame(self, messages: list[PackedMessage]) -> None:
        """Write one frame to the connection."""
        stamp = self.links.read_stamp()
        frame = encode_frame(self.links.node, stamp, messages)
        self.sendString(frame)  # type: ignore[no-untyped-call]

    def pauseProducing(self) -> None:
        """Hold messages back: the connection's own buffer is full."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Send what was held back."""
        self.paused = False
        if self.waiting and self.flush_call is None:
            self.flush_call = self.links.reactor.callLater(0, self.flush)

    def stopProducing(self) -> None:
        """Do nothing: the loss of the connection is reported separately."""

    def finish(self) -> None:
        """Send what is waiting, then close the connection."""
        if self.flush_call is not None:
            self.flush_call.cancel()
        if self.waiting:
            self.flush()
        self.tcp.unregisterProducer()
        self.tcp.loseConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Report the loss of the connection."""
        was_live, self.live = self.live, False
        if self.flush_call is not None and self.flush_call.active():
            self.flush_call.cancel()
        self.flush_call = None
        self.waiting.clear()
        self.links.open_links.discard(self)
        self.links.link_down(self, was_live)
        self.lost.callback(None)


class LinkFactory(Factory):
    """Builds links for accepted or dialled connections."""

    noisy = False

    def __init__(self, links: Links, expected: str | None = None) -> None:
        self.links = links
        self.expected = expected

    def buildProtocol(self, addr: object) -> Link:
        """Build the link of one connection."""
        return Link(self.links, self.expected)


class Peer:
    """A node to which a connection is kept open, and the state of the attempts."""

    def __init__(self, node: str, address: str) -> None:
        self.node = node
        self.address = address
        self.failures = 0
        self.dialling: Deferred[Any] | None = None
        self.retry_call: DelayedCall | None = None

    def stop(self) -> None:
        """End every attempt to connect."""
        if self.retry_call is not None and self.retry_call.active():
            self.retry_call.cancel()
        if self.dialling is not None:
            self.dialling.cancel()


class Links:
    """All links of one entry process.

    ``node`` is this process's name and ``listen_address`` an ``IP:port``, where port 0
    takes a free one; ``address`` holds the one in use after ``listen``. Messages sent
    to one peer in one turn of the reactor leave in one frame. ``read_stamp`` and
    ``observe_stamp`` connect a hybrid clock to the frames.
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
        self.retry_delay = backoffPolicy(RETRY_FIRST_S, RETRY_MOST_S, 2.0)
        self.closing = False

    def listen(self) -> Deferred[str]:
        """Accept connections; the result is the address in use."""
        host, port = split_address(self.listen_address)
        accepted: ListeningPort = self.reactor.listenTCP(
            port, LinkFactory(self), interface=host
        )
        self.port = accepted
        shown = f"[{host}]" if ":" in host else host
        self.address = f"{shown}:{accepted.getHost().port}"
        return succeed(self.address)

    def connect(self, node: str, address: str) -> None:
        """Keep a connection open to a node, also after it is lost."""
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
        """Send what is waiting for a node, close its links and keep none open."""
        peer = self.peers.pop(node, None)
        if peer is not None:
            peer.stop()
        for link in list(self.live_links.get(node, ())):
            link.finish()

    def dial(self, peer: Peer) -> None:
        """Open a connection to a peer, or try again later."""
        peer.retry_call = None
        host, port = split_address(peer.address)
        endpoint = TCP4ClientEndpoint(self.reactor, host, port, CONNECT_TIMEOUT_S)
        peer.dialling = endpoint.connect(
            cast("IProtocolFactory", LinkFactory(self, peer.node))
        )
        peer.dialling.addBoth(self.dial_ended, peer)

    def dial_ended(self, result: object, peer: Peer) -> None:
        """Schedule another attempt when this one failed."""
        peer.dialling = None
        if isinstance(result, Failure):
            self.retry(peer)

    def retry(self, peer: Peer) -> None:
        """Dial again after a jittered delay that grows with the failures in a row."""
        if self.closing or self.peers.get(peer.node) is not peer:
            return
        if peer.retry_call is not None or peer.dialling is not None:
            return
        delay = self.retry_delay(peer.failures)
        peer.failures += 1
        peer.retry_call = self.reactor.callLater(delay, self.dial, peer)

    def link_up(self, link: Link) -> None:
        """Take a link into use."""
        self.live_links.setdefault(link.peer, []).append(link)
        self.live_links[link.peer].sort(key=self.link_preference)
        if link.dialled and link.peer in self.peers:
            self.peers[link.peer].failures = 0

    def link_preference(self, link: Link) -> bool:
        """Sort first the connection opened by the node with the smaller name.

        Both ends then send on the same one of two crossing connections.
        """
        return link.dialled != (self.node < link.peer)

    def link_down(self, link: Link, was_live: bool) -> None:
        """Take a lost link out of use and replace it if it was dialled here."""
        if was_live:
            self.live_links[link.peer].remove(link)
            if not self.live_links[link.peer]:
                del self.live_links[link.peer]
            for handler in self.down_handlers:
                handler(link.peer)
        peer = self.peers.get(link.expected or "")
        if peer is not None:
            self.retry(peer)

    def send(self, node: str, message: Message) -> bool:
        """Send a message; False tells that nothing of it left this process."""
        links = self.live_links.get(node)
        if not links or self.closing:
            return False
        return links[0].enqueue(encode_message(message))

    def connected(self, node: str) -> bool:
        """Whether there is a live link to a node."""
        return node in self.live_links

    def on(
        self, message_type: type[MessageT], handler: Callable[[str, MessageT], None]
    ) -> None:
        """Call ``handler(sender, message)`` for each message of a type."""
        self.handlers.setdefault(message_type, []).append(handler)

    def on_down(self, handler: DownHandler) -> None:
        """Call ``handler(node)`` when a live link is lost.

        Replies to what was sent to that node before may never come.
        """
        self.down_handlers.append(handler)

    def dispatch(self, sender: str, message: Message) -> None:
        """Give a message to its handlers; a fault in one ends neither link nor loop."""
        for handler in self.handlers.get(type(message), ()):
            try:
                handler(sender, message)
            except Exception:
                logger.exception("handler_failed", message=type(message).__name__)

    def close(self) -> Deferred[None]:
        """Send what is waiting, then close all links; ends within a bound."""
        self.closing = True
        for peer in self.peers.values():
            peer.stop()
        ended: list[Deferred[Any]] = [link.lost for link in self.open_links]
        if self.port is not None:
            ended.append(maybeDeferred(self.port.stopListening))
        for link in list(self.open_links):
            link.finish()
        abort = self.reactor.callLater(CLOSE_TIMEOUT_S, self.abort_all)
        closed: Deferred[Any] = DeferredList(ended, consumeErrors=True)
        return closed.addCallback(lambda _: abort.active() and abort.cancel() or None)

    def abort_all(self) -> None:
        """Drop the links that did not close in time."""
        for link in list(self.open_links):
            link.tcp.abortConnection()
