"""Replicas of one service hand out wrong bytes in a few answers, for 5.5 seconds.

Five in a hundred answers of two of four replicas carry a load report whose number has
400 digits. Each gateway that has read one can no longer choose a replica of that
service: it closes the connections of callers without an answer, also long after the
replicas are sound again.
"""

from __future__ import annotations

import asyncio
import random
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
from review.standins.http import Message, answer, read_message, request

STABILITY_S = 4.0
CALM_S = 6.0  # longer than StabilityMs
GARBLE_S = 5.5
GARBLED_SHARE = 0.05  # of the answers of a replica; the site file's largest
REPLICAS = 4  # of each service, of which
GARBLING = 2  # hand out wrong bytes; the site file's largest share is 0.6
WRONG_LOAD = "9" * 400 + ",0,6"
SOUND_LOAD = "1,0,6"
STEADY_S = 20.0
CALLERS = 4  # of each route and gateway
PAUSE_S = 0.1
WORK_S = 0.05
MIN_REQUESTS = 20  # by the rule, on routes that were added later
MIN_RATIO = 0.25  # by the rule, of the first routes' share of served requests
LIMITS = {"warehouse": 48, "scheduling": 48}
FIRST = route("bin", "safe", Service="warehouse")
LATER = route("plan", "safe", Service="scheduling")


class Count:
    """Requests of one route in steady state."""

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0
        self.closed = 0

    @property
    def share(self) -> float:
        """The share that was served."""
        return self.served / max(1, self.sent)


class Case:
    """The state of one run."""

    def __init__(self) -> None:
        self.deployment = Deployment(__file__)
        self.record = self.deployment.record
        self.garbling = False
        self.garbled = 0
        self.steady_at = float("inf")
        self.ends_at = float("inf")
        self.counts = {"bin": Count(), "plan": Count()}

    def replica(self, name: str, service: str, garbles: bool) -> Replica:
        """Return a replica that is sound, but for the garbled answers."""

        async def handle(message: Message, writer: asyncio.StreamWriter) -> bool:
            request_id = message.headers["x-request-id"]
            self.record.write(f"{name} runs {request_id}")
            await asyncio.sleep(WORK_S)
            load = SOUND_LOAD
            if garbles and self.garbling and random.random() < GARBLED_SHARE:
                load = WRONG_LOAD
                self.garbled += 1
                self.record.write(f"{name} garbles its answer to {request_id}")
            headers = {
                "X-Server-Stamp": f"s-{request_id}",
                "X-Request-Id": request_id,
                "X-Server-Load": load,
            }
            writer.write(answer(200, headers, b"x" * 600))
            return True

        return Replica(self.deployment.store, name, service, "duluth", handle)

    async def call_in_turn(self, gateway: Gateway, name: str, number: int) -> None:
        """Send requests of one route to one gateway over kept connections."""
        count, sent = self.counts[name], 0
        while time.monotonic() < self.ends_at:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.ports[0]
            )
            while time.monotonic() < self.ends_at:
                await asyncio.sleep(PAUSE_S)
                sent += 1
                request_id = f"{gateway.name}-{name}{number}-{sent}"
                headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "4000"}
                steady = time.monotonic() >= self.steady_at
                count.sent += steady
                try:
                    writer.write(request("GET", f"/{name}/1", HOST, headers))
                    got = await asyncio.wait_for(read_message(reader), 5.0)
                except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                    self.record.write(f"{request_id} got no answer: {error!r}")
                    count.closed += steady
                    break
                self.record.write(f"{request_id} answered {got.status}")
                count.served += steady and got.status == 200
                if got.headers.get("connection") == "close":
                    break
            writer.close()

    async def execute(self) -> int:
        """Run the case and return its exit status."""
        deployment = self.deployment
        try:
            await deployment.start([FIRST], LIMITS, 3)
            for number in range(REPLICAS):
                await self.replica(f"warehouse-{number}", "warehouse", False).start()
                garbles = number < GARBLING
                await self.replica(
                    f"scheduling-{number}", "scheduling", garbles
                ).start()
            if not await deployment.wait_ready():
                return 2
            deployment.configure(2, [FIRST, LATER], LIMITS)
            self.record.write("version 2 acknowledged: it adds /plan/")
            await asyncio.sleep(CALM_S)
            calls = [
                asyncio.create_task(self.call_in_turn(gateway, name, number))
                for gateway in deployment.gateways
                for name in self.counts
                for number in range(CALLERS)
            ]
            self.garbling = deployment.trouble
            await asyncio.sleep(GARBLE_S)
            self.garbling = False
            self.steady_at = time.monotonic() + STABILITY_S
            self.ends_at = self.steady_at + STEADY_S
            await asyncio.gather(*calls)
            return self.judge()
        finally:
            deployment.stop()

    def judge(self) -> int:
        """Return 1 if the later route was served too seldom in steady state."""
        first, later = self.counts["bin"], self.counts["plan"]
        self.record.write(
            f"{self.garbled} answers were garbled; in the {STEADY_S:.0f} s that began "
            f"{STABILITY_S:.0f} s later /bin/ had {first.sent} requests, "
            f"{first.served} served, and /plan/ {later.sent}, {later.served} served, "
            f"{later.closed} closed without an answer"
        )
        broken = later.sent >= MIN_REQUESTS and later.share < MIN_RATIO * first.share
        return 1 if broken else 0


async def main() -> int:
    """Run the case."""
    return await Case().execute()


run_case(main)
