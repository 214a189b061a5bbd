"""The gateway process: connects its parts, starts them and stops them gracefully."""

from __future__ import annotations

import gc
import signal
import time
from collections.abc import Callable
from functools import partial
from os import environ
from random import Random
from typing import NamedTuple
from zlib import crc32

import structlog
from returns.result import Failure, Result, Success

from sardinehook.errors import ErrorKind, Problem
from sardinehook.gateway.answer import error_answer
from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.delegates import Delegates
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.dispatch import Dispatcher
from sardinehook.gateway.fleet import GatewayFleet, GatewayRecord
from sardinehook.gateway.follower import StoreFollower
from sardinehook.gateway.heartbeat import HeartbeatProtocol
from sardinehook.gateway.http_server import HttpServer
from sardinehook.gateway.interfaces import CallerCodec, ReplicaCodec, StoreSchema
from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.organisations.confirmation_log import ConfirmationLog
from sardinehook.gateway.pace.pacer import PACE_VARIABLE
from sardinehook.gateway.peers import PeerClient
from sardinehook.gateway.policy import DEMAND_WINDOW_S, RequestPolicy
from sardinehook.gateway.probes import ProbeServer
from sardinehook.gateway.quota.gate import QuotaGate
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.replica_selection import ReplicaSelector
from sardinehook.gateway.request_handler import RequestHandler
from sardinehook.gateway.request_log import RequestLog
from sardinehook.gateway.rollout.controller import RolloutController
from sardinehook.gateway.rollout.items import RolloutSite
from sardinehook.gateway.settings import GatewaySettings
from sardinehook.gateway.shares import compute_shares
from sardinehook.gateway.store import GatewayStore
from sardinehook.gateway.store_state import StoreState
from sardinehook.gateway.unexpected import call_logged
from sardinehook.gateway.usage.service import UsageService
from sardinehook.observe.errors import log_error
from sardinehook.observe.events import EventName, log_event
from sardinehook.observe.loop_lag import LoopLagProbe
from sardinehook.observe.memory import resident_bytes
from sardinehook.transport.connection import invalid_statuses, receive_buffers
from sardinehook.transport.early_sockets import LISTEN_BACKLOG
from sardinehook.transport.reactor import StreamServerFactory, Timer
from sardinehook.transport.tasks import RepeatingCall, sleep, start_task

__all__ = ["Dialects", "GatewayProcess", "SettingsSource"]

logger = structlog.get_logger(__name__)

MS_PER_S = 1000.0
SWEEP_INTERVAL_S = 0.05  # resolution of deadlines without a timer of their own
HOUSEKEEPING_INTERVAL_S = 0.5
DELEGATED_SUB_REQUESTS_PER_CORE = 400.0  # concurrent; a core does them in 0.1 s
DEMAND_UPDATE_DELAY_S = 1.0  # of the shares, after demands of gateways have changed
HEARTBEAT_INTERVAL_S = 0.2  # a paused gateway is detected within a second
NOT_READY_NOTICE_S = 3.0  # the balancer needs two failed probes, one a second
STOP_MARGIN_S = 0.4  # to answer unfinished requests before the grace period ends


class SettingsSource(NamedTuple):
    """Loads the settings, and returns when their file was last modified."""

    load: Callable[[], Result[GatewaySettings, str]]
    modified_at: Callable[[], float]


class Dialects(NamedTuple):
    """Translations of the protocols of callers, replicas and store keys."""

    callers: CallerCodec
    replicas: ReplicaCodec
    keys: StoreSchema


