"""A replica fails a part of the orders with a 503 of its own, after it has run them.

The gateway passes the status on. To a caller it promises that the order has not run, so
the caller sends the order again, and it runs a second time.

Run from the repository's root: ``python3 -m review.trials.own_503``.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from review.standins.deployment import (
    HOST,
    Deployment,
    Gateway,
    Replica,
    route,
    run_case,
)
from review.standins.http import Message, answer, read_message, request

REPLICAS = 7
FAILED_SHARE = 0.4  # of the orders at one replica, the default of `srv_grey`
GREY_S = 6.5
CALLERS = 6  # of each gateway
PAUSE_S = 0.1
WORK_S = 0.05
RETRY_AFTER_S = 0.05
REFUSALS = (408, 421, 429, 503)  # they promise that a request has not run


class Case:
    """The state of one run."""

    def __init__(self) -> None:
        self.deployment = Deployment(__file__)
        self.record = self.deployment.record
        self.run: set[str] = set()
        self.orders: Counter[str] = Counter()
        self.refused: list[str] = []
        self.ends_at = 0.0

    def replica(self, number: int) -> Replica:
        """Return a replica; number 0 fails a part of the orders that it has run."""
        name = f"i-{number}"

        async def handle(message: Message, writer: asyncio.StreamWriter) -> bool:
            request_id = message.headers["x-request-id"]
            self.run.add(request_id)
            self.orders[message.body.decode()] += 1
            await asyncio.sleep(WORK_S)
            grey = number == 0 and self.deployment.trouble
            failed = grey and random.random() < FAILED_SHARE
            status = 503 if failed else 200
            self.record.write(f"{name} ran {request_id}, answers {status}")
            headers = {"X-Server-Stamp": f"s-{request_id}", "X-Request-Id": request_id}
            writer.write(answer(status, headers, b"x" * 100))
            return True

        return Replica(self.deployment.store, name, "scheduling", "duluth", handle)

    async def order_in_turn(self, gateway: Gateway, name: str) -> None:
        """Send orders; one that is refused is sent again once, as a new attempt."""
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports[0])
        number = 0
        while time.monotonic() < self.ends_at:
            number += 1
            order = f"{name}-{number}"
            for attempt in ("a", "b"):
                request_id = f"{order}{attempt}"
                headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "4000"}
                writer.write(request("POST", "/order/1", HOST, headers, order.encode()))
                got = await asyncio.wait_for(read_message(reader), 5.0)
                self.record.write(f"{request_id} answered {got.status}")
                if got.status not in REFUSALS:
                    break
                if request_id in self.run:
                    self.refused.append(request_id)
                await asyncio.sleep(RETRY_AFTER_S)
            await asyncio.sleep(PAUSE_S)
        writer.close()

    async def execute(self) -> int:
        """Run the case and return its exit status."""
        deployment = self.deployment
        try:
            routes = [route("order", "unsafe", Service="scheduling")]
            await deployment.start(routes, {"scheduling": 48}, 3)
            for number in range(REPLICAS):
                await self.replica(number).start()
            if not await deployment.wait_ready():
                return 2
            await asyncio.sleep(2.0)
            self.ends_at = time.monotonic() + GREY_S
            await asyncio.gather(
                *(
                    self.order_in_turn(gateway, f"{gateway.name}-{number}")
                    for gateway in deployment.gateways
                    for number in range(CALLERS)
                )
            )
            twice = sum(count > 1 for count in self.orders.values())
            self.record.write(
                f"{len(self.run)} attempts ran; refused as not run although they had "
                f"run: {len(self.refused)}; orders that ran twice: {twice}"
            )
            return 1 if self.refused else 0
        finally:
            deployment.stop()


async def main() -> int:
    """Run the case."""
    return await Case().execute()


if __name__ == "__main__":
    run_case(main)
