"""Order desks over one fake store and one fake target whose faults are chosen."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from itertools import count
from typing import NamedTuple, TypeVar

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bench.history import (
    CallerAnswered,
    CallerSent,
    HistoryEvent,
    TargetBegan,
    TargetEnded,
    Told,
)
from bench.platform_state import Held, KeyValues, Refused
from sardinehook.errors import Problem
from sardinehook.messages import Outcome, SubQuery, SubReply
from sardinehook.observe.metrics import Metrics
from sardinehook.order.claim import Claimant, OrderRequest
from sardinehook.order.coordinator import OrderCoordinator
from sardinehook.order.open_order import OrderAnswer
from sardinehook.store.port import Conflict, Entry, StoreFailure, StoreUnavailable

RETENTION_MS = 86_400_000.0
WALL_START = 1_000_000.0
STORE_TIMEOUT_SECONDS = 2.0
TARGET = "t1"

T = TypeVar("T")
Reply = Callable[[], None]
OrderResult = Result[OrderAnswer, Problem]


class Fate(Enum):
    """What becomes of a message to the store or to the target."""

    DONE = auto()
    STALE = auto()  # a read is answered from an older state; else done
    REPLY_LOST = auto()  # it takes effect, and its sender is told of a failure
    SILENT = auto()  # it takes effect, and its sender hears nothing
    LOST = auto()  # it takes no effect, and its sender is told of a failure
    DELAYED = auto()  # its sender is told of a failure, and it takes effect later
    REFUSED = auto()  # surely no effect, and its sender is told so


class Call(NamedTuple):
    """A message on its way; ``act`` takes effect and returns how to reply."""

    act: Callable[[bool], Reply]
    lost: Reply
    refused: Reply


class Network:
    """Messages that wait for their fate to be chosen."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.late: list[Callable[[bool], Reply]] = []

    def decide(self, number: int, fate: Fate) -> None:
        """Let a message meet its fate."""
        call = self.calls.pop(number % len(self.calls))
        match fate:
            case Fate.DONE | Fate.STALE:
                call.act(fate is Fate.STALE)()
            case Fate.REPLY_LOST:
                call.act(False)
                call.lost()
            case Fate.SILENT:
                call.act(False)
            case Fate.LOST:
                call.lost()
            case Fate.DELAYED:
                self.late.append(call.act)
                call.lost()
            case Fate.REFUSED:
                call.refused()

    def arrive_late(self, number: int) -> None:
        """Let a delayed message take effect; nobody listens to its reply."""
        self.late.pop(number % len(self.late))(False)


