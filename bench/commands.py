"""The commands of the bench: list experiments, run one, run a soak."""

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
    help="Measure sardinehook on stand-ins.",
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
    name: Annotated[str, typer.Argument(help="An experiment.")],
    seed: Annotated[int, typer.Option(help="Seeds load, targets and faults.")] = 1,
    scale: Annotated[float, typer.Option(min=0.1, help="Multiplies the load.")] = 1.0,
    json_path: Annotated[
        Path | None, typer.Option("--json", help="Write figures here.")
    ] = None,
    report: Annotated[
        Path | None, typer.Option(help="Write a report with plots here.")
    ] = None,
) -> None:
    """Run an experiment; the exit code is zero if its verdict is pass."""
    experiment = EXPERIMENTS.get(name)
    if experiment is None:
        typer.echo(f"no experiment {name!r}; see: python -m bench list", err=True)
        raise typer.Exit(2)
    passed = perform(experiment, Options(seed, scale), json_path, report)
    raise typer.Exit(0 if passed else 1)


@app.command("soak")
def run_soak(
    seed: Annotated[int, typer.Option(help="Seeds faults and load.")] = 1,
    minutes: Annotated[float, typer.Option(min=0.1, help="Of faults.")] = 0.5,
    gateways: Annotated[int, typer.Option(min=2, max=200)] = 6,
    callers: Annotated[int, typer.Option(min=1, max=100)] = 12,
    gap: Annotated[float, typer.Option(min=0.1, help="Mean s between faults.")] = 1.0,
    mutant: Annotated[str, typer.Option(help="A fault put into the gateways.")] = "",
    keep: Annotated[
        Path | None, typer.Option(help="Keep settings and logs here.")
    ] = None,
) -> None:
    """Run gateways under injected faults and check what callers and replicas see."""
    options = SoakOptions(seed, gateways, callers, minutes * 60.0, gap, mutant)
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


class Outcome(NamedTuple):
    """What a run found."""

    figures: Mapping[str, float]
    bounds: Sequence[Bound]


def perform(
    experiment: Experiment | Measurement,
    options: Options,
    json_path: Path | None,
    report: Path | None,
) -> bool:
    """Run an experiment, judge it and print the verdict."""
    began_at = time.monotonic()
    match experiment:
        case Experiment():
            outcome = run_trials(experiment, options, report)
        case Measurement():
            outcome = Outcome(*experiment.measure(options))
    for bound in outcome.bounds:
        say_bound(bound)
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
    took_s = time.monotonic() - began_at
    print(
        f"experiment={experiment.name} verdict={verdict} seed={options.seed}"
        f" took_s={took_s:.1f} {pairs}",
        flush=True,
    )
    return verdict == "pass"


class Document(TypedDict):
    """The figures of a run as JSON."""

    experiment: str
    seed: int
    scale: float
    verdict: str
    bounds: dict[str, float]
    figures: dict[str, float]


def run_trials(
    experiment: Experiment, options: Options, report: Path | None
) -> Outcome:
    """Run all trials of an experiment."""
    results = {}
    with tempfile.TemporaryDirectory(prefix="sardinehook-bench-") as directory:
        for trial in experiment.trials(options):
            folder = Path(report or directory) / trial.name
            folder.mkdir(parents=True, exist_ok=True)
            results[trial.name] = run_trial(trial, options, folder, say)
    bounds = list(experiment.evaluate(results))
    figures = dict(experiment.figures(results))
    figures["stolen_ratio"] = max(run.stolen_ratio for run in results.values())
    if report is not None:
        from bench.report import write_report

        say(f"report: {write_report(experiment, results, bounds, report)}")
    return Outcome(figures, bounds)


def say(line: str) -> None:
    """Print progress to standard error."""
    print(line, file=sys.stderr, flush=True)


def say_bound(bound: Bound) -> None:
    """Print one bound with its verdict."""
    verdict = "ok" if bound.passed else "BROKEN"
    say(
        f"  {verdict:6} {bound.name} = {bound.value:.4g}"
        f" {bound.comparison.symbol} {bound.limit:g} ({bound.source})"
    )
