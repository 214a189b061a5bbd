"""Tests of the platform codecs: any input is decoded or rejected without raising."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from sardinehook.gateway.configuration import Configuration, ShardSet
from sardinehook.gateway.interfaces import CallerRequest, Header, HttpRequest
from sardinehook.gateway.organisations.organisation import Organisation
from sardinehook.platform.callers import PlatformCallers
from sardinehook.platform.configuration import decode_configuration
from sardinehook.platform.discovery import PlatformKeys
from sardinehook.platform.kv_store import (
    WireEvents,
    WireItem,
    WireLease,
    WireRange,
    WireRevision,
    check_status,
    decode,
    read_item,
)
from sardinehook.platform.replicas import PlatformReplicas
from sardinehook.platform.settings import decode_settings
from sardinehook.transport.connection import Reply

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["Version", "Routes", "Services", "Addr", "State", "born"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)

SETTINGS = """
Node = "front-a-1"
Ip = "10.1.0.9"
Zone = "a"
InternalPorts = [7380, 7395]
Seeds = ["10.1.0.9:8106"]
Unknown = 4
[Listen]
Front = "10.1.0.9:8104"
Ready = "10.1.0.9:8108"
Control = "10.1.0.9:8106"
[Bounds]
DrainMs = 4000
RetryBudgetRatio = 0.25
[platform]
Addr = "10.200.1.7:8102"
"""


class TestConfigurationCodec:
    @given(st.binary(max_size=60) | JSON.map(msgspec.json.encode))
    def test_never_raises(self, value: bytes) -> None:
        decode_configuration(value)

    def test_route_with_shard_set(self) -> None:
        route = {
            "Name": "r",
            "Host": "h",
            "Prefix": "/x/",
            "RouteType": "safe",
            "TimeoutMs": 400,
            "TargetLatencyMs": 111,
            "Priority": 2,
            "Gather": ["a", "b"],
            "MaxAttempts": 2,
            "TopK": 5,
            "MinCoverage": 0.75,
        }
        value = {"Version": 7, "Routes": [route], "Services": []}
        decoded = decode_configuration(msgspec.json.encode(value)).unwrap()
        found = decoded.find_route("h", "/x/1")
        assert found is not None
        assert found.destination == ShardSet(("a", "b"), 5, 0.75)
        assert found.objective_s == 0.111

    def test_route_without_destination_is_rejected(self) -> None:
        route = {
            "Name": "r",
            "Host": "h",
            "Prefix": "/x/",
            "RouteType": "safe",
            "TimeoutMs": 400,
            "TargetLatencyMs": 111,
        }
        value = {"Version": 7, "Routes": [route], "Services": []}
        assert not is_successful(decode_configuration(msgspec.json.encode(value)))


class TestEntryCodec:
    @given(st.binary(max_size=60) | JSON.map(msgspec.json.encode))
    def test_never_raises(self, value: bytes) -> None:
        PlatformKeys().read_replica("i-1", value)

    def test_entry_with_unknown_state_is_rejected(self) -> None:
        value = {"Service": "s", "Addr": "1.2.3.4:5", "Zone": "a", "State": "odd"}
        entry = PlatformKeys().read_replica("i-1", msgspec.json.encode(value))
        assert not is_successful(entry)


class TestSettingsCodec:
    def test_unknown_settings_are_ignored(self) -> None:
        settings = decode_settings(SETTINGS).unwrap()
        assert settings.data_centre == "a"
        assert settings.bounds.drain_s == 4.0
        assert settings.bounds.repeat_ratio == 0.25

    @given(st.text(max_size=60))
    def test_never_raises(self, text: str) -> None:
        decode_settings(text)


def request(*headers: tuple[bytes, bytes]) -> HttpRequest:
    """Return a caller's request with these headers."""
    return HttpRequest(b"GET", b"/x/1?q=1", headers, b"", 5.0)


class TestCallerCodec:
    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        raw = request(
            (b"Host", b"h:80"),
            (b"X-Request-Id", b"r-1"),
            (b"X-Deadline-Ms", b"800"),
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"X-Expect-Instance", b"i-9"),
            (b"X-Other", b"2"),
        )
        decoded = PlatformCallers().read_request(raw).unwrap()
        assert decoded.headers == ((b"X-Other", b"2"),)
        assert (decoded.host, decoded.caller_timeout_s) == ("h", 0.8)

    def test_request_with_two_host_headers_is_rejected(self) -> None:
        raw = request((b"Host", b"a"), (b"Host", b"b"), (b"X-Request-Id", b"r"))
        assert not is_successful(PlatformCallers().read_request(raw))

    @given(
        st.binary(max_size=30).map(lambda rest: b"/" + rest),
        st.lists(st.tuples(st.binary(max_size=8), st.binary(max_size=20)), max_size=4),
    )
    def test_never_raises(self, target: bytes, headers: list[Header]) -> None:
        usual = [(b"Host", b"h"), (b"X-Request-Id", b"r")]
        raw = HttpRequest(b"GET", target, (*usual, *headers), b"", 5.0)
        decoded = PlatformCallers().read_request(raw)
        if is_successful(decoded):
            assert decoded.unwrap().path.startswith("/")

    @pytest.mark.parametrize("target", [b"//[", b"//h/x/1", b"//a@[/x"])
    def test_target_is_used_as_path_only(self, target: bytes) -> None:
        headers = ((b"Host", b"h"), (b"X-Request-Id", b"r"))
        raw = HttpRequest(b"GET", target, headers, b"", 5.0)
        decoded = PlatformCallers().read_request(raw).unwrap()
        assert decoded.path == target.decode()

    def test_request_without_id_is_rejected(self) -> None:
        assert not is_successful(
            PlatformCallers().read_request(request((b"Host", b"a")))
        )


