"""Command-line interface of the benchmarks."""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Annotated, NamedTuple, TypedDict

import msgspec
import typer

from bench.catalog import EXPERIMENTS
from bench.experiment import Bound, Experiment, Options
from bench.measurement import Measurement
from bench.run_trial import run_trial
from bench.soak.run import SoakOptions, soak

app = typer.Typer(
    help="Benchmark and soak-test sardinehook against simulated targets.",
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.command("list")
def list_experiments() -> None:
    """List the experiments."""
    for experiment in EXPERIMENTS.values():
        typer.echo(f"{experiment.name:18} {experiment.summary}")


@app.command()
def run(
    name: Annotated[str, typer.Argument(help="Name of the experiment.")],
    seed: Annotated[int, typer.Option(help="Seed of load, targets and faults.")] = 1,
    scale: Annotated[
        float, typer.Option(min=0.1, help="Factor for load and duration.")
    ] = 1.0,
    json_path: Annotated[
        Path | None, typer.Option("--json", help="Write the figures to this file.")
    ] = None,
    report: Annotated[
        Path | None, typer.Option(help="Write a report with plots to this directory.")
    ] = None,
) -> None:
    """Run an experiment; the exit code is zero if all bounds hold."""
    experiment = EXPERIMENTS.get(name)
    if experiment is None:
        typer.echo(f"unknown experiment {name!r}; see: python -m bench list", err=True)
        raise typer.Exit(2)
    passed = run_and_report(experiment, Options(seed, scale), json_path, report)
    raise typer.Exit(0 if passed else 1)


@app.command("soak")
def run_soak(
    seed: Annotated[int, typer.Option(help="Seed of faults and load.")] = 1,
    minutes: Annotated[
        float, typer.Option(min=0.1, help="Duration of the faults.")
    ] = 0.5,
    gateways: Annotated[int, typer.Option(min=2, max=200)] = 6,
    callers: Annotated[int, typer.Option(min=1, max=100)] = 12,
    gap: Annotated[
        float, typer.Option(min=0.1, help="Mean seconds between faults.")
    ] = 1.0,
    mutant: Annotated[
        str, typer.Option(help="Defect injected into the gateways.")
    ] = "",
    overlaps: Annotated[
        bool, typer.Option(help="Outages of the store with restarts and changes.")
    ] = False,
    rollouts: Annotated[
        bool, typer.Option(help="A rollout beside kills and a lost store.")
    ] = False,
    restores: Annotated[
        bool, typer.Option(help="The store comes back from older copies.")
    ] = False,
    keep: Annotated[
        Path | None, typer.Option(help="Keep settings and logs in this directory.")
    ] = None,
) -> None:
    """Run gateways under injected faults and check the guarantees."""
    options = SoakOptions(
        seed,
        gateways,
        callers,
        minutes * 60.0,
        gap,
        mutant,
        overlaps,
        rollouts,
        restores,
    )
    with tempfile.TemporaryDirectory() as scratch:
        folder = keep or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        result = soak(options, folder)
    for violation in result.violations:
        typer.echo(" ".join(violation))
    outcomes = ", ".join(f"{k}: {v}" for k, v in sorted(result.outcomes.items()))
    typer.echo(
        f"soak seed={seed} gateways={gateways} faults={result.faults} "
        f"requests={result.attempts} runner_lag_s={result.lag_s:.2f} ({outcomes}) "
        f"violations={len(result.violations)}"
    )
    raise typer.Exit(1 if result.violations else 0)


class ExperimentResult(NamedTuple):
    """Figures and bounds of an experiment or a measurement."""

    figures: Mapping[str, float]
    bounds: Sequence[Bound]


def run_and_report(
    experiment: Experiment | Measurement,
    options: Options,
    json_path: Path | None,
    report: Path | None,
) -> bool:
    """Run an experiment, print its verdict and return whether all bounds hold."""
    started_at = time.monotonic()
    match experiment:
        case Experiment():
            outcome = run_trials(experiment, options, report)
        case Measurement():
            outcome = ExperimentResult(*experiment.measure(options))
    for bound in outcome.bounds:
        print_bound(bound)
    verdict = "pass" if all(bound.passed for bound in outcome.bounds) else "fail"
    values = {bound.name: bound.value for bound in outcome.bounds}
    if json_path is not None:
        document = Document(
            experiment=experiment.name,
            seed=options.seed,
            scale=options.scale,
            verdict=verdict,
            bounds=values,
            figures=dict(outcome.figures),
        )
        json_path.write_bytes(msgspec.json.format(msgspec.json.encode(document)))
    shown = {**values, **outcome.figures}
    pairs = " ".join(f"{key}={value:.4g}" for key, value in shown.items())
    took_s = time.monotonic() - started_at
    print(
        f"experiment={experiment.name} verdict={verdict} seed={options.seed}"
        f" took_s={took_s:.1f} {pairs}",
        flush=True,
    )
    return verdict == "pass"


class Document(TypedDict):
    """The JSON document of an experiment run."""

    experiment: str
    seed: int
    scale: float
    verdict: str
    bounds: dict[str, float]
    figures: dict[str, float]


def run_trials(
    experiment: Experiment, options: Options, report: Path | None
) -> ExperimentResult:
    """Run all trials of an experiment, and write a report if requested."""
    results = {}
    with tempfile.TemporaryDirectory(prefix="sardinehook-bench-") as directory:
        for trial in experiment.trials(options):
            folder = Path(report or directory) / trial.name
            folder.mkdir(parents=True, exist_ok=True)
            results[trial.name] = run_trial(trial, options, folder, print_progress)
    bounds = list(experiment.evaluate(results))
    figures = dict(experiment.figures(results))
    figures["stolen_ratio"] = max(run.stolen_ratio for run in results.values())
    if report is not None:
        from bench.report import write_report

        print_progress(f"report: {write_report(experiment, results, bounds, report)}")
    return ExperimentResult(figures, bounds)


def print_progress(line: str) -> None:
    """Print a line to standard error."""
    print(line, file=sys.stderr, flush=True)


def print_bound(bound: Bound) -> None:
    """Print a bound and whether it holds."""
    verdict = "ok" if bound.passed else "BROKEN"
    print_progress(
        f"  {verdict:6} {bound.name} = {bound.value:.4g}"
        f" {bound.comparison.symbol} {bound.limit:g} ({bound.source})"
    )
