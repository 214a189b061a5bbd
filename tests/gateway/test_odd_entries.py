"""Entries of other writers in the store, which decode to nothing usable."""

from __future__ import annotations

import msgspec
import pytest
from structlog.testing import capture_logs

from sardinehook.gateway.configuration import TrafficSplit, WeightedService
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayRecord
from sardinehook.gateway.interfaces import CallerRequest, ReplicaEntry
from sardinehook.gateway.store import Item
from sardinehook.platform.replicas import PlatformReplicas
from tests.gateway.support import (
    REQUEST,
    Gateway,
    configuration,
    make_gateway,
    single_route,
)
from tests.gateway.test_follower import FollowerRig, replica, version

DEEP = b"[" * 100_000
ENTRY = msgspec.json.decode(replica("x", 4).value or b"")
NUMBERS = (
    b"1e400",
    b"-1e400",
    b"1" + b"0" * 400,
    b"9" * 5000,
    b"-1",
    b"1e308",
    b"null",
)
ADDRESSES = (
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:-1",
    "10.0.0.9:+80",
    "10.0.0.9: 80",
    "10.0.0.9:8_0",
    "10.0.0.9:٨٠",
    "10.0.0.9:" + "9" * 5000,
    "10.0.0.9",
    ":80",
    "host.example:80",
    "300.0.0.1:80",
    "[::1]:80",
    "10.0.0.9\r\nX: 1:80",
    "",
)


def with_number(field: str, number: bytes) -> bytes:
    """Return an entry in which one field has the number as it is written."""
    marked = msgspec.json.encode({**ENTRY, field: "NUMBER"})
    return marked.replace(b'"NUMBER"', number)


ODD_VALUES = [
    b"",
    b"\xff\xfe\x00",
    b"null",
    b"[]",
    b'"' + b"a" * 100_000 + b'"',
    DEEP,
    b'{"a":' * 100_000,
    b'{"Service": ' + DEEP,
    *[
        with_number(f, n)
        for f in ("Slots", "Seq", "ColdLeftMs", "born")
        for n in NUMBERS
    ],
    *[msgspec.json.encode({**ENTRY, "Addr": address}) for address in ADDRESSES],
    *[msgspec.json.encode({**ENTRY, name: 4}) for name in ("Service", "Addr", "Zone")],
    msgspec.json.encode({**ENTRY, "State": "leaving"}),
    msgspec.json.encode({**ENTRY, "Service": ""}),
]
ODD_KEYS = [
    "servers/",
    "servers/\r\nX-Evil: 1",
    "servers/数",
    "servers/a b",
    "op/evacuate/",
    "op/evacuate/" + "z" * 200,
    "op/unknown",
    GATEWAY_PREFIX,
    "",
]
RECORDS = [
    GatewayRecord("no address", "here"),
    GatewayRecord("10.0.0.2:99999", "here"),
    GatewayRecord("host.example:80", "here"),
    GatewayRecord("10.0.0.2:80", "here", "10.0.0.2:x"),
    GatewayRecord("10.0.0.2:80", "here", "", -1.0),
]


def follow(*items: Item) -> tuple[FollowerRig, list[str]]:
    """List odd items and then a change; return the rig and the errors logged."""
    rig = FollowerRig()
    with capture_logs() as lines:
        rig.store.answer(5, replica("good", 3), version(1, 3), *items)
        rig.pass_pauses()
        rig.store.answer(
            6, version(2, 6), *[item._replace(revision=6) for item in items]
        )
        rig.pass_pauses()
    errors = [line["detail"] for line in lines if line["event"] == "unhandled_error"]
    return rig, errors


