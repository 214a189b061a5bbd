"""Keys of callers: who is identified, and what replicas and logs get to see."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from structlog.testing import capture_logs

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.http_server import HttpServer, HttpServerConnection
from sardinehook.gateway.interfaces import HttpRequest
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.organisations.credential import Credential
from sardinehook.gateway.organisations.identification import identify_caller
from sardinehook.gateway.organisations.organisation import (
    Organisation,
    Organisations,
    index_organisations,
)
from sardinehook.gateway.request_handler import RequestHandler
from sardinehook.gateway.request_log import RequestLog
from sardinehook.gateway.settings import Bounds
from sardinehook.platform.replicas import PlatformReplicas
from tests.gateway.fake_transport import FakeTransport, make_transport
from tests.gateway.support import (
    DEFAULT_BOUNDS,
    configuration,
    good,
    make_gateway,
    single_route,
)
from tests.gateway.test_delegation import NARROW, WIDE, GatewayRig, body_of

DESK, MILL = Organisation("desk"), Organisation("mill")
KEYS = index_organisations([(DESK, [b"desk-key"]), (MILL, [b"mill-key"])])
HEAD = b"GET /x/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
STRICT = Bounds(revocation_strict=True, revocation_s=5.0)


def version_with(
    number: int, organisations: Organisations | None, anonymous: bool = False
) -> Configuration:
    """Return a version of the configuration with one route."""
    route = single_route(True)._replace(anonymous=anonymous)
    made = configuration(route)
    return Configuration(number, made.routes, made.services, made.limits, organisations)


class CallerRig:
    """A gateway behind its HTTP server, with one connection of a caller."""

    def __init__(self, bounds: Bounds = DEFAULT_BOUNDS) -> None:
        self.gateway = make_gateway(bounds)
        self.gateway.add("desk-a", "desk")
        self.metrics = GatewayMetrics()
        log = RequestLog(self.gateway.reactor, self.metrics)
        self.handler = RequestHandler(self.gateway.policy, log, Random(1))
        self.server = HttpServer(self.gateway.reactor, self.handler.handle)
        self.wire: FakeTransport = make_transport()
        self.connection = HttpServerConnection(self.server)
        connection: Any = self.connection
        connection.makeConnection(self.wire)

    def ask(self, *headers: bytes, rest: bytes = b"\r\n") -> bytes:
        """Send a request with further headers; return the status of its answer."""
        before = len(self.wire.written())
        lines = b"".join(header + b"\r\n" for header in headers)
        self.connection.dataReceived(HEAD + lines + rest)
        self.gateway.reactor.advance(0.001)
        for exchange in list(self.gateway.dispatcher.sent):
            if not exchange.done:
                self.gateway.end(exchange, good("stamp"))
        self.gateway.reactor.advance(0.001)
        return self.wire.written()[before:].split(b" ")[1]

    @property
    def sent(self) -> bytes:
        """The last request to a replica."""
        exchange = self.gateway.dispatcher.sent[-1]
        return PlatformReplicas().encode_request(exchange.request, "desk-a", 1.0)

    @property
    def stated(self) -> list[bytes]:
        """The organisations that the last request to a replica states, any spelling."""
        head = self.sent.partition(b"\r\n\r\n")[0].replace(b"_", b"-")
        return [
            line.partition(b":")[2].strip()
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-tenant-id")
        ]


class TestAnswers:
    """Guards against callers without a valid key who are served, and others refused."""

    @pytest.mark.parametrize(
        ("headers", "status", "reason"),
        [
            ([], b"401", "no_key"),
            ([b"X-Credential: other"], b"401", "unknown_key"),
            ([b"X-Credential:"], b"401", "unknown_key"),
            ([b"X-Credential: desk-key", b"X-Credential: k"], b"401", "unknown_key"),
            ([b"X-Credential: desk-key"], b"200", ""),
            ([b"x-credential: desk-key", b"X-CREDENTIAL: desk-key"], b"200", ""),
        ],
    )
    def test_a_key_is_required(
        self, headers: list[bytes], status: bytes, reason: str
    ) -> None:
        rig = CallerRig()
        rig.handler.configure(version_with(1, KEYS))
        assert rig.ask(*headers) == status
        served = status == b"200"
        assert len(rig.gateway.dispatcher.sent) == served
        page = rig.metrics.render().decode()
        counted = f'sardinehook_keys_refused_total{{reason="{reason}"}} 1.0'
        assert (counted in page) is not served

    def test_an_anonymous_route_needs_no_key_and_knows_the_known(self) -> None:
        rig = CallerRig()
        rig.handler.configure(version_with(1, KEYS, anonymous=True))
        for header, stated in (
            (b"X-Credential: desk-key", [b"desk"]),
            (b"X-Credential: other", []),
            (b"X-Other: 1", []),
        ):
            assert rig.ask(header) == b"200"
            assert rig.stated == stated

    def test_without_organisations_keys_are_neither_asked_for_nor_sent(self) -> None:
        rig = CallerRig()
        rig.handler.configure(version_with(1, None))
        assert rig.ask(b"X-Credential: desk-key", b"X-Tenant-Id: desk") == b"200"
        assert rig.stated == []
        assert b"desk-key" not in rig.sent

    def test_without_a_configuration_nobody_is_told_that_a_key_is_unknown(self) -> None:
        assert CallerRig().ask(b"X-Credential: other") == b"503"

    def test_an_empty_key_in_the_configuration_belongs_to_nobody(self) -> None:
        """Guards against conflicting keys, which are read as empty, that are known."""
        keys = index_organisations([(DESK, [b""])])
        assert identify_caller(keys, False, b"", Bounds(), 0.0).failure()


class TestForgery:
    """Guards against callers that state an organisation, or hide their key's holder."""

    @pytest.mark.parametrize(
        "forged",
        [
            [b"X-Tenant-Id: mill"],
            [b"X-Tenant-Id: mill", b"X-Tenant-Id: desk"],
            [b"x-tenant-id:mill", b"X-TENANT-ID:\tmill"],
            [b"X_Tenant_Id: mill", b"X-Tenant_Id: mill"],
            [b"Connection: X-Tenant-Id", b"X-Tenant-Id: mill"],
            [b"Connection: X-Tenant-Id, X-Credential, close"],
            [b"Connection: keep-alive, x_tenant_id", b"X_Tenant_Id: mill"],
            [b"X-Other: X-Tenant-Id: mill"],
        ],
    )
    def test_replicas_get_the_holder_of_the_key_once(self, forged: list[bytes]) -> None:
        rig = CallerRig()
        rig.handler.configure(version_with(1, KEYS))
        assert rig.ask(*forged, b"X-Credential: desk-key") == b"200"
        assert rig.stated == [b"desk"]
        assert b"desk-key" not in rig.sent

    @pytest.mark.parametrize(
        "folded",
        [
            b"X-Other: a\r\n X-Tenant-Id: mill",
            b"X-Tenant-Id:\r\n mill",
            b"X-Credential: desk-key\r\n\t-and-more",
            b"X-Tenant-Id : mill",
            b"X-Other: a\rX-Tenant-Id: mill",
            b"X-Other: a\nX-Tenant-Id: mill",
            b"X-Other: a\x00X-Tenant-Id: mill",
        ],
    )
    def test_folded_and_broken_lines_are_refused(self, folded: bytes) -> None:
        rig = CallerRig()
        rig.handler.configure(version_with(1, KEYS))
        assert rig.ask(folded, b"X-Credential: desk-key") == b"400"
        assert rig.gateway.dispatcher.sent == []

    def test_trailers_neither_identify_nor_reach_a_replica(self) -> None:
        rig = CallerRig()
        rig.handler.configure(version_with(1, KEYS))
        chunked = b"Transfer-Encoding: chunked"
        body = b"\r\n1\r\nb\r\n0\r\nX-Credential: mill-key\r\nX-Tenant-Id: mill\r\n\r\n"
        assert rig.ask(chunked, rest=body) == b"401"
        assert rig.ask(chunked, b"X-Credential: desk-key", rest=body) == b"200"
        assert rig.stated == [b"desk"]
        assert b"mill" not in rig.sent

    def test_each_request_of_a_connection_has_its_own_key(self) -> None:
        rig = CallerRig()
        rig.handler.configure(version_with(1, KEYS))
        assert rig.ask(b"X-Credential: desk-key") == b"200"
        assert rig.ask(b"X-Credential: mill-key") == b"200"
        assert rig.stated == [b"mill"]
        assert rig.ask() == b"401"


