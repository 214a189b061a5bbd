"""Admission of requests at a gateway: waiting, refusals, and shards left out."""

from __future__ import annotations

from random import Random

from sardinehook.errors import ErrorKind
from sardinehook.gateway.admission.fan_out import plan_under_load
from sardinehook.gateway.admission.priority import effective_priority
from sardinehook.gateway.admission.retry_delay import retry_delay_s
from sardinehook.gateway.admission.ticket_maker import organisation_weights
from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.dispatch import Answered
from sardinehook.gateway.fan_out import Ask, Refuse
from sardinehook.gateway.interfaces import CallerRequest, Load
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.organisations.organisation import (
    Organisation,
    index_organisations,
)
from sardinehook.gateway.request_handler import RequestHandler
from sardinehook.gateway.request_log import RequestLog
from sardinehook.gateway.search_codec import DelegatedRequest, decode_answer
from tests.gateway.support import (
    REQUEST,
    Gateway,
    configuration,
    good,
    make_gateway,
    reply,
    search_route,
    shard_names,
)
from tests.gateway.test_fan_out import FAST, QUEUED, SLOW, SLOW_QUEUED

QUEUE = Load(2, 8, 2, 1.0)  # longer than any request of the tests may wait


class Rig:
    """A request handler whose replicas report queues as a test says."""

    def __init__(self, adapts: bool = True, shards: int = 4) -> None:
        self.gateway: Gateway = make_gateway()
        self.gateway.directory.replicas_state_work = adapts
        self.metrics = GatewayMetrics()
        log = RequestLog(self.gateway.reactor, self.metrics)
        self.handler = RequestHandler(self.gateway.policy, log, Random(1))
        self.handler.max_delegated = 100
        self.route = search_route(shards)
        self.handler.configure(configuration(self.route))
        for shard in shard_names(shards):
            self.gateway.add(f"{shard}-a", shard)
        self.answers: list[CallerAnswer] = []

    def request(self) -> CallerRequest:
        """Return a request that arrives now."""
        return REQUEST._replace(received_at=self.gateway.reactor.seconds())

    def search(self) -> object:
        """Start a search; return what cancels it."""
        return self.handler.route(self.request(), self.answers.append)

    def end_with_queues(self, load: Load = QUEUE) -> None:
        """Answer all shards of the oldest search, which report queues."""
        for shard in self.route.destination.shards:  # type: ignore[union-attr]
            exchange = self.gateway.dispatcher.open_at(shard)[0]
            now = self.gateway.reactor.seconds()
            exchange.replica.observe_load(load, now)
            self.gateway.end(exchange, good(f"{shard}-{len(self.answers)}"))
        for replica in self.gateway.directory.replicas.values():
            replica.load = None

    def congest(self) -> None:
        """Fill the limit: two searches are in flight, and more have to wait."""
        for _ in range(3):
            self.search()
        self.gateway.reactor.advance(0.02)
        self.end_with_queues()
        assert len(self.answers) == 1


class TestWithoutContention:
    """Guards against delays where nothing contends, and changes for deployments."""

    def test_searches_start_at_once(self) -> None:
        rig = Rig()
        for _ in range(4):
            rig.search()
        assert len(rig.gateway.dispatcher.sent) == 16
        assert rig.answers == []

    def test_first_replies_with_short_queues_set_no_limit(self) -> None:
        """As after a pause of the replicas: by the assumed latency, queues are long."""
        rig = Rig(shards=80)
        for _ in range(4):
            rig.search()
        rig.gateway.reactor.advance(0.02)
        for _ in range(4):
            rig.end_with_queues(Load(2, 3, 2, 1.0))
        (lane,) = rig.handler.admission.scheduler.lanes.values()
        assert len(rig.answers) == 4
        assert not lane.is_limited

    def test_other_deployments_have_no_limits(self) -> None:
        rig = Rig(adapts=False)
        rig.congest()
        rig.search()
        assert len(rig.gateway.dispatcher.sent) == 16
        assert rig.handler.admission.by_work == {}


