"""Simulated platform: in-memory key-value store and VM list, with fault injection."""

from __future__ import annotations

import argparse
import random
import sys
from collections import deque
from typing import NamedTuple, cast
from urllib.parse import unquote

import msgspec
from twisted.internet import reactor as default_reactor
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from bench.http_server import (
    ListeningReactor,
    abort_connection,
    listen,
    query_argument,
    request_body,
    send_reply,
)
from bench.platform_faults import Control, Counts, Faults, Outage, TokenBucket, VmTable
from bench.platform_state import Held, KeyValues, Refused
from sardinehook.transport.reactor import Timers

__all__ = ["Platform", "main"]

EXPIRY_INTERVAL_S = 0.02
HISTORY_MAX_CHANGES = 200_000
FAULT_KEYS = frozenset(Faults._fields)


class Change(NamedTuple):
    """A change of a key in ``GET /history``; ``deleted`` if the key was removed."""

    at_s: float
    key: str
    revision: int
    lease: str
    deleted: bool


class Reply(NamedTuple):
    """An HTTP status and the JSON data of the body; None for no body."""

    status: int
    data: object = None


class Watch(NamedTuple):
    """A pending long poll for a revision of ``key`` newer than ``after``."""

    request: Request
    key: str
    after: int


class Platform(Resource):
    """Serves the platform's HTTP interface and applies the injected faults.

    Delays, outages and rate limits apply before a call, lost replies after it.
    """

    isLeaf = True  # noqa: N815 - the name that twisted.web reads

    def __init__(self, reactor: Timers, seed: int = 0) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.reactor = reactor
        self.rng = random.Random(seed)
        self.store = KeyValues()
        self.stale_store: KeyValues | None = None
        self.faults = Faults()
        self.counts = Counts()
        self.read_limiter = TokenBucket()
        self.write_limiter = TokenBucket()
        self.vms = VmTable()
        self.watches: list[Watch] = []
        self.history: deque[Change] = deque(maxlen=HISTORY_MAX_CHANGES)
        self.expiry = LoopingCall(self.process_changes)
        self.expiry.clock = cast(IReactorTime, reactor)

    def start(self) -> None:
        """Start the timer that expires leases."""
        self.expiry.start(EXPIRY_INTERVAL_S)

    def stop(self) -> None:
        """Stop the timer that expires leases."""
        self.expiry.stop()

    def render(self, request: Request) -> int:
        """Handle a request, after the injected delay if one is set.

        Control requests are exempt from all faults.
        """
        path = unquote(request.path.decode("latin-1"))
        if path in ("/control", "/counts", "/history"):
            self.finish(request, self.handle_control_request(path, request))
            return NOT_DONE_YET
        faults = self.faults
        delay_s = (faults.delay_ms + self.rng.random() * faults.jitter_ms) / 1000
        if delay_s > 0.0:
            self.reactor.callLater(delay_s, self.admit, request, path)
        else:
            self.admit(request, path)
        return NOT_DONE_YET

    def admit(self, request: Request, path: str) -> None:
        """Apply the outage and the rate limits to a call, then serve it."""
        match self.faults.outage:
            case Outage.HANG:
                return
            case Outage.CUT:
                abort_connection(request)
                return
            case Outage.REFUSE:
                self.finish(request, Reply(503))
                return
            case Outage.NONE:
                pass
        reads = request.method == b"GET"
        limiter = self.read_limiter if reads else self.write_limiter
        rate = self.faults.reads_per_s if reads else self.faults.writes_per_s
        self.count(request, path)
        if not limiter.take(self.reactor.seconds(), rate):
            self.counts.refused += 1
            self.finish(request, Reply(429))
            return
        try:
            self.serve(request, path)
        except ValueError as error:
            self.finish(request, Reply(400, {"detail": str(error)}))

    def count(self, request: Request, path: str) -> None:
        """Count a call and its request bytes."""
        parts = path.split("/")
        kind = "watch" if parts[1] == "watch" else parts[1]
        self.counts.calls[f"{request.method.decode()} {kind}"] += 1
        if parts[1] in ("kv", "watch") and len(parts) > 2:
            self.counts.prefixes[parts[2]] += 1
        self.counts.bytes_in += len(request.uri) + int(
            request.getHeader("content-length") or 0
        )

    def serve(self, request: Request, path: str) -> None:
        """Serve a call; a lost reply still takes effect in the store."""
        self.store.expire(self.reactor.seconds())
        if path.startswith("/watch/"):
            self.watch(request, path.removeprefix("/watch/"))
            return
        reply = self.answer(request, path)
        self.process_changes()
        if (
            request.method != b"GET"
            and reply.status < 300
            and self.should_lose_reply(path)
        ):
            abort_connection(request)
            return
        self.finish(request, reply)

    def should_lose_reply(self, path: str) -> bool:
        """Whether to drop the reply to this write; consumes one of ``lose_replies``."""
        faults = self.faults
        key = path.removeprefix("/kv/")
        if faults.lose_replies < 1 or not key.startswith(faults.lose_replies_prefix):
            return False
        self.faults = faults._replace(lose_replies=faults.lose_replies - 1)
        self.counts.lost_replies += 1
        return True

    def answer(self, request: Request, path: str) -> Reply:
        """Return the reply to a call other than a watch."""
        match request.method, path.split("/", 2)[1:]:
            case b"GET", ["kv"]:
                return self.list_entries(query_argument(request, "prefix", ""))
            case b"GET", ["kv", key]:
                return self.get(key)
            case b"PUT", ["kv", key]:
                return self.put(request, key)
            case b"DELETE", ["kv", key]:
                refused = self.store.delete(
                    key, int(query_argument(request, "expect", "0"))
                )
                return Reply(409, entry(refused.current)) if refused else Reply(204)
            case b"GET", ["vms"]:
                as_of, vms = self.vms.seen(self.reactor.seconds())
                return Reply(200, {"as_of_ms": as_of * 1000, "vms": vms})
            case method, ["lease", *rest]:
                return self.lease(method, rest, request)
        return Reply(404)

    def read_state(self) -> KeyValues:
        """The state that serves reads; a snapshot while ``stale`` is set."""
        return self.stale_store or self.store

    def get(self, key: str) -> Reply:
        """Return the entry of a key, or 404."""
        held = self.read_state().held.get(key)
        return Reply(200, entry(held)) if held else Reply(404)

    def list_entries(self, prefix: str) -> Reply:
        """Return all entries whose key starts with ``prefix``."""
        return Reply(
            200, {"entries": [entry(h) for h in self.read_state().scan(prefix)]}
        )

    def put(self, request: Request, key: str) -> Reply:
        """Compare and swap a key; 409 with the current entry if it does not match."""
        expect = int(query_argument(request, "expect", "0"))
        lease = query_argument(request, "lease", "")
        match self.store.put(key, request_body(request), expect, lease):
            case Refused(current):
                return Reply(409, entry(current))
            case Held(revision=revision):
                return Reply(200, {"revision": revision})

    def lease(self, method: bytes, rest: list[str], request: Request) -> Reply:
        """Grant, renew or revoke a lease; 409 if the lease has expired."""
        now = self.reactor.seconds()
        match method, rest:
            case b"POST", []:
                ttl_s = float(query_argument(request, "ttl_ms", "1000")) / 1000
                return Reply(200, {"lease": self.store.grant(ttl_s, now)})
            case b"POST", [name] if name.endswith("/renew"):
                renewed = self.store.renew(name.removesuffix("/renew"), now)
                return Reply(204) if renewed else Reply(409)
            case b"DELETE", [name]:
                return Reply(204) if self.store.revoke(name) else Reply(409)
        return Reply(404)

    def watch(self, request: Request, key: str) -> None:
        """Answer a watch when its key has changed, or with 204 at its time-out."""
        watch = Watch(request, key, int(query_argument(request, "after", "0")))
        wait_s = float(query_argument(request, "wait_ms", "0")) / 1000
        self.watches.append(watch)
        timer = self.reactor.callLater(wait_s, self.end_watch, watch, Reply(204))

        def ended(_result: object) -> None:
            if timer.active():
                timer.cancel()
            if watch in self.watches:
                self.watches.remove(watch)

        request.notifyFinish().addBoth(ended)
        self.notify_watch(watch)

    def notify_watch(self, watch: Watch) -> None:
        """Answer a watch if its key has a newer revision."""
        held = self.read_state().held.get(watch.key)
        if held is not None and held.revision > watch.after:
            self.end_watch(watch, Reply(200, entry(held)))

    def end_watch(self, watch: Watch, reply: Reply) -> None:
        """Answer a watch at most once; during an outage, hang or abort it."""
        if watch not in self.watches or self.faults.outage is Outage.HANG:
            return
        self.watches.remove(watch)
        if self.faults.outage is Outage.NONE:
            self.finish(watch.request, reply)
        else:
            abort_connection(watch.request)

    def process_changes(self) -> None:
        """Expire leases, record the changes and notify watches."""
        self.store.expire(self.reactor.seconds())
        changed, self.store.changed = self.store.changed, set()
        for key in changed:
            self.record_change(key)
        for watch in tuple(self.watches):
            if watch.key in changed:
                self.notify_watch(watch)

    def record_change(self, key: str) -> None:
        """Append the current state of a key to the history."""
        held = self.store.held.get(key)
        revision, lease = (held.revision, held.lease) if held else (0, "")
        now = self.reactor.seconds()
        self.history.append(Change(now, key, revision, lease, held is None))

    def handle_control_request(self, path: str, request: Request) -> Reply:
        """Return the reply to ``/control``, ``/counts`` or ``/history``.

        An invalid control request gets 400 and changes nothing.
        """
        if path == "/counts":
            return Reply(200, self.counts.as_dict())
        if path == "/history":
            return Reply(200, [change._asdict() for change in self.history])
        try:
            given = msgspec.json.decode(request_body(request), type=dict[str, object])
            control = msgspec.convert(given, Control)
        except msgspec.MsgspecError as error:
            return Reply(400, {"detail": str(error)})
        unknown = sorted(given.keys() - Control.__annotations__.keys())
        if unknown:
            return Reply(
                400, {"detail": f"unknown control fields: {', '.join(unknown)}"}
            )
        self.control(control)
        return Reply(200, {})

    def control(self, control: Control) -> None:
        """Apply a control request; fields that are absent keep their value."""
        now = self.reactor.seconds()
        changes = {key: value for key, value in control.items() if key in FAULT_KEYS}
        self.faults = Faults(**{**self.faults._asdict(), **changes})
        if self.faults.stale and self.stale_store is None:
            self.stale_store = KeyValues()
            self.stale_store.held = dict(self.store.held)
        if not self.faults.stale:
            self.stale_store = None
        self.vms.lag_s = control.get("vm_lag_ms", self.vms.lag_s * 1000) / 1000
        if "vms" in control:
            self.vms.replace(now, control["vms"])
        self.vms.change(
            now, control.get("upsert_vms", []), control.get("remove_vms", [])
        )
        if control.get("reset_counts"):
            self.counts = Counts()
        if self.faults.outage in (Outage.CUT, Outage.REFUSE):
            for watch in tuple(self.watches):
                self.end_watch(watch, Reply(503))

    def finish(self, request: Request, reply: Reply) -> None:
        """Send a reply and count its bytes, unless the caller has disconnected."""
        body = b"" if reply.data is None else msgspec.json.encode(reply.data)
        self.counts.bytes_out += send_reply(request, reply.status, body)


def entry(held: Held | None) -> dict[str, object] | None:
    """The JSON data of an entry; None if the key does not exist."""
    return held._asdict() if held else None


def main(arguments: list[str]) -> None:
    """Run the simulated platform until the process is terminated."""
    parser = argparse.ArgumentParser(prog="python -m bench.platform")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args(arguments)
    reactor = cast(ListeningReactor, default_reactor)
    platform = Platform(reactor, options.seed)
    platform.start()
    port = listen(reactor, platform, options.port)
    print(f"ready port={port.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