class TestStoreCodec:
    @given(st.binary(max_size=60) | JSON.map(msgspec.json.encode))
    def test_never_raises(self, body: bytes) -> None:
        for form in (WireRange, WireEvents, WireLease, WireRevision):
            decode(Reply(200, (), body), form)

    @given(st.text(max_size=20))
    def test_a_value_that_is_not_base64_is_empty(self, value: str) -> None:
        item = read_item(WireItem("k", value, 3))
        assert item.value is not None

    @given(st.integers(100, 599))
    def test_only_200_is_a_success(self, status: int) -> None:
        assert is_successful(check_status(Reply(status, (), b""))) == (status == 200)


class TestReplicaCodec:
    REQUEST = CallerRequest(
        b"r-1", b"POST", b"/x/1", "h", ((b"A", b"1"),), b"body", 0.8, 5.0
    )

    def test_request_carries_replica_id_and_remaining_time(self) -> None:
        sent = PlatformReplicas().encode_request(self.REQUEST, "i-7", 0.25)
        assert b"X-Expect-Instance: i-7\r\n" in sent
        assert b"X-Deadline-Ms: 250\r\n" in sent
        assert sent.endswith(b"Content-Length: 4\r\n\r\nbody")

    def test_reply_with_another_request_id_is_not_a_success(self) -> None:
        raw = Reply(200, ((b"x-request-id", b"r-0"), (b"x-server-stamp", b"s")), b"")
        assert not PlatformReplicas().read_reply(raw, b"r-1").is_success

    def test_content_encoded_reply_is_not_a_success(self) -> None:
        raw = Reply(
            200, ((b"x-server-stamp", b"s"), (b"content-encoding", b"gzip")), b""
        )
        assert not PlatformReplicas().read_reply(raw, b"r-1").is_success

    def test_misdirected_request_did_not_run(self) -> None:
        reply = PlatformReplicas().read_reply(Reply(421, (), b""), b"r-1")
        assert reply.not_run and reply.misdirected

    @given(st.binary(max_size=20))
    def test_a_malformed_load_is_ignored(self, value: bytes) -> None:
        raw = Reply(200, ((b"x-server-load", value),), b"")
        PlatformReplicas().read_reply(raw, b"r-1")


class TestOrganisationCodec:
    """Guards against keys or forged names of organisations that reach a replica."""

    def decode(self, **fields: object) -> Configuration:
        value = {"Version": 7, "Routes": [], "Services": [], **fields}
        return decode_configuration(msgspec.json.encode(value)).unwrap()

    def test_keys_lead_to_their_organisation(self) -> None:
        tenant = {"Name": "desk", "ApiKeys": ["k1", "k2"], "RatePerS": 9, "Burst": 4}
        found = self.decode(Tenants=[tenant]).organisations
        assert found is not None
        assert found.find(b"k2") == Organisation("desk", None, 9.0, 4.0)
        assert found.find(b"k") is None

    def test_empty_list_needs_keys_and_absent_list_does_not(self) -> None:
        assert self.decode(Tenants=[]).organisations is not None
        assert self.decode().organisations is None

    @pytest.mark.parametrize(
        "name",
        [
            b"X-Credential",
            b"x_credential",
            b"X-Tenant-Id",
            b"X_TENANT_ID",
            b"x-tenant_id",
        ],
    )
    def test_no_spelling_is_forwarded(self, name: bytes) -> None:
        raw = request((b"Host", b"h"), (b"X-Request-Id", b"r"), (name, b"forged"))
        decoded = PlatformCallers().read_request(raw).unwrap()
        assert decoded.headers == ()
        assert decoded.organisation == ""

    def test_replica_gets_the_name_that_the_gateway_found(self) -> None:
        raw = request(
            (b"Host", b"h"),
            (b"X-Request-Id", b"r"),
            (b"X-Credential", b"key"),
            (b"X-Tenant-Id", b"forged"),
        )
        decoded = PlatformCallers().read_request(raw).unwrap()
        assert decoded.credential == b"key"
        found = decoded._replace(organisation="desk")
        encoded = PlatformReplicas().encode_request(found, "i-1", 1.0)
        assert b"\r\nX-Tenant-Id: desk\r\n" in encoded
        assert b"forged" not in encoded
        assert b"key" not in encoded

    def test_several_keys_are_an_unknown_key(self) -> None:
        raw = request(
            (b"Host", b"h"),
            (b"X-Request-Id", b"r"),
            (b"X-Credential", b"k1"),
            (b"x-credential", b"k2"),
        )
        assert PlatformCallers().read_request(raw).unwrap().credential == b""
