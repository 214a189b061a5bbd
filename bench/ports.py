"""Free ports on loopback for the processes of a rig."""

from __future__ import annotations

import random
import socket

__all__ = ["LOOPBACK", "reserve_ports"]

LOOPBACK = "127.0.0.1"
LOWEST_PORT = 10_000  # above what common services use
HIGHEST_PORT = 32_000  # below the ports that Linux gives to outgoing connections
BLOCK = 32  # ports; the first of a block is bound by whoever has reserved it

# Bound until the process ends, so that no other rig takes a block before the
# processes of this one have begun to listen.
guards: list[socket.socket] = []


def reserve_ports(count: int) -> list[int]:
    """Return ports that nothing listens on and no other rig is given.

    The reservation ends with this process. Raises ``OSError`` if there are not
    enough consecutive free blocks.
    """
    blocks = -(-count // (BLOCK - 1))
    firsts = list(range(LOWEST_PORT, HIGHEST_PORT - blocks * BLOCK, BLOCK))
    random.SystemRandom().shuffle(firsts)
    for first in firsts:
        ports = reserve_blocks(first, blocks)
        if ports:
            return ports[:count]
    raise OSError(f"no {blocks} consecutive blocks of free ports found")


def reserve_blocks(first: int, blocks: int) -> list[int]:
    """Reserve consecutive blocks and return their ports, none if one is in use."""
    held: list[socket.socket] = []
    ports: list[int] = []
    for guarded in range(first, first + blocks * BLOCK, BLOCK):
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        held.append(guard)
        rest = range(guarded + 1, guarded + BLOCK)
        if not bind(guard, guarded) or not all(is_free(port) for port in rest):
            for one in held:
                one.close()
            return []
        ports += rest
    guards.extend(held)
    return ports


def is_free(port: int) -> bool:
    """Tell whether a port can be bound for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if not bind(probe, port):
                return False
    return True


def bind(bound: socket.socket, port: int) -> bool:
    """Bind a socket to a port of loopback; tell whether that could be done."""
    try:
        bound.bind((LOOPBACK, port))
    except OSError:
        return False
    return True
