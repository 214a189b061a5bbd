"""Memory of a process as the kernel counts it."""

from __future__ import annotations

import os
from pathlib import Path

__all__ = ["resident_bytes"]

RESIDENT_FIELD = 1  # of statm, in pages


def resident_bytes(pid: int | None = None) -> int:
    """Return the resident memory in bytes, 0 where the kernel doesn't tell.

    ``pid`` is another process than this one.

    >>> resident_bytes() > 1_000_000
    True
    """
    try:
        statm = Path(f"/proc/{'self' if pid is None else pid}/statm")
        pages = int(statm.read_text(encoding="ascii").split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
