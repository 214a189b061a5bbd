"""A deployment with a first route and one that was added later, under steady load.

``TwoRoutes`` judges the rule that in steady state requests on routes that were added
later are not served less than a quarter as often as those on the first routes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from review.standins.deployment import HOST, Deployment, Gateway, Replica, route
from review.standins.http import Message, answer, read_message, request

STABILITY_S = 4.0
CALM_S = 6.0  # longer than StabilityMs
STEADY_S = 20.0
GATEWAYS = 3
REPLICAS = 4  # of each service
CALLERS = 4  # of each route and gateway
PAUSE_S = 0.1
WORK_S = 0.05
DEADLINE_S = 4.0
MIN_REQUESTS = 20  # by the rule, on routes that were added later
MIN_RATIO = 0.25  # by the rule, of the first routes' share of served requests
LIMITS = {"warehouse": 48, "scheduling": 48}
FIRST = route("bin", "safe", Service="warehouse")
LATER = route("plan", "safe", Service="scheduling")
SOUND_LOAD = "1,0,6"


class Count:
    """Requests of one route in steady state."""

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0
        self.refused = 0
        self.closed = 0

    @property
    def share(self) -> float:
        """The share that was served."""
        return self.served / max(1, self.sent)

    def __str__(self) -> str:
        """Describe the requests in a line of the record."""
        return (
            f"{self.sent} requests: {self.served} served, {self.refused} refused, "
            f"{self.closed} closed without an answer"
        )


class TwoRoutes:
    """One run; ``load`` returns the X-Server-Load of a replica's next answer."""

    def __init__(self, case: str, load: Callable[[str], str]) -> None:
        self.deployment = Deployment(case)
        self.record = self.deployment.record
        self.load = load
        self.replicas: list[Replica] = []
        self.steady_at = float("inf")
        self.ends_at = float("inf")
        self.counts = {"bin": Count(), "plan": Count()}

    def replica(self, name: str, service: str) -> Replica:
        """Return a replica."""

        async def handle(message: Message, writer: asyncio.StreamWriter) -> bool:
            request_id = message.headers["x-request-id"]
            self.record.write(f"{name} runs {request_id}")
            await asyncio.sleep(WORK_S)
            headers = {
                "X-Server-Stamp": f"s-{request_id}",
                "X-Request-Id": request_id,
                "X-Server-Load": self.load(name),
            }
            writer.write(answer(200, headers, b"x" * 600))
            return True

        return Replica(self.deployment.store, name, service, "duluth", handle)

    async def call_in_turn(self, gateway: Gateway, name: str, number: int) -> None:
        """Send requests of one route to one gateway over kept connections."""
        count, sent = self.counts[name], 0
        while time.monotonic() < self.ends_at:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", gateway.ports[0]
                )
            except OSError:
                await asyncio.sleep(PAUSE_S)
                continue
            is_open = True
            while is_open and time.monotonic() < self.ends_at:
                await asyncio.sleep(PAUSE_S)
                sent += 1
                request_id = f"{gateway.name}-{name}{number}-{sent}"
                steady = time.monotonic() >= self.steady_at
                self.record.write(f"caller sends {request_id}")
                writer.write(
                    request(
                        "GET",
                        f"/{name}/1",
                        HOST,
                        {
                            "X-Request-Id": request_id,
                            "X-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
                        },
                    )
                )
                is_open = await self.receive(
                    reader, request_id, count if steady else Count()
                )
            writer.close()

    async def receive(
        self, reader: asyncio.StreamReader, request_id: str, count: Count
    ) -> bool:
        """Count one answer; return whether the connection stays open."""
        count.sent += 1
        try:
            got = await asyncio.wait_for(read_message(reader), DEADLINE_S)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record.write(f"{request_id} got no answer: {error!r}")
            count.closed += 1
            return False
        self.record.write(f"{request_id} answered {got.status}")
        count.served += got.status == 200
        count.refused += got.status != 200
        if got.status != 200:
            await asyncio.sleep(float(got.headers.get("retry-after", "0")))
        return got.headers.get("connection") != "close"

    async def run(self, disturb: Callable[[], Awaitable[None]]) -> int:
        """Run the case around ``disturb`` and return its exit status."""
        deployment = self.deployment
        try:
            await deployment.start([FIRST], LIMITS, GATEWAYS)
            for number in range(REPLICAS):
                for service in LIMITS:
                    replica = self.replica(f"{service}-{number}", service)
                    self.replicas.append(replica)
                    await replica.start()
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
            await disturb()
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
            f"in the {STEADY_S:.0f} s that began {STABILITY_S:.0f} s after the "
            f"disruption: /bin/ {first}; /plan/ {later}"
        )
        broken = later.sent >= MIN_REQUESTS and later.share < MIN_RATIO * first.share
        return 1 if broken else 0
