"""Runs a soak: gateways as processes, callers, faults, and the verdict."""

from __future__ import annotations

import re
import signal
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from bench.ports import free_ports
from bench.processes import Child
from bench.soak.callers import Caller, Door
from bench.soak.checks import Promises, Violation, check_all
from bench.soak.history import Interval
from bench.soak.proxy import Proxy
from bench.soak.schedule import (
    CallersLeave,
    ChangeConfiguration,
    DrainReplica,
    Evacuate,
    GatewayKill,
    GatewayPause,
    GatewayReload,
    GatewayStop,
    ReplicaFault,
    Reshard,
    Scheduled,
    Size,
    StoreFault,
    StoreLink,
    make_schedule,
)
from bench.soak.world import DATA_CENTRES, World
from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["SoakOptions", "SoakResult", "soak"]

PROBE_S = 1.0
POLL_S = 0.05
MISSED_PROBES = 2
PORTS_EACH = 5
RECOVERY_S = 12.0
AFTER_RECOVERY_S = 4.0
STOP_SLACK_S = 1.5
LAG_S = 0.3  # a runner that is late by more sees nothing in time itself
EVACUATION_LEAST_S = 6.0
CLIENT_ERROR = 400
WIDE_MBPS = 1000.0
NARROW_MBPS = 20.0  # with odd seeds, all but one of each data centre
REQUEST_FIELD = re.compile(r"\brequest=(\S+)")
REPOSITORY = Path(__file__).resolve().parents[2]

SETTINGS = """\
Node = "{name}"
Ip = "127.0.0.1"
Zone = "{data_centre}"
InternalPorts = [{ports[3]}, {ports[4]}]
Seeds = [{seeds}]
[Listen]
Front = "127.0.0.1:{ports[0]}"
Ready = "127.0.0.1:{ports[1]}"
Control = "127.0.0.1:{ports[2]}"
[Bounds]
DrainMs = 3000
ConfigApplyMs = 3000
EvacuateMs = 5000
GraceS = 6
BudgetSlack = 58
BudgetWindowS = 10
RetryBudgetRatio = 0.2
[Limits]
LinkMbps = {link_mbps}
[platform]
Addr = "127.0.0.1:{store}"
# {comment}
"""


class SoakOptions(NamedTuple):
    """What to run: ``mutant`` names a fault that is put into the gateways."""

    seed: int
    gateways: int = 6
    callers: int = 12
    faults_s: float = 30.0
    mean_gap_s: float = 1.0
    mutant: str = ""


class SoakResult(NamedTuple):
    """What a soak found."""

    violations: list[Violation]
    attempts: int
    outcomes: dict[str, int]
    faults: int
    lag_s: float


class Gateway:
    """One gateway process with its settings file and its way to the store."""

    def __init__(self, soak: Soak, number: int, ports: list[int], seeds: str) -> None:
        self.soak = soak
        self.name = f"g-{number}"
        self.ports = ports
        self.seeds = seeds
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.store = Proxy(soak.reactor, soak.world.store_port)
        self.is_wide = not soak.uneven or number < len(DATA_CENTRES)
        self.incarnation = 0
        self.misses = 0
        self.path = soak.folder / f"{self.name}.toml"
        self.write_settings("first")
        module = ["-m", "sardinehook.gateway"]
        if soak.options.mutant:
            module = ["-m", "bench.soak.mutant", soak.options.mutant]
        log = soak.folder / f"{self.name}.log"
        self.child = Child(self.name, module, log, REPOSITORY)
        self.busy = False

    def write_settings(self, comment: str) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            data_centre=self.data_centre,
            ports=self.ports,
            seeds=self.seeds,
            store=self.store.port,
            comment=comment,
            link_mbps=WIDE_MBPS if self.is_wide else NARROW_MBPS,
        )
        self.path.write_text(text)

    def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self.child.environment = {"SARDINEHOOK_SETTINGS": str(self.path)}
        self.child.start()
        now = self.soak.reactor.seconds()
        self.soak.history.disturb(self.name, now, now)

    @property
    def has_started(self) -> bool:
        """Whether this start of the process has begun to listen."""
        text = self.child.log.read_text(errors="replace")
        return text.count("event=process_started") == self.incarnation

    async def restart(self, end: Callable[[], None], grace_s: float) -> None:
        """End the process by ``end``, wait for that, and start it again."""
        if self.busy or not self.child.running:
            return
        self.busy = True
        began = self.soak.reactor.seconds()
        end()
        while self.child.running:
            if self.soak.reactor.seconds() > began + grace_s + STOP_SLACK_S:
                self.soak.found("grace", f"{self.name} did not end in time")
                self.child.kill()
            await deferLater(self.soak.reactor, POLL_S)
        self.soak.note_exit(self, grace_s > 0.0)
        self.start()
        self.busy = False

    async def pause(self, for_s: float) -> None:
        """Stop the process from running for a while."""
        if self.busy or not self.child.running:
            return
        self.busy = True
        began = self.soak.reactor.seconds()
        self.child.pause()
        await deferLater(self.soak.reactor, for_s)
        self.child.resume()
        now = self.soak.reactor.seconds()
        self.soak.history.disturb(self.name, began, now)
        self.busy = False


