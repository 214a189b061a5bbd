"""Starts a whole deployment on loopback: platform, targets and entry processes."""

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

__all__ = ["Deployment", "EntryNode", "Rig", "load_example", "with_addresses"]

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
HTTP_TIMEOUT_S = 10.0
TARGETS_PER_PROCESS = 60


class TargetSpec(TypedDict, total=False):
    """One replica in the settings file of the target stand-in."""

    service: str
    index: str
    name: str
    port: int
    slots: int
    connections: int
    cold_start_slots: int
    connect_ms: float


class Deployment(NamedTuple):
    """What to start.

    ``behaviour`` holds settings of the target stand-in for all replicas. With
    ``faulty_network`` the entry processes can be cut off and delayed. ``program`` is
    what the interpreter is given to run the product, for instance its one file.
    """

    document: EnvironmentDocument
    entries_per_data_centre: int = 1
    seed: int = 1
    behaviour: Mapping[str, float | int | str | bool | list[int]] = {}
    target_processes: int = 3
    faulty_network: bool = False
    program: tuple[str, ...] = ("-m", "sardinehook")


class EntryNode(NamedTuple):
    """Where one entry process of the rig is."""

    node: str
    data_centre: str
    http_address: str
    link_address: str


def load_example(name: str) -> EnvironmentDocument:
    """Load one of the example documents, for instance ``szovetseg-production``."""
    path = ROOT / "examples" / f"{name}.yaml"
    return load_document(path.read_text(), str(path)).unwrap()


def with_addresses(
    document: EnvironmentDocument, ports: Sequence[int]
) -> EnvironmentDocument:
    """Give each replica of a document the next port on loopback."""
    remaining = iter(ports)

    def moved(index: Index) -> Index:
        services = {
            service: [
                replica._replace(address=f"{LOOPBACK}:{next(remaining)}")
                for replica in replicas
            ]
            for service, replicas in index.services.items()
        }
        return index._replace(services=services)

    indexes = {name: moved(index) for name, index in document.indexes.items()}
    changed = document._replace(indexes=indexes)
    return document_from(canonical_bytes(changed)).unwrap()


def count_replicas(document: EnvironmentDocument) -> int:
    """Count the replicas of a document."""
    return sum(
        len(replicas)
        for index in document.indexes.values()
        for replicas in index.services.values()
    )


