"""Protocol of one connection between two entry processes."""

from __future__ import annotations

from typing import Any, Protocol, cast

import structlog
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from sardinehook.fleet.link_monitor import LinkMonitor, Step
from sardinehook.fleet.wire import (
    PROBE_KINDS,
    MalformedFrame,
    Message,
    PackedMessage,
    Ping,
    Pong,
    count_replies,
    count_requests,
    decode_frame,
    encode_frame,
    encode_message,
)

__all__ = ["Link", "LinkHost", "split_address"]

logger = structlog.get_logger(__name__)

FRAME_LIMIT_BYTES = 8 * 1024 * 1024
FRAME_TARGET_BYTES = 256 * 1024
MESSAGE_LIMIT_BYTES = FRAME_LIMIT_BYTES - FRAME_TARGET_BYTES
UNSENT_LIMIT_BYTES = 8 * 1024 * 1024
MESSAGE_OVERHEAD_BYTES = 256  # memory for a queued message besides its fields
HANDSHAKE_TIMEOUT_S = 2.0


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into host and port; IPv6 addresses are in brackets.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class LinkHost(Protocol):
    """The interface through which a link reports to ``Links``."""

    node: str
    reactor: Any

    def read_stamp(self) -> int:
        """Return the clock stamp for the next frame."""

    def observe_stamp(self, stamp: int) -> None:
        """Update the clock with the stamp of a received frame."""

    def dispatch(self, sender: str, message: Message) -> None:
        """Call the handlers of a received message."""

    def link_opened(self, link: Link) -> None:
        """Record a connection whose peer is not identified yet."""

    def link_up(self, link: Link) -> None:
        """Start using a link whose peer is identified."""

    def link_suspected(self, link: Link) -> None:
        """Replace a link whose probe was not answered in time."""

    def link_down(self, link: Link, was_live: bool) -> None:
        """Remove a lost link."""


class TcpTransport(Protocol):
    """The part of Twisted's TCP transport that a link uses."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Disable Nagle's algorithm."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Pause and resume ``producer`` with the state of the write buffer."""

    def unregisterProducer(self) -> None:
        """Stop pausing and resuming the producer."""

    def loseConnection(self) -> None:
        """Close the connection after the write buffer is flushed."""

    def abortConnection(self) -> None:
        """Close the connection at once and discard the write buffer."""


