"""Entry point of ``python -m sardinehook``."""

from __future__ import annotations

from sardinehook.cli import main

if __name__ == "__main__":
    main()
