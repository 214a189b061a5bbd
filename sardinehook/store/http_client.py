"""HTTP client for the platform, with a timeout on each call."""

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
    ResponseFailed,
)
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer, IResponse
from zope.interface import implementer

from sardinehook.store.port import StoreUnavailable
from sardinehook.transport.connection import invalid_statuses, is_final_status
from sardinehook.transport.reactor import Timer, Timers

__all__ = ["HttpClient", "HttpReply"]

IDLE_TIMEOUT_S = 20
MAX_IDLE_CONNECTIONS = 8
CONNECT_TIMEOUT_RATIO = 0.5  # of the timeout, to tell failed connects from lost replies
TOO_MANY_REQUESTS = 429
MAX_BODY_BYTES = 64 * 1024 * 1024  # bounds the memory for a malformed reply


class HttpReply(NamedTuple):
    """The status and the complete body of a reply."""

    status: int
    body: bytes


@implementer(IAgentEndpointFactory)
class IpEndpointFactory:
    """Creates endpoints for IP addresses, which report a refused connection at once."""

    def __init__(self, reactor: Timers, timeout_s: float) -> None:
        self.reactor = reactor
        self.timeout_s = timeout_s

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint | TCP6ClientEndpoint:
        """Return the endpoint of an IP address, version 4 or 6."""
        host = uri.host.decode().strip("[]")
        is_ipv6 = isIPv6Address(host)
        endpoint = TCP6ClientEndpoint if is_ipv6 else TCP4ClientEndpoint
        return endpoint(self.reactor, host, uri.port, self.timeout_s)


class BodyCollector(Protocol):
    """Collects the body of a response.

    Cancelling ``body_read`` closes the connection.
    """

    def __init__(self) -> None:
        self.content = bytearray()
        self.body_read: Deferred[bytes] = Deferred(self.cancel)

    def cancel(self, _body_read: Deferred[bytes]) -> None:
        """Close the connection after the body's ``Deferred`` was cancelled."""
        close = getattr(self.transport, "loseConnection", None)
        if close is not None:
            close()

    def dataReceived(self, data: bytes) -> None:
        """Append a piece of the body; the connection is closed beyond the limit."""
        self.content += data
        if len(self.content) > MAX_BODY_BYTES and not self.body_read.called:
            self.body_read.errback(ResponseFailed([], None))
            self.cancel(self.body_read)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Fire with the complete body, or fail if the connection ended early."""
        if self.body_read.called:
            return
        if isinstance(reason.value, ResponseDone):
            self.body_read.callback(bytes(self.content))
        else:
            self.body_read.errback(reason)


class HttpClient:
    """Makes HTTP calls to one address over persistent connections.

    The connection pool retries a read if an idle connection turns out to be closed.
    A write is never retried.
    """

    def __init__(self, reactor: Timers, address: str, timeout_ms: float) -> None:
        self.reactor = reactor
        self.base = f"http://{address}"
        self.timeout_ms = timeout_ms
        self.read_pool = self.make_pool(retry=True)
        self.write_pool = self.make_pool(retry=False)
        endpoints = IpEndpointFactory(
            reactor, CONNECT_TIMEOUT_RATIO * timeout_ms / 1000
        )
        self.agents = {
            pool: make_agent(reactor, endpoints, pool)
            for pool in (self.read_pool, self.write_pool)
        }

    def make_pool(self, retry: bool) -> HTTPConnectionPool:
        """Create a connection pool; ``retry`` allows it to retry calls."""
        pool = HTTPConnectionPool(self.reactor)
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        pool.retryAutomatically = retry
        return pool

    async def read(
        self, path: str, server_wait_ms: float = 0.0
    ) -> Result[HttpReply, StoreUnavailable]:
        """Send a GET; ``server_wait_ms`` adds the server's own wait to the timeout."""
        return await self.call("GET", path, b"", self.read_pool, server_wait_ms)

    async def write(
        self, method: str, path: str, body: bytes = b""
    ) -> Result[HttpReply, StoreUnavailable]:
        """Send a request that may change the server's state."""
        return await self.call(method, path, body, self.write_pool, 0.0)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        pool: HTTPConnectionPool,
        server_wait_ms: float,
    ) -> Result[HttpReply, StoreUnavailable]:
        """Send one request and read its reply within the timeout.

        A failure before the connection is open changed nothing, and neither did
        status 429; after any other failure a write may have taken effect. Raises
        ``CancelledError`` if the call is cancelled.
        """
        timeout_s = (self.timeout_ms + server_wait_ms) / 1000
        exchange = Deferred.fromCoroutine(self.exchange(method, path, body, pool))
        timer = self.reactor.callLater(timeout_s, exchange.cancel)
        is_write = pool is self.write_pool
        try:
            reply = await exchange
        except (ConnectError, ConnectingCancelledError) as error:
            raise_if_cancelled(error, timer)
            return Failure(StoreUnavailable(describe_error(error), False))
        except Exception as error:  # any library or peer error is one outcome
            raise_if_cancelled(error, timer)
            return Failure(StoreUnavailable(describe_error(error), is_write))
        finally:
            if timer.active():
                timer.cancel()
        if reply.status == TOO_MANY_REQUESTS:
            return Failure(StoreUnavailable("rate exceeded", False))
        return Success(reply)

    async def exchange(
        self, method: str, path: str, body: bytes, pool: HTTPConnectionPool
    ) -> HttpReply:
        """Send one request and read its reply; library exceptions propagate."""
        producer = make_producer(body) if body else None
        agent = self.agents[pool]
        uri = (self.base + path).encode()
        response = await agent.request(method.encode(), uri, bodyProducer=producer)
        if not is_final_status(response.code):
            invalid_statuses["store"] += 1
            read_body(response).addErrback(ignore_failure).cancel()
            raise ValueError(f"invalid status {response.code:03}")
        return HttpReply(response.code, await read_body(response))

    def close(self) -> Deferred[list[object]]:
        """Close the idle connections."""
        pools = (self.read_pool, self.write_pool)
        return gatherResults([close_pool(pool) for pool in pools])


