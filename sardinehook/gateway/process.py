"""The gateway process: wires its parts, starts them and stops them gracefully."""

from __future__ import annotations

import gc
from collections.abc import Callable
from random import Random
from typing import NamedTuple
from zlib import crc32

import structlog
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ServerFactory
from twisted.internet.task import LoopingCall, deferLater
from twisted.python.failure import Failure as TwistedFailure

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import refuse
from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.delegates import Delegates
from sardinehook.gateway.desk import RequestDesk
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.dispatch import Dispatcher
from sardinehook.gateway.fleet import GatewayFleet, GatewayRecord
from sardinehook.gateway.follower import StoreFollower
from sardinehook.gateway.front import Front
from sardinehook.gateway.heartbeat import HeartbeatProtocol
from sardinehook.gateway.interfaces import CallerCodec, ReplicaCodec, StoreSchema
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.peers import PeerClient
from sardinehook.gateway.policy import RequestPolicy
from sardinehook.gateway.probes import ProbeServer
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.replica_selection import ReplicaSelector
from sardinehook.gateway.settings import GatewaySettings
from sardinehook.gateway.shares import compute_shares
from sardinehook.gateway.store import GatewayStore
from sardinehook.gateway.story import RequestStories
from sardinehook.observe.events import EventName, log_event
from sardinehook.observe.loop_lag import LoopLagProbe

__all__ = ["Dialects", "GatewayProcess", "SettingsSource"]

logger = structlog.get_logger(__name__)

SWEEP_INTERVAL_S = 0.05  # resolution of deadlines that have no timer of their own
HOUSEKEEPING_INTERVAL_S = 0.5
SUB_REQUESTS_PER_CORE = 400.0  # at work for other gateways: what a core does in 0.1 s
HEARTBEAT_INTERVAL_S = 0.2  # a gateway that is paused is passed over within a second
NOTICE_S = 3.0  # the balancer needs two missed probes, one a second, to look away
END_MARGIN_S = 0.4  # before the grace ends, what is left is answered
BACKLOG = 512  # connections that the kernel may hold before they are accepted


class SettingsSource(NamedTuple):
    """Where the settings come from, and when they changed last."""

    load: Callable[[], Result[GatewaySettings, str]]
    changed_at: Callable[[], float]


class Dialects(NamedTuple):
    """The dialects that this gateway speaks."""

    callers: CallerCodec
    replicas: ReplicaCodec
    keys: StoreSchema


