"""Run a gateway by ``python -m sardinehook.gateway``."""

from __future__ import annotations

from sardinehook.gateway.run import main

if __name__ == "__main__":
    main()