class TestSecrecy:
    """Guards against keys in logs, metrics, answers and texts of objects."""

    def test_no_text_has_the_key(self) -> None:
        rig = CallerRig()
        rig.handler.configure(version_with(1, KEYS))
        with capture_logs() as lines:
            rig.ask(b"X-Credential: secret-1")
            rig.ask(b"X-Credential: desk-key", b"X-Request-Id: b")
            rig.ask(b"X-Credential: desk-key")
        shown = [str(lines), rig.wire.written().decode(), rig.metrics.render().decode()]
        request = rig.gateway.dispatcher.sent[-1].request
        assert request.credential is None
        shown.append(repr(request))
        assert not any("secret-1" in text or "desk-key" in text for text in shown)

    def test_requests_that_wait_or_are_raw_do_not_show_it(self) -> None:
        headers = ((b"X-Credential", b"secret-1"),)
        raw = HttpRequest(b"GET", b"/x?secret-1", headers, b"", 0.0)
        key = Credential(b"secret-1")
        texts = [
            repr(raw),
            str(raw),
            repr((key,)),
            str(key),
            f"{key}",
        ]
        assert not any("secret" in text for text in texts)


class TestWithdrawal:
    """Guards against withdrawn keys that are served on, in each place they may wait."""

    WITHOUT_DESK = index_organisations([(DESK, []), (MILL, [b"mill-key"])])

    def test_it_ends_on_an_open_connection_with_the_version(self) -> None:
        rig = CallerRig()
        rig.handler.configure(version_with(1, KEYS))
        assert rig.ask(b"X-Credential: desk-key") == b"200"
        rig.handler.configure(version_with(2, self.WITHOUT_DESK))
        assert rig.ask(b"X-Credential: desk-key") == b"401"
        assert rig.ask(b"X-Credential: mill-key") == b"200"

    def test_requests_that_wait_are_identified_when_they_are_released(self) -> None:
        rig = CallerRig()
        rig.handler.startup_queue.open()
        rig.connection.dataReceived(HEAD + b"X-Credential: desk-key\r\n\r\n")
        assert rig.wire.written() == b""
        rig.handler.configure(version_with(2, self.WITHOUT_DESK))
        rig.handler.startup_queue.release()
        assert rig.wire.written().startswith(b"HTTP/1.1 401")
        assert rig.gateway.dispatcher.sent == []

    def test_a_search_that_began_is_finished(self) -> None:
        rig = CallerRig()
        rig.handler.configure(version_with(1, KEYS))
        rig.connection.dataReceived(HEAD + b"X-Credential: desk-key\r\n\r\n")
        rig.handler.configure(version_with(2, self.WITHOUT_DESK))
        (exchange,) = rig.gateway.dispatcher.sent
        rig.gateway.end(exchange, good("stamp"))
        assert rig.wire.written().startswith(b"HTTP/1.1 200")


