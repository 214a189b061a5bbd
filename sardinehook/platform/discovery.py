"""Decoder for the keys that operators and replicas write to the platform's store."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.interfaces import ReplicaEntry
from sardinehook.platform.configuration import decode_configuration

__all__ = ["PlatformKeys"]

MS_PER_S = 1000.0
REPLICA_STATES = frozenset({"ready", "draining"})


class WireEntry(msgspec.Struct, rename="pascal"):
    """The service discovery entry that a replica writes about itself."""

    service: str
    addr: str
    zone: str
    state: str
    slots: int = 1
    # The remaining warm-up time of the replica when it wrote the entry.
    cold_left_ms: float = 0.0
    # Incremented with each write of the replica since its start.
    seq: int = 0
    # The replica's start time, in milliseconds since the Unix epoch.
    born: int = msgspec.field(name="born", default=0)


DECODER = msgspec.json.Decoder(WireEntry)


class PlatformKeys:
    """The names of the keys that operators and replicas write, and their decoders."""

    configuration_key = "op/config"
    evacuation_prefix = "op/evacuate/"
    replica_prefix = "servers/"

    def read_configuration(self, value: bytes) -> Result[Configuration, str]:
        """Decode the operators' configuration; a failure is one line for the log."""
        return decode_configuration(value)

    def read_replica(self, replica_id: str, value: bytes) -> Result[ReplicaEntry, str]:
        """Decode a service discovery entry; a failure says why it is invalid.

        >>> PlatformKeys().read_replica("i-1", b"[]").failure()
        'Expected `object`, got `array`'
        """
        try:
            wire = DECODER.decode(value)
            host, _, port = wire.addr.rpartition(":")
            if not host or not 0 < int(port) < 65536:
                raise ValueError(f"address is not host:port: {wire.addr!r}")
        except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
            return Failure(str(error))
        if wire.state not in REPLICA_STATES or not wire.service:
            return Failure(f"unknown state {wire.state!r} or empty service name")
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
