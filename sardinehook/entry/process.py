"""The entry process: builds its components, starts and stops them."""

from __future__ import annotations

import random
import secrets
import sys
import time
from itertools import count
from typing import Any
from zlib import crc32

import structlog
from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.task import LoopingCall, deferLater

from sardinehook.entry.allowances import AllowanceApplier, LeaseGuard
from sardinehook.entry.dispatcher import Dispatcher, IndexedReplica
from sardinehook.entry.front import EntryStatus, build_site
from sardinehook.entry.order_handler import EntryOrderHandler
from sardinehook.entry.report_exchange import ReportExchange
from sardinehook.entry.request_handler import RequestHandler
from sardinehook.entry.search_handler import SearchHandler
from sardinehook.entry.settings import EntrySettings
from sardinehook.entry.vm_watch import VmNotice, VmWatch
from sardinehook.environment.holder import DocumentHolder
from sardinehook.environment.revision import Revision
from sardinehook.environment.spread import (
    Message,
    RevisionAnnounce,
    RevisionDelta,
    RevisionRequest,
)
from sardinehook.environment.updater import DocumentUpdater
from sardinehook.fleet.link import Links, split_address
from sardinehook.fleet.member import Member, MemberState
from sardinehook.fleet.service import Fleet, Identity
from sardinehook.messages import (
    CancelSubQuery,
    ReplicaReport,
    SubQuery,
    SubReply,
    TargetState,
)
from sardinehook.observe.clock import HybridClock
from sardinehook.observe.events import EventName, configure_logging, log_event
from sardinehook.observe.loop_lag import LoopLagProbe
from sardinehook.observe.metrics import Metrics
from sardinehook.observe.twisted_errors import log_unhandled_errors
from sardinehook.order.claim import Claimant
from sardinehook.query.policy import SearchPolicy
from sardinehook.query.replica_choice import ReplicaChooser
from sardinehook.store.http_store import HttpStore
from sardinehook.store.vm_list import HttpVmList
from sardinehook.target.limits import OwnerLimits
from sardinehook.target.owner import TargetOwner

__all__ = ["EntryProcess", "run_entry"]

logger = structlog.get_logger(__name__)

STORE_TIMEOUT_MS = 1000.0
STOP_POLL_S = 0.02
HOUSEKEEPING_INTERVAL_S = 0.5
WATCHERS_PER_DATA_CENTRE = 2
INCARNATION_BYTES = 4
BOOT_BITS = 31
JOIN_TIMEOUT_S = 5.0
SUB_QUERY_ID_RANDOM_BITS = 31
SUB_QUERY_ID_COUNT_BITS = 32
MS_PER_S = 1000.0
DEFAULT_STOP_GRACE_S = 10.0


