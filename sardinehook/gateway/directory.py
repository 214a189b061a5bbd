"""Which replicas each service has, from discovery and from what replies show."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

import structlog

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.ports import ReplicaEntry
from sardinehook.gateway.reachability import Reachability
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.shares import Shares
from sardinehook.observe.events import EventName, log_event, log_names

__all__ = ["Directory"]

logger = structlog.get_logger(__name__)

CONNECTION_SHARE = 0.9  # of a replica's bound, since closed connections linger there
UNSTATED_CONNECTIONS = 16  # bound of a replica whose service states none
LOST_GRACE_RATIO = 0.7  # of the drain time, for entries that left discovery
MOST_SINGLE_LINES = 8  # changes at once; more share lines, without their details
ORPHAN_GRACE_S = 2.4  # entries that lapsed in an outage are back within two seconds


class Directory:
    """All replicas by id and by service; each has its own connections."""

    def __init__(self, reactor: GatewayReactor, drain_s: float) -> None:
        self.reactor = reactor
        self.random = Random(0)
        self.drain_s = drain_s
        self.replicas: dict[str, Replica] = {}
        self.by_service: dict[str, list[Replica]] = {}
        self.by_address: dict[str, Replica] = {}
        self.evacuated: set[str] = set()
        self.configuration: Configuration | None = None
        self.shares = Shares(1.0, 1.0, frozenset())
        self.shard_services: frozenset[str] = frozenset()
        self.reachability = Reachability()
        self.changes: dict[str, list[Replica]] = {}

    def replicas_of(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may be asked now."""
        now = self.reactor.seconds()
        return [
            replica
            for replica in self.by_service.get(service, ())
            if self.is_usable(replica, now)
        ]

    def is_usable(self, replica: Replica, now: float) -> bool:
        """Tell whether new requests may go to a replica."""
        if replica.entry.draining or replica.entry.data_centre in self.evacuated:
            return False
        lost_at = replica.lost_at
        return lost_at is None or now < lost_at + self.lost_grace_s

    def describe(self, replica: Replica, now: float) -> str:
        """Describe for the log what keeps requests from a replica, and since when."""
        place = replica.entry.data_centre
        if replica.entry.draining:
            return "draining"
        if place in self.evacuated:
            return f"in evacuated {place}"
        if replica.lost_at is not None:
            return f"left discovery {now - replica.lost_at:.1f} s ago"
        if self.reachability.is_cut_off(place, now):
            return f"beyond the cut to {place}"
        if replica.pool.is_failing:
            return "refuses connections"
        load_age_s = now - replica.load_at
        return (
            f"queue of {replica.waits(now):.1f} service times "
            f"(load {load_age_s:.1f} s old), {replica.current_slowness(now):.1f} x slow"
        )

    @property
    def lost_grace_s(self) -> float:
        """How long a replica that left discovery is still asked."""
        return min(LOST_GRACE_RATIO * self.drain_s, ORPHAN_GRACE_S)

    def put(self, entry: ReplicaEntry, now: float) -> None:
        """Take in an entry of discovery; one of an earlier start is dropped."""
        known = self.replicas.get(entry.replica_id)
        if known is not None and entry.born_ms < known.entry.born_ms:
            return
        if known is None or is_other_start(known.entry, entry):
            self.drop_address(entry.address)
            if known is not None:
                self.forget(known)
            known = self.add(entry)
            if entry.cold_left_s:
                known.cold_until = now + entry.cold_left_s
            self.note_state(known, "registered")
        elif known.entry.draining != entry.draining:
            self.note_state(known, "draining" if entry.draining else "ready")
        elif known.lost_at is not None:
            self.note_state(known, "registered again")
        if entry.cold_left_s and entry.sequence != known.entry.sequence:
            known.cold_until = now + entry.cold_left_s
        known.entry = entry
        known.lost_at = None

    def add(self, entry: ReplicaEntry) -> Replica:
        """Add a replica that was not known."""
        replica: Replica

        def heard() -> None:
            now = self.reactor.seconds()
            self.reachability.note_heard(replica.entry.data_centre, now)

        most = self.connections_allowed(entry.service)
        pool = ConnectionPool(self.reactor, entry.address, most, heard)
        replica = Replica(entry, pool)
        self.replicas[entry.replica_id] = replica
        self.by_service.setdefault(entry.service, []).append(replica)
        self.by_address[entry.address] = replica
        return replica

    def remove(self, replica_id: str, now: float) -> None:
        """Note that a replica left discovery."""
        replica = self.replicas.get(replica_id)
        if replica is None:
            return
        if replica.entry.draining:
            self.forget(replica)
        elif replica.lost_at is None:
            replica.lost_at = now
            self.note_state(replica, "left discovery")

    def retain(self, replica_ids: Iterable[str], now: float) -> None:
        """Note that all replicas but these left discovery."""
        for replica_id in self.replicas.keys() - set(replica_ids):
            self.remove(replica_id, now)

    def drop_address(self, address: str) -> None:
        """Forget a replica whose address has been given to another one."""
        replica = self.by_address.get(address)
        if replica is not None:
            self.note_state(replica, "address reused")
            self.forget(replica)

    def forget(self, replica: Replica) -> None:
        """Remove a replica; what is in flight there goes on to its end."""
        if self.replicas.get(replica.replica_id) is replica:
            del self.replicas[replica.replica_id]
        siblings = self.by_service.get(replica.entry.service, [])
        if replica in siblings:
            siblings.remove(replica)
        if self.by_address.get(replica.entry.address) is replica:
            del self.by_address[replica.entry.address]
        replica.pool.close()

    def note_misdirected(self, replica: Replica) -> None:
        """Forget a replica whose address answers for another one."""
        self.note_state(replica, "address answers for another replica")
        self.log_changes()
        self.forget(replica)

    def sweep(self, now: float) -> None:
        """Forget replicas that left discovery some time ago."""
        for replica in list(self.replicas.values()):
            if replica.lost_at is not None and now > replica.lost_at + self.drain_s:
                self.note_state(replica, "gone")
                self.forget(replica)
        self.log_changes()

    def configure(self, configuration: Configuration) -> None:
        """Take new bounds of connections."""
        self.configuration = configuration
        self.shard_services = configuration.shard_services
        self.share_connections()

    def set_shares(self, shares: Shares) -> None:
        """Take this gateway's part of what replicas bear."""
        self.shares = shares
        self.share_connections()

    def sharers(self, service: str) -> float:
        """Return how many gateways with the part of this one would make up all."""
        searched = service in self.shard_services
        return self.shares.search_divisor if searched else self.shares.request_divisor

    def share_connections(self) -> None:
        """Bound the connections to each replica by this gateway's part."""
        for replica in self.replicas.values():
            replica.pool.most = self.connections_allowed(replica.entry.service)

    def connections_allowed(self, service: str) -> int:
        """Return this gateway's part of the connections of one replica."""
        services: Mapping[str, Any] = (
            self.configuration.services if self.configuration else {}
        )
        known = services.get(service)
        bound = known.most_connections if known else 0
        share = CONNECTION_SHARE * (bound or UNSTATED_CONNECTIONS)
        share /= self.sharers(service)
        return max(1, int(share))

    def can_serve(self, service: str, now: float) -> bool:
        """Tell whether a service has a replica that takes connections from here."""
        return any(
            not replica.pool.is_failing
            and not self.reachability.is_cut_off(replica.entry.data_centre, now)
            for replica in self.replicas_of(service)
        )

    def is_out_of_reach(self, service: str, now: float) -> bool:
        """Tell whether a service has replicas, all in data centres that are silent."""
        replicas = self.replicas_of(service)
        return bool(replicas) and all(
            self.reachability.is_suspect(replica.entry.data_centre, now)
            for replica in replicas
        )

    def probe_suspects(self, now: float) -> None:
        """Open a connection to a replica of each data centre that is in doubt."""
        probed: set[str] = set()
        replicas = list(self.replicas.values())
        self.random.shuffle(replicas)
        for replica in replicas:
            place = replica.entry.data_centre
            if place not in probed and self.reachability.is_suspect(place, now):
                probed.add(place)
                replica.pool.probe()

    def set_evacuated(self, data_centres: set[str]) -> None:
        """Take the data centres that are to get no new requests."""
        if data_centres != self.evacuated:
            log_event(
                logger,
                EventName.DATA_CENTRE_STATE,
                state="evacuated " + (",".join(sorted(data_centres)) or "none"),
            )
        self.evacuated = data_centres

    def note_state(self, replica: Replica, state: str) -> None:
        """Keep for the log what this gateway believes of a replica."""
        self.changes.setdefault(state, []).append(replica)

    def log_changes(self) -> None:
        """Log what changed since the last call.

        Listings, outages of the store and new shards change much at once; with a line
        for each replica, none would be left for requests.
        """
        changes, self.changes = self.changes, {}
        for state, replicas in changes.items():
            if len(replicas) > MOST_SINGLE_LINES:
                names = [replica.replica_id for replica in replicas]
                log_names(logger, EventName.TARGET_STATE, state, names)
                continue
            for replica in replicas:
                log_event(
                    logger,
                    EventName.TARGET_STATE,
                    target=replica.replica_id,
                    service=replica.entry.service,
                    address=replica.entry.address,
                    state=state,
                    incarnation=str(replica.entry.born_ms),
                )


def is_other_start(known: ReplicaEntry, told: ReplicaEntry) -> bool:
    """Tell whether two entries of one id are of different processes."""
    return (known.born_ms, known.address, known.service) != (
        told.born_ms,
        told.address,
        told.service,
    )
