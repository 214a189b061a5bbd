"""Tests of the document commands, run as subprocesses against a platform."""

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


class DocumentCli:
    """Runs commands against a platform process, with a directory of documents."""

    def __init__(self, address: str, directory: Path) -> None:
        self.address = address
        self.directory = directory

    def file(self, name: str, text: str) -> str:
        """Write a document and return its path."""
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
def cli(tmp_path: Path) -> Iterator[DocumentCli]:
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
        yield DocumentCli(f"127.0.0.1:{port}", tmp_path)
    finally:
        process.terminate()
        process.wait(TIMEOUT_S)
        assert process.stdout is not None
        process.stdout.close()


def with_deadline(deadline_ms: int, environment: str = "trial") -> str:
    """Return a document with the given deadline and environment."""
    text = TEXT.replace("deadline_ms: 150", f"deadline_ms: {deadline_ms}")
    return text.replace("environment: trial", f"environment: {environment}")


class TestBadInput:
    def test_invalid_document_is_one_error_line_and_not_written(
        self, cli: DocumentCli
    ) -> None:
        bad = cli.file("bad.yaml", TEXT.replace("slots: 2", "slots: two"))
        for command in ("check", "put", "diff"):
            completed = cli.run(command, bad)
            assert completed.returncode == 1
            assert completed.stderr.count("\n") == 1
            assert "bad.yaml:7: indexes.logfinder.slots: Input" in completed.stderr
        assert cli.run("history", "trial").stdout == ""

    def test_missing_file_and_unreachable_platform(self, cli: DocumentCli) -> None:
        assert "can't read" in cli.run("check", "nowhere.yaml").stderr
        cli.address = "127.0.0.1:1"
        completed = cli.run("show", "trial")
        assert completed.returncode == 1
        assert completed.stderr.startswith("store_unavailable: ")
        assert "Traceback" not in completed.stderr


class TestChange:
    def test_promotion_and_rollback(self, cli: DocumentCli) -> None:
        trial = cli.file("trial.yaml", with_deadline(150))
        production = cli.file("production.yaml", with_deadline(150, "production"))
        assert cli.run("put", trial).returncode == 0
        assert cli.run("put", production).returncode == 0
        edited = cli.file("edited.yaml", with_deadline(140))
        assert cli.run("put", edited, "--from", "1").returncode == 0
        untested = cli.file("untested.yaml", with_deadline(130, "production"))
        refused = cli.run("put", untested, "--from", "1")
        assert refused.returncode == 1
        assert "put it to trial and promote it" in refused.stderr
        promote = ["promote", "trial", "production", "--revision", "2", "--from", "1"]
        completed = json.loads(cli.run(*promote, "--json").stdout)
        assert (completed["outcome"], completed["revision"]) == ("accepted", 2)
        assert completed["note"] == "promoted from trial 2"
        rolled_back = cli.run("rollback", "production", "--to", "1", "--from", "2")
        assert rolled_back.stdout.startswith("accepted: production revision 3")
        shown = cli.run("show", "production", "--revision", "2").stdout
        assert "deadline_ms: 140.0" in shown
        history = json.loads(cli.run("history", "production", "--json").stdout)
        assert [past["revision"] for past in history] == [3, 2, 1]

    def test_concurrent_change_is_refused_with_differences(
        self, cli: DocumentCli
    ) -> None:
        cli.run("put", cli.file("a.yaml", with_deadline(150)), "--author", "ilona")
        other = cli.file("b.yaml", with_deadline(140))
        assert cli.run("put", other, "--from", "1", "--author", "margit").stdout
        stale = cli.file("c.yaml", with_deadline(130))
        refused = cli.run("put", stale, "--from", "1")
        assert refused.returncode == 1
        assert "workloads.storm-night.deadline_ms: 130.0 -> 140.0" in refused.stderr
        assert "revision 2 by margit is in force; nothing" in refused.stderr

    def test_lost_reply_is_resolved(self, cli: DocumentCli) -> None:
        cli.control(lose_replies=1, lose_replies_prefix="environments/trial/head")
        completed = cli.run("put", cli.file("a.yaml", TEXT))
        assert completed.returncode == 0
        assert completed.stdout.startswith("accepted: trial revision 1")


class TestStatus:
    def test_unreachable_node_is_reported(self, cli: DocumentCli) -> None:
        cli.run("put", cli.file("a.yaml", TEXT))
        assert "lists no live VM" in cli.run("status", "trial").stderr
        vm = {
            "name": "entry-1",
            "data_centre": "szolnok-b",
            "address": "127.0.0.1:1",
            "incarnation": 1,
            "state": "live",
        }
        cli.control(vms=[vm])
        completed = cli.run("status", "trial", "--json")
        assert completed.returncode == 1
        report = json.loads(completed.stdout)
        assert report["revision"] == 1
        assert report["nodes"][0]["state"] == "unreachable"
