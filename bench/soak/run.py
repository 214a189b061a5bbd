"""Runs a soak: starts gateways and callers, injects faults, checks the history."""

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
from bench.soak.callers import Caller, GatewayEndpoint
from bench.soak.checks import Guarantees, Violation, check_all
from bench.soak.faults import FaultInjector
from bench.soak.gateways import STOP_MARGIN_S, Gateway, GatewayOptions, make_gateways
from bench.soak.history import Interval
from bench.soak.rollouts import RolloutPlayer
from bench.soak.schedule import (
    Topology,
    make_overlaps,
    make_restores,
    make_rollout_faults,
    make_schedule,
)
from bench.soak.testbed import DATA_CENTRES, Testbed
from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["SoakOptions", "SoakResult", "soak"]

PROBE_INTERVAL_S = 1.0
POLL_S = 0.05
MISSED_PROBES = 2
READY_TIMEOUT_S = 60.0  # for all gateways, on a busy machine too
RECOVERY_S = 12.0
AFTER_RECOVERY_S = 4.0
MAX_LAG_S = 0.3  # beyond this lag the runner's own observations are late
CLIENT_ERROR = 400
REQUEST_FIELD = re.compile(r"\brequest=(\S+)")


class SoakOptions(NamedTuple):
    """Options of a soak; ``mutant`` names a defect injected into the gateways.

    With ``overlaps``, the store has outages that overlap with restarts and changes.
    With ``rollouts``, a service moves to another version beside other faults.
    With ``restores``, it states eras and comes back from older copies besides.
    """

    seed: int
    gateways: int = 6
    callers: int = 12
    faults_s: float = 30.0
    mean_gap_s: float = 1.0
    mutant: str = ""
    overlaps: bool = False
    rollouts: bool = False
    restores: bool = False


class SoakResult(NamedTuple):
    """Violations and statistics of a soak."""

    violations: list[Violation]
    attempts: int
    outcomes: dict[str, int]
    faults: int
    lag_s: float


