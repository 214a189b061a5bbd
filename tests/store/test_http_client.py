"""Bodies of the platform's replies, collected up to a limit."""

from __future__ import annotations

from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from sardinehook.store.http_client import MAX_BODY_BYTES, BodyCollector


class TestBodies:
    def test_a_body_without_end_closes_the_connection(self) -> None:
        """Guards against a process that keeps all bytes of a faulty platform."""
        collector = BodyCollector()
        transport = StringTransport()
        collector.makeConnection(transport)  # type: ignore[no-untyped-call]
        failures: list[Failure] = []
        collector.body_read.addErrback(failures.append)
        piece = bytes(64 * 1024)
        received = 0
        while not transport.disconnecting and received < 2 * MAX_BODY_BYTES:
            collector.dataReceived(piece)
            received += len(piece)
        assert transport.disconnecting
        assert len(failures) == 1
        assert received <= MAX_BODY_BYTES + len(piece)
