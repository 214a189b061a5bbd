"""Tests that alerts and dashboard use existing metrics and documentation pages."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
import yaml
from prometheus_client.metrics import MetricWrapperBase

from sardinehook.observe.metrics import Metrics

ROOT = Path(__file__).parents[2]
DATA = ROOT / "sardinehook" / "observe" / "data"
METRIC = re.compile(r"(sardinehook_\w+)(?:\{([^}]*)\})?")
SUFFIXES = {
    "counter": ("_total",),
    "gauge": ("",),
    "histogram": ("_bucket", "_sum", "_count"),
}


class Rule(NamedTuple):
    name: str
    expression: str
    page: str


def alerts() -> list[Rule]:
    data = yaml.safe_load((DATA / "alerts.yaml").read_text())
    return [
        Rule(rule["alert"], rule["expr"], rule["annotations"]["page"])
        for group in data["groups"]
        for rule in group["rules"]
    ]


def panels() -> list[Rule]:
    data = json.loads((DATA / "dashboard.json").read_text())
    return [
        Rule(panel["title"], target["expr"], panel["description"])
        for panel in data["panels"]
        for target in panel["targets"]
    ]


def known_labels() -> dict[str, set[str]]:
    """Return the label names of each sample that the metrics can render."""
    known = {}
    for metric in vars(Metrics()).values():
        if isinstance(metric, MetricWrapperBase):
            (family,) = metric.describe()
            labels = {*metric._labelnames, "le", "instance"}
            for suffix in SUFFIXES[family.type]:
                known[family.name + suffix] = labels
    return known


def headings(page: Path) -> Iterator[str]:
    for line in page.read_text().splitlines():
        if line.startswith("#"):
            yield line.lstrip("# ").lower().replace(" ", "-")


RULES = [*alerts(), *panels()]


class TestRules:
    @pytest.mark.parametrize("rule", RULES, ids=lambda rule: rule.name)
    def test_each_metric_and_label_exists(self, rule: Rule) -> None:
        known = known_labels()
        used = METRIC.findall(rule.expression)
        assert used
        for name, selector in used:
            assert name in known
            assert set(re.findall(r"(\w+)=", selector)) <= known[name]

    @pytest.mark.parametrize("rule", RULES, ids=lambda rule: rule.name)
    def test_each_page_and_section_exists(self, rule: Rule) -> None:
        name, _, section = rule.page.partition("#")
        page = ROOT / name
        assert page.is_file()
        assert not section or section in set(headings(page))

    def test_unknown_metric_is_not_a_known_sample(self) -> None:
        assert "sardinehook_revision" in known_labels()
        assert "sardinehook_revision_total" not in known_labels()
