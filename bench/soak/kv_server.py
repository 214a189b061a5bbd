"""Test server with the HTTP interface of the platform's store, and fault modes."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections import deque
from copy import deepcopy
from random import Random
from typing import NamedTuple, TypedDict

import msgspec
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from bench.http_server import abort_connection, query_argument, request_body, send_reply
from bench.platform_state import Held, KeyValues, Refused
from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["KvServer"]

EXPIRY_INTERVAL_S = 0.05
PAGE_KEYS = 40  # small, so that listings span several pages
RESPONSE_DELAY_S = 0.8
LOST_REPLY_SHARE = 0.5  # of writes, in mode ``lost``
HISTORY_EVENTS = 4000
COPY_INTERVAL_S = 0.25
MAX_COPIES = 40  # ten seconds, more than the greatest age of a restored copy


class WireEvent(TypedDict, total=False):
    """An item or a change event in the encoding of the store."""

    Key: str
    Value: str
    Revision: int
    Created: int
    Lease: int
    Deleted: bool


class Copy(NamedTuple):
    """The keys and leases at a time."""

    at: float
    values: KeyValues


class Watch(NamedTuple):
    """A pending long poll for changes below a prefix after a revision."""

    request: Request
    prefix: str
    after: int


class KvServer(Resource):
    """Serves reads, watches, writes and leases; ``mode`` selects a fault.

    ``busy`` refuses calls, ``slow`` delays them, ``lost`` drops answers to completed
    writes. ``silent`` loses calls, and answers that fall due, for good: their
    connections stay open without an error. ``away`` ends all connections.
    ``expire_leases`` and ``compact`` inject the faults that happen once, and
    ``restore`` brings back an older copy.

    ``era`` is stated in all answers, unless it is 0; the store then keeps no copies.
    """

    isLeaf = True  # noqa: N815 - the name that twisted.web reads

    def __init__(self, reactor: GatewayReactor, rng: Random, era: int = 0) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.reactor = reactor
        self.rng = rng
        self.values = KeyValues()
        self.history: deque[WireEvent] = deque(maxlen=HISTORY_EVENTS)
        self.compacted_at = 0
        self.mode = ""
        self.watches: dict[Watch, None] = {}
        self.calls = 0
        self.era = era
        self.copies: deque[Copy] = deque(maxlen=MAX_COPIES)
        self.expire_periodically()
        if era:
            self.keep_copies()

    def expire_periodically(self) -> None:
        """Expire leases periodically, except in mode ``busy``."""
        if self.mode != "busy":
            self.values.expire(self.reactor.seconds())
            self.publish()
        self.reactor.callLater(EXPIRY_INTERVAL_S, self.expire_periodically)

    def keep_copies(self) -> None:
        """Keep a copy of the keys and leases periodically."""
        self.copies.append(Copy(self.reactor.seconds(), deepcopy(self.values)))
        self.reactor.callLater(COPY_INTERVAL_S, self.keep_copies)

    def leave(self) -> None:
        """End all connections, and accept no calls until ``restore``."""
        self.mode = "away"
        self.end_watches()

    def restore(self, age_s: float) -> None:
        """Come back in the next era with the latest copy of at least an age.

        Revisions and the numbers of leases are given out again.
        """
        latest = self.reactor.seconds() - age_s
        copy = next((one for one in reversed(self.copies) if one.at <= latest), None)
        self.values = deepcopy((copy or self.copies[0]).values)
        self.copies.clear()
        self.history.clear()
        self.compacted_at = self.values.revision
        self.era += 1
        self.mode = ""

    def write(self, key: str, value: bytes, lease: str = "") -> int:
        """Write a key unconditionally, as operators and replicas do."""
        held = self.values.held.get(key)
        written = self.values.put(key, value, held.revision if held else 0, lease)
        self.publish()
        return written.revision if isinstance(written, Held) else 0

    def delete(self, key: str) -> None:
        """Delete a key if it exists."""
        if key in self.values.held:
            self.values.drop(key)
            self.publish()

    def publish(self) -> None:
        """Append the changes to the history and answer the pending watches."""
        changed, self.values.changed = self.values.changed, set()
        for key in sorted(changed):
            held = self.values.held.get(key)
            gone: WireEvent = {
                "Key": key,
                "Revision": self.values.revision,
                "Deleted": True,
            }
            self.history.append(gone if held is None else encode_item(held))
        if changed:
            for watch in list(self.watches):
                self.answer_watch(watch, False)

    def compact(self) -> None:
        """Compact the history and close the connections of pending watches."""
        self.compacted_at = self.values.revision
        self.end_watches()

    def end_watches(self) -> None:
        """Close the connections of pending watches."""
        for watch in list(self.watches):
            del self.watches[watch]
            abort_connection(watch.request)

    def expire_leases(self, prefix: str) -> None:
        """Remove the keys below a prefix, as if their leases had expired."""
        for held in self.values.scan(prefix):
            self.values.drop(held.key)
        self.publish()

    def render(self, request: Request) -> int:
        """Serve a call according to the fault mode."""
        self.calls += 1
        # The body is gone once the connection is closed.
        body = request_body(request)
        if self.mode == "busy":
            self.state_era(request)
            send_reply(request, 503, b"{}")
        elif self.mode == "away":
            abort_connection(request)
        elif self.mode == "slow":
            self.reactor.callLater(RESPONSE_DELAY_S, self.serve, request, body)
        elif self.mode != "silent":
            self.serve(request, body)
        return NOT_DONE_YET

    def serve(self, request: Request, body: bytes) -> None:
        """Dispatch a call by its path."""
        path = request.path.decode()
        if path == "/kv-range":
            self.reply(request, 200, self.read_range(request))
        elif path == "/kv-watch":
            self.start_watch(request)
        elif path == "/kv-txn":
            self.write_transaction(request, body)
        elif path == "/kv-lease":
            ttl_s = msgspec.json.decode(body)["TtlMs"] / 1000.0
            name = self.values.grant(ttl_s, self.reactor.seconds())
            lease = int(name.rpartition("-")[2])
            content = {"Lease": lease, "TtlMs": int(ttl_s * 1000)}
            self.reply_to_write(request, 200, content)
        else:
            self.serve_lease(request, path)

    def serve_lease(self, request: Request, path: str) -> None:
        """Renew or revoke a lease."""
        operation, _, number = path[1:].partition("/")
        name = f"lease-{number}"
        if operation == "kv-keep":
            known = self.values.renew(name, self.reactor.seconds())
        else:
            known = self.values.revoke(name)
            self.publish()
        self.reply(request, 200 if known else 404, {})

    def read_range(self, request: Request) -> dict[str, object]:
        """Return one page of a listing."""
        after = query_argument(request, "after", "")
        held = self.values.scan(query_argument(request, "Prefix", ""))
        found = [one for one in held if one.key > after]
        return {
            "items": [encode_item(one) for one in found[:PAGE_KEYS]],
            "HasMore": len(found) > PAGE_KEYS,
            "AsOf": self.values.revision,
        }

    def start_watch(self, request: Request) -> None:
        """Answer a watch or keep it pending; 410 if its revision is unknown."""
        after = int(query_argument(request, "after", "0"))
        if not self.compacted_at <= after <= self.values.revision:
            self.reply(request, 410, {})
            return
        watch = Watch(request, query_argument(request, "Prefix", ""), after)
        self.watches[watch] = None
        self.answer_watch(watch, False)
        wait_s = int(query_argument(request, "WaitMs", "0")) / 1000.0
        self.reactor.callLater(wait_s, self.answer_watch, watch, True)

    def answer_watch(self, watch: Watch, ended: bool) -> None:
        """Answer a pending watch if it has events or its wait has ended."""
        events = [
            event
            for event in self.history
            if event["Revision"] > watch.after and event["Key"].startswith(watch.prefix)
        ]
        if watch in self.watches and (events or ended):
            del self.watches[watch]
            content = {"events": events, "AsOf": self.values.revision}
            self.reply(watch.request, 200, content)

    def write_transaction(self, request: Request, content: bytes) -> None:
        """Write the keys of a transaction if its conditions hold, else answer 412."""
        body = msgspec.json.decode(content)
        now = self.reactor.seconds()
        rows = {row["Key"]: row["Revision"] for row in body["ExpectedRev"]}
        found = {key: self.values.held.get(key) for key in rows}
        if any(
            rows[key] != (held.revision if held else 0) for key, held in found.items()
        ):
            items = [encode_item(held) for held in found.values() if held]
            self.reply(request, 412, {"items": items})
            return
        for put in body["Puts"]:
            lease = f"lease-{put['Lease']}" if put["Lease"] else ""
            held = self.values.held.get(put["Key"])
            value = b64decode(put["Value"])
            expected = held.revision if held else 0
            written = self.values.put(put["Key"], value, expected, lease)
            if isinstance(written, Refused):
                self.reply(request, 404, {})
                return
        self.values.expire(now)
        revision = self.values.revision
        self.publish()
        self.reply_to_write(request, 200, {"Revision": revision})

    def reply_to_write(self, request: Request, status: int, content: object) -> None:
        """Answer a write; in mode ``lost`` a share of the answers is dropped."""
        if self.mode == "lost" and self.rng.random() < LOST_REPLY_SHARE:
            abort_connection(request)
        else:
            self.reply(request, status, content)

    def state_era(self, request: Request) -> None:
        """Add the header with the era to an answer."""
        if self.era and not request._disconnected and not request.finished:
            request.responseHeaders.setRawHeaders("Store-Era", [str(self.era)])

    def reply(self, request: Request, status: int, content: object) -> None:
        """Send a JSON answer, unless the store is silent."""
        if self.mode == "silent":
            return
        self.state_era(request)
        send_reply(request, status, msgspec.json.encode(content))


def encode_item(held: Held) -> WireEvent:
    """Encode an item as the store does."""
    return {
        "Key": held.key,
        "Value": b64encode(held.value).decode(),
        "Revision": held.revision,
        "Created": held.revision,
        "Lease": int(held.lease.rpartition("-")[2] or 0),
    }
