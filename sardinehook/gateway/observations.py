"""What gateways tell each other of how replicas answer them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import islice

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.gateway.directory import Directory

__all__ = [
    "Observation",
    "Overdue",
    "Replied",
    "Unusable",
    "apply_observation",
    "decode_observations",
    "encode_observations",
]

MOST_IN_DATAGRAM = 40  # observations that fit an unfragmented datagram
MOST_TEXT = 64  # characters of a replica's id


@dataclass(frozen=True, slots=True)
class Replied:
    """A replica replied, and took ``ratio`` times as long as usual."""

    replica_id: str
    ratio: float


@dataclass(frozen=True, slots=True)
class Overdue:
    """A replica's reply is overdue and will take at least ``ratio`` times as long."""

    replica_id: str
    ratio: float


@dataclass(frozen=True, slots=True)
class Unusable:
    """An exchange with a replica failed for a reason of the replica's."""

    replica_id: str


Observation = Replied | Overdue | Unusable


class WireObservation(msgspec.Struct, array_like=True):
    """An observation on the wire; the kinds are numbered in their order here."""

    kind: int
    replica_id: str
    ratio: float = 0.0


class WireDatagram(msgspec.Struct, array_like=True):
    """What one gateway tells at a time."""

    node: str
    observations: list[WireObservation]


def encode_observations(node: str, observations: Sequence[Observation]) -> list[bytes]:
    """Encode observations into as many datagrams as they need."""
    left = iter(observations)
    datagrams = []
    while batch := list(islice(left, MOST_IN_DATAGRAM)):
        wire = WireDatagram(node, [to_wire(observation) for observation in batch])
        datagrams.append(msgspec.msgpack.encode(wire))
    return datagrams


def to_wire(observation: Observation) -> WireObservation:
    """Convert an observation to its form on the wire."""
    match observation:
        case Replied(replica_id, ratio):
            return WireObservation(0, replica_id, ratio)
        case Overdue(replica_id, ratio):
            return WireObservation(1, replica_id, ratio)
        case Unusable(replica_id):
            return WireObservation(2, replica_id)


def decode_observations(datagram: bytes) -> Result[tuple[str, list[Observation]], str]:
    """Decode the teller's name and its observations.

    >>> (datagram,) = encode_observations("g-1", [Replied("i-1", 1.5)])
    >>> decode_observations(datagram).unwrap()
    ('g-1', [Replied(replica_id='i-1', ratio=1.5)])
    >>> decode_observations(b"x").failure()
    'malformed observations: Expected `array`, got `int`'
    """
    try:
        wire = msgspec.msgpack.decode(datagram, type=WireDatagram)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f"malformed observations: {error}")
    return Success((wire.node, list(from_wire(wire.observations))))


def from_wire(observations: Iterable[WireObservation]) -> Iterable[Observation]:
    """Convert observations; kinds of a later release are left out."""
    for told in observations:
        if len(told.replica_id) > MOST_TEXT or not told.ratio >= 0.0:
            continue
        match told.kind:
            case 0:
                yield Replied(told.replica_id, told.ratio)
            case 1:
                yield Overdue(told.replica_id, told.ratio)
            case 2:
                yield Unusable(told.replica_id)


def apply_observation(
    directory: Directory, observation: Observation, now: float
) -> None:
    """Take an observation as if it were this gateway's own."""
    replica = directory.replicas.get(observation.replica_id)
    if replica is None:
        return
    match observation:
        case Replied(_, ratio):
            replica.observe_latency(ratio, now)
        case Overdue(_, ratio):
            replica.observe_overdue(ratio, now)
        case Unusable():
            replica.observe_result(True, now)
