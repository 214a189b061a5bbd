"""Ask every entry VM which revision it has in force."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypedDict

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, gatherResults

from sardinehook.environment.revision import Revision
from sardinehook.store.http_client import HttpClient, HttpReply
from sardinehook.store.port import StoreUnavailable
from sardinehook.store.vm_list import Vm
from sardinehook.transport.reactor import Timers

__all__ = ["NodeState", "NodeStatus", "ask_nodes", "node_status"]

OK = 200


class NodeState(StrEnum):
    """How a node's revision compares with the accepted one."""

    IN_FORCE = "in force"
    BEHIND = "behind"
    AHEAD = "ahead"
    DIFFERS = "differs"
    OTHER_ENVIRONMENT = "other environment"
    NO_DOCUMENT = "no document"
    UNREACHABLE = "unreachable"


class NodeStatus(NamedTuple):
    """What a node answered; ``revision`` is zero if it has none or is unreachable."""

    node: str
    data_centre: str
    address: str
    state: NodeState
    revision: int
    digest: str
    detail: str


class StatusBody(TypedDict):
    """The part of ``GET /status`` of an entry VM that is read here."""

    environment: str
    revision: int
    digest: str


async def ask_nodes(
    reactor: Timers, vms: tuple[Vm, ...], accepted: Revision, timeout_ms: float
) -> list[NodeStatus]:
    """Ask all VMs at once; each answer counts as it was when it was given."""
    asked = [
        Deferred.fromCoroutine(ask_node(reactor, vm, accepted, timeout_ms))
        for vm in vms
    ]
    return list(await gatherResults(asked))


async def ask_node(
    reactor: Timers, vm: Vm, accepted: Revision, timeout_ms: float
) -> NodeStatus:
    """Ask one VM."""
    caller = HttpClient(reactor, vm.address, timeout_ms)
    answer = await caller.read("/status")
    await caller.close()
    return node_status(vm, accepted, answer)


def node_status(
    vm: Vm, accepted: Revision, answer: Result[HttpReply, StoreUnavailable]
) -> NodeStatus:
    """Judge the answer of a VM."""
    unreachable = NodeStatus(
        vm.name, vm.data_centre, vm.address, NodeState.UNREACHABLE, 0, "", ""
    )
    match answer:
        case Success(HttpReply(status=status, body=body)) if status == OK:
            try:
                told = msgspec.json.decode(body, type=StatusBody)
            except msgspec.MsgspecError as error:
                return unreachable._replace(detail=f"malformed status: {error}")
            return unreachable._replace(
                state=state_of(told, accepted),
                revision=told["revision"],
                digest=told["digest"],
            )
        case Success(HttpReply(status=status)):
            return unreachable._replace(detail=f"status {status}")
        case Failure(StoreUnavailable(detail=detail)):
            return unreachable._replace(detail=detail)
    raise AssertionError(answer)


def state_of(told: StatusBody, accepted: Revision) -> NodeState:
    """Compare a node's revision with the accepted one."""
    number = told["revision"]
    if told["environment"] != accepted.document.environment:
        return NodeState.OTHER_ENVIRONMENT
    if number == 0:
        return NodeState.NO_DOCUMENT
    if number < accepted.number:
        return NodeState.BEHIND
    if number > accepted.number:
        return NodeState.AHEAD
    if told["digest"] != accepted.digest:
        return NodeState.DIFFERS
    return NodeState.IN_FORCE
