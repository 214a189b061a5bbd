"""Hands searches over to gateways of the same data centre with wider links."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec
import structlog
from returns.result import Failure, Result, Success

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, refuse
from sardinehook.gateway.configuration import Route
from sardinehook.gateway.connection import (
    ClientConnection,
    ExchangeEnd,
    Lost,
    Malformed,
    Replied,
)
from sardinehook.gateway.fleet import GatewayFleet
from sardinehook.gateway.policy import RequestPolicy, give_up_at
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.ports import CallerRequest
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.shares import wider_gateways
from sardinehook.observe.events import EventName, log_event

__all__ = [
    "SEARCH_PATH",
    "Delegate",
    "DelegatedSearch",
    "Delegates",
    "HandedOver",
    "decode_search",
    "encode_outcome",
]

logger = structlog.get_logger(__name__)

SEARCH_PATH = b"/search"
SILENT_AFTER_S = 0.7  # three datagrams that did not come, and one that is late
FAILED_S = 2.0  # nothing is handed over after a failure: a restart is over by then
NOT_TAKEN_S = 0.5  # nor after a refusal: the same version is in force at both by then
MOST_CONNECTIONS = 32  # to one delegate: searches that one gateway hands over at once
KEEP_ALIVE_S = 30.0
OVERDUE_S = 0.05  # a delegate answers in time, if it has anything to answer with
HAND_OVER_S = 0.004  # both ways between two gateways, over the narrow link of one
NOT_TAKEN = 503
OK = 200


class WireSearch(msgspec.Struct, array_like=True):
    """A search on its way to another gateway."""

    node: str
    version: int
    request_id: bytes
    method: bytes
    target: bytes
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    patience_s: float | None
    elapsed_s: float
    path_s: float


class WireOutcome(msgspec.Struct, array_like=True):
    """What became of a search that was handed over."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    outcome: str
    detail: str
    hedges: int
    repeats: int


class HandedOver(NamedTuple):
    """A search that another gateway has handed over."""

    node: str
    version: int
    request: CallerRequest


def encode_search(node: str, version: int, request: CallerRequest, now: float) -> bytes:
    """Encode a search as it stands at ``now``."""
    wire = WireSearch(
        node,
        version,
        request.request_id,
        request.method,
        request.target,
        request.host,
        list(request.headers),
        request.body,
        request.patience_s,
        now - request.received_at,
        request.path_s + HAND_OVER_S,
    )
    return msgspec.msgpack.encode(wire)


def decode_search(body: bytes, now: float) -> Result[HandedOver, str]:
    """Decode a search that came at ``now``.

    >>> decode_search(b"x", 0.0).failure()
    'malformed search of a peer: Expected `array`, got `int`'
    """
    try:
        wire = msgspec.msgpack.decode(body, type=WireSearch)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"malformed search of a peer: {error}")
    request = CallerRequest(
        wire.request_id,
        wire.method,
        wire.target,
        wire.host,
        tuple(wire.headers),
        wire.body,
        wire.patience_s,
        now - wire.elapsed_s,
        wire.path_s,
    )
    return Success(HandedOver(wire.node, wire.version, request))


def encode_outcome(answer: CallerAnswer, hedges: int, repeats: int) -> bytes:
    """Encode what became of a search."""
    wire = WireOutcome(
        answer.status,
        list(answer.headers),
        answer.body,
        answer.outcome,
        answer.detail,
        hedges,
        repeats,
    )
    return msgspec.msgpack.encode(wire)


def decode_outcome(body: bytes) -> Result[WireOutcome, str]:
    """Decode what became of a search."""
    try:
        return Success(msgspec.msgpack.decode(body, type=WireOutcome))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"malformed outcome of a peer: {error}")


class Delegate:
    """A gateway that takes searches over, as another one knows it."""

    def __init__(self, name: str, pool: ConnectionPool, heard_at: float) -> None:
        self.name = name
        self.pool = pool
        self.heard_at = heard_at
        self.avoided_until = 0.0
        self.searches: dict[DelegatedSearch, None] = {}

    def is_usable(self, now: float) -> bool:
        """Tell whether searches may be handed to it."""
        return now >= self.avoided_until and now - self.heard_at <= SILENT_AFTER_S


