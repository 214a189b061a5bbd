"""Tests of the document commands as an operator runs them."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.environment.documents import TEXT

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 30


class Desk:
    """A platform in a process of its own, and a directory with documents."""

    def __init__(self, address: str, directory: Path) -> None:
        self.address = address
        self.directory = directory

    def file(self, name: str, text: str) -> str:
        """Write a document."""
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a document command."""
        return subprocess.run(
            [sys.executable, "-m", "sardinehook", "document", *arguments],
            cwd=ROOT,
            env={**os.environ, "SARDINEHOOK_PLATFORM": self.address},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )

    def control(self, **faults: object) -> None:
        """Set faults of the platform."""
        body = json.dumps(faults).encode()
        url = f"http://{self.address}/control"
        urllib.request.urlopen(url, body, timeout=TIMEOUT_S).close()


@pytest.fixture
def desk(tmp_path: Path) -> Iterator[Desk]:
    """Start a platform for one test."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.platform", "--port", "0"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        port = process.stdout.readline().strip().removeprefix("ready port=")
        yield Desk(f"127.0.0.1:{port}", tmp_path)
    finally:
        process.terminate()
        process.wait(TIMEOUT_S)
        assert process.stdout is not None
        process.stdout.close()


def with_deadline(deadline_ms: int, environment: str = "trial") -> str:
    """The text of a document with a deadline."""
    text = TEXT.replace("deadline_ms: 150", f"deadline_ms: {deadline_ms}")
    return text.replace("environment: trial", f"environment: {environment}")


class TestBadInput:
    def test_one_clear_line_and_nothing_written(self, desk: Desk) -> None:
        bad = desk.file("bad.yaml", TEXT.replace("slots: 2", "slots: two"))
        for command in ("check", "put", "diff"):
            ended = desk.run(command, bad)
            assert ended.returncode == 1
            assert ended.stderr.count("\n") == 1
            assert "bad.yaml:7: indexes.logfinder.slots: Input" in ended.stderr
        assert desk.run("history", "trial").stdout == ""

    def test_missing_file_and_platform(self, desk: Desk) -> None:
        assert "can't read" in desk.run("check", "nowhere.yaml").stderr
        desk.address = "127.0.0.1:1"
        ended = desk.run("show", "trial")
        assert ended.returncode == 1
        assert ended.stderr.startswith("store_unavailable: ")
        assert "Traceback" not in ended.stderr


class TestChange:
    def test_from_trial_to_production_and_back(self, desk: Desk) -> None:
        trial = desk.file("trial.yaml", with_deadline(150))
        production = desk.file("production.yaml", with_deadline(150, "production"))
        assert desk.run("put", trial).returncode == 0
        assert desk.run("put", production).returncode == 0
        edited = desk.file("edited.yaml", with_deadline(140))
        assert desk.run("put", edited, "--from", "1").returncode == 0
        untested = desk.file("untested.yaml", with_deadline(130, "production"))
        refused = desk.run("put", untested, "--from", "1")
        assert refused.returncode == 1
        assert "put it to trial and promote it" in refused.stderr
        promote = ["promote", "trial", "production", "--revision", "2", "--from", "1"]
        ended = json.loads(desk.run(*promote, "--json").stdout)
        assert (ended["outcome"], ended["revision"]) == ("accepted", 2)
        assert ended["note"] == "promoted from trial 2"
        back = desk.run("rollback", "production", "--to", "1", "--from", "2")
        assert back.stdout.startswith("accepted: production revision 3")
        shown = desk.run("show", "production", "--revision", "2").stdout
        assert "deadline_ms: 140.0" in shown
        history = json.loads(desk.run("history", "production", "--json").stdout)
        assert [past["revision"] for past in history] == [3, 2, 1]

    def test_loser_of_a_race(self, desk: Desk) -> None:
        desk.run("put", desk.file("a.yaml", with_deadline(150)), "--author", "ilona")
        other = desk.file("b.yaml", with_deadline(140))
        assert desk.run("put", other, "--from", "1", "--author", "margit").stdout
        mine = desk.file("c.yaml", with_deadline(130))
        lost = desk.run("put", mine, "--from", "1")
        assert lost.returncode == 1
        assert "workloads.storm-night.deadline_ms: 130.0 -> 140.0" in lost.stderr
        assert "revision 2 by margit is in force; nothing" in lost.stderr

    def test_lost_reply_is_settled(self, desk: Desk) -> None:
        desk.control(lose_replies=1, lose_replies_prefix="environments/trial/head")
        ended = desk.run("put", desk.file("a.yaml", TEXT))
        assert ended.returncode == 0
        assert ended.stdout.startswith("accepted: trial revision 1")


class TestStatus:
    def test_unreachable_node_is_told(self, desk: Desk) -> None:
        desk.run("put", desk.file("a.yaml", TEXT))
        assert "lists no live VM" in desk.run("status", "trial").stderr
        vm = {
            "name": "entry-1",
            "data_centre": "szolnok-b",
            "address": "127.0.0.1:1",
            "incarnation": 1,
            "state": "live",
        }
        desk.control(vms=[vm])
        ended = desk.run("status", "trial", "--json")
        assert ended.returncode == 1
        told = json.loads(ended.stdout)
        assert told["revision"] == 1
        assert told["nodes"][0]["state"] == "unreachable"
