"""Differences between canonical documents, compressed against the older one."""

from __future__ import annotations

import zstandard
from returns.result import Failure, Result, Success

from sardinehook.environment.revision import CANONICAL_BYTES, refusal
from sardinehook.errors import Problem

__all__ = ["NO_BASE", "apply_delta", "make_delta"]

NO_BASE = b""
COMPRESSION_LEVEL = 3
WINDOW_LOG = 23  # covers CANONICAL_BYTES twice


def dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    """The older document as a dictionary without a header."""
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)


def make_delta(base: bytes, canonical: bytes) -> bytes:
    """Compress a canonical form against an older one, or alone if that is empty.

    >>> old, new = b"abcdefgh" * 100, b"abcdefgh" * 99 + b"abcdefgi"
    >>> len(make_delta(old, new)) < 40
    True
    """
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL,
        source_size=len(canonical),
        dict_size=len(base),
        window_log=WINDOW_LOG,
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=dictionary(base) if base else None,
        compression_params=parameters,
    )
    return compressor.compress(canonical)


def apply_delta(base: bytes, delta: bytes) -> Result[bytes, Problem]:
    """Restore a canonical form; the caller verifies its digest."""
    decompressor = zstandard.ZstdDecompressor(
        dict_data=dictionary(base) if base else None,
        max_window_size=1 << WINDOW_LOG,
    )
    try:
        size = zstandard.frame_content_size(delta)
        if not 0 <= size <= CANONICAL_BYTES:
            return Failure(refusal("too large"))
        return Success(decompressor.decompress(delta, max_output_size=CANONICAL_BYTES))
    except zstandard.ZstdError as error:
        return Failure(refusal(str(error)))
