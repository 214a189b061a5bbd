"""HTML report of an experiment: figures, bounds and plots."""

from __future__ import annotations

import html
from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib
import numpy

matplotlib.use("Agg")

from matplotlib import pyplot
from matplotlib.axes import Axes

from bench.experiment import Bound, Experiment
from bench.results import RunResult, percentile

__all__ = ["write_report"]

PLOT_INCHES = (8.0, 3.2)
BUCKET_S = 0.25


def write_report(
    experiment: Experiment,
    results: Mapping[str, RunResult],
    bounds: Sequence[Bound],
    directory: Path,
) -> Path:
    """Write the plots and the HTML page; return the path of the page."""
    directory.mkdir(parents=True, exist_ok=True)
    plots = {
        "latency.svg": plot_latency,
        "latency-over-time.svg": plot_latency_over_time,
        "coverage-over-time.svg": plot_coverage_over_time,
        "in-flight.svg": plot_in_flight,
    }
    for name, plot in plots.items():
        figure, axes = pyplot.subplots(figsize=PLOT_INCHES, layout="constrained")
        plot(axes, results)
        axes.legend(fontsize="small")
        figure.savefig(directory / name)
        pyplot.close(figure)
    page = directory / f"{experiment.name}.html"
    page.write_text(render_page(experiment, results, bounds, list(plots)))
    return page


def plot_latency(axes: Axes, results: Mapping[str, RunResult]) -> None:
    """Plot the complementary distribution of the latency for each trial."""
    for name, result in results.items():
        latencies = numpy.sort([call.latency_ms for call in result.measured_calls()])
        if latencies.size:
            shares = 1.0 - numpy.arange(latencies.size) / latencies.size
            axes.plot(latencies, shares, label=name)
    axes.set(xscale="log", yscale="log", xlabel="ms", ylabel="share of calls slower")


def plot_latency_over_time(axes: Axes, results: Mapping[str, RunResult]) -> None:
    """Plot the 99th percentile of the latency over time."""
    for name, result in results.items():
        points = result.series(
            lambda calls: percentile([call.latency_ms for call in calls], 0.99),
            BUCKET_S,
        )
        axes.plot([x for x, _ in points], [y for _, y in points], label=name)
    axes.set(xlabel="s", ylabel="p99, ms")


def plot_coverage_over_time(axes: Axes, results: Mapping[str, RunResult]) -> None:
    """Plot the mean coverage over time; a refusal counts as zero."""
    for name, result in results.items():
        points = result.series(
            lambda calls: float(
                numpy.mean(
                    [c.answer.get("coverage", {}).get("ratio", 0.0) for c in calls]
                )
            ),
            BUCKET_S,
        )
        axes.plot([x for x, _ in points], [y for _, y in points], label=name)
    axes.set(xlabel="s", ylabel="coverage", ylim=(-0.02, 1.02))


def plot_in_flight(axes: Axes, results: Mapping[str, RunResult]) -> None:
    """Plot the sub-queries in flight at all targets over time."""
    for name, result in results.items():
        changes = {"begun": 1, "finished": -1, "cancelled": -1, "lost": -1}
        times, level, levels = [], 0, []
        for event in result.events:
            if event.kind in changes:
                level += changes[event.kind]
                times.append(event.at - result.started_at)
                levels.append(level)
        axes.plot(times, levels, label=name, linewidth=0.6)
    axes.set(xlabel="s", ylabel="in flight at targets")


def render_page(
    experiment: Experiment,
    results: Mapping[str, RunResult],
    bounds: Sequence[Bound],
    plots: Sequence[str],
) -> str:
    """Return the HTML page with figures, bounds and references to the plots."""
    figures = experiment.figures(results)
    rows = "".join(
        f"<tr><td>{html.escape(bound.name)}</td><td>{bound.value:.4g}</td>"
        f"<td>{bound.comparison.symbol} {bound.limit:g}</td>"
        f"<td>{'pass' if bound.passed else 'fail'}</td>"
        f"<td>{html.escape(bound.source)}</td></tr>"
        for bound in bounds
    )
    lines = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{value:.4g}</td></tr>"
        for name, value in figures.items()
    )
    images = "".join(f'<p><img src="{name}" alt="{name}"></p>' for name in plots)
    return (
        f"<!doctype html><meta charset='utf-8'><title>{experiment.name}</title>"
        f"<h1>{experiment.name}</h1><p>{html.escape(experiment.summary)}</p>"
        f"<table border='1'><tr><th>bound</th><th>value</th><th>limit</th>"
        f"<th>verdict</th><th>source</th></tr>{rows}</table>"
        f"<table border='1'>{lines}</table>{images}"
    )