class Soak:
    """A soak run from the start of the gateways to the checks."""

    def __init__(
        self, reactor: GatewayReactor, options: SoakOptions, folder: Path
    ) -> None:
        self.reactor = reactor
        self.options = options
        self.folder = folder
        self.testbed = Testbed(reactor, options.seed, options.restores)
        self.history = self.testbed.history
        self.guarantees = Guarantees()
        self.violations: list[Violation] = []
        self.endpoints: dict[str, GatewayEndpoint] = {}
        self.pool = HTTPConnectionPool(reactor, persistent=False)
        self.agent = Agent(reactor, connectTimeout=PROBE_INTERVAL_S, pool=self.pool)
        self.lag_s = 0.0
        self.stopping = False
        gateway_options = GatewayOptions(
            folder, options.seed % 2 == 1, options.mutant, self.report_violation
        )
        self.gateways = make_gateways(self.testbed, gateway_options, options.gateways)
        self.callers = [
            Caller(
                reactor,
                self.history,
                Random(f"{options.seed} caller {number}"),
                f"c{number}",
                self.endpoints,
            )
            for number in range(options.callers)
        ]
        self.injector = FaultInjector(
            self.testbed,
            self.gateways,
            self.callers,
            self.guarantees.grace_s,
            self.spawn,
        )

    async def run(self) -> SoakResult:
        """Run the soak and return its result."""
        for gateway in self.gateways:
            gateway.start()
            self.spawn(self.probe(gateway))
        self.spawn(self.monitor_lag())
        await self.wait_until_ready()
        for caller in self.callers:
            caller.send_next()
        topology = Topology(
            len(self.gateways), len(self.testbed.replicas), len(DATA_CENTRES)
        )
        options = self.options
        if options.rollouts:
            RolloutPlayer(self.testbed, options.seed).start()
            schedule = make_rollout_faults(options.seed, topology, options.faults_s)
        elif options.overlaps:
            schedule = make_overlaps(options.seed, topology, options.faults_s)
        else:
            schedule = make_schedule(
                options.seed, topology, options.faults_s, options.mean_gap_s
            )
        if options.restores:
            schedule += make_restores(options.seed, topology, options.faults_s)
            schedule.sort(key=lambda one: one.at)
        started_at = self.reactor.seconds()
        for scheduled in schedule:
            await self.sleep(started_at + scheduled.at - self.reactor.seconds())
            self.injector.inject(scheduled)
        await self.sleep(started_at + options.faults_s - self.reactor.seconds())
        await self.wait_for_restarts()
        self.history.recovered_at = self.reactor.seconds() + RECOVERY_S
        await self.sleep(RECOVERY_S + AFTER_RECOVERY_S)
        await self.stop_all()
        return self.evaluate(len(schedule))

    async def wait_until_ready(self) -> None:
        """Wait until all gateways are ready; raise ``StartError`` after the timeout."""
        deadline = self.reactor.seconds() + READY_TIMEOUT_S
        while len(self.endpoints) < len(self.gateways):
            if self.reactor.seconds() > deadline:
                missing = {one.name for one in self.gateways} - set(self.endpoints)
                raise StartError(
                    f"gateways not ready within {READY_TIMEOUT_S:g} s: "
                    f"{', '.join(sorted(missing))}"
                )
            await self.sleep(POLL_S)

    async def wait_for_restarts(self) -> None:
        """Wait until pauses and restarts of gateways have ended."""
        while any(gateway.in_transition for gateway in self.gateways):
            await self.sleep(POLL_S)

    async def sleep(self, seconds: float) -> None:
        """Sleep; a negative time returns at the next turn of the reactor."""
        await deferLater(self.reactor, max(0.0, seconds))

    def spawn(self, coroutine: Any) -> None:  # noqa: ANN401 - a coroutine
        """Run a coroutine concurrently; its failure is reported as a violation."""
        running = Deferred.fromCoroutine(coroutine)
        running.addErrback(lambda failure: self.report_violation("soak", str(failure)))

    def report_violation(self, guarantee: str, detail: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(guarantee, "", detail))

    async def probe(self, gateway: Gateway) -> None:
        """Probe a gateway's readiness; add it to the rotation or remove it."""
        url = f"http://127.0.0.1:{gateway.ports[1]}/ready".encode()
        while not self.stopping:
            started_at = self.reactor.seconds()
            gateway.restart_if_exited()
            gateway.check_memory()
            gateway.missed_probes = (
                0 if await self.is_ready(url) else gateway.missed_probes + 1
            )
            if not gateway.missed_probes:
                endpoint = GatewayEndpoint(
                    gateway.name, gateway.incarnation, gateway.ports[0]
                )
                self.endpoints[gateway.name] = endpoint
            elif gateway.missed_probes >= MISSED_PROBES:
                self.endpoints.pop(gateway.name, None)
            await self.sleep(started_at + PROBE_INTERVAL_S - self.reactor.seconds())

    async def is_ready(self, url: bytes) -> bool:
        """Return whether a readiness probe answered 200 in time."""
        request = self.agent.request(b"GET", url)
        request.addTimeout(PROBE_INTERVAL_S, self.reactor)
        try:
            response = await request
            await readBody(response)
        except Exception:  # any failure counts as a missed probe
            return False
        return int(response.code) == 200

    async def monitor_lag(self) -> None:
        """Measure the runner's lag; a long one counts as a disturbance of all."""
        while not self.stopping:
            started_at = self.reactor.seconds()
            await self.sleep(POLL_S)
            now = self.reactor.seconds()
            late_s = now - started_at - POLL_S
            self.lag_s = max(self.lag_s, late_s)
            if late_s > MAX_LAG_S:
                for name in ("store", *(gateway.name for gateway in self.gateways)):
                    self.history.record_disturbance(name, started_at, now)

    async def stop_all(self) -> None:
        """Stop all gateways gracefully while callers keep sending."""
        now = self.reactor.seconds()
        grace_s = self.guarantees.grace_s
        for gateway in self.gateways:
            self.history.planned_stops.append(
                Interval(gateway.name, now, now + grace_s)
            )
            gateway.in_transition = True
            gateway.child.terminate()
        while any(gateway.child.running for gateway in self.gateways):
            if self.reactor.seconds() > now + grace_s + STOP_MARGIN_S:
                break
            await self.sleep(POLL_S)
        self.stopping = True
        for caller in self.callers:
            caller.stopped = True
        for gateway in self.gateways:
            if gateway.child.running:
                self.report_violation(
                    "grace", f"{gateway.name} did not exit within the grace period"
                )
                gateway.child.kill()
            gateway.record_exit(True)

    def evaluate(self, faults: int) -> SoakResult:
        """Check all guarantees over the history and return the result."""
        unsolicited = [data for caller in self.callers for data in caller.unsolicited]
        for data in unsolicited:
            self.report_violation("nothing unasked", data)
        self.find_unlogged_failures()
        found = [*self.violations, *check_all(self.history, self.guarantees)]
        attempts = self.history.attempts.values()
        outcomes = Counter(
            f"{a.kind} {a.answer.status if a.answer else a.end or 'open'}"
            for a in attempts
        )
        return SoakResult(found, len(attempts), dict(outcomes), faults, self.lag_s)

    def find_unlogged_failures(self) -> None:
        """Report failed or partial answers that no log line of their gateway names."""
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
                detail = f"{answer.status} with {missing} missing parts, not logged"
                self.violations.append(Violation("explained", attempt.request, detail))


def soak(options: SoakOptions, folder: Path) -> SoakResult:
    """Run a soak in the global reactor, which can run once per process.

    Raises ``SystemExit`` with code 2 if the soak failed or was interrupted.
    """
    from twisted.internet import reactor

    running: Any = reactor
    results: list[SoakResult] = []
    errors: list[str] = []
    instance = Soak(running, options, folder)

    def end(_ignored: object) -> None:
        running.stop()

    def begin() -> None:
        running_soak = Deferred.fromCoroutine(instance.run())
        running_soak.addCallback(results.append)
        running_soak.addErrback(lambda failure: errors.append(failure.getTraceback()))
        running_soak.addBoth(end)

    running.callWhenRunning(begin)
    try:
        running.run()
    finally:
        # Also after an interrupt, no gateway process may be left running.
        for gateway in instance.gateways:
            if gateway.child.running:
                gateway.child.kill()
    if not results:
        sys.stderr.write(errors[0] if errors else "the soak was interrupted\n")
        raise SystemExit(2)
    return results[0]
