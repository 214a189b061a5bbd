"""Requests and searches that quotas admit, refuse or keep waiting."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.fleet import GatewayRecord
from sardinehook.gateway.interfaces import CallerRequest
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.organisations.credential import Credential
from sardinehook.gateway.organisations.organisation import (
    Organisation,
    index_organisations,
)
from sardinehook.gateway.process import GatewayProcess
from sardinehook.gateway.quota.asking import DECISION_S, OPEN_S
from sardinehook.gateway.quota.gate import QuotaGate
from sardinehook.gateway.search_codec import DelegatedRequest
from sardinehook.gateway.settings import Bounds, GatewaySettings
from sardinehook.gateway.usage.exchange import UsageExchange
from sardinehook.gateway.usage.ledger import FleetLedger
from sardinehook.gateway.usage.messages import (
    Ask,
    GiveBack,
    Grant,
    decode_message,
)
from sardinehook.platform.settings import decode_settings
from sardinehook.transport.connection import Replied, Reply
from tests.gateway.support import configuration, search_route
from tests.gateway.test_delegation import (
    NARROW,
    WIDE,
    GatewayRig,
    run_delegated,
)
from tests.gateway.test_heartbeat import RecordingPort
from tests.gateway.test_process import ProcessRig
from tests.platform.test_codecs import SETTINGS as SETTINGS_FILE

DESK = Organisation("desk", None, 0.2, 1.9)  # two requests at once, a third after 5 s
SUBJECT = "quota/desk"
KEY = Credential(b"key")
REQUEST = CallerRequest(
    b"r-1", b"GET", b"/x/1", "h", (), b"", 0.8, 100.0, credential=KEY
)


class QuotaRig(GatewayRig):
    """A gateway with a quota, which is a holder of the ledger or asks one."""

    def __init__(self, node: str, record: GatewayRecord, is_holder: bool) -> None:
        super().__init__(node, record)
        reactor = self.gateway.reactor
        reactor.advance(50.0)
        self.now = reactor.seconds
        wide = GatewayRecord("", "here", "", 200.0, usage_at="10.0.0.2:9")
        self.records = {"wide": wide}
        self.ledger = FleetLedger(node, "here", 1, 5.0)
        self.ledger.holders = {"here": (node if is_holder else "wide",)}
        exchange = UsageExchange(
            reactor, self.ledger, lambda: self.records, lambda _kind: None
        )
        exchange.is_active = True
        self.port = exchange.transport = RecordingPort()
        self.exchange = exchange
        self.handler.quota = QuotaGate(
            reactor, exchange, Bounds(quota_slack=0.0), GatewayMetrics(), Random(1)
        )
        organisations = index_organisations([(DESK, [KEY])])
        self.handler.quota.configure(organisations)
        made = configuration(self.route)
        self.handler.configure(replace(made, organisations=organisations))

    def search(self) -> Any:
        """Start a caller's search of the organisation."""
        request = REQUEST._replace(received_at=self.now())
        return self.handler.route(request, self.answers.append)

    def hang_all(self) -> None:
        """Let no replica accept a connection."""
        replicas = self.gateway.directory.replicas
        self.gateway.dispatcher.hangs.update(replicas)

    @property
    def statuses(self) -> list[int]:
        """The statuses of all answers."""
        return [answer.status for answer in self.answers]

    @property
    def used(self) -> float:
        """The use that this gateway has counted."""
        return self.ledger.total(SUBJECT, 5.0, self.now())

    def sent_messages(self) -> list[Any]:
        """Return the messages that were sent to the holder."""
        return [decode_message(datagram).unwrap() for datagram, _ in self.port.sent]


