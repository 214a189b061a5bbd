"""Asks the holders of the usage ledger for quota, within a few milliseconds."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from sardinehook.gateway.organisations.organisation import Organisation
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.usage.exchange import UsageExchange
from sardinehook.gateway.usage.holders import rank_gateways
from sardinehook.gateway.usage.messages import Ask, GiveBack, Grant
from sardinehook.transport.reactor import Timer

__all__ = ["MAX_WAITING", "AskedDecision", "PendingAsk", "QuotaAsker"]

OPEN_S = 0.002  # until a port that is bound can send: a few turns of the event loop
SECOND_ASK_S = 0.015  # after the first ask: several round trips in a data centre
DECISION_S = 0.030  # after the first ask, without an answer
LATE_TURN_S = 0.005  # a timer that is later leaves a turn to read pending datagrams
SUSPECT_S = 1.0  # a holder that has not answered is asked last for that long
MAX_WAITING = 512  # requests that wait for a grant
MAX_ACCEPTED = 4096  # decisions that are remembered, for repeated datagrams


class AskedDecision(NamedTuple):
    """An answer of a holder; ``holder`` is empty if none has answered in time."""

    ask_id: int
    granted: bool
    retry_after_s: float
    holder: str


Decided = Callable[[AskedDecision], None]


class PendingAsk:
    """A request that waits for a grant; its caller may disconnect."""

    def __init__(
        self, asker: QuotaAsker, ask: Ask, holders: Sequence[str], decided: Decided
    ) -> None:
        self.asker = asker
        self.ask = ask
        self.holders = list(holders)
        self.asked: list[str] = []
        self.decided = decided
        self.settled = False
        self.timer: Timer | None = None
        self.due_at = 0.0

    def start(self) -> None:
        """Ask the first holder, once the port is open."""
        if self.asker.exchange.transport is None:
            self.schedule(OPEN_S, self.ask_first)
        else:
            self.ask_first()

    def ask_first(self) -> None:
        """Ask the first holder."""
        self.ask_next(1)
        self.schedule(SECOND_ASK_S, self.ask_others)

    def ask_next(self, count: int) -> None:
        """Ask further holders."""
        for _ in range(min(count, len(self.holders))):
            holder = self.holders.pop(0)
            self.asked.append(holder)
            self.asker.exchange.send_message(holder, self.ask)

    def schedule(self, delay_s: float, function: Callable[[], None]) -> None:
        """Call a function after a delay, and after the datagrams received by then."""
        self.due_at = self.asker.reactor.seconds() + delay_s
        self.timer = self.asker.reactor.callLater(delay_s, self.on_timer, function)

    def on_timer(self, function: Callable[[], None]) -> None:
        """Call a function, one turn later if the event loop was busy."""
        if self.asker.reactor.seconds() > self.due_at + LATE_TURN_S:
            self.schedule(0.0, function)
        else:
            function()

    def ask_others(self) -> None:
        """Ask the other holders, since the first one has not answered."""
        self.asker.suspect(self.asked[0])
        self.ask_next(len(self.holders))
        self.schedule(DECISION_S - SECOND_ASK_S, self.give_up)

    def give_up(self) -> None:
        """Decide without an answer."""
        for holder in self.asked:
            self.asker.suspect(holder)
        self.settle(AskedDecision(self.ask.id, False, 0.0, ""))

    def settle(self, decision: AskedDecision) -> None:
        """Pass the decision on; what other holders may have granted is given back."""
        self.stop(decision.holder)
        self.decided(decision)

    def cancel(self) -> None:
        """Stop after the caller has disconnected, and give back what may be granted."""
        if not self.settled:
            self.stop("")

    def stop(self, granting: str) -> None:
        """End the ask; holders other than ``granting`` take their grants back."""
        self.settled = True
        self.asker.pending.pop(self.ask.id, None)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for holder in self.asked:
            if holder != granting:
                self.asker.give_back(self.ask.id, holder)


class QuotaAsker:
    """Asks holders: one of the data centre first, then the others.

    ``count_other`` is how many holders of other data centres are asked beside the
    second holder, for the case that a data centre has no holder at the moment.
    """

    def __init__(
        self, reactor: GatewayReactor, exchange: UsageExchange, incarnation: int
    ) -> None:
        self.reactor = reactor
        self.exchange = exchange
        self.incarnation = incarnation
        self.last_id = 0
        self.pending: dict[int, PendingAsk] = {}
        self.accepted: dict[int, str] = {}
        self.suspects: dict[str, float] = {}

    @property
    def has_room(self) -> bool:
        """Whether one more request may wait for a grant."""
        return len(self.pending) < MAX_WAITING

    def candidates(self, subject: str) -> list[str]:
        """Return the holders to ask, in order.

        All gateways of a data centre ask the same holder first for a subject, so that
        it sees most of its use without delay. One holder of another data centre comes
        after those of this one.
        """
        ledger = self.exchange.ledger
        here = ledger.holders.get(ledger.data_centre, ())
        others = [
            name
            for data_centre, names in ledger.holders.items()
            for name in names
            if data_centre != ledger.data_centre
        ]
        ranked = [*rank_gateways(here, subject), *rank_gateways(others, subject)[:1]]
        now = self.reactor.seconds()
        return sorted(ranked, key=lambda name: self.suspects.get(name, 0.0) > now)

    def ask(
        self, organisation: Organisation, holders: Sequence[str], decided: Decided
    ) -> PendingAsk:
        """Ask for one request of an organisation."""
        self.last_id += 1
        ask = Ask(
            self.exchange.ledger.node,
            self.incarnation,
            self.last_id,
            organisation.name,
            1.0,
            organisation.rate_per_s,
            organisation.burst,
        )
        pending = self.pending[ask.id] = PendingAsk(self, ask, holders, decided)
        pending.start()
        return pending

    def receive(self, grant: Grant, sender: str) -> None:
        """Process the answer of a holder; a late grant is given back."""
        self.suspects.pop(sender, None)
        pending = self.pending.get(grant.id)
        if pending is not None and sender in pending.asked:
            self.remember(grant.id, sender)
            pending.settle(
                AskedDecision(grant.id, grant.granted, grant.retry_after_s, sender)
            )
        elif grant.granted and self.accepted.get(grant.id) != sender:
            self.give_back(grant.id, sender)

    def remember(self, ask_id: int, holder: str) -> None:
        """Remember whose answer was accepted: it may arrive a second time."""
        while len(self.accepted) >= MAX_ACCEPTED:
            del self.accepted[next(iter(self.accepted))]
        self.accepted[ask_id] = holder

    def give_back(self, ask_id: int, holder: str) -> None:
        """Give back what a holder has granted."""
        node = self.exchange.ledger.node
        self.exchange.send_message(holder, GiveBack(node, self.incarnation, ask_id))

    def suspect(self, holder: str) -> None:
        """Ask a holder last for a while, since it has not answered."""
        self.suspects[holder] = self.reactor.seconds() + SUSPECT_S