def make_agent(
    reactor: Timers, endpoints: IpEndpointFactory, pool: HTTPConnectionPool
) -> Agent:
    """Create an agent that connects by IP address."""
    make = cast(Callable[..., Agent], Agent.usingEndpointFactory)
    return make(reactor, endpoints, pool)


def read_body(response: IResponse) -> Deferred[bytes]:
    """Read the complete body of a response."""
    collector = BodyCollector()
    deliver_body = cast(Callable[[Protocol], None], response.deliverBody)
    deliver_body(collector)
    return collector.body_read


def ignore_failure(_failure: TwistedFailure) -> None:
    """Ignore that a body was not read."""


def make_producer(body: bytes) -> IBodyProducer:
    """Create a producer that sends ``body``."""
    producer = FileBodyProducer(BytesIO(body))
    return cast(IBodyProducer, producer)


def close_pool(pool: HTTPConnectionPool) -> Deferred[object]:
    """Close the idle connections of a pool."""
    closed = pool.closeCachedConnections()
    return cast("Deferred[object]", closed)


def raise_if_cancelled(error: Exception, timer: Timer) -> None:
    """Raise ``CancelledError`` if the call was cancelled before its timeout."""
    if not timer.active():
        return
    reasons = getattr(error, "reasons", ())
    cancellations = (CancelledError, ConnectingCancelledError)
    if isinstance(error, cancellations) or any(
        r.check(*cancellations) for r in reasons
    ):
        raise CancelledError from error


def describe_error(error: Exception) -> str:
    """Return the type and the first line of the message of an error."""
    detail = str(error).splitlines()
    return f"{type(error).__name__}: {detail[0]}" if detail else type(error).__name__
