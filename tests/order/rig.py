"""Order coordinators over a fake store and target with injected faults."""

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
    CallerOutcome,
    CallerSent,
    HistoryEvent,
    TargetBegan,
    TargetEnded,
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
    """The injected outcome of a message to the store or to the target."""

    DONE = auto()
    STALE = auto()  # reads return the previous revision; other calls as DONE
    REPLY_LOST = auto()  # takes effect; the sender sees a failure
    SILENT = auto()  # takes effect; the sender gets no reply
    LOST = auto()  # takes no effect; the sender sees a failure
    DELAYED = auto()  # the sender sees a failure; takes effect later
    REFUSED = auto()  # takes no effect, and the sender is told so


class Call(NamedTuple):
    """A message in flight; ``apply`` performs it and returns how to reply."""

    apply: Callable[[bool], Reply]
    lost: Reply
    refused: Reply


class Network:
    """Messages in flight, delivered or lost as the test decides."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.late: list[Callable[[bool], Reply]] = []

    def decide(self, number: int, fate: Fate) -> None:
        """Apply an outcome to the pending message at index ``number``."""
        call = self.calls.pop(number % len(self.calls))
        match fate:
            case Fate.DONE | Fate.STALE:
                call.apply(fate is Fate.STALE)()
            case Fate.REPLY_LOST:
                call.apply(False)
                call.lost()
            case Fate.SILENT:
                call.apply(False)
            case Fate.LOST:
                call.lost()
            case Fate.DELAYED:
                self.late.append(call.apply)
                call.lost()
            case Fate.REFUSED:
                call.refused()

    def arrive_late(self, number: int) -> None:
        """Apply a delayed message; its reply is discarded."""
        self.late.pop(number % len(self.late))(False)


class FakeStore:
    """The store as one process sees it: each call is queued in the network."""

    def __init__(self, rig: OrderRig, clock: Clock, alive: Callable[[], bool]) -> None:
        self.rig = rig
        self.clock = clock
        self.alive = alive

    async def call(
        self, act: Callable[[bool], Result[T, StoreFailure]]
    ) -> Result[T, StoreFailure]:
        """Queue a call in the network and wait for its reply."""
        done: Deferred[Result[T, StoreFailure]] = Deferred()

        def reply(result: Result[T, StoreFailure]) -> Reply:
            return lambda: None if self.drops_reply(done) else done.callback(result)

        def fail(may_have_taken_effect: bool) -> Reply:
            return reply(Failure(StoreUnavailable("no reply", may_have_taken_effect)))

        self.clock.callLater(STORE_TIMEOUT_SECONDS, fail(True))
        call = Call(lambda stale: reply(act(stale)), fail(True), fail(False))
        self.rig.network.calls.append(call)
        return await done

    def drops_reply(self, done: Deferred[T]) -> bool:
        """Return whether the caller has timed out or its process is dead."""
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
                    self.rig.versions.setdefault(key, []).append(held)
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
    """An entry process with its own clock; a dead one gets no replies."""

    def __init__(self, rig: OrderRig, number: int, incarnation: int) -> None:
        self.name = f"n{number}#{incarnation}"
        self.clock = Clock()
        self.alive = True
        self.rig = rig
        self.waiting: set[str] = set()
        self.clock_skew = 3.0 * number
        self.desk = OrderCoordinator(
            FakeStore(rig, self.clock, lambda: self.alive),
            "trial",
            Claimant(f"n{number}", str(incarnation)),
            self.clock,
            lambda: WALL_START + self.clock_skew + self.clock.seconds(),
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
    """Processes, a store, a target and the history of their events."""

    def __init__(self, processes: int = 2) -> None:
        self.values = KeyValues()
        self.versions: dict[str, list[Held]] = {}
        self.network = Network()
        self.numbers = count(1)
        self.history: list[HistoryEvent] = []
        self.results: dict[str, OrderResult] = {}
        self.processes = [Process(self, n, 1) for n in range(processes)]

    def now(self) -> float:
        """Return the next time of the history: one second per number drawn."""
        return float(next(self.numbers))

    def read(self, key: str, stale: bool) -> Entry | None:
        """Read a key: its current state or, if stale, the one before its last write."""
        if not stale:
            return to_entry(self.values.held.get(key))
        versions = self.versions.get(key, [])
        return to_entry(versions[-2]) if len(versions) > 1 else None

    def run(self, sub_query: SubQuery) -> None:
        """Run an order at the target and add its start and end to the history."""
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
        told = CallerOutcome.ANSWERED
        kind = ""
        if isinstance(result, Failure):
            problem = result.failure()
            told = (
                CallerOutcome.NOT_RUN
                if problem.response.not_run
                else CallerOutcome.UNKNOWN
            )
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
        """Kill a process and start another with the next incarnation."""
        old = self.processes[number]
        old.alive = False
        incarnation = int(old.name.split("#")[1]) + 1
        self.processes[number] = Process(self, number, incarnation)
        self.processes[number].clock.advance(old.clock.seconds())

    def settle(self, seconds: float = 120.0) -> None:
        """Deliver all messages, advancing all clocks by one second per round."""
        for _ in range(int(seconds)):
            while self.network.late:
                self.network.arrive_late(0)
            while self.network.calls:
                self.network.decide(0, Fate.DONE)
            for process in self.processes:
                process.clock.advance(1.0)

    def began(self, key: str) -> int:
        """Return how often the target began an order with this key."""
        return sum(
            isinstance(event, TargetBegan) and event.order_key == key
            for event in self.history
        )
