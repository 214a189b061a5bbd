"""Recovery from a partition that resets connections.

The pattern: a data centre is cut off by resets while replicas elsewhere crash. All
replicas of some shards refuse connections, and no request leads to another attempt.
"""

from __future__ import annotations

from sardinehook.gateway.directory import MAX_PROBES
from sardinehook.transport.reactor import ConnectionEnd
from tests.gateway.fake_transport import make_transport
from tests.gateway.support import Gateway, make_gateway

REFUSED = ConnectionEnd(False, "refused")


def gateway_with_failing_replicas(count: int) -> Gateway:
    """Return a gateway whose replicas have all refused a connection."""
    gateway = make_gateway()
    for number in range(count):
        replica = gateway.add(f"desk-{number}", "desk")
        replica.pool.acquire(lambda _connection: None)
        gateway.reactor.tcpClients[-1][2].clientConnectionFailed(None, REFUSED)
    return gateway


class TestServiceWithoutReachableReplicas:
    def test_it_is_served_again_after_the_partition(self) -> None:
        gateway = gateway_with_failing_replicas(2)
        directory, reactor = gateway.directory, gateway.reactor
        assert not directory.can_serve("desk", reactor.seconds())
        reactor.advance(0.5)
        directory.probe_failing(reactor.seconds())
        for _, _, factory, _ in reactor.tcpClients[2:]:
            factory.buildProtocol(None).makeConnection(make_transport())
        assert directory.can_serve("desk", reactor.seconds())

    def test_replicas_are_left_alone_during_their_backoff(self) -> None:
        gateway = gateway_with_failing_replicas(2)
        gateway.directory.probe_failing(gateway.reactor.seconds())
        assert len(gateway.reactor.tcpClients) == 2

    def test_probes_at_once_are_bounded(self) -> None:
        gateway = gateway_with_failing_replicas(MAX_PROBES + 10)
        gateway.reactor.advance(2.0)
        before = len(gateway.reactor.tcpClients)
        gateway.directory.probe_failing(gateway.reactor.seconds())
        assert len(gateway.reactor.tcpClients) == before + MAX_PROBES
