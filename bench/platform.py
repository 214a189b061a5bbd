"""Stand-in of the platform: key-value service and VM list, in memory, with faults."""

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
from bench.platform_faults import Control, Counts, Faults, Outage, RateCap, VmTable
from bench.platform_state import Held, KeyValues, Refused
from sardinehook.transport.reactor import Timers

__all__ = ["Platform", "main"]

EXPIRY_INTERVAL_S = 0.02
HISTORY_CHANGES = 200_000
FAULT_KEYS = frozenset(Faults._fields)


class Change(NamedTuple):
    """A change of a key, for those who check histories; an empty state is deleted."""

    at_s: float
    key: str
    revision: int
    lease: str
    deleted: bool


class Reply(NamedTuple):
    """A status and JSON data, empty if there is no body."""

    status: int
    data: object = None


class Watch(NamedTuple):
    """A waiting watch."""

    request: Request
    key: str
    after: int


class Platform(Resource):
    """Answers the platform's HTTP; the faults are applied before and after."""

    isLeaf = True  # noqa: N815 - the name that twisted.web reads

    def __init__(self, reactor: Timers, seed: int = 0) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.reactor = reactor
        self.rng = random.Random(seed)
        self.store = KeyValues()
        self.frozen: KeyValues | None = None
        self.faults = Faults()
        self.counts = Counts()
        self.read_cap = RateCap()
        self.write_cap = RateCap()
        self.vms = VmTable()
        self.watches: list[Watch] = []
        self.history: deque[Change] = deque(maxlen=HISTORY_CHANGES)
        self.expiry = LoopingCall(self.settle)
        self.expiry.clock = cast(IReactorTime, reactor)

    def start(self) -> None:
        """Start to let leases lapse."""
        self.expiry.start(EXPIRY_INTERVAL_S)

    def stop(self) -> None:
        """Stop the timer."""
        self.expiry.stop()

    def render(self, request: Request) -> int:
        """Take a request, at once or after the delay that is set."""
        path = unquote(request.path.decode("latin-1"))
        if path in ("/control", "/counts", "/history"):
            self.finish(request, self.manage(path, request))
            return NOT_DONE_YET
        faults = self.faults
        delay_s = (faults.delay_ms + self.rng.random() * faults.jitter_ms) / 1000
        if delay_s > 0.0:
            self.reactor.callLater(delay_s, self.admit, request, path)
        else:
            self.admit(request, path)
        return NOT_DONE_YET

    def admit(self, request: Request, path: str) -> None:
        """Let a call through the outage and the rate caps."""
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
        cap = self.read_cap if reads else self.write_cap
        rate = self.faults.reads_per_s if reads else self.faults.writes_per_s
        self.count(request, path)
        if not cap.take(self.reactor.seconds(), rate):
            self.counts.refused += 1
            self.finish(request, Reply(429))
            return
        try:
            self.serve(request, path)
        except ValueError as error:
            self.finish(request, Reply(400, {"detail": str(error)}))

    def count(self, request: Request, path: str) -> None:
        """Count a call."""
        parts = path.split("/")
        kind = "watch" if parts[1] == "watch" else parts[1]
        self.counts.calls[f"{request.method.decode()} {kind}"] += 1
        if parts[1] in ("kv", "watch") and len(parts) > 2:
            self.counts.prefixes[parts[2]] += 1
        self.counts.bytes_in += len(request.uri) + int(
            request.getHeader("content-length") or 0
        )

    def serve(self, request: Request, path: str) -> None:
        """Do what a call asks."""
        self.store.expire(self.reactor.seconds())
        if path.startswith("/watch/"):
            self.watch(request, path.removeprefix("/watch/"))
            return
        reply = self.answer(request, path)
        self.settle()
        if request.method != b"GET" and reply.status < 300 and self.loses(path):
            abort_connection(request)
            return
        self.finish(request, reply)

    def loses(self, path: str) -> bool:
        """Whether the reply to this write is lost."""
        faults = self.faults
        key = path.removeprefix("/kv/")
        if faults.lose_replies < 1 or not key.startswith(faults.lose_replies_prefix):
            return False
        self.faults = faults._replace(lose_replies=faults.lose_replies - 1)
        self.counts.lost_replies += 1
        return True

    def answer(self, request: Request, path: str) -> Reply:
        """Answer a call other than a watch."""
        match request.method, path.split("/", 2)[1:]:
            case b"GET", ["kv"]:
                return self.scan(query_argument(request, "prefix", ""))
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

    def readable(self) -> KeyValues:
        """The state that reads are answered from."""
        return self.frozen or self.store

    def get(self, key: str) -> Reply:
        """Answer a read of one key."""
        held = self.readable().held.get(key)
        return Reply(200, entry(held)) if held else Reply(404)

    def scan(self, prefix: str) -> Reply:
        """Answer a read of all keys with a prefix."""
        return Reply(200, {"entries": [entry(h) for h in self.readable().scan(prefix)]})

    def put(self, request: Request, key: str) -> Reply:
        """Answer a write."""
        expect = int(query_argument(request, "expect", "0"))
        lease = query_argument(request, "lease", "")
        match self.store.put(key, request_body(request), expect, lease):
            case Refused(current):
                return Reply(409, entry(current))
            case Held(revision=revision):
                return Reply(200, {"revision": revision})

    def lease(self, method: bytes, rest: list[str], request: Request) -> Reply:
        """Answer a call about a lease."""
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
        """Answer a watch when its key has changed, or when its wait is over."""
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
        self.wake(watch)

    def wake(self, watch: Watch) -> None:
        """End a watch whose key has changed."""
        held = self.readable().held.get(watch.key)
        if held is not None and held.revision > watch.after:
            self.end_watch(watch, Reply(200, entry(held)))

    def end_watch(self, watch: Watch, reply: Reply) -> None:
        """Send the answer to a watch, once, unless an outage holds it back."""
        if watch not in self.watches or self.faults.outage is Outage.HANG:
            return
        self.watches.remove(watch)
        if self.faults.outage is Outage.NONE:
            self.finish(watch.request, reply)
        else:
            abort_connection(watch.request)

    def settle(self) -> None:
        """Let leases lapse, write the history and wake watches."""
        self.store.expire(self.reactor.seconds())
        changed, self.store.changed = self.store.changed, set()
        for key in changed:
            self.record(key)
        for watch in tuple(self.watches):
            if watch.key in changed:
                self.wake(watch)

    def record(self, key: str) -> None:
        """Write a change to the history."""
        held = self.store.held.get(key)
        revision, lease = (held.revision, held.lease) if held else (0, "")
        now = self.reactor.seconds()
        self.history.append(Change(now, key, revision, lease, held is None))

    def manage(self, path: str, request: Request) -> Reply:
        """Answer a call of the bench itself."""
        if path == "/counts":
            return Reply(200, self.counts.plain())
        if path == "/history":
            return Reply(200, [change._asdict() for change in self.history])
        try:
            given = msgspec.json.decode(request_body(request), type=dict[str, object])
            control = msgspec.convert(given, Control)
        except msgspec.MsgspecError as error:
            return Reply(400, {"detail": str(error)})
        unknown = sorted(given.keys() - Control.__annotations__.keys())
        if unknown:
            return Reply(400, {"detail": f"unknown: {', '.join(unknown)}"})
        self.control(control)
        return Reply(200, {})

    def control(self, control: Control) -> None:
        """Change faults and VMs."""
        now = self.reactor.seconds()
        changes = {key: value for key, value in control.items() if key in FAULT_KEYS}
        self.faults = Faults(**{**self.faults._asdict(), **changes})
        if self.faults.stale and self.frozen is None:
            self.frozen = KeyValues()
            self.frozen.held = dict(self.store.held)
        if not self.faults.stale:
            self.frozen = None
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
        """Send an answer, unless the caller has gone."""
        body = b"" if reply.data is None else msgspec.json.encode(reply.data)
        self.counts.bytes_out += send_reply(request, reply.status, body)


def entry(held: Held | None) -> dict[str, object] | None:
    """A key as JSON data."""
    return held._asdict() if held else None


def main(arguments: list[str]) -> None:
    """Serve until the process is told to stop."""
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
