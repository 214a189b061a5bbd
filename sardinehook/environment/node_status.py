"""Query the entry VMs for the revision that each has in force."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypedDict

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, gatherResults

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.environment.revision import Revision
from sardinehook.store.http_client import HttpClient, HttpReply
from sardinehook.store.port import StoreUnavailable
from sardinehook.store.vm_list import Vm
from sardinehook.transport.reactor import Timers

__all__ = ["NodeState", "NodeStatus", "ask_nodes", "node_status"]

OK = 200


class NodeState(StrEnum):
    """How the revision in force on a node compares with the accepted one."""

    IN_FORCE = "in force"
    BEHIND = "behind"
    AHEAD = "ahead"
    DIFFERS = "differs"
    OTHER_ENVIRONMENT = "other environment"
    NO_DOCUMENT = "no document"
    UNREACHABLE = "unreachable"


class NodeStatus(NamedTuple):
    """Status of a node; ``revision`` is zero if it has none or is unreachable."""

    node: str
    data_centre: str
    address: str
    state: NodeState
    revision: int
    digest: str
    detail: str


class StatusBody(TypedDict):
    """The fields read from the ``GET /status`` response of an entry VM."""

    environment: str
    revision: int
    digest: str


async def ask_nodes(
    reactor: Timers, vms: tuple[Vm, ...], accepted: Revision, timeout_ms: float
) -> list[NodeStatus]:
    """Query all VMs concurrently.

    The result is no consistent snapshot: each VM reports its own moment.
    """
    pending = [
        Deferred.fromCoroutine(ask_node(reactor, vm, accepted, timeout_ms))
        for vm in vms
    ]
    return list(await gatherResults(pending))


async def ask_node(
    reactor: Timers, vm: Vm, accepted: Revision, timeout_ms: float
) -> NodeStatus:
    """Query one VM; ``timeout_ms`` bounds the call."""
    caller = HttpClient(reactor, vm.address, timeout_ms)
    reply = await caller.read("/status")
    await caller.close()
    return node_status(vm, accepted, reply)


def node_status(
    vm: Vm, accepted: Revision, reply: Result[HttpReply, StoreUnavailable]
) -> NodeStatus:
    """Evaluate the status response of a VM, or the failure to get one."""
    unreachable = NodeStatus(
        vm.name, vm.data_centre, vm.address, NodeState.UNREACHABLE, 0, "", ""
    )
    match reply:
        case Success(HttpReply(status=status, body=body)) if status == OK:
            try:
                reported = msgspec.json.decode(body, type=StatusBody)
            except DECODE_ERRORS as error:
                return unreachable._replace(
                    detail=f"malformed status response: {error}"
                )
            return unreachable._replace(
                state=state_of(reported, accepted),
                revision=reported["revision"],
                digest=reported["digest"],
            )
        case Success(HttpReply(status=status)):
            return unreachable._replace(detail=f"HTTP status {status}, expected {OK}")
        case Failure(StoreUnavailable(detail=detail)):
            return unreachable._replace(detail=detail)
    raise AssertionError(reply)


def state_of(reported: StatusBody, accepted: Revision) -> NodeState:
    """Compare the revision that a node reports with the accepted one."""
    number = reported["revision"]
    if reported["environment"] != accepted.document.environment:
        return NodeState.OTHER_ENVIRONMENT
    if number == 0:
        return NodeState.NO_DOCUMENT
    if number < accepted.number:
        return NodeState.BEHIND
    if number > accepted.number:
        return NodeState.AHEAD
    if reported["digest"] != accepted.digest:
        return NodeState.DIFFERS
    return NodeState.IN_FORCE
