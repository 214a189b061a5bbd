"""Fleet membership, replica ownership and leases as seen by one entry process."""

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

    ``in_flight`` returns the number of sub-queries that this process runs at a
    replica. ``seeds`` are the link addresses used for bootstrapping. After ``start``,
    ``on_change`` callbacks run whenever the result of ``owner_of`` or ``allowance``
    may have changed.
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
        """Register the handlers of fleet messages and of lost links."""
        self.links.on(RosterPush, self.handle_roster_push)
        self.links.on(RosterPull, self.handle_roster_pull)
        self.links.on(Released, self.handle_released)
        self.links.on_down(self.membership.handle_link_lost)

    def start(self) -> None:
        """Start gossip, join the roster and start the eviction loop.

        The links must be listening already, since their address is advertised.
        """
        local_member = self.membership.local_member._replace(
            link_address=self.links.address
        )
        self.membership.set_local_member(local_member)
        self.gossip.start(self.links.address)
        identity = self.identity
        member = RosterMember(self.node, identity.boot, identity.vm_incarnation, 0.0, 0)
        self.start_task(self.roster_updater.join(member))
        self.eviction_loop = LoopingCall(self.evict_removed_vms)
        self.eviction_loop.clock = self.reactor
        self.eviction_loop.start(EVICTION_PERIOD_S, now=False)

    def evict_removed_vms(self) -> None:
        """Evict members whose VMs were removed, if this process is a candidate.

        Only the few registrar candidates do this.
        """
        if self.ownership.is_member and self.node in self.leases.registrar_candidates():
            self.start_task(self.roster_updater.evict_removed_vms())

    async def leave(self, limit_s: float) -> None:
        """Announce the departure, drain work in flight and leave the roster.

        Waits at most about ``limit_s`` seconds for work in flight. If work remains or
        the platform's store cannot be reached, the process stays in the roster until
        the platform's list shows that its VM was removed.
        """
        self.leaving = True
        self.gossip.send(self.membership.leave())
        self.notify_change()
        drain_until = self.reactor.seconds() + limit_s
        while self.has_excess_work() and self.reactor.seconds() < drain_until:
            await deferLater(self.reactor, RELEASE_POLL_S)
        self.roster_updater.stopped = True
        if not self.has_excess_work():
            await self.roster_updater.release(
                self.node, self.identity.boot, RELEASE_ATTEMPTS
            )
        await self.election.leave()

    async def stop(self) -> None:
        """Stop all timers and tasks and close the UDP port.

        The caller closes the links.
        """
        self.roster_updater.stopped = True
        if self.eviction_loop is not None and self.eviction_loop.running:
            self.eviction_loop.stop()
        await self.gossip.stop()
        for task in list(self.tasks):
            task.cancel()

    def start_task(self, coroutine: Any) -> None:  # noqa: ANN401
        """Run a coroutine as a task until ``stop`` cancels it; log its failure."""
        started: Deferred[Any] = Deferred.fromCoroutine(coroutine)
        self.tasks.add(started)
        started.addErrback(self.task_failed)
        started.addBoth(lambda _: self.tasks.discard(started))

    def task_failed(self, failure: Failure) -> None:
        """Log the failure of a task, unless the task was cancelled."""
        if failure.check(CancelledError) is None:
            logger.error("fleet_task_failed", detail=failure.getErrorMessage())

    def is_self(self, node: str) -> bool:
        """Return whether ``node`` is the name of this process."""
        return node == self.node

    def members(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of a data centre that are not declared dead, sorted."""
        members = self.membership.table.in_data_centre(data_centre)
        return tuple(sorted(members))

    def last_heard_age_s(self, data_centre: str) -> float | None:
        """Return the seconds since the last datagram from a data centre.

        Returns None if no datagram was ever received from it.
        """
        last_heard_at = self.membership.last_heard_at.get(data_centre)
        now: float = self.reactor.seconds()
        return None if last_heard_at is None else now - last_heard_at

    def owner_of(self, replica: Replica) -> str | None:
        """Return the owner by the newest known roster of the replica's data centre."""
        return self.roster_cache.owner_of(replica)

    def candidates_of(self, replica: Replica) -> tuple[str, ...]:
        """Return the owner of a replica and the member that can be its deputy."""
        return self.roster_cache.candidates_of(replica)

    def allowance(self, replica: Replica, index: Index) -> Allowance:
        """Return the slots and connections of a replica that this process may use.

        Replicas of other data centres have an empty allowance.
        """
        if replica.data_centre != self.data_centre:
            return NOTHING
        self.capacities[replica.name] = ReplicaCapacity(index.slots, index.connections)
        return self.current_allowance(replica.name)

    def current_allowance(self, replica: str) -> Allowance:
        """Return the allowance of a replica whose capacity ``allowance`` recorded."""
        if self.leaving:
            return NOTHING
        slots, connections = self.capacities[replica]
        now = self.reactor.seconds()
        return node_allowance(
            self.ownership, self.leases.lease, replica, slots, connections, now
        )

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for possible changes of ownership or allowances."""
        self.callbacks.append(callback)

    def notify_change(self) -> None:
        """Run the callbacks registered with ``on_change``."""
        for callback in self.callbacks:
            callback()

    def announce(self, reports: Sequence[ReplicaReport]) -> None:
        """Send reports on the replicas that this process serves to all live links."""
        for node in list(self.links.live_links):
            for report in reports:
                self.links.send(node, report)

    def handle_tick(self, changes: list[Member]) -> None:
        """Apply member changes, pull newer rosters and renew leases as needed."""
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
        """Return whether the lease state changed since the previous call.

        The state is whether the lease is valid, and the set of lapsed members. Call
        this before starting work: a process that was paused may read requests before
        any of its timers has run.
        """
        state = (self.leases.valid(), self.leases.lease.lapsed)
        changed = state != self.lease_state
        self.lease_state = state
        return changed

    def update_link(self, member: Member) -> None:
        """Connect to a member, or disconnect from it if it was declared dead."""
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
        """Return the names of the other members of the local data centre."""
        names = [member.name for member in self.members(self.data_centre)]
        return [name for name in names if name != self.node]

    def pull_roster(self, data_centre: str) -> None:
        """Request the roster of a data centre from a random connected member."""
        connected = sorted(self.links.live_links)
        if connected:
            self.links.send(self.random.choice(connected), RosterPull(data_centre))

    def handle_roster_pull(self, node: str, message: RosterPull) -> None:
        """Reply with the requested roster, if it is known."""
        roster = self.roster_cache.rosters.get(message.data_centre)
        if roster is not None:
            self.links.send(node, RosterPush(message.data_centre, roster))

    def handle_roster_push(self, _node: str, message: RosterPush) -> None:
        """Apply a roster of the local data centre, or cache that of another one."""
        if message.data_centre == self.data_centre:
            self.apply_roster(message.roster, written=False)
        else:
            self.cache_roster(message.data_centre, message.roster)

    def cache_roster(self, data_centre: str, roster: Roster) -> None:
        """Cache a roster if it is newer than the known one.

        Members of another data centre that its roster no longer lists are dropped.
        """
        if not self.roster_cache.update(data_centre, roster):
            return
        table = self.membership.table
        table.epochs[data_centre] = roster.epoch
        if data_centre != self.data_centre:
            table.retain(data_centre, frozenset(roster.names))
        self.notify_change()

    def apply_roster(self, roster: Roster, written: bool) -> None:
        """Apply a newer roster of the local data centre.

        ``written`` means that this process wrote the roster to the store; the writer
        pushes it to all peers.
        """
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
        """Return whether more work is in flight at a replica than its allowance."""
        return any(
            self.in_flight(replica) > self.current_allowance(replica).slots
            for replica in self.capacities
        )

    def release_message(self, wanted: bool) -> Released:
        """Build the message with the latest epoch whose release is complete."""
        epoch = self.released_epoch
        return Released(self.identity.boot, epoch, wanted)

    def announce_release_if_done(self) -> None:
        """Announce the release once no work of an earlier epoch remains.

        Called in a later reactor turn than the change, after the callbacks have taken
        effect.
        """
        if not self.release_pending or self.has_excess_work():
            return
        self.release_pending = False
        self.released_epoch = self.ownership.roster.epoch
        for name in self.peers():
            self.links.send(name, self.release_message(wanted=False))

    def request_releases(self, now: float) -> None:
        """Ask lagging members periodically whether they have released."""
        if now - self.releases_requested_at < RELEASE_REQUEST_PERIOD_S:
            return
        self.releases_requested_at = now
        for name in self.ownership.lagging_members:
            self.links.send(name, self.release_message(wanted=True))

    def handle_released(self, node: str, message: Released) -> None:
        """Record a member's release; reply with that of this process on request."""
        if message.wanted:
            self.links.send(node, self.release_message(wanted=False))
        if self.ownership.note_released(node, message.boot, message.epoch):
            self.notify_change()
