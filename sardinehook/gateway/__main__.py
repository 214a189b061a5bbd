"""Entry point of ``python -m sardinehook.gateway``."""

from __future__ import annotations

import gc
import os
import signal


def start() -> None:
    """Run a gateway; it listens before its other modules are loaded."""
    # By default SIGHUP would end the process. The settings are read later than this, so
    # a signal during the start requires no reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Hardly anything that is allocated during the start is ever freed.
    gc.disable()
    from sardinehook.platform.listen_address import read_front_address
    from sardinehook.transport.early_sockets import listen_early

    address = read_front_address(os.environ.get("SARDINEHOOK_SETTINGS", ""))
    if address is not None:
        listen_early(address)
    from sardinehook.gateway.run import main

    main()


if __name__ == "__main__":
    start()
