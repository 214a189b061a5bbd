"""Environment of the gateways in a soak: store, replicas, proxies, operators."""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

import msgspec

from bench.http_server import listen
from bench.soak.history import History, Interval, Revision, Withdrawal
from bench.soak.kv_server import KvServer
from bench.soak.proxy import Proxy
from bench.soak.replica_server import ReplicaServer
from bench.soak.rollouts import Defect
from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["DATA_CENTRES", "ReplicaSite", "Testbed"]

DATA_CENTRES = ("a", "b", "c")
SHARD_SETS = tuple(
    tuple(f"{name}{number}" for number in range(6)) for name in ("first-", "second-")
)
SINGLE_SERVICES = ("desk", "till")
REPLICAS_PER_SERVICE = 2
HEARTBEAT_S = 1.2
DRAIN_S = 3.0
EXIT_DELAY_S = (1.0, 8.0)  # beyond the drain time
RESTART_DELAY_S = 2.0
WORK_S = 0.012
HOST = "soak.example"
CONNECTIONS_PER_SERVICE = 60
COLD_START_S = 2.0
COLD_PER_S = 2.0  # 8 requests in a second, with the bounds in the gateways' settings
NO_END = float("inf")
MAX_REWRITE_S = 4.0  # until the operator and replicas have written again
ODD_VALUES = (
    b'{"Note": ' + b"[" * 5000,
    b'{"Service": "desk", "Addr": "127.0.0.1:70000", "Zone": "a", "State": "ready"}',
    b'{"Service": "desk", "Addr": "127.0.0.1:80", "Zone": "a", "State": "ready", '
    b'"Slots": 1e400}',
    b"\xff",
)


class Identity(NamedTuple):
    """The identity of a replica in its registration."""

    name: str
    service: str
    data_centre: str
    born_ms: int


class ReplicaSite:
    """An address behind a proxy at which successive replicas run."""

    def __init__(
        self,
        testbed: Testbed,
        number: int,
        service: str,
        data_centre: str,
        version: str = "1",
        defect: Defect | None = None,
    ) -> None:
        self.version = version
        self.defect = defect
        self.testbed = testbed
        self.number = number
        self.service = service
        self.data_centre = data_centre
        self.starts = 0
        self.writes = 0
        self.draining = False
        self.server: ReplicaServer | None = None
        self.listening: Any = None
        self.proxy: Proxy | None = None
        self.start()

    def start(self) -> None:
        """Start a new replica at this address and register it."""
        testbed = self.testbed
        self.starts += 1
        self.draining = False
        born_ms = int(1000 * testbed.reactor.seconds()) + self.starts
        name = f"i-{self.number}-{self.starts}"
        self.identity = Identity(name, self.service, self.data_centre, born_ms)
        now = testbed.reactor.seconds()
        # The first replica at an address starts warm.
        self.cold_until = now + COLD_START_S if self.starts > 1 else now
        testbed.history.cold_starts.append(Interval(name, now, self.cold_until))
        rng = Random(f"{testbed.seed} {name}")
        self.server = ReplicaServer(
            testbed.reactor, testbed.history, rng, name, self.service, WORK_S
        )
        self.server.defect = self.defect
        self.listening = testbed.reactor.listenTCP(
            0, self.server, interface="127.0.0.1"
        )
        port = self.listening.getHost().port
        if self.proxy is None:
            self.proxy = Proxy(testbed.reactor, port)
        self.proxy.target_port = port
        self.register()

    def register(self) -> None:
        """Write the registration if it is missing, as heartbeats do."""
        key = f"servers/{self.identity.name}"
        store = self.testbed.store
        if self.server is None or store.mode == "busy" or key in store.values.held:
            return
        self.write("draining" if self.draining else "ready")

    def write_again(self) -> None:
        """Write the registration, which the store may have lost or have from before."""
        if self.server is not None:
            self.write("draining" if self.draining else "ready")

    def write(self, state: str) -> float:
        """Write the registration; return the time at which the store accepted it."""
        assert self.proxy is not None
        now: float = self.testbed.reactor.seconds()
        self.writes += 1
        entry = {
            "Service": self.identity.service,
            "Addr": f"127.0.0.1:{self.proxy.port}",
            "Zone": self.identity.data_centre,
            "Version": self.version,
            "Slots": 2,
            "State": state,
            "ColdLeftMs": int(1000 * max(0.0, self.cold_until - now)),
            "Seq": self.writes,
            "born": self.identity.born_ms,
        }
        key = f"servers/{self.identity.name}"
        self.testbed.store.write(key, msgspec.json.encode(entry))
        accepted_at: float = self.testbed.reactor.seconds()
        return accepted_at

    def drain(self) -> None:
        """Drain, unless it is the service's last replica; stop after the drain time."""
        testbed = self.testbed
        if self.draining or self.server is None or not testbed.may_drain(self):
            return
        self.draining = self.server.leaving = True
        acked_at = self.write("draining")
        testbed.history.draining.append(
            Withdrawal(self.identity.name, acked_at, NO_END)
        )
        stays_s = DRAIN_S + testbed.rng.uniform(*EXIT_DELAY_S)
        testbed.reactor.callLater(stays_s, self.stop)

    def stop(self) -> None:
        """Remove the registration, stop the replica and schedule a new one."""
        assert self.server is not None
        self.testbed.store.delete(f"servers/{self.identity.name}")
        self.listening.stopListening()
        self.server.close()
        self.server = None
        self.testbed.reactor.callLater(RESTART_DELAY_S, self.start)

    def stop_for_good(self) -> None:
        """Stop the replica without draining; none follows it at this address."""
        if self.server is None:
            return
        self.testbed.store.delete(f"servers/{self.identity.name}")
        self.listening.stopListening()
        self.server.close()
        self.server = None


