"""Decoder of the platform's keys: the operators' and those of replicas."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.interfaces import ReplicaEntry
from sardinehook.platform.configuration import decode_configuration

__all__ = ["PlatformKeys"]

MS_PER_S = 1000.0
STATES = frozenset({"ready", "draining"})


class WireEntry(msgspec.Struct, rename="pascal"):
    """A replica's own entry."""

    service: str
    addr: str
    zone: str
    state: str
    slots: int = 1
    # How much longer the replica is slow, when the entry was written.
    cold_left_ms: float = 0.0
    # Counts the replica's writes since its start.
    seq: int = 0
    # The Unix millisecond of its start.
    born: int = msgspec.field(name="born", default=0)


DECODER = msgspec.json.Decoder(WireEntry)


class PlatformKeys:
    """Names and decodes the keys that operators and replicas write."""

    configuration_key = "op/config"
    evacuation_prefix = "op/evacuate/"
    replica_prefix = "servers/"

    def read_configuration(self, value: bytes) -> Result[Configuration, str]:
        """Decode the operators' configuration."""
        return decode_configuration(value)

    def read_replica(self, replica_id: str, value: bytes) -> Result[ReplicaEntry, str]:
        """Decode an entry of discovery; the failure says why it names no replica.

        >>> PlatformKeys().read_replica("i-1", b"[]").failure()
        'Expected `object`, got `array`'
        """
        try:
            wire = DECODER.decode(value)
            host, _, port = wire.addr.rpartition(":")
            if not host or not 0 < int(port) < 65536:
                raise ValueError(f"no address: {wire.addr!r}")
        except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
            return Failure(str(error))
        if wire.state not in STATES or not wire.service:
            return Failure(f"unknown state {wire.state!r} or no service")
        return Success(
            ReplicaEntry(
                replica_id,
                wire.service,
                wire.addr,
                wire.zone,
                max(1, wire.slots),
                wire.state == "draining",
                wire.cold_left_ms / MS_PER_S,
                wire.seq,
                wire.born,
            )
        )
