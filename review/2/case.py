"""A planned stop while callers on slow links still receive their answers.

Each gateway waits one second after the last byte of an answer has been written, then
resets the connection, and the kernel discards what the link has not taken yet.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.deployment import (
    HOST,
    Deployment,
    Gateway,
    Replica,
    route,
    run_case,
)
from review.standins.http import Message, answer, request

ANSWER_BYTES = 36_000  # the largest answer of bin-check in the site file
LINK_BYTES_PER_S = 16_000  # of a caller's link: 128 kbit/s
PIECE_BYTES = 800
RECEIVE_BUFFER_BYTES = 2048  # small, as the windows of the links
DEADLINE_MS = 15_000
WORK_S = 0.244
CALLERS = 4
CALM_S = 5.0  # longer than StabilityMs
BEFORE_S = 0.1  # the first callers send so long before the signal,
AFTER_S = 0.5  # the others so long after it
ANSWER = b"x" * ANSWER_BYTES


class Case:
    """The state of one run."""

    def __init__(self) -> None:
        self.deployment = Deployment(__file__)
        self.record = self.deployment.record
        self.run: list[str] = []

    async def work(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request as a sound replica."""
        request_id = message.headers["x-request-id"]
        self.record.write(f"replica runs {request_id}")
        self.run.append(request_id)
        await asyncio.sleep(WORK_S)
        headers = {"X-Server-Stamp": f"s-{request_id}", "X-Request-Id": request_id}
        writer.write(answer(200, headers, ANSWER))
        self.record.write(f"replica has answered {request_id}")
        return True

    async def call(self, gateway: Gateway, request_id: str) -> bool:
        """Send a request over a slow link; return whether a whole answer came."""
        link = connect(gateway)
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
        self.record.write(f"caller sends {request_id}")
        began = time.monotonic()
        received, end = await read_slowly(link, request("GET", "/bin/1", HOST, headers))
        link.close()
        head, _, body = received.partition(b"\r\n\r\n")
        self.record.write(
            f"caller got {head[:12]!r} to {request_id} with {len(body)} of "
            f"{ANSWER_BYTES} bytes in {time.monotonic() - began:.1f} s, end: {end}"
        )
        if body == ANSWER:
            return True
        # A refusal is a whole answer too.
        return bool(head) and b" 200 " not in head[:16]

    async def execute(self) -> int:
        """Run the case and return its exit status."""
        deployment = self.deployment
        try:
            await deployment.start(
                [route("bin", "safe", Service="warehouse")], {"warehouse": 48}, 3
            )
            for number in range(5):
                await Replica(
                    deployment.store, f"i-{number}", "warehouse", "duluth", self.work
                ).start()
            if not await deployment.wait_ready():
                return 2
            await asyncio.sleep(CALM_S)
            gateway = deployment.gateways[0]
            calls = [self.start_call(gateway, f"before-{n}") for n in range(CALLERS)]
            await asyncio.sleep(BEFORE_S)
            if deployment.trouble:
                self.record.write(f"SIGTERM to {gateway.name}")
                gateway.signal(signal.SIGTERM)
            await asyncio.sleep(AFTER_S)
            calls += [self.start_call(gateway, f"after-{n}") for n in range(CALLERS)]
            whole = await asyncio.gather(*calls)
            cut = len(whole) - sum(whole)
            self.record.write(f"answers that were cut: {cut} of {len(whole)}")
            return 1 if cut else 0
        finally:
            deployment.stop()

    def start_call(self, gateway: Gateway, request_id: str) -> asyncio.Task[bool]:
        """Start one caller."""
        return asyncio.create_task(self.call(gateway, request_id))


def connect(gateway: Gateway) -> socket.socket:
    """Return a connection of a caller whose link has a small window."""
    link = socket.socket()
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    link.connect(("127.0.0.1", gateway.ports[0]))
    link.setblocking(False)
    return link


async def read_slowly(link: socket.socket, message: bytes) -> tuple[bytes, str]:
    """Send a request and read its answer at the speed of the link."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(link, message)
    received = b""
    while not received.endswith(ANSWER):
        try:
            piece = await loop.sock_recv(link, PIECE_BYTES)
        except OSError as error:
            return received, str(error)
        if not piece:
            return received, "closed"
        received += piece
        await asyncio.sleep(len(piece) / LINK_BYTES_PER_S)
    return received, "whole"


async def main() -> int:
    """Run the case."""
    return await Case().execute()


run_case(main)
