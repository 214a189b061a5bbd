"""Failure detector with suspicion; member updates are piggybacked on probes.

The protocol follows Das, Gupta and Motivala, "SWIM: Scalable weakly-consistent
infection-style process group membership protocol" (2002), with the local health of
Dadgar, Phillips and Currey, "Lifeguard" (2018). Only members of the local data centre
are probed by the failure detector; the state of remote members is learned from gossip
with their data centre.
"""

from __future__ import annotations

from math import log10

from sardinehook.fleet.datagram import Datagram, DatagramKind
from sardinehook.fleet.member import Member, MemberState
from sardinehook.fleet.member_table import MemberTable
from sardinehook.fleet.probe import OutgoingDatagram, Probe, Relay

__all__ = ["Membership"]

PROBE_PERIOD_S = 1.0
INDIRECT_AFTER_S = 0.3
INDIRECT_PROBES = 3
SUSPICION_BASE_S = 3.0
MAX_HEALTH_SCORE = 7
REMOTE_PERIOD_S = 5.0
SEED_PERIOD_S = 0.5
RELAY_RETENTION_S = 2.0
PAUSE_THRESHOLD_S = 2.5
COMPLETE_RATIO = 0.995
SIZE_DECAY = 0.99
SETTLED_AFTER_S = 60.0
ROTATION_UPDATES = 1
ROTATION_UPDATES_REMOTE = 4
ROTATION_UPDATES_INCOMPLETE = 16


