"""Requests that arrive before a starting gateway knows a configuration."""

from __future__ import annotations

from collections.abc import Callable

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.http_server import Cancellable
from sardinehook.gateway.interfaces import CallerRequest
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.request_log import RequestLog
from sardinehook.gateway.unexpected import unexpected_error_answer
from sardinehook.observe.errors import log_error

__all__ = ["MAX_WAITING", "MAX_WAIT_S", "StartupQueue", "WaitingRequest"]

MAX_WAIT_S = 0.5  # a large fleet has its state by then, or is in trouble
MAX_WAIT_RATIO = 0.25  # of the caller's timeout: leaves time to go elsewhere
MAX_WAITING = 256  # requests,
MAX_WAITING_BYTES = 8 * 1024 * 1024  # of their bodies together

Finish = Callable[[CallerAnswer], None]
StartRequest = Callable[[CallerRequest, Finish], Cancellable | None]


class WaitingRequest:
    """A request that waits for the first configuration, and then its work."""

    def __init__(self, request: CallerRequest, finish: Finish) -> None:
        self.request = request
        self.finish = finish
        self.cancelled = False
        self.work: Cancellable | None = None

    def cancel(self) -> None:
        """Stop after the caller has disconnected."""
        self.cancelled = True
        if self.work is not None:
            self.work.cancel()


class StartupQueue:
    """Keeps requests for a short time after the start of the gateway.

    ``start_request`` starts a request, or refuses it while no configuration is known;
    ``refuse`` refuses it. A caller that is refused spends a retry, and the state of the
    store is mostly due within milliseconds.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        request_log: RequestLog,
        start_request: StartRequest,
        refuse: StartRequest,
    ) -> None:
        self.reactor = reactor
        self.request_log = request_log
        self.start_request = start_request
        self.refuse = refuse
        self.waiting: list[WaitingRequest] = []
        self.waiting_bytes = 0
        self.open_until = float("-inf")

    def open(self) -> None:
        """Let requests wait from now on, for ``MAX_WAIT_S``."""
        self.open_until = self.reactor.seconds() + MAX_WAIT_S
        self.reactor.callLater(MAX_WAIT_S, self.release)

    @property
    def has_room(self) -> bool:
        """Whether one more request may wait."""
        is_open = self.reactor.seconds() < self.open_until
        has_memory = self.waiting_bytes < MAX_WAITING_BYTES
        return is_open and has_memory and len(self.waiting) < MAX_WAITING

    def add(self, request: CallerRequest, finish: Finish) -> WaitingRequest:
        """Keep a request, for a part of its caller's timeout at most."""
        waiting = WaitingRequest(request, finish)
        self.waiting.append(waiting)
        self.waiting_bytes += len(request.body)
        if request.caller_timeout_s is not None:
            wait_s = MAX_WAIT_RATIO * request.caller_timeout_s
            self.reactor.callLater(wait_s, self.expire, waiting)
        return waiting

    def expire(self, waiting: WaitingRequest) -> None:
        """Refuse a request that still waits."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)
            self.waiting_bytes -= len(waiting.request.body)
            if not waiting.cancelled:
                self.refuse(waiting.request, waiting.finish)

    def release(self) -> None:
        """Start all requests that wait."""
        released, self.waiting = self.waiting, []
        self.waiting_bytes = 0
        if not released:
            return
        waited_s = self.reactor.seconds() - released[0].request.received_at
        self.request_log.record_released(len(released), waited_s)
        for waiting in released:
            if not waiting.cancelled:
                self.start(waiting)

    def start(self, waiting: WaitingRequest) -> None:
        """Start one request; an unexpected error does not affect the others."""
        try:
            waiting.work = self.start_request(waiting.request, waiting.finish)
        except Exception as error:
            log_error(error)
            waiting.finish(unexpected_error_answer(may_have_run=True))
