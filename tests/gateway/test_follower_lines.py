"""Log lines about replicas and gateways read from the store."""

from __future__ import annotations

import msgspec
from structlog.testing import capture_logs

from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayRecord
from sardinehook.gateway.store import Item
from sardinehook.observe.events import MAX_VALUE_CHARACTERS
from sardinehook.observe.rate_limited_stream import BURST_LINES
from tests.gateway.test_follower import FollowerRig, peer_address, replica


def gateway_record(name: str, revision: int) -> Item:
    """Make the record of a gateway."""
    value = msgspec.json.encode(GatewayRecord(peer_address(name), "here"))
    return Item(f"{GATEWAY_PREFIX}{name}", value, revision)


class TestLogLines:
    """A large listing must not use up the burst of lines that the log accepts.

    At the start, each registered replica and gateway is new at once.
    """

    def test_large_listing_uses_few_lines(self) -> None:
        rig = FollowerRig()
        replicas = [replica(f"i-{n:08x}", 5, port=n + 1) for n in range(4300)]
        gateways = [gateway_record(f"front-somewhere-{n}", 5) for n in range(550)]
        with capture_logs() as lines:
            rig.store.answer(5, *replicas, *gateways)
        assert len(lines) < BURST_LINES / 1.5
        text = " ".join(line.get("detail", "") for line in lines)
        assert all(item.key.rpartition("/")[2] in text for item in replicas)
        assert all(item.key.rpartition("/")[2] in text for item in gateways)
        assert all(
            len(line.get("detail", "")) <= MAX_VALUE_CHARACTERS for line in lines
        )

    def test_replicas_that_all_leave_and_return_share_lines(self) -> None:
        rig = FollowerRig()
        replicas = [replica(f"i-{n:08x}", 5, port=n + 1) for n in range(4300)]
        rig.store.answer(5, *replicas)
        with capture_logs() as lines:
            rig.pass_pauses()
            rig.store.answer(6, *[Item(item.key, None, 6) for item in replicas])
            rig.pass_pauses()
            rig.store.answer(7, *[item._replace(revision=7) for item in replicas])
        assert {line.get("state") for line in lines} == {
            "left discovery",
            "registered again",
        }
        assert len(lines) < BURST_LINES

    def test_few_new_replicas_get_a_line_each(self) -> None:
        rig = FollowerRig()
        with capture_logs() as lines:
            rig.store.answer(5, replica("a", 5, port=1), replica("b", 5, port=2))
        targets = [line["target"] for line in lines if line["event"] == "target_state"]
        assert targets == ["a", "b"]
