"""Messages about rosters and leases that entry processes exchange over links."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.fleet.lease import LeaseGrant, LeaseRequest
from sardinehook.fleet.roster import Roster
from sardinehook.fleet.wire import register_message

__all__ = ["RegistrarIs", "Released", "RosterPull", "RosterPush"]


class RosterPush(NamedTuple):
    """The roster of a data centre, sent on a change or when asked for."""

    data_centre: str
    roster: Roster


class RosterPull(NamedTuple):
    """Asks for the roster of a data centre."""

    data_centre: str


class Released(NamedTuple):
    """The sender uses only what it owns as of an epoch, or a later one.

    ``wanted`` asks for the same of the receiver.
    """

    boot: int
    epoch: int
    wanted: bool = False


class RegistrarIs(NamedTuple):
    """Names the registrar of the sender's data centre."""

    name: str


register_message(30, RosterPush)
register_message(31, RosterPull)
register_message(32, Released)
register_message(33, LeaseRequest)
register_message(34, LeaseGrant)
register_message(35, RegistrarIs)
