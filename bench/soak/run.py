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
from bench.soak.callers import Caller, GatewayEndpoint
from bench.soak.checks import Guarantees, Violation, check_all
from bench.soak.faults import FaultInjector
from bench.soak.gateways import STOP_MARGIN_S, Gateway, GatewayOptions, make_gateways
from bench.soak.history import Interval
from bench.soak.schedule import Topology, make_schedule
from bench.soak.testbed import DATA_CENTRES, Testbed
from sardinehook.gateway.reactor import GatewayReactor

__all__ = ["SoakOptions", "SoakResult", "soak"]

PROBE_INTERVAL_S = 1.0
POLL_S = 0.05
MISSED_PROBES = 2
READY_TIMEOUT_S = 60.0  # for all gateways, also on a machine that is busy
RECOVERY_S = 12.0
AFTER_RECOVERY_S = 4.0
MAX_LAG_S = 0.3  # a runner that is late by more sees nothing in time itself
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
        self.testbed = Testbed(reactor, options.seed)
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
        """Run everything and judge."""
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
        schedule = make_schedule(
            options.seed, topology, options.faults_s, options.mean_gap_s
        )
        began = self.reactor.seconds()
        for one in schedule:
            await self.sleep(began + one.at - self.reactor.seconds())
            self.injector.inject(one)
        await self.sleep(began + options.faults_s - self.reactor.seconds())
        await self.wait_for_restarts()
        self.history.recovered_at = self.reactor.seconds() + RECOVERY_S
        await self.sleep(RECOVERY_S + AFTER_RECOVERY_S)
        await self.stop_all()
        return self.evaluate(len(schedule))

    async def wait_until_ready(self) -> None:
        """Wait until all gateways are in rotation."""
        give_up_at = self.reactor.seconds() + READY_TIMEOUT_S
        while len(self.endpoints) < len(self.gateways):
            if self.reactor.seconds() > give_up_at:
                missing = {one.name for one in self.gateways} - set(self.endpoints)
                raise StartError(f"not ready: {', '.join(sorted(missing))}")
            await self.sleep(POLL_S)

    async def wait_for_restarts(self) -> None:
        """Wait until what was started has ended by itself."""
        while any(gateway.in_transition for gateway in self.gateways):
            await self.sleep(POLL_S)

    async def sleep(self, seconds: float) -> None:
        """Let time pass."""
        await deferLater(self.reactor, max(0.0, seconds))

    def spawn(self, coroutine: Any) -> None:  # noqa: ANN401 - a coroutine
        """Run something beside; an error ends the soak as a violation."""
        running = Deferred.fromCoroutine(coroutine)
        running.addErrback(lambda failure: self.report_violation("soak", str(failure)))

    def report_violation(self, guarantee: str, detail: str) -> None:
        """Note a violation."""
        self.violations.append(Violation(guarantee, "", detail))

    async def probe(self, gateway: Gateway) -> None:
        """Keep a gateway in rotation while it says that it is ready."""
        url = f"http://127.0.0.1:{gateway.ports[1]}/ready".encode()
        while not self.stopping:
            began = self.reactor.seconds()
            gateway.restart_if_exited()
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
            await self.sleep(began + PROBE_INTERVAL_S - self.reactor.seconds())

    async def is_ready(self, url: bytes) -> bool:
        """Ask a gateway once."""
        asked = self.agent.request(b"GET", url)
        asked.addTimeout(PROBE_INTERVAL_S, self.reactor)
        try:
            response = await asked
            await readBody(response)
        except Exception:  # a miss, whatever the reason
            return False
        return int(response.code) == 200

    async def monitor_lag(self) -> None:
        """Note when this runner itself is late."""
        while not self.stopping:
            began = self.reactor.seconds()
            await self.sleep(POLL_S)
            now = self.reactor.seconds()
            late_s = now - began - POLL_S
            self.lag_s = max(self.lag_s, late_s)
            if late_s > MAX_LAG_S:
                for name in ("store", *(gateway.name for gateway in self.gateways)):
                    self.history.record_disturbance(name, began, now)

    async def stop_all(self) -> None:
        """Stop all gateways while callers go on."""
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
                self.report_violation("grace", f"{gateway.name} did not end in time")
                gateway.child.kill()
            gateway.record_exit(True)

    def evaluate(self, faults: int) -> SoakResult:
        """Check all promises over what was seen."""
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
        # Also where the run was interrupted: nothing that it started stays behind.
        for gateway in instance.gateways:
            if gateway.child.running:
                gateway.child.kill()
    if not results:
        sys.stderr.write(errors[0] if errors else "the soak was interrupted\n")
        raise SystemExit(2)
    return results[0]
