"""Round-trip time of a TCP connection as measured by the kernel."""

from __future__ import annotations

import socket
from struct import Struct, error
from typing import Protocol

__all__ = ["UNKNOWN_ROUND_TRIP_S", "round_trip_s"]

UNKNOWN_ROUND_TRIP_S = 0.006  # typical between two sites of one region
TCP_INFO_BYTES = 104  # the part of tcp_info that all Linux kernels in use fill in
SMOOTHED_ROUND_TRIP = Struct("68xI")  # tcpi_rtt in microseconds
US_PER_S = 1_000_000.0


class SocketHandle(Protocol):
    """The part of ``socket.socket`` that is used."""

    def getsockopt(self, level: int, option: int, buflen: int) -> bytes:
        """Return the value of a socket option."""
        ...


def round_trip_s(handle: SocketHandle) -> float:
    """Return the kernel's smoothed round-trip time in seconds.

    Return ``UNKNOWN_ROUND_TRIP_S`` where the kernel has none.

    >>> class Peer:
    ...     def getsockopt(self, level, option, buflen):
    ...         return bytes(68) + (2500).to_bytes(4, "little") + bytes(32)
    >>> round_trip_s(Peer())
    0.0025
    """
    try:
        info = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (took_us,) = SMOOTHED_ROUND_TRIP.unpack_from(info)
    except (OSError, error):
        return UNKNOWN_ROUND_TRIP_S
    return took_us / US_PER_S if took_us else UNKNOWN_ROUND_TRIP_S
