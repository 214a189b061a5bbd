"""Selects the gateway that decides on a rollout, and writes its decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from zlib import crc32

import structlog
from returns.result import Failure, Result, Success

from sardinehook.gateway.interfaces import StoreSchema
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.rollout.orders import (
    STATE_PREFIX,
    Phase,
    RolloutState,
    encode_state,
    status_of,
)
from sardinehook.gateway.rollout.service import ServiceRollout
from sardinehook.gateway.store import (
    Conflict,
    GatewayStore,
    Item,
    StoreProblem,
    Write,
)
from sardinehook.gateway.usage.interfaces import UsageLedger
from sardinehook.observe.errors import log_error
from sardinehook.observe.events import EventName, log_event
from sardinehook.transport.tasks import start_task

__all__ = ["LeaderElection", "StateWriter", "is_lowest", "rank"]

logger = structlog.get_logger(__name__)

HEARD_WITHIN_S = 1.0  # a holder that is silent for longer does not lead
ELECTION_S = 0.6  # marks of the other holders arrive in this time
RETRY_S = 0.5  # after a write that failed, or whose answer is lost


def rank(node: str, service: str) -> int:
    """Return the hash by which gateways are ordered for a service; the lowest leads."""
    return crc32(f"{node} {service}".encode())


def is_lowest(node: str, names: Iterable[str]) -> bool:
    """Return whether a gateway is the one that decides where only one counts.

    >>> [name for name in ("a", "b", "c") if is_lowest(name, ("a", "b", "c"))]
    ['a']
    """
    return min({*names, node}, key=lambda name: rank(name, "")) == node


class LeaderElection:
    """Finds the leader among the holders that are heard in the ledger.

    Each holder marks itself while a rollout needs a decision. Two holders may both take
    themselves for the leader for a moment; their writes are conditional.
    """

    def __init__(self, ledger: UsageLedger, node: str) -> None:
        self.ledger = ledger
        self.node = node
        self.marked_since: dict[str, float] = {}

    def is_leader(self, service: str, names: Iterable[str], now: float) -> bool:
        """Mark this holder, and return whether it leads the rollout of a service."""
        self.ledger.record(mark_of(service, self.node), 1.0, now)
        if now < self.marked_since.setdefault(service, now) + ELECTION_S:
            return False
        own = rank(self.node, service)
        return not any(
            name != self.node
            and rank(name, service) < own
            and self.ledger.total(mark_of(service, name), HEARD_WITHIN_S, now) > 0.0
            for name in names
        )

    def end(self, service: str) -> None:
        """Record that the rollout of a service needs no decision."""
        self.marked_since.pop(service, None)


def mark_of(service: str, node: str) -> str:
    """Return the subject under which a holder marks itself."""
    return f"rollout/{service}/leader/{node}"


class StateWriter:
    """Writes states and statuses of rollouts, each on the revisions that are known.

    ``apply_items`` receives what the store has instead after a conflict, and
    ``on_written`` each state that was written, with the revisions.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        store: GatewayStore,
        schema: StoreSchema,
        apply_items: Callable[[ServiceRollout, Sequence[Item]], None],
        on_written: Callable[[ServiceRollout, RolloutState, int], None],
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.schema = schema
        self.apply_items = apply_items
        self.on_written = on_written
        # Whether the cached state is of an earlier era of the store.
        self.is_behind: Callable[[], bool] = bool
        # The era of the store that is in force.
        self.era: Callable[[], int] = int
        self.busy: set[str] = set()
        self.retry_at: dict[str, float] = {}
        self.attempted: dict[str, tuple[RolloutState, int]] = {}

    def may_write(self, service: str, now: float) -> bool:
        """Return whether a write may be sent now.

        The known revisions are no conditions while the store is in a later era than
        the cached state: it may have given them out again.
        """
        if self.is_behind():
            return False
        return service not in self.busy and now >= self.retry_at.get(service, 0.0)

    def may_be_completed(self, rollout: ServiceRollout) -> RolloutState | None:
        """Return the state ``completed`` if it was sent and may still be executed.

        Nothing else may be written then: old replicas stop as soon as they read it.
        """
        sent = self.attempted.get(rollout.service)
        if sent is None or sent[1] != rollout.state_revision:
            return None
        return sent[0] if sent[0].phase is Phase.COMPLETED else None

    def write(self, rollout: ServiceRollout, state: RolloutState) -> None:
        """Start to write a state and its status, as far as the store lacks them."""
        self.busy.add(rollout.service)
        self.attempted[rollout.service] = (state, rollout.state_revision)
        start_task(self.send(rollout, state), self.fail)

    def fail(self, error: Exception) -> None:
        """Log an unexpected error; writes go on after it."""
        log_error(error)
        self.busy.clear()

    def writes_of(self, rollout: ServiceRollout, state: RolloutState) -> list[Write]:
        """Return the keys to write."""
        service = rollout.service
        writes = []
        if rollout.stored_state != state:
            key = STATE_PREFIX + service
            writes.append(Write(key, encode_state(state), rollout.state_revision))
        status = status_of(state)
        if rollout.status != status:
            key = self.schema.rollout_status_prefix + service
            value = self.schema.encode_rollout_status(status)
            writes.append(Write(key, value, rollout.status_revision))
        return writes

    async def send(self, rollout: ServiceRollout, state: RolloutState) -> None:
        """Write, and apply the result."""
        writes = self.writes_of(rollout, state)
        if not writes:
            self.busy.discard(rollout.service)
            return
        era = self.era()
        result = await self.store.write_if(writes)
        self.busy.discard(rollout.service)
        if self.era() != era:
            self.handle_earlier(rollout, state, result)
            return
        self.handle(rollout, state, writes, result)

    def handle_earlier(
        self,
        rollout: ServiceRollout,
        state: RolloutState,
        result: Result[int, StoreProblem | Conflict],
    ) -> None:
        """Use a result that came after the store entered a new era.

        Its revisions may be those of the earlier era, and the write may be undone. What
        was written may have been read, and stays decided.
        """
        self.retry_at[rollout.service] = self.reactor.seconds() + RETRY_S
        self.log_problem(rollout, state, "the store has entered a new era")
        match result:
            case Success(revision):
                self.on_written(rollout, state, revision)

    def handle(
        self,
        rollout: ServiceRollout,
        state: RolloutState,
        writes: Sequence[Write],
        result: Result[int, StoreProblem | Conflict],
    ) -> None:
        """Apply the result of a write; one that failed is tried again later."""
        match result:
            case Success(revision):
                if any(write.key.startswith(STATE_PREFIX) for write in writes):
                    rollout.record_stored(state, revision)
                if len(writes) > 1 or not writes[0].key.startswith(STATE_PREFIX):
                    rollout.status = status_of(state)
                    rollout.status_revision = revision
                self.on_written(rollout, state, revision)
            case Failure(Conflict(items)):
                self.log_problem(rollout, state, "written by another gateway")
                self.retry_at[rollout.service] = self.reactor.seconds() + RETRY_S
                self.apply_items(rollout, differing_items(writes, items))
            case Failure(problem):
                self.retry_at[rollout.service] = self.reactor.seconds() + RETRY_S
                self.log_problem(rollout, state, str(problem))

    def log_problem(
        self, rollout: ServiceRollout, state: RolloutState, detail: str
    ) -> None:
        """Log a write that had no effect, or an unknown one."""
        log_event(
            logger,
            EventName.ROLLOUT_WRITE,
            service=rollout.service,
            state=str(state.phase),
            detail=detail,
        )


def differing_items(writes: Sequence[Write], items: Sequence[Item]) -> list[Item]:
    """Return the items that explain why a write was refused.

    The store may return the items of all keys, or of those that differ only. A key
    without an item is taken as deleted if nothing else explains the conflict.

    >>> writes = [Write("a", b"", 5), Write("b", b"", 6)]
    >>> differing_items(writes, [Item("b", b"1", 8)])
    [Item(key='b', value=b'1', revision=8)]
    >>> differing_items(writes, [Item("b", b"1", 6)])
    [Item(key='a', value=None, revision=0)]
    """
    expected = {write.key: write.expected_revision for write in writes}
    changed = [item for item in items if expected.get(item.key) != item.revision]
    if changed:
        return changed
    known = {item.key for item in items}
    return [
        Item(key, None, 0)
        for key, revision in expected.items()
        if revision and key not in known
    ]