class TestContention:
    """Guards against searches that add to queues which already make others late."""

    def test_search_waits_and_starts_when_another_ends(self) -> None:
        rig = Rig()
        rig.congest()
        rig.search()
        assert len(rig.gateway.dispatcher.sent) == 12
        rig.end_with_queues()
        rig.gateway.reactor.advance(0.0)
        assert len(rig.gateway.dispatcher.sent) == 16
        assert rig.handler.admission.scheduler.waiting == 0

    def test_refusal_leaves_within_a_quarter_of_the_objective(self) -> None:
        rig = Rig()
        rig.congest()
        rig.search()
        rig.gateway.reactor.advance(0.049)
        answer = rig.answers[-1]
        assert answer.outcome == ErrorKind.OVERLOADED.value
        assert b"Retry-After" in dict(answer.headers)
        assert len(rig.gateway.dispatcher.sent) == 12
        assert rig.handler.in_flight == 2

    def test_caller_that_disconnects_is_forgotten(self) -> None:
        rig = Rig()
        rig.congest()
        running = rig.search()
        running.cancel()  # type: ignore[attr-defined]
        rig.gateway.reactor.advance(0.3)
        admission = rig.handler.admission
        assert len(rig.answers) == 1
        assert admission.scheduler.waiting == 0
        assert len(admission.by_work) == len(admission.works) == 2
        assert rig.handler.in_flight == 2

    def test_stop_refuses_those_that_wait(self) -> None:
        rig = Rig()
        rig.congest()
        rig.search()
        rig.handler.admission.stop()
        assert rig.answers[-1].outcome == ErrorKind.STOPPING.value

    def test_delegate_refuses_for_the_gateway_that_delegated(self) -> None:
        rig = Rig()
        rig.congest()
        delegated = DelegatedRequest("narrow", 1, rig.request())
        rig.handler.begin_delegated(delegated, rig.answers.append)
        rig.gateway.reactor.advance(0.049)
        wire = decode_answer(rig.answers[-1].body).unwrap()
        assert (wire.status, wire.outcome) == (503, ErrorKind.OVERLOADED.value)
        assert rig.handler.delegated_in_flight == 0

    def test_metrics_tell_decisions(self) -> None:
        rig = Rig()
        rig.congest()
        rig.search()
        rig.gateway.reactor.advance(0.049)
        page = rig.metrics.render().decode()
        assert 'sardinehook_admission_refused_total{reason="queue"} 1.0' in page


class TestSlowReplicas:
    """Guards against late searches while 102 of 270 replicas are slow.

    A few shards have slow replicas only, fewer than the coverage allows to leave out.
    """

    def slow_fleet(self) -> Gateway:
        gateway = make_gateway()
        gateway.directory.replicas_state_work = True
        now = gateway.reactor.seconds()
        names = [f"{shard}-{n}" for shard in shard_names(90) for n in range(3)]
        slow = set(Random(0).sample(names, 102))
        for name in names:
            replica = gateway.add(name, name.partition("-")[0])
            for _ in range(3 * (name in slow)):
                replica.observe_latency(10.0, now)
        return gateway

    def test_slow_idle_shards_are_asked_and_not_waited_for(self) -> None:
        """Each shard that is left out without need costs a part of the answer."""
        gateway = self.slow_fleet()
        gateway.gather(search_route(90, 0.95, 0.286))
        assert len(gateway.dispatcher.sent) == 90
        gateway.reactor.advance(0.01)
        for exchange in list(gateway.dispatcher.sent):
            if exchange.replica.current_slowdown(gateway.reactor.seconds()) < 2.0:
                signature = exchange.replica.replica_id.encode()
                gateway.end(exchange, Answered(reply(200, signature)))
        gateway.reactor.advance(0.27)
        assert [answer.status for answer in gateway.answers] == [200]

    def test_search_that_queues_would_make_late_takes_no_slot(self) -> None:
        gateway = self.slow_fleet()
        for replica in gateway.directory.replicas.values():
            replica.observe_load(QUEUE, gateway.reactor.seconds())
        gateway.gather(search_route(90, 0.95, 0.286))
        assert gateway.answers[0].outcome == ErrorKind.OVERLOADED.value
        assert gateway.dispatcher.sent == []

    def test_one_slow_idle_shard_does_not_hide_queues(self) -> None:
        plan = plan_under_load([FAST] * 17 + [SLOW] + [QUEUED] * 2, 18, 0.2)
        assert isinstance(plan, Refuse)
        assert plan.problem.kind is ErrorKind.OVERLOADED

    def test_slow_shards_are_asked_if_the_coverage_needs_them(self) -> None:
        plan = plan_under_load([FAST] * 16 + [SLOW_QUEUED] * 4, 18, 0.2)
        assert isinstance(plan, Ask)
        assert len(plan.positions) == 16 + 3


class TestPriorities:
    """Guards against urgency by route where an organisation states its own."""

    ORGANISATIONS = index_organisations(
        [
            (Organisation("first", 0, 10.0), [b"a"]),
            (Organisation("second", None, 30.0), [b"b"]),
            (Organisation("third", 2), [b"c"]),
        ]
    )

    def test_organisation_takes_precedence_over_the_route(self) -> None:
        rig = Rig()
        made = configuration(rig.route)
        with_organisations = type(made)(
            1, made.routes, made.services, made.limits, self.ORGANISATIONS
        )
        rig.gateway.directory.configure(with_organisations)
        policy = rig.gateway.policy
        for name, priority in (("first", 0), ("second", 1), ("third", 2), ("", 1)):
            request = REQUEST._replace(organisation=name)
            assert (
                effective_priority(with_organisations, request, rig.route) == priority
            )
            assert (policy.rate_reserve(priority, "s00") == 0.0) == (priority == 0)
        assert effective_priority(None, REQUEST, rig.route) == 1

    def test_organisations_weigh_as_their_rates(self) -> None:
        weights = organisation_weights(self.ORGANISATIONS)
        assert weights == {"first": 10.0, "second": 30.0, "third": 20.0, "": 20.0}

    def test_urgent_callers_return_first_and_not_together(self) -> None:
        random = Random(1)
        urgent = [retry_delay_s(0, 1.0, random) for _ in range(50)]
        others = [retry_delay_s(2, 1.0, random) for _ in range(50)]
        assert max(urgent) < min(others)
        assert max(urgent) - min(urgent) > 0.05
