"""Rollouts of services to another version, as one gateway takes part in them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from functools import partial
from random import Random

from sardinehook.gateway.directory import Directory
from sardinehook.gateway.dispatch import Exchange, ExchangeOutcome
from sardinehook.gateway.interfaces import StoreSchema
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.rollout.decisions import RolloutDecisions
from sardinehook.gateway.rollout.evidence import NEW, OLD
from sardinehook.gateway.rollout.items import RolloutItems, RolloutSite
from sardinehook.gateway.rollout.local_ledger import LocalLedger
from sardinehook.gateway.rollout.orders import Phase, RolloutOrder
from sardinehook.gateway.rollout.recorder import RolloutRecorder
from sardinehook.gateway.rollout.service import ServiceRollout
from sardinehook.gateway.settings import Bounds
from sardinehook.gateway.store import GatewayStore, Item
from sardinehook.gateway.unexpected import call_logged
from sardinehook.gateway.usage.interfaces import UsageLedger
from sardinehook.transport.tasks import RepeatingCall

__all__ = ["RolloutController"]

WATCH_WAIT_RATIO = 0.3  # of the time to roll back; half of that without contact
TICK_S = 0.25  # the interval of reading evidence and of marks of holders


class RolloutController:
    """Follows the orders for all services, and treats their requests accordingly.

    Nothing runs, and no request is treated in another way, until an order is read.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        directory: Directory,
        store: GatewayStore,
        schema: StoreSchema,
        ledger: UsageLedger,
        site: RolloutSite,
        metrics: GatewayMetrics,
        random: Random | None = None,
    ) -> None:
        self.reactor = reactor
        self.directory = directory
        self.metrics = metrics
        # Not seeded by the node: rounding must not repeat itself after a restart.
        random = random or Random()
        own = ledger if isinstance(ledger, LocalLedger) else LocalLedger()
        self.items = RolloutItems(reactor, schema, site, metrics, random)
        self.items.on_order = self.begin
        self.decisions = RolloutDecisions(
            reactor,
            directory,
            store,
            schema,
            ledger,
            own,
            self.items,
            site,
            metrics,
            random,
        )
        self.recorder = RolloutRecorder(
            directory, site.data_centre, ledger, own, self.count_answer
        )
        self.loop = RepeatingCall(reactor, TICK_S, self.tick)
        self.running = False
        # Called with whether the ledger of the fleet is needed.
        self.on_running: Callable[[bool], object] = bool
        # Called with the longest wait of a watch that a rollout allows.
        self.on_watch_limit: Callable[[float], object] = float

    def configure(self, bounds: Bounds) -> None:
        """Apply the limits of the deployment."""
        self.decisions.bounds = bounds

    def set_initial_listing(self, initial: bool) -> None:
        """Set whether the first listing of this process is applied now."""
        self.items.initial_listing = initial

    def apply_item(self, item: Item) -> bool:
        """Apply the change of a key; return whether it is one of rollouts."""
        return self.items.apply_item(item)

    def retain(self, names: Collection[str]) -> None:
        """Apply that a listing of all keys has ``names`` only."""
        self.items.retain(names)

    def begin(self, rollout: ServiceRollout, order: RolloutOrder) -> None:
        """Begin a rollout, and the periodic work if it is the first one."""
        self.decisions.begin(rollout, order, self.reactor.seconds())
        if not self.running:
            self.running = True
            self.on_running(True)
            self.loop.start()

    def count_answer(self, version: str, outcome: str) -> None:
        """Count an answer by the class of its version."""
        self.metrics.rollout_answers.labels(version, outcome).inc()

    def groups(
        self, service: str, replicas: Sequence[Replica], now: float
    ) -> Sequence[Sequence[Replica]]:
        """Return the replicas of a service to choose from, in order of preference."""
        rollout = self.items.services.get(service)
        if rollout is None or not rollout.is_active(now):
            return (replicas,)
        registered = [
            replica
            for replica in self.directory.by_service.get(service, ())
            if self.directory.is_listed(replica, now)
        ]
        return rollout.groups(replicas, registered)

    def started(self, exchange: Exchange) -> None:
        """Count a request as one of the version that it goes to."""
        rollout = self.active_rollout(exchange)
        if rollout is None:
            return
        is_new = rollout.is_new(exchange.replica)
        rollout.in_flight[exchange] = is_new
        rollout.exposure.record(is_new)
        self.metrics.rollout_sends.labels(NEW if is_new else OLD).inc()
        state = rollout.state
        if not is_new and state is not None and state.phase is Phase.DRAINING_OLD:
            self.decisions.record_open(rollout, 1, self.reactor.seconds())

    def active_rollout(self, exchange: Exchange) -> ServiceRollout | None:
        """Return the rollout that an exchange belongs to, ``None`` if there is none."""
        rollout = self.items.services.get(exchange.replica.entry.service)
        if rollout is None or not rollout.is_active(self.reactor.seconds()):
            return None
        return rollout

    def ended(self, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        """Record how an exchange ended; one that was not sent is counted back."""
        rollout = self.items.services.get(exchange.replica.entry.service)
        is_new = rollout.in_flight.pop(exchange, None) if rollout else None
        if rollout is None or is_new is None:
            return
        if not exchange.sent_at:
            rollout.exposure.give_back(is_new)
        else:
            now = self.reactor.seconds()
            self.recorder.record_end(rollout, exchange, outcome, now)

    def abandoned(self, exchange: Exchange) -> None:
        """Record that the reply of an exchange is not waited for any longer."""
        rollout = self.items.services.get(exchange.replica.entry.service)
        is_new = rollout.in_flight.pop(exchange, None) if rollout else None
        if rollout is None or is_new is None:
            return
        if not exchange.sent_at:
            rollout.exposure.give_back(is_new)
        else:
            now = self.reactor.seconds()
            self.recorder.record_abandoned(rollout, exchange, now)

    def tick(self) -> None:
        """Read evidence, stop what is bad, and write what this gateway decides."""
        now = self.reactor.seconds()
        self.limit_watches(now)
        active = [one for one in self.items.services.values() if one.is_active(now)]
        if not active:
            self.running = False
            self.loop.stop()
            self.on_running(False)
            return
        for rollout in active:
            call_logged(partial(self.decisions.update, rollout, now))

    def limit_watches(self, now: float) -> None:
        """Let contact with the store be renewed often while a rollout is undecided.

        Without contact the new version gets nothing, so an idle watch must not look
        like a loss of contact.
        """
        undecided = any(
            one.is_active(now) and not one.is_decided
            for one in self.items.services.values()
        )
        limit_s = WATCH_WAIT_RATIO * self.decisions.bounds.rollback_s
        self.on_watch_limit(limit_s if undecided else float("inf"))
