"""Requests that begin when the quota of their organisation allows it."""

from __future__ import annotations

from collections.abc import Callable

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import CallerAnswer, error_answer
from sardinehook.gateway.configuration import Route
from sardinehook.gateway.http_server import Cancellable
from sardinehook.gateway.interfaces import CallerRequest
from sardinehook.gateway.organisations.organisation import Organisation
from sardinehook.gateway.quota.gate import (
    Admitted,
    Decision,
    QuotaGate,
    Receipt,
    Refused,
)
from sardinehook.gateway.unexpected import answers_errors, unexpected_error_answer

__all__ = ["AdmittedRequest", "LocalSearchAdmission", "refusal_answer"]

Finish = Callable[[CallerAnswer], None]
Begin = Callable[[Receipt], Cancellable | None]


class AdmittedRequest:
    """A request that waits for its admission, and then its work.

    ``begin`` starts the work; ``refuse`` answers a request that is refused.
    """

    def __init__(
        self,
        gate: QuotaGate,
        organisation: Organisation,
        begin: Begin,
        refuse: Finish,
    ) -> None:
        self.gate = gate
        self.organisation = organisation
        self.begin = begin
        self.refuse = refuse
        self.settled = False
        self.work: Cancellable | None = None

    def start(self) -> Cancellable | None:
        """Ask for admission; return what can be cancelled, ``None`` if all is done."""
        waiting = self.gate.admit(self.organisation, self.decided)
        if self.settled:
            return self.work
        self.work = waiting
        return self

    @answers_errors
    def decided(self, decision: Decision) -> None:
        """Begin or refuse the request."""
        self.settled = True
        self.work = None
        match decision:
            case Admitted(receipt):
                self.work = self.begin(receipt)
            case Refused():
                self.refuse(refusal_answer(decision))

    def fail_unexpectedly(self) -> None:
        """Answer after an unexpected error."""
        self.refuse(unexpected_error_answer(may_have_run=True))

    def cancel(self) -> None:
        """Stop after the caller has disconnected."""
        work, self.work = self.work, None
        if work is not None:
            work.cancel()


class LocalSearchAdmission:
    """A search that its delegate did not take, and that waits for its admission here.

    It has the fields of a search for the log. ``begin`` starts the search.
    """

    def __init__(
        self,
        gate: QuotaGate,
        organisation: Organisation,
        request: CallerRequest,
        route: Route,
        begin: Callable[[Receipt], None],
        finish: Finish,
    ) -> None:
        self.gate = gate
        self.organisation = organisation
        self.request = request
        self.route = route
        self.begin = begin
        self.finish = finish
        self.settled = False
        self.hedges = 0
        self.repeats = 0
        self.waiting: Cancellable | None = None

    def start(self) -> None:
        """Ask for admission."""
        waiting = self.gate.admit(self.organisation, self.decided)
        if not self.settled:
            self.waiting = waiting

    def decided(self, decision: Decision) -> None:
        """Begin or refuse the search."""
        self.settled = True
        self.waiting = None
        match decision:
            case Admitted(receipt):
                self.begin(receipt)
            case Refused():
                self.finish(refusal_answer(decision))

    def cancel(self) -> None:
        """Stop after the caller has disconnected."""
        self.settled = True
        if self.waiting is not None:
            self.waiting.cancel()


def refusal_answer(refused: Refused) -> CallerAnswer:
    """Return the answer to a request that its quota does not allow.

    >>> refusal_answer(Refused(0.25, True)).status
    429
    >>> refusal_answer(Refused(0.25, False)).status
    503
    """
    kind = ErrorKind.QUOTA_EXCEEDED if refused.is_over else ErrorKind.QUOTA_UNKNOWN
    return error_answer(Problem(kind, refused.detail), refused.retry_after_s)
