"""``python -m bench``: the commands of the bench, once their libraries are there."""

from __future__ import annotations

import sys
from importlib.util import find_spec

LIBRARIES = ("hdrh", "matplotlib", "numpy", "psutil", "pynng")


def main() -> None:
    """Run a command, or say what has to be installed first."""
    missing = [name for name in LIBRARIES if find_spec(name) is None]
    if missing:
        sys.exit(
            f"the bench needs {', '.join(missing)}: "
            "run ./check once, or pip install -e '.[bench]' where ./demo installs"
        )
    from bench.commands import app

    app()


if __name__ == "__main__":
    main()