class Delegates:
    """The gateways to which this one hands its searches.

    They are those of the data centre with much wider links, if there are any. A
    delegate sends datagrams several times a second; one from which none came for a
    while is not used, and the searches that it has are given up.
    """

    def __init__(self, reactor: GatewayReactor, fleet: GatewayFleet) -> None:
        self.reactor = reactor
        self.fleet = fleet
        self.known: dict[str, Delegate] = {}
        self.gone: list[Delegate] = []
        self.turn = 0

    def update(self) -> None:
        """Take the gateways that are registered."""
        records = self.fleet.present()
        wider = wider_gateways(self.fleet.node, self.fleet.record, records)
        for name in self.known.keys() - set(wider):
            gone = self.known.pop(name)
            gone.pool.close()
            self.gone = [one for one in [*self.gone, gone] if one.searches]
        for name in wider:
            if name not in self.known:
                pool = ConnectionPool(
                    self.reactor, records[name].peer_address, MOST_CONNECTIONS, ignore
                )
                # Heard of only now: usable once its first datagram has come.
                heard_at = self.reactor.seconds() - 2 * SILENT_AFTER_S
                self.known[name] = Delegate(name, pool, heard_at)

    def note_heard(self, node: str) -> None:
        """Note that a datagram of a gateway came."""
        delegate = self.known.get(node)
        if delegate is not None:
            delegate.heard_at = self.reactor.seconds()

    def choose(self) -> Delegate | None:
        """Return the delegate with the fewest searches, ``None`` to search here."""
        now = self.reactor.seconds()
        usable = [one for one in self.known.values() if one.is_usable(now)]
        if not usable:
            return None
        self.turn += 1
        first = self.turn % len(usable)
        ordered = usable[first:] + usable[:first]
        return min(ordered, key=lambda delegate: len(delegate.searches))

    def sweep(self) -> None:
        """Give up searches at delegates that have fallen silent, and late ones."""
        now = self.reactor.seconds()
        for delegate in [*self.known.values(), *self.gone]:
            silent_s = now - delegate.heard_at
            if delegate.searches and silent_s > SILENT_AFTER_S:
                self.avoid(delegate, "silent")
                for search in list(delegate.searches):
                    search.lose("the gateway that searches has fallen silent")
            for search in list(delegate.searches):
                if now > search.give_up_at + OVERDUE_S:
                    search.lose("no answer in time")

    def avoid(self, delegate: Delegate, reason: str, for_s: float = FAILED_S) -> None:
        """Hand nothing to a delegate for a while."""
        now = self.reactor.seconds()
        if now >= delegate.avoided_until:
            log_event(
                logger,
                EventName.MEMBER_STATE,
                member=delegate.name,
                state="searches not handed over",
                detail=reason,
                took_ms=(now - delegate.heard_at) * 1000.0,
            )
        delegate.avoided_until = now + for_s


class DelegatedSearch:
    """One search at a delegate; ``finish`` is called once with the answer.

    Where the delegate surely did not take it, ``search_here`` is called instead. One
    that was lost there is answered as such at once, and the caller may try again:
    searching here as well could ask replicas more often than the route allows.
    """

    def __init__(
        self,
        policy: RequestPolicy,
        delegates: Delegates,
        delegate: Delegate,
        request: CallerRequest,
        route: Route,
        version: int,
        finish: Callable[[CallerAnswer], None],
        search_here: Callable[[], None],
    ) -> None:
        self.policy = policy
        self.reactor = policy.reactor
        self.delegates = delegates
        self.delegate = delegate
        self.request = request
        self.route = route
        self.version = version
        self.finish = finish
        self.search_here = search_here
        self.give_up_at = give_up_at(request, route)
        self.settled = False
        self.hedges = 0
        self.repeats = 0
        self.connection: ClientConnection | None = None

    def start(self) -> None:
        """Hand the search over."""
        self.delegate.searches[self] = None
        self.delegate.pool.request(self.connected)

    def connected(self, connection: ClientConnection | None) -> None:
        """Send the search, or do it here where there is no connection."""
        if self.settled:
            return
        if connection is None:
            self.delegates.avoid(self.delegate, "no connection")
            self.keep()
            return
        self.connection = connection
        node = self.delegates.fleet.node
        now = self.reactor.seconds()
        body = encode_search(node, self.version, self.request, now)
        head = b"POST %b HTTP/1.1\r\nHost: %b\r\nContent-Length: %d\r\n\r\n" % (
            SEARCH_PATH,
            self.delegate.name.encode(),
            len(body),
        )
        connection.exchange(head + body, self.ended)

    def ended(self, end: ExchangeEnd) -> None:
        """Take the delegate's answer."""
        match end:
            case Replied(reply):
                if self.connection is not None:
                    self.delegate.pool.give_back(self.connection, KEEP_ALIVE_S)
                if reply.status == NOT_TAKEN:
                    reason = reply.body.decode("latin-1")
                    self.delegates.avoid(self.delegate, reason, NOT_TAKEN_S)
                    self.keep()
                elif reply.status != OK:
                    self.lose(f"status {reply.status}")
                else:
                    self.take(reply.body)
            case Malformed(detail) | Lost(detail):
                self.delegates.avoid(self.delegate, detail)
                self.lose(detail)

    def take(self, body: bytes) -> None:
        """Pass the delegate's answer on."""
        match decode_outcome(body):
            case Success(told):
                self.hedges = told.hedges
                self.repeats = told.repeats
                headers = tuple(told.headers)
                self.settle_with(
                    CallerAnswer(
                        told.status, headers, told.body, told.outcome, told.detail
                    )
                )
            case Failure(detail):
                self.lose(str(detail))

    def keep(self) -> None:
        """Search here, since the delegate did not take the search."""
        self.leave_delegate()
        self.settled = True
        self.search_here()

    def lose(self, reason: str) -> None:
        """Answer that the search was lost."""
        if self.settled:
            return
        connection, self.connection = self.connection, None
        if connection is not None and connection.finish is not None:
            connection.abort()
        detail = f"{self.delegate.name}: {reason}"
        self.settle_with(refuse(Problem(ErrorKind.OUTCOME_UNKNOWN, detail)))

    def settle_with(self, answer: CallerAnswer) -> None:
        """End the search with an answer."""
        self.leave_delegate()
        if not self.settled:
            self.settled = True
            self.finish(answer)

    def leave_delegate(self) -> None:
        """Count the search at the delegate no more."""
        self.delegate.searches.pop(self, None)
        self.delegate.pool.withdraw(self.connected)

    def cancel(self) -> None:
        """Stop, since the caller has left; the delegate sees the connection end."""
        if self.settled:
            return
        self.settled = True
        self.leave_delegate()
        if self.connection is not None and self.connection.finish is not None:
            self.connection.abort()


def ignore() -> None:
    """Take no note of a connection: datagrams tell whether a delegate is there."""
