"""Delta compression of canonical documents, with an older one as dictionary."""

from __future__ import annotations

import zstandard
from returns.result import Failure, Result, Success

from sardinehook.environment.revision import MAX_CANONICAL_BYTES, malformed_revision
from sardinehook.errors import Problem

__all__ = ["NO_BASE", "apply_delta", "make_delta"]

NO_BASE = b""
COMPRESSION_LEVEL = 3
WINDOW_LOG = 23  # 8 MiB: a base and a document of the maximum size


def dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    """Return the older document as a raw-content dictionary."""
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)


def make_delta(base: bytes, canonical: bytes) -> bytes:
    """Compress a canonical form against ``base``, or on its own if that is empty.

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
    """Decompress a canonical form. The caller must verify its digest."""
    decompressor = zstandard.ZstdDecompressor(
        dict_data=dictionary(base) if base else None,
        max_window_size=1 << WINDOW_LOG,
    )
    try:
        size = zstandard.frame_content_size(delta)
        if not 0 <= size <= MAX_CANONICAL_BYTES:
            detail = f"size is {size} bytes, must be 0 to {MAX_CANONICAL_BYTES}"
            return Failure(malformed_revision(detail))
        return Success(
            decompressor.decompress(delta, max_output_size=MAX_CANONICAL_BYTES)
        )
    except zstandard.ZstdError as error:
        return Failure(malformed_revision(str(error)))
