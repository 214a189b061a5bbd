"""Internal HTTP server for probes, metrics and calls of other gateways."""

from __future__ import annotations

from collections.abc import Callable

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.http_server import Cancellable, HttpServer
from sardinehook.gateway.interfaces import HttpRequest
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.relay import CHANGES_PATH, ChangeRelay
from sardinehook.gateway.search_codec import SEARCH_PATH
from sardinehook.transport.connection import UNACKNOWLEDGED_TIMEOUT_MS

__all__ = ["ProbeServer"]

TEXT = ((b"Content-Type", b"text/plain; version=0.0.4"),)


class ProbeServer(HttpServer):
    """Serves ``/ready``, ``/metrics``, store changes and delegated searches.

    ``/ready`` returns 200, or 503 with the reason as its body.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        unready_reason: Callable[[], str],
        render_metrics: Callable[[], bytes],
        relay: ChangeRelay,
        handle_delegated: Callable[
            [bytes, Callable[[CallerAnswer], None]], Cancellable | None
        ],
    ) -> None:
        super().__init__(reactor, self.answer_probe)
        self.unacknowledged_timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS
        self.unready_reason = unready_reason
        self.render_metrics = render_metrics
        self.relay = relay
        self.handle_delegated = handle_delegated

    def answer_probe(
        self, request: HttpRequest, finish: Callable[[CallerAnswer], None]
    ) -> Cancellable | None:
        """Answer a request; calls of other gateways may return pending work."""
        path, _, query = request.target.partition(b"?")
        if path.endswith(b"/ready"):
            reason = self.unready_reason()
            status = 503 if reason else 200
            body = f"{reason or 'ready'}\n".encode()
            finish(CallerAnswer(status, TEXT, body, "probe"))
        elif path == b"/metrics":
            finish(CallerAnswer(200, TEXT, self.render_metrics(), "probe"))
        elif path == CHANGES_PATH:
            return self.relay.answer(query, finish)
        elif path == SEARCH_PATH:
            return self.handle_delegated(request.body, finish)
        else:
            finish(CallerAnswer(404, TEXT, b"not found\n", "probe"))
        return None
