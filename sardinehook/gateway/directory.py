"""Directory of the replicas of each service, kept up to date from discovery."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

import structlog

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.interfaces import ReplicaEntry
from sardinehook.gateway.notice_board import NoticeBoard
from sardinehook.gateway.notices import StatedNotices
from sardinehook.gateway.pace.pacer import Pacer
from sardinehook.gateway.pool import ConnectionPool
from sardinehook.gateway.reachability import Reachability
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.replica import Replica
from sardinehook.gateway.replica_states import is_other_process, log_state_changes
from sardinehook.gateway.shares import Shares
from sardinehook.observe.events import EventName, log_event

__all__ = ["Directory"]

logger = structlog.get_logger(__name__)

MAX_CONNECTIONS_RATIO = 0.9  # of the limit; closing connections still count there
DEFAULT_MAX_CONNECTIONS = 16  # for replicas of a service without a limit
DEREGISTERED_GRACE_RATIO = 0.7  # of the drain time
MAX_COLD_RATIO = 2.0  # of the cold start of its service, for one replica
MAX_PROBES = 32  # of failing replicas at once, since each takes processor time
MAX_DEREGISTERED_GRACE_S = 2.4  # entries lost in a store outage return within 2 s


class Directory:
    """Replicas by id, service and address, each with its own connection pool."""

    def __init__(self, reactor: GatewayReactor, drain_s: float, node: str = "") -> None:
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
        self.named_services: frozenset[str] | None = None
        self.top_priorities: Mapping[str, int] = {}
        self.notice_board = NoticeBoard(node)
        self.reachability = Reachability()
        self.changes: dict[str, list[Replica]] = {}
        self.replicas_state_work = False
        self.pacer = Pacer(self.share_divisor, node, enabled=True)

    @property
    def adapts_to_load(self) -> bool:
        """Whether this deployment calls for scheduling by load, speed and organisation.

        It does if the configuration has organisations, or if replicas state how long
        work takes on their machines.
        """
        configuration = self.configuration
        has_organisations = (
            configuration is not None and configuration.organisations is not None
        )
        return has_organisations or self.replicas_state_work

    def replicas_of(self, service: str) -> list[Replica]:
        """Return the replicas of a service that accept new requests."""
        now = self.reactor.seconds()
        return [
            replica
            for replica in self.by_service.get(service, ())
            if self.is_usable(replica, now)
        ]

    def is_usable(self, replica: Replica, now: float) -> bool:
        """Return whether a replica accepts new requests.

        Its own answers may say that it leaves, or wants a pause. Draining replicas and
        those of evacuated data centres accept none. A replica that left discovery is
        used for ``deregistered_grace_s``.
        """
        if not replica.notices.allow_requests(now):
            return False
        return self.is_listed(replica, now)

    def is_listed(self, replica: Replica, now: float) -> bool:
        """Return whether discovery and the operators allow new requests."""
        if replica.entry.draining or replica.entry.data_centre in self.evacuated:
            return False
        deregistered_at = replica.deregistered_at
        return (
            deregistered_at is None or now < deregistered_at + self.deregistered_grace_s
        )

    def wait_s(self, service: str, reserve: float, now: float) -> float:
        """Return how long until pauses and rate limits of replicas allow a request.

        Zero if it is not these that prevent one.
        """
        waits = []
        for replica in self.by_service.get(service, ()):
            notices = replica.notices
            if notices.leaving_since is None and self.is_listed(replica, now):
                share = notices.rate_share
                rate_wait_s = share.wait_s(reserve, now) if share else 0.0
                waits.append(max(notices.pause_left_s(now), rate_wait_s))
        return min(waits, default=0.0)

    @property
    def deregistered_grace_s(self) -> float:
        """How long a replica that left discovery still gets requests."""
        return min(DEREGISTERED_GRACE_RATIO * self.drain_s, MAX_DEREGISTERED_GRACE_S)

    def put(self, entry: ReplicaEntry, now: float) -> None:
        """Apply a discovery entry; entries of an earlier process are ignored."""
        known = self.replicas.get(entry.replica_id)
        if known is not None and entry.started_ms < known.entry.started_ms:
            return
        if known is None or is_other_process(known.entry, entry):
            replaces = known is not None
            if known is not None:
                self.discard(known)
            known = self.add(entry)
            self.pacer.add(known, replaces, now)
            self.claim_address(known)
            if entry.cold_left_s:
                self.set_cold(known, entry.cold_left_s, now)
            self.record_state_change(known, "registered")
        elif known.entry.draining != entry.draining:
            self.record_state_change(known, "draining" if entry.draining else "ready")
        elif known.deregistered_at is not None:
            self.record_state_change(known, "registered again")
        if entry.cold_left_s and entry.sequence != known.entry.sequence:
            self.set_cold(known, entry.cold_left_s, now)
        known.entry = entry
        known.deregistered_at = None

    def add(self, entry: ReplicaEntry) -> Replica:
        """Add the replica of a new entry."""
        replica: Replica

        def record_connected() -> None:
            now = self.reactor.seconds()
            self.reachability.record_response(replica.entry.data_centre, now)

        max_connections = self.connection_limit(entry.service)
        pool = ConnectionPool(
            self.reactor, entry.address, max_connections, record_connected
        )
        replica = Replica(entry, pool)
        self.limit_connections(replica)
        self.notice_board.restore(replica, self.reactor.seconds())
        self.replicas[entry.replica_id] = replica
        self.by_service.setdefault(entry.service, []).append(replica)
        return replica

    def claim_address(self, replica: Replica) -> None:
        """Let a replica take over its address from an earlier one.

        The entry of a service that the configuration does not name takes over nothing:
        another writer may have left it. It may also be that of a service which a later
        configuration names; ``configure`` claims its address then.
        """
        address = replica.entry.address
        holder = self.by_address.get(address)
        if holder is replica:
            return
        if holder is not None:
            named = self.named_services
            if named is not None and replica.entry.service not in named:
                self.record_state_change(replica, "address held by another replica")
                return
            self.record_state_change(holder, "address reused")
            self.discard(holder)
        self.by_address[address] = replica

    def deregister(self, replica_id: str, now: float) -> None:
        """Record that a replica left discovery.

        A draining replica is removed at once; another one is kept for the drain time,
        since its entry may only have expired during an outage of the store.
        """
        replica = self.replicas.get(replica_id)
        if replica is None:
            return
        if replica.entry.draining:
            self.discard(replica)
        elif replica.deregistered_at is None:
            replica.deregistered_at = now
            self.record_state_change(replica, "left discovery")

    def retain(self, replica_ids: Iterable[str], now: float) -> None:
        """Record that all replicas except these left discovery."""
        for replica_id in self.replicas.keys() - set(replica_ids):
            self.deregister(replica_id, now)

    def discard(self, replica: Replica) -> None:
        """Remove a replica; its exchanges in flight continue."""
        self.notice_board.keep(replica, self.reactor.seconds())
        self.pacer.keep(replica, self.reactor.seconds())
        if self.replicas.get(replica.replica_id) is replica:
            del self.replicas[replica.replica_id]
        siblings = self.by_service.get(replica.entry.service, [])
        if replica in siblings:
            siblings.remove(replica)
        if self.by_address.get(replica.entry.address) is replica:
            del self.by_address[replica.entry.address]
        replica.pool.close()

    def discard_misdirected(self, replica: Replica) -> None:
        """Remove a replica whose address belongs to another one by now."""
        self.record_state_change(replica, "address answers for another replica")
        self.log_changes()
        self.discard(replica)

    def sweep(self, now: float) -> None:
        """Remove replicas that left discovery longer than the drain time ago.

        Limits are divided anew if other data centres are cut off than before.
        """
        cut_off = self.reachability.cut_off_data_centres(now)
        self.notice_board.sweep(cut_off, self.replicas.values(), now)
        for replica in list(self.replicas.values()):
            if (
                replica.deregistered_at is not None
                and now > replica.deregistered_at + self.drain_s
            ):
                self.record_state_change(replica, "gone")
                self.discard(replica)
        self.log_changes()
        self.pacer.sweep(now, self.adapts_to_load)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration and its connection limits."""
        self.configuration = configuration
        self.shard_services = configuration.shard_services
        known, self.named_services = self.named_services, configuration.named_services
        if known is not None:
            self.claim_addresses(self.named_services - known)
        self.top_priorities = configuration.top_priorities
        self.update_connection_limits()
        self.update_rate_shares()

    def claim_addresses(self, services: frozenset[str]) -> None:
        """Let the replicas of services that are new take over their addresses."""
        for service in services:
            for replica in list(self.by_service.get(service, ())):
                self.claim_address(replica)

    def set_shares(self, shares: Shares) -> None:
        """Set this gateway's share of the limits of replicas."""
        self.shares = shares
        self.pacer.update_shares()
        self.update_connection_limits()
        self.update_rate_shares()

    def update_rate_shares(self) -> None:
        """Divide the rate limits of replicas among the gateways known now."""
        now = self.reactor.seconds()
        self.notice_board.configure(self.shares, self.shard_services)
        self.notice_board.update_rate_shares(self.replicas.values(), now)

    def share_divisor(self, service: str) -> float:
        """Return the divisor that gives this gateway's share of a replica's limit."""
        searched = service in self.shard_services
        return self.shares.search_divisor if searched else self.shares.request_divisor

    def update_connection_limits(self) -> None:
        """Limit the connections to each replica to this gateway's share."""
        for replica in self.replicas.values():
            self.limit_connections(replica)

    def limit_connections(self, replica: Replica) -> None:
        """Limit the connections to one replica to this gateway's share.

        Where that is less than one, all gateways together would exceed the limit by
        keeping one each: there, connections are closed after use.
        """
        share = self.connection_share(replica.entry.service)
        adapts = self.adapts_to_load
        replica.pool.set_limit(max(1, int(share)), adapts, not adapts or share >= 1.0)

    def record_stated_work(self) -> None:
        """Record that replicas state how long work takes; connections follow."""
        if not self.replicas_state_work:
            self.replicas_state_work = True
            self.update_connection_limits()

    def connection_limit(self, service: str) -> int:
        """Return how many connections to one replica this gateway may open."""
        return max(1, int(self.connection_share(service)))

    def connection_share(self, service: str) -> float:
        """Return this gateway's share of the connection limit of one replica."""
        services: Mapping[str, Any] = (
            self.configuration.services if self.configuration else {}
        )
        known = services.get(service)
        bound = known.max_connections if known else 0
        share = MAX_CONNECTIONS_RATIO * (bound or DEFAULT_MAX_CONNECTIONS)
        return share / self.share_divisor(service)

    def set_cold(self, replica: Replica, cold_left_s: float, now: float) -> None:
        """Record for how long a replica says that it is cold.

        It is not believed beyond ``MAX_COLD_RATIO`` of what the service states.
        """
        configuration = self.configuration
        service = replica.entry.service
        known = configuration.services.get(service) if configuration else None
        if known is not None and known.cold_start_s:
            cold_left_s = min(cold_left_s, MAX_COLD_RATIO * known.cold_start_s)
        replica.cold_until = now + cold_left_s
        if cold_left_s > 0.0:
            self.pacer.begin(replica, now)

    def can_serve(self, service: str, now: float) -> bool:
        """Return whether a service has a replica that this gateway can connect to."""
        return any(
            not replica.pool.is_failing
            and not self.reachability.is_cut_off(replica.entry.data_centre, now)
            for replica in self.replicas_of(service)
        )

    def all_suspected(self, service: str, now: float) -> bool:
        """Return whether all replicas of a service are in suspected data centres.

        A service without replicas is not suspected.
        """
        replicas = self.replicas_of(service)
        return bool(replicas) and all(
            self.reachability.is_suspect(replica.entry.data_centre, now)
            for replica in replicas
        )

    def probe_suspects(self, now: float) -> None:
        """Open a connection to one replica in each suspected data centre."""
        probed: set[str] = set()
        replicas = list(self.replicas.values())
        self.random.shuffle(replicas)
        for replica in replicas:
            data_centre = replica.entry.data_centre
            if data_centre not in probed and self.reachability.is_suspect(
                data_centre, now
            ):
                probed.add(data_centre)
                replica.pool.probe()

    def probe_failing(self, now: float) -> None:
        """Connect to replicas that refused all connections, once their backoff ends.

        A service all of whose replicas refuse gets no requests, and so no connections:
        after a partition that would last for good.
        """
        failing = [
            replica
            for replica in self.replicas.values()
            if replica.pool.is_failing and now >= replica.pool.retry_at
        ]
        for replica in failing:
            self.pacer.restart(replica, now)
        for replica in self.random.sample(failing, min(len(failing), MAX_PROBES)):
            replica.pool.probe()

    def set_evacuated(self, data_centres: set[str]) -> None:
        """Set the data centres that get no new requests."""
        if data_centres != self.evacuated:
            log_event(
                logger,
                EventName.DATA_CENTRE_STATE,
                state="evacuated " + (",".join(sorted(data_centres)) or "none"),
            )
        self.evacuated = data_centres

    def observe_notices(
        self, replica: Replica, stated: StatedNotices, now: float
    ) -> None:
        """Apply what a reply says of the replica, and log changes."""
        for state in self.notice_board.observe(replica, stated, now):
            self.record_state_change(replica, state)
        if self.replicas.get(replica.replica_id) is not replica:
            self.notice_board.keep(replica, now)

    def record_state_change(self, replica: Replica, state: str) -> None:
        """Queue a state change of a replica for ``log_changes``."""
        self.changes.setdefault(state, []).append(replica)

    def log_changes(self) -> None:
        """Log the state changes since the last call."""
        changes, self.changes = self.changes, {}
        log_state_changes(changes)
