"""Settings of one entry process: identity, addresses, peers, no policy."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from pydantic import Field

__all__ = ["EntrySettings", "Peer"]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]


class Peer(NamedTuple):
    """Another entry VM that this process may contact at start-up."""

    node: Name
    data_centre: Name
    link_address: Address


class EntrySettings(NamedTuple):
    """Identity and addresses of one entry process. Addresses are ``IP:port``.

    ``vm_incarnation`` is the platform's number for this start of the VM, zero if
    unknown; a different number in the platform's VM list means that the VM was
    replaced. ``http_address`` accepts callers' requests, ``link_address`` the links
    (TCP) and membership datagrams (UDP) of other entry processes.
    """

    node: Name
    data_centre: Name
    environment: Name
    http_address: Address
    link_address: Address
    platform_address: Address
    peers: list[Peer] = []
    vm_incarnation: int = 0