class Membership:
    """One member's view of the fleet; times are monotonic seconds.

    ``tick`` and ``receive`` return the datagrams to send. Membership never changes the
    ownership of replicas; only a change of the roster does.
    """

    def __init__(self, local_member: Member, fleet: int, seed: int) -> None:
        self.fleet = fleet
        self.table = MemberTable(local_member._replace(state=MemberState.JOINING), seed)
        self.random = self.table.random
        self.seeds: set[str] = set()
        self.sequence = self.random.randrange(1 << 30)
        self.probe: Probe | None = None
        self.probe_order: list[str] = []
        self.priority_probes: list[str] = []
        self.suspected_at: dict[str, float] = {}
        self.relays: dict[int, Relay] = {}
        self.last_heard_at: dict[str, float] = {}
        self.fleet_size = 1.0
        self.health_score = 0
        self.started_at: float | None = None
        self.ticked_at: float | None = None
        self.period_ends_at = 0.0
        self.remote_due_at = 0.0
        self.seed_due_at = 0.0

    @property
    def local_member(self) -> Member:
        """Return this process as it is advertised to other members."""
        return self.table.local_member

    @property
    def size(self) -> int:
        """Return the number of known members that are not dead."""
        return len(self.table.members) - len(self.table.dead_since)

    def set_local_member(self, local_member: Member) -> None:
        """Replace the record of this process that is advertised."""
        self.table.local_member = local_member
        self.table.members[local_member.name] = local_member

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Run the timers that are due; must be called several times a second."""
        if self.started_at is None:
            self.started_at = now
        self.table.gossip_joins = now - self.started_at > SETTLED_AFTER_S
        self.handle_local_pause(now)
        self.table.remove_expired_dead(now)
        self.declare_dead(now)
        sends = self.ping_seeds(now)
        if self.probe is not None and not self.probe.indirect:
            sends += self.send_indirect_probes(self.probe, now)
        if now >= self.period_ends_at:
            self.end_probe(now)
            sends += self.start_probe(now)
            self.period_ends_at = now + PROBE_PERIOD_S
        if now >= self.remote_due_at:
            self.remote_due_at = now + REMOTE_PERIOD_S * self.random.uniform(0.8, 1.2)
            sends += self.gossip_to_remote()
        return sends

    def handle_local_pause(self, now: float) -> None:
        """Discount the time during which this process did not run.

        Suspicion timeouts are extended by the gap and probes in flight are discarded.
        Others may have suspected this process in the meantime, so it refutes that.
        """
        paused = self.ticked_at is not None and now - self.ticked_at > PAUSE_THRESHOLD_S
        if paused and self.ticked_at is not None:
            gap = now - self.ticked_at
            for name in self.suspected_at:
                self.suspected_at[name] += gap
            self.probe = None
            self.relays.clear()
            self.refute(self.local_member.incarnation)
        self.ticked_at = now

    def refute(self, incarnation: int) -> None:
        """Refute a suspicion by advertising an incarnation above the given one."""
        self.set_local_member(self.local_member._replace(incarnation=incarnation + 1))
        self.table.queue_update(self.local_member.name)

    def suspicion_s(self) -> float:
        """Return the suspicion timeout in seconds.

        It grows with the logarithm of the data centre's size and with the health
        score. The score rises with each failed probe, so poor local health delays the
        declaration of deaths.
        """
        peers = len(self.table.in_data_centre(self.local_member.data_centre))
        return SUSPICION_BASE_S * max(1.0, log10(peers + 1)) * (1 + self.health_score)

    def declare_dead(self, now: float) -> None:
        """Declare members dead whose suspicion timeout has expired."""
        for name, since in list(self.suspected_at.items()):
            member = self.table.members.get(name)
            if member is None or member.state is not MemberState.SUSPECT:
                del self.suspected_at[name]
            elif now - since >= self.suspicion_s():
                del self.suspected_at[name]
                self.table.merge(member._replace(state=MemberState.DEAD), now)

    def ping_seeds(self, now: float) -> list[OutgoingDatagram]:
        """Ping seed addresses that belong to no known member, else known members.

        Members that know only each other would take themselves for the whole fleet;
        pinging unknown seeds joins such groups.
        """
        if now < self.seed_due_at:
            return []
        known = [
            m.link_address
            for m in self.live_members()
            if m.name != self.local_member.name
        ]
        unknown_seeds = sorted(self.seeds - {self.local_member.link_address, *known})
        complete = self.size >= COMPLETE_RATIO * self.fleet_size
        settled = self.table.gossip_joins
        period_s = REMOTE_PERIOD_S if complete and settled else SEED_PERIOD_S
        self.seed_due_at = now + period_s * self.random.uniform(0.8, 1.2)
        addresses = unknown_seeds or ([] if complete else known)
        if not addresses:
            return []
        address = self.random.choice(addresses)
        return [self.build_datagram(address, self.local_member, DatagramKind.PING, 0)]

    def live_members(self) -> list[Member]:
        """Return all members that are not dead, including this one."""
        members = self.table.members.values()
        return [one for one in members if one.state is not MemberState.DEAD]

    def send_indirect_probes(self, probe: Probe, now: float) -> list[OutgoingDatagram]:
        """Request indirect pings of a member that has not acknowledged in time."""
        if now - probe.sent_at < INDIRECT_AFTER_S:
            return []
        self.probe = probe._replace(indirect=True)
        others = [m for m in self.probed_members() if m.name != probe.name]
        helpers = self.random.sample(others, min(INDIRECT_PROBES, len(others)))
        return [
            self.build_datagram(
                helper.link_address,
                helper,
                DatagramKind.PING_REQUEST,
                probe.sequence,
                probe.name,
            )
            for helper in helpers
        ]

    def end_probe(self, now: float) -> None:
        """Suspect a member that acknowledged neither direct nor indirect probes."""
        probe, self.probe = self.probe, None
        if probe is None:
            return
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        member = self.table.members.get(probe.name)
        if member is not None and member.state < MemberState.SUSPECT:
            self.suspect(member, now)

    def suspect(self, member: Member, now: float) -> None:
        """Mark a member as suspect and start its suspicion timeout."""
        self.table.merge(member._replace(state=MemberState.SUSPECT), now)
        self.suspected_at.setdefault(member.name, now)

    def probed_members(self) -> list[Member]:
        """Return the other members of the local data centre that are not dead."""
        members = self.table.in_data_centre(self.local_member.data_centre)
        return [member for member in members if member.name != self.local_member.name]

    def start_probe(self, now: float) -> list[OutgoingDatagram]:
        """Ping the next member: first those with a lost link, then in random order."""
        names = {member.name for member in self.probed_members()}
        if not self.probe_order:
            self.probe_order = sorted(names)
            self.random.shuffle(self.probe_order)
        candidates = [
            name for name in self.priority_probes + self.probe_order if name in names
        ]
        if not candidates:
            self.probe_order.clear()
            return []
        name = candidates[0]
        self.priority_probes = [
            other for other in self.priority_probes if other != name
        ]
        self.probe_order = [other for other in self.probe_order if other != name]
        self.sequence += 1
        self.probe = Probe(name, self.sequence, now, False)
        member = self.table.members[name]
        return [
            self.build_datagram(
                member.link_address, member, DatagramKind.PING, self.sequence
            )
        ]

    def gossip_to_remote(self) -> list[OutgoingDatagram]:
        """Exchange updates with a random member of another data centre."""
        others = [
            member
            for member in self.table.members.values()
            if member.data_centre != self.local_member.data_centre
            and member.state is not MemberState.DEAD
        ]
        if not others:
            return []
        member = self.random.choice(others)
        return [self.build_datagram(member.link_address, member, DatagramKind.PING, 0)]

    def receive(
        self, datagram: Datagram, address: str, now: float
    ) -> list[OutgoingDatagram]:
        """Apply a datagram from ``address`` and return the replies to send."""
        self.fleet_size = max(datagram.size, self.fleet_size * SIZE_DECAY)
        self.last_heard_at[datagram.sender.data_centre] = now
        if self.local_member.state is MemberState.JOINING:
            self.set_local_member(self.local_member._replace(state=MemberState.ALIVE))
            self.table.queue_update(self.local_member.name)
        for update in (datagram.sender, *datagram.updates):
            self.apply_update(update, now)
        for name, epoch in datagram.epochs:
            self.table.epochs[name] = max(epoch, self.table.epochs.get(name, 0))
        return self.reply_to(datagram, address, now)

    def apply_update(self, update: Member, now: float) -> None:
        """Apply one member update; refute a wrong one about this process."""
        if update.name == self.local_member.name:
            refutable = update.incarnation > self.local_member.incarnation or (
                update.incarnation == self.local_member.incarnation
                and update.state > max(self.local_member.state, MemberState.ALIVE)
            )
            if refutable:
                self.refute(update.incarnation)
            return
        self.table.merge(update, now)
        if self.table.members.get(update.name, update).state is MemberState.SUSPECT:
            self.suspected_at.setdefault(update.name, now)

    def reply_to(
        self, datagram: Datagram, address: str, now: float
    ) -> list[OutgoingDatagram]:
        """Return the datagrams to send in response to a received one."""
        sender = datagram.sender
        match datagram.kind:
            case DatagramKind.PING:
                ack = DatagramKind.ACK
                incomplete = datagram.size < COMPLETE_RATIO * self.size
                send = self.build_datagram(
                    address, sender, ack, datagram.sequence, incomplete=incomplete
                )
                return [send]
            case DatagramKind.ACK:
                return self.handle_ack(datagram, now)
            case DatagramKind.PING_REQUEST:
                return self.handle_ping_request(datagram, address, now)

    def handle_ack(self, datagram: Datagram, now: float) -> list[OutgoingDatagram]:
        """End the acknowledged probe, or relay the acknowledgement."""
        if self.probe is not None and self.probe.sequence == datagram.sequence:
            self.probe = None
            self.health_score = max(0, self.health_score - 1)
        relay = self.relays.pop(datagram.sequence, None)
        if relay is None:
            return []
        ack = self.build_datagram(
            relay.address, datagram.sender, DatagramKind.ACK, relay.sequence
        )
        return [ack]

    def handle_ping_request(
        self, datagram: Datagram, address: str, now: float
    ) -> list[OutgoingDatagram]:
        """Ping a member on behalf of the sender of a ping request."""
        subject = self.table.members.get(datagram.subject)
        if subject is None:
            return []
        expired = [
            n for n, r in self.relays.items() if now - r.sent_at > RELAY_RETENTION_S
        ]
        for sequence in expired:
            del self.relays[sequence]
        self.sequence += 1
        self.relays[self.sequence] = Relay(address, datagram.sequence, now)
        kind = DatagramKind.PING
        return [self.build_datagram(subject.link_address, subject, kind, self.sequence)]

    def build_datagram(
        self,
        address: str,
        reader: Member,
        kind: DatagramKind,
        sequence: int,
        subject: str = "",
        incomplete: bool = False,
    ) -> OutgoingDatagram:
        """Build a datagram with updates; more if the reader's view is incomplete.

        A reader whose known state is above ``ALIVE`` is sent its own record first, so
        that it can refute a wrong one.
        """
        near = reader.data_centre == self.local_member.data_centre
        rotation_count = ROTATION_UPDATES if near else ROTATION_UPDATES_REMOTE
        if incomplete:
            rotation_count = ROTATION_UPDATES_INCOMPLETE
        updates = self.table.select_updates(
            rotation_count, local_only=not near and not incomplete
        )
        known = self.table.members.get(reader.name)
        if known is not None and known.state > MemberState.ALIVE:
            updates = (known, *updates)
        return OutgoingDatagram(
            address,
            Datagram(
                self.fleet,
                kind,
                sequence,
                subject,
                self.local_member,
                self.size,
                self.table.select_epochs(),
                updates,
            ),
        )

    def handle_link_lost(self, name: str) -> None:
        """Probe a member next, because the link to it was lost."""
        if name not in self.priority_probes:
            self.priority_probes.append(name)

    def leave(self) -> list[OutgoingDatagram]:
        """Return datagrams that announce the departure to a few members at once."""
        self.set_local_member(self.local_member._replace(state=MemberState.LEAVING))
        peers = self.probed_members()
        recipients = self.random.sample(peers, min(INDIRECT_PROBES, len(peers)))
        return [
            self.build_datagram(peer.link_address, peer, DatagramKind.PING, 0)
            for peer in recipients
        ]
