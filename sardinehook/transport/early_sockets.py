"""Sockets that listen before the rest of the process has been loaded.

The kernel completes connections and keeps their first bytes until the event loop
accepts them. Callers that arrive during the start wait for it instead of being refused.
"""

from __future__ import annotations

import socket
from typing import NamedTuple

__all__ = ["LISTEN_BACKLOG", "Address", "listen_early", "take_socket"]

LISTEN_BACKLOG = 512  # connections that the kernel queues before they are accepted


class Address(NamedTuple):
    """The address of a TCP port."""

    host: str
    port: int


sockets: dict[Address, socket.socket] = {}


def listen_early(address: Address) -> bool:
    """Listen on ``address``; return whether that was possible.

    An error is reported when the event loop binds the same address.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setblocking(False)
        bound.bind(address)
        bound.listen(LISTEN_BACKLOG)
    except (OSError, OverflowError):
        bound.close()
        return False
    sockets[address] = bound
    return True


def take_socket(address: Address) -> socket.socket | None:
    """Return the socket that listens on ``address`` already, for its only user."""
    return sockets.pop(address, None)
