"""What differs between two documents, one line for each value."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import NamedTuple

from sardinehook.environment.canonical import Plain, plain
from sardinehook.environment.document import EnvironmentDocument

__all__ = ["Difference", "differences"]

ABSENT = "(absent)"
VALUE_CHARACTERS = 60


class Difference(NamedTuple):
    """A value that differs; ``key`` is its path, and the values are JSON."""

    key: str
    old: str
    new: str

    def line(self) -> str:
        """The difference for a person.

        >>> Difference("limits.request_bytes", "1", "2").line()
        'limits.request_bytes: 1 -> 2'
        """
        return f"{self.key}: {self.old} -> {self.new}"


def differences(old: EnvironmentDocument, new: EnvironmentDocument) -> list[Difference]:
    """Find every value that differs; a default counts as absent."""
    return list(compare(plain(old), plain(new), ""))


def compare(old: Plain, new: Plain, key: str) -> Iterator[Difference]:
    """Compare two values of one key."""
    if old == new:
        return
    old, new = by_name(old), by_name(new)
    if not isinstance(old, dict) or not isinstance(new, dict):
        yield Difference(key, shown(old), shown(new))
        return
    for name in [*old, *(name for name in new if name not in old)]:
        inner = f"{key}.{name}" if key else name
        if name not in old:
            yield Difference(inner, ABSENT, shown(new[name]))
        elif name not in new:
            yield Difference(inner, shown(old[name]), ABSENT)
        else:
            yield from compare(old[name], new[name], inner)


def by_name(value: Plain) -> Plain:
    """Turn a list of replicas into a mapping from name to replica."""
    if not isinstance(value, list) or not value:
        return value
    names = [item.get("name") if isinstance(item, dict) else None for item in value]
    if None in names:
        return value
    return {str(name): item for name, item in zip(names, value, strict=True)}


def shown(value: Plain) -> str:
    """A value as JSON, cut short."""
    text = json.dumps(value, ensure_ascii=False)
    if len(text) <= VALUE_CHARACTERS:
        return text
    return text[: VALUE_CHARACTERS - 3] + "..."
