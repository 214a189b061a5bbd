"""Runs a complete deployment on loopback: platform, targets and entry processes."""

from __future__ import annotations

import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import NamedTuple, TypedDict

import msgspec
import yaml

from bench.ports import LOOPBACK, reserve_ports
from bench.processes import Child, StartError
from sardinehook.environment.canonical import canonical_bytes, document_from
from sardinehook.environment.document import EnvironmentDocument, Index
from sardinehook.environment.loading import load_document
from sardinehook.environment.writing import document_text

__all__ = ["Deployment", "EntryNode", "Rig", "assign_ports", "load_example"]

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
HTTP_TIMEOUT_S = 10.0
TARGETS_PER_PROCESS = 60


class TargetSpec(TypedDict, total=False):
    """A replica in the settings file of the simulated targets."""

    service: str
    index: str
    name: str
    port: int
    slots: int
    connections: int
    cold_start_slots: int
    connect_ms: float


class Deployment(NamedTuple):
    """The processes to start.

    ``behaviour`` holds settings of the simulated targets for all replicas. With
    ``faulty_network`` network faults can be injected into the entry processes.
    ``program`` are the interpreter's arguments that run sardinehook, for instance the
    path of its single-file build.
    """

    document: EnvironmentDocument
    entries_per_data_centre: int = 1
    seed: int = 1
    behaviour: Mapping[str, float | int | str | bool | list[int]] = {}
    target_processes: int = 3
    faulty_network: bool = False
    program: tuple[str, ...] = ("-m", "sardinehook")


class EntryNode(NamedTuple):
    """The name, data centre and addresses of an entry process."""

    node: str
    data_centre: str
    http_address: str
    link_address: str


def load_example(name: str) -> EnvironmentDocument:
    """Load one of the example documents, for instance ``szovetseg-production``."""
    path = ROOT / "examples" / f"{name}.yaml"
    return load_document(path.read_text(), str(path)).unwrap()


def assign_ports(
    document: EnvironmentDocument, ports: Sequence[int]
) -> EnvironmentDocument:
    """Return a copy of the document with a loopback port for each replica."""
    remaining = iter(ports)

    def assign(index: Index) -> Index:
        services = {
            service: [
                replica._replace(address=f"{LOOPBACK}:{next(remaining)}")
                for replica in replicas
            ]
            for service, replicas in index.services.items()
        }
        return index._replace(services=services)

    indexes = {name: assign(index) for name, index in document.indexes.items()}
    changed = document._replace(indexes=indexes)
    return document_from(canonical_bytes(changed)).unwrap()


def count_replicas(document: EnvironmentDocument) -> int:
    """Return the number of replicas in a document."""
    return sum(
        len(replicas)
        for index in document.indexes.values()
        for replicas in index.services.values()
    )