class EntryProcess:
    """The process of an entry VM: HTTP server, searches, owned replicas, links."""

    def __init__(self, reactor: Any, settings: EntrySettings) -> None:  # noqa: ANN401
        self.reactor = reactor
        self.settings = settings
        self.clock = HybridClock(time.time)
        self.metrics = Metrics()
        self.holder = DocumentHolder(settings.environment)
        self.store = HttpStore(reactor, settings.platform_address, STORE_TIMEOUT_MS)
        self.links = Links(reactor, settings.node, settings.link_address)
        self.links.read_stamp = self.clock.tick
        self.links.observe_stamp = self.observe_stamp
        self.vm_list = HttpVmList(reactor, settings.platform_address, STORE_TIMEOUT_MS)
        self.owner = TargetOwner(reactor, OwnerLimits())
        self.fleet = Fleet(
            reactor,
            self.make_identity(),
            self.links,
            self.store,
            self.vm_list,
            [peer.link_address for peer in settings.peers],
            self.owner.in_flight,
        )
        self.allowances = AllowanceApplier(
            reactor, settings.data_centre, self.fleet, self.owner
        )
        self.lease_guard = LeaseGuard(self.fleet, self.allowances, self.owner)
        self.vm_watch = VmWatch(
            reactor,
            self.vm_list,
            self.owner.update_vm_state,
            self.fleet.peers,
            self.links.send,
        )
        self.dispatcher = Dispatcher(
            settings.node, self.fleet, self.links, self.lease_guard
        )
        self.sub_query_ids = count(first_sub_query_id())
        chooser = ReplicaChooser(settings.data_centre, crc32(settings.node.encode()))
        policy = SearchPolicy(self.sub_query_ids, chooser=chooser)
        self.search_handler = SearchHandler(
            reactor, self.dispatcher, policy, self.metrics, self.clock
        )
        self.order_handler = EntryOrderHandler(
            reactor,
            self.store,
            settings.environment,
            Claimant(settings.node, secrets.token_hex(INCARNATION_BYTES)),
            self.dispatcher,
            self.search_handler.planner,
            self.sub_query_ids,
            self.metrics,
        )
        self.request_handler = RequestHandler(
            settings.data_centre, self.holder, self.search_handler, self.order_handler
        )
        self.report_exchange = ReportExchange(
            reactor,
            self.owner.views,
            self.connected_peers,
            self.links.send,
            self.search_handler.on_report,
        )
        self.updater = DocumentUpdater(
            reactor,
            self.store,
            self.holder,
            self.send_message,
            self.connected_peers,
            random.Random(settings.node),
        )
        self.lag_probe = LoopLagProbe(reactor, self.metrics)
        self.housekeeping = LoopingCall(self.run_housekeeping)
        self.housekeeping.clock = reactor
        self.started_at = 0.0
        self.stopping = False
        self.listener: Any = None
        self.connect_components()

    def make_identity(self) -> Identity:
        """Create the identity of this run, with a random boot number."""
        settings = self.settings
        member = Member(
            settings.node,
            settings.data_centre,
            settings.link_address,
            settings.http_address,
            int(time.time() * MS_PER_S),
        )
        boot = secrets.randbits(BOOT_BITS)
        return Identity(settings.environment, member, boot, settings.vm_incarnation)

    def connected_peers(self) -> list[str]:
        """Return the names of the peers with a live link, sorted."""
        return sorted(self.links.live_links)

    def send_message(self, node: str, message: Message) -> None:
        """Send a message; delivery is not guaranteed."""
        self.links.send(node, message)

    def run_housekeeping(self) -> None:
        """Run periodic work: select the store watchers and update the gauges."""
        alive = sorted(
            member.name
            for member in self.fleet.members(self.settings.data_centre)
            if member.state is MemberState.ALIVE or member.name == self.settings.node
        )
        watches = self.settings.node in alive[:WATCHERS_PER_DATA_CENTRE]
        self.updater.set_watching(watches)
        self.vm_watch.set_fetching(watches)
        self.update_gauges()

    def update_gauges(self) -> None:
        """Update the gauges of connections, slots, queue and replicas."""
        counts = self.owner.counts()
        self.metrics.connections.set(counts.connections)
        self.metrics.connections_allowed.set(counts.connections_allowed)
        self.metrics.slots.set(counts.slots)
        self.metrics.slots_allowed.set(counts.slots_allowed)
        self.metrics.queued.set(counts.queued)
        self.metrics.set_replicas(counts.replicas)

    def on_report(self, report: ReplicaReport) -> None:
        """Apply a peer's report on a replica to searches and the local owner."""
        self.search_handler.on_report(report)
        self.owner.update_peer_view(report.replica, TargetState(report.state))

    def connect_components(self) -> None:
        """Register listeners and message handlers."""
        self.holder.add_listener(self.apply_revision)
        self.links.on(SubQuery, self.on_sub_query)
        self.links.on(CancelSubQuery, self.on_cancel)
        for message_type in (RevisionAnnounce, RevisionRequest, RevisionDelta):
            self.links.on(message_type, self.updater.on_message)
        self.links.on(SubReply, self.dispatcher.on_reply)
        self.links.on(ReplicaReport, lambda _node, report: self.on_report(report))
        self.links.on(VmNotice, lambda _node, notice: self.vm_watch.on_notice(notice))
        self.fleet.on_change(self.allowances.schedule)
        self.links.on_down(self.dispatcher.on_link_down)
        self.links.on_down(self.report_exchange.forget)

    def observe_stamp(self, stamp: int) -> None:
        """Advance the hybrid clock to a peer's stamp."""
        self.clock.witness(stamp)

    def on_sub_query(self, node: str, sub_query: SubQuery) -> None:
        """Run a peer's sub-query on a replica owned by this process."""
        self.lease_guard.submit(
            node, sub_query, lambda reply: self.send_reply(node, reply)
        )

    def send_reply(self, node: str, reply: SubReply) -> None:
        """Send a reply to the peer; a lost link has already failed its sub-query."""
        self.links.send(node, reply)

    def on_cancel(self, node: str, cancel: CancelSubQuery) -> None:
        """Cancel a peer's sub-query."""
        self.owner.cancel(node, cancel.sub_query_id)

    def start(self) -> Deferred[None]:
        """Open the listeners, join the fleet and start following the document."""
        self.started_at = self.reactor.seconds()
        listening = self.links.listen()
        self.fleet.start()
        host, port = split_address(self.settings.http_address)
        self.listener = self.reactor.listenTCP(
            port, build_site(self.request_handler, self), backlog=512, interface=host
        )
        self.report_exchange.start()
        self.updater.start([peer.node for peer in self.settings.peers])
        self.housekeeping.start(HOUSEKEEPING_INTERVAL_S)
        self.lag_probe.start()
        log_event(
            logger,
            EventName.PROCESS_STARTED,
            address=self.settings.http_address,
            detail=self.settings.environment,
        )
        return listening.addCallback(lambda _address: None)

    def apply_revision(self, revision: Revision) -> None:
        """Put a revision in force in every component."""
        document = revision.document
        self.search_handler.configure(document)
        self.order_handler.configure(document.limits)
        replicas = {
            replica.name: IndexedReplica(replica, index)
            for index in document.indexes.values()
            for group in index.services.values()
            for replica in group
        }
        self.dispatcher.configure(replicas)
        self.owner.configure(document.indexes)
        self.vm_watch.configure(replicas)
        self.allowances.configure(replicas)
        local_member = self.fleet.membership.local_member._replace(
            revision=revision.number
        )
        self.fleet.membership.set_local_member(local_member)
        self.metrics.revision.set(revision.number)
        log_event(
            logger,
            EventName.REVISION_IN_FORCE,
            revision=revision.number,
            cause=revision.change_id,
        )

    def unready_reason(self) -> str:
        """Return why readiness fails while requests are accepted, else empty."""
        if self.stopping:
            return "stopping"
        waited_s = self.reactor.seconds() - self.started_at
        missing = set(self.data_centres()) - self.fleet.roster_cache.rosters.keys()
        if missing and waited_s < JOIN_TIMEOUT_S:
            return f"joining the fleet, no roster from {', '.join(sorted(missing))}"
        return ""

    def run(self) -> None:
        """Run the reactor; start with it and stop gracefully before it shuts down."""
        self.reactor.callWhenRunning(self.start)
        self.reactor.addSystemEventTrigger(
            "before", "shutdown", lambda: Deferred.fromCoroutine(self.stop())
        )
        self.reactor.run()

    def data_centres(self) -> list[str]:
        """Return the data centres of the document in force, sorted."""
        revision = self.holder.in_force
        return sorted(revision.document.data_centres) if revision else []

    def status(self) -> EntryStatus:
        """Return the status of this process."""
        problem = self.request_handler.refusal()
        revision = self.holder.in_force
        reason = problem.detail if problem else self.unready_reason()
        return EntryStatus(
            node=self.settings.node,
            data_centre=self.settings.data_centre,
            environment=self.settings.environment,
            ready=not reason,
            reason=reason,
            revision=revision.number if revision else 0,
            digest=revision.digest if revision else "",
            members=[
                member.name
                for data_centre in self.data_centres()
                for member in self.fleet.members(data_centre)
            ],
            requests_in_flight=self.request_handler.in_flight,
        )

    def metrics_text(self) -> bytes:
        """Render the metrics."""
        return self.metrics.render()

    async def stop(self) -> None:
        """Stop gracefully: fail readiness, drain requests, leave the fleet."""
        log_event(logger, EventName.PROCESS_STOPPING)
        self.stopping = True
        revision = self.holder.in_force
        limits = revision.document.limits if revision else None
        notice_s = limits.stop_notice_ms / MS_PER_S if limits else 0.0
        grace_s = limits.stop_grace_ms / MS_PER_S if limits else DEFAULT_STOP_GRACE_S
        deadline = self.reactor.seconds() + notice_s + grace_s
        await deferLater(self.reactor, notice_s)
        self.request_handler.accepts_requests = False
        await self.listener.stopListening()
        while self.request_handler.in_flight and self.reactor.seconds() < deadline:
            await deferLater(self.reactor, STOP_POLL_S)
        drained = Deferred.fromCoroutine(self.order_handler.coordinator.drain())
        drained.addTimeout(max(0.0, deadline - self.reactor.seconds()), self.reactor)
        drained.addErrback(lambda failure: failure.trap(TimeoutError))
        await drained
        await self.fleet.leave(max(0.0, deadline - self.reactor.seconds()))
        await self.owner.close(max(0.0, deadline - self.reactor.seconds()))
        self.vm_watch.stop()
        await self.fleet.stop()
        self.housekeeping.stop()
        self.lag_probe.stop()
        self.updater.stop()
        self.report_exchange.stop()
        await self.links.close()
        log_event(logger, EventName.PROCESS_STOPPED)


def first_sub_query_id() -> int:
    """Return a random first sub-query id, so that a restart reuses no ids.

    An owner may still hold replies for the previous process with this node name.
    """
    return secrets.randbits(SUB_QUERY_ID_RANDOM_BITS) << SUB_QUERY_ID_COUNT_BITS


def run_entry(settings: EntrySettings) -> None:
    """Run an entry process on the default reactor until SIGTERM or SIGINT."""
    from twisted.internet import reactor

    running: Any = reactor
    running.seconds = time.monotonic
    process = EntryProcess(running, settings)
    configure_logging(sys.stdout, settings.node, settings.data_centre, process.clock)
    log_unhandled_errors()
    process.run()
