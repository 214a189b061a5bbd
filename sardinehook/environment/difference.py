"""Comparison of two documents, value by value."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import NamedTuple

from sardinehook.environment.canonical import Plain, plain
from sardinehook.environment.document import EnvironmentDocument

__all__ = ["Difference", "differences"]

ABSENT = "(absent)"
MAX_VALUE_CHARACTERS = 60


class Difference(NamedTuple):
    """A changed value: ``key`` is its path; the values are abbreviated JSON."""

    key: str
    old: str
    new: str

    def line(self) -> str:
        """Format the difference for display.

        >>> Difference("limits.request_bytes", "1", "2").line()
        'limits.request_bytes: 1 -> 2'
        """
        return f"{self.key}: {self.old} -> {self.new}"


def differences(old: EnvironmentDocument, new: EnvironmentDocument) -> list[Difference]:
    """List all values that differ; a field with its default value counts as absent."""
    return list(compare_values(plain(old), plain(new), ""))


def compare_values(old: Plain, new: Plain, key: str) -> Iterator[Difference]:
    """Yield the differences between two values of the same key, recursively."""
    if old == new:
        return
    old, new = key_by_name(old), key_by_name(new)
    if not isinstance(old, dict) or not isinstance(new, dict):
        yield Difference(key, abbreviated_json(old), abbreviated_json(new))
        return
    for name in [*old, *(name for name in new if name not in old)]:
        inner = f"{key}.{name}" if key else name
        if name not in old:
            yield Difference(inner, ABSENT, abbreviated_json(new[name]))
        elif name not in new:
            yield Difference(inner, abbreviated_json(old[name]), ABSENT)
        else:
            yield from compare_values(old[name], new[name], inner)


def key_by_name(value: Plain) -> Plain:
    """Convert a list of named items, such as replicas, to a mapping by name."""
    if not isinstance(value, list) or not value:
        return value
    names = [item.get("name") if isinstance(item, dict) else None for item in value]
    if None in names:
        return value
    return {str(name): item for name, item in zip(names, value, strict=True)}


def abbreviated_json(value: Plain) -> str:
    """Serialize a value as JSON, truncated to ``MAX_VALUE_CHARACTERS``."""
    text = json.dumps(value, ensure_ascii=False)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."
