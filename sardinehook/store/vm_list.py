"""The platform's list of live and leaving VMs, which lags behind the truth."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol, TypedDict

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from sardinehook.store.http_client import HttpClient, HttpReply
from sardinehook.store.port import StoreFailure, StoreUnavailable
from sardinehook.transport.reactor import Timers

__all__ = ["HttpVmList", "Vm", "VmList", "VmLister", "VmState"]

OK = 200


class VmState(StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """A VM; ``incarnation`` grows each time that its name is started anew."""

    name: str
    data_centre: str
    address: str
    incarnation: int
    state: VmState


class VmList(NamedTuple):
    """The VMs as they were at ``as_of_ms`` of the platform's clock."""

    as_of_ms: float
    vms: tuple[Vm, ...]


class VmLister(Protocol):
    """Port to the platform's list of VMs."""

    async def fetch(self) -> Result[VmList, StoreFailure]:
        """Read the list."""
        ...


class VmReply(TypedDict):
    """A VM as JSON."""

    name: str
    data_centre: str
    address: str
    incarnation: int
    state: VmState


class VmListReply(TypedDict):
    """The list as JSON."""

    as_of_ms: float
    vms: list[VmReply]


class HttpVmList:
    """Adapter of ``VmLister`` to the platform's HTTP at ``address`` (``IP:port``)."""

    def __init__(self, reactor: Timers, address: str, timeout_ms: float) -> None:
        self.client = HttpClient(reactor, address, timeout_ms)

    async def fetch(self) -> Result[VmList, StoreFailure]:
        """Read the list."""
        match await self.client.read("/vms"):
            case Success(HttpReply(status=status, body=body)) if status == OK:
                return decode_vm_list(body)
            case Success(HttpReply(status=status)):
                return Failure(StoreUnavailable(f"status {status}", False))
            case Failure(StoreUnavailable() as failure):
                return Failure(failure)
        raise AssertionError

    def close(self) -> Deferred[list[object]]:
        """Close the connections that are idle."""
        return self.client.close()


def decode_vm_list(body: bytes) -> Result[VmList, StoreFailure]:
    """Decode the list from JSON."""
    try:
        told = msgspec.json.decode(body, type=VmListReply)
    except msgspec.MsgspecError as error:
        return Failure(StoreUnavailable(f"malformed reply: {error}", False))
    vms = tuple(Vm(**vm) for vm in told["vms"])
    return Success(VmList(told["as_of_ms"], vms))
