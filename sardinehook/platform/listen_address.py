"""Reads the callers' address from the settings file before anything else is loaded."""

from __future__ import annotations

import tomllib

from sardinehook.transport.early_sockets import Address

__all__ = ["read_front_address"]


def read_front_address(path: str) -> Address | None:
    """Return the address for callers; None if the settings file has none.

    Unusable settings are reported by ``decode_settings`` later.
    """
    try:
        with open(path, "rb") as file:
            host, _, port = tomllib.load(file)["Listen"]["Front"].rpartition(":")
            return Address(host, int(port))
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return None
