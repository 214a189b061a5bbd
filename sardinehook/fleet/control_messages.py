"""Link messages about rosters, releases and leases."""

from __future__ import annotations

from typing import NamedTuple

from sardinehook.fleet.lease import LeaseGrant, LeaseRequest
from sardinehook.fleet.roster import Roster
from sardinehook.fleet.wire import register_message

__all__ = ["RegistrarIs", "Released", "RosterPull", "RosterPush"]


class RosterPush(NamedTuple):
    """The roster of a data centre, sent after a change or on request."""

    data_centre: str
    roster: Roster


class RosterPull(NamedTuple):
    """Requests the roster of a data centre."""

    data_centre: str


class Released(NamedTuple):
    """Reports that the sender uses only what it owns as of an epoch or a later one.

    ``wanted`` requests the same report from the receiver.
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
