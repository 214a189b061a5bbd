"""The fleet as one entry process sees it: who lives, who owns what, and its share."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any

import structlog
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.python.failure import Failure

from sardinehook.environment.document import Index, Replica
from sardinehook.fleet.control_messages import (
    Released,
    RosterPull,
    RosterPush,
)
from sardinehook.fleet.datagram import fleet_number
from sardinehook.fleet.gossip import Gossip
from sardinehook.fleet.identity import Identity, ReplicaCapacity
from sardinehook.fleet.lease_manager import LeaseManager
from sardinehook.fleet.link import Links
from sardinehook.fleet.member import Member, MemberState
from sardinehook.fleet.membership import Membership
from sardinehook.fleet.node_allowance import node_allowance
from sardinehook.fleet.ownership import NOTHING
from sardinehook.fleet.ownership_state import OwnershipState
from sardinehook.fleet.registrar import RegistrarElection
from sardinehook.fleet.roster import Roster, RosterMember
from sardinehook.fleet.roster_cache import RosterCache
from sardinehook.fleet.roster_updater import RosterUpdater
from sardinehook.messages import ReplicaReport
from sardinehook.store.port import Store
from sardinehook.store.vm_list import VmLister
from sardinehook.target.allowance import Allowance

__all__ = ["Fleet", "Identity"]

logger = structlog.get_logger(__name__)

EVICTION_PERIOD_S = 15.0
RELEASE_POLL_S = 0.02
RELEASE_ATTEMPTS = 4
RELEASE_REQUEST_PERIOD_S = 1.0


class Fleet:
    """Membership, ownership and leases of one process.

    ``in_flight`` tells how much work runs at a replica here; ``seeds`` are link
    addresses to start from. After ``start``, ``on_change`` callbacks run whenever the
    answer of ``owner_of`` or ``allowance`` may have become another one.
    """

    def __init__(
        self,
        reactor: Any,  # noqa: ANN401
        identity: Identity,
        links: Links,
        store: Store,
        vm_list: VmLister,
        seeds: Iterable[str] = (),
        in_flight: Callable[[str], int] = lambda replica: 0,
    ) -> None:
        self.reactor = reactor
        self.identity = identity
        self.links = links
        self.in_flight = in_flight
        self.node = identity.member.name
        self.data_centre = identity.member.data_centre
        self.random = Random(identity.boot)
        number = fleet_number(identity.environment)
        self.membership = Membership(identity.member, number, identity.boot)
        self.membership.seeds = set(seeds)
        self.gossip = Gossip(reactor, self.membership, self.handle_tick)
        self.ownership = OwnershipState(self.node, identity.boot)
        self.roster_updater = RosterUpdater(
            reactor, store, vm_list, self.data_centre, self.apply_roster, self.random
        )
        self.election = RegistrarElection(
            reactor,
            store,
            self.data_centre,
            self.node,
            identity.boot,
            lambda: self.leases.announce_registrar(),
        )
        self.leases = LeaseManager(
            reactor,
            links,
            self.ownership,
            self.election,
            self.peers,
            self.has_excess_work,
        )
        self.roster_cache = RosterCache()
        self.capacities: dict[str, ReplicaCapacity] = {}
        self.callbacks: list[Callable[[], None]] = []
        self.lease_state: tuple[bool, frozenset[str]] = (False, frozenset())
        self.leaving = False
        self.tasks: set[Deferred[Any]] = set()
        self.release_pending = False
        self.released_epoch = 0
        self.releases_requested_at = float("-inf")
        self.eviction_loop: LoopingCall | None = None
        self.register_handlers()

    def register_handlers(self) -> None:
        """Take the fleet's messages from the links."""
        self.links.on(RosterPush, self.handle_roster_push)
        self.links.on(RosterPull, self.handle_roster_pull)
        self.links.on(Released, self.handle_released)
        self.links.on_down(self.membership.handle_link_lost)

    def start(self) -> None:
        """Begin; the links must be listening."""
        local_member = self.membership.local_member._replace(
            link_address=self.links.address
        )
        self.membership.set_local_member(local_member)
        self.gossip.start(self.links.address)
        own = self.identity
        entry = RosterMember(self.node, own.boot, own.vm_incarnation, 0.0, 0)
        self.start_task(self.roster_updater.join(entry))
        self.eviction_loop = LoopingCall(self.evict_removed_vms)
        self.eviction_loop.clock = self.reactor
        self.eviction_loop.start(EVICTION_PERIOD_S, now=False)

    def evict_removed_vms(self) -> None:
        """Look for members whose VMs are no more, if this is one of few that do."""
        if self.ownership.is_member and self.node in self.leases.registrar_candidates():
            self.start_task(self.roster_updater.evict_removed_vms())

    async def leave(self, limit_s: float) -> None:
        """Stop owning anything: finish, release, and tell that this process leaves.

        Waits at most about ``limit_s`` seconds for the work in flight; with work left,
        or without the platform's service, the roster keeps the process until the
        platform's list shows that it is gone.
        """
        self.leaving = True
        self.gossip.send(self.membership.leave())
        self.notify_change()
        give_up_at = self.reactor.seconds() + limit_s
        while self.has_excess_work() and self.reactor.seconds() < give_up_at:
            await deferLater(self.reactor, RELEASE_POLL_S)
        self.roster_updater.stopped = True
        if not self.has_excess_work():
            await self.roster_updater.release(
                self.node, self.identity.boot, RELEASE_ATTEMPTS
            )
        await self.election.leave()

    async def stop(self) -> None:
        """End all timers and close the port; the links are the caller's to close."""
        self.roster_updater.stopped = True
        if self.eviction_loop is not None and self.eviction_loop.running:
            self.eviction_loop.stop()
        await self.gossip.stop()
        for task in list(self.tasks):
            task.cancel()

    def start_task(self, coroutine: Any) -> None:  # noqa: ANN401
        """Run a coroutine; a fault in it is logged."""
        started: Deferred[Any] = Deferred.fromCoroutine(coroutine)
        self.tasks.add(started)
        started.addErrback(self.task_failed)
        started.addBoth(lambda _: self.tasks.discard(started))

    def task_failed(self, failure: Failure) -> None:
        """Log a fault; being cancelled is none."""
        if failure.check(CancelledError) is None:
            logger.error("fleet_task_failed", detail=failure.getErrorMessage())

    def is_self(self, node: str) -> bool:
        """Whether a node is this process."""
        return node == self.node

    def members(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of a data centre that are not known to be dead."""
        members = self.membership.table.in_data_centre(data_centre)
        return tuple(sorted(members))

    def last_heard_age_s(self, data_centre: str) -> float | None:
        """Return the seconds since anyone of a data centre was heard; None if never."""
        last_heard_at = self.membership.last_heard_at.get(data_centre)
        now: float = self.reactor.seconds()
        return None if last_heard_at is None else now - last_heard_at

    def owner_of(self, replica: Replica) -> str | None:
        """Return the owner by the newest roster known of the replica's data centre."""
        return self.roster_cache.owner_of(replica)

    def candidates_of(self, replica: Replica) -> tuple[str, ...]:
        """Return the owner of a replica and its possible deputy."""
        return self.roster_cache.candidates_of(replica)

    def allowance(self, replica: Replica, index: Index) -> Allowance:
        """Return what this process may use of a replica now."""
        if replica.data_centre != self.data_centre:
            return NOTHING
        self.capacities[replica.name] = ReplicaCapacity(index.slots, index.connections)
        return self.current_allowance(replica.name)

    def current_allowance(self, replica: str) -> Allowance:
        """Return what this process may use of a replica it was asked about before."""
        if self.leaving:
            return NOTHING
        slots, connections = self.capacities[replica]
        now = self.reactor.seconds()
        return node_allowance(
            self.ownership, self.leases.lease, replica, slots, connections, now
        )

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back when ownership or an allowance may have changed."""
        self.callbacks.append(callback)

    def notify_change(self) -> None:
        """Tell that ownership or an allowance may have changed."""
        for callback in self.callbacks:
            callback()

    def announce(self, reports: Sequence[ReplicaReport]) -> None:
        """Tell all connected members about replicas that this process serves."""
        for node in list(self.links.live_links):
            for report in reports:
                self.links.send(node, report)

    def handle_tick(self, changes: list[Member]) -> None:
        """Follow the members that changed, the epochs told of, and the own lease."""
        for member in changes:
            self.update_link(member)
        for data_centre, epoch in self.membership.table.epochs.items():
            if self.roster_cache.should_pull(
                data_centre, epoch, self.reactor.seconds()
            ):
                self.pull_roster(data_centre)
        now = self.reactor.seconds()
        if not self.leaving and self.leases.tick(now):
            self.start_task(self.election.step(len(self.ownership.roster.members)))
        self.announce_release_if_done()
        self.request_releases(now)
        if self.lease_changed():
            self.notify_change()

    def lease_changed(self) -> bool:
        """Whether the lease lapsed, came or changed since this was last asked.

        To be asked before work is begun: a process that was paused may read requests
        before any timer has run.
        """
        terms = (self.leases.valid(), self.leases.lease.lapsed)
        changed = terms != self.lease_state
        self.lease_state = terms
        return changed

    def update_link(self, member: Member) -> None:
        """Keep a link to a member while it lives."""
        logger.info(
            "member_state",
            member=member.name,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
        )
        if member.state is MemberState.DEAD:
            self.links.disconnect(member.name)
        elif member.name != self.node:
            self.links.connect(member.name, member.link_address)

    def peers(self) -> list[str]:
        """Return the other members of the own data centre."""
        names = [member.name for member in self.members(self.data_centre)]
        return [name for name in names if name != self.node]

    def pull_roster(self, data_centre: str) -> None:
        """Ask a member for a roster that others know a newer epoch of."""
        connected = sorted(self.links.live_links)
        if connected:
            self.links.send(self.random.choice(connected), RosterPull(data_centre))

    def handle_roster_pull(self, node: str, message: RosterPull) -> None:
        """Send a roster that a member asks for, and what was released here."""
        roster = self.roster_cache.rosters.get(message.data_centre)
        if roster is not None:
            self.links.send(node, RosterPush(message.data_centre, roster))

    def handle_roster_push(self, _node: str, message: RosterPush) -> None:
        """Take in a roster sent by a member."""
        if message.data_centre == self.data_centre:
            self.apply_roster(message.roster, written=False)
        else:
            self.cache_roster(message.data_centre, message.roster)

    def cache_roster(self, data_centre: str, roster: Roster) -> None:
        """Keep a roster if it is newer than the known one."""
        if not self.roster_cache.update(data_centre, roster):
            return
        table = self.membership.table
        table.epochs[data_centre] = roster.epoch
        if data_centre != self.data_centre:
            table.retain(data_centre, frozenset(roster.names))
        self.notify_change()

    def apply_roster(self, roster: Roster, written: bool) -> None:
        """Use a newer roster of the own data centre; its writer sends it to all."""
        if not self.ownership.set_roster(roster):
            return
        logger.info("roster_changed", epoch=roster.epoch, count=len(roster.members))
        self.release_pending = True
        self.cache_roster(self.data_centre, roster)
        if written:
            for name in self.peers():
                self.links.send(name, RosterPush(self.data_centre, roster))
        self.reactor.callLater(0, self.announce_release_if_done)

    def has_excess_work(self) -> bool:
        """Whether more work runs here than this process may start now."""
        return any(
            self.in_flight(replica) > self.current_allowance(replica).slots
            for replica in self.capacities
        )

    def release_message(self, wanted: bool) -> Released:
        """Return what this process has released, or did before the newest roster."""
        epoch = self.released_epoch
        return Released(self.identity.boot, epoch, wanted)

    def announce_release_if_done(self) -> None:
        """Tell the members when nothing of an earlier epoch is used here any more.

        Called in a later turn than the change, when callbacks have taken effect.
        """
        if not self.release_pending or self.has_excess_work():
            return
        self.release_pending = False
        self.released_epoch = self.ownership.roster.epoch
        for name in self.peers():
            self.links.send(name, self.release_message(wanted=False))

    def request_releases(self, now: float) -> None:
        """Ask those again who have not told that they released."""
        if now - self.releases_requested_at < RELEASE_REQUEST_PERIOD_S:
            return
        self.releases_requested_at = now
        for name in self.ownership.lagging_members:
            self.links.send(name, self.release_message(wanted=True))

    def handle_released(self, node: str, message: Released) -> None:
        """Note what a member released, and answer it if it asks."""
        if message.wanted:
            self.links.send(node, self.release_message(wanted=False))
        if self.ownership.note_released(node, message.boot, message.epoch):
            self.notify_change()
