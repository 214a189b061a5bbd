"""Gateway processes of a soak: started, paused, stopped and restarted."""

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
from sardinehook.observe.memory import resident_bytes

__all__ = ["Gateway", "GatewayOptions", "make_gateways"]

POLL_S = 0.05
PORTS_PER_GATEWAY = 6  # front, ready, control, a range of three internal ports
SEED_COUNT = 3  # gateways listed as seeds in all settings files
MEMORY_BYTES = 300_000_000  # of a VM of the users' sites
STOP_MARGIN_S = 1.5  # beyond the grace period, to detect the exit
FAST_LINK_MBPS = 1000.0
SLOW_LINK_MBPS = 20.0
REPOSITORY = Path(__file__).resolve().parents[2]

SETTINGS = """\
Node = "{name}"
Ip = "127.0.0.1"
Zone = "{data_centre}"
InternalPorts = [{ports[3]}, {ports[5]}]
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
CanaryShare = 0.1
CanarySlack = 50
RollbackMs = 5000
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
    """A gateway process with its settings file and its proxy to the store."""

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
        self.seeds = ", ".join(
            f'"{LOOPBACK}:{listed[2]}"' for listed in ports[:SEED_COUNT]
        )
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
        """Write the settings file; a new ``comment`` changes the file only."""
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
        """Start the process as a new incarnation."""
        self.incarnation += 1
        self.child.environment = {"SARDINEHOOK_SETTINGS": str(self.path)}
        self.child.start()
        now = self.testbed.reactor.seconds()
        self.testbed.history.record_disturbance(self.name, now, now)

    @property
    def has_started(self) -> bool:
        """Whether the current incarnation has logged that it is listening."""
        text = self.child.log.read_text(errors="replace")
        return text.count("event=process_started") == self.incarnation

    async def restart(self, end: Callable[[], None], grace_s: float) -> None:
        """Call ``end``, await the exit and restart; kill it after the grace period."""
        if self.in_transition or not self.child.running:
            return
        self.in_transition = True
        started_at = self.testbed.reactor.seconds()
        end()
        while self.child.running:
            if self.testbed.reactor.seconds() > started_at + grace_s + STOP_MARGIN_S:
                self.report_violation(
                    "grace", f"{self.name} did not exit within the grace period"
                )
                self.child.kill()
            await deferLater(self.testbed.reactor, POLL_S)
        self.record_exit(grace_s > 0.0)
        self.start()
        self.in_transition = False

    async def pause(self, duration_s: float) -> None:
        """Suspend the process for a time and record the disturbance."""
        if self.in_transition or not self.child.running:
            return
        self.in_transition = True
        started_at = self.testbed.reactor.seconds()
        self.child.pause()
        await deferLater(self.testbed.reactor, duration_s)
        self.child.resume()
        now = self.testbed.reactor.seconds()
        self.testbed.history.record_disturbance(self.name, started_at, now)
        self.in_transition = False

    async def stop(self, grace_s: float) -> None:
        """Stop the process gracefully and restart it."""
        if self.in_transition or not self.child.running:
            return
        now = self.testbed.reactor.seconds()
        self.testbed.history.planned_stops.append(
            Interval(self.name, now, now + grace_s)
        )
        await self.restart(self.child.terminate, grace_s)

    def reload(self, signalled: bool) -> None:
        """Rewrite the settings file, with SIGHUP if ``signalled``.

        A process gets no SIGHUP before its interpreter has run the first statement of
        the gateway, which ignores it: until then the signal ends any process.
        """
        self.write_settings(f"{self.testbed.reactor.seconds()}")
        if signalled and not self.in_transition and self.child.handles(signal.SIGHUP):
            self.child.signal(signal.SIGHUP)

    def restart_if_exited(self) -> None:
        """Restart a process that exited unexpectedly, and report the violation."""
        if not self.in_transition and not self.child.running:
            code = self.child.exit_code
            self.report_violation(
                "exit", f"{self.name} exited unexpectedly with code {code}"
            )
            self.start()

    def check_memory(self) -> None:
        """Report a violation if the process exceeds the memory of its VM."""
        if not self.child.running:
            return
        resident = resident_bytes(self.child.pid)
        if resident > MEMORY_BYTES:
            self.report_violation(
                "memory", f"{self.name} holds {resident} of {MEMORY_BYTES} bytes"
            )

    def record_exit(self, planned: bool) -> None:
        """Record an exit; report a planned one whose exit code is not expected."""
        now = self.testbed.reactor.seconds()
        self.testbed.history.record_disturbance(self.name, now, now)
        code = self.child.exit_code
        if planned and code == -signal.SIGTERM and not self.has_started:
            return  # SIGTERM arrived before the process was listening
        if planned and code not in (0, -signal.SIGKILL):
            self.report_violation(
                "exit", f"{self.name} exited with code {code} after a planned stop"
            )


def make_gateways(
    testbed: Testbed, options: GatewayOptions, count: int
) -> list[Gateway]:
    """Create gateways without starting them, and record who may forward for whom."""
    # A block for each, since its internal ports have to follow each other.
    ports_by_gateway = [reserve_ports(PORTS_PER_GATEWAY) for _ in range(count)]
    gateways = [
        Gateway(testbed, options, number, ports_by_gateway) for number in range(count)
    ]
    testbed.history.has_delegates = options.mixed_link_speeds
    for gateway in gateways:
        testbed.history.forwarders[gateway.name] = tuple(
            other.name
            for other in gateways
            if other.has_fast_link and other.data_centre == gateway.data_centre
        )
    return gateways
