"""Reservation of free loopback ports for processes that run concurrently."""

from __future__ import annotations

import random
import socket

__all__ = ["LOOPBACK", "reserve_ports"]

LOOPBACK = "127.0.0.1"
LOWEST_PORT = 10_000  # above the ports of common services
HIGHEST_PORT = 32_000  # below the ephemeral port range of Linux
BLOCK = 32  # ports; the first one is bound as the guard of the reservation

# Guard sockets stay bound until this process ends, so that no other process reserves
# the block before the child processes listen.
guards: list[socket.socket] = []


def reserve_ports(count: int) -> list[int]:
    """Reserve ports that are free and that no other caller gets.

    The ports come from any free blocks, since few runs of consecutive ones are left
    where many reservations are held. The reservation lasts until this process ends.
    Raises ``OSError`` if there are not enough free blocks; none is reserved then.
    """
    wanted = -(-count // (BLOCK - 1))
    firsts = list(range(LOWEST_PORT, HIGHEST_PORT - BLOCK, BLOCK))
    random.SystemRandom().shuffle(firsts)
    reserved: list[socket.socket] = []
    ports: list[int] = []
    for first in firsts:
        if len(reserved) == wanted:
            break
        guard = reserve_block(first)
        if guard is not None:
            reserved.append(guard)
            ports += range(first + 1, first + BLOCK)
    if len(reserved) < wanted:
        for guard in reserved:
            guard.close()
        raise OSError(
            f"{len(reserved)} of {wanted} blocks of {BLOCK} free ports found "
            f"between {LOWEST_PORT} and {HIGHEST_PORT}"
        )
    guards.extend(reserved)
    return ports[:count]


def reserve_block(first: int) -> socket.socket | None:
    """Return the bound guard of a block, ``None`` if one of its ports is in use."""
    guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    usable = range(first + 1, first + BLOCK)
    if bind(guard, first) and all(is_free(port) for port in usable):
        return guard
    guard.close()
    return None


def is_free(port: int) -> bool:
    """Return whether a port can be bound for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if not bind(probe, port):
                return False
    return True


def bind(sock: socket.socket, port: int) -> bool:
    """Bind a socket to a loopback port; return whether this succeeded."""
    try:
        sock.bind((LOOPBACK, port))
    except OSError:
        return False
    return True
