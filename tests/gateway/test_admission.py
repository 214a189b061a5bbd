"""Admission under contention: the scheduler against a model of replicas."""

from __future__ import annotations

from collections import defaultdict
from random import Random

from sardinehook.gateway.admission.scheduler import (
    LIFT_AFTER_S,
    MAX_WAITING,
    Scheduler,
)
from sardinehook.gateway.admission.ticket import RefusalReason, Refused, Started
from tests.gateway.admission_model import (
    KEY,
    LARGE,
    SMALL,
    Arrival,
    Kind,
    Model,
    Outcome,
    make_ticket,
    ratio_in_time,
    steady,
)

REFUSAL_TOLERANCE_S = 1e-6  # rounding of times
GATEWAYS = 6  # delegates of deployment A: two in each of three data centres


def refusals_in_time(outcomes: list[Outcome]) -> bool:
    """Return whether each refusal left within a quarter of its objective."""
    return all(
        one.at - one.arrival.at
        <= one.arrival.kind.objective_s / 4 + REFUSAL_TOLERANCE_S
        for one in outcomes
        if one.reason is not None
    )


def served_ratios(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the share of each organisation's requests that was answered in time."""
    results: dict[str, list[bool]] = defaultdict(list)
    for one in outcomes:
        results[one.arrival.organisation].append(one.in_time)
    return {name: sum(each) / len(each) for name, each in results.items()}


class TestBursts:
    """Guards against queues at replicas that make all requests of a burst late.

    Two kinds of searches together ask for 1.7 times the capacity for three seconds, at
    six gateways that do not tell each other anything.
    """

    def play(self, seed: int) -> list[Outcome]:
        arrivals = [*steady(LARGE, 250, 3, seed), *steady(SMALL, 250, 3, seed + 9)]
        spread = [
            arrival._replace(gateway=number % GATEWAYS)
            for number, arrival in enumerate(arrivals)
        ]
        return Model(6, GATEWAYS).run(spread)

    def test_urgent_searches_are_answered_and_the_others_in_time_or_refused(
        self,
    ) -> None:
        for seed in (1, 2, 3):
            outcomes = self.play(seed)
            assert ratio_in_time(outcomes, SMALL) > 0.9
            assert ratio_in_time(outcomes, LARGE) > 0.4
            late = [one for one in outcomes if not one.reason and not one.in_time]
            assert len(late) < 0.02 * len(outcomes)
            assert refusals_in_time(outcomes)

    def test_usual_demand_starts_at_once(self) -> None:
        arrivals = [*steady(LARGE, 12.6, 10, 1), *steady(SMALL, 7.29, 10, 2)]
        model = Model(6)
        assert ratio_in_time(model.run(arrivals)) == 1.0
        assert model.schedulers[0].waiting == 0


def one_large_organisation(seed: int, gateways: int) -> list[Outcome]:
    """Play 83 small organisations and a large one at 6.8 times its usual rate.

    Together they ask for twice the capacity; weights are 1.6 times the usual rates.
    """
    small = [f"o{number}" for number in range(83)]
    few = [
        arrival._replace(weight=0.64)
        for arrival in steady(LARGE, 33.2 * gateways, 20, seed, *small)
    ]
    many = [
        arrival._replace(weight=25.6)
        for arrival in steady(LARGE, 108.8 * gateways, 20, seed + 5, "large")
    ]
    random = Random(seed)
    arrivals = [one._replace(gateway=random.randrange(gateways)) for one in few + many]
    return Model(2 * gateways, gateways).run(arrivals)


class TestOrganisations:
    """Guards against one organisation whose burst displaces the requests of others."""

    def test_small_organisations_are_unaffected(self) -> None:
        outcomes = one_large_organisation(1, gateways=1)
        ratios = served_ratios(outcomes)
        ratios.pop("large")
        assert min(ratios.values()) >= ratio_in_time(outcomes) / 4
        assert sum(ratio > 0.85 for ratio in ratios.values()) > 0.9 * len(ratios)
        assert refusals_in_time(outcomes)

    def test_two_delegates_that_see_a_part_each_are_nearly_as_fair(self) -> None:
        outcomes = one_large_organisation(1, gateways=2)
        ratios = served_ratios(outcomes)
        ratios.pop("large")
        assert min(ratios.values()) >= ratio_in_time(outcomes) / 4
        assert sum(ratio > 0.8 for ratio in ratios.values()) > 0.8 * len(ratios)

    def test_unfairness_is_bounded_by_the_share_of_delegates_that_see_it(self) -> None:
        """Two of six delegates, those of one data centre, see an organisation.

        All organisations want more than they get. It is served by a third of the
        capacity, and so at least a third as often as one that all delegates see.
        """
        arrivals = []
        for number in range(8):
            name, random = f"o{number}", Random(number)
            seen_by = 2 if number == 0 else GATEWAYS
            arrivals += [
                one._replace(gateway=random.randrange(seen_by))
                for one in steady(LARGE, 60, 10, number + 1, name)
            ]
        ratios = served_ratios(Model(6, GATEWAYS).run(arrivals))
        local = ratios.pop("o0")
        everywhere = sum(ratios.values()) / len(ratios)
        assert local >= everywhere / 3
        assert min(ratios.values()) > 0.8 * everywhere


class TestUrgency:
    """Guards against urgent searches that wait for others, and the others' starvation.

    Urgent searches alone ask for 1.2 times the capacity, beside many large ones.
    """

    def test_urgent_first_and_least_urgent_still_move(self) -> None:
        arrivals = [*steady(LARGE, 100, 4, 1), *steady(SMALL, 700, 4, 2)]
        outcomes = Model(6).run(arrivals)
        started = [one for one in outcomes if one.reason is None]
        large = [one for one in started if one.arrival.kind is LARGE]
        assert 0.1 * len(started) < len(large) < 0.25 * len(started)
        assert ratio_in_time(outcomes, SMALL) > 0.55
        assert refusals_in_time(outcomes)

    def test_moderate_urgent_demand_is_not_held_up(self) -> None:
        arrivals = [*steady(LARGE, 400, 4, 1), *steady(SMALL, 150, 4, 2)]
        outcomes = Model(6).run(arrivals)
        assert ratio_in_time(outcomes, SMALL) > 0.95


class TestOrder:
    """Guards against an order that wastes work done or lets useful answers expire."""

    def full_lane(self, kind: Kind = LARGE) -> tuple[Scheduler, float]:
        scheduler, now = Scheduler(), 10.0
        running = [make_ticket(Arrival(now, kind, "busy")) for _ in range(3)]
        for ticket in running:
            scheduler.offer(ticket, now)
        scheduler.end(running.pop(), True, now)
        return scheduler, now

    def started_after(self, scheduler: Scheduler, now: float) -> list[str]:
        """Return the names of those started as the requests in flight end."""
        names = []
        lane = scheduler.lanes[KEY]
        while lane.in_flight:
            scheduler.end(next(iter(lane.in_flight)), None, now)
            for decision in scheduler.advance(now):
                assert isinstance(decision, Started)
                names.append(decision.ticket.organisation)
        return names

    def test_work_begun_then_the_earliest_useful_answer(self) -> None:
        scheduler, now = self.full_lane()
        hasty = Kind(0.03, 0.2, 1)
        for name, kind, begun in (
            ("new", LARGE, False),
            ("hasty", hasty, False),
            ("begun", LARGE, True),
        ):
            scheduler.offer(make_ticket(Arrival(now, kind, name), begun), now)
        assert self.started_after(scheduler, now) == ["begun", "hasty", "new"]

    def test_who_cannot_be_answered_in_time_is_dropped(self) -> None:
        scheduler, now = self.full_lane()
        ticket = make_ticket(Arrival(now, Kind(0.25, 0.286, 1)))
        scheduler.offer(ticket, now)
        assert scheduler.advance(now + 0.04) == [
            Refused(ticket, RefusalReason.OBJECTIVE)
        ]

    def test_long_wait_is_refused_at_once(self) -> None:
        scheduler, now = self.full_lane()
        scheduler.lanes[KEY].hold_s = 0.2
        refused = [
            scheduler.offer(make_ticket(Arrival(now, LARGE)), now) for _ in range(20)
        ][-1]
        assert isinstance(refused[0], Refused)

    def test_memory_is_bounded_and_the_urgent_displace_others(self) -> None:
        scheduler, now = self.full_lane(SMALL)
        for number in range(MAX_WAITING + 50):
            scheduler.offer(make_ticket(Arrival(now, LARGE, f"o{number % 7}")), now)
        assert scheduler.waiting == MAX_WAITING
        urgent = [make_ticket(Arrival(now, SMALL)) for _ in range(9)]
        decisions = [one for each in urgent for one in scheduler.offer(each, now)]
        refused = {one.ticket for one in decisions if isinstance(one, Refused)}
        assert refused and not refused.intersection(urgent)
        assert scheduler.waiting == MAX_WAITING


class TestRecovery:
    """Guards against limits that outlast the load they answered."""

    def test_nothing_waits_after_the_load_has_gone(self) -> None:
        burst = [*steady(LARGE, 400, 2, 1), *steady(SMALL, 300, 2, 2)]
        after = [
            one._replace(at=one.at + 2.5)
            for one in [*steady(LARGE, 12.6, 8, 3), *steady(SMALL, 7.29, 8, 4)]
        ]
        model = Model(6)
        later = [one for one in model.run(burst + after) if one.arrival.at > 2.5]
        assert ratio_in_time(later) == 1.0
        assert all(one.at - one.arrival.at < 0.15 for one in later)

    def test_state_is_dropped_when_idle(self) -> None:
        model = Model(6)
        model.run(steady(LARGE, 400, 1, 1))
        scheduler = model.schedulers[0]
        scheduler.advance(3.0 + LIFT_AFTER_S)
        assert scheduler.lanes == {}

    def test_request_that_hangs_does_not_stop_others(self) -> None:
        scheduler = Scheduler()
        hung = [make_ticket(Arrival(10.0, LARGE)) for _ in range(3)]
        for ticket in hung:
            scheduler.offer(ticket, 10.0)
        scheduler.end(hung[0], True, 10.1)
        (decision,) = scheduler.offer(make_ticket(Arrival(10.4, LARGE)), 10.4)
        assert isinstance(decision, Started)