class TestAtAHolder:
    """Guards against work for requests beyond a quota."""

    def test_beyond_the_quota_it_answers_429_at_once(self) -> None:
        rig = QuotaRig("wide", WIDE, True)
        for _ in range(3):
            rig.search()
        rig.gateway.answer_all()
        assert sorted(rig.statuses) == [200, 200, 429]
        (refused,) = (one for one in rig.answers if one.status == 429)
        retry_after = float(dict(refused.headers)[b"Retry-After"])
        assert 4.5 <= retry_after <= 5.2
        rig.gateway.reactor.advance(retry_after)
        rig.search()
        rig.gateway.answer_all()
        assert rig.statuses[-1] == 200

    def test_request_that_did_not_run_gives_its_quota_back(self) -> None:
        rig = QuotaRig("wide", WIDE, True)
        rig.gateway.directory.evacuated.add("here")
        rig.search()
        assert rig.statuses == [503]
        assert rig.used == 0.0

    def test_caller_that_leaves_before_anything_was_sent_uses_no_quota(self) -> None:
        rig = QuotaRig("wide", WIDE, True)
        rig.hang_all()
        rig.search().cancel()
        assert rig.used == 0.0
        request = REQUEST._replace(received_at=rig.now(), organisation="desk")
        delegated = DelegatedRequest("narrow", 1, request)
        work = rig.handler.begin_delegated(delegated, rig.answers.append)
        assert work is not None and rig.used == 1.0
        work.cancel()
        assert (rig.used, rig.sent, rig.answers) == (0.0, 0, [])
        assert (rig.handler.in_flight, rig.handler.delegated_in_flight) == (0, 0)

    def test_caller_that_leaves_after_that_has_used_its_quota(self) -> None:
        rig = QuotaRig("wide", WIDE, True)
        rig.search().cancel()
        assert rig.sent > 0
        assert rig.used == 1.0

    def test_without_an_organisation_nothing_is_counted(self) -> None:
        rig = QuotaRig("wide", WIDE, True)
        rig.configure(2)
        for _ in range(4):
            request = REQUEST._replace(received_at=rig.now())
            rig.handler.route(request, rig.answers.append)
        rig.gateway.answer_all()
        assert rig.statuses == [200] * 4
        assert rig.used == 0.0


class TestDelegatedSearches:
    """Guards against searches that are counted twice, or not at all."""

    def test_delegate_counts_and_refuses(self) -> None:
        narrow = QuotaRig("narrow", NARROW, False)
        wide = QuotaRig("wide", WIDE, True)
        narrow.add_delegate()
        for _ in range(3):
            narrow.search()
            run_delegated(narrow, wide)
            narrow.pool.opened.clear()
        assert narrow.statuses == [200, 200, 429]
        assert (narrow.sent, narrow.port.sent) == (0, [])
        assert wide.used == 2.0
        assert wide.handler.delegated_in_flight == 0

    def test_caller_leaves_before_the_search_here_has_sent_anything(self) -> None:
        narrow = QuotaRig("narrow", NARROW, False)
        narrow.hang_all()
        narrow.add_delegate()
        work = narrow.search()
        narrow.pool.opened[0].end(Replied(Reply(503, (), b"stopping")))
        (ask,) = narrow.sent_messages()
        narrow.exchange.apply(Grant(ask.id, True, 0.0), "wide", ("10.0.0.2", 9))
        work.cancel()
        assert narrow.sent_messages()[1:] == [GiveBack("narrow", 1, ask.id)]

    def test_search_that_a_delegate_did_not_take_is_admitted_here(self) -> None:
        narrow = QuotaRig("narrow", NARROW, False)
        narrow.add_delegate()
        narrow.search()
        narrow.pool.opened[0].end(Replied(Reply(503, (), b"stopping")))
        (ask,) = narrow.sent_messages()
        assert isinstance(ask, Ask) and narrow.sent == 0
        narrow.exchange.apply(
            QuotaRig("wide", WIDE, True).handler.quota.desk.answer(ask, narrow.now()),  # type: ignore[union-attr,arg-type]
            "wide",
            ("10.0.0.2", 9),
        )
        narrow.gateway.answer_all()
        assert narrow.statuses == [200]
        assert narrow.handler.in_flight == 0

    def test_caller_leaves_while_a_refused_search_waits(self) -> None:
        narrow = QuotaRig("narrow", NARROW, False)
        narrow.add_delegate()
        work = narrow.search()
        narrow.pool.opened[0].end(Replied(Reply(503, (), b"stopping")))
        work.cancel()
        assert isinstance(narrow.sent_messages()[-1], GiveBack)
        narrow.gateway.reactor.advance(1.0)
        assert (narrow.answers, narrow.handler.in_flight) == ([], 0)


