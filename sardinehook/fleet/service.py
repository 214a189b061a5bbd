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
from sardinehook.fleet.holding import Holding
from sardinehook.fleet.identity import Demand, Identity
from sardinehook.fleet.lease_desk import LeaseDesk
from sardinehook.fleet.link import Links
from sardinehook.fleet.member import Member, MemberState
from sardinehook.fleet.membership import Membership
from sardinehook.fleet.ownership import NOTHING
from sardinehook.fleet.registrar import RegistrarDesk
from sardinehook.fleet.roster import Roster, RosterMember
from sardinehook.fleet.roster_book import RosterBook
from sardinehook.fleet.roster_keeper import RosterKeeper
from sardinehook.fleet.share import share_of
from sardinehook.messages import ReplicaReport
from sardinehook.store.port import Store
from sardinehook.store.vm_list import VmLister
from sardinehook.target.allowance import Allowance

__all__ = ["Fleet", "Identity"]

logger = structlog.get_logger(__name__)

EVICTION_PERIOD_S = 15.0
RELEASE_POLL_S = 0.02
RELEASE_TRIES = 4
ASK_RELEASE_PERIOD_S = 1.0


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
        self.gossip = Gossip(reactor, self.membership, self.after_tick)
        self.holding = Holding(self.node, identity.boot)
        self.keeper = RosterKeeper(
            reactor, store, vm_list, self.data_centre, self.take_roster, self.random
        )
        self.registrar = RegistrarDesk(
            reactor,
            store,
            self.data_centre,
            self.node,
            identity.boot,
            lambda: self.leases.announce_registrar(),
        )
        self.leases = LeaseDesk(
            reactor,
            links,
            self.holding,
            self.registrar,
            self.peers,
            self.has_surplus,
        )
        self.rosters = RosterBook()
        self.demands: dict[str, Demand] = {}
        self.callbacks: list[Callable[[], None]] = []
        self.lease_terms: tuple[bool, frozenset[str]] = (False, frozenset())
        self.leaving = False
        self.running: set[Deferred[Any]] = set()
        self.release_due = False
        self.released_epoch = 0
        self.release_asked_at = float("-inf")
        self.eviction: LoopingCall | None = None
        self.wire()

    def wire(self) -> None:
        """Take the fleet's messages from the links."""
        self.links.on(RosterPush, self.take_push)
        self.links.on(RosterPull, self.take_pull)
        self.links.on(Released, self.take_released)
        self.links.on_down(self.membership.note_link_lost)

    def start(self) -> None:
        """Begin; the links must be listening."""
        me = self.membership.me._replace(link_address=self.links.address)
        self.membership.set_me(me)
        self.gossip.start(self.links.address)
        own = self.identity
        entry = RosterMember(self.node, own.boot, own.vm_incarnation, 0.0, 0)
        self.run(self.keeper.join(entry))
        self.eviction = LoopingCall(self.evict_gone)
        self.eviction.clock = self.reactor
        self.eviction.start(EVICTION_PERIOD_S, now=False)

    def evict_gone(self) -> None:
        """Look for members whose VMs are no more, if this is one of few that do."""
        if self.holding.member and self.node in self.leases.candidates():
            self.run(self.keeper.evict_gone())

    async def leave(self, limit_s: float) -> None:
        """Stop owning anything: finish, release, and tell that this process leaves.

        Waits at most about ``limit_s`` seconds for the work in flight; with work left,
        or without the platform's service, the roster keeps the process until the
        platform's list shows that it is gone.
        """
        self.leaving = True
        self.gossip.send(self.membership.leave())
        self.changed()
        give_up_at = self.reactor.seconds() + limit_s
        while self.has_surplus() and self.reactor.seconds() < give_up_at:
            await deferLater(self.reactor, RELEASE_POLL_S)
        self.keeper.stopped = True
        if not self.has_surplus():
            await self.keeper.release(self.node, self.identity.boot, RELEASE_TRIES)
        await self.registrar.leave()

    async def stop(self) -> None:
        """End all timers and close the port; the links are the caller's to close."""
        self.keeper.stopped = True
        if self.eviction is not None and self.eviction.running:
            self.eviction.stop()
        await self.gossip.stop()
        for task in list(self.running):
            task.cancel()

    def run(self, coroutine: Any) -> None:  # noqa: ANN401
        """Run a coroutine; a fault in it is logged."""
        started: Deferred[Any] = Deferred.fromCoroutine(coroutine)
        self.running.add(started)
        started.addErrback(self.task_failed)
        started.addBoth(lambda _: self.running.discard(started))

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

    def heard_ago_s(self, data_centre: str) -> float | None:
        """Return the seconds since anyone of a data centre was heard; None if never."""
        heard_at = self.membership.heard_at.get(data_centre)
        now: float = self.reactor.seconds()
        return None if heard_at is None else now - heard_at

    def owner_of(self, replica: Replica) -> str | None:
        """Return the owner by the newest roster known of the replica's data centre."""
        return self.rosters.owner_of(replica)

    def candidates_of(self, replica: Replica) -> tuple[str, ...]:
        """Return the owner of a replica and its possible deputy."""
        return self.rosters.candidates_of(replica)

    def allowance(self, replica: Replica, index: Index) -> Allowance:
        """Return what this process may use of a replica now."""
        if replica.data_centre != self.data_centre:
            return NOTHING
        self.demands[replica.name] = Demand(index.slots, index.connections)
        return self.share(replica.name)

    def share(self, replica: str) -> Allowance:
        """Return what this process may use of a replica it was asked about before."""
        if self.leaving:
            return NOTHING
        slots, connections = self.demands[replica]
        now = self.reactor.seconds()
        return share_of(
            self.holding, self.leases.lease, replica, slots, connections, now
        )

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back when ownership or an allowance may have changed."""
        self.callbacks.append(callback)

    def changed(self) -> None:
        """Tell that ownership or an allowance may have changed."""
        for callback in self.callbacks:
            callback()

    def announce(self, views: Sequence[ReplicaReport]) -> None:
        """Tell all connected members about replicas that this process serves."""
        for node in list(self.links.live_links):
            for view in views:
                self.links.send(node, view)

    def after_tick(self, changes: list[Member]) -> None:
        """Follow the members that changed, the epochs told of, and the own lease."""
        for member in changes:
            self.follow(member)
        for data_centre, epoch in self.membership.table.epochs.items():
            if self.rosters.wants(data_centre, epoch, self.reactor.seconds()):
                self.pull(data_centre)
        now = self.reactor.seconds()
        if not self.leaving and self.leases.tick(now):
            self.run(self.registrar.step(len(self.holding.roster.members)))
        self.release_if_due()
        self.ask_releases(now)
        if self.terms_changed():
            self.changed()

    def terms_changed(self) -> bool:
        """Whether the lease lapsed, came or changed since this was last asked.

        To be asked before work is begun: a process that was paused may read requests
        before any timer has run.
        """
        terms = (self.leases.valid(), self.leases.lease.lapsed)
        changed = terms != self.lease_terms
        self.lease_terms = terms
        return changed

    def follow(self, member: Member) -> None:
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

    def pull(self, data_centre: str) -> None:
        """Ask a member for a roster that others know a newer epoch of."""
        connected = sorted(self.links.live_links)
        if connected:
            self.links.send(self.random.choice(connected), RosterPull(data_centre))

    def take_pull(self, node: str, message: RosterPull) -> None:
        """Send a roster that a member asks for, and what was released here."""
        roster = self.rosters.rosters.get(message.data_centre)
        if roster is not None:
            self.links.send(node, RosterPush(message.data_centre, roster))

    def take_push(self, _node: str, message: RosterPush) -> None:
        """Take in a roster sent by a member."""
        if message.data_centre == self.data_centre:
            self.take_roster(message.roster, written=False)
        else:
            self.keep_roster(message.data_centre, message.roster)

    def keep_roster(self, data_centre: str, roster: Roster) -> None:
        """Keep a roster if it is newer than the known one."""
        if not self.rosters.keep(data_centre, roster):
            return
        table = self.membership.table
        table.epochs[data_centre] = roster.epoch
        if data_centre != self.data_centre:
            table.retain(data_centre, frozenset(roster.names))
        self.changed()

    def take_roster(self, roster: Roster, written: bool) -> None:
        """Use a newer roster of the own data centre; its writer sends it to all."""
        if not self.holding.set_roster(roster):
            return
        logger.info("roster_changed", epoch=roster.epoch, count=len(roster.members))
        self.release_due = True
        self.keep_roster(self.data_centre, roster)
        if written:
            for name in self.peers():
                self.links.send(name, RosterPush(self.data_centre, roster))
        self.reactor.callLater(0, self.release_if_due)

    def has_surplus(self) -> bool:
        """Whether more work runs here than this process may start now."""
        return any(
            self.in_flight(replica) > self.share(replica).slots
            for replica in self.demands
        )

    def own_release(self, wanted: bool) -> Released:
        """Return what this process has released, or did before the newest roster."""
        epoch = self.released_epoch
        return Released(self.identity.boot, epoch, wanted)

    def release_if_due(self) -> None:
        """Tell the members when nothing of an earlier epoch is used here any more.

        Called in a later turn than the change, when callbacks have taken effect.
        """
        if not self.release_due or self.has_surplus():
            return
        self.release_due = False
        self.released_epoch = self.holding.roster.epoch
        for name in self.peers():
            self.links.send(name, self.own_release(wanted=False))

    def ask_releases(self, now: float) -> None:
        """Ask those again who have not told that they released."""
        if now - self.release_asked_at < ASK_RELEASE_PERIOD_S:
            return
        self.release_asked_at = now
        for name in self.holding.lagging:
            self.links.send(name, self.own_release(wanted=True))

    def take_released(self, node: str, message: Released) -> None:
        """Note what a member released, and answer it if it asks."""
        if message.wanted:
            self.links.send(node, self.own_release(wanted=False))
        if self.holding.note_released(node, message.boot, message.epoch):
            self.changed()
