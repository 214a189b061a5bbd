"""Sequential tests of a share of bad answers against the share of another version."""

from __future__ import annotations

from collections.abc import Mapping
from math import log
from typing import NamedTuple

__all__ = ["ALTERNATIVES", "MIN_SHARE", "BadShareTest", "Observed"]

MIN_SHARE = 0.01  # of bad answers; a version without any is not expected to stay so
MAX_SHARE = 0.95  # keeps the logarithms finite
# Excess of bad answers that the tests look for: the first one decides whether a version
# is good, both whether it is bad.
ALTERNATIVES = (0.2, 0.06)
WITHOUT_WORST_RATIO = 0.7  # of the bound, for the replicas without the worst one
CLEAR_BAD_ANSWERS = 30  # before the 50th; then a weaker sign in the others suffices
MIN_SIGN_RATIO = 0.35  # of the bound, for the others with that many bad answers
MAX_RECENT_RATIO = 0.3  # of the bound of a bad verdict, in a good one
EXCURSION_WEIGHT = 1.5  # more than 1, since the expected share is an estimate
LEAST_TOTAL = -9.0  # twice what a good verdict needs, so that it has to be recent
WITHOUT_WORST_ERROR_RATIO = (
    0.1  # chance alone can gather the bad answers at one replica
)
MAX_BURST_SHARE = (
    0.3  # of the answers of one replica in one interval, see ``cap_burst``
)


class Observed(NamedTuple):
    """Answers of one replica, the bad ones, and the share expected to be bad."""

    answers: int
    bad: int
    expected_share: float


class Scores:
    """Log-likelihood ratios of the answers of some replicas.

    ``total`` is that of Wald's test for the first alternative, bounded so that bad
    answers after many good ones count. ``recent`` are those of CUSUM tests, which
    forget good answers altogether, so that later bad ones count at once.
    """

    __slots__ = ("recent", "total")

    def __init__(self) -> None:
        self.total = 0.0
        self.recent = [0.0] * len(ALTERNATIVES)

    def copy(self) -> Scores:
        """Return a copy, for a replica that was not seen before."""
        other = Scores()
        other.total = self.total
        other.recent = list(self.recent)
        return other

    def add(self, ratios: tuple[float, ...]) -> None:
        """Add the log-likelihood ratios of further answers."""
        self.total = max(LEAST_TOTAL, self.total + ratios[0])
        self.recent = [
            max(0.0, known + ratio)
            for known, ratio in zip(self.recent, ratios, strict=True)
        ]


def ratios_of(observed: Observed) -> tuple[float, ...]:
    """Return the log-likelihood ratio of answers for each alternative.

    >>> [round(ratio, 2) for ratio in ratios_of(Observed(20, 0, 0.02))]
    [-4.57, -1.26]
    """
    expected = min(max(observed.expected_share, MIN_SHARE), MAX_SHARE)
    good = observed.answers - observed.bad
    found = []
    for excess in ALTERNATIVES:
        share = min(expected + excess, (1.0 + MAX_SHARE) / 2)
        found.append(
            observed.bad * log(share / expected)
            + good * log((1.0 - share) / (1.0 - expected))
        )
    return tuple(found)


class BadShareTest:
    """Tests whether a version has more bad answers than the share expected.

    ``is_bad`` and ``is_good`` keep error rates close to the given ones: the bound of a
    CUSUM test grows with the number of chance excursions so far (one for each bad
    answer that is expected). Of several replicas, the worst one is left out, so that
    one bad machine is not taken for a bad version.
    """

    def __init__(self) -> None:
        self.pooled = Scores()
        self.without: dict[str, Scores] = {}
        self.answers = 0
        self.bad = 0
        self.expected_bad = 0.0

    def add(self, by_replica: Mapping[str, Observed]) -> None:
        """Add the answers of some replicas in one interval."""
        by_replica = {name: cap_burst(one) for name, one in by_replica.items()}
        ratios = {name: ratios_of(one) for name, one in by_replica.items()}
        for name in by_replica:
            if name not in self.without:
                self.without[name] = self.pooled.copy()
        for name, scores in self.without.items():
            scores.add(sum_ratios([r for other, r in ratios.items() if other != name]))
        self.pooled.add(sum_ratios(list(ratios.values())))
        for one in by_replica.values():
            self.answers += one.answers
            self.bad += one.bad
            self.expected_bad += one.answers * max(one.expected_share, MIN_SHARE)

    def bad_bound(self, error_rate: float) -> float:
        """Return the score from which the version is bad."""
        excursions = EXCURSION_WEIGHT * log(1.0 + self.expected_bad)
        return log(1.0 / error_rate) + excursions

    @property
    def score(self) -> float:
        """The larger score of the two CUSUM tests."""
        return max(self.pooled.recent)

    def is_bad(self, error_rate: float) -> bool:
        """Return whether the version is bad; wrong in ``error_rate`` of cases."""
        bound = self.bad_bound(error_rate)
        if self.score < bound:
            return False
        if len(self.without) < 2:
            return True
        others = min(self.without.values(), key=lambda scores: max(scores.recent))
        sign = max(others.recent)
        if sign >= WITHOUT_WORST_RATIO * bound:
            return True
        has_sign = sign >= MIN_SIGN_RATIO * bound and others.total > log(error_rate)
        return self.bad >= CLEAR_BAD_ANSWERS and has_sign

    def is_good(self, error_rate: float, bad_error_rate: float) -> bool:
        """Return whether the version is good; wrong in ``error_rate`` of cases.

        ``bad_error_rate`` is that of a bad verdict, to which nothing may point.
        """
        chosen = [(self.pooled, error_rate)]
        if len(self.without) > 1:
            without_rate = WITHOUT_WORST_ERROR_RATIO * error_rate
            chosen += [(scores, without_rate) for scores in self.without.values()]
        most = MAX_RECENT_RATIO * self.bad_bound(bad_error_rate)
        return any(
            scores.total <= log(rate) and max(scores.recent) <= most
            for scores, rate in chosen
        )


def cap_burst(observed: Observed) -> Observed:
    """Leave out bad answers that have one cause, as a pause of the machine.

    The tests take answers for independent. Where more than a share of the answers of
    one interval are bad, the rest of them tells nothing new.

    >>> cap_burst(Observed(4, 4, 0.1)), cap_burst(Observed(100, 20, 0.1))[:2]
    (Observed(answers=1, bad=1, expected_share=0.1), (100, 20))
    """
    most = max(1, int(MAX_BURST_SHARE * observed.answers))
    excess = max(0, observed.bad - most)
    return observed._replace(
        answers=observed.answers - excess, bad=observed.bad - excess
    )


def sum_ratios(ratios: list[tuple[float, ...]]) -> tuple[float, ...]:
    """Return the sums for each alternative, zeros for no ratios."""
    if not ratios:
        return (0.0,) * len(ALTERNATIVES)
    return tuple(map(sum, zip(*ratios, strict=True)))
