"""One HTTP exchange with the platform, bounded in time."""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from typing import NamedTuple, cast

from returns.result import Failure, Result, Success
from twisted.internet.abstract import isIPv6Address
from twisted.internet.defer import CancelledError, Deferred, gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import (
    URI,
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer, IResponse
from zope.interface import implementer

from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.reactor import Timer, Timers

__all__ = ["HttpClient", "HttpReply"]

IDLE_CONNECTION_S = 20
IDLE_CONNECTIONS = 8
CONNECT_SHARE = 0.5  # of the timeout, so that a refused connection is told apart
RATE_EXCEEDED = 429


class HttpReply(NamedTuple):
    """The status and the whole body of a reply."""

    status: int
    body: bytes


@implementer(IAgentEndpointFactory)
class IpEndpointFactory:
    """Connects by IP number, so that a refused connection is told at once."""

    def __init__(self, reactor: Timers, timeout_s: float) -> None:
        self.reactor = reactor
        self.timeout_s = timeout_s

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint | TCP6ClientEndpoint:
        """The endpoint of an address."""
        host = uri.host.decode().strip("[]")
        version_6 = isIPv6Address(host)
        endpoint = TCP6ClientEndpoint if version_6 else TCP4ClientEndpoint
        return endpoint(self.reactor, host, uri.port, self.timeout_s)


class BodyGatherer(Protocol):
    """Gathers the body of a response; cancelling it closes the connection."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.gathered: Deferred[bytes] = Deferred(self.cancel)

    def cancel(self, _gathered: Deferred[bytes]) -> None:
        """Close the connection of a body that is no longer wanted."""
        close = getattr(self.transport, "loseConnection", None)
        if close is not None:
            close()

    def dataReceived(self, data: bytes) -> None:
        """Take a part of the body."""
        self.parts.append(data)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Take the end of the body, whole or not."""
        if self.gathered.called:
            return
        if isinstance(reason.value, ResponseDone):
            self.gathered.callback(b"".join(self.parts))
        else:
            self.gathered.errback(reason)


class HttpClient:
    """Makes HTTP calls to one address over connections that are kept alive.

    A call that reads is repeated by the pool if an idle connection turns out to be
    closed. A call that writes is never repeated.
    """

    def __init__(self, reactor: Timers, address: str, timeout_ms: float) -> None:
        self.reactor = reactor
        self.base = f"http://{address}"
        self.timeout_ms = timeout_ms
        self.read_pool = self.make_pool(retry=True)
        self.write_pool = self.make_pool(retry=False)
        endpoints = IpEndpointFactory(reactor, CONNECT_SHARE * timeout_ms / 1000)
        self.agents = {
            pool: make_agent(reactor, endpoints, pool)
            for pool in (self.read_pool, self.write_pool)
        }

    def make_pool(self, retry: bool) -> HTTPConnectionPool:
        """Make a pool of connections; ``retry`` lets it repeat a call."""
        pool = HTTPConnectionPool(self.reactor)
        pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        pool.maxPersistentPerHost = IDLE_CONNECTIONS
        pool.retryAutomatically = retry
        return pool

    async def read(
        self, path: str, extra_ms: float = 0.0
    ) -> Result[HttpReply, StoreUnavailable]:
        """Send a GET; ``extra_ms`` is the time that the server may wait by itself."""
        return await self.call("GET", path, b"", self.read_pool, extra_ms)

    async def write(
        self, method: str, path: str, body: bytes = b""
    ) -> Result[HttpReply, StoreUnavailable]:
        """Send a call that changes something."""
        return await self.call(method, path, body, self.write_pool, 0.0)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        pool: HTTPConnectionPool,
        extra_ms: float,
    ) -> Result[HttpReply, StoreUnavailable]:
        """Send one request and gather its reply within the timeout.

        Raises ``CancelledError`` if the caller gives the call up.
        """
        timeout_s = (self.timeout_ms + extra_ms) / 1000
        exchange = Deferred.fromCoroutine(self.exchange(method, path, body, pool))
        timer = self.reactor.callLater(timeout_s, exchange.cancel)
        writes = pool is self.write_pool
        try:
            reply = await exchange
        except (ConnectError, ConnectingCancelledError) as error:
            raise_if_cancelled(error, timer)
            return Failure(StoreUnavailable(describe(error), False))
        except Exception as error:  # any fault of a library or peer is one outcome
            raise_if_cancelled(error, timer)
            return Failure(StoreUnavailable(describe(error), writes))
        finally:
            if timer.active():
                timer.cancel()
        if reply.status == RATE_EXCEEDED:
            return Failure(StoreUnavailable("rate exceeded", False))
        return Success(reply)

    async def exchange(
        self, method: str, path: str, body: bytes, pool: HTTPConnectionPool
    ) -> HttpReply:
        """Send one request and gather its reply; raises what the library raises."""
        producer = make_producer(body) if body else None
        agent = self.agents[pool]
        uri = (self.base + path).encode()
        response = await agent.request(method.encode(), uri, bodyProducer=producer)
        return HttpReply(response.code, await gather_body(response))

    def close(self) -> Deferred[list[object]]:
        """Close the connections that are idle."""
        pools = (self.read_pool, self.write_pool)
        return gatherResults([close_pool(pool) for pool in pools])


def make_agent(
    reactor: Timers, endpoints: IpEndpointFactory, pool: HTTPConnectionPool
) -> Agent:
    """Make an agent that connects by IP number."""
    make = cast(Callable[..., Agent], Agent.usingEndpointFactory)
    return make(reactor, endpoints, pool)


def gather_body(response: IResponse) -> Deferred[bytes]:
    """Gather the whole body of a response."""
    gatherer = BodyGatherer()
    deliver = cast(Callable[[Protocol], None], response.deliverBody)
    deliver(gatherer)
    return gatherer.gathered


def make_producer(body: bytes) -> IBodyProducer:
    """Make the body of a request."""
    producer = FileBodyProducer(BytesIO(body))
    return cast(IBodyProducer, producer)


def close_pool(pool: HTTPConnectionPool) -> Deferred[object]:
    """Close the idle connections of a pool."""
    closed = pool.closeCachedConnections()
    return cast("Deferred[object]", closed)


def raise_if_cancelled(error: Exception, timer: Timer) -> None:
    """Raise ``CancelledError`` if the caller gave the call up before its timeout."""
    if not timer.active():
        return
    reasons = getattr(error, "reasons", ())
    given_up = (CancelledError, ConnectingCancelledError)
    if isinstance(error, given_up) or any(r.check(*given_up) for r in reasons):
        raise CancelledError from error


def describe(error: Exception) -> str:
    """One line that names an error."""
    detail = str(error).splitlines()
    return f"{type(error).__name__}: {detail[0]}" if detail else type(error).__name__