class TestOddValues:
    """One odd entry must neither end the process nor the following of the store.

    Guards against processes that ended again and again on a deeply nested entry, on a
    number that is too large, or on a port out of range.
    """

    @pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: str(value[:40]))
    @pytest.mark.parametrize(
        "key", ["servers/x", "op/evacuate/x", f"{GATEWAY_PREFIX}x", "other"]
    )
    def test_odd_value_is_ignored_alone(self, key: str, value: bytes) -> None:
        rig, errors = follow(Item(key, value, 4))
        assert errors == []
        assert rig.store.calls[-1] == "watch 6"
        assert rig.versions == [1, 2]
        assert [r.replica_id for r in rig.directory.replicas_of("desk")] == ["good"]

    @pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: str(value[:40]))
    def test_odd_configuration_is_refused(self, value: bytes) -> None:
        rig = FollowerRig()
        with capture_logs() as lines:
            rig.store.answer(5, replica("good", 3), Item("op/config", value, 4))
            rig.pass_pauses()
        assert "unhandled_error" not in [line["event"] for line in lines]
        assert rig.store.calls[-1] == "watch 5"
        assert rig.versions == []


class TestOddKeys:
    @pytest.mark.parametrize("key", ODD_KEYS)
    def test_odd_key_is_ignored_alone(self, key: str) -> None:
        rig, errors = follow(replica("x", 4)._replace(key=key))
        assert errors == []
        assert rig.versions == [1, 2]
        for entry in rig.directory.replicas.values():
            request: CallerRequest = REQUEST
            encoded = PlatformReplicas().encode_request(request, entry.replica_id, 1.0)
            assert b"X-Evil" not in encoded


class TestOddRecords:
    @pytest.mark.parametrize("record", RECORDS, ids=str)
    def test_record_without_usable_addresses_is_ignored(
        self, record: GatewayRecord
    ) -> None:
        item = Item(GATEWAY_PREFIX + "x", msgspec.json.encode(record), 4)
        rig, errors = follow(item)
        assert errors == []
        assert rig.versions == [1, 2]
        assert "x" not in rig.fleet.records


class TestAddressesOfLiveReplicas:
    """An entry of a service that no configuration names, at the address of a replica.

    Guards against a service all of whose replicas were given up for such entries.
    """

    def rig(self) -> Gateway:
        gateway = make_gateway()
        gateway.directory.configure(configuration(single_route(idempotent=False)))
        gateway.add("live", "desk")
        return gateway

    def claim(self, gateway: Gateway, service: str) -> ReplicaEntry:
        """Register another replica at the address of the live one."""
        live = gateway.directory.replicas["live"].entry
        entry = live._replace(replica_id="other", service=service)
        gateway.directory.put(entry, gateway.reactor.seconds())
        return entry

    def test_the_replica_stays_in_use(self) -> None:
        gateway = self.rig()
        self.claim(gateway, "inventory")
        gateway.call(single_route(idempotent=False), "desk")
        assert [e.replica.replica_id for e in gateway.dispatcher.sent] == ["live"]

    def test_the_replica_stays_in_use_when_the_entry_is_gone(self) -> None:
        gateway = self.rig()
        self.claim(gateway, "inventory")
        gateway.directory.deregister("other", gateway.reactor.seconds())
        gateway.reactor.advance(10.0)
        gateway.directory.sweep(gateway.reactor.seconds())
        gateway.call(single_route(idempotent=False), "desk")
        assert [e.replica.replica_id for e in gateway.dispatcher.sent] == ["live"]

    def test_a_service_that_is_named_takes_the_address_over(self) -> None:
        gateway = self.rig()
        self.claim(gateway, "s00")
        assert set(gateway.directory.replicas) == {"other"}

    def test_a_service_that_is_named_later_takes_the_address_over_then(self) -> None:
        gateway = self.rig()
        self.claim(gateway, "inventory")
        assert set(gateway.directory.replicas) == {"live", "other"}
        destination = TrafficSplit((WeightedService("inventory", 1.0),))
        later = single_route(idempotent=False)._replace(destination=destination)
        gateway.directory.configure(configuration(later))
        assert set(gateway.directory.replicas) == {"other"}