class FakeStore:
    """The store as one process sees it: each call waits in the network."""

    def __init__(self, rig: OrderRig, clock: Clock, alive: Callable[[], bool]) -> None:
        self.rig = rig
        self.clock = clock
        self.alive = alive

    async def call(
        self, act: Callable[[bool], Result[T, StoreFailure]]
    ) -> Result[T, StoreFailure]:
        """Put a call into the network and wait for its reply."""
        done: Deferred[Result[T, StoreFailure]] = Deferred()

        def reply(result: Result[T, StoreFailure]) -> Reply:
            return lambda: None if self.deaf(done) else done.callback(result)

        def fail(may_have_taken_effect: bool) -> Reply:
            return reply(Failure(StoreUnavailable("no reply", may_have_taken_effect)))

        self.clock.callLater(STORE_TIMEOUT_SECONDS, fail(True))
        acted = Call(lambda stale: reply(act(stale)), fail(True), fail(False))
        self.rig.network.calls.append(acted)
        return await done

    def deaf(self, done: Deferred[T]) -> bool:
        """Tell whether a reply is too late, or its process dead."""
        return done.called or not self.alive()

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        return await self.call(lambda stale: Success(self.rig.read(key, stale)))

    async def watch(
        self, key: str, after: int, wait_ms: float
    ) -> Result[Entry | None, StoreFailure]:
        def newer(_stale: bool) -> Result[Entry | None, StoreFailure]:
            entry = self.rig.read(key, False)
            return Success(entry if entry and entry.revision > after else None)

        return await self.call(newer)

    async def put(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Result[Entry, StoreFailure]:
        def write(_stale: bool) -> Result[Entry, StoreFailure]:
            match self.rig.values.put(key, value, expect, lease):
                case Refused(current):
                    return Failure(Conflict(to_entry(current)))
                case Held() as held:
                    self.rig.past.setdefault(key, []).append(held)
                    return Success(Entry(*held))

        return await self.call(write)

    async def grant_lease(self, ttl_ms: float) -> Result[str, StoreFailure]:
        return await self.call(
            lambda _: Success(self.rig.values.grant(ttl_ms / 1000, 0.0))
        )

    async def delete(self, key: str, expect: int) -> Result[None, StoreFailure]:
        raise NotImplementedError

    async def scan(self, prefix: str) -> Result[list[Entry], StoreFailure]:
        raise NotImplementedError

    async def renew_lease(self, lease: str) -> Result[None, StoreFailure]:
        raise NotImplementedError

    async def revoke_lease(self, lease: str) -> Result[None, StoreFailure]:
        raise NotImplementedError


def to_entry(held: Held | None) -> Entry | None:
    return None if held is None else Entry(*held)


class Process:
    """An entry process with its own clock; a dead one hears nothing."""

    def __init__(self, rig: OrderRig, number: int, incarnation: int) -> None:
        self.name = f"n{number}#{incarnation}"
        self.clock = Clock()
        self.alive = True
        self.rig = rig
        self.waiting: set[str] = set()
        self.skew = 3.0 * number
        self.desk = OrderCoordinator(
            FakeStore(rig, self.clock, lambda: self.alive),
            "trial",
            Claimant(f"n{number}", str(incarnation)),
            self.clock,
            lambda: WALL_START + self.skew + self.clock.seconds(),
            self.send,
            count(1),
            RETENTION_MS,
            Metrics(),
            new_attempt=lambda: f"attempt-{next(rig.numbers)}",
        )

    def send(self, sub_query: SubQuery) -> Deferred[SubReply]:
        """Send an order to the target over the network."""
        done: Deferred[SubReply] = Deferred()

        def reply(outcome: Outcome, began: bool, body: bytes = b"") -> Reply:
            number = sub_query.sub_query_id
            told = SubReply(number, outcome, 0, 0, 0.0, 1.0, began, "fake", body)
            return lambda: done.callback(told) if self.alive else None

        def run(_stale: bool) -> Reply:
            self.rig.run(sub_query)
            return reply(Outcome.ANSWERED, True, b"ran " + sub_query.body)

        lost = reply(Outcome.CONNECTION_LOST, True)
        call = Call(run, lost, reply(Outcome.SHED, False))
        self.rig.network.calls.append(call)
        return done


class OrderRig:
    """Processes, the store, the target and the history of what they did."""

    def __init__(self, processes: int = 2) -> None:
        self.values = KeyValues()
        self.past: dict[str, list[Held]] = {}
        self.network = Network()
        self.numbers = count(1)
        self.history: list[HistoryEvent] = []
        self.results: dict[str, OrderResult] = {}
        self.processes = [Process(self, n, 1) for n in range(processes)]

    def now(self) -> float:
        """Return the time base of the history: one second for each event."""
        return float(next(self.numbers))

    def read(self, key: str, stale: bool) -> Entry | None:
        """Read a key, as it is or as it was before its last write."""
        if not stale:
            return to_entry(self.values.held.get(key))
        past = self.past.get(key, [])
        return to_entry(past[-2]) if len(past) > 1 else None

    def run(self, sub_query: SubQuery) -> None:
        """Let the target run an order and log its key."""
        request, number = sub_query.request_id, sub_query.sub_query_id
        began = TargetBegan(
            at=self.now(),
            target=TARGET,
            service="s",
            request=request,
            sub_query=str(number),
            order_key=sub_query.order_key,
        )
        ended = TargetEnded(
            at=self.now(),
            target=TARGET,
            service="s",
            request=request,
            sub_query=str(number),
            whole=True,
        )
        self.history += [began, ended]

    def place(
        self, number: int, key: str, body: bytes = b"x", deadline_ms: float = 1000.0
    ) -> str:
        """Place an order at a process and return its request id."""
        process = self.processes[number]
        request = f"r{next(self.numbers)}"
        self.history.append(
            CallerSent(at=self.now(), request=request, workload="o", order_key=key)
        )
        process.waiting.add(request)
        order = OrderRequest(request, "o", key, "s", TARGET, deadline_ms, 5, body)
        placed = Deferred.fromCoroutine(process.desk.place(order))
        placed.addCallback(self._answer, process, request)
        return request

    def _answer(self, result: OrderResult, process: Process, request: str) -> None:
        process.waiting.discard(request)
        self.results[request] = result
        told = Told.ANSWERED
        kind = ""
        if isinstance(result, Failure):
            problem = result.failure()
            told = Told.NOT_RUN if problem.response.not_run else Told.UNKNOWN
            kind = problem.kind.value
        self.history.append(
            CallerAnswered(
                at=self.now(),
                request=request,
                told=told,
                kind=kind,
                echoed_request=request,
            )
        )

    def crash(self, number: int) -> None:
        """Let a process die and another take its place."""
        old = self.processes[number]
        old.alive = False
        incarnation = int(old.name.split("#")[1]) + 1
        self.processes[number] = Process(self, number, incarnation)
        self.processes[number].clock.advance(old.clock.seconds())

    def settle(self, seconds: float = 120.0) -> None:
        """Let all messages arrive and time pass until nothing is left to do."""
        for _ in range(int(seconds)):
            while self.network.late:
                self.network.arrive_late(0)
            while self.network.calls:
                self.network.decide(0, Fate.DONE)
            for process in self.processes:
                process.clock.advance(1.0)

    def began(self, key: str) -> int:
        """Return how often the target ran a key."""
        return sum(
            isinstance(event, TargetBegan) and event.order_key == key
            for event in self.history
        )
