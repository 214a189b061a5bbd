"""Registration of the gateways of a deployment, each under a lease of the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Annotated

import msgspec
import structlog
from msgspec import Meta
from returns.result import Failure, Success

from sardinehook.decoding import DECODE_ERRORS, is_address, is_token
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.store import GatewayStore, LeaseGone, StoreProblem
from sardinehook.observe.errors import log_error
from sardinehook.observe.events import EventName, log_event, log_names
from sardinehook.transport.tasks import Promise, sleep, start_task

__all__ = ["GATEWAY_PREFIX", "GatewayFleet"]

logger = structlog.get_logger(__name__)

GATEWAY_PREFIX = "sardinehook/gateways/"
LEASE_TTL_S = 8.0  # an entry survives shorter losses of contact with the store
RENEW_INTERVAL_S = 2.5  # three renewals may fail before the lease expires
RETRY_INTERVAL_S = 0.5  # after a failed registration
REJOIN_SPREAD_S = 1.0  # within which all gateways register again in a new era
DEMAND_INTERVAL_S = 10.0  # between two writes of the demand
DEMAND_CHANGE_RATIO = 2.0  # smaller changes are not written
MIN_DEMAND_CHANGE = 1.0  # requests per second
DEPARTED_RETENTION_S = 30.0  # one cut off from the store may still serve


MAX_FIGURE = 1e9  # larger figures in a record are not those of a gateway


class GatewayRecord(msgspec.Struct):
    """The entry of a gateway in the store.

    Other gateways send calls to ``peer_address``, heartbeats to ``signs_at`` and
    datagrams of the usage ledger to ``usage_at``, which older gateways don't have.
    ``link_mbps`` is the bandwidth of the gateway's VM. The demands are the requests and
    searches a second that it sends to replicas, -1 if they are unknown.
    """

    peer_address: str
    data_centre: str
    signs_at: str = ""
    link_mbps: Annotated[float, Meta(ge=0.0, le=MAX_FIGURE)] = 0.0
    request_demand: Annotated[float, Meta(ge=-1.0, le=MAX_FIGURE)] = -1.0
    search_demand: Annotated[float, Meta(ge=-1.0, le=MAX_FIGURE)] = -1.0
    usage_at: str = ""


class GatewayFleet:
    """Registers this gateway and keeps the records of all registered gateways.

    ``on_names`` receives the names of the gateways among which connections to
    replicas, retry budgets and request rates of cold replicas are divided.
    ``on_recovery`` is called when the store answers a call about the lease or the
    record after one that failed: a watch that was pending meanwhile may be lost.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        store: GatewayStore,
        node: str,
        record: GatewayRecord,
        on_names: Callable[[frozenset[str]], None],
    ) -> None:
        self.reactor = reactor
        self.store = store
        self.node = node
        self.record = record
        self.on_names = on_names
        self.records: dict[str, GatewayRecord] = {}
        self.left_at: dict[str, float] = {}
        self.joined: list[str] = []
        self.registered = False
        self.lease = 0
        self.running = False
        self.store_failed = False
        self.demand_written_at = float("-inf")
        self.era = 0
        self.rejoin_at = float("-inf")
        self.renewal_due: Promise[None] = Promise()
        self.on_recovery: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the registration, which is restarted after an unexpected error."""
        self.running = True
        start_task(self.maintain_registration(), self.resume)

    def resume(self, error: Exception) -> None:
        """Log an unexpected error and restart after ``RENEW_INTERVAL_S``."""
        log_error(error)
        if self.running:
            self.reactor.callLater(RENEW_INTERVAL_S, self.start)

    async def maintain_registration(self) -> None:
        """Register, renew the lease, and register again if the registration is lost."""
        while self.running:
            wait_s = self.rejoin_at - self.reactor.seconds()
            if not self.lease and wait_s > 0.0:
                await sleep(self.reactor, wait_s)
            elif not self.lease:
                await self.obtain_lease()
            elif not self.registered:
                await self.register()
            else:
                await self.wait_for_renewal()
                if self.running and self.registered:
                    await self.renew()

    async def wait_for_renewal(self) -> None:
        """Wait until the lease is to be renewed, or is lost."""
        due: Promise[None] = Promise()
        self.renewal_due = due
        timer = self.reactor.callLater(RENEW_INTERVAL_S, due.resolve, None)
        await due
        if timer.active():
            timer.cancel()

    def enter_era(self, era: int) -> None:
        """Discard the lease and register again, as the store may have lost both.

        Its number may be that of another gateway's lease by now, so it is neither
        renewed nor ended. The gateways register at times that their names determine,
        so that they do not all call at once.
        """
        self.era = era
        spread = Random(f"{self.node} {era}").uniform(0.0, REJOIN_SPREAD_S)
        self.rejoin_at = self.reactor.seconds() + spread
        self.lease = 0
        self.registered = False
        if not self.renewal_due.is_resolved:
            self.renewal_due.resolve(None)

    async def obtain_lease(self) -> None:
        """Request a lease; wait before the next attempt if that fails.

        One that was requested in an earlier era is not used.
        """
        era = self.era
        match await self.store.grant_lease(LEASE_TTL_S):
            case Success(lease):
                self.record_answer()
                if era == self.era:
                    self.lease = lease
            case Failure(problem):
                self.record_failure(problem)
                await sleep(self.reactor, RETRY_INTERVAL_S)

    async def register(self) -> None:
        """Write this gateway's record; a failure discards the lease and waits."""
        value = msgspec.json.encode(self.record)
        era = self.era
        match await self.store.put(GATEWAY_PREFIX + self.node, value, self.lease):
            case Success():
                self.record_answer()
                self.registered = era == self.era
            case Failure(problem):
                self.lease = 0
                self.record_failure(problem)
                await sleep(self.reactor, RETRY_INTERVAL_S)

    def publish_demand(self, request_demand: float, search_demand: float) -> None:
        """Write this gateway's demand into its record, if it has changed enough."""
        record, now = self.record, self.reactor.seconds()
        if not self.registered or now < self.demand_written_at + DEMAND_INTERVAL_S:
            return
        if has_changed(record.request_demand, request_demand) or has_changed(
            record.search_demand, search_demand
        ):
            self.demand_written_at = now
            record.request_demand = request_demand
            record.search_demand = search_demand
            start_task(self.write_record(), log_error)

    async def write_record(self) -> None:
        """Write the record under the present lease; renewals handle a lost lease."""
        value = msgspec.json.encode(self.record)
        match await self.store.put(GATEWAY_PREFIX + self.node, value, self.lease):
            case Success():
                self.record_answer()
            case Failure(problem):
                self.record_failure(problem)

    async def renew(self) -> None:
        """Renew the lease; it is replaced only if the store says that it has ended."""
        match await self.store.renew_lease(self.lease):
            case Success():
                self.record_answer()
            case Failure(LeaseGone()) if not self.lease:
                self.record_answer()
            case Failure(LeaseGone()):
                self.record_answer()
                log_event(
                    logger, EventName.LEASE_LAPSED, detail="lease expired in the store"
                )
                self.registered = False
                self.lease = 0
            case Failure(problem):
                self.record_failure(problem)

    def record_failure(self, problem: StoreProblem) -> None:
        """Log a failed call; that the lease has ended is an answer nevertheless."""
        self.store_failed = self.store_failed or not isinstance(problem, LeaseGone)
        log_event(logger, EventName.LEASE_NOT_RENEWED, detail=str(problem))

    def record_answer(self) -> None:
        """Record that the store answered, and report a recovery."""
        if self.store_failed:
            self.store_failed = False
            self.on_recovery()

    async def leave(self) -> None:
        """Stop renewing and end the lease, which removes this gateway's record."""
        self.running = False
        lease, self.lease = self.lease, 0
        if lease:
            await self.store.end_lease(lease)

    def apply_record(self, node: str, value: bytes | None) -> None:
        """Apply a change of a gateway's record; ``None`` means that it was removed."""
        if value is None:
            if node in self.records:
                self.left_at[node] = self.reactor.seconds()
            if node == self.node:
                self.registered = False
        else:
            self.store_record(node, value)
        self.publish_names()

    def store_record(self, node: str, value: bytes) -> None:
        """Decode and keep a record; a malformed one is logged and ignored."""
        try:
            record = msgspec.json.decode(value, type=GatewayRecord)
            check_record(node, record)
        except DECODE_ERRORS as error:
            log_event(logger, EventName.MEMBER_STATE, member=node, detail=str(error))
            return
        if node not in self.records or node in self.left_at:
            self.joined.append(node)
        self.records[node] = record
        self.left_at.pop(node, None)

    def log_joined(self) -> None:
        """Log the gateways that registered since the last call."""
        joined, self.joined = self.joined, []
        log_names(logger, EventName.MEMBER_STATE, "registered", joined)

    def retain(self, nodes: Iterable[str]) -> None:
        """Mark all gateways except ``nodes`` as departed."""
        for node in self.records.keys() - set(nodes):
            if node not in self.left_at:
                self.apply_record(node, None)

    def publish_names(self) -> None:
        """Drop departed gateways after a while, and publish the names of the rest.

        Departed gateways are included until ``DEPARTED_RETENTION_S`` has passed.
        """
        now = self.reactor.seconds()
        for node, left_at in list(self.left_at.items()):
            if now > left_at + DEPARTED_RETENTION_S:
                del self.left_at[node]
                del self.records[node]
                log_event(logger, EventName.MEMBER_STATE, member=node, state="gone")
        self.on_names(frozenset({*self.records, self.node}))

    def registered_records(self) -> dict[str, GatewayRecord]:
        """Return the records of the gateways that are registered at present."""
        return {
            node: record
            for node, record in self.records.items()
            if node not in self.left_at
        }

    def peers(self) -> list[str]:
        """Return the peer addresses of the other gateways, departed ones included."""
        return [
            record.peer_address
            for node, record in self.records.items()
            if node != self.node and record.peer_address
        ]


def check_record(node: str, record: GatewayRecord) -> None:
    """Check what another writer may have put into a record.

    Raises ``ValueError`` if the name or an address is unusable.
    """
    stated = (record.peer_address, record.signs_at, record.usage_at)
    addresses = [one for one in stated if one]
    if not is_token(node) or not all(is_address(address) for address in addresses):
        raise ValueError(f"unusable name or address of a gateway: {addresses}")


def has_changed(known: float, demand: float) -> bool:
    """Return whether a demand differs enough from the one that is known to others.

    >>> has_changed(-1.0, 0.0), has_changed(10.0, 19.0), has_changed(10.0, 21.0)
    (True, False, True)
    """
    if known < 0.0:
        return True
    low, high = sorted((known, demand))
    return high > DEMAND_CHANGE_RATIO * low and high - low >= MIN_DEMAND_CHANGE
