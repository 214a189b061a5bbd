"""The platform's list of live and leaving VMs, which lags behind their actual state."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, Protocol, TypedDict

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.store.http_client import HttpClient, HttpReply
from sardinehook.store.port import StoreFailure, StoreUnavailable
from sardinehook.transport.reactor import Timers

__all__ = ["HttpVmList", "Vm", "VmList", "VmLister", "VmState"]

OK = 200


class VmState(StrEnum):
    """The state of a VM as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """A VM; ``incarnation`` increases with each restart under the same name."""

    name: str
    data_centre: str
    address: str
    incarnation: int
    state: VmState


class VmList(NamedTuple):
    """The VMs as of ``as_of_ms`` on the platform's clock."""

    as_of_ms: float
    vms: tuple[Vm, ...]


class VmLister(Protocol):
    """Port for the platform's list of VMs."""

    async def fetch(self) -> Result[VmList, StoreFailure]:
        """Fetch the current list."""
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
    """Implements ``VmLister`` over the platform's HTTP at ``address`` (``IP:port``)."""

    def __init__(self, reactor: Timers, address: str, timeout_ms: float) -> None:
        self.client = HttpClient(reactor, address, timeout_ms)

    async def fetch(self) -> Result[VmList, StoreFailure]:
        """Fetch the current list; any status but 200 is a failure."""
        match await self.client.read("/vms"):
            case Success(HttpReply(status=status, body=body)) if status == OK:
                return decode_vm_list(body)
            case Success(HttpReply(status=status)):
                return Failure(StoreUnavailable(f"status {status}", False))
            case Failure(StoreUnavailable() as failure):
                return Failure(failure)
        raise AssertionError

    def close(self) -> Deferred[list[object]]:
        """Close the idle connections."""
        return self.client.close()


def decode_vm_list(body: bytes) -> Result[VmList, StoreFailure]:
    """Decode the list from JSON; a malformed reply is a failure."""
    try:
        reply = msgspec.json.decode(body, type=VmListReply)
    except DECODE_ERRORS as error:
        return Failure(StoreUnavailable(f"malformed reply: {error}", False))
    vms = tuple(Vm(**vm) for vm in reply["vms"])
    return Success(VmList(reply["as_of_ms"], vms))
