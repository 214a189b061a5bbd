"""The gateways of a soak, as processes that are stopped, paused and started again."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from twisted.internet.task import deferLater

from bench.ports import LOOPBACK, reserve_ports
from bench.processes import Child
from bench.soak.history import Interval
from bench.soak.proxy import Proxy
from bench.soak.testbed import DATA_CENTRES, Testbed

__all__ = ["Gateway", "GatewayOptions", "make_gateways"]

POLL_S = 0.05
PORTS_PER_GATEWAY = 5  # front, ready, peers, two internal ones
SEED_COUNT = 3  # gateways that all others know from their settings
STOP_MARGIN_S = 1.5  # beyond the grace, for the runner to notice an end
FAST_LINK_MBPS = 1000.0
SLOW_LINK_MBPS = 20.0
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


class GatewayOptions(NamedTuple):
    """Options that all gateways of a soak share.

    With ``mixed_link_speeds``, only one gateway in each data centre has a fast link.
    ``report_violation`` is called with the name of the guarantee and a detail.
    """

    folder: Path
    mixed_link_speeds: bool
    mutant: str
    report_violation: Callable[[str, str], None]


class Gateway:
    """One gateway process with its settings file and its way to the store."""

    def __init__(
        self,
        testbed: Testbed,
        options: GatewayOptions,
        number: int,
        ports: list[list[int]],
    ) -> None:
        self.testbed = testbed
        self.report_violation = options.report_violation
        self.name = f"g-{number}"
        self.ports = ports[number]
        self.seeds = ", ".join(f'"{LOOPBACK}:{one[2]}"' for one in ports[:SEED_COUNT])
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.store = Proxy(testbed.reactor, testbed.store_port)
        self.has_fast_link = not options.mixed_link_speeds or number < len(DATA_CENTRES)
        self.incarnation = 0
        self.missed_probes = 0
        self.path = options.folder / f"{self.name}.toml"
        self.write_settings("first")
        module = ["-m", "sardinehook.gateway"]
        if options.mutant:
            module = ["-m", "bench.soak.mutant", options.mutant]
        log = options.folder / f"{self.name}.log"
        self.child = Child(self.name, module, log, REPOSITORY)
        self.in_transition = False

    def write_settings(self, comment: str) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            data_centre=self.data_centre,
            ports=self.ports,
            seeds=self.seeds,
            store=self.store.port,
            comment=comment,
            link_mbps=FAST_LINK_MBPS if self.has_fast_link else SLOW_LINK_MBPS,
        )
        self.path.write_text(text)

    def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self.child.environment = {"SARDINEHOOK_SETTINGS": str(self.path)}
        self.child.start()
        now = self.testbed.reactor.seconds()
        self.testbed.history.record_disturbance(self.name, now, now)

    @property
    def has_started(self) -> bool:
        """Whether this start of the process has begun to listen."""
        text = self.child.log.read_text(errors="replace")
        return text.count("event=process_started") == self.incarnation

    async def restart(self, end: Callable[[], None], grace_s: float) -> None:
        """End the process by ``end``, wait for that, and start it again."""
        if self.in_transition or not self.child.running:
            return
        self.in_transition = True
        began = self.testbed.reactor.seconds()
        end()
        while self.child.running:
            if self.testbed.reactor.seconds() > began + grace_s + STOP_MARGIN_S:
                self.report_violation("grace", f"{self.name} did not end in time")
                self.child.kill()
            await deferLater(self.testbed.reactor, POLL_S)
        self.record_exit(grace_s > 0.0)
        self.start()
        self.in_transition = False

    async def pause(self, duration_s: float) -> None:
        """Stop the process from running for a while."""
        if self.in_transition or not self.child.running:
            return
        self.in_transition = True
        began = self.testbed.reactor.seconds()
        self.child.pause()
        await deferLater(self.testbed.reactor, duration_s)
        self.child.resume()
        now = self.testbed.reactor.seconds()
        self.testbed.history.record_disturbance(self.name, began, now)
        self.in_transition = False

    async def stop(self, grace_s: float) -> None:
        """Stop the process as planned, and start it again."""
        if self.in_transition or not self.child.running:
            return
        now = self.testbed.reactor.seconds()
        self.testbed.history.planned_stops.append(
            Interval(self.name, now, now + grace_s)
        )
        await self.restart(self.child.terminate, grace_s)

    def reload(self, signalled: bool) -> None:
        """Change the settings file."""
        self.write_settings(f"{self.testbed.reactor.seconds()}")
        if signalled and not self.in_transition:
            self.child.signal(signal.SIGHUP)

    def restart_if_exited(self) -> None:
        """Start the process again that has ended by itself, which breaks a promise."""
        if not self.in_transition and not self.child.running:
            code = self.child.exit_code
            self.report_violation("exit", f"{self.name} ended by itself with {code}")
            self.start()

    def record_exit(self, planned: bool) -> None:
        """Note the end of a process; a planned one is in order."""
        now = self.testbed.reactor.seconds()
        self.testbed.history.record_disturbance(self.name, now, now)
        code = self.child.exit_code
        if planned and code == -signal.SIGTERM and not self.has_started:
            return  # it was told to stop before it had begun to listen
        if planned and code not in (0, -signal.SIGKILL):
            self.report_violation("exit", f"{self.name} ended with {code}")


def make_gateways(
    testbed: Testbed, options: GatewayOptions, count: int
) -> list[Gateway]:
    """Return gateways that are yet to be started, and note who may help whom."""
    ports = reserve_ports(PORTS_PER_GATEWAY * count)
    each = [ports[n * PORTS_PER_GATEWAY :][:PORTS_PER_GATEWAY] for n in range(count)]
    gateways = [Gateway(testbed, options, number, each) for number in range(count)]
    for gateway in gateways:
        testbed.history.forwarders[gateway.name] = tuple(
            other.name
            for other in gateways
            if other.has_fast_link and other.data_centre == gateway.data_centre
        )
    return gateways