class Link(Int32StringReceiver):
    """One connection to another entry process.

    A link is live once the peer's first frame has identified the peer. ``expected`` is
    the node that this side dialled, None for an accepted connection.
    """

    MAX_LENGTH = FRAME_LIMIT_BYTES
    tcp: TcpTransport

    def __init__(self, links: LinkHost, expected: str | None = None) -> None:
        self.links = links
        self.expected = expected
        self.peer = ""
        self.live = False
        self.send_queue: list[PackedMessage] = []
        self.unsent_bytes = 0
        self.flush_call: DelayedCall | None = None
        self.check_call: DelayedCall | None = None
        self.paused = False
        self.lost: Deferred[None] = Deferred()

    @property
    def dialled(self) -> bool:
        """Return whether this side opened the connection."""
        return self.expected is not None

    def connectionMade(self) -> None:
        """Identify this node to the peer with an empty frame."""
        self.tcp = cast("TcpTransport", self.transport)
        self.tcp.setTcpNoDelay(True)
        self.tcp.registerProducer(self, True)
        self.opened_at = self.links.reactor.seconds()
        self.monitor = LinkMonitor(self.opened_at)
        self.check_call = self.links.reactor.callLater(
            HANDSHAKE_TIMEOUT_S, self.check_peer_identified
        )
        self.links.link_opened(self)
        self.write_frame([])

    def dataReceived(self, data: bytes) -> None:
        """Record the receipt of data, then parse complete frames."""
        self.monitor.record_received(self.links.reactor.seconds())
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def stringReceived(self, data: bytes) -> None:
        """Decode one frame and process its messages."""
        try:
            envelope = decode_frame(data)
        except MalformedFrame as error:
            self.reject("malformed_frame", str(error))
            return
        now = self.links.reactor.seconds()
        if not self.live and not self.identify_peer(envelope.sender, now):
            return
        self.monitor.record_replies(count_replies(envelope.messages))
        self.links.observe_stamp(envelope.stamp)
        for message in envelope.messages:
            self.receive(message)

    def receive(self, message: Message) -> None:
        """Answer a ping, ignore a pong and dispatch any other message."""
        match message:
            case Ping():
                self.enqueue(encode_message(Pong()))
            case Pong():
                pass
            case _:
                self.links.dispatch(self.peer, message)

    def identify_peer(self, sender: str, now: float) -> bool:
        """Record the peer's name; reject a peer other than the one dialled."""
        if self.expected not in (None, sender):
            self.reject("wrong_peer", f"expected node {self.expected}, got {sender}")
            return False
        self.peer = sender
        self.live = True
        self.monitor.round_trip_s = now - self.opened_at
        self.cancel_check()
        self.links.link_up(self)
        return True

    @property
    def usable(self) -> bool:
        """Return whether the peer is identified and the link is not suspected."""
        return self.live and not self.monitor.suspected

    def check_peer_identified(self) -> None:
        """Reject a peer that has sent no frame within the handshake timeout."""
        self.check_call = None
        self.reject("no_introduction", f"no frame within {HANDSHAKE_TIMEOUT_S} s")

    def check_link(self) -> None:
        """Probe or suspect the link as its monitor decides, and schedule a check."""
        self.check_call = None
        next_step = self.monitor.check(self.links.reactor.seconds())
        match next_step.step:
            case Step.REST:
                return
            case Step.PROBE:
                self.enqueue(encode_message(Ping()))
            case Step.DOUBT:
                self.links.link_suspected(self)
        if self.live:
            self.schedule_check(next_step.check_after_s)

    def schedule_check(self, delay_s: float) -> None:
        """Schedule the next check of the link."""
        self.check_call = self.links.reactor.callLater(delay_s, self.check_link)

    def cancel_check(self) -> None:
        """Cancel the scheduled check of the link."""
        if self.check_call is not None and self.check_call.active():
            self.check_call.cancel()
        self.check_call = None

    def lengthLimitExceeded(self, length: int) -> None:
        """Reject a frame that is longer than any that a peer sends."""
        self.reject(
            "frame_too_long", f"frame of {length} bytes, limit {FRAME_LIMIT_BYTES}"
        )

    def reject(self, reason: str, detail: str) -> None:
        """Log the reason and abort the connection."""
        logger.warning("link_rejected", peer=self.peer, reason=reason, detail=detail)
        self.tcp.abortConnection()

    def enqueue(self, message: PackedMessage) -> bool:
        """Queue a message for the next flush; return False if it is refused.

        A message is refused if it is larger than ``MESSAGE_LIMIT_BYTES`` or if the
        queue would exceed ``UNSENT_LIMIT_BYTES``.
        """
        size = len(memoryview(message.fields))
        if size > MESSAGE_LIMIT_BYTES:
            return False
        held = size + MESSAGE_OVERHEAD_BYTES
        if self.unsent_bytes + held > UNSENT_LIMIT_BYTES:
            return False
        self.unsent_bytes += held
        self.send_queue.append(message)
        if self.flush_call is None and not self.paused:
            self.flush_call = self.links.reactor.callLater(0, self.flush)
        return True

    def flush(self) -> None:
        """Send the queued messages in as few frames as the target size allows."""
        self.flush_call = None
        batch: list[PackedMessage] = []
        batch_bytes = 0
        queued, self.send_queue, self.unsent_bytes = self.send_queue, [], 0
        for message in queued:
            batch.append(message)
            batch_bytes += len(memoryview(message.fields))
            if batch_bytes >= FRAME_TARGET_BYTES:
                self.write_frame(batch)
                batch, batch_bytes = [], 0
        if batch:
            self.write_frame(batch)

    def write_frame(self, messages: list[PackedMessage]) -> None:
        """Write one frame; a frame of pings and pongs alone awaits no answer."""
        if not all(message.kind in PROBE_KINDS for message in messages):
            self.expect_replies(count_requests(messages))
        stamp = self.links.read_stamp()
        frame = encode_frame(self.links.node, stamp, messages)
        self.sendString(frame)  # type: ignore[no-untyped-call]

    def expect_replies(self, requests: int) -> None:
        """Record a sent frame and schedule a check for when an answer is due."""
        now = self.links.reactor.seconds()
        self.monitor.record_sent(now, requests)
        due = self.monitor.due_at
        if due is None or not self.live or self.monitor.probed_at is not None:
            return
        if self.check_call is not None and self.check_call.getTime() <= due:
            return
        self.cancel_check()
        self.schedule_check(max(0.0, due - now))

    def pauseProducing(self) -> None:
        """Hold queued messages back, because the transport's buffer is full."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Resume sending queued messages."""
        self.paused = False
        if self.send_queue and self.flush_call is None:
            self.flush_call = self.links.reactor.callLater(0, self.flush)

    def stopProducing(self) -> None:
        """Do nothing; ``connectionLost`` handles the loss of the connection."""

    def flush_and_close(self) -> None:
        """Flush the queued messages, then close the connection."""
        if self.flush_call is not None:
            self.flush_call.cancel()
        self.cancel_check()
        self.flush()
        self.tcp.unregisterProducer()
        self.tcp.loseConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Cancel the timers and report the lost connection."""
        was_live, self.live = self.live, False
        if self.flush_call is not None and self.flush_call.active():
            self.flush_call.cancel()
        self.flush_call = None
        self.cancel_check()
        self.send_queue.clear()
        self.links.link_down(self, was_live)
        self.lost.callback(None)
