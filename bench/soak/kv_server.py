"""Stand-in of the platform's store as the gateways speak to it, with faults."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections import deque
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
PAGE = 40  # keys: small, so that listings have pages
SLOW_S = 0.8
LOST_SHARE = 0.5  # of the writes, while answers are lost
HISTORY = 4000


class WireEvent(TypedDict, total=False):
    """An item, or a change of it, as the store tells it."""

    Key: str
    Value: str
    Revision: int
    Created: int
    Lease: int
    Deleted: bool


class Watch(NamedTuple):
    """A watch that waits."""

    request: Request
    prefix: str
    after: int


class KvServer(Resource):
    """Answers reads, watches, writes and leases; ``mode`` is how it misbehaves.

    ``busy`` refuses, ``slow`` delays, ``lost`` drops answers to writes that were done,
    ``lapse`` ends leases as if they had run out; ``compact`` forgets the history.
    """

    isLeaf = True  # noqa: N815 - the name that twisted.web reads

    def __init__(self, reactor: GatewayReactor, rng: Random) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.reactor = reactor
        self.rng = rng
        self.values = KeyValues()
        self.history: deque[WireEvent] = deque(maxlen=HISTORY)
        self.compacted_at = 0
        self.mode = ""
        self.watches: dict[Watch, None] = {}
        self.calls = 0
        self.tick()

    def tick(self) -> None:
        """Let leases run out."""
        if self.mode != "busy":
            self.values.expire(self.reactor.seconds())
            self.publish()
        self.reactor.callLater(EXPIRY_INTERVAL_S, self.tick)

    def write(self, key: str, value: bytes, lease: str = "") -> int:
        """Write a key unconditionally, as operators and replicas do."""
        held = self.values.held.get(key)
        written = self.values.put(key, value, held.revision if held else 0, lease)
        self.publish()
        return written.revision if isinstance(written, Held) else 0

    def delete(self, key: str) -> None:
        """Delete a key that exists."""
        if key in self.values.held:
            self.values.drop(key)
            self.publish()

    def publish(self) -> None:
        """Tell what has changed to the watches that wait."""
        changed, self.values.changed = self.values.changed, set()
        for key in sorted(changed):
            held = self.values.held.get(key)
            gone: WireEvent = {
                "Key": key,
                "Revision": self.values.revision,
                "Deleted": True,
            }
            self.history.append(gone if held is None else describe(held))
        if changed:
            for watch in list(self.watches):
                self.answer_watch(watch, False)

    def compact(self) -> None:
        """Forget the history and cut the watches."""
        self.compacted_at = self.values.revision
        for watch in list(self.watches):
            del self.watches[watch]
            abort_connection(watch.request)

    def lapse(self, prefix: str) -> None:
        """Drop the keys below a prefix, as if their leases had run out."""
        for held in self.values.scan(prefix):
            self.values.drop(held.key)
        self.publish()

    def render(self, request: Request) -> int:
        """Answer a call, in the way that the mode tells."""
        self.calls += 1
        if self.mode == "busy":
            send_reply(request, 503, b"{}")
        elif self.mode == "slow":
            self.reactor.callLater(SLOW_S, self.serve, request)
        else:
            self.serve(request)
        return NOT_DONE_YET

    def serve(self, request: Request) -> None:
        """Carry a call out."""
        path = request.path.decode()
        if path == "/kv-range":
            self.reply(request, 200, self.read_range(request))
        elif path == "/kv-watch":
            self.start_watch(request)
        elif path == "/kv-txn":
            self.write_all(request)
        elif path == "/kv-lease":
            ttl_s = msgspec.json.decode(request_body(request))["TtlMs"] / 1000.0
            name = self.values.grant(ttl_s, self.reactor.seconds())
            lease = int(name.rpartition("-")[2])
            told = {"Lease": lease, "TtlMs": int(ttl_s * 1000)}
            self.reply_to_write(request, 200, told)
        else:
            self.serve_lease(request, path)

    def serve_lease(self, request: Request, path: str) -> None:
        """Renew or end a lease."""
        operation, _, number = path[1:].partition("/")
        name = f"lease-{number}"
        if operation == "kv-keep":
            known = self.values.renew(name, self.reactor.seconds())
        else:
            known = self.values.revoke(name)
            self.publish()
        self.reply(request, 200 if known else 404, {})

    def read_range(self, request: Request) -> dict[str, object]:
        """Read one page of a listing."""
        after = query_argument(request, "after", "")
        held = self.values.scan(query_argument(request, "Prefix", ""))
        found = [one for one in held if one.key > after]
        return {
            "items": [describe(one) for one in found[:PAGE]],
            "HasMore": len(found) > PAGE,
            "AsOf": self.values.revision,
        }

    def start_watch(self, request: Request) -> None:
        """Answer a watch, or let it wait."""
        after = int(query_argument(request, "after", "0"))
        if after < self.compacted_at:
            self.reply(request, 410, {})
            return
        watch = Watch(request, query_argument(request, "Prefix", ""), after)
        self.watches[watch] = None
        self.answer_watch(watch, False)
        wait_s = int(query_argument(request, "WaitMs", "0")) / 1000.0
        self.reactor.callLater(wait_s, self.answer_watch, watch, True)

    def answer_watch(self, watch: Watch, ended: bool) -> None:
        """Answer a watch if there are events for it, or if its wait has ended."""
        events = [
            event
            for event in self.history
            if event["Revision"] > watch.after and event["Key"].startswith(watch.prefix)
        ]
        if watch in self.watches and (events or ended):
            del self.watches[watch]
            told = {"events": events, "AsOf": self.values.revision}
            self.reply(watch.request, 200, told)

    def write_all(self, request: Request) -> None:
        """Write the keys of a transaction; those of gateways have no conditions."""
        body = msgspec.json.decode(request_body(request))
        now = self.reactor.seconds()
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

    def reply_to_write(self, request: Request, status: int, told: object) -> None:
        """Answer a write, unless answers are lost."""
        if self.mode == "lost" and self.rng.random() < LOST_SHARE:
            abort_connection(request)
        else:
            self.reply(request, status, told)

    def reply(self, request: Request, status: int, told: object) -> None:
        """Answer a call."""
        send_reply(request, status, msgspec.json.encode(told))


def describe(held: Held) -> WireEvent:
    """Return an item as the store tells it."""
    return {
        "Key": held.key,
        "Value": b64encode(held.value).decode(),
        "Revision": held.revision,
        "Created": held.revision,
        "Lease": int(held.lease.rpartition("-")[2] or 0),
    }
