"""A revision of an environment's document, as the platform's service holds it."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
import zstandard
from returns.result import Failure, Result

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
    """A document with its place in the history of its environment.

    ``number`` counts from one without gaps. ``digest`` is that of the document's
    canonical form. ``change_id`` is drawn by the writer, so that a writer whose reply
    was lost recognizes its own change.
    """

    number: int
    digest: str
    change_id: str
    author: str
    note: str
    document: EnvironmentDocument


class Envelope(NamedTuple):
    """The stored form of a revision."""

    number: int
    digest: str
    change_id: str
    author: str
    note: str
    canonical: bytes


def head_key(environment: str) -> str:
    """The key that holds the whole current revision of an environment."""
    return f"environments/{environment}/head"


def revision_prefix(environment: str) -> str:
    """What the keys of all past revisions of an environment start with."""
    return f"environments/{environment}/revisions/"


def revision_key(environment: str, number: int) -> str:
    """The key that holds one revision; keys sort by number.

    >>> revision_key("trial", 7)
    'environments/trial/revisions/000000000007'
    """
    return f"{revision_prefix(environment)}{number:0{NUMBER_DIGITS}d}"


def make_revision(
    number: int, change_id: str, author: str, note: str, document: EnvironmentDocument
) -> Revision:
    """Make a revision with the digest of its document."""
    digest = digest_of(canonical_bytes(document))
    return Revision(number, digest, change_id, author, note, document)


def encode_revision(revision: Revision) -> bytes:
    """Encode and compress a revision."""
    canonical = canonical_bytes(revision.document)
    envelope = Envelope(*revision[:-1], canonical)
    return zstandard.compress(msgspec.msgpack.encode(envelope), COMPRESSION_LEVEL)


def decode_revision(data: bytes) -> Result[Revision, Problem]:
    """Decode a revision and verify its digest."""
    try:
        packed = zstandard.ZstdDecompressor().decompress(
            data, max_output_size=MAX_ENVELOPE_BYTES, allow_extra_data=False
        )
        if len(packed) > MAX_ENVELOPE_BYTES:
            return Failure(malformed_revision("too large"))
        envelope = msgspec.msgpack.decode(packed, type=Envelope)
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        return Failure(malformed_revision(str(error)))
    return revision_from_envelope(envelope)


def revision_from_envelope(envelope: Envelope) -> Result[Revision, Problem]:
    """Make a revision from its stored form and verify the digest."""
    if digest_of(envelope.canonical) != envelope.digest:
        return Failure(malformed_revision("the digest does not match"))
    return document_from(envelope.canonical).map(
        lambda document: Revision(*envelope[:-1], document)
    )


def malformed_revision(detail: str) -> Problem:
    """The problem of a revision that can't be taken."""
    return Problem(ErrorKind.INVALID_DOCUMENT, f"malformed revision: {detail}")
