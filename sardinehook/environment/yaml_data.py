"""Parse untrusted YAML into plain data, with the line number of each key."""

from __future__ import annotations

from typing import NamedTuple

import yaml
from returns.result import Failure, Result, Success
from yaml.constructor import SafeConstructor

__all__ = ["Data", "Path", "YamlData", "YamlFault", "read_yaml"]

MAX_DOCUMENT_BYTES = 4_194_304
MAX_DEPTH = 20

Data = None | bool | int | float | str | list["Data"] | dict[str, "Data"]
Path = tuple[str | int, ...]

try:
    from yaml import CSafeLoader as Loader
except ImportError:  # PyYAML was built without LibYAML
    from yaml import SafeLoader as Loader  # type: ignore[assignment]

TEXT_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}" for name in ("str", "timestamp", "value", "merge")
)
SCALAR_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}" for name in ("null", "bool", "int", "float")
)


class YamlFault(NamedTuple):
    """Why a text is rejected; ``line`` counts from one."""

    line: int
    key: str
    message: str


class YamlData(NamedTuple):
    """Plain data, and the line number of each path."""

    data: Data
    lines: dict[Path, int]

    def line(self, path: Path) -> int:
        """Return the line of a path, or of its nearest enclosing path.

        >>> YamlData({}, {(): 1, ("a",): 3}).line(("a", "b", 0))
        3
        """
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class FaultError(Exception):
    """Carries a ``YamlFault`` out of the recursive conversion."""

    def __init__(self, node: yaml.Node, path: Path, message: str) -> None:
        super().__init__(message)
        self.fault = YamlFault(node.start_mark.line + 1, dotted(path), message)


def dotted(path: Path) -> str:
    """Format a path as a dotted key.

    >>> dotted(("indexes", "logfinder", 0))
    'indexes.logfinder[0]'
    """
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def read_yaml(text: str) -> Result[YamlData, YamlFault]:
    """Parse an untrusted text.

    Accepts a single document of plain mappings, sequences and scalars, of limited size
    and depth, without anchors, aliases, custom tags or duplicate keys.
    """
    if len(text.encode(errors="replace")) > MAX_DOCUMENT_BYTES:
        return Failure(YamlFault(1, "", f"larger than {MAX_DOCUMENT_BYTES} bytes"))
    try:
        fault = structural_fault(text)
        if fault is not None:
            return Failure(fault)
        node = yaml.compose(text, Loader=Loader)
        if node is None:
            return Failure(YamlFault(1, "", "the file is empty"))
        lines: dict[Path, int] = {}
        return Success(YamlData(convert(node, (), lines), lines))
    except yaml.YAMLError as error:
        return Failure(syntax_fault(error))
    except FaultError as error:
        return Failure(error.fault)


def structural_fault(text: str) -> YamlFault | None:
    """Check nesting, anchors and the number of documents without building nodes."""
    depth = 0
    documents = 0
    for event in yaml.parse(text, Loader=Loader):
        line = event.start_mark.line + 1 if event.start_mark else 1
        documents += isinstance(event, yaml.DocumentStartEvent)
        if documents > 1:
            return YamlFault(line, "", "more than one document")
        if getattr(event, "anchor", None) is not None:
            return YamlFault(line, "", "anchors and aliases are not allowed")
        depth += isinstance(event, yaml.CollectionStartEvent)
        depth -= isinstance(event, yaml.CollectionEndEvent)
        if depth > MAX_DEPTH:
            return YamlFault(line, "", f"nested deeper than {MAX_DEPTH} levels")
    return None


def syntax_fault(error: yaml.YAMLError) -> YamlFault:
    """Convert an error of the parser to a fault with its line."""
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark is not None else 1
    message = getattr(error, "problem", None) or str(error).splitlines()[0]
    return YamlFault(line, "", f"invalid YAML: {message}")


def convert(node: yaml.Node, path: Path, lines: dict[Path, int]) -> Data:
    """Convert a node to plain data and record the line of each path."""
    lines[path] = node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        return convert_mapping(node, path, lines)
    if isinstance(node, yaml.SequenceNode):
        if node.tag != "tag:yaml.org,2002:seq":
            raise FaultError(node, path, f"tag {node.tag} is not allowed")
        return [
            convert(item, (*path, position), lines)
            for position, item in enumerate(node.value)
        ]
    return convert_scalar(node, path)


def convert_mapping(
    node: yaml.MappingNode, path: Path, lines: dict[Path, int]
) -> dict[str, Data]:
    """Convert a mapping; keys must be strings and unique."""
    if node.tag != "tag:yaml.org,2002:map":
        raise FaultError(node, path, f"tag {node.tag} is not allowed")
    mapping: dict[str, Data] = {}
    for key_node, value_node in node.value:
        key = convert_key(key_node, path)
        if key in mapping:
            raise FaultError(key_node, (*path, key), "duplicate key")
        mapping[key] = convert(value_node, (*path, key), lines)
        lines[(*path, key)] = key_node.start_mark.line + 1
    return mapping


def convert_key(node: yaml.Node, path: Path) -> str:
    """Convert the key of a mapping, which must be a string."""
    if not isinstance(node, yaml.ScalarNode) or node.tag not in TEXT_TAGS:
        raise FaultError(node, path, "a key must be a string; quote it")
    return str(node.value)


def convert_scalar(node: yaml.Node, path: Path) -> Data:
    """Convert a scalar; only the standard scalar types of YAML are allowed."""
    if node.tag in TEXT_TAGS:
        return str(node.value)
    if node.tag not in SCALAR_TAGS:
        raise FaultError(node, path, f"tag {node.tag} is not allowed")
    try:
        value: Data = SafeConstructor().construct_object(node)
    except (ValueError, KeyError, yaml.YAMLError) as error:
        raise FaultError(node, path, "malformed number or boolean") from error
    if isinstance(value, float) and value - value != 0.0:
        raise FaultError(node, path, "a number must be finite")
    return value
