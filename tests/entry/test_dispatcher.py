"""Tests of the sub-query dispatcher."""

from __future__ import annotations

from collections.abc import Callable

from sardinehook.entry.dispatcher import Dispatcher, IndexedReplica
from sardinehook.environment.document import Index, Replica
from sardinehook.messages import CancelSubQuery, Outcome, SubQuery, SubReply

HERE = Replica("r-here", "duluth", "127.0.0.1:1")
THERE = Replica("r-there", "marquette", "127.0.0.1:2")
ORPHAN = Replica("r-orphan", "traverse", "127.0.0.1:3")
INDEX = Index(2, 25, 6.0, {"s": [HERE, THERE, ORPHAN]})
OWNERS = {"r-here": ("e1",), "r-there": ("e2", "e3")}


class FakeDirectory:
    """A directory backed by ``OWNERS``."""

    def candidates_of(self, replica: Replica) -> tuple[str, ...]:
        return OWNERS.get(replica.name, ())


class FakeLinks:
    """Records sent messages; sending on a link that is down fails."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []
        self.up = {"e2", "e3"}

    def send(self, node: str, message: SubQuery | SubReply | CancelSubQuery) -> bool:
        if node in self.up:
            self.sent.append((node, message))
        return node in self.up


class FakeOwner:
    """Records submitted and cancelled sub-queries."""

    def __init__(self) -> None:
        self.replies: dict[int, Callable[[SubReply], None]] = {}
        self.cancelled: list[int] = []

    def submit(
        self, sender: str, sub_query: SubQuery, reply: Callable[[SubReply], None]
    ) -> None:
        self.replies[sub_query.sub_query_id] = reply

    def cancel(self, sender: str, sub_query_id: int) -> None:
        self.cancelled.append(sub_query_id)


class Fixture:
    """A dispatcher on node e1 with fakes, recording the delivered replies."""

    def __init__(self) -> None:
        self.links = FakeLinks()
        self.owner = FakeOwner()
        self.dispatcher = Dispatcher("e1", FakeDirectory(), self.links, self.owner)
        self.dispatcher.configure(
            {one.name: IndexedReplica(one, INDEX) for one in (HERE, THERE, ORPHAN)}
        )
        self.replies: list[SubReply] = []

    def send(self, number: int, replica: str) -> SubQuery:
        sub_query = SubQuery(number, "q", "s", replica, 0, 0, 100.0, 5, "", b"{}")
        self.dispatcher.send(sub_query, self.replies.append)
        return sub_query


def answered(number: int) -> SubReply:
    return SubReply(number, Outcome.ANSWERED, 1, 1, 0.0, 1.0, True, "", b"{}")


class TestSending:
    def test_local_replica_is_served_locally(self) -> None:
        fixture = Fixture()
        fixture.send(1, "r-here")
        fixture.owner.replies[1](answered(1))
        assert [reply.outcome for reply in fixture.replies] == [Outcome.ANSWERED]
        assert fixture.links.sent == []

    def test_remote_replica_is_sent_over_the_link(self) -> None:
        fixture = Fixture()
        sub_query = fixture.send(1, "r-there")
        assert fixture.links.sent == [("e2", sub_query)]

    def test_replica_without_owner_is_not_run(self) -> None:
        fixture = Fixture()
        fixture.send(1, "r-orphan")
        assert [(one.outcome, one.began) for one in fixture.replies] == [
            (Outcome.NOT_RUN, False)
        ]

    def test_unknown_replica_is_not_run(self) -> None:
        fixture = Fixture()
        fixture.send(1, "r-unheard-of")
        assert fixture.replies[0].outcome is Outcome.NOT_RUN

    def test_send_on_a_down_link_is_not_run(self) -> None:
        fixture = Fixture()
        fixture.links.up = set()
        fixture.send(1, "r-there")
        assert [(one.outcome, one.began) for one in fixture.replies] == [
            (Outcome.NOT_RUN, False)
        ]

    def test_deputy_is_used_if_owner_is_unreachable(self) -> None:
        fixture = Fixture()
        fixture.links.up = {"e3"}
        sub_query = fixture.send(1, "r-there")
        assert fixture.links.sent == [("e3", sub_query)]


class TestReplies:
    def test_duplicate_reply_is_dropped(self) -> None:
        fixture = Fixture()
        fixture.send(1, "r-there")
        fixture.dispatcher.on_reply("e2", answered(1))
        fixture.dispatcher.on_reply("e2", answered(1))
        assert len(fixture.replies) == 1

    def test_reply_from_another_node_is_dropped(self) -> None:
        fixture = Fixture()
        fixture.send(1, "r-there")
        fixture.dispatcher.on_reply("e4", answered(1))
        assert fixture.replies == []

    def test_lost_link_makes_the_outcome_unknown(self) -> None:
        fixture = Fixture()
        fixture.send(1, "r-there")
        fixture.send(2, "r-here")
        fixture.dispatcher.on_link_down("e2")
        assert [(one.outcome, one.began) for one in fixture.replies] == [
            (Outcome.CONNECTION_LOST, True)
        ]

    def test_reply_after_cancellation_is_dropped(self) -> None:
        fixture = Fixture()
        fixture.send(1, "r-there")
        fixture.send(2, "r-here")
        fixture.dispatcher.cancel(1)
        fixture.dispatcher.cancel(2)
        fixture.dispatcher.on_reply("e2", answered(1))
        assert fixture.replies == []
        assert fixture.links.sent[-1] == ("e2", CancelSubQuery(1))
        assert fixture.owner.cancelled == [2]
