"""Counters, gauges and histograms that load the Prometheus client only when rendered.

The client takes a fifth of the imports of a starting gateway, which is not scraped in
its first second.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

__all__ = ["Counter", "Gauge", "Histogram", "Instruments", "Labelled"]

Labels = tuple[str, ...]
Series = TypeVar("Series", "Counter", "Gauge", "Histogram")


class Counter:
    """A number that only grows."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def inc(self, amount: float = 1.0) -> None:
        """Add ``amount``."""
        self.value += amount


class Gauge:
    """A number that is set."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def set(self, value: float) -> None:
        """Set the number."""
        self.value = float(value)


class Histogram:
    """Counts of observed values by bucket.

    >>> sizes = Histogram((1.0, 2.0))
    >>> for size in (0.5, 2.0, 7.0):
    ...     sizes.observe(size)
    >>> sizes.cumulative()
    [('1.0', 1.0), ('2.0', 2.0), ('+Inf', 3.0)]
    """

    __slots__ = ("bounds", "counts", "sum")

    def __init__(self, bounds: Sequence[float]) -> None:
        self.bounds = tuple(bounds)
        self.counts = [0] * (len(self.bounds) + 1)
        self.sum = 0.0

    def observe(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.sum += value

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the number of values up to each bound."""
        total = 0.0
        buckets = []
        names = [*(str(bound) for bound in self.bounds), "+Inf"]
        for name, count in zip(names, self.counts, strict=True):
            total += count
            buckets.append((name, total))
        return buckets


class Labelled(Generic[Series]):
    """The series of one instrument, by the values of its labels."""

    __slots__ = ("make", "series")

    def __init__(self, make: Callable[[], Series]) -> None:
        self.make: Callable[[], Series] = make
        self.series: dict[Labels, Series] = {}

    def labels(self, *values: str) -> Series:
        """Return the series for these values, creating it if needed."""
        series = self.series.get(values)
        if series is None:
            series = self.series[values] = self.make()
        return series


class Family(Generic[Series]):
    """An instrument with its name, and all of its series."""

    __slots__ = ("documentation", "label_names", "labelled", "name")

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: Sequence[str],
        labelled: Labelled[Series],
    ) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = tuple(label_names)
        self.labelled: Labelled[Series] = labelled


class Instruments:
    """All instruments of a process, in the order in which they were made.

    >>> instruments = Instruments()
    >>> instruments.counter("requests", "Requests that arrived").inc()
    >>> print(instruments.render().decode(), end="")
    # HELP requests_total Requests that arrived
    # TYPE requests_total counter
    requests_total 1.0
    """

    def __init__(self) -> None:
        self.counters: list[Family[Counter]] = []
        self.gauges: list[Family[Gauge]] = []
        self.histograms: list[Family[Histogram]] = []

    def labelled_counter(
        self, name: str, documentation: str, label_names: Sequence[str]
    ) -> Labelled[Counter]:
        """Add a counter with labels."""
        labelled = Labelled(Counter)
        self.counters.append(Family(name, documentation, label_names, labelled))
        return labelled

    def counter(self, name: str, documentation: str) -> Counter:
        """Add a counter without labels."""
        return self.labelled_counter(name, documentation, ()).labels()

    def gauge(self, name: str, documentation: str) -> Gauge:
        """Add a gauge without labels."""
        labelled = Labelled(Gauge)
        self.gauges.append(Family(name, documentation, (), labelled))
        return labelled.labels()

    def labelled_histogram(
        self,
        name: str,
        documentation: str,
        label_names: Sequence[str],
        bounds: Sequence[float],
    ) -> Labelled[Histogram]:
        """Add a histogram with labels."""
        labelled = Labelled(lambda: Histogram(bounds))
        self.histograms.append(Family(name, documentation, label_names, labelled))
        return labelled

    def histogram(
        self, name: str, documentation: str, bounds: Sequence[float]
    ) -> Histogram:
        """Add a histogram without labels."""
        return self.labelled_histogram(name, documentation, (), bounds).labels()

    def collect(self) -> Iterable[Metric]:
        """Return the current values in the types of the Prometheus client."""
        from prometheus_client.metrics_core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for counters in self.counters:
            counts = CounterMetricFamily(
                counters.name, counters.documentation, labels=counters.label_names
            )
            for values, counter in counters.labelled.series.items():
                counts.add_metric(values, counter.value)
            yield counts
        for gauges in self.gauges:
            states = GaugeMetricFamily(
                gauges.name, gauges.documentation, labels=gauges.label_names
            )
            for values, gauge in gauges.labelled.series.items():
                states.add_metric(values, gauge.value)
            yield states
        for histograms in self.histograms:
            spread = HistogramMetricFamily(
                histograms.name, histograms.documentation, labels=histograms.label_names
            )
            for values, histogram in histograms.labelled.series.items():
                spread.add_metric(values, histogram.cumulative(), histogram.sum)
            yield spread

    def render(self) -> bytes:
        """Return the current values in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
