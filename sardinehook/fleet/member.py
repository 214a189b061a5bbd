"""Members of the fleet and the order of what is told about them."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

__all__ = ["Member", "MemberState", "overrides"]


class MemberState(IntEnum):
    """The life of a member; within one incarnation a higher state goes first."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


class Member(NamedTuple):
    """An entry process as the fleet knows it.

    Both addresses are ``IP:port``; the link address takes TCP links and UDP
    datagrams. A process that starts anew under a name has a higher incarnation, and
    raises it to contradict what others wrongly believe of it. ``revision`` is the
    document revision that it has in force.
    """

    name: str
    data_centre: str
    link_address: str
    http_address: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    revision: int = 0


def overrides(told: Member, known: Member) -> bool:
    """Whether what is told of a member goes before what is known of it.

    >>> alive = Member("e1", "szolnok-b", "127.0.0.1:1", "127.0.0.1:2", 7)
    >>> suspect = alive._replace(state=MemberState.SUSPECT)
    >>> overrides(suspect, alive), overrides(alive, suspect)
    (True, False)
    >>> overrides(alive._replace(incarnation=8), suspect)
    True
    """
    if told.incarnation != known.incarnation:
        return told.incarnation > known.incarnation
    if told.state != known.state:
        return told.state > known.state
    return told.revision > known.revision
