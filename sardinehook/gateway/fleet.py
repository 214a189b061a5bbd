"""The gateways of the fleet, each registered in the store under a lease."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec
import structlog
from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure as TwistedFailure

from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.store import GatewayStore, LeaseGone
from sardinehook.observe.events import EventName, log_event, log_names

__all__ = ["GATEWAY_PREFIX", "GatewayFleet"]

logger = structlog.get_logger(__name__)

GATEWAY_PREFIX = "sardinehook/gateways/"
LEASE_TTL_S = 8.0  # a gateway that is cut off for less keeps its entry
RENEW_INTERVAL_S = 2.5  # three renewals may fail before the lease ends
RETRY_INTERVAL_S = 0.5  # after a failed registration
MEMORY_S = 30.0  # one that left counts on, since it may serve on where it is cut off


class GatewayRecord(msgspec.Struct):
    """What a gateway tells of itself.

    It takes other gateways' calls at ``peer_address`` and their datagrams at
    ``signs_at``; ``link_mbps`` is the bandwidth of its VM.
    """

    peer_address: str
    data_centre: str
    signs_at: str = ""
    link_mbps: float = 0.0


class GatewayFleet:
    """Registers this gateway and counts all of them.

    The count divides what gateways share: connections of replicas, repeat budgets
    and the rates of cold replicas. ``on_recovery`` is called when a renewal succeeds
    after one that failed.
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
        self.newcomers: list[str] = []
        self.registered = False
        self.lease = 0
        self.running = False
        self.renew_failed = False
        self.on_recovery: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Register; an unexpected error is logged and the registration goes on."""
        self.running = True
        keeping = Deferred.fromCoroutine(self.keep())
        keeping.addErrback(self.resume)

    def resume(self, failure: TwistedFailure) -> None:
        """Go on after an unexpected error."""
        log_event(logger, EventName.UNHANDLED_ERROR, detail=str(failure))
        if self.running:
            self.reactor.callLater(RENEW_INTERVAL_S, self.start)

    async def keep(self) -> None:
        """Register, renew, and register again where that was lost."""
        while self.running:
            if not self.lease:
                await self.obtain_lease()
            elif not self.registered:
                await self.register()
            else:
                await deferLater(self.reactor, RENEW_INTERVAL_S)
                if self.running:
                    await self.renew()

    async def obtain_lease(self) -> None:
        """Ask for a lease."""
        match await self.store.grant_lease(LEASE_TTL_S):
            case Success(lease):
                self.lease = lease
            case Failure():
                await deferLater(self.reactor, RETRY_INTERVAL_S)

    async def register(self) -> None:
        """Write this gateway's record under its lease."""
        value = msgspec.json.encode(self.record)
        match await self.store.put(GATEWAY_PREFIX + self.node, value, self.lease):
            case Success():
                self.registered = True
            case Failure(problem):
                self.lease = 0
                log_event(logger, EventName.LEASE_NOT_RENEWED, detail=str(problem))
                await deferLater(self.reactor, RETRY_INTERVAL_S)

    async def renew(self) -> None:
        """Renew the lease; only one that has ended is replaced."""
        match await self.store.renew_lease(self.lease):
            case Success():
                if self.renew_failed:
                    self.renew_failed = False
                    self.on_recovery()
            case Failure(LeaseGone()):
                log_event(logger, EventName.LEASE_LAPSED, detail="the store ended it")
                self.registered = False
                self.lease = 0
            case Failure(problem):
                self.renew_failed = True
                log_event(logger, EventName.LEASE_NOT_RENEWED, detail=str(problem))

    async def leave(self) -> None:
        """End the registration."""
        self.running = False
        lease, self.lease = self.lease, 0
        if lease:
            await self.store.end_lease(lease)

    def apply_record(self, node: str, value: bytes | None) -> None:
        """Take in a gateway's record, or that it has left."""
        if value is None:
            if node in self.records:
                self.left_at[node] = self.reactor.seconds()
            if node == self.node:
                self.registered = False
        else:
            self.take_record(node, value)
        self.count()

    def take_record(self, node: str, value: bytes) -> None:
        """Take in a record."""
        try:
            record = msgspec.json.decode(value, type=GatewayRecord)
        except msgspec.MsgspecError as error:
            log_event(logger, EventName.MEMBER_STATE, member=node, detail=str(error))
            return
        if node not in self.records or node in self.left_at:
            self.newcomers.append(node)
        self.records[node] = record
        self.left_at.pop(node, None)

    def log_newcomers(self) -> None:
        """Log the gateways that became known since the last call."""
        newcomers, self.newcomers = self.newcomers, []
        log_names(logger, EventName.MEMBER_STATE, "registered", newcomers)

    def retain(self, nodes: Iterable[str]) -> None:
        """Note that all gateways but these have left."""
        for node in self.records.keys() - set(nodes):
            if node not in self.left_at:
                self.apply_record(node, None)

    def count(self) -> None:
        """Tell which gateways share what is shared."""
        now = self.reactor.seconds()
        for node, left_at in list(self.left_at.items()):
            if now > left_at + MEMORY_S:
                del self.left_at[node]
                del self.records[node]
                log_event(logger, EventName.MEMBER_STATE, member=node, state="gone")
        self.on_names(frozenset({*self.records, self.node}))

    def present(self) -> dict[str, GatewayRecord]:
        """Return the records of the gateways that have not left."""
        return {
            node: record
            for node, record in self.records.items()
            if node not in self.left_at
        }

    def peers(self) -> list[str]:
        """List the peer addresses of the other gateways."""
        return [
            record.peer_address
            for node, record in self.records.items()
            if node != self.node and record.peer_address
        ]
