"""Decoder for the keys that operators and replicas write to the platform's store."""

from __future__ import annotations

import time
from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from sardinehook.decoding import DECODE_ERRORS, Number, is_address, is_token
from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.interfaces import ReplicaEntry
from sardinehook.platform.configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
)

__all__ = ["MAX_COLD_MS", "MAX_SLOTS", "PlatformKeys"]

MS_PER_S = 1000.0
MAX_SLOTS = 100_000
MAX_COLD_MS = 3_600_000
MAX_CLOCK_SKEW_MS = 86_400_000  # between the replica's wall clock and this one
REPLICA_STATES = frozenset({"ready", "draining"})


class WireEntry(msgspec.Struct, rename="pascal"):
    """The service discovery entry that a replica writes about itself."""

    service: str
    addr: str
    zone: str
    state: str
    slots: Annotated[int, Meta(ge=0, le=MAX_SLOTS)] = 1
    # The remaining warm-up time of the replica when it wrote the entry.
    cold_left_ms: Annotated[float, Meta(ge=0.0, le=MAX_COLD_MS)] = 0.0
    # The version of the replica's software.
    version: str = ""
    # Incremented with each write of the replica since its start.
    seq: Number = 0
    # The replica's start time, in milliseconds since the Unix epoch.
    born: Number = msgspec.field(name="born", default=0)


DECODER = msgspec.json.Decoder(WireEntry)


class PlatformKeys:
    """The names of the keys that operators and replicas write, and their decoders."""

    configuration_key = CONFIGURATION_KEY
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
        except DECODE_ERRORS as error:
            return Failure(str(error))
        if not is_token(replica_id) or not is_address(wire.addr):
            return Failure(f"unusable id or address: {wire.addr!r}")
        if wire.state not in REPLICA_STATES or not wire.service:
            return Failure(f"unknown state {wire.state!r} or empty service name")
        # Entries of an earlier start are ignored: a start in the future would make all
        # later entries of this replica look older.
        if wire.born > time.time() * MS_PER_S + MAX_CLOCK_SKEW_MS:
            return Failure(f"started in the future: {wire.born}")
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
                wire.version,
            )
        )
