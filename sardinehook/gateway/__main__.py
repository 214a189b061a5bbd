"""``python -m sardinehook.gateway``: one gateway on the users' platform."""

from __future__ import annotations

import signal


def start() -> None:
    """Run a gateway; a hangup while it starts is of no use and must not end it."""
    # The settings are read after this, and the handler that reloads them comes later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from sardinehook.gateway.run import main

    main()


if __name__ == "__main__":
    start()