class Testbed:
    """The store, the replicas and the operators' actions of a soak."""

    def __init__(
        self, reactor: GatewayReactor, seed: int, restores: bool = False
    ) -> None:
        self.reactor = reactor
        self.seed = seed
        self.rng = Random(f"{seed} world")
        self.history = History()
        self.store = KvServer(reactor, Random(f"{seed} store"), int(restores))
        self.store_port: int = listen(reactor, self.store).getHost().port
        self.replicas: list[ReplicaSite] = []
        for service in [*SHARD_SETS[0], *SHARD_SETS[1], *SINGLE_SERVICES]:
            for copy in range(REPLICAS_PER_SERVICE):
                number = len(self.replicas)
                data_centre = DATA_CENTRES[(number + copy) % len(DATA_CENTRES)]
                self.replicas.append(ReplicaSite(self, number, service, data_centre))
        self.version = 0
        self.configuration = b""
        self.active_shard_set = 0
        self.active_single = 0
        self.evacuated = ""
        self.configure()
        self.send_heartbeats()

    def add_replica(
        self, service: str, data_centre: str, version: str, defect: Defect
    ) -> ReplicaSite:
        """Start a replica of another version of a service."""
        number = len(self.replicas)
        site = ReplicaSite(self, number, service, data_centre, version, defect)
        self.replicas.append(site)
        return site

    def send_heartbeats(self) -> None:
        """Register replicas again whose registrations are missing, periodically."""
        for replica in self.replicas:
            replica.register()
        self.reactor.callLater(HEARTBEAT_S, self.send_heartbeats)

    def may_drain(self, replica: ReplicaSite) -> bool:
        """Return whether the service has another replica that is not draining."""
        return any(
            other.service == replica.service
            and other is not replica
            and other.server is not None
            and not other.draining
            for other in self.replicas
        )

    def configure(self) -> None:
        """Write the next configuration version and record it."""
        self.version += self.rng.randint(1, 3)
        search = SHARD_SETS[self.active_shard_set]
        active_single = SINGLE_SERVICES[self.active_single]
        value = {
            "Version": self.version,
            "Routes": [
                route("find", "safe", Gather=search, TopK=8, MinCoverage=0.5),
                route("one", "safe", Service=active_single),
                route("order", "unsafe", Service=SINGLE_SERVICES[1]),
            ],
            "Services": [
                {
                    "Name": name,
                    "MaxConns": CONNECTIONS_PER_SERVICE,
                    "HealthPath": "/health",
                    "ColdStartS": COLD_START_S,
                    "ColdPerS": COLD_PER_S,
                }
                for name in [*SHARD_SETS[0], *SHARD_SETS[1], *SINGLE_SERVICES]
            ],
        }
        sent_at = self.reactor.seconds()
        self.configuration = msgspec.json.encode(value)
        self.store.write("op/config", self.configuration)
        allowed = {
            "/find/": search,
            "/one/": (active_single,),
            "/order/": (SINGLE_SERVICES[1],),
        }
        now = self.reactor.seconds()
        self.history.revisions.append(Revision(self.version, sent_at, now, allowed))

    def restore_store(self, copy_age_s: float, away_s: float) -> None:
        """Let the store go away and come back from a copy of before.

        The operator and the replicas write what they wrote since at times of their own.
        """
        if self.store.mode == "away":
            return
        now = self.reactor.seconds()
        end = now + away_s + MAX_REWRITE_S
        self.history.record_disturbance("store", now, end)
        self.history.restores.append(Interval("store", now, end))
        self.store.leave()
        self.reactor.callLater(away_s, self.bring_back, copy_age_s + away_s)

    def bring_back(self, age_s: float) -> None:
        """Bring the store back, and schedule what is written again."""
        self.store.restore(age_s)
        for replica in self.replicas:
            delay_s = self.rng.uniform(0.0, MAX_REWRITE_S)
            self.reactor.callLater(delay_s, replica.write_again)
        delay_s = self.rng.uniform(0.0, MAX_REWRITE_S)
        self.reactor.callLater(delay_s, self.write_again)

    def write_again(self) -> None:
        """Write the operator's keys, and delete those that are not in force.

        The entries of replicas that have stopped end with them, as their leases would.
        """
        self.store.write("op/config", self.configuration)
        in_force = {
            f"servers/{replica.identity.name}"
            for replica in self.replicas
            if replica.server is not None
        }
        if self.evacuated:
            in_force.add(f"op/evacuate/{self.evacuated}")
            self.store.write(f"op/evacuate/{self.evacuated}", b"{}")
        for prefix in ("servers/", "op/evacuate/"):
            for held in self.store.values.scan(prefix):
                if held.key not in in_force:
                    self.store.delete(held.key)

    def change_route(self) -> None:
        """Move the route ``one`` to the other service."""
        self.active_single = 1 - self.active_single
        self.configure()

    def write_odd_entry(self, number: int) -> None:
        """Write an entry that nobody can use, for a replica and for a gateway."""
        value = ODD_VALUES[number % len(ODD_VALUES)]
        for prefix in ("servers/", "sardinehook/gateways/"):
            self.store.write(f"{prefix}odd-{number}", value)

    def reshard(self) -> None:
        """Switch the search route to the other set of shards."""
        self.active_shard_set = 1 - self.active_shard_set
        self.configure()

    def evacuate(self, number: int, duration_s: float) -> None:
        """Evacuate a data centre for a time, unless one is evacuated already."""
        if self.evacuated:
            return
        self.evacuated = DATA_CENTRES[number]
        self.store.write(f"op/evacuate/{self.evacuated}", b"{}")
        acked_at = self.reactor.seconds()
        self.reactor.callLater(duration_s, self.end_evacuation, acked_at)

    def end_evacuation(self, acked_at: float) -> None:
        """End the evacuation and record it for the replicas of the data centre."""
        now = self.reactor.seconds()
        for replica in self.replicas:
            if replica.data_centre == self.evacuated:
                withdrawal = Withdrawal(replica.identity.name, acked_at, now)
                self.history.evacuated.append(withdrawal)
        self.store.delete(f"op/evacuate/{self.evacuated}")
        self.evacuated = ""


def route(name: str, kind: str, **destination: object) -> dict[str, object]:
    """Return a route in the encoding of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "RouteType": kind,
        "TimeoutMs": 1200,
        "TargetLatencyMs": 250,
        "Priority": 1,
        "MaxAttempts": 2,
        **destination,
    }
