"""What all scripts share: the folder, the record, the clean end and the exit code."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins_2.deployment import REPOSITORY, Deployment, Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    number: int,
    zones: list[str],
    play: Callable[[Deployment, Record], Awaitable[bool | None]],
) -> None:
    """Run a case in a temporary folder, and exit with its code.

    ``play`` returns whether the rule held, ``None`` if the case could not run.
    """
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    record = Record(REPOSITORY / f"review/{number}/record.txt")
    record.write(f"case {number}, trouble {'on' if has_trouble() else 'off'}")
    code = NOT_RUN

    async def run() -> bool | None:
        task = asyncio.current_task()
        if task is not None:
            # What the case has started ends with it, also when it is stopped.
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(zones, Path(folder), record)
            try:
                async with asyncio.timeout(LIMIT_S):
                    return await play(deployment, record)
            finally:
                await deployment.stop()

    try:
        held = asyncio.run(run())
        code = NOT_RUN if held is None else HELD if held else BROKEN
    except (asyncio.CancelledError, KeyboardInterrupt):
        record.write("stopped by a signal")
    except Exception:
        record.write(traceback.format_exc())
        traceback.print_exc()
    record.write(f"exit code {code}")
    record.close()
    sys.exit(code)
