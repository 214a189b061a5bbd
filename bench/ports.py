"""Free ports on loopback for the processes of a rig."""

from __future__ import annotations

import random
import socket

__all__ = ["LOOPBACK", "free_ports"]

LOOPBACK = "127.0.0.1"
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000
MOST_TRIES = 200


def free_ports(count: int) -> list[int]:
    """Return a run of ports that nothing listens on at present."""
    rng = random.SystemRandom()
    for _ in range(MOST_TRIES):
        first = rng.randrange(LOWEST_PORT, HIGHEST_PORT - count)
        ports = list(range(first, first + count))
        if all(is_free(port) for port in ports):
            return ports
    raise OSError(f"no run of {count} free ports found")


def is_free(port: int) -> bool:
    """Tell whether a port can be bound for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
