"""A small deployment on loopback: store, replicas, gateways as processes, a record."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from review.standins.http import Message, read_message
from review.standins.store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "desk.example"
MEMORY_MB = 300
HEARTBEAT_S = 1.2
SLOTS = 6  # of a replica of warehouse and scheduling
LIMIT_S = 110.0  # a case that takes longer ends as one that couldn't run
GATEWAY_PORTS = (12_000, 32_000)  # below the range of ephemeral ports
BOUNDS = """\
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
"""


def free_ports(count: int) -> list[int]:
    """Return ports that are free on loopback, below those that the kernel assigns."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*GATEWAY_PORTS)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


Handle = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]


class Replica:
    """A replica that registers itself; ``handle`` answers one request.

    ``handle`` returns whether the connection stays open.
    """

    def __init__(
        self, store: Store, name: str, service: str, zone: str, handle: Handle
    ) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.handle = handle
        self.port = 0
        self.born = int(time.time() * 1000)
        self.silent = False

    async def start(self) -> None:
        """Listen on a free port, register and send heartbeats from now on."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = server.sockets[0].getsockname()[1]
        self.heartbeats = asyncio.create_task(self.send_heartbeats())

    async def send_heartbeats(self) -> None:
        """Write the entry of this replica periodically, unless it is silent."""
        sequence = 0
        while True:
            if not self.silent:
                sequence += 1
                entry = {
                    "Service": self.service,
                    "Addr": f"127.0.0.1:{self.port}",
                    "Zone": self.zone,
                    "Version": "1",
                    "Slots": SLOTS,
                    "State": "ready",
                    "ColdLeftMs": 0,
                    "Seq": sequence,
                    "born": self.born,
                }
                self.store.beat(f"servers/{self.name}", entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one at a time."""
        try:
            while await self.handle(await read_message(reader), writer):
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()


class Gateway:
    """A gateway process, run with the command of the deploy file."""

    def __init__(self, folder: Path, number: int, zone: str, store_port: int) -> None:
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.store_port = store_port
        self.ports = free_ports(6)
        self.path = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file, as the platform does."""
        front, ready, control, first, second, _ = self.ports
        listed = ", ".join(f'"{seed}"' for seed in seeds)
        self.path.write_text(
            f'Node = "{self.name}"\nRole = "entry"\nMachineClass = "front"\n'
            f'Serves = ["front","control"]\nIp = "127.0.0.1"\nZone = "{self.zone}"\n'
            f'Region = "great-lakes"\nInternalPorts = [{first},{second}]\n'
            f"Seeds = [{listed}]\nBootstrap = true\nHeartbeatMs = 1200\n"
            f'[Listen]\nFront = "127.0.0.1:{front}"\nReady = "127.0.0.1:{ready}"\n'
            f'Control = "127.0.0.1:{control}"\n'
            f"[Limits]\nCpuShare = 0.537\nCores = 2\nMemoryMb = {MEMORY_MB}\n"
            f"MaxFds = 4100\nLinkMbps = 1000.0\n[Bounds]\n{BOUNDS}"
            f'[platform]\nAddr = "127.0.0.1:{self.store_port}"\nform = "kv"\n'
            "WritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\n"
            "ValueBytes = 1048576\nTtlMinMs = 1000\n",
            encoding="utf-8",
        )

    def start(self) -> None:
        """Start the process as the deploy file says."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["SARDINEHOOK_SETTINGS"] = str(self.path)
        environment["SARDINEHOOK_METRICS_PORT"] = str(self.ports[5])
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        self.process = subprocess.Popen(
            ["python3", "-S", "-m", "sardinehook.gateway"],
            cwd=REPOSITORY,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def resident_mb(self) -> float:
        """Return the resident memory of the process."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text(encoding="utf-8")
        except OSError:
            return 0.0
        pages = int(text.split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def is_ready(self) -> bool:
        """Return whether the balancer's probe gets 200."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[1])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n")
            found = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return found.status == 200


class Deployment:
    """Everything that one case starts; ``stop`` ends it."""

    def __init__(self, case: str) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(Path(case).resolve().parent / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.gateways: list[Gateway] = []

    async def start(
        self, routes: list[dict[str, object]], services: dict[str, int], gateways: int
    ) -> None:
        """Start the store and the gateways; ``services`` have their MaxConns."""
        await self.store.start()
        self.configure(1, routes, services)
        zones = ["duluth", "marquette", "traverse"]
        self.gateways = [
            Gateway(self.folder, number, zones[number % 3], self.store.port)
            for number in range(gateways)
        ]
        seeds = [f"127.0.0.1:{gateway.ports[2]}" for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(seeds)
            gateway.start()

    def configure(
        self, version: int, routes: list[dict[str, object]], services: dict[str, int]
    ) -> None:
        """Write a version of the configuration, as the operator does."""
        value = {
            "Version": version,
            "Routes": routes,
            "Services": [
                {"Name": name, "MaxConns": limit, "HealthPath": "/health"}
                for name, limit in services.items()
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
        self.store.put("op/config", json.dumps(value).encode())

    async def wait_ready(self, limit_s: float = 15.0) -> bool:
        """Wait until all gateways are ready; those that end meanwhile start again."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            for gateway in self.gateways:
                if not gateway.running:
                    gateway.start()
            if all([await gateway.is_ready() for gateway in self.gateways]):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self) -> None:
        """End all processes that this case started."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, kind: str, **more: object) -> dict[str, object]:
    """Return a route to ``/name/``, with the figures of a small deployment."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "RouteType": kind,
        "TimeoutMs": 15000,
        "TargetLatencyMs": 800,
        "Priority": 2,
        "MaxAttempts": 2,
        **more,
    }


def run_case(case: Callable[[], Coroutine[Any, Any, int]]) -> None:
    """Run a case and exit with its result, with 2 if it couldn't run to its end."""
    loop = asyncio.new_event_loop()
    task = loop.create_task(case())
    # A case that is stopped or takes too long still ends what it started.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    loop.call_later(LIMIT_S, task.cancel)
    try:
        code = loop.run_until_complete(task)
    except (Exception, asyncio.CancelledError) as error:
        sys.stderr.write(f"the case could not run: {error!r}\n")
        code = 2
    sys.stderr.flush()
    os._exit(code)
