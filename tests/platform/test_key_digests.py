"""Keys in the operators' configuration, which leave the store client as digests."""

from __future__ import annotations

from base64 import b64encode

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful
from returns.result import Success

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.store import Changes
from sardinehook.gateway.watch_cache import decode_update
from sardinehook.platform.configuration import decode_configuration
from sardinehook.platform.key_digests import replace_keys
from sardinehook.platform.kv_store import PlatformStore
from sardinehook.transport.connection import Reply
from sardinehook.transport.tasks import start_task
from tests.gateway.fake_transport import RecordingReactor
from tests.gateway.test_follower import FollowerRig

KEYS = ["secret-1", "secret-ü", "secret-\U0001f511"]
TENANTS = [
    {"Name": "desk", "ApiKeys": KEYS[:2], "Priority": 1, "RatePerS": 2.5},
    {"Name": "mill", "ApiKeys": KEYS[2:]},
]
DOCUMENT = {"Version": 7, "Routes": [], "Services": [], "Tenants": TENANTS, "New": 1.50}
VALUE = msgspec.json.encode(DOCUMENT)


class TestReplacedKeys:
    def test_both_forms_decode_to_the_same(self) -> None:
        raw = decode_configuration(VALUE).unwrap()
        replaced = decode_configuration(replace_keys(VALUE)).unwrap()
        assert raw.organisations and replaced.organisations
        assert replaced.organisations.by_name == raw.organisations.by_name
        assert replaced.organisations.keys.holders == raw.organisations.keys.holders
        assert (replaced.version, replaced.routes) == (raw.version, raw.routes)

    def test_no_key_is_left_and_the_rest_stays(self) -> None:
        replaced = replace_keys(VALUE)
        assert b"secret" not in replaced
        assert b'"New":1.5' in replaced
        assert b'"RatePerS":2.5' in replaced

    def test_a_value_without_keys_stays_byte_for_byte(self) -> None:
        """Guards against another treatment of deployments without organisations."""
        plain = b' {"Version" : 7, "Routes":[], "Services":[], "X": 1e2}'
        assert replace_keys(plain) is plain
        replaced = replace_keys(VALUE)
        assert replace_keys(replaced) == replaced

    def test_the_change_of_a_key_changes_few_bytes(self) -> None:
        other = VALUE.replace(b"secret-1", b"secret-9")
        changed = [
            place
            for place, pair in enumerate(
                zip(replace_keys(VALUE), replace_keys(other), strict=True)
            )
            if pair[0] != pair[1]
        ]
        assert max(changed) - min(changed) < 24

    @pytest.mark.parametrize(
        "value",
        [
            b'{"Tenants":[{"ApiKeys":["secret-1"',
            b'{"Tenants":[{"Name":"a","ApiKeys":"secret-1"}]}',
            b'{"Tenants":[{"Name":"a","ApiKeys":["secret-1",4]}]}',
            b'{"Tenants":{"ApiKeys":["secret-1"]}}',
            b'["secret-1"]',
            b'{"Tenants":[{"Name":{"ApiKeys":["secret-1"]}}]}',
            b"secret-1",
            b'{"Tenants":[{"Name":"a","ApiKeys":["secret-1\xff"]}]}',
            b'{"Tenants":[{"Name":"a","ApiKeys":["secret-1\\ud800"]}]}',
            b'{"Version":7,"Tenants":[{"Name":"a","KeyDigests":["secret-1"],"ApiKeys":[]}]}',
        ],
    )
    def test_a_malformed_value_is_refused_and_not_kept(self, value: bytes) -> None:
        """Guards against keys in the cache after a slip of an operator."""
        replaced = replace_keys(value)
        assert b"secret" not in replaced
        refused = decode_configuration(replaced)
        assert not is_successful(refused)
        assert refused.failure().startswith("malformed configuration: ")
        assert not is_successful(decode_configuration(value))

    @pytest.mark.parametrize(
        "value",
        [
            b'{"Tenants":[{"Name":"a","apiKeys":["secret-1"],"ApiKey":"secret-1"}]}',
            b'{"\\u0054enants":[{"Name":"a","\\u0041piKeys":["secret-1"]}]}',
            b'{"Tenants":[{"ApiKeys":["secret-1"]}],"Tenants":[{"Name":"a"}],"A":1}',
        ],
    )
    def test_misspelled_escaped_and_repeated_fields_keep_no_key(
        self, value: bytes
    ) -> None:
        assert b"secret" not in replace_keys(value)

    @given(st.binary(max_size=80))
    def test_any_bytes_are_replaced_without_an_error(self, value: bytes) -> None:
        replaced = replace_keys(value)
        assert replace_keys(replaced) == replaced or not is_successful(
            decode_configuration(replaced)
        )


class ConfiguredStore(PlatformStore):
    """A store with one configuration."""

    value = VALUE

    async def call(self, *_arguments: object) -> object:  # type: ignore[override]
        """Return the page or the events with the configuration."""
        text = b64encode(self.value).decode()
        item = {"Key": "op/config", "Value": text, "Revision": 5}
        page = {"items": [item], "events": [item], "AsOf": 5}
        return Success(Reply(200, (), msgspec.json.encode(page)))

    def fetch(self, watches: bool) -> Changes:
        """Return what the store client returns."""
        results: list[Changes] = []

        async def read() -> None:
            result = await (self.watch("", 1, 1.0) if watches else self.read_all(""))
            results.append(result.unwrap())

        start_task(read(), lambda error: None)
        return results[0]


class TestPropagation:
    """Guards against keys in the caches of gateways and in their updates."""

    @pytest.mark.parametrize("watches", [True, False])
    def test_neither_cache_nor_changes_have_a_key(self, watches: bool) -> None:
        reactor = RecordingReactor()
        store = ConfiguredStore(reactor, "127.0.0.1:1", lambda _o, _s: None)
        rig = FollowerRig(starts=False)
        rig.follower.state.apply_changes(Changes((), 1), True)
        rig.follower.state.apply_changes(store.fetch(watches), not watches)
        assert rig.versions == [7]
        assert "secret" not in str(rig.follower.state.cache.items)
        answers: list[CallerAnswer] = []
        for after in (-1, 1, 5):
            rig.follower.relay.answer(b"after=%d" % after, answers.append)
        for answer in answers:
            assert "secret" not in str(decode_update(answer.body).unwrap())