class GatewayProcess:
    """One gateway: its HTTP front, its replicas and its view of the store."""

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
        self.settings_modified_at = source.modified_at
        self.settings_last_modified_at = source.modified_at()
        self.metrics = metrics
        self.random = Random(crc32(settings.node.encode()))
        self.store = make_store(metrics)
        self.directory = Directory(reactor, settings.bounds.drain_s, settings.node)
        self.directory.notice_board.on_pause = metrics.pauses.inc
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
        self.policy.on_retry_denied = metrics.repeats_denied.inc
        selector.on_cold_denied = metrics.cold_denied.inc
        selector.on_rate_denied = metrics.rate_denied.inc
        selector.on_pace_denied = metrics.pace_denied.inc
        dispatcher.on_new_connection_lost = metrics.new_connections_lost.inc
        self.directory.pacer.enabled = environ.get(PACE_VARIABLE) != "off"
        self.request_log = RequestLog(reactor, metrics)
        self.request_handler = RequestHandler(
            self.policy, self.request_log, self.random
        )
        self.http_server = HttpServer(reactor, self.request_handler.handle)
        record = GatewayRecord(
            settings.peer_address,
            settings.data_centre,
            settings.heartbeat_address,
            settings.link_mbps,
            usage_at=settings.usage_address,
        )
        self.fleet = GatewayFleet(
            reactor, self.store, settings.node, record, self.update_gateways
        )
        self.shared_records: dict[str, GatewayRecord] = {}
        self.shares_timer: Timer | None = None
        self.shares_update_at = 0.0
        self.delegates = Delegates(reactor, self.fleet)
        self.request_handler.delegates = self.delegates
        self.request_handler.max_delegated = int(
            DELEGATED_SUB_REQUESTS_PER_CORE * settings.cores
        )
        self.usage = UsageService(
            reactor,
            self.fleet,
            metrics,
            settings.usage_address,
            int(time.time() * MS_PER_S),
            settings.bounds.quota_window_s,
        )
        self.quota = QuotaGate(
            reactor, self.usage.exchange, settings.bounds, metrics, self.random
        )
        self.request_handler.quota = self.quota
        state = StoreState(
            reactor, dialects.keys, self.directory, self.fleet, self.apply_configuration
        )
        self.follower = StoreFollower(
            reactor,
            self.store,
            PeerClient(
                reactor,
                self.random,
                metrics.count_peer_call,
                state.cache.restore,
                lambda: state.cache.era,
            ),
            state,
            self.fleet,
            self.random,
        )
        self.follower.seeds = tuple(
            seed for seed in settings.seeds if seed != settings.peer_address
        )
        state.on_changed = self.handle_changes
        self.store.on_era = state.observe_era
        self.request_handler.confirmation = state.confirmation
        self.confirmation_log = ConfirmationLog(state.confirmation)
        self.rollouts = self.make_rollouts(dialects.keys)
        state.rollouts = self.rollouts
        self.rollouts.decisions.writer.is_behind = lambda: state.is_behind
        self.rollouts.decisions.writer.era = lambda: state.era.known or 0
        dispatcher.monitor = self.rollouts
        selector.version_groups = self.rollouts.groups
        self.probes = ProbeServer(
            reactor,
            self.unready_reason,
            self.render_metrics,
            self.follower.relay,
            self.request_handler.handle_delegated,
        )
        self.follower.configure(settings.bounds)
        self.fleet.on_recovery = self.store.drop_connections
        self.heartbeats = HeartbeatProtocol(
            self.fleet,
            lambda: bool(self.request_handler.cut_off_reason()),
            self.delegates.record_heartbeat,
        )
        self.heartbeats.unheard = self.delegates.unheard
        self.heartbeats.own_report = self.request_handler.delegate_report
        self.heartbeats.on_report = self.delegates.record_report
        self.delegates.ask = self.heartbeats.ask
        self.heartbeat_loop = RepeatingCall(
            reactor, HEARTBEAT_INTERVAL_S, self.heartbeats.send
        )
        self.sweep_loop = RepeatingCall(reactor, SWEEP_INTERVAL_S, self.sweep)
        self.housekeeping_loop = RepeatingCall(
            reactor, HOUSEKEEPING_INTERVAL_S, self.run_housekeeping
        )
        self.lag_probe = LoopLagProbe(reactor, metrics)
        self.stopping = False
        self.last_reason_kind = "starting"

    def make_rollouts(self, schema: StoreSchema) -> RolloutController:
        """Return the controller of rollouts, with the ledger that it counts in."""
        node = self.settings.node

        def contact_age_s() -> float:
            age_s: float = self.reactor.seconds() - self.follower.last_contact_at
            return age_s

        def names() -> frozenset[str]:
            return frozenset({*self.fleet.records, node})

        rollouts = RolloutController(
            self.reactor,
            self.directory,
            self.store,
            schema,
            self.usage.ledger,
            RolloutSite(node, self.settings.data_centre, names, contact_age_s),
            self.metrics,
        )
        rollouts.configure(self.settings.bounds)
        rollouts.on_watch_limit = self.limit_watches
        rollouts.on_running = partial(self.usage.require, "rollouts")
        return rollouts

    def limit_watches(self, wait_s: float) -> None:
        """Limit how long watches of the store wait for a change."""
        self.follower.max_watch_wait_s = wait_s

    def run(self) -> None:
        """Listen and run the reactor until a signal has caused a graceful stop.

        Raises ``OSError`` if an address is in use or not one of this VM.
        """
        self.listen()
        self.reactor.callWhenRunning(self.start)
        self.reactor.call_on_signal(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.reactor.call_on_signal(number, self.begin_stop)
        self.reactor.run()

    def begin_stop(self) -> None:
        """Stop gracefully and then end the reactor; later signals change nothing."""
        if not self.stopping:
            start_task(self.stop_and_exit(), log_error)

    async def stop_and_exit(self) -> None:
        """Stop gracefully, and end the reactor whatever goes wrong."""
        try:
            await self.stop()
        finally:
            self.reactor.stop()

    def listen(self) -> None:
        """Bind all addresses; connections are accepted once the reactor runs."""
        settings = self.settings
        listen(self.reactor, settings.front_address, self.http_server)
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
        """Start following the store, and the periodic tasks."""
        settings = self.settings
        if settings.heartbeat_address:
            self.heartbeat_loop.start()
        self.policy.restart_counting()
        self.request_handler.startup_queue.open()
        self.follower.start()
        self.fleet.start()
        self.sweep_loop.start()
        self.housekeeping_loop.start()
        self.lag_probe.start()
        gc.freeze()
        gc.enable()
        log_event(
            logger,
            EventName.PROCESS_STARTED,
            address=settings.front_address,
            detail=f"store={settings.store_address}",
        )

    def reload(self) -> None:
        """Reload the settings; addresses keep their values from the start."""
        match self.load_settings():
            case Success(settings):
                changed = settings != self.settings
                self.settings = settings
                self.policy.configure(settings.bounds)
                self.follower.configure(settings.bounds)
                self.quota.configure_bounds(settings.bounds)
                self.rollouts.configure(settings.bounds)
                state = "changed" if changed else "unchanged"
                log_event(logger, EventName.SETTINGS_RELOADED, state=state)
            case Failure(detail):
                log_event(logger, EventName.SETTINGS_REFUSED, detail=str(detail))

    def watch_settings(self) -> None:
        """Reload the settings if their file was modified, even without a signal."""
        modified_at = self.settings_modified_at()
        if modified_at != self.settings_last_modified_at:
            self.settings_last_modified_at = modified_at
            self.reload()

    def unready_reason(self) -> str:
        """Return why this gateway is not ready, empty if it is; log a new kind."""
        reason = self.find_unready_reason()
        kind = reason.partition(":")[0]
        if kind != self.last_reason_kind:
            self.last_reason_kind = kind
            log_event(logger, EventName.READINESS, state=reason or "ready")
        return reason

    def find_unready_reason(self) -> str:
        """Return what prevents this gateway from serving, empty if nothing does."""
        if self.stopping:
            return "stopping"
        if self.request_handler.configuration is None:
            return "no configuration yet"
        return self.request_handler.cut_off_reason()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force for all later requests."""
        self.request_handler.configure(configuration)
        self.directory.configure(configuration)
        self.http_server.limits = configuration.limits
        self.usage.require("quotas", self.quota.configure(configuration.organisations))
        self.metrics.version.set(configuration.version)
        self.metrics.set_organisations(configuration.organisations)
        log_event(logger, EventName.REVISION_IN_FORCE, revision=configuration.version)

    def handle_changes(self) -> None:
        """Pass changes of the store on, and start requests that waited for them."""
        self.follower.relay.answer_waiting()
        startup_queue = self.request_handler.startup_queue
        if startup_queue.waiting and self.request_handler.configuration:
            # The shares are updated first, in a timer that is due already.
            self.reactor.callLater(0.0, startup_queue.release)

    def update_gateways(self, names: frozenset[str]) -> None:
        """Update what gateways share if their records have changed."""
        if self.fleet.records.keys() != self.shared_records.keys():
            # Many gateways may become known in one event-loop iteration: update once.
            self.schedule_shares_update(0.0)
        elif self.fleet.records != self.shared_records:
            # Demands change often in a large fleet, and may wait.
            self.schedule_shares_update(DEMAND_UPDATE_DELAY_S)
        self.metrics.gateways.set(len(names))

    def schedule_shares_update(self, delay_s: float) -> None:
        """Update the shares after a delay, or sooner if that is scheduled already."""
        due_at = self.reactor.seconds() + delay_s
        timer = self.shares_timer
        if timer is not None and timer.active():
            if due_at >= self.shares_update_at:
                return
            timer.cancel()
        self.shares_update_at = due_at
        self.shares_timer = self.reactor.callLater(delay_s, self.update_shares)

    def update_shares(self) -> None:
        """Divide limits, budgets and searches among the known gateways.

        A gateway whose share of searches is above average is a delegate of others, and
        sends heartbeats.
        """
        self.shared_records = dict(self.fleet.records)
        records = {**self.fleet.records, self.settings.node: self.fleet.record}
        shares = compute_shares(self.settings.node, records)
        self.directory.set_shares(shares)
        self.delegates.update()
        self.usage.update_members()
        self.heartbeats.sends_heartbeats = (
            shares.search_divisor < shares.request_divisor
        )

    def sweep(self) -> None:
        """Enforce deadlines of requests to replicas and of delegated searches."""
        now = self.reactor.seconds()
        call_logged(lambda: self.policy.dispatcher.sweep(now))
        call_logged(self.delegates.sweep)

    def run_housekeeping(self) -> None:
        """Sweep expired state, reload changed settings, update delegates and gauges.

        An unexpected error in one step does not prevent the others.
        """
        for step in (
            self.sweep_callers,
            self.update_directory,
            self.watch_settings,
            self.fleet.publish_names,
            self.delegates.update,
            self.usage.update_members,
            self.quota.sweep,
            self.publish_demand,
            self.update_gauges,
            self.log_confirmation,
        ):
            call_logged(step)

    def sweep_callers(self) -> None:
        """Enforce the timeouts of callers' connections."""
        self.http_server.closes_after_answer = bool(self.unready_reason())
        self.http_server.sweep()

    def update_directory(self) -> None:
        """Remove replicas that have left, and connect to those out of reach."""
        now = self.reactor.seconds()
        self.directory.sweep(now)
        self.directory.probe_suspects(now)
        self.directory.probe_failing(now)

    @property
    def limited_replicas(self) -> int:
        """The number of replicas that state a rate limit."""
        return sum(
            replica.notices.rate_share is not None
            for replica in self.directory.replicas.values()
        )

    def publish_demand(self) -> None:
        """Tell the other gateways the demand here while replicas limit their rate."""
        if self.limited_replicas:
            now = self.reactor.seconds()
            self.fleet.publish_demand(
                self.policy.single_requests.total(now) / DEMAND_WINDOW_S,
                self.policy.searches.total(now) / DEMAND_WINDOW_S,
            )

    def update_gauges(self) -> None:
        """Set the gauges that change with time."""
        replicas = self.directory.replicas
        self.metrics.replicas.set(len(replicas))
        self.metrics.limited_replicas.set(self.limited_replicas)
        leaving = sum(
            replica.notices.leaving_since is not None for replica in replicas.values()
        )
        self.metrics.leaving_replicas.set(leaving)
        self.metrics.paced_replicas.set(len(self.directory.pacer.paced))
        held = sum(replica.pool.connection_count for replica in replicas.values())
        self.metrics.connections.set(held)
        now = self.reactor.seconds()
        self.metrics.store_age_seconds.set(now - self.follower.last_contact_at)
        self.metrics.store_era.set(self.follower.state.era.known or 0)
        self.metrics.watch_pending_seconds.set(self.follower.monitor.pending_s)
        self.metrics.delegated_in_flight.set(self.request_handler.delegated_in_flight)

    def log_confirmation(self) -> None:
        """Log whether keys are confirmed, where callers need any."""
        configuration = self.request_handler.configuration
        if configuration is not None and configuration.organisations is not None:
            now = self.reactor.seconds()
            self.confirmation_log.observe(self.policy.bounds, now)

    def render_metrics(self) -> bytes:
        """Render all metrics, with the memory in use at this moment."""
        self.metrics.receive_buffer_bytes.set(receive_buffers.used)
        self.metrics.count_invalid_statuses(invalid_statuses)
        self.metrics.resident_bytes.set(resident_bytes())
        return self.metrics.render()

    @property
    def has_work(self) -> bool:
        """Whether callers are connected or searches run for other gateways."""
        return bool(
            self.http_server.connections or self.request_handler.delegated_in_flight
        )

    async def stop(self) -> None:
        """Turn not-ready, drain callers' connections, and stop all tasks.

        From the start, each answer closes its connection. Idle connections are closed
        only after the balancer has had time to notice, since a caller may be sending a
        request on them. From then on, requests that would not be finished in time are
        refused. Requests unfinished at the end of the grace period are answered as
        having an unknown outcome.
        """
        began = self.reactor.seconds()
        end_at = began + self.settings.bounds.grace_s - STOP_MARGIN_S
        log_event(
            logger, EventName.PROCESS_STOPPING, count=self.request_handler.in_flight
        )
        self.stopping = self.request_handler.stopping = True
        self.http_server.closes_after_answer = True
        start_task(self.fleet.leave(), log_error)
        await sleep(self.reactor, NOT_READY_NOTICE_S)
        self.http_server.closes_idle = True
        self.http_server.sweep()
        self.request_handler.stops_at = end_at
        while self.has_work and self.reactor.seconds() < end_at:
            await sleep(self.reactor, SWEEP_INTERVAL_S)
            self.http_server.sweep()
        self.request_handler.admission.stop()
        unfinished = len(self.http_server.connections)
        if unfinished:
            problem = Problem(
                ErrorKind.OUTCOME_UNKNOWN,
                "gateway stopped before the request was finished",
            )
            self.http_server.fail_requests(error_answer(problem))
            await sleep(self.reactor, SWEEP_INTERVAL_S)
        self.follower.stop()
        for loop in (self.sweep_loop, self.housekeeping_loop, self.heartbeat_loop):
            loop.stop()
        self.rollouts.loop.stop()
        self.lag_probe.stop()
        self.usage.stop()
        took_ms = (self.reactor.seconds() - began) * 1000.0
        log_event(
            logger,
            EventName.PROCESS_STOPPED,
            took_ms=took_ms,
            count=unfinished,
        )


def listen(reactor: GatewayReactor, address: str, factory: StreamServerFactory) -> None:
    """Listen on ``address``, given as ``IP:port``."""
    host, _, port = address.rpartition(":")
    reactor.listenTCP(int(port), factory, backlog=LISTEN_BACKLOG, interface=host)
