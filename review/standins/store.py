"""Stand-in of the platform's key-value store, sound at all times."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.http import Message, answer, read_message

EXPIRY_INTERVAL_S = 0.1


class Store:
    """Reads, watches, transactions and leases; the history is kept whole."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, list[float]] = {}
        self.changed = asyncio.Event()
        self.port = 0
        self.connections: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port and expire leases from now on."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {
            "Key": key,
            "Value": b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": lease,
        }
        self.items[key] = item
        self.record(item)

    def beat(self, key: str, entry: dict[str, Any]) -> None:
        """Write a replica's entry; it changes when more than ``Seq`` changes."""
        held = self.items.get(key)
        if held is not None:
            known = json.loads(b64decode(held["Value"]))
            if {**known, "Seq": 0} == {**entry, "Seq": 0}:
                return
        self.put(key, json.dumps(entry).encode())

    def delete(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"Key": key, "Revision": self.revision, "Deleted": True}
            self.record(event)

    def record(self, event: dict[str, Any]) -> None:
        """Append to the history and wake the watches."""
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self) -> None:
        """Remove the keys of leases that have run out."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = time.monotonic()
            for lease, (ends_at, _) in list(self.leases.items()):
                if now > ends_at:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """End a lease; return whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item["Lease"] == lease:
                self.delete(key)
        return True

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection, until it is silent."""
        self.connections.add(writer)
        try:
            while True:
                call = await read_message(reader)
                status, body = await self.handle(call)
                if writer in self.silent:
                    continue
                content = json.dumps(body).encode()
                writer.write(
                    answer(status, {"Content-Type": "application/json"}, content)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            self.connections.discard(writer)
            self.silent.discard(writer)
            writer.close()

    def silence(self) -> int:
        """Answer nothing more on the connections that are open; return how many."""
        self.silent |= self.connections
        return len(self.silent)

    async def handle(self, call: Message) -> tuple[int, object]:
        """Answer one call with a status and a body."""
        url = urlsplit(call.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        content = json.loads(call.body) if call.body else {}
        match url.path.split("/")[1:]:
            case ["kv-range"]:
                prefix, after = query.get("Prefix", ""), query.get("after", "")
                found = [
                    self.items[key]
                    for key in sorted(self.items)
                    if key.startswith(prefix) and key > after
                ]
                more = len(found) > 500
                return 200, {
                    "items": found[:500],
                    "HasMore": more,
                    "AsOf": self.revision,
                }
            case ["kv-watch"]:
                return 200, await self.watch(query)
            case ["kv-txn"]:
                return self.write(content)
            case ["kv-lease"]:
                self.revision += 1
                ttl_s = content["TtlMs"] / 1000.0
                self.leases[self.revision] = [time.monotonic() + ttl_s, ttl_s]
                return 200, {"Lease": self.revision, "TtlMs": content["TtlMs"]}
            case ["kv-keep", lease]:
                times = self.leases.get(int(lease))
                if times is None:
                    return 404, {}
                times[0] = time.monotonic() + times[1]
                return 200, {}
            case ["kv-lease-end", lease]:
                return (200 if self.end_lease(int(lease)) else 404), {}
        return 404, {}

    async def watch(self, query: dict[str, str]) -> dict[str, object]:
        """Wait for changes below a prefix."""
        after, prefix = int(query["after"]), query.get("Prefix", "")
        ends_at = time.monotonic() + int(query.get("WaitMs", "0")) / 1000.0
        while True:
            events = [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0.0:
                return {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass

    def write(self, content: dict[str, Any]) -> tuple[int, object]:
        """Apply a transaction, all or nothing."""
        for row in content.get("ExpectedRev", ()):
            held = self.items.get(row["Key"])
            if (held["Revision"] if held else 0) != row["Revision"]:
                return 412, {"items": [held] if held else []}
        for put in content.get("Puts", ()):
            if put["Lease"] and put["Lease"] not in self.leases:
                return 404, {}
        for put in content.get("Puts", ()):
            self.put(put["Key"], b64decode(put["Value"]), put["Lease"])
        for key in content.get("Deletes", ()):
            self.delete(key)
        return 200, {"Revision": self.revision}
