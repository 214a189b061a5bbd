"""Tests of the ``timeline`` command."""

from __future__ import annotations

from pathlib import Path

from typer.testing import CliRunner

from sardinehook.cli.app import app

LOG = (
    "stamp=65536 event=query_received process=p1 data_centre=d request=r-1\n"
    "stamp=131072 event=query_answered process=p1 data_centre=d request=r-1\n"
    "stamp=98304 event=revision_in_force process=p1 data_centre=d revision=3\n"
    "broken\n"
)


class TestTimelineCommand:
    def test_prints_the_events_of_a_request(self, tmp_path: Path) -> None:
        log = tmp_path / "p1.log"
        log.write_text(LOG)
        result = CliRunner().invoke(app, ["timeline", str(log), "--request", "r-1"])
        assert result.exit_code == 0
        rows = result.output.splitlines()
        assert [row.split()[3] for row in rows[:2]] == [
            "query_received",
            "query_answered",
        ]
        assert rows[2:] == [
            "2 events of 1 processes in 1 ms",
            "1 malformed lines left out",
        ]

    def test_writes_an_html_page(self, tmp_path: Path) -> None:
        log, page = tmp_path / "p1.log", tmp_path / "page.html"
        log.write_text(LOG)
        result = CliRunner().invoke(app, ["timeline", str(log), "--html", str(page)])
        assert result.exit_code == 0
        assert page.read_text().startswith("<!doctype html>")

    def test_missing_file_is_a_one_line_error(self, tmp_path: Path) -> None:
        result = CliRunner().invoke(app, ["timeline", str(tmp_path / "absent")])
        assert result.exit_code == 1
        assert "invalid_settings" in result.output
