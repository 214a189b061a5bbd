"""Stand-in of the platform's metadata store, without limits of rates."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins_2.http import LOOPBACK, read_message, reset, response

Item = dict[str, Any]
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0


class Store:
    """Keys with revisions, leases and watches, all in memory."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 100
        self.history: list[tuple[float, Item]] = []
        self.dropped_to = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.away = False
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> None:
        """Listen, and expire leases from now on."""
        self.port = port
        await asyncio.start_server(self.serve, LOOPBACK, port, backlog=512)
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self) -> None:
        """Remove the keys of leases that have run out, and old history."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if now > until:
                    self.end_lease(lease)
            while self.history and self.history[0][0] < now - HISTORY_S:
                self.dropped_to = self.history.pop(0)[1]["Revision"]

    def end_lease(self, lease: int) -> bool:
        """End a lease; return whether there was one."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, one in self.items.items() if one["Lease"] == lease]:
            self.delete(key)
        return True

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a key; return the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "Key": key,
            "Value": base64.b64encode(data).decode(),
            "Revision": self.revision,
            "Created": known["Created"] if known else self.revision,
            "Lease": lease,
        }
        self.record(self.items[key])
        return self.revision

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            gone = {"Key": key, "Revision": self.revision, "Deleted": True}
            self.record(gone)

    def record(self, event: Item) -> None:
        """Append a change to the history and wake the watches."""
        self.history.append((time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    def set_away(self, away: bool) -> None:
        """Reset all calls from now on, or serve them again."""
        self.away = away
        if away:
            for writer in list(self.writers):
                reset(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if self.away:
                    reset(writer)
                    return
                status, body = await self.answer(message.start, message.body)
                if self.away:
                    reset(writer)
                    return
                data = json.dumps(body).encode()
                writer.write(
                    response(status, {"Content-Type": "application/json"}, data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, start: str, body: bytes) -> tuple[int, object]:
        """Answer one call."""
        method, target, _ = start.split(" ")
        path, query = urlsplit(target).path, parse_qs(urlsplit(target).query)
        fields = json.loads(body) if body else {}
        match method, path.split("/")[1:]:
            case "GET", ["kv-key"]:
                item = self.items.get(query["Key"][0])
                return (404, {}) if item is None else (200, item)
            case "GET", ["kv-range"]:
                return 200, self.page(query.get("Prefix", [""])[0], query)
            case "GET", ["kv-watch"]:
                return await self.watch(query)
            case "POST", ["kv-txn"]:
                return self.write(fields)
            case "POST", ["kv-lease"]:
                self.last_lease += 1
                ttl_s = fields["TtlMs"] / 1000.0
                self.leases[self.last_lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"Lease": self.last_lease, "TtlMs": fields["TtlMs"]}
            case "POST", ["kv-keep", number]:
                held = self.leases.get(int(number))
                if held is None:
                    return 404, {}
                self.leases[int(number)] = (held[0], time.monotonic() + held[0])
                return 200, {"TtlMs": int(held[0] * 1000)}
            case "DELETE", ["kv-lease-end", number]:
                return (200, {}) if self.end_lease(int(number)) else (404, {})
        return 400, {}

    def page(self, prefix: str, query: dict[str, list[str]]) -> Item:
        """Return one page of a listing."""
        after = query.get("after", [""])[0]
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items: list[Item] = []
        size = 0
        for key in keys:
            size += len(self.items[key]["Value"])
            if items and (len(items) == PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(self.items[key])
        more = len(items) < len(keys)
        return {"items": items, "HasMore": more, "AsOf": self.revision}

    async def watch(self, query: dict[str, list[str]]) -> tuple[int, object]:
        """Return the changes after a revision as soon as there are some."""
        after = int(query["after"][0])
        until = time.monotonic() + int(query.get("WaitMs", ["0"])[0]) / 1000.0
        while True:
            if after < self.dropped_to or after > self.revision:
                return 410, {}
            events = [one for _, one in self.history if one["Revision"] > after]
            left_s = until - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def write(self, fields: Item) -> tuple[int, object]:
        """Carry out a conditional write."""
        for one in fields["ExpectedRev"]:
            held = self.items.get(one["Key"])
            if (held["Revision"] if held else 0) != one["Revision"]:
                keys = [row["Key"] for row in fields["ExpectedRev"]]
                current = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": current}
        for one in fields["Puts"]:
            if one["Lease"] and one["Lease"] not in self.leases:
                return 404, {}
        for one in fields["Puts"]:
            self.put(one["Key"], base64.b64decode(one["Value"]), one["Lease"])
        for key in fields["Deletes"]:
            self.delete(key)
        return 200, {"Revision": self.revision}
