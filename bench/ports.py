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

    The reservation lasts until this process ends. Raises ``OSError`` if there are not
    enough consecutive free blocks.
    """
    blocks = -(-count // (BLOCK - 1))
    firsts = list(range(LOWEST_PORT, HIGHEST_PORT - blocks * BLOCK, BLOCK))
    random.SystemRandom().shuffle(firsts)
    for first in firsts:
        ports = reserve_blocks(first, blocks)
        if ports:
            return ports[:count]
    raise OSError(
        f"no {blocks} consecutive blocks of {BLOCK} free ports "
        f"between {LOWEST_PORT} and {HIGHEST_PORT}"
    )


def reserve_blocks(first: int, blocks: int) -> list[int]:
    """Reserve consecutive blocks; return no ports if one of them is in use."""
    sockets: list[socket.socket] = []
    ports: list[int] = []
    for first_port in range(first, first + blocks * BLOCK, BLOCK):
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets.append(guard)
        usable = range(first_port + 1, first_port + BLOCK)
        if not bind(guard, first_port) or not all(is_free(port) for port in usable):
            for opened in sockets:
                opened.close()
            return []
        ports += usable
    guards.extend(sockets)
    return ports


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
