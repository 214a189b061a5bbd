"""Revisions of an environment's document and their encoding in the store."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
import zstandard
from returns.result import Failure, Result

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.environment.canonical import (
    canonical_bytes,
    digest_of,
    document_from,
)
from sardinehook.environment.document import EnvironmentDocument
from sardinehook.errors import ErrorKind, Problem

__all__ = [
    "Envelope",
    "Revision",
    "decode_revision",
    "encode_revision",
    "head_key",
    "make_revision",
    "malformed_revision",
    "revision_from_envelope",
    "revision_key",
    "revision_prefix",
]

MAX_CANONICAL_BYTES = 4_194_304
MAX_ENVELOPE_BYTES = MAX_CANONICAL_BYTES + 65_536
COMPRESSION_LEVEL = 3
NUMBER_DIGITS = 12


class Revision(NamedTuple):
    """A numbered version of an environment's document.

    Numbers start at one and have no gaps. ``digest`` is that of the document's
    canonical form. The writer generates ``change_id``, by which it recognizes its own
    change if the reply to the write is lost.
    """

    number: int
    digest: str
    change_id: str
    author: str
    note: str
    document: EnvironmentDocument


class Envelope(NamedTuple):
    """The encoded form of a revision, in the store and between peers."""

    number: int
    digest: str
    change_id: str
    author: str
    note: str
    canonical: bytes


def head_key(environment: str) -> str:
    """Return the key of an environment's current revision."""
    return f"environments/{environment}/head"


def revision_prefix(environment: str) -> str:
    """Return the key prefix of an environment's past revisions."""
    return f"environments/{environment}/revisions/"


def revision_key(environment: str, number: int) -> str:
    """Return the key of a past revision; keys sort by number.

    >>> revision_key("trial", 7)
    'environments/trial/revisions/000000000007'
    """
    return f"{revision_prefix(environment)}{number:0{NUMBER_DIGITS}d}"


def make_revision(
    number: int, change_id: str, author: str, note: str, document: EnvironmentDocument
) -> Revision:
    """Create a revision and compute the digest of its document."""
    digest = digest_of(canonical_bytes(document))
    return Revision(number, digest, change_id, author, note, document)


def encode_revision(revision: Revision) -> bytes:
    """Encode a revision with MessagePack and compress it."""
    canonical = canonical_bytes(revision.document)
    envelope = Envelope(*revision[:-1], canonical)
    return zstandard.compress(msgspec.msgpack.encode(envelope), COMPRESSION_LEVEL)


def decode_revision(data: bytes) -> Result[Revision, Problem]:
    """Decode a revision, limited in size, and verify its digest."""
    try:
        packed = zstandard.ZstdDecompressor().decompress(
            data, max_output_size=MAX_ENVELOPE_BYTES, allow_extra_data=False
        )
        if len(packed) > MAX_ENVELOPE_BYTES:
            return Failure(
                malformed_revision(f"larger than {MAX_ENVELOPE_BYTES} bytes")
            )
        envelope = msgspec.msgpack.decode(packed, type=Envelope)
    except (zstandard.ZstdError, *DECODE_ERRORS) as error:
        return Failure(malformed_revision(str(error)))
    return revision_from_envelope(envelope)


def revision_from_envelope(envelope: Envelope) -> Result[Revision, Problem]:
    """Verify the digest of an envelope and parse its document."""
    if digest_of(envelope.canonical) != envelope.digest:
        return Failure(malformed_revision("the digest does not match"))
    return document_from(envelope.canonical).map(
        lambda document: Revision(*envelope[:-1], document)
    )


def malformed_revision(detail: str) -> Problem:
    """Return the problem of a revision that can't be decoded."""
    return Problem(ErrorKind.INVALID_DOCUMENT, f"malformed revision: {detail}")
