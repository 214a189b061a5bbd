"""Entry point of ``python -m sardinehook.gateway``."""

from __future__ import annotations

import signal


def start() -> None:
    """Run a gateway; SIGHUP is ignored until its reload handler is installed."""
    # By default SIGHUP would end the process. The settings are read later than this, so
    # a signal during the start requires no reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from sardinehook.gateway.run import main

    main()


if __name__ == "__main__":
    start()
