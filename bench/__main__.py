"""Entry point of ``python -m bench``; checks first that its libraries exist."""

from __future__ import annotations

import sys
from importlib.util import find_spec

LIBRARIES = ("hdrh", "matplotlib", "numpy", "psutil", "pynng")


def main() -> None:
    """Run a command; exit with a message if required libraries are missing."""
    missing = [name for name in LIBRARIES if find_spec(name) is None]
    if missing:
        sys.exit(
            f"python -m bench requires {', '.join(missing)}, not installed: "
            "run ./check once, or pip install -e '.[bench]' where ./demo installs"
        )
    from bench.commands import app

    app()


if __name__ == "__main__":
    main()