class GatewayProcess:
    """One gateway: its front, its replicas and what it follows in the store."""

    def __init__(
        self,
        reactor: GatewayReactor,
        settings: GatewaySettings,
        dialects: Dialects,
        make_store: Callable[[GatewayMetrics], GatewayStore],
        metrics: GatewayMetrics,
        source: SettingsSource,
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.load_settings = source.load
        self.settings_changed_at = source.changed_at
        self.settings_seen_at = source.changed_at()
        self.metrics = metrics
        self.random = Random(crc32(settings.node.encode()))
        self.store = make_store(metrics)
        self.directory = Directory(reactor, settings.bounds.drain_s)
        dispatcher = Dispatcher(reactor, dialects.replicas, self.directory)
        selector = ReplicaSelector(
            self.directory,
            settings.node,
            settings.data_centre,
            self.random.getrandbits(32),
        )
        self.policy = RequestPolicy(
            reactor, self.directory, dispatcher, selector, dialects.callers
        )
        self.policy.configure(settings.bounds)
        self.policy.note_denied = metrics.repeats_denied.inc
        selector.on_cold_denied = metrics.cold_denied.inc
        self.stories = RequestStories(reactor, metrics)
        self.desk = RequestDesk(self.policy, self.stories, self.random)
        self.front = Front(reactor, self.desk.take)
        record = GatewayRecord(
            settings.peer_address,
            settings.data_centre,
            settings.heartbeat_address,
            settings.link_mbps,
        )
        self.fleet = GatewayFleet(
            reactor, self.store, settings.node, record, self.set_gateways
        )
        self.gateway_names: frozenset[str] = frozenset()
        self.shares_update_pending = False
        self.delegates = Delegates(reactor, self.fleet)
        self.desk.delegates = self.delegates
        self.desk.most_handed_over = int(SUB_REQUESTS_PER_CORE * settings.cores)
        self.follower = StoreFollower(
            reactor,
            self.store,
            PeerClient(reactor, self.random, metrics.count_peer_call),
            dialects.keys,
            self.directory,
            self.fleet,
            self.apply_configuration,
            self.random,
        )
        self.follower.seeds = tuple(
            seed for seed in settings.seeds if seed != settings.peer_address
        )
        self.probes = ProbeServer(
            reactor,
            self.unready_reason,
            metrics.render,
            self.follower.relay,
            self.desk.take_over,
        )
        self.follower.configure(settings.bounds)
        self.fleet.on_recovery = self.store.drop_connections
        self.heartbeats = HeartbeatProtocol(
            self.fleet,
            lambda: bool(self.desk.cut_off_reason()),
            self.delegates.record_heartbeat,
        )
        self.heartbeat_loop = LoopingCall(self.heartbeats.send)
        self.heartbeat_loop.clock = reactor
        self.sweeping = LoopingCall(self.sweep)
        self.sweeping.clock = reactor
        self.housekeeping = LoopingCall(self.keep_house)
        self.housekeeping.clock = reactor
        self.lag_probe = LoopLagProbe(reactor, metrics)
        self.stopping = False
        self.last_reason = "starting"

    def run(self) -> None:
        """Listen, run the reactor, and stop gracefully when it is told to.

        Raises ``CannotListenError`` if an address is in use or not of this VM.
        """
        self.listen()
        self.reactor.callWhenRunning(self.start)
        self.reactor.addSystemEventTrigger(
            "before", "shutdown", lambda: Deferred.fromCoroutine(self.stop())
        )
        self.reactor.run()

    def listen(self) -> None:
        """Take all addresses; connections are accepted once the reactor runs."""
        settings = self.settings
        listen(self.reactor, settings.front_address, self.front)
        addresses = (
            settings.ready_address,
            settings.metrics_address,
            settings.peer_address,
        )
        for address in sorted({address for address in addresses if address}):
            listen(self.reactor, address, self.probes)
        if settings.heartbeat_address:
            host, _, port = settings.heartbeat_address.rpartition(":")
            self.reactor.listenUDP(int(port), self.heartbeats, interface=host)

    def start(self) -> None:
        """Begin to follow the store and to do what is due now and then."""
        settings = self.settings
        if settings.heartbeat_address:
            self.heartbeat_loop.start(HEARTBEAT_INTERVAL_S, now=False)
        self.policy.start_counting()
        self.follower.start()
        self.fleet.start()
        self.sweeping.start(SWEEP_INTERVAL_S, now=False)
        self.housekeeping.start(HOUSEKEEPING_INTERVAL_S, now=False)
        self.lag_probe.start()
        gc.collect()
        gc.freeze()
        log_event(
            logger,
            EventName.PROCESS_STARTED,
            address=settings.front_address,
            detail=f"store={settings.store_address}",
        )

    def reload(self) -> None:
        """Read the settings again; the addresses stay those of the start."""
        match self.load_settings():
            case Success(settings):
                changed = settings != self.settings
                self.settings = settings
                self.policy.configure(settings.bounds)
                self.follower.configure(settings.bounds)
                state = "changed" if changed else "unchanged"
                log_event(logger, EventName.SETTINGS_RELOADED, state=state)
            case Failure(detail):
                log_event(logger, EventName.SETTINGS_REFUSED, detail=str(detail))

    def watch_settings(self) -> None:
        """Read the settings again if their file has changed without a signal."""
        changed_at = self.settings_changed_at()
        if changed_at != self.settings_seen_at:
            self.settings_seen_at = changed_at
            self.reload()

    def unready_reason(self) -> str:
        """Return why the balancer should send nothing, empty if it should."""
        reason = self.find_unready_reason()
        kind = reason.partition(":")[0]
        if kind != self.last_reason:
            self.last_reason = kind
            log_event(logger, EventName.READINESS, state=reason or "ready")
        return reason

    def find_unready_reason(self) -> str:
        """Look for what keeps this gateway from serving."""
        if self.stopping:
            return "stopping"
        if self.desk.configuration is None:
            return "no configuration yet"
        return self.desk.cut_off_reason()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force for the requests that come from now on."""
        self.desk.configure(configuration)
        self.directory.configure(configuration)
        self.front.limits = configuration.limits
        self.metrics.version.set(configuration.version)
        log_event(logger, EventName.REVISION_IN_FORCE, revision=configuration.version)

    def set_gateways(self, names: frozenset[str]) -> None:
        """Take the names of the gateways that share limits and budgets."""
        if names != self.gateway_names:
            # Many become known in one turn.
            if not self.shares_update_pending:
                self.shares_update_pending = True
                self.reactor.callLater(0.0, self.update_shares)
            self.gateway_names = names
        self.metrics.gateways.set(len(names))

    def update_shares(self) -> None:
        """Divide limits, budgets and searches among the gateways that are known."""
        self.shares_update_pending = False
        records = {**self.fleet.records, self.settings.node: self.fleet.record}
        shares = compute_shares(self.settings.node, records)
        self.directory.set_shares(shares)
        self.heartbeats.sends_heartbeats = (
            shares.search_divisor < shares.request_divisor
        )

    def note_error(self, failure: TwistedFailure) -> None:
        """Log an unexpected error of a part that ends anyway."""
        log_event(logger, EventName.UNHANDLED_ERROR, detail=str(failure))

    def sweep(self) -> None:
        """Enforce deadlines."""
        self.policy.dispatcher.sweep(self.reactor.seconds())
        self.delegates.sweep()

    def keep_house(self) -> None:
        """Do what is due now and then."""
        now = self.reactor.seconds()
        self.front.turns_away = bool(self.unready_reason())
        self.front.sweep()
        self.directory.sweep(now)
        self.directory.probe_suspects(now)
        self.watch_settings()
        self.fleet.publish_names()
        self.delegates.update()
        replicas = self.directory.replicas
        self.metrics.replicas.set(len(replicas))
        held = sum(replica.pool.connection_count for replica in replicas.values())
        self.metrics.connections.set(held)
        self.metrics.store_age_seconds.set(now - self.follower.last_contact_at)
        self.metrics.handed_over.set(self.desk.handed_over)

    @property
    def has_work(self) -> bool:
        """Whether callers are connected or other gateways wait for searches."""
        return bool(self.front.connections or self.desk.handed_over)

    async def stop(self) -> None:
        """Turn not-ready, let callers move on, finish what is in flight, leave.

        Connections are told to close with their next answer at once; idle ones are
        closed only after the balancer has had time to look away, since a caller may
        be sending on them.
        """
        began = self.reactor.seconds()
        log_event(logger, EventName.PROCESS_STOPPING, count=self.desk.in_flight)
        self.stopping = self.desk.stopping = True
        self.front.turns_away = True
        leaving = Deferred.fromCoroutine(self.fleet.leave())
        leaving.addErrback(self.note_error)
        await deferLater(self.reactor, NOTICE_S)
        self.front.closes_idle = True
        self.front.sweep()
        end_at = began + self.settings.bounds.grace_s - END_MARGIN_S
        while self.has_work and self.reactor.seconds() < end_at:
            await deferLater(self.reactor, SWEEP_INTERVAL_S)
            self.front.sweep()
        left = len(self.front.connections)
        if left:
            problem = Problem(ErrorKind.OUTCOME_UNKNOWN, "the gateway is stopping")
            self.front.give_up(refuse(problem))
            await deferLater(self.reactor, SWEEP_INTERVAL_S)
        self.follower.stop()
        for loop in (self.sweeping, self.housekeeping, self.heartbeat_loop):
            if loop.running:
                loop.stop()
        self.lag_probe.stop()
        took_ms = (self.reactor.seconds() - began) * 1000.0
        log_event(
            logger,
            EventName.PROCESS_STOPPED,
            took_ms=took_ms,
            count=left,
        )


def listen(reactor: GatewayReactor, address: str, factory: ServerFactory) -> None:
    """Listen on ``IP:port``."""
    host, _, port = address.rpartition(":")
    reactor.listenTCP(int(port), factory, backlog=BACKLOG, interface=host)
