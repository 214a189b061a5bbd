"""A rollout in a soak: its order, the new replicas, and what its status says."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import msgspec

from bench.soak.history import RolloutRecord

if TYPE_CHECKING:
    from bench.soak.testbed import ReplicaSite, Testbed

__all__ = ["DEFECTS", "Defect", "RolloutPlayer"]

SERVICE = "till"
NEW_VERSION = "2"
ORDER_AFTER_S = 4.0
DURATION_S = 40.0
START_AFTER_S = 0.5  # from the order to the registration of the new replicas
STATE_KEY = f"sardinehook/rollouts/{SERVICE}"
STATUS_KEY = f"status/rollout/{SERVICE}"
POLL_S = 0.02
DRAIN_AFTER_S = 3.0  # from ``rolled_back`` until the new replicas drain
UNDECIDED = ("", "running")
GOOD_PHASES = ("ramp", "draining_old", "completed")


class Defect(msgspec.Struct, frozen=True):
    """What is wrong with a version: a share of failures, or longer work.

    It shows ``after_s`` from the start of the replica on, for requests whose target
    begins with ``prefix``, while ``running`` requests run there at least.
    """

    name: str
    failing: float = 0.0
    slowness: float = 1.0
    after_s: float = 0.0
    prefix: str = "/"
    running: int = 0


# The first one is a good version.
DEFECTS = (
    Defect("good"),
    Defect("failing", 0.5),
    Defect("failing later", 0.6, after_s=8.0),
    Defect("failing on one route", 0.7, prefix="/order/"),
    Defect("failing under load", 0.8, running=2),
    Defect("slow", slowness=5.0),
    Defect("good"),
)


class RolloutPlayer:
    """Orders a rollout, runs the new replicas, and does what the status says.

    At ``completed`` the old replicas stop at once, at ``rolled_back`` the new ones
    drain some seconds later.
    """

    def __init__(self, testbed: Testbed, seed: int) -> None:
        self.testbed = testbed
        rng = Random(f"{seed} rollout")
        self.defect = rng.choice(DEFECTS)
        self.old = [one for one in testbed.replicas if one.service == SERVICE]
        self.new: list[ReplicaSite] = []
        self.record = RolloutRecord(SERVICE, self.defect.name)

    def start(self) -> None:
        """Schedule the order."""
        self.testbed.reactor.callLater(ORDER_AFTER_S, self.order)

    def order(self) -> None:
        """Write the order, and start the new replicas shortly after it."""
        value = {
            "Service": SERVICE,
            "TargetVersion": NEW_VERSION,
            "DurationS": DURATION_S,
        }
        self.testbed.store.write(f"op/rollout/{SERVICE}", msgspec.json.encode(value))
        now = self.testbed.reactor.seconds()
        record = self.record
        record.ordered_at, record.deadline_at = now, now + DURATION_S
        record.old = [site.identity.name for site in self.old]
        self.testbed.history.rollouts.append(record)
        self.testbed.reactor.callLater(START_AFTER_S, self.start_replicas)
        self.poll()

    def start_replicas(self) -> None:
        """Start a new replica in the data centre of each old one."""
        for site in self.old:
            new = self.testbed.add_replica(
                SERVICE, site.data_centre, NEW_VERSION, self.defect
            )
            self.new.append(new)
            self.record.new.append(new.identity.name)

    def poll(self) -> None:
        """Follow the state and the status, and act on a decision once."""
        held = self.testbed.store.values.held
        state, status = held.get(STATE_KEY), held.get(STATUS_KEY)
        record = self.record
        now = self.testbed.reactor.seconds()
        if state is not None and record.found_good_at is None:
            if msgspec.json.decode(state.value)["phase"] in GOOD_PHASES:
                record.found_good_at = now
        decided = msgspec.json.decode(status.value)["State"] if status else ""
        if decided not in UNDECIDED and not record.decision:
            record.decision, record.decided_at = decided, now
            self.act(decided)
        elif decided not in UNDECIDED and decided != record.decision:
            record.later_decision = decided
        self.testbed.reactor.callLater(POLL_S, self.poll)

    def act(self, decision: str) -> None:
        """Stop the old replicas, or drain the new ones."""
        if decision == "completed":
            for site in self.old:
                if site.server is not None:
                    self.record.at_old_when_completed += site.server.pending_requests()
                site.stop_for_good()
            return
        self.testbed.reactor.callLater(DRAIN_AFTER_S, self.drain_new)

    def drain_new(self) -> None:
        """Let the new replicas leave."""
        for site in self.new:
            site.write("draining")
            self.testbed.reactor.callLater(DRAIN_AFTER_S, site.stop_for_good)
