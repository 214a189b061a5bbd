"""Errors and checks for data from other processes."""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv4Address

import msgspec

__all__ = ["DECODE_ERRORS", "is_address", "is_token"]

# Deep nesting exceeds the decoder's recursion limit, also in fields that are skipped.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    ValueError,
    OverflowError,
    RecursionError,
)
PORT = re.compile(r"[1-9][0-9]{0,4}", re.ASCII)
MAX_PORT = 65535
TOKEN = re.compile(r"[!-~]{1,200}", re.ASCII)


def is_address(value: str) -> bool:
    """Return whether a value is an IPv4 address and a port, as ``10.0.0.1:80``.

    Host names are none, since looking them up would block.

    >>> [is_address(v) for v in ("10.0.0.1:80", "10.0.0.1:65536", "a.example:80")]
    [True, False, False]
    """
    host, _, port = value.rpartition(":")
    if not PORT.fullmatch(port) or int(port) > MAX_PORT:
        return False
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True


def is_token(value: str) -> bool:
    """Return whether a value can stand in a header: visible ASCII without spaces.

    >>> is_token("i-7f3a91c2"), is_token("i-1 i-2"), is_token("")
    (True, False, False)
    """
    return TOKEN.fullmatch(value) is not None
