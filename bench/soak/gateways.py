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
from bench.soak.world import DATA_CENTRES, World

__all__ = ["Gateway", "GatewayKind", "make_gateways"]

POLL_S = 0.05
PORTS_EACH = 5  # front, ready, peers, two internal ones
SEEDS = 3  # gateways that all others know from their settings
STOP_SLACK_S = 1.5  # beyond the grace, for the runner to notice an end
WIDE_MBPS = 1000.0
NARROW_MBPS = 20.0
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


class GatewayKind(NamedTuple):
    """What all gateways of a soak have in common.

    With ``uneven``, one gateway of each data centre alone has a wide link. What
    breaks a promise is told to ``found``.
    """

    folder: Path
    uneven: bool
    mutant: str
    found: Callable[[str, str], None]


class Gateway:
    """One gateway process with its settings file and its way to the store."""

    def __init__(
        self, world: World, kind: GatewayKind, number: int, ports: list[list[int]]
    ) -> None:
        self.world = world
        self.found = kind.found
        self.name = f"g-{number}"
        self.ports = ports[number]
        self.seeds = ", ".join(f'"{LOOPBACK}:{one[2]}"' for one in ports[:SEEDS])
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.store = Proxy(world.reactor, world.store_port)
        self.is_wide = not kind.uneven or number < len(DATA_CENTRES)
        self.incarnation = 0
        self.misses = 0
        self.path = kind.folder / f"{self.name}.toml"
        self.write_settings("first")
        module = ["-m", "sardinehook.gateway"]
        if kind.mutant:
            module = ["-m", "bench.soak.mutant", kind.mutant]
        log = kind.folder / f"{self.name}.log"
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
        now = self.world.reactor.seconds()
        self.world.history.disturb(self.name, now, now)

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
        began = self.world.reactor.seconds()
        end()
        while self.child.running:
            if self.world.reactor.seconds() > began + grace_s + STOP_SLACK_S:
                self.found("grace", f"{self.name} did not end in time")
                self.child.kill()
            await deferLater(self.world.reactor, POLL_S)
        self.note_exit(grace_s > 0.0)
        self.start()
        self.busy = False

    async def pause(self, for_s: float) -> None:
        """Stop the process from running for a while."""
        if self.busy or not self.child.running:
            return
        self.busy = True
        began = self.world.reactor.seconds()
        self.child.pause()
        await deferLater(self.world.reactor, for_s)
        self.child.resume()
        now = self.world.reactor.seconds()
        self.world.history.disturb(self.name, began, now)
        self.busy = False

    async def stop(self, grace_s: float) -> None:
        """Stop the process as planned, and start it again."""
        if self.busy or not self.child.running:
            return
        now = self.world.reactor.seconds()
        self.world.history.stops.append(Interval(self.name, now, now + grace_s))
        await self.restart(self.child.terminate, grace_s)

    def reload(self, signalled: bool) -> None:
        """Change the settings file."""
        self.write_settings(f"{self.world.reactor.seconds()}")
        if signalled and not self.busy:
            self.child.signal(signal.SIGHUP)

    def restart_if_ended(self) -> None:
        """Start the process again that has ended by itself, which breaks a promise."""
        if not self.busy and not self.child.running:
            code = self.child.exit_code
            self.found("exit", f"{self.name} ended by itself with {code}")
            self.start()

    def note_exit(self, planned: bool) -> None:
        """Note the end of a process; a planned one is in order."""
        now = self.world.reactor.seconds()
        self.world.history.disturb(self.name, now, now)
        code = self.child.exit_code
        if planned and code == -signal.SIGTERM and not self.has_started:
            return  # it was told to stop before it had begun to listen
        if planned and code not in (0, -signal.SIGKILL):
            self.found("exit", f"{self.name} ended with {code}")


def make_gateways(world: World, kind: GatewayKind, count: int) -> list[Gateway]:
    """Return gateways that are yet to be started, and note who may help whom."""
    ports = reserve_ports(PORTS_EACH * count)
    each = [ports[n * PORTS_EACH :][:PORTS_EACH] for n in range(count)]
    gateways = [Gateway(world, kind, number, each) for number in range(count)]
    for gateway in gateways:
        world.history.helpers[gateway.name] = tuple(
            other.name
            for other in gateways
            if other.is_wide and other.data_centre == gateway.data_centre
        )
    return gateways
