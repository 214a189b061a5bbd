"""Stand-in of a replica: runs requests in slots, registers itself in the store."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable

from review.standins_2.deployment import Record
from review.standins_2.http import (
    LOOPBACK,
    Message,
    read_message,
    reset,
    response,
)
from review.standins_2.store import Store

HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S  # of silence, after which an entry is removed
COLD_S = 3.0  # ColdStartS of the site
COLD_RATIO = 1.6  # of the usual work, while cold
IDLE_S = 8
stamps = itertools.count(1)


class Replica:
    """One replica; ``arrivals`` has the time, the id and the peer of each request.

    ``extra_headers`` returns further headers of each answer. ``transform`` may
    replace the bytes of an answer, or return ``None`` to reset the connection
    instead.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        zone: str,
        port: int,
        store: Store,
        record: Record,
        slots: int = 6,
        queue: int = 24,
        work_s: float = 0.244,
        max_connections: int = 48,
    ) -> None:
        self.identity = identity
        self.service = service
        self.zone = zone
        self.port = port
        self.store = store
        self.record = record
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.max_connections = max_connections
        self.state = "ready"
        self.registered = ""
        self.cold_until = 0.0
        self.stated_at: float | None = None  # the first answer with extra headers
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.arrivals: list[tuple[float, str, str]] = []
        self.runs: list[tuple[float, str, Message]] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.beat: asyncio.Task[None] | None = None
        self.extra_headers: Callable[[], dict[str, str]] = dict
        self.body: Callable[[Message], bytes] = lambda message: b"x" * 400
        self.transform: Callable[[Message, bytes], bytes | None] = keep

    async def start(self) -> None:
        """Listen and register."""
        self.server = await asyncio.start_server(
            self.serve, LOOPBACK, self.port, backlog=512
        )
        self.register()
        self.beat = asyncio.create_task(self.send_heartbeats())

    def register(self) -> None:
        """Write the entry in the store, which keeps it if only ``Seq`` would change."""
        self.sequence += 1
        written = f"servers/{self.identity}" in self.store.items
        cold_ms = int(1000 * max(0.0, self.cold_until - time.monotonic()))
        stated = f"{self.state} {cold_ms}"
        if self.store.away or (written and stated == self.registered):
            return
        self.registered = stated
        entry = {
            "Service": self.service,
            "Addr": f"{LOOPBACK}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": cold_ms,
            "Seq": self.sequence,
            "born": self.born,
        }
        self.store.put(f"servers/{self.identity}", entry)

    async def send_heartbeats(self) -> None:
        """Write the entry periodically."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def crash(self) -> None:
        """End without a word; the entry is removed after some silence."""
        if self.beat is not None:
            self.beat.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.expiry = asyncio.create_task(self.expire(self.identity))

    async def expire(self, identity: str) -> None:
        """Remove the entry of a process that has crashed."""
        await asyncio.sleep(EXPIRY_S)
        self.store.delete(f"servers/{identity}")

    async def return_cold(self) -> None:
        """Start again at the same address, under another id and cold."""
        self.identity += "n"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + COLD_S
        await self.start()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one at a time."""
        if len(self.writers) >= self.max_connections:
            reset(writer)
            return
        self.writers.add(writer)
        peer = str(writer.get_extra_info("peername")[1])
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    message = await read_message(reader)
                answer = await self.answer(message, peer, reader)
                changed = self.transform(message, answer)
                if changed is None:
                    reset(writer)
                    return
                writer.write(changed)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            return
        except asyncio.CancelledError:
            return  # the run ends
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def answer(
        self, message: Message, peer: str, reader: asyncio.StreamReader
    ) -> bytes:
        """Return the answer to one request, after running it if there is room."""
        identity = message.headers.get("x-request-id", "")
        headers = {
            "X-Request-Id": identity,
            "Keep-Alive": f"timeout={IDLE_S}",
            **self.extra_headers(),
        }
        if self.extra_headers is not dict and self.stated_at is None:
            self.stated_at = time.monotonic()
        if message.headers.get("x-expect-instance", self.identity) != self.identity:
            headers["X-Instance-Id"] = self.identity
            return response(421, headers)
        if message.start.split(" ")[1] == "/health":
            headers["X-Instance-Id"] = self.identity
            return response(200 if self.state == "ready" else 503, headers)
        now = time.monotonic()
        self.arrivals.append((now, identity, peer))
        if self.running >= self.slots and self.waiting >= self.queue:
            headers["X-Not-Executed"] = "1"
            return response(503, headers)
        deadline_s = int(message.headers.get("x-deadline-ms", "15000")) / 1000.0
        self.waiting += 1
        try:
            async with asyncio.timeout(deadline_s):
                await self.free.acquire()
        except TimeoutError:
            return response(503, {**headers, "X-Not-Executed": "1"})
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((now, identity, message))
            what = f"{' '.join(message.start.split(' ')[:2])} {message.body[:60]!r}"
            self.record.write(f"{self.identity} runs {identity}: {what}")
            left_s = deadline_s - (time.monotonic() - now)
            is_cold = time.monotonic() < self.cold_until
            work_s = self.work_s * (COLD_RATIO if is_cold else 1.0)
            await asyncio.sleep(min(work_s, max(0.0, left_s)))
        finally:
            self.running -= 1
            self.free.release()
        headers["X-Server-Stamp"] = f"{next(stamps):x}.{self.identity}"
        headers["X-Server-Load"] = f"{self.running},{self.waiting},{self.slots}"
        if work_s > left_s:
            return response(504, headers)
        return response(200, headers, self.body(message))


def keep(_message: Message, answer: bytes) -> bytes | None:
    """Return an answer as it is."""
    return answer
