"""Load YAML into typed data, with one line for each problem found."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Annotated, TypeVar, get_args, get_origin, get_type_hints

from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic_core import ErrorDetails
from returns.result import Failure, Result, Success

from sardinehook.environment.document import EnvironmentDocument
from sardinehook.environment.document_rules import BrokenRule, broken_rules
from sardinehook.environment.yaml_data import Data, Path, YamlData, dotted, read_yaml
from sardinehook.errors import ErrorKind, Problem

__all__ = ["load_document", "load_yaml"]

Model = TypeVar("Model")

PROBLEMS = 20  # reported at once
ECHO_CHARACTERS = 40


def load_document(
    text: str, file_name: str
) -> Result[EnvironmentDocument, tuple[Problem, ...]]:
    """Load an environment document and check that its parts agree.

    >>> load_document("environment: 3", "a.yaml").failure()[0].detail
    'a.yaml:1: environment: Input should be a valid string, got 3'
    """
    match read_yaml(text):
        case Success(found):
            loaded = validate(
                EnvironmentDocument, found, file_name, ErrorKind.INVALID_DOCUMENT
            )
            return loaded.bind(lambda document: check_rules(document, found, file_name))
    return load_yaml(EnvironmentDocument, text, file_name, ErrorKind.INVALID_DOCUMENT)


def load_yaml(
    model: type[Model], text: str, file_name: str, kind: ErrorKind
) -> Result[Model, tuple[Problem, ...]]:
    """Load YAML into a named tuple, strictly: no unknown keys, no conversions.

    Each problem is one line, ``file:line: key: message``, of the given kind.
    """
    match read_yaml(text):
        case Success(found):
            return validate(model, found, file_name, kind)
        case Failure(fault):
            key = f"{fault.key}: " if fault.key else ""
            detail = f"{file_name}:{fault.line}: {key}{fault.message}"
            return Failure((Problem(kind, detail),))
    raise AssertionError


def validate(
    model: type[Model], found: YamlData, file_name: str, kind: ErrorKind
) -> Result[Model, tuple[Problem, ...]]:
    """Validate plain data against a named tuple."""
    shapes = tuple(wrong_shapes(model, found.data, ()))
    if shapes:
        message = "Input should be a mapping"
        return Failure(
            tuple(
                to_problem(path, message, found, file_name, kind)
                for path in shapes[:PROBLEMS]
            )
        )
    adapter = TypeAdapter(model, config=ConfigDict(strict=True))
    try:
        return Success(adapter.validate_json(json.dumps(found.data)))
    except ValidationError as error:
        details = error.errors(include_url=False, include_context=False)
        details.sort(key=lambda detail: detail["type"] != "extra_forbidden")
        return Failure(
            tuple(
                to_problem(key_of(detail), explain(detail), found, file_name, kind)
                for detail in details[:PROBLEMS]
            )
        )


def wrong_shapes(model: object, data: Data, path: Path) -> Iterator[Path]:
    """Find what should be a mapping but is not; a list would pass for a tuple."""
    if get_origin(model) is Annotated:
        yield from wrong_shapes(get_args(model)[0], data, path)
    elif isinstance(model, type) and hasattr(model, "_fields"):
        if not isinstance(data, dict):
            yield path
            return
        hints = get_type_hints(model, include_extras=True)
        for name in hints.keys() & data.keys():
            yield from wrong_shapes(hints[name], data[name], (*path, name))
    elif get_origin(model) is dict and isinstance(data, dict):
        for key, value in data.items():
            yield from wrong_shapes(get_args(model)[1], value, (*path, key))
    elif get_origin(model) in (list, tuple) and isinstance(data, list):
        for place, value in enumerate(data):
            yield from wrong_shapes(get_args(model)[0], value, (*path, place))


def key_of(detail: ErrorDetails) -> Path:
    """The path of a validation error."""
    return tuple(part for part in detail["loc"] if part != "[key]")


def explain(detail: ErrorDetails) -> str:
    """One line about a validation error, with the value if it is short."""
    if detail["type"] in ("missing", "extra_forbidden"):
        return {"missing": "is missing", "extra_forbidden": "unknown key"}[
            detail["type"]
        ]
    echoed = json.dumps(detail["input"], default=str)
    message = detail["msg"].replace("\n", " ")
    return f"{message}, got {echoed}" if len(echoed) <= ECHO_CHARACTERS else message


def to_problem(
    path: Path, message: str, found: YamlData, file_name: str, kind: ErrorKind
) -> Problem:
    """Write a problem as one line with file, line and key."""
    key = dotted(path) or "document"
    return Problem(kind, f"{file_name}:{found.line(path)}: {key}: {message}")


def check_rules(
    document: EnvironmentDocument, found: YamlData, file_name: str
) -> Result[EnvironmentDocument, tuple[Problem, ...]]:
    """Check that the parts of a document agree with each other."""
    broken: list[BrokenRule] = list(broken_rules(document))
    if not broken:
        return Success(document)
    return Failure(
        tuple(
            to_problem(
                rule.path, rule.message, found, file_name, ErrorKind.INVALID_DOCUMENT
            )
            for rule in broken[:PROBLEMS]
        )
    )