class Rig:
    """A running deployment; a context manager that stops its processes on exit."""

    def __init__(self, deployment: Deployment, directory: Path | None = None) -> None:
        self.deployment = deployment
        self.temporary = tempfile.TemporaryDirectory(prefix="sardinehook-rig-")
        self.directory = directory or Path(self.temporary.name)
        self.directory.mkdir(parents=True, exist_ok=True)
        ports = reserve_ports(
            count_replicas(deployment.document)
            + 1
            + deployment.target_processes
            + 3 * self.count_entries()
        )
        self.platform_port = ports.pop()
        self.control_ports = [ports.pop() for _ in range(deployment.target_processes)]
        self.entries = self.assign_entry_addresses(ports)
        self.network_ports = {entry.node: ports.pop() for entry in self.entries}
        self.document = assign_ports(deployment.document, ports)
        self.children: dict[str, Child] = {}
        self.vm_incarnations: dict[str, int] = {}

    def count_entries(self) -> int:
        """Return the number of entry processes."""
        per_data_centre = self.deployment.entries_per_data_centre
        return per_data_centre * len(self.deployment.document.data_centres)

    def assign_entry_addresses(self, ports: list[int]) -> list[EntryNode]:
        """Name the entry processes and assign their addresses."""
        return [
            EntryNode(
                node=f"entry-{data_centre}-{number}",
                data_centre=data_centre,
                http_address=f"{LOOPBACK}:{ports.pop()}",
                link_address=f"{LOOPBACK}:{ports.pop()}",
            )
            for data_centre in self.deployment.document.data_centres
            for number in range(1, self.deployment.entries_per_data_centre + 1)
        ]

    @property
    def platform_address(self) -> str:
        """The address of the simulated platform."""
        return f"{LOOPBACK}:{self.platform_port}"

    def __enter__(self) -> Rig:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def start(self) -> None:
        """Start platform and targets, put the document, then start the entries.

        Returns once all entries are ready; raises ``StartError`` otherwise.
        """
        self.start_platform()
        self.start_targets()
        self.put_document(self.document)
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            self.wait_ready(entry)

    def start_platform(self) -> None:
        """Start the simulated platform and wait until it listens."""
        arguments = ["-m", "bench.platform", "--port", str(self.platform_port)]
        child = self.add_child("platform", arguments)
        child.start()
        child.wait_for_line("ready ")

    def start_targets(self) -> None:
        """Start the processes of simulated targets and wait until they listen."""
        shares = self.distribute_replicas()
        for number, (port, replicas) in enumerate(
            zip(self.control_ports, shares, strict=True)
        ):
            path = self.directory / f"targets-{number}.yaml"
            settings = {
                "replicas": replicas,
                "seed": self.deployment.seed,
                "control_port": port,
            }
            path.write_text(yaml.safe_dump(settings))
            arguments = ["-m", "bench.target", "--config", str(path)]
            self.add_child(f"targets-{number}", arguments).start()
        for number in range(len(shares)):
            self.children[f"targets-{number}"].wait_for_line("ready ")

    def distribute_replicas(self) -> list[list[TargetSpec]]:
        """Distribute the replicas round robin over the target processes."""
        shares: list[list[TargetSpec]] = [[] for _ in self.control_ports]
        specs = [
            {
                **self.deployment.behaviour,
                "service": service,
                "index": name,
                "name": replica.name,
                "port": int(replica.address.rpartition(":")[2]),
                "slots": index.slots,
                "connections": index.connections,
                "cold_start_slots": index.cold_start_slots,
                "connect_ms": index.connect_cost_ms,
            }
            for name, index in self.document.indexes.items()
            for service, replicas in index.services.items()
            for replica in replicas
        ]
        for number, spec in enumerate(specs):
            shares[number % len(shares)].append(msgspec.convert(spec, TargetSpec))
            shares[number % len(shares)][-1].update(spec)  # type: ignore[typeddict-item]
        return shares

    def put_document(self, document: EnvironmentDocument, edited_from: int = 0) -> None:
        """Put a document with ``sardinehook document put``, as an operator does."""
        path = self.directory / "document.yaml"
        path.write_text(document_text(document))
        self.run_command(
            "document",
            "put",
            str(path),
            "--from",
            str(edited_from),
            "--untested",
            "--platform",
            self.platform_address,
        )

    def run_command(self, *arguments: str) -> str:
        """Run ``sardinehook`` and return its output.

        Raises ``StartError`` if the exit code is not zero.
        """
        name = f"command-{len(self.children)}"
        child = self.add_child(name, ["-m", "sardinehook", *arguments])
        child.start()
        code = child.wait()
        output = child.log.read_text()
        del self.children[name]
        child.log.unlink()
        if code:
            raise StartError(
                f"sardinehook {' '.join(arguments)} exited with {code}: {output}"
            )
        return output

    def start_entry(self, entry: EntryNode) -> None:
        """Start one entry process with a new incarnation of its VM."""
        self.vm_incarnations[entry.node] = self.vm_incarnations.get(entry.node, 0) + 1
        self.upsert_vm(entry, "live")
        path = self.directory / f"{entry.node}.yaml"
        path.write_text(yaml.safe_dump(self.entry_settings(entry)))
        self.add_child(entry.node, self.entry_arguments(entry, path)).start()

    def entry_arguments(self, entry: EntryNode, path: Path) -> list[str]:
        """Return the arguments of an entry process, with network faults if set."""
        if not self.deployment.faulty_network:
            return [*self.deployment.program, "entry", "--settings", str(path)]
        control = str(self.network_ports[entry.node])
        module = "bench.faulty_entry"
        return ["-m", module, "--settings", str(path), "--control", control]

    def control_network(self, entry: EntryNode, faults: Mapping[str, object]) -> None:
        """Set the network faults of one entry process."""
        port = self.network_ports[entry.node]
        self.post(f"{LOOPBACK}:{port}", "/network", faults)

    def upsert_vm(self, entry: EntryNode, state: str) -> None:
        """Add or update an entry VM in the platform's list."""
        vm = {
            "name": entry.node,
            "data_centre": entry.data_centre,
            "address": entry.http_address,
            "incarnation": self.vm_incarnations[entry.node],
            "state": state,
        }
        self.control_platform({"upsert_vms": [vm]})

    def kill_vm(self, entry: EntryNode) -> None:
        """Kill an entry process without notice and remove its VM from the list."""
        self.children[entry.node].kill()
        self.control_platform({"remove_vms": [entry.node]})

    def entry_settings(self, entry: EntryNode) -> dict[str, object]:
        """Return the settings of one entry process."""
        peers = [
            {
                "node": other.node,
                "data_centre": other.data_centre,
                "link_address": other.link_address,
            }
            for other in self.entries
            if other.node != entry.node
        ]
        return {
            "node": entry.node,
            "data_centre": entry.data_centre,
            "environment": self.document.environment,
            "http_address": entry.http_address,
            "link_address": entry.link_address,
            "platform_address": self.platform_address,
            "peers": peers,
            "vm_incarnation": self.vm_incarnations[entry.node],
        }

    def add_child(self, name: str, arguments: Sequence[str]) -> Child:
        """Register a process of the rig; does not start it."""
        child = Child(name, arguments, self.directory / f"{name}.log", ROOT)
        self.children[name] = child
        return child

    def wait_ready(self, entry: EntryNode) -> None:
        """Wait until an entry process is ready.

        Raises ``StartError`` if it exits or is not ready within ``READY_TIMEOUT_S``.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.is_ready(entry):
                return
            if not self.children[entry.node].running:
                break
            time.sleep(POLL_S)
        tail = self.children[entry.node].log.read_text()[-2000:]
        raise StartError(
            f"{entry.node} exited or was not ready in {READY_TIMEOUT_S:g} s: {tail}"
        )

    def is_ready(self, entry: EntryNode) -> bool:
        """Return whether ``/ready`` of an entry process answers 200."""
        url = f"http://{entry.http_address}/ready"
        try:
            with urllib.request.urlopen(url, timeout=1.0) as response:
                return bool(response.status == 200)
        except OSError:
            return False

    def control_targets(self, control: Mapping[str, object]) -> None:
        """Send a control request to all target processes."""
        for port in self.control_ports:
            self.post(f"{LOOPBACK}:{port}", "/control", control)

    def control_platform(self, control: Mapping[str, object]) -> None:
        """Send a control request to the simulated platform."""
        self.post(self.platform_address, "/control", control)

    def post(self, address: str, path: str, body: Mapping[str, object]) -> bytes:
        """POST JSON to a simulated server and return the response body."""
        request = urllib.request.Request(
            f"http://{address}{path}", data=msgspec.json.encode(body), method="POST"
        )
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as response:
            return bytes(response.read())

    def stop(self) -> None:
        """Terminate the entry processes and wait for them, then kill the others."""
        entries = [self.children.get(entry.node) for entry in self.entries]
        for child in entries:
            if child is not None:
                child.resume()
                child.terminate()
        for child in entries:
            if child is not None and child.process is not None:
                child.wait()
        for child in self.children.values():
            child.kill() if child.running else None
        self.temporary.cleanup()
