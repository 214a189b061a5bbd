"""The entry process: wires its parts, starts them and stops them gracefully."""

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
from sardinehook.entry.caller_desk import CallerDesk
from sardinehook.entry.dispatcher import Dispatcher, IndexedReplica
from sardinehook.entry.front import EntryStatus, build_site
from sardinehook.entry.orders import EntryOrders
from sardinehook.entry.searches import SearchDesk
from sardinehook.entry.settings import EntrySettings
from sardinehook.entry.view_exchange import ViewExchange
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
STORE_WATCHERS = 2
INCARNATION_BYTES = 4
BOOT_BITS = 31
JOIN_PATIENCE_S = 5.0
SUB_QUERY_ID_RANDOM_BITS = 31
SUB_QUERY_ID_COUNT_BITS = 32
MS_PER_S = 1000.0
DEFAULT_GRACE_S = 10.0


class EntryProcess:
    """One entry VM's process: front, searches, owned replicas and links."""

    def __init__(self, reactor: Any, settings: EntrySettings) -> None:  # noqa: ANN401
        self.reactor = reactor
        self.settings = settings
        self.clock = HybridClock(time.time)
        self.metrics = Metrics()
        self.holder = DocumentHolder(settings.environment)
        self.store = HttpStore(reactor, settings.platform_address, STORE_TIMEOUT_MS)
        self.links = Links(reactor, settings.node, settings.link_address)
        self.links.read_stamp = self.clock.tick
        self.links.observe_stamp = self.witness
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
        self.guard = LeaseGuard(self.fleet, self.allowances, self.owner)
        self.vm_watch = VmWatch(
            reactor,
            self.vm_list,
            self.owner.update_vm_state,
            self.fleet.peers,
            self.links.send,
        )
        self.dispatcher = Dispatcher(settings.node, self.fleet, self.links, self.guard)
        self.sub_query_ids = count(first_sub_query_id())
        chooser = ReplicaChooser(settings.data_centre, crc32(settings.node.encode()))
        policy = SearchPolicy(self.sub_query_ids, chooser=chooser)
        self.searches = SearchDesk(
            reactor, self.dispatcher, policy, self.metrics, self.clock
        )
        self.orders = EntryOrders(
            reactor,
            self.store,
            settings.environment,
            Claimant(settings.node, secrets.token_hex(INCARNATION_BYTES)),
            self.dispatcher,
            self.searches.planner,
            self.sub_query_ids,
            self.metrics,
        )
        self.desk = CallerDesk(
            settings.data_centre, self.holder, self.searches, self.orders
        )
        self.views = ViewExchange(
            reactor,
            self.owner.views,
            self.list_connected,
            self.links.send,
            self.searches.take_view,
        )
        self.control = DocumentUpdater(
            reactor,
            self.store,
            self.holder,
            self.tell,
            self.list_connected,
            random.Random(settings.node),
        )
        self.lag_probe = LoopLagProbe(reactor, self.metrics)
        self.housekeeping = LoopingCall(self.keep_house)
        self.housekeeping.clock = reactor
        self.started_at = 0.0
        self.stopping = False
        self.front: Any = None
        self.wire()

    def make_identity(self) -> Identity:
        """Draw the identity of this run of the process."""
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

    def list_connected(self) -> list[str]:
        """List the peers that can be reached now."""
        return sorted(self.links.live_links)

    def tell(self, node: str, message: Message) -> None:
        """Send a message that may be lost."""
        self.links.send(node, message)

    def keep_house(self) -> None:
        """Do what is due from time to time: choose watchers, set gauges."""
        alive = sorted(
            member.name
            for member in self.fleet.members(self.settings.data_centre)
            if member.state is MemberState.ALIVE or member.name == self.settings.node
        )
        watches = self.settings.node in alive[:STORE_WATCHERS]
        self.control.set_watching(watches)
        self.vm_watch.should_fetch(watches)
        self.set_gauges()

    def set_gauges(self) -> None:
        """Set the metrics of what this process holds and knows."""
        held = self.owner.counts()
        self.metrics.connections.set(held.connections)
        self.metrics.connections_allowed.set(held.connections_allowed)
        self.metrics.slots.set(held.slots)
        self.metrics.slots_allowed.set(held.slots_allowed)
        self.metrics.queued.set(held.queued)
        self.metrics.set_replicas(held.replicas)

    def take_view(self, view: ReplicaReport) -> None:
        """Use what the owner of a replica tells, here or at a peer."""
        self.searches.take_view(view)
        self.owner.update_peer_view(view.replica, TargetState(view.state))

    def wire(self) -> None:
        """Connect the parts."""
        self.holder.add_listener(self.apply_revision)
        self.links.on(SubQuery, self.take_sub_query)
        self.links.on(CancelSubQuery, self.take_cancel)
        for message_type in (RevisionAnnounce, RevisionRequest, RevisionDelta):
            self.links.on(message_type, self.control.on_message)
        self.links.on(SubReply, self.dispatcher.on_reply)
        self.links.on(ReplicaReport, lambda _node, view: self.take_view(view))
        self.links.on(VmNotice, lambda _node, notice: self.vm_watch.take(notice))
        self.fleet.on_change(self.allowances.schedule)
        self.links.on_down(self.dispatcher.on_link_down)
        self.links.on_down(self.views.forget)

    def witness(self, stamp: int) -> None:
        """Take in the clock of a peer."""
        self.clock.witness(stamp)

    def take_sub_query(self, node: str, sub_query: SubQuery) -> None:
        """Run a peer's sub-query at a replica owned here."""
        self.guard.submit(node, sub_query, lambda reply: self.send_reply(node, reply))

    def send_reply(self, node: str, reply: SubReply) -> None:
        """Return a reply to the peer that asked; a lost link has told it already."""
        self.links.send(node, reply)

    def take_cancel(self, node: str, cancel: CancelSubQuery) -> None:
        """Abandon a peer's sub-query."""
        self.owner.cancel(node, cancel.sub_query_id)

    def start(self) -> Deferred[None]:
        """Listen, connect and begin to follow the environment's document."""
        self.started_at = self.reactor.seconds()
        listening = self.links.listen()
        self.fleet.start()
        host, port = split_address(self.settings.http_address)
        self.front = self.reactor.listenTCP(
            port, build_site(self.desk, self), backlog=512, interface=host
        )
        self.views.start()
        self.control.start([peer.node for peer in self.settings.peers])
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
        """Put a revision in force in every part of the process."""
        document = revision.document
        self.searches.configure(document)
        self.orders.configure(document.limits)
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
        """Return why the balancer should send nothing though requests are served."""
        if self.stopping:
            return "stopping"
        waited_s = self.reactor.seconds() - self.started_at
        unheard = set(self.data_centres()) - self.fleet.roster_cache.rosters.keys()
        if unheard and waited_s < JOIN_PATIENCE_S:
            return f"joining the fleet, not heard of {', '.join(sorted(unheard))}"
        return ""

    def run(self) -> None:
        """Start with the reactor, run it, and stop gracefully when it is told to."""
        self.reactor.callWhenRunning(self.start)
        self.reactor.addSystemEventTrigger(
            "before", "shutdown", lambda: Deferred.fromCoroutine(self.stop())
        )
        self.reactor.run()

    def data_centres(self) -> list[str]:
        """List the data centres of the document in force."""
        revision = self.holder.in_force
        return sorted(revision.document.data_centres) if revision else []

    def status(self) -> EntryStatus:
        """Describe this process."""
        problem = self.desk.refusal()
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
            requests_in_flight=self.desk.in_flight,
        )

    def metrics_text(self) -> bytes:
        """Render the metrics."""
        return self.metrics.render()

    async def stop(self) -> None:
        """Stop gracefully: turn not-ready, finish what is in flight, leave."""
        log_event(logger, EventName.PROCESS_STOPPING)
        self.stopping = True
        revision = self.holder.in_force
        limits = revision.document.limits if revision else None
        notice_s = limits.stop_notice_ms / MS_PER_S if limits else 0.0
        grace_s = limits.stop_grace_ms / MS_PER_S if limits else DEFAULT_GRACE_S
        give_up_at = self.reactor.seconds() + notice_s + grace_s
        await deferLater(self.reactor, notice_s)
        self.desk.takes_requests = False
        await self.front.stopListening()
        while self.desk.in_flight and self.reactor.seconds() < give_up_at:
            await deferLater(self.reactor, STOP_POLL_S)
        drained = Deferred.fromCoroutine(self.orders.desk.drain())
        drained.addTimeout(max(0.0, give_up_at - self.reactor.seconds()), self.reactor)
        drained.addErrback(lambda failure: failure.trap(TimeoutError))
        await drained
        await self.fleet.leave(max(0.0, give_up_at - self.reactor.seconds()))
        await self.owner.close(max(0.0, give_up_at - self.reactor.seconds()))
        self.vm_watch.stop()
        await self.fleet.stop()
        self.housekeeping.stop()
        self.lag_probe.stop()
        self.control.stop()
        self.views.stop()
        await self.links.close()
        log_event(logger, EventName.PROCESS_STOPPED)


def first_sub_query_id() -> int:
    """Draw where sub-query ids start, so that a restarted process repeats none.

    An owner may still hold replies to the process that had this node's name before.
    """
    return secrets.randbits(SUB_QUERY_ID_RANDOM_BITS) << SUB_QUERY_ID_COUNT_BITS


def run_entry(settings: EntrySettings) -> None:
    """Run an entry process on the default reactor until it is told to stop."""
    from twisted.internet import reactor

    running: Any = reactor
    running.seconds = time.monotonic
    process = EntryProcess(running, settings)
    configure_logging(sys.stdout, settings.node, settings.data_centre, process.clock)
    log_unhandled_errors()
    process.run()