class Rig:
    """A running deployment; use it in a ``with`` statement."""

    def __init__(self, deployment: Deployment, directory: Path | None = None) -> None:
        self.deployment = deployment
        self.temporary = tempfile.TemporaryDirectory(prefix="sardinehook-rig-")
        self.directory = directory or Path(self.temporary.name)
        self.directory.mkdir(parents=True, exist_ok=True)
        ports = reserve_ports(
            count_replicas(deployment.document)
            + 1
            + deployment.target_processes
            + 3 * self.entry_count()
        )
        self.platform_port = ports.pop()
        self.control_ports = [ports.pop() for _ in range(deployment.target_processes)]
        self.entries = self.assign_entry_addresses(ports)
        self.network_ports = {place.node: ports.pop() for place in self.entries}
        self.document = with_addresses(deployment.document, ports)
        self.children: dict[str, Child] = {}
        self.vm_incarnations: dict[str, int] = {}

    def entry_count(self) -> int:
        """Count the entry processes."""
        per_data_centre = self.deployment.entries_per_data_centre
        return per_data_centre * len(self.deployment.document.data_centres)

    def assign_entry_addresses(self, ports: list[int]) -> list[EntryNode]:
        """Choose names and addresses of the entry processes."""
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
        """Where the platform's stand-in listens."""
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
        """Start platform and targets, put the document, start the entries."""
        self.start_platform()
        self.start_targets()
        self.put_document(self.document)
        for place in self.entries:
            self.start_entry(place)
        for place in self.entries:
            self.wait_ready(place)

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        arguments = ["-m", "bench.platform", "--port", str(self.platform_port)]
        child = self.add_child("platform", arguments)
        child.start()
        child.wait_for_line("ready ")

    def start_targets(self) -> None:
        """Start the target stand-ins, the replicas spread over their processes."""
        shares = self.share_replicas()
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

    def share_replicas(self) -> list[list[TargetSpec]]:
        """Spread the replicas over the target processes."""
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
        """Put a document by the command line, as an operator does."""
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
        """Run the command line and return its output; raise if it fails."""
        name = f"command-{len(self.children)}"
        child = self.add_child(name, ["-m", "sardinehook", *arguments])
        child.start()
        code = child.wait()
        output = child.log.read_text()
        del self.children[name]
        child.log.unlink()
        if code:
            raise StartError(f"sardinehook {' '.join(arguments)}: {output}")
        return output

    def start_entry(self, place: EntryNode) -> None:
        """Start one entry process."""
        self.vm_incarnations[place.node] = self.vm_incarnations.get(place.node, 0) + 1
        self.upsert_vm(place, "live")
        path = self.directory / f"{place.node}.yaml"
        path.write_text(yaml.safe_dump(self.entry_settings(place)))
        self.add_child(place.node, self.entry_arguments(place, path)).start()

    def entry_arguments(self, place: EntryNode, path: Path) -> list[str]:
        """Return how to run an entry process, with a faulty network if wanted."""
        if not self.deployment.faulty_network:
            return [*self.deployment.program, "entry", "--settings", str(path)]
        control = str(self.network_ports[place.node])
        module = "bench.faulty_entry"
        return ["-m", module, "--settings", str(path), "--control", control]

    def control_network(self, place: EntryNode, faults: Mapping[str, object]) -> None:
        """Change the network of one entry process."""
        port = self.network_ports[place.node]
        self.post(f"{LOOPBACK}:{port}", "/network", faults)

    def upsert_vm(self, place: EntryNode, state: str) -> None:
        """Put an entry VM on the platform's list."""
        vm = {
            "name": place.node,
            "data_centre": place.data_centre,
            "address": place.http_address,
            "incarnation": self.vm_incarnations[place.node],
            "state": state,
        }
        self.control_platform({"upsert_vms": [vm]})

    def kill_vm(self, place: EntryNode) -> None:
        """Lose an entry VM without warning; the platform's list shows it gone."""
        self.children[place.node].kill()
        self.control_platform({"remove_vms": [place.node]})

    def entry_settings(self, place: EntryNode) -> dict[str, object]:
        """Write the settings of one entry process."""
        peers = [
            {
                "node": other.node,
                "data_centre": other.data_centre,
                "link_address": other.link_address,
            }
            for other in self.entries
            if other.node != place.node
        ]
        return {
            "node": place.node,
            "data_centre": place.data_centre,
            "environment": self.document.environment,
            "http_address": place.http_address,
            "link_address": place.link_address,
            "platform_address": self.platform_address,
            "peers": peers,
            "vm_incarnation": self.vm_incarnations[place.node],
        }

    def add_child(self, name: str, arguments: Sequence[str]) -> Child:
        """Prepare a process of the rig."""
        child = Child(name, arguments, self.directory / f"{name}.log", ROOT)
        self.children[name] = child
        return child

    def wait_ready(self, place: EntryNode) -> None:
        """Wait until an entry process takes requests."""
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at:
            if self.is_ready(place):
                return
            if not self.children[place.node].running:
                break
            time.sleep(POLL_S)
        tail = self.children[place.node].log.read_text()[-2000:]
        raise StartError(f"{place.node} is not ready: {tail}")

    def is_ready(self, place: EntryNode) -> bool:
        """Ask an entry process whether it takes requests."""
        url = f"http://{place.http_address}/ready"
        try:
            with urllib.request.urlopen(url, timeout=1.0) as response:
                return bool(response.status == 200)
        except OSError:
            return False

    def control_targets(self, control: Mapping[str, object]) -> None:
        """Send a control message to all target stand-ins."""
        for port in self.control_ports:
            self.post(f"{LOOPBACK}:{port}", "/control", control)

    def control_platform(self, control: Mapping[str, object]) -> None:
        """Send a control message to the platform's stand-in."""
        self.post(self.platform_address, "/control", control)

    def post(self, address: str, path: str, body: Mapping[str, object]) -> bytes:
        """Post JSON to a stand-in."""
        request = urllib.request.Request(
            f"http://{address}{path}", data=msgspec.json.encode(body), method="POST"
        )
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as response:
            return bytes(response.read())

    def stop(self) -> None:
        """Stop everything that this rig started."""
        entries = [self.children.get(place.node) for place in self.entries]
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
