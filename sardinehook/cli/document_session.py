"""The platform clients that the document commands use, on one reactor."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import NamedTuple, TypeVar, cast

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from sardinehook.cli.failure import exit_with_problems
from sardinehook.cli.reactor_run import run_until_done
from sardinehook.environment.node_status import NodeState, NodeStatus, ask_nodes
from sardinehook.environment.registry import RevisionRegistry, store_problem
from sardinehook.environment.revision import Revision
from sardinehook.errors import ErrorKind, Problem
from sardinehook.store.http_store import HttpStore
from sardinehook.store.vm_list import HttpVmList, VmState
from sardinehook.transport.reactor import Timers

__all__ = ["PlatformSession", "StatusReport", "run_with_session", "value_or_exit"]

CALL_TIMEOUT_MS = 3_000.0
NODE_TIMEOUT_MS = 2_000.0
POLL_INTERVAL_S = 0.1

Value = TypeVar("Value")


class StatusReport(NamedTuple):
    """The accepted revision and what each entry VM has in force."""

    accepted: Revision
    list_as_of_ms: float
    nodes: list[NodeStatus]


class PlatformSession:
    """The store, VM list and revision registry used by one command."""

    def __init__(self, reactor: Timers, platform: str) -> None:
        self.reactor = reactor
        self.store = HttpStore(reactor, platform, CALL_TIMEOUT_MS)
        self.vm_list = HttpVmList(reactor, platform, CALL_TIMEOUT_MS)
        self.registry = RevisionRegistry(reactor, self.store)

    async def read_revision(self, environment: str, number: int) -> Revision:
        """Read a revision, the current one if ``number`` is 0; exit on failure."""
        if number:
            return value_or_exit(await self.registry.revision(environment, number))
        head = value_or_exit(await self.registry.head(environment))
        if head is None:
            detail = f"{environment} has no revision"
            exit_with_problems(Problem(ErrorKind.NOT_FOUND, detail))
        return head.revision

    async def status(self, environment: str, wait_ms: float) -> StatusReport:
        """Poll all entry VMs until all are in force or ``wait_ms`` have passed."""
        deadline = self.reactor.seconds() + wait_ms / 1000
        while True:
            report = await self.poll_nodes(environment)
            all_in_force = all(
                node.state is NodeState.IN_FORCE for node in report.nodes
            )
            if all_in_force or self.reactor.seconds() >= deadline:
                return report
            await deferLater(cast(IReactorTime, self.reactor), POLL_INTERVAL_S)

    async def poll_nodes(self, environment: str) -> StatusReport:
        """Query all entry VMs that the platform lists as live."""
        accepted = await self.read_revision(environment, 0)
        match await self.vm_list.fetch():
            case Success(listed):
                pass
            case Failure(failure):
                exit_with_problems(store_problem(failure))
        live = tuple(vm for vm in listed.vms if vm.state is VmState.LIVE)
        nodes = await ask_nodes(self.reactor, live, accepted, NODE_TIMEOUT_MS)
        return StatusReport(accepted, listed.as_of_ms, nodes)

    async def close(self) -> None:
        """Close the connections."""
        await self.store.close()
        await self.vm_list.close()


def run_with_session(
    platform: str,
    run: Callable[[PlatformSession], Coroutine[Deferred[object], object, Value]],
) -> Value:
    """Run a coroutine function with a session, which is closed afterwards."""

    async def run_session(reactor: Timers) -> Value:
        session = PlatformSession(reactor, platform)
        try:
            return await run(session)
        finally:
            await session.close()

    return run_until_done(run_session)


def value_or_exit(result: Result[Value, Problem]) -> Value:
    """Return the value of a success; print the problem and exit otherwise."""
    if isinstance(result, Failure):
        exit_with_problems(result.failure())
    return result.unwrap()
