"""Member records of the fleet and the precedence between them."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

__all__ = ["Member", "MemberState", "overrides"]


class MemberState(IntEnum):
    """State of a member; within an incarnation the higher state takes precedence."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


class Member(NamedTuple):
    """Record of an entry process, as it is gossiped.

    Both addresses are ``IP:port``; the link address accepts TCP links and UDP
    datagrams. A process that restarts under the same name has a higher incarnation,
    and it increments the incarnation to refute a wrong state. ``revision`` is the
    document revision that the process has in force.
    """

    name: str
    data_centre: str
    link_address: str
    http_address: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    revision: int = 0


def overrides(update: Member, known: Member) -> bool:
    """Return whether an update takes precedence over the known record.

    >>> alive = Member("e1", "szolnok-b", "127.0.0.1:1", "127.0.0.1:2", 7)
    >>> suspect = alive._replace(state=MemberState.SUSPECT)
    >>> overrides(suspect, alive), overrides(alive, suspect)
    (True, False)
    >>> overrides(alive._replace(incarnation=8), suspect)
    True
    """
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    if update.state != known.state:
        return update.state > known.state
    return update.revision > known.revision
