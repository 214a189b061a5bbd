"""Tests of the links between entry processes, on real sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from twisted.trial.unittest import TestCase

from sardinehook.fleet.link import Links
from sardinehook.messages import CancelSubQuery, Outcome, SubQuery, SubReply
from tests.fleet.support import reactor, run_turns, wait_until

LOOPBACK = "127.0.0.1:0"


def sub_query(number: int) -> SubQuery:
    return SubQuery(number, "r", "counters-1", "counters-1a", 0, 0, 90.0, 5, "", b"{}")


class Recorder:
    """Records the messages and lost links reported by the links of one node."""

    def __init__(self, node: str) -> None:
        self.links = Links(reactor, node, LOOPBACK)
        self.queries: list[tuple[str, SubQuery]] = []
        self.replies: list[tuple[str, SubReply]] = []
        self.lost: list[str] = []
        self.links.on(SubQuery, lambda node, query: self.queries.append((node, query)))
        self.links.on(SubReply, lambda node, reply: self.replies.append((node, reply)))
        self.links.on_down(self.lost.append)


@asynccontextmanager
async def connected_pair() -> AsyncIterator[tuple[Recorder, Recorder]]:
    one, two = Recorder("e1"), Recorder("e2")
    await one.links.listen()
    address = await two.links.listen()
    one.links.connect("e2", address)
    await wait_until(lambda: one.links.connected("e2") and two.links.connected("e1"))
    try:
        yield one, two
    finally:
        await one.links.close()
        await two.links.close()


class TestExchange(TestCase):
    async def test_request_and_reply_share_a_connection(self) -> None:
        async with connected_pair() as (one, two):
            assert one.links.send("e2", sub_query(1))
            await wait_until(lambda: two.queries != [])
            assert two.queries == [("e1", sub_query(1))]
            reply = SubReply(1, Outcome.ANSWERED, 4, 1, 0.1, 2.0, True, "", b"[]")
            assert two.links.send("e1", reply)
            await wait_until(lambda: one.replies != [])
            assert one.replies == [("e2", reply)]

    async def test_messages_of_one_reactor_turn_share_a_frame(self) -> None:
        async with connected_pair() as (one, two):
            frames: list[int] = []
            two.links.observe_stamp = frames.append
            for number in range(100):
                one.links.send("e2", sub_query(number))
            await wait_until(lambda: len(two.queries) == 100)
            assert len(frames) == 1

    async def test_send_without_a_live_link_is_refused(self) -> None:
        one = Recorder("e1")
        assert not one.links.send("e2", CancelSubQuery(1))
        await one.links.close()


class TestLoss(TestCase):
    async def test_lost_link_is_reported_and_replaced(self) -> None:
        async with connected_pair() as (one, two):
            two.links.live_links["e1"][0].tcp.abortConnection()
            await wait_until(lambda: one.lost == ["e2"])
            assert not one.links.connected("e2")
            await wait_until(lambda: one.links.connected("e2"))

    async def test_peer_with_an_unexpected_name_is_rejected(self) -> None:
        async with connected_pair() as (one, two):
            one.links.connect("e3", two.links.address)
            await run_turns()
            assert not one.links.connected("e3")

    async def test_close_flushes_queued_messages(self) -> None:
        async with connected_pair() as (one, two):
            for number in range(500):
                one.links.send("e2", sub_query(number))
            await one.links.close()
            await wait_until(lambda: len(two.queries) == 500)
