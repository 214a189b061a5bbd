"""Load YAML into typed data, reporting each problem with file and line."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Annotated, TypeVar, get_args, get_origin, get_type_hints

from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic_core import ErrorDetails
from returns.result import Failure, Result, Success

from sardinehook.environment.document import EnvironmentDocument
from sardinehook.environment.document_rules import RuleViolation, rule_violations
from sardinehook.environment.yaml_data import Data, Path, YamlData, dotted, read_yaml
from sardinehook.errors import ErrorKind, Problem

__all__ = ["load_document", "load_yaml"]

Model = TypeVar("Model")

MAX_PROBLEMS = 20  # reported for one file
MAX_ECHO_CHARACTERS = 40


def load_document(
    text: str, file_name: str
) -> Result[EnvironmentDocument, tuple[Problem, ...]]:
    """Load an environment document and check its consistency rules.

    >>> load_document("environment: 3", "a.yaml").failure()[0].detail
    'a.yaml:1: environment: Input should be a valid string, got 3'
    """
    match read_yaml(text):
        case Success(source):
            loaded = validate(
                EnvironmentDocument, source, file_name, ErrorKind.INVALID_DOCUMENT
            )
            return loaded.bind(
                lambda document: check_rules(document, source, file_name)
            )
    return load_yaml(EnvironmentDocument, text, file_name, ErrorKind.INVALID_DOCUMENT)


def load_yaml(
    model: type[Model], text: str, file_name: str, kind: ErrorKind
) -> Result[Model, tuple[Problem, ...]]:
    """Load YAML into a named tuple in strict mode: no unknown keys, no type coercion.

    Each problem is of the given kind and reads ``file:line: key: message``.
    """
    match read_yaml(text):
        case Success(source):
            return validate(model, source, file_name, kind)
        case Failure(fault):
            key = f"{fault.key}: " if fault.key else ""
            detail = f"{file_name}:{fault.line}: {key}{fault.message}"
            return Failure((Problem(kind, detail),))
    raise AssertionError


def validate(
    model: type[Model], source: YamlData, file_name: str, kind: ErrorKind
) -> Result[Model, tuple[Problem, ...]]:
    """Validate parsed YAML against the schema of a named tuple."""
    misplaced = tuple(non_mappings(model, source.data, ()))
    if misplaced:
        message = "Input should be a mapping"
        return Failure(
            tuple(
                to_problem(path, message, source, file_name, kind)
                for path in misplaced[:MAX_PROBLEMS]
            )
        )
    adapter = TypeAdapter(model, config=ConfigDict(strict=True))
    try:
        return Success(adapter.validate_json(json.dumps(source.data)))
    except ValidationError as error:
        details = error.errors(include_url=False, include_context=False)
        details.sort(key=lambda detail: detail["type"] != "extra_forbidden")
        return Failure(
            tuple(
                to_problem(path_of(detail), explain(detail), source, file_name, kind)
                for detail in details[:MAX_PROBLEMS]
            )
        )


def non_mappings(model: object, data: Data, path: Path) -> Iterator[Path]:
    """Yield the paths that must be mappings but are not.

    Pydantic would accept a list for a named tuple.
    """
    if get_origin(model) is Annotated:
        yield from non_mappings(get_args(model)[0], data, path)
    elif isinstance(model, type) and hasattr(model, "_fields"):
        if not isinstance(data, dict):
            yield path
            return
        hints = get_type_hints(model, include_extras=True)
        for name in hints.keys() & data.keys():
            yield from non_mappings(hints[name], data[name], (*path, name))
    elif get_origin(model) is dict and isinstance(data, dict):
        for key, value in data.items():
            yield from non_mappings(get_args(model)[1], value, (*path, key))
    elif get_origin(model) in (list, tuple) and isinstance(data, list):
        for position, value in enumerate(data):
            yield from non_mappings(get_args(model)[0], value, (*path, position))


def path_of(detail: ErrorDetails) -> Path:
    """Return the path of a validation error."""
    return tuple(part for part in detail["loc"] if part != "[key]")


def explain(detail: ErrorDetails) -> str:
    """Return the message of a validation error, with the input if it is short."""
    if detail["type"] in ("missing", "extra_forbidden"):
        return {"missing": "is missing", "extra_forbidden": "unknown key"}[
            detail["type"]
        ]
    echoed = json.dumps(detail["input"], default=str)
    message = detail["msg"].replace("\n", " ")
    return f"{message}, got {echoed}" if len(echoed) <= MAX_ECHO_CHARACTERS else message


def to_problem(
    path: Path, message: str, source: YamlData, file_name: str, kind: ErrorKind
) -> Problem:
    """Return a problem whose message starts with file, line and key."""
    key = dotted(path) or "document"
    return Problem(kind, f"{file_name}:{source.line(path)}: {key}: {message}")


def check_rules(
    document: EnvironmentDocument, source: YamlData, file_name: str
) -> Result[EnvironmentDocument, tuple[Problem, ...]]:
    """Check the consistency rules; report up to ``MAX_PROBLEMS`` violations."""
    violations: list[RuleViolation] = list(rule_violations(document))
    if not violations:
        return Success(document)
    return Failure(
        tuple(
            to_problem(
                violation.path,
                violation.message,
                source,
                file_name,
                ErrorKind.INVALID_DOCUMENT,
            )
            for violation in violations[:MAX_PROBLEMS]
        )
    )
