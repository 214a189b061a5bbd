"""A replica's entry lapses and returns while the replica wants a pause.

Run from the repository's root: ``python3 -m review.trials.forgotten_pause``.
"""

from __future__ import annotations

import asyncio
import time

from review.standins.deployment import HOST, Deployment, Replica, route, run_case
from review.standins.http import Message, answer, read_message, request

PAUSE_S = 20.0
ENTRY_GONE_AFTER_S = 2.0
ENTRY_GONE_S = 5.0
LENGTH_S = 14.0
CALLERS = 4
MAX_IN_PAUSE = 2  # by the rule


class Trial:
    """The state of one run."""

    def __init__(self) -> None:
        self.deployment = Deployment(__file__)
        self.paused_at = 0.0
        self.reached: list[float] = []

    def replica(self, number: int) -> Replica:
        """Return a replica; number 0 asks for a pause in its first answer."""

        async def handle(message: Message, writer: asyncio.StreamWriter) -> bool:
            request_id = message.headers["x-request-id"]
            headers = {"X-Request-Id": request_id}
            if number == 0:
                self.reached.append(time.monotonic())
            if number == 0 and not self.paused_at:
                self.paused_at = time.monotonic()
                headers |= {"X-Not-Executed": "1", "Retry-After": f"{PAUSE_S:.0f}"}
                writer.write(answer(503, headers, b""))
                return True
            await asyncio.sleep(0.02)
            headers["X-Server-Stamp"] = f"s-{request_id}"
            writer.write(answer(200, headers, b"x"))
            return True

        return Replica(self.deployment.store, f"i-{number}", "w", "duluth", handle)

    async def call_in_turn(self) -> None:
        """Send requests over one connection."""
        port = self.deployment.gateways[0].ports[0]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        ends_at = time.monotonic() + LENGTH_S
        while time.monotonic() < ends_at:
            request_id = f"r-{time.monotonic()}"
            headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "3000"}
            writer.write(request("GET", "/bin/1", HOST, headers))
            await read_message(reader)
            await asyncio.sleep(0.01)

    async def run(self) -> int:
        """Return 1 if more requests than the rule allows came in the pause."""
        deployment = self.deployment
        try:
            await deployment.start([route("bin", "safe", Service="w")], {"w": 48}, 1)
            replicas = [self.replica(number) for number in range(3)]
            for replica in replicas:
                await replica.start()
            if not await deployment.wait_ready():
                return 2
            calls = [asyncio.create_task(self.call_in_turn()) for _ in range(CALLERS)]
            await asyncio.sleep(ENTRY_GONE_AFTER_S)
            if deployment.trouble:
                replicas[0].silent = True
                deployment.store.delete("servers/i-0")
                await asyncio.sleep(ENTRY_GONE_S)
                replicas[0].silent = False
            await asyncio.gather(*calls)
            in_pause = sum(at > self.paused_at + 0.5 for at in self.reached)
            deployment.record.write(f"requests in the pause: {in_pause}")
            return 1 if in_pause > MAX_IN_PAUSE else 0
        finally:
            deployment.stop()


async def main() -> int:
    """Run the trial."""
    return await Trial().run()


if __name__ == "__main__":
    run_case(main)
