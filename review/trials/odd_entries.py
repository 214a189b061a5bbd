"""Another writer's entries name the addresses of a service's replicas for some seconds.

Their service is named in no configuration. Each gateway drops the replicas that live at
these addresses, and uses none of them again, also when the entries are gone.
"""

from __future__ import annotations

import asyncio
import json

from review.standins.deployment import run_case
from review.standins.two_routes import SOUND_LOAD, TwoRoutes

PRESENT_S = 5.5
BORN_MS = 1_700_000_000_000


class Case:
    """The state of one run."""

    def __init__(self) -> None:
        self.routes = TwoRoutes(__file__, lambda name: SOUND_LOAD)

    async def disturb(self) -> None:
        """Write the entries, and remove them after some time."""
        store = self.routes.deployment.store
        keys = []
        for replica in self.routes.replicas:
            if replica.service != "scheduling" or not self.routes.deployment.trouble:
                continue
            entry = {
                "Service": "inventory",
                "Addr": f"127.0.0.1:{replica.port}",
                "Zone": replica.zone,
                "Version": "1",
                "Slots": 1,
                "State": "ready",
                "ColdLeftMs": 0,
                "Seq": 1,
                "born": BORN_MS,
            }
            keys.append(f"servers/other-{replica.name}")
            store.put(keys[-1], json.dumps(entry).encode())
            self.routes.record.write(f"{keys[-1]} written by another writer: {entry}")
        await asyncio.sleep(PRESENT_S)
        for key in keys:
            store.delete(key)
            self.routes.record.write(f"{key} removed")


async def main() -> int:
    """Run the case."""
    case = Case()
    return await case.routes.run(case.disturb)


if __name__ == "__main__":
    run_case(main)
