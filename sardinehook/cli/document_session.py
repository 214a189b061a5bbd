"""What the document commands share: the platform's adapters on one reactor."""

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

__all__ = ["Session", "StatusReport", "good_or_exit", "with_session"]

CALL_TIMEOUT_MS = 3_000.0
NODE_TIMEOUT_MS = 2_000.0
ASK_AGAIN_S = 0.1

Value = TypeVar("Value")


class StatusReport(NamedTuple):
    """The accepted revision and what each entry VM has in force."""

    accepted: Revision
    list_as_of_ms: float
    nodes: list[NodeStatus]


class Session:
    """The platform as one command uses it."""

    def __init__(self, reactor: Timers, platform: str) -> None:
        self.reactor = reactor
        self.store = HttpStore(reactor, platform, CALL_TIMEOUT_MS)
        self.vm_list = HttpVmList(reactor, platform, CALL_TIMEOUT_MS)
        self.registry = RevisionRegistry(reactor, self.store)

    async def find(self, environment: str, number: int) -> Revision:
        """Read a revision, the current one if zero, or exit."""
        if number:
            return good_or_exit(await self.registry.revision(environment, number))
        head = good_or_exit(await self.registry.head(environment))
        if head is None:
            detail = f"{environment} has no revision"
            exit_with_problems(Problem(ErrorKind.NOT_FOUND, detail))
        return head.revision

    async def status(self, environment: str, wait_ms: float) -> StatusReport:
        """Ask all entry VMs, again until all agree or ``wait_ms`` are over."""
        until = self.reactor.seconds() + wait_ms / 1000
        while True:
            report = await self.ask_all(environment)
            settled = all(node.state is NodeState.IN_FORCE for node in report.nodes)
            if settled or self.reactor.seconds() >= until:
                return report
            await deferLater(cast(IReactorTime, self.reactor), ASK_AGAIN_S)

    async def ask_all(self, environment: str) -> StatusReport:
        """Ask all entry VMs that the platform lists as live."""
        accepted = await self.find(environment, 0)
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


def with_session(
    platform: str,
    run: Callable[[Session], Coroutine[Deferred[object], object, Value]],
) -> Value:
    """Run a coroutine with a session and close it."""

    async def whole(reactor: Timers) -> Value:
        session = Session(reactor, platform)
        try:
            return await run(session)
        finally:
            await session.close()

    return run_until_done(whole)


def good_or_exit(result: Result[Value, Problem]) -> Value:
    """The value of a success, or exit with the problem's line."""
    if isinstance(result, Failure):
        exit_with_problems(result.failure())
    return result.unwrap()