class TestSearchesThatWaitForDelegates:
    """Guards against a search that is counted here and at the delegate that takes it.

    Where the deployment adapts to load, a search that was admitted here may find a
    delegate that has just started.
    """

    def test_what_was_counted_here_is_given_back(self) -> None:
        narrow = QuotaRig("narrow", NARROW, False)
        narrow.gateway.directory.replicas_state_work = True
        delegate = narrow.add_delegate()
        delegate.last_heartbeat_at = narrow.now() - 10.0
        narrow.delegates.began_at = narrow.now()
        narrow.search()
        (ask,) = narrow.sent_messages()
        assert isinstance(ask, Ask)
        grant = QuotaRig("wide", WIDE, True).handler.quota.desk.answer(ask, 150.0)  # type: ignore[union-attr]
        narrow.exchange.apply(grant, "wide", ("10.0.0.2", 9))  # type: ignore[arg-type]
        assert [type(one) for one in narrow.sent_messages()] == [Ask]
        narrow.delegates.record_heartbeat("wide", False)
        assert [type(one) for one in narrow.sent_messages()] == [Ask, GiveBack]
        assert len(narrow.pool.opened) == 1


class TestWaitingForAGrant:
    def test_caller_leaves_before_the_grant(self) -> None:
        rig = QuotaRig("narrow", NARROW, False)
        rig.search().cancel()
        assert [type(one) for one in rig.sent_messages()] == [Ask, GiveBack]
        rig.gateway.reactor.advance(1.0)
        assert (rig.answers, rig.sent) == ([], 0)

    def test_request_that_waited_for_the_configuration_asks_too(self) -> None:
        """The port is bound with the first configuration, and opens a little later."""
        rig = QuotaRig("narrow", NARROW, False)
        rig.exchange.transport, rig.exchange.is_bound = None, True
        rig.search()
        assert rig.answers == []
        rig.exchange.transport = rig.port
        rig.gateway.reactor.advance(OPEN_S)
        assert [type(one) for one in rig.sent_messages()] == [Ask]

    def test_caller_leaves_before_the_port_is_open(self) -> None:
        rig = QuotaRig("narrow", NARROW, False)
        rig.exchange.transport, rig.exchange.is_bound = None, True
        rig.search().cancel()
        rig.gateway.reactor.advance(1.0)
        assert (rig.answers, rig.exchange.reactor.getDelayedCalls()) == ([], [])

    def test_without_an_answer_it_decides_by_its_fallback_share(self) -> None:
        """Not with 429: it is not known here that the quota is used up."""
        rig = QuotaRig("narrow", NARROW, False)
        rig.search()
        rig.gateway.reactor.advance(DECISION_S / 2 + 0.001)
        rig.gateway.reactor.advance(DECISION_S / 2)
        assert rig.statuses == [503]
        assert b"quota_unknown" in rig.answers[0].body
        assert isinstance(rig.sent_messages()[-1], GiveBack)


class TestDeploymentsWithoutQuotas:
    """Guards against ports, timers and datagrams where nothing calls for them."""

    def apply(self, process: GatewayProcess, *organisations: Organisation) -> None:
        """Apply a configuration with some organisations."""
        made = configuration(search_route(2))
        process.apply_configuration(
            Configuration(
                made.version,
                made.routes,
                made.services,
                made.limits,
                index_organisations((one, ()) for one in organisations),
            )
        )

    def test_nothing_is_opened_without_a_quota(self) -> None:
        process = ProcessRig().process
        calls = len(process.reactor.getDelayedCalls())
        self.apply(process, Organisation("desk"))
        assert len(process.reactor.getDelayedCalls()) == calls
        assert not process.usage.is_open
        self.apply(process, DESK)
        assert len(process.reactor.getDelayedCalls()) == calls + 1
        self.apply(process)
        assert len(process.reactor.getDelayedCalls()) == calls

    def test_port_lies_between_the_ends_of_the_range(self) -> None:
        settings: GatewaySettings = decode_settings(SETTINGS_FILE).unwrap()
        assert settings.usage_address == "10.1.0.9:7381"
        narrow = SETTINGS_FILE.replace("7395", "7381")
        assert decode_settings(narrow).unwrap().usage_address == ""
