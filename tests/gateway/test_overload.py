"""Slow and overloaded replicas: queueing, refusal and replica choice."""

from __future__ import annotations

from sardinehook.gateway.interfaces import Load
from tests.gateway.support import make_gateway, search_route, shard_names
from tests.gateway.test_gather import with_replicas


class TestSlowReplicas:
    """Guards against overload of slow replicas whose twins are down."""

    def test_replica_with_a_long_queue_is_not_queried(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-a", shard)
        slow = gateway.directory.replicas["s00-a"]
        for _ in range(3):
            slow.observe_latency(30.0, gateway.reactor.seconds())
        slow.load, slow.load_at = Load(2, 12, 2), gateway.reactor.seconds()
        gateway.gather(search_route(4, least=0.75))
        gateway.answer_all()
        assert gateway.dispatcher.sent_to("s00") == []
        assert [answer.status for answer in gateway.answers] == [200]

    def test_too_many_overloaded_shards_are_refused_unsent(self) -> None:
        gateway = make_gateway()
        now = gateway.reactor.seconds()
        for shard in shard_names(4):
            replica = gateway.add(f"{shard}-a", shard)
            for _ in range(3):
                replica.observe_latency(50.0, now)
            replica.load, replica.load_at = Load(2, 12, 2), now
        gateway.gather(search_route(4, least=0.75))
        assert [answer.status for answer in gateway.answers] == [503]
        assert gateway.dispatcher.sent == []

    def test_overdue_replies_count_before_they_arrive(self) -> None:
        gateway = with_replicas(2)
        for _ in range(2):
            gateway.gather(search_route(2))
        gateway.answer_all("s00")
        first, second = gateway.dispatcher.open_at("s00")[:2]
        second.replica = first.replica
        gateway.reactor.advance(0.08)
        assert first.replica.current_slowdown(gateway.reactor.seconds()) > 1.2

    def test_one_pause_does_not_mark_a_replica_slow(self) -> None:
        gateway = with_replicas(1)
        replica = gateway.directory.replicas["s00-a"]
        now = gateway.reactor.seconds()
        for ratio in (1.0, 6.0, 1.0):
            replica.observe_latency(ratio, now)
            assert replica.current_slowdown(now) < 1.1

    def test_slow_replica_is_detected_by_its_second_slow_reply(self) -> None:
        gateway = with_replicas(1)
        replica = gateway.directory.replicas["s00-a"]
        now = gateway.reactor.seconds()
        for ratio in (1.0, 6.0, 8.0):
            replica.observe_latency(ratio, now)
        assert replica.current_slowdown(now) >= 6.0

    def test_slowness_estimate_decays(self) -> None:
        gateway = with_replicas(1)
        replica = gateway.directory.replicas["s00-a"]
        for _ in range(3):
            replica.observe_latency(20.0, gateway.reactor.seconds())
        assert replica.current_slowdown(gateway.reactor.seconds()) == 20.0
        gateway.reactor.advance(30.0)
        assert replica.current_slowdown(gateway.reactor.seconds()) < 1.1
