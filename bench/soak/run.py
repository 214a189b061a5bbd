"""Runs a soak: gateways as processes, callers, faults, and the verdict."""

from __future__ import annotations

import re
import sys
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from bench.processes import StartError
from bench.soak.callers import Caller, Door
from bench.soak.checks import Promises, Violation, check_all
from bench.soak.faults import FaultInjector
from bench.soak.gateways import STOP_SLACK_S, Gateway, GatewayKind, make_gateways
from bench.soak.history import Interval
from bench.soak.schedule import Size, make_schedule
from bench.soak.world import DATA_CENTRES, World
from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["SoakOptions", "SoakResult", "soak"]

PROBE_S = 1.0
POLL_S = 0.05
MISSED_PROBES = 2
READY_TIMEOUT_S = 60.0  # for all gateways, also on a machine that is busy
RECOVERY_S = 12.0
AFTER_RECOVERY_S = 4.0
LAG_S = 0.3  # a runner that is late by more sees nothing in time itself
CLIENT_ERROR = 400
REQUEST_FIELD = re.compile(r"\brequest=(\S+)")


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
        kind = GatewayKind(folder, options.seed % 2 == 1, options.mutant, self.found)
        self.gateways = make_gateways(self.world, kind, options.gateways)
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
        self.injector = FaultInjector(
            self.world,
            self.gateways,
            self.callers,
            self.promises.grace_s,
            self.spawn,
        )

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
            self.injector.inject(one)
        await self.sleep(began + options.faults_s - self.reactor.seconds())
        await self.wait_until_healed()
        self.history.recovered_at = self.reactor.seconds() + RECOVERY_S
        await self.sleep(RECOVERY_S + AFTER_RECOVERY_S)
        await self.stop_all()
        return self.judge(len(schedule))

    async def wait_until_ready(self) -> None:
        """Wait until all gateways are in rotation."""
        give_up_at = self.reactor.seconds() + READY_TIMEOUT_S
        while len(self.doors) < len(self.gateways):
            if self.reactor.seconds() > give_up_at:
                missing = {one.name for one in self.gateways} - set(self.doors)
                raise StartError(f"not ready: {', '.join(sorted(missing))}")
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
            gateway.restart_if_ended()
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

    async def stop_all(self) -> None:
        """Stop all gateways while callers go on."""
        now = self.reactor.seconds()
        grace_s = self.promises.grace_s
        for gateway in self.gateways:
            self.history.stops.append(Interval(gateway.name, now, now + grace_s))
            gateway.busy = True
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
            gateway.note_exit(True)

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
