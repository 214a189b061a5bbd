"""Validates callers' requests and starts searches and orders."""

from __future__ import annotations

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, succeed

from sardinehook.entry.front import Response
from sardinehook.entry.order_handler import EntryOrderHandler
from sardinehook.entry.requests import CallerRequest, resolve_request
from sardinehook.entry.search_handler import SearchHandler
from sardinehook.environment.document import DataCentreState
from sardinehook.environment.holder import DocumentHolder
from sardinehook.errors import ErrorKind, Problem

__all__ = ["RequestHandler"]


class RequestHandler:
    """Accepts searches and orders if the process state and the document allow it.

    ``accepts_requests`` is cleared when a stopping process closes its listener.
    """

    def __init__(
        self,
        data_centre: str,
        holder: DocumentHolder,
        searches: SearchHandler,
        orders: EntryOrderHandler,
    ) -> None:
        self.data_centre = data_centre
        self.holder = holder
        self.searches = searches
        self.orders = orders
        self.accepts_requests = True

    @property
    def in_flight(self) -> int:
        """The number of callers' requests in flight."""
        return self.searches.in_flight + self.orders.in_flight

    def refusal(self) -> Problem | None:
        """Return why new requests are refused, ``None`` if they are accepted."""
        revision = self.holder.in_force
        if revision is None:
            return Problem(ErrorKind.NO_DOCUMENT, "no document has been loaded yet")
        own = revision.document.data_centres.get(self.data_centre)
        if own is None or own.state is DataCentreState.OUT:
            detail = f"data centre {self.data_centre} is out"
            return Problem(ErrorKind.DATA_CENTRE_OUT, detail)
        if not self.accepts_requests:
            return Problem(ErrorKind.STOPPING, "this process is stopping")
        return None

    def search(
        self, workload: str, request_id: str, deadline: str | None, body: bytes
    ) -> Deferred[Response]:
        """Validate a search and run it."""
        match self.check(workload, request_id, deadline, body):
            case Failure(refused):
                return succeed(refused)
            case Success(request):
                if not request.workload.idempotent:
                    detail = f"workload {workload!r} is not idempotent: use /orders"
                    return succeed(Problem(ErrorKind.BAD_REQUEST, detail))
                return self.searches.run(request)
        raise AssertionError("a result is a success or a failure")

    def check(
        self, workload: str, request_id: str, deadline: str | None, body: bytes
    ) -> Result[CallerRequest, Problem]:
        """Validate a request against the process state and the document in force."""
        problem = self.refusal()
        if problem is not None:
            return Failure(problem)
        assert self.holder.in_force is not None
        document = self.holder.in_force.document
        return resolve_request(document, workload, request_id, deadline, body)

    def order(
        self,
        workload: str,
        request_id: str,
        deadline: str | None,
        key: str | None,
        body: bytes,
    ) -> Deferred[Response]:
        """Validate an order and place it."""
        match self.check(workload, request_id, deadline, body):
            case Failure(refused):
                return succeed(refused)
            case Success(request):
                return self.orders.place(request, key)
        raise AssertionError("a result is a success or a failure")

    def look_up_order(self, key: str) -> Deferred[Response]:
        """Return the status of an order."""
        return self.orders.look_up(key)
