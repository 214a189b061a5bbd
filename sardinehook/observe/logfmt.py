"""Parser for the logfmt lines of the event log."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import NamedTuple

from sardinehook.observe.clock import MAX_STAMP

__all__ = ["LogLine", "ParsedLog", "parse_line", "parse_log"]

MAX_LINE_CHARACTERS = 65_536
PAIR = re.compile(r'([a-z_]+)=(?:"((?:[^"\\]|\\.)*)"|([^ "]*))(?: |$)')
ESCAPE_SEQUENCE = re.compile(r"\\(.)")
HEADER_FIELDS = frozenset({"stamp", "time", "level", "event", "process", "data_centre"})


class LogLine(NamedTuple):
    """One logged event; ``fields`` holds all but the header fields."""

    stamp: int
    event: str
    process: str
    data_centre: str
    fields: dict[str, str]


class ParsedLog(NamedTuple):
    """The events of a log, and the number of malformed lines."""

    lines: list[LogLine]
    malformed: int


def parse_line(text: str) -> LogLine | None:
    r"""Parse one line as ``configure_logging`` writes it; None if malformed.

    >>> parse_line('stamp=5 event=a process=p detail="no \\"x\\""').fields
    {'detail': 'no "x"'}
    """
    pairs = parse_pairs(text)
    if pairs is None or not {"stamp", "event", "process"} <= pairs.keys():
        return None
    stamp = pairs["stamp"]
    if not (stamp.isascii() and stamp.isdecimal() and len(stamp) < 20):
        return None
    if int(stamp) > MAX_STAMP:
        return None
    return LogLine(
        stamp=int(stamp),
        event=pairs["event"],
        process=pairs["process"],
        data_centre=pairs.get("data_centre", ""),
        fields={key: pairs[key] for key in pairs if key not in HEADER_FIELDS},
    )


def parse_pairs(text: str) -> dict[str, str] | None:
    """Parse the key=value pairs of a line; None if it contains anything else."""
    text = text.rstrip("\n")
    if not text or len(text) > MAX_LINE_CHARACTERS:
        return None
    pairs: dict[str, str] = {}
    position = 0
    while position < len(text):
        match = PAIR.match(text, position)
        if match is None:
            return None
        key, quoted, plain = match.groups()
        pairs[key] = plain if quoted is None else ESCAPE_SEQUENCE.sub(r"\1", quoted)
        position = match.end()
    return pairs


def parse_log(lines: Iterable[str]) -> ParsedLog:
    """Parse lines, counting malformed ones and ignoring blank ones."""
    parsed: list[LogLine] = []
    malformed = 0
    for text in lines:
        if not text.strip():
            continue
        line = parse_line(text)
        if line is None:
            malformed += 1
        else:
            parsed.append(line)
    return ParsedLog(parsed, malformed)
