"""Stand-in of clients: kept connections and requests of their own ids."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from review.standins_2.deployment import Record
from review.standins_2.http import LOOPBACK, Message, read_message, request

HOST = "desk.example"


class Outcome(NamedTuple):
    """How one attempt ended; ``answer`` is ``None`` without a complete one."""

    identity: str
    sent_at: float
    ended_at: float
    answer: Message | None
    detail: str


class Client:
    """One client with a kept connection to a gateway."""

    def __init__(self, name: str, port: int, record: Record) -> None:
        self.name = name
        self.port = port
        self.record = record
        self.count = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_s: float = 15.0,
        headers: dict[str, str] | None = None,
    ) -> Outcome:
        """Send one request on the kept connection, or on a new one."""
        self.count += 1
        identity = f"{self.name}-{self.count}"
        fields = {
            "Host": HOST,
            "X-Request-Id": identity,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
            **(headers or {}),
        }
        offered = f" Upgrade: {fields['Upgrade']}" if "Upgrade" in fields else ""
        self.record.write(f"{identity} sends {method} {path} {body[:60]!r}{offered}")
        sent_at = time.monotonic()
        answer: Message | None = None
        detail = ""
        try:
            async with asyncio.timeout(deadline_s + 1.0):
                if self.writer is None or self.reader is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        LOOPBACK, self.port
                    )
                self.writer.write(request(method, path, fields, body))
                answer = await read_message(self.reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            detail = type(error).__name__
        if answer is None or answer.headers.get("connection", "") == "close":
            self.close()
        status = answer.status if answer is not None else detail
        self.record.write(f"{identity} gets {status}")
        return Outcome(identity, sent_at, time.monotonic(), answer, detail)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
