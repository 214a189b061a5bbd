"""Callers on slow links with small windows receive their answers for some seconds.

Each gateway sets TCP_USER_TIMEOUT to 2.5 s on the connections of callers. The kernel
applies it to data that waits for a window too, and resets callers that read all along.

Run from the repository's root: ``python3 -m review.trials.slow_link``.
"""

from __future__ import annotations

import asyncio

from review.standins.deployment import (
    HOST,
    Deployment,
    Gateway,
    Replica,
    route,
    run_case,
)
from review.standins.http import Message, answer, request
from review.standins.link import Link

ANSWER_BYTES = 36_000  # the largest answer of bin-check in the site file
LINK_BYTES_PER_S = 6_000  # of a caller's link: 48 kbit/s
DEADLINE_MS = 15_000
WORK_S = 0.244
CALLERS = 4  # of each gateway
CALM_S = 5.0  # longer than StabilityMs
MAX_LOST = 3  # by the rule


class Case:
    """The state of one run."""

    def __init__(self) -> None:
        self.deployment = Deployment(__file__)
        self.record = self.deployment.record
        self.run: set[str] = set()
        self.lost: list[str] = []

    async def work(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request as a sound replica."""
        request_id = message.headers["x-request-id"]
        self.record.write(f"replica runs {request_id}")
        self.run.add(request_id)
        await asyncio.sleep(WORK_S)
        headers = {"X-Server-Stamp": f"s-{request_id}", "X-Request-Id": request_id}
        writer.write(answer(200, headers, b"x" * ANSWER_BYTES))
        self.record.write(f"replica has answered {request_id}")
        return True

    async def call_twice(self, gateway: Gateway, name: str) -> None:
        """Send two requests over one connection; the link is slow for the second."""
        link = Link(gateway.ports[0])
        for number in (1, 2):
            if number == 2 and self.deployment.trouble:
                link.bytes_per_s = LINK_BYTES_PER_S
            request_id = f"{name}-{number}"
            headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
            self.record.write(f"caller sends {request_id}")
            received = await link.ask(request("GET", "/bin/1", HOST, headers))
            self.record.write(f"caller got to {request_id}: {received}")
            if received.end != "whole":
                if number == 2 and request_id in self.run:
                    self.lost.append(request_id)
                break
            await asyncio.sleep(0.5)
        link.close()

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
            await asyncio.gather(
                *(
                    self.call_twice(gateway, f"{gateway.name}-{number}")
                    for gateway in deployment.gateways
                    for number in range(CALLERS)
                )
            )
            self.record.write(
                f"answers lost on kept connections: {len(self.lost)} of "
                f"{CALLERS * len(deployment.gateways)} (more than {MAX_LOST} break "
                f"the rule)"
            )
            return 1 if len(self.lost) > MAX_LOST else 0
        finally:
            deployment.stop()


async def main() -> int:
    """Run the case."""
    return await Case().execute()


if __name__ == "__main__":
    run_case(main)
