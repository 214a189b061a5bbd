"""The command of the bench: list experiments and run one."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from bench.catalog import EXPERIMENTS
from bench.experiment import Bound, Experiment, Options
from bench.run_trial import run_trial

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


def perform(
    experiment: Experiment,
    options: Options,
    json_path: Path | None,
    report: Path | None,
) -> bool:
    """Run all trials, judge them and print the verdict."""
    began_at = time.monotonic()
    results = {}
    with tempfile.TemporaryDirectory(prefix="sardinehook-bench-") as directory:
        for trial in experiment.trials(options):
            folder = Path(report or directory) / trial.name
            folder.mkdir(parents=True, exist_ok=True)
            results[trial.name] = run_trial(trial, options, folder, say)
    bounds = list(experiment.judge(results))
    figures = dict(experiment.figures(results))
    passed = all(bound.passed for bound in bounds)
    for bound in bounds:
        say_bound(bound)
    if report is not None:
        from bench.report import write_report

        say(f"report: {write_report(experiment, results, bounds, report)}")
    if json_path is not None:
        document = {
            "experiment": experiment.name,
            "seed": options.seed,
            "scale": options.scale,
            "verdict": "pass" if passed else "fail",
            "bounds": {bound.name: bound.value for bound in bounds},
            "figures": figures,
        }
        json_path.write_bytes(msgspec.json.format(msgspec.json.encode(document)))
    figures["stolen_ratio"] = max(run.stolen_ratio for run in results.values())
    shown = {**{bound.name: bound.value for bound in bounds}, **figures}
    pairs = " ".join(f"{key}={value:.4g}" for key, value in shown.items())
    took_s = time.monotonic() - began_at
    verdict = "pass" if passed else "fail"
    print(
        f"experiment={experiment.name} verdict={verdict} seed={options.seed}"
        f" took_s={took_s:.1f} {pairs}",
        flush=True,
    )
    return passed


def say(line: str) -> None:
    """Print progress to standard error."""
    print(line, file=sys.stderr, flush=True)


def say_bound(bound: Bound) -> None:
    """Print one bound with its verdict."""
    verdict = "ok" if bound.passed else "BROKEN"
    say(
        f"  {verdict:6} {bound.name} = {bound.value:.4g}"
        f" {bound.relation.sign} {bound.limit:g} ({bound.source})"
    )


if __name__ == "__main__":
    app()