class Soak:
    """One soak from start to verdict."""

    def __init__(
        self, reactor: GatewayReactor, options: SoakOptions, folder: Path
    ) -> None:
        self.reactor = reactor
        self.options = options
        self.folder = folder
        self.world = World(reactor, options.seed)
        self.history = self.world.history
        self.promises = Promises()
        self.violations: list[Violation] = []
        self.doors: dict[str, Door] = {}
        self.pool = HTTPConnectionPool(reactor, persistent=False)
        self.agent = Agent(reactor, connectTimeout=PROBE_S, pool=self.pool)
        self.lag_s = 0.0
        self.ending = False
        self.uneven = options.seed % 2 == 1
        ports = free_ports(PORTS_EACH * options.gateways)
        each = [ports[n * PORTS_EACH :][:PORTS_EACH] for n in range(options.gateways)]
        seeds = ", ".join(f'"127.0.0.1:{one[2]}"' for one in each[:3])
        self.gateways = [
            Gateway(self, number, one, seeds) for number, one in enumerate(each)
        ]
        for gateway in self.gateways:
            self.history.helpers[gateway.name] = tuple(
                other.name
                for other in self.gateways
                if other.is_wide and other.data_centre == gateway.data_centre
            )
        self.callers = [
            Caller(
                reactor,
                self.history,
                Random(f"{options.seed} caller {number}"),
                f"c{number}",
                self.doors,
            )
            for number in range(options.callers)
        ]

    async def run(self) -> SoakResult:
        """Run everything and judge."""
        for gateway in self.gateways:
            gateway.start()
            self.spawn(self.probe(gateway))
        self.spawn(self.watch_lag())
        await self.wait_until_ready()
        for caller in self.callers:
            caller.next()
        size = Size(len(self.gateways), len(self.world.replicas), len(DATA_CENTRES))
        options = self.options
        schedule = make_schedule(
            options.seed, size, options.faults_s, options.mean_gap_s
        )
        began = self.reactor.seconds()
        for one in schedule:
            await self.sleep(began + one.at - self.reactor.seconds())
            self.inject(one)
        await self.sleep(began + options.faults_s - self.reactor.seconds())
        await self.wait_until_healed()
        self.history.recovered_at = self.reactor.seconds() + RECOVERY_S
        await self.sleep(RECOVERY_S + AFTER_RECOVERY_S)
        await self.stop_all()
        return self.judge(len(schedule))

    async def wait_until_ready(self) -> None:
        """Wait until all gateways are in rotation."""
        while len(self.doors) < len(self.gateways):
            await self.sleep(POLL_S)

    async def wait_until_healed(self) -> None:
        """Wait until what was started has ended by itself."""
        while any(gateway.busy for gateway in self.gateways):
            await self.sleep(POLL_S)

    async def sleep(self, seconds: float) -> None:
        """Let time pass."""
        await deferLater(self.reactor, max(0.0, seconds))

    def spawn(self, work: Any) -> None:  # noqa: ANN401 - a coroutine
        """Run something beside; an error ends the soak as a violation."""
        running = Deferred.fromCoroutine(work)
        running.addErrback(lambda failure: self.found("soak", str(failure)))

    def found(self, promise: str, detail: str) -> None:
        """Note a violation."""
        self.violations.append(Violation(promise, "", detail))

    async def probe(self, gateway: Gateway) -> None:
        """Keep a gateway in rotation while it says that it is ready."""
        url = f"http://127.0.0.1:{gateway.ports[1]}/ready".encode()
        while not self.ending:
            began = self.reactor.seconds()
            gateway.misses = 0 if await self.is_ready(url) else gateway.misses + 1
            if not gateway.misses:
                door = Door(gateway.name, gateway.incarnation, gateway.ports[0])
                self.doors[gateway.name] = door
            elif gateway.misses >= MISSED_PROBES:
                self.doors.pop(gateway.name, None)
            await self.sleep(began + PROBE_S - self.reactor.seconds())

    async def is_ready(self, url: bytes) -> bool:
        """Ask a gateway once."""
        asked = self.agent.request(b"GET", url)
        asked.addTimeout(PROBE_S, self.reactor)
        try:
            response = await asked
            await readBody(response)
        except Exception:  # a miss, whatever the reason
            return False
        return int(response.code) == 200

    async def watch_lag(self) -> None:
        """Note when this runner itself is late."""
        while not self.ending:
            began = self.reactor.seconds()
            await self.sleep(POLL_S)
            now = self.reactor.seconds()
            late_s = now - began - POLL_S
            self.lag_s = max(self.lag_s, late_s)
            if late_s > LAG_S:
                for name in ("store", *(gateway.name for gateway in self.gateways)):
                    self.history.disturb(name, began, now)

    def inject(self, one: Scheduled) -> None:
        """Begin a fault of a gateway, or else of what is around them."""
        match one.fault:
            case GatewayStop(number):
                self.spawn(self.stop_gateway(self.gateways[number]))
            case GatewayKill(number):
                gateway = self.gateways[number]
                self.spawn(gateway.restart(gateway.child.kill, 0.0))
            case GatewayPause(number):
                self.spawn(self.gateways[number].pause(one.for_s))
            case GatewayReload(number, signalled):
                self.reload(self.gateways[number], signalled)
            case StoreLink(number, mode):
                gateway = self.gateways[number]
                self.disturb_link(gateway.store, mode, one.for_s, gateway.name)
            case _:
                self.inject_outside(one)

    def inject_outside(self, one: Scheduled) -> None:
        """Begin a fault of the store, replicas, operators or callers."""
        world = self.world
        match one.fault:
            case StoreFault(mode):
                self.disturb_store(mode, one.for_s)
            case ReplicaFault(number, mode):
                self.disturb_replica(number, mode, one.for_s)
            case DrainReplica(number):
                world.replicas[number].drain()
            case Evacuate(number):
                world.evacuate(number, one.for_s + EVACUATION_LEAST_S)
            case ChangeConfiguration():
                world.change_route()
            case Reshard():
                world.reshard()
            case CallersLeave():
                self.let_leave(one.for_s)

    async def stop_gateway(self, gateway: Gateway) -> None:
        """Stop a gateway as planned, and start it again."""
        if gateway.busy or not gateway.child.running:
            return
        now = self.reactor.seconds()
        grace_s = self.promises.grace_s
        self.history.stops.append(Interval(gateway.name, now, now + grace_s))
        await gateway.restart(gateway.child.terminate, grace_s)

    def note_exit(self, gateway: Gateway, planned: bool) -> None:
        """Note the end of a process; a planned one is in order."""
        now = self.reactor.seconds()
        self.history.disturb(gateway.name, now, now)
        code = gateway.child.exit_code
        if planned and code == -signal.SIGTERM and not gateway.has_started:
            return  # it was told to stop before it had begun to listen
        if planned and code not in (0, -signal.SIGKILL):
            self.found("exit", f"{gateway.name} ended with {code}")

    def reload(self, gateway: Gateway, signalled: bool) -> None:
        """Change the settings file of a gateway."""
        gateway.write_settings(f"{self.reactor.seconds()}")
        if signalled and not gateway.busy:
            gateway.child.signal(signal.SIGHUP)

    def disturb_link(self, proxy: Proxy, mode: str, for_s: float, name: str) -> None:
        """Disturb the connections through a proxy for a while."""
        proxy.set_mode(mode)
        now = self.reactor.seconds()
        self.history.disturb(name, now, now + for_s)
        self.reactor.callLater(for_s, proxy.set_mode, "")

    def disturb_store(self, mode: str, for_s: float) -> None:
        """Let the store misbehave for a while."""
        store = self.world.store
        now = self.reactor.seconds()
        self.history.disturb("store", now, now + for_s)
        if mode == "compact":
            store.compact()
        elif mode == "lapse":
            store.lapse("servers/")
            store.lapse("sardinehook/")
        else:
            store.mode = mode
            self.reactor.callLater(for_s, setattr, store, "mode", "")

    def disturb_replica(self, number: int, mode: str, for_s: float) -> None:
        """Let a replica or the way to it misbehave for a while."""
        replica = self.world.replicas[number]
        server, proxy = replica.server, replica.proxy
        if server is None or proxy is None:
            return
        if mode in ("pause", "errors", "garble", "extra", "lost"):
            server.set_mode(mode)
            self.reactor.callLater(for_s, server.set_mode, "")
        else:
            proxy.set_mode(mode)
            self.reactor.callLater(for_s, proxy.set_mode, "")

    def let_leave(self, for_s: float) -> None:
        """Let callers leave early for a while."""
        for caller in self.callers:
            caller.leaves = True
            self.reactor.callLater(for_s, setattr, caller, "leaves", False)

    async def stop_all(self) -> None:
        """Stop all gateways while callers go on."""
        now = self.reactor.seconds()
        grace_s = self.promises.grace_s
        for gateway in self.gateways:
            self.history.stops.append(Interval(gateway.name, now, now + grace_s))
            gateway.child.terminate()
        while any(gateway.child.running for gateway in self.gateways):
            if self.reactor.seconds() > now + grace_s + STOP_SLACK_S:
                break
            await self.sleep(POLL_S)
        self.ending = True
        for caller in self.callers:
            caller.stopped = True
        for gateway in self.gateways:
            if gateway.child.running:
                self.found("grace", f"{gateway.name} did not end in time")
                gateway.child.kill()
            self.note_exit(gateway, True)

    def judge(self, faults: int) -> SoakResult:
        """Check all promises over what was seen."""
        strays = [stray for caller in self.callers for stray in caller.strays]
        for stray in strays:
            self.found("nothing unasked", stray)
        self.find_unexplained()
        found = [*self.violations, *check_all(self.history, self.promises)]
        attempts = self.history.attempts.values()
        outcomes = Counter(
            f"{a.kind} {a.answer.status if a.answer else a.end or 'open'}"
            for a in attempts
        )
        return SoakResult(found, len(attempts), dict(outcomes), faults, self.lag_s)

    def find_unexplained(self) -> None:
        """Look for requests that ended badly and that no line of a log names."""
        named: dict[str, set[str]] = {}
        for gateway in self.gateways:
            text = gateway.child.log.read_text(errors="replace")
            named[gateway.name] = set(REQUEST_FIELD.findall(text))
        for attempt in self.history.attempts.values():
            answer = attempt.answer
            if answer is None or attempt.request in named[attempt.gateway]:
                continue
            missing = int(answer.headers.get("x-missing-parts", "0"))
            if answer.status >= CLIENT_ERROR or missing:
                detail = f"{answer.status} with {missing} missing, in no line"
                self.violations.append(Violation("explained", attempt.request, detail))


def soak(options: SoakOptions, folder: Path) -> SoakResult:
    """Run a soak in this process's reactor; one process runs one soak."""
    from twisted.internet import reactor

    running: Any = reactor
    results: list[SoakResult] = []
    errors: list[str] = []
    work = Soak(running, options, folder)

    def end(_ignored: object) -> None:
        running.stop()

    def begin() -> None:
        doing = Deferred.fromCoroutine(work.run())
        doing.addCallback(results.append)
        doing.addErrback(lambda failure: errors.append(failure.getTraceback()))
        doing.addBoth(end)

    running.callWhenRunning(begin)
    try:
        running.run()
    finally:
        # Also where the run was interrupted: nothing that it started stays behind.
        for gateway in work.gateways:
            if gateway.child.running:
                gateway.child.kill()
    if not results:
        sys.stderr.write(errors[0] if errors else "the soak was interrupted\n")
        raise SystemExit(2)
    return results[0]
