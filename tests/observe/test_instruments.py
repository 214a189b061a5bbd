"""Counters, gauges and histograms in the Prometheus text format."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client import generate_latest as render_client

from sardinehook.observe.instruments import Instruments


class TestInstruments:
    def test_the_text_is_that_of_the_client(self) -> None:
        """Only the times of creation, which the client adds, are left out."""
        ours, theirs = Instruments(), CollectorRegistry()
        requests = ours.labelled_counter("requests", "Requests", ["kind"])
        requests_there = Counter("requests", "Requests", ["kind"], registry=theirs)
        age, age_there = ours.gauge("age", "Age"), Gauge("age", "Age", registry=theirs)
        lag = ours.histogram("lag", "Lag", (0.1, 1.0))
        lag_there = Histogram("lag", "Lag", buckets=(0.1, 1.0), registry=theirs)
        for kind in ("one", "all", "one"):
            requests.labels(kind).inc()
            requests_there.labels(kind).inc()
        age.set(3)
        age_there.set(3)
        for value in (0.05, 0.1, 0.5, 7.0):
            lag.observe(value)
            lag_there.observe(value)
        expected = [
            line
            for line in render_client(theirs).decode().splitlines()
            if "_created" not in line
        ]
        assert ours.render().decode().splitlines() == expected
