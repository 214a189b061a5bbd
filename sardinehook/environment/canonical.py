"""Canonical serialization of documents, over which the digest is computed."""

from __future__ import annotations

import hashlib

import msgspec
from pydantic import ConfigDict, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from sardinehook.environment.document import EnvironmentDocument
from sardinehook.errors import ErrorKind, Problem

__all__ = ["canonical_bytes", "digest_of", "document_from", "plain"]

Plain = None | bool | int | float | str | list["Plain"] | dict[str, "Plain"]

ENCODER = msgspec.json.Encoder(order="deterministic")
ADAPTER = TypeAdapter(EnvironmentDocument, config=ConfigDict(strict=True))


def plain(value: object) -> Plain:
    """Convert typed data to JSON types, omitting fields that have their default value.

    A field added by a later version therefore leaves digests unchanged until it is set.
    """
    if isinstance(value, str):
        return str(value)
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, dict):
        return {str(key): plain(item) for key, item in value.items()}
    assert isinstance(value, list | tuple)
    names: tuple[str, ...] = getattr(value, "_fields", ())
    if not names:
        return [plain(item) for item in value]
    defaults: dict[str, object] = getattr(value, "_field_defaults", {})
    return {
        name: plain(field)
        for name, field in zip(names, value, strict=True)
        if name not in defaults or field != defaults[name]
    }


def canonical_bytes(document: EnvironmentDocument) -> bytes:
    """Serialize a document as JSON with sorted keys and without default values."""
    return ENCODER.encode(plain(document))


def digest_of(canonical: bytes) -> str:
    """Return the SHA-256 digest of a canonical form, in hexadecimal."""
    return hashlib.sha256(canonical).hexdigest()


def document_from(canonical: bytes) -> Result[EnvironmentDocument, Problem]:
    """Parse and validate a canonical form."""
    try:
        return Success(ADAPTER.validate_json(canonical))
    except ValidationError as error:
        detail = f"malformed document: {error.error_count()} validation errors"
        return Failure(Problem(ErrorKind.INVALID_DOCUMENT, detail))
