"""A request that a gateway works on, which its caller may leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sardinehook.gateway.delegated_search import DelegatedSearch
from sardinehook.gateway.gather import Gather
from sardinehook.gateway.quota.admitted_request import LocalSearchAdmission
from sardinehook.gateway.quota.gate import Receipt
from sardinehook.gateway.routing.search_routing import DelegateInquiry
from sardinehook.gateway.single import SingleCall
from sardinehook.observe.errors import log_error

if TYPE_CHECKING:
    from sardinehook.gateway.request_handler import RequestHandler

__all__ = ["RunningRequest"]

Work = Gather | SingleCall | DelegateInquiry | DelegatedSearch | LocalSearchAdmission


class RunningRequest:
    """A request whose caller may disconnect; ``peer`` is the delegating gateway.

    ``receipt`` is for the quota that the request has used.
    """

    def __init__(
        self,
        handler: RequestHandler,
        receipt: Receipt,
        peer: str = "",
        shard_count: int = 0,
    ) -> None:
        self.handler = handler
        self.receipt = receipt
        self.peer = peer
        self.shard_count = shard_count
        self.work: Work

    def begin(self, work: Work) -> None:
        """Start ``work``, replacing a delegated search that was refused.

        What this gateway gathers itself needs admission first.
        """
        self.work = work
        match work:
            case DelegateInquiry() | DelegatedSearch() | LocalSearchAdmission():
                work.start()
            case Gather() | SingleCall():
                self.submit(work)

    def submit(self, work: Gather | SingleCall) -> None:
        """Ask for admission; after an unexpected error the caller gets an answer."""
        try:
            self.handler.admission.submit(work, begun=bool(self.peer))
        except Exception as error:
            log_error(error)
            work.fail_unexpectedly()

    def cancel(self) -> None:
        """Stop the request and record that its caller has disconnected.

        The quota of one that no replica can have run is given back.
        """
        if not self.work.settled:
            if not self.may_have_run:
                self.receipt.give_back()
            if self.peer:
                self.handler.delegated_in_flight -= self.shard_count
            else:
                self.handler.in_flight -= 1
            self.handler.request_log.record_cancelled(self.work)
        self.work.cancel()
        if isinstance(self.work, Gather | SingleCall):
            self.handler.admission.release(self.work)

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request or may be running it."""
        match self.work:
            case Gather() | SingleCall() as work:
                return work.may_have_run or work.may_be_running()
            case DelegateInquiry():
                return False
            case DelegatedSearch() | LocalSearchAdmission():
                return True  # what these use is not counted by the receipt here
