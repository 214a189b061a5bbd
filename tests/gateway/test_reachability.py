"""A data centre that is cut off: where work goes, who is refused."""

from __future__ import annotations

from tests.gateway.support import HERE, THERE, make_gateway, search_route, shard_names
from tests.gateway.test_gather import with_replicas


class TestCutOffDataCentre:
    """Answers the pattern: a zone is partitioned, clients still reach its gateways."""

    def test_replicas_that_pause_one_by_one_are_not_suspected(self) -> None:
        gateway = with_replicas(4)
        gateway.gather(search_route(4))
        gateway.answer_all("s00", "s01")
        gateway.reactor.advance(0.3)
        now = gateway.reactor.seconds()
        assert not gateway.directory.reachability.is_suspect(HERE, now)

    def test_work_goes_to_the_data_centre_that_answers(self) -> None:
        gateway = with_replicas(8)
        now = gateway.reactor.seconds()
        reachability = gateway.directory.reachability
        for shard in shard_names(8):
            reachability.note_sent(HERE, f"{shard}-a", now)
        gateway.reactor.advance(0.2)
        gateway.gather(search_route(8))
        places = {e.replica.entry.data_centre for e in gateway.dispatcher.sent}
        assert places == {THERE}

    def test_is_refused_at_once_when_all_replicas_are_cut_off(self) -> None:
        gateway = make_gateway()
        for shard in shard_names(4):
            gateway.add(f"{shard}-a", shard)
        now = gateway.reactor.seconds()
        reachability = gateway.directory.reachability
        for shard in shard_names(4):
            reachability.note_sent(HERE, f"{shard}-a", now)
        gateway.reactor.advance(0.2)
        assert reachability.is_suspect(HERE, gateway.reactor.seconds())
        gateway.reactor.advance(0.6)
        gateway.gather(search_route(4))
        assert [answer.status for answer in gateway.answers] == [503]
        assert gateway.dispatcher.sent == []

    def test_a_sign_of_life_ends_the_suspicion(self) -> None:
        gateway = with_replicas(4)
        now = gateway.reactor.seconds()
        reachability = gateway.directory.reachability
        for shard in shard_names(4):
            reachability.note_sent(THERE, f"{shard}-b", now)
        gateway.reactor.advance(0.2)
        assert reachability.is_suspect(THERE, gateway.reactor.seconds())
        reachability.note_heard(THERE, gateway.reactor.seconds())
        assert not reachability.is_suspect(THERE, gateway.reactor.seconds())
