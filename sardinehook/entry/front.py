"""The HTTP server: searches, orders, load balancer probes, status and metrics."""

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
    """A successful response: a status code and a JSON body."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


Response = BodyResponse | Problem


class CallerPort(Protocol):
    """Handles the requests of callers."""

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
        """Return the status of an order."""


class StatusPort(Protocol):
    """Reports status and metrics to operators and the load balancer."""

    def status(self) -> EntryStatus:
        """Return the status of this process."""

    def metrics_text(self) -> bytes:
        """Render the metrics."""


class LivenessResource(Resource):
    """Liveness probe: answers while the event loop runs; failure means restart."""

    isLeaf = True

    def render_GET(self, request: Request) -> bytes:
        """Return 200 unconditionally."""
        return b"live\n"


class ReadinessResource(Resource):
    """Readiness probe: 200 if new requests are accepted, else 503 and the reason."""

    isLeaf = True

    def __init__(self, port: StatusPort) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.port = port

    def render_GET(self, request: Request) -> bytes:
        """Return readiness, with the reason if not ready."""
        status = self.port.status()
        if status["ready"]:
            return b"ready\n"
        request.setResponseCode(503)
        return f"{status['reason']}\n".encode()


class StatusResource(Resource):
    """Serves the status of the process as JSON."""

    isLeaf = True

    def __init__(self, port: StatusPort) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.port = port

    def render_GET(self, request: Request) -> bytes:
        """Return the status."""
        request.setHeader(b"Content-Type", JSON_TYPE)
        return msgspec.json.encode(self.port.status())


class MetricsResource(Resource):
    """Serves the metrics in the Prometheus text format."""

    isLeaf = True

    def __init__(self, port: StatusPort) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.port = port

    def render_GET(self, request: Request) -> bytes:
        """Return the metrics."""
        request.setHeader(b"Content-Type", b"text/plain; version=0.0.4")
        return self.port.metrics_text()


class CallResource(Resource):
    """Starts one call and writes its response."""

    isLeaf = True

    def __init__(self, start: Callable[[Request, str], Deferred[Response]]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.start = start

    def render(self, request: HttpRequest) -> int:
        """Start the call; the response is written asynchronously."""
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
    """Parent of calls: the last path segment is the workload or the order key."""

    def __init__(
        self, start: Callable[[str, Request, str], Deferred[Response]]
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.start = start

    def getChild(self, path: bytes, request: HttpRequest) -> IResource:
        """Return the resource of the call for a path segment."""
        name = path.decode("utf-8", "replace")
        if not name:
            return notFound()
        return cast(
            "IResource",
            CallResource(lambda req, request_id: self.start(name, req, request_id)),
        )


def respond(request: Request, request_id: str, response: Response) -> None:
    """Write a response unless the caller has disconnected."""
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
    """Answer a failed call with an internal error; ignore a cancelled one."""
    if failure.check(CancelledError):
        return None
    respond(request, request_id, Problem(ErrorKind.INTERNAL, "internal error"))
    return failure


def read_body(request: Request) -> bytes:
    """Return the body of a request, empty if there is none."""
    if request.content is None:
        return b""
    body: bytes = request.content.read()
    return body


def build_site(port: CallerPort, state: StatusPort) -> Site:
    """Build the site for callers, operators and the load balancer."""

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

    def add_child(path: bytes, child: Resource) -> None:
        root.putChild(path, cast("IResource", child))

    add_child(b"live", LivenessResource())  # type: ignore[no-untyped-call]
    add_child(b"ready", ReadinessResource(state))
    add_child(b"status", StatusResource(state))
    add_child(b"metrics", MetricsResource(state))
    add_child(b"search", CallCollection(search))
    add_child(b"orders", CallCollection(order))
    site = Site(root, timeout=IDLE_TIMEOUT_S)
    site.displayTracebacks = False
    site.noisy = False
    return site
