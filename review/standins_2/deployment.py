"""A small deployment: gateways as the deploy file starts them, and their settings."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import time
import tomllib
from pathlib import Path
from typing import TextIO

from review.standins_2.http import LOOPBACK, free_ports, read_message, request
from review.standins_2.store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
PORTS_PER_GATEWAY = 6
SETTINGS = """\
Node = "{name}"
Role = "entry"
MachineClass = "front"
Serves = ["front", "control"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "great-lakes"
InternalPorts = [{ports[3]}, {ports[5]}]
Seeds = [{seeds}]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", \
"places", "platform"]
[Listen]
Front = "127.0.0.1:{ports[0]}"
Ready = "127.0.0.1:{ports[1]}"
Control = "127.0.0.1:{ports[2]}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
StabilityMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxStretchMs = 12000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 52
ColdOver = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
[platform]
Addr = "127.0.0.1:{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


def route(name: str, kind: str, **destination: object) -> dict[str, object]:
    """Return a route for paths below its name, with the times of ``bin-check``."""
    return {
        "Name": name,
        "Host": "desk.example",
        "Prefix": f"/{name}/",
        "RouteType": kind,
        "TimeoutMs": 15000,
        "TargetLatencyMs": 878,
        "Priority": 2,
        "MaxAttempts": 2,
        **destination,
    }


def service(name: str, max_connections: int) -> dict[str, object]:
    """Return a service in the encoding of the configuration."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConns": max_connections,
        "Protocol": "h1",
        "Tls": False,
        "ColdStartS": 3.0,
        "ColdPerS": 0.0,
    }


class Record:
    """The record of a run: one line for what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def close(self) -> None:
        """Write what is buffered."""
        self.file.close()


class Gateway:
    """One gateway process and its addresses."""

    def __init__(self, name: str, zone: str, ports: list[int], folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.ports = ports
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> int:
        """The port for clients."""
        return self.ports[0]

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "SARDINEHOOK_SETTINGS": str(self.settings),
            **role.get("env", {}),
            # All machines share one address here, so that each needs a port.
            "SARDINEHOOK_METRICS_PORT": str(self.ports[3]),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ports[1])
        except OSError:
            return False
        try:
            writer.write(request("GET", "/ready", {"Host": "ready"}, b""))
            async with asyncio.timeout(1.0):
                return (await read_message(reader)).status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Deployment:
    """The store and the gateways of a run."""

    def __init__(self, zones: list[str], folder: Path, record: Record) -> None:
        self.record = record
        self.store = Store()
        ports = free_ports(PORTS_PER_GATEWAY * len(zones) + 200)
        self.store_port = ports[-1]
        self.replica_ports = ports[PORTS_PER_GATEWAY * len(zones) : -1]
        self.gateways = [
            Gateway(f"front-{zone}-{number}", zone, ports[6 * number :][:6], folder)
            for number, zone in enumerate(zones)
        ]

    async def start(self) -> None:
        """Start the store and all gateways, and wait until these are ready."""
        await self.store.start(self.store_port)
        seeds = ", ".join(f'"127.0.0.1:{one.ports[2]}"' for one in self.gateways[:3])
        for gateway in self.gateways:
            gateway.settings.write_text(
                SETTINGS.format(
                    name=gateway.name,
                    zone=gateway.zone,
                    ports=gateway.ports,
                    seeds=seeds,
                    store=self.store_port,
                )
            )
            gateway.start()
        async with asyncio.timeout(20.0):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.1)
        self.record.write(f"{len(self.gateways)} gateways are ready")

    async def stop(self) -> None:
        """End all processes."""
        self.record.write("the processes are ended")
        for gateway in self.gateways:
            with contextlib.suppress(OSError):
                await gateway.stop()