class TestDelegatedSearch:
    """Guards against keys on their way to a delegate, and organisations lost there."""

    def test_the_name_is_sent_and_the_key_is_not(self) -> None:
        narrow, wide = GatewayRig("narrow", NARROW), GatewayRig("wide", WIDE)
        made = configuration(narrow.route)
        version = Configuration(2, made.routes, made.services, made.limits, KEYS)
        for rig in (narrow, wide):
            rig.handler.configure(version)
        # The delegate knows a later version without the organisation already.
        wide.handler.configure(
            Configuration(
                3, made.routes, made.services, made.limits, Organisations({}, KEYS.keys)
            )
        )
        narrow.add_delegate()
        headers = (
            (b"Host", b"h"),
            (b"X-Request-Id", b"r-1"),
            (b"X-Credential", b"desk-key"),
        )
        narrow.handler.handle(
            HttpRequest(b"GET", b"/x/1", headers, b"", 100.0), narrow.answers.append
        )
        (connection,) = narrow.pool.opened
        assert b"desk-key" not in connection.sent
        wide.handler.handle_delegated(body_of(connection.sent), print)
        requests = [exchange.request for exchange in wide.gateway.dispatcher.sent]
        assert {request.organisation for request in requests} == {"desk"}

    def test_earlier_versions_keep_no_index_of_keys(self) -> None:
        """Guards against the memory of eight indexes of all keys."""
        rig = CallerRig()
        rig.handler.configure(version_with(1, KEYS))
        kept = rig.handler.recent_versions[1].organisations
        assert kept is not None
        assert (len(kept.keys), list(kept.by_name)) == (0, ["desk", "mill"])


class TestStrictRevocation:
    """Guards against withdrawn keys at a gateway that can't hear of it."""

    @pytest.mark.parametrize("strict", [True, False])
    def test_keys_count_while_the_store_confirms_them(self, strict: bool) -> None:
        rig = CallerRig(STRICT._replace(revocation_strict=strict))
        rig.handler.configure(version_with(1, KEYS))
        rig.handler.confirmation.confirm(rig.gateway.reactor.seconds())
        assert rig.ask(b"X-Credential: desk-key") == b"200"
        rig.gateway.reactor.advance(5.1)
        assert rig.ask(b"X-Credential: desk-key") == (b"503" if strict else b"200")
        assert (b"Retry-After: 1\r\n" in rig.wire.written()) is strict
        # A key that is unknown here may have been added since.
        assert rig.ask(b"X-Credential: new-key") == (b"503" if strict else b"401")
        rig.handler.confirmation.confirm(rig.gateway.reactor.seconds())
        assert rig.ask(b"X-Credential: desk-key") == b"200"

    def test_an_anonymous_route_is_served_without_an_organisation(self) -> None:
        rig = CallerRig(STRICT)
        rig.handler.configure(version_with(1, KEYS, anonymous=True))
        assert rig.ask(b"X-Credential: desk-key") == b"200"
        assert rig.stated == []

    def test_without_organisations_no_confirmation_is_needed(self) -> None:
        rig = CallerRig(STRICT)
        rig.handler.configure(version_with(1, None))
        assert rig.ask() == b"200"
