"""Runs many simulated targets in one process, with an HTTP port to control them."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from time import monotonic
from typing import Annotated, NamedTuple, cast

import msgspec
import typer
import yaml
from twisted.internet.protocol import ServerFactory
from twisted.web.http import Request as HttpRequest
from twisted.web.resource import Resource
from twisted.web.server import Request as WebRequest
from twisted.web.server import Site

from bench.target_host import ListeningReactor, TargetHost
from bench.target_model import TargetModel
from bench.target_records import Shard, WorkEvent, WorkLog
from bench.target_settings import Behaviour, Control, TargetSettings

__all__ = ["TargetGroup", "load_settings", "main"]


class ReplicaAddress(NamedTuple):
    """The address at which a replica listens."""

    service: str
    index_name: str
    name: str
    address: str


class RecordsReply(msgspec.Struct):
    """The body of ``GET /records``."""

    counters: dict[str, msgspec.Struct]
    fields: tuple[str, ...]
    events: list[WorkEvent]
    left_out: int


def load_settings(path: Path) -> TargetSettings:
    """Return the settings in a YAML file; raises ``msgspec.ValidationError``."""
    return msgspec.convert(yaml.safe_load(path.read_text()), TargetSettings)


class TargetGroup:
    """All simulated replicas of one process."""

    def __init__(self, reactor: ListeningReactor, settings: TargetSettings) -> None:
        self.reactor = reactor
        self.log = WorkLog(settings.log.entries)
        services = defaultdict(set)
        for replica in settings.replicas:
            services[replica.index].add(replica.service)
        services_by_index = {index: sorted(names) for index, names in services.items()}
        self.hosts: dict[str, TargetHost] = {}
        for replica in settings.replicas:
            names = services_by_index[replica.index]
            shard = Shard(replica.index, names.index(replica.service), len(names), 0, 0)
            model = TargetModel(
                reactor,
                replica,
                shard,
                settings.records_per_service,
                settings.seed,
                self.log,
            )
            self.hosts[replica.name] = TargetHost(reactor, model)

    def listen(self) -> None:
        """Start listening for all replicas."""
        for host in self.hosts.values():
            host.listen()

    def stop(self) -> None:
        """Shut down all replicas."""
        for host in self.hosts.values():
            host.shut_down()

    def addresses(self) -> list[ReplicaAddress]:
        """Return the address of each replica."""
        return [
            ReplicaAddress(
                host.model.settings.service,
                host.model.settings.index,
                name,
                f"{host.model.settings.address}:{host.port}",
            )
            for name, host in self.hosts.items()
        ]

    def control(self, control: Control) -> int:
        """Apply a control request and return the number of selected replicas.

        Raises ``msgspec.ValidationError`` for an unknown field.
        """
        selected = [host for host in self.hosts.values() if is_selected(control, host)]
        for host in selected:
            for name, raw in control.set.items():
                set_field(host.model.settings, name, raw)
            host.apply_action(control.do)
        return len(selected)

    def records(self) -> RecordsReply:
        """Return the counters of all replicas and the event log."""
        counters: dict[str, msgspec.Struct] = {
            name: host.model.counters for name, host in self.hosts.items()
        }
        return RecordsReply(
            counters, WorkEvent._fields, self.log.events, self.log.left_out
        )


def is_selected(control: Control, host: TargetHost) -> bool:
    """Return whether a control request selects a replica."""
    if not control.replicas and not control.services:
        return True
    settings = host.model.settings
    return settings.name in control.replicas or settings.service in control.services


def set_field(behaviour: Behaviour, name: str, raw: msgspec.Raw) -> None:
    """Set one field of a replica's behaviour from JSON."""
    types = {field.name: field.type for field in msgspec.structs.fields(Behaviour)}
    if name not in types:
        raise msgspec.ValidationError(f"unknown field of Behaviour: {name}")
    setattr(behaviour, name, msgspec.json.decode(raw, type=types[name]))


class ControlResource(Resource):
    """``POST /control``, ``GET /records`` and ``GET /replicas``."""

    def __init__(self, group: TargetGroup) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.isLeaf = True
        self.group = group

    def render_GET(self, request: WebRequest) -> bytes:
        """Return the records, or the replicas for any other path."""
        if request.path == b"/records":
            return msgspec.json.encode(self.group.records())
        return msgspec.json.encode([one._asdict() for one in self.group.addresses()])

    def render_POST(self, request: WebRequest) -> bytes:
        """Apply a control request; 400 if it is invalid."""
        assert request.content is not None
        try:
            control = msgspec.json.decode(request.content.read(), type=Control)
            selected = self.group.control(control)
        except msgspec.DecodeError as error:
            cast(HttpRequest, request).setResponseCode(400)
            return str(error).encode()
        return msgspec.json.encode({"replicas": selected})


def main(config: Annotated[Path, typer.Option(help="The settings file.")]) -> None:
    """Run the simulated targets until the process is terminated."""
    from twisted.internet import reactor

    listening = cast(ListeningReactor, reactor)
    listening.seconds = monotonic  # type: ignore[method-assign]
    settings = load_settings(config)
    group = TargetGroup(listening, settings)
    group.listen()
    site = cast(ServerFactory, Site(ControlResource(group)))
    port = listening.listenTCP(settings.control_port, site, 50, "127.0.0.1")
    control = port.getHost().port
    print(f"ready replicas={len(group.hosts)} control={control}", flush=True)
    listening.run()


if __name__ == "__main__":
    typer.run(main)
