"""The HTTP front: callers' searches and orders, and the balancer's probes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypedDict, cast

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import Request as HttpRequest
from twisted.web.pages import notFound
from twisted.web.resource import IResource, Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from sardinehook.entry.requests import encode_error, parse_request_id
from sardinehook.errors import ErrorKind, Problem

__all__ = [
    "BodyResponse",
    "CallerPort",
    "EntryStatus",
    "Response",
    "StatusPort",
    "build_site",
]

JSON_TYPE = b"application/json"
MS_PER_S = 1000
IDLE_TIMEOUT_S = 60


class EntryStatus(TypedDict):
    """The body of ``GET /status``."""

    node: str
    data_centre: str
    environment: str
    ready: bool
    reason: str
    revision: int
    digest: str
    members: list[str]
    requests_in_flight: int


class BodyResponse:
    """A success: a status code and a JSON body."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


Response = BodyResponse | Problem


class CallerPort(Protocol):
    """What callers ask for."""

    def search(
        self, workload: str, request_id: str, deadline: str | None, body: bytes
    ) -> Deferred[Response]:
        """Run a search; cancelling the Deferred abandons it."""

    def order(
        self,
        workload: str,
        request_id: str,
        deadline: str | None,
        key: str | None,
        body: bytes,
    ) -> Deferred[Response]:
        """Place an order; cancelling the Deferred does not undo it."""

    def look_up_order(self, key: str) -> Deferred[Response]:
        """Tell what became of an order."""


class StatusPort(Protocol):
    """What operators and the balancer ask for."""

    def status(self) -> EntryStatus:
        """Describe this process."""

    def metrics_text(self) -> bytes:
        """Render the metrics."""


class LivenessResource(Resource):
    """Answers while the loop turns: a failing probe means restart."""

    isLeaf = True

    def render_GET(self, request: Request) -> bytes:
        """Answer the probe."""
        return b"live\n"


class ReadinessResource(Resource):
    """Answers 200 while this process takes new requests, else 503 with the reason."""

    isLeaf = True

    def __init__(self, port: StatusPort) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.port = port

    def render_GET(self, request: Request) -> bytes:
        """Answer the balancer."""
        status = self.port.status()
        if status["ready"]:
            return b"ready\n"
        request.setResponseCode(503)
        return f"{status['reason']}\n".encode()


class StatusResource(Resource):
    """Describes the process as JSON."""

    isLeaf = True

    def __init__(self, port: StatusPort) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.port = port

    def render_GET(self, request: Request) -> bytes:
        """Answer with the status."""
        request.setHeader(b"Content-Type", JSON_TYPE)
        return msgspec.json.encode(self.port.status())


class MetricsResource(Resource):
    """Serves the metrics in Prometheus' text format."""

    isLeaf = True

    def __init__(self, port: StatusPort) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.port = port

    def render_GET(self, request: Request) -> bytes:
        """Answer with the metrics."""
        request.setHeader(b"Content-Type", b"text/plain; version=0.0.4")
        return self.port.metrics_text()


class CallResource(Resource):
    """One call of a caller: starts it and writes its response."""

    isLeaf = True

    def __init__(self, start: Callable[[Request, str], Deferred[Response]]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.start = start

    def render(self, request: HttpRequest) -> int:
        """Start the call; the response follows later."""
        assert isinstance(request, Request)
        match parse_request_id(request.getHeader("Request-Id")).swap().value_or(None):
            case Problem() as problem:
                respond(request, "", problem)
                return NOT_DONE_YET
        request_id = parse_request_id(request.getHeader("Request-Id")).unwrap()
        call = self.start(request, request_id)
        finished = request.notifyFinish()
        finished.addErrback(lambda _failure: call.cancel())
        call.addCallbacks(
            lambda response: respond(request, request_id, response),
            lambda failure: respond_failure(request, request_id, failure),
        )
        return NOT_DONE_YET


class CallCollection(Resource):
    """A folder of calls: the last path segment names the workload or the order key."""

    def __init__(
        self, start: Callable[[str, Request, str], Deferred[Response]]
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.start = start

    def getChild(self, path: bytes, request: HttpRequest) -> IResource:
        """Return the call for one path segment."""
        name = path.decode("utf-8", "replace")
        if not name:
            return notFound()
        return cast(
            "IResource",
            CallResource(lambda req, request_id: self.start(name, req, request_id)),
        )


def respond(request: Request, request_id: str, response: Response) -> None:
    """Write a response unless the caller has left."""
    if request.finished or request._disconnected:
        return
    request.setHeader(b"Content-Type", JSON_TYPE)
    request.setHeader(b"Request-Id", request_id.encode())
    match response:
        case Problem() as problem:
            request.setResponseCode(problem.response.status)
            if problem.response.not_run:
                request.setHeader(b"Not-Run", b"true")
            if problem.response.retry_after_ms:
                seconds = -(-problem.response.retry_after_ms // MS_PER_S)
                request.setHeader(b"Retry-After", str(seconds).encode())
            body = encode_error(request_id, problem)
        case BodyResponse():
            request.setResponseCode(response.status)
            body = response.body
    request.setHeader(b"Content-Length", str(len(body)).encode())
    request.write(body)
    request.finish()


def respond_failure(
    request: Request, request_id: str, failure: TwistedFailure
) -> TwistedFailure | None:
    """Answer a call that broke; a cancelled one has nobody to answer."""
    if failure.check(CancelledError):
        return None
    respond(request, request_id, Problem(ErrorKind.INTERNAL, "internal error"))
    return failure


def read_body(request: Request) -> bytes:
    """Return the whole body of a request."""
    if request.content is None:
        return b""
    body: bytes = request.content.read()
    return body


def build_site(port: CallerPort, state: StatusPort) -> Site:
    """Build the site that serves callers, operators and the balancer."""

    def search(name: str, request: Request, request_id: str) -> Deferred[Response]:
        deadline = request.getHeader("Deadline-Ms")
        return port.search(name, request_id, deadline, read_body(request))

    def order(name: str, request: Request, request_id: str) -> Deferred[Response]:
        if request.method == b"GET":
            return port.look_up_order(name)
        deadline = request.getHeader("Deadline-Ms")
        key = request.getHeader("Idempotency-Key")
        return port.order(name, request_id, deadline, key, read_body(request))

    root = Resource()

    def put(path: bytes, child: Resource) -> None:
        root.putChild(path, cast("IResource", child))

    put(b"live", LivenessResource())  # type: ignore[no-untyped-call]
    put(b"ready", ReadinessResource(state))
    put(b"status", StatusResource(state))
    put(b"metrics", MetricsResource(state))
    put(b"search", CallCollection(search))
    put(b"orders", CallCollection(order))
    site = Site(root, timeout=IDLE_TIMEOUT_S)
    site.displayTracebacks = False
    site.noisy = False
    return site
