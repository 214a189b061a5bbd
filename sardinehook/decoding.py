"""Errors and checks for data from other processes."""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = [
    "DECODE_ERRORS",
    "Count",
    "Measure",
    "Number",
    "is_address",
    "is_header_value",
    "is_token",
    "read_count",
]

# Deep nesting exceeds the decoder's recursion limit, also in fields that are skipped.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    ValueError,
    OverflowError,
    RecursionError,
)
# Figures in messages. Python's integers and msgspec's decoders have no limit of their
# own, and a float may be NaN or infinite.
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Count = Annotated[int, Meta(ge=0, le=10**9)]
Measure = Annotated[float, Meta(ge=0.0, le=1e9)]
PORT = re.compile(r"[1-9][0-9]{0,4}", re.ASCII)
MAX_PORT = 65535
MAX_DIGITS = 19  # more are not converted: the time grows with their square
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


def read_count(value: bytes, limit: int) -> int | None:
    """Return a decimal number of at most ``limit``; None if it is no such number.

    >>> [read_count(v, 100) for v in (b"7", b"100", b"101", b"-1", b"9" * 5000)]
    [7, 100, None, None, None]
    """
    if not value.isdigit() or len(value) > MAX_DIGITS:
        return None
    number = int(value)
    return number if number <= limit else None


def is_header_value(value: str) -> bool:
    """Return whether a text can be the value of a header: not empty, no control codes.

    >>> [is_header_value(v) for v in ("north desk", chr(10), "")]
    [True, False, False]
    """
    return bool(value) and value == value.strip() and value.isprintable()


def is_token(value: str) -> bool:
    """Return whether a value can stand in a header: visible ASCII without spaces.

    >>> is_token("i-7f3a91c2"), is_token("i-1 i-2"), is_token("")
    (True, False, False)
    """
    return TOKEN.fullmatch(value) is not None
