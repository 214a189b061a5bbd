"""Decoder for the keys that operators and replicas write to the platform's store."""

from __future__ import annotations

import time
from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from sardinehook.decoding import (
    DECODE_ERRORS,
    Measure,
    Number,
    is_address,
    is_token,
)
from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.interfaces import ReplicaEntry
from sardinehook.gateway.rollout.orders import (
    RolloutOrder,
    RolloutStatus,
    StatusState,
)
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


class WireRollout(msgspec.Struct, rename="pascal"):
    """An operator's order to move a service to another version."""

    service: str
    target_version: str
    duration_s: Measure


class WireRolloutStatus(msgspec.Struct, rename="pascal"):
    """What became of a rollout."""

    # running, completed or rolled_back
    state: str
    target_version: str


DECODER = msgspec.json.Decoder(WireEntry)


class PlatformKeys:
    """The names of the keys that operators and replicas write, and their decoders."""

    configuration_key = CONFIGURATION_KEY
    evacuation_prefix = "op/evacuate/"
    replica_prefix = "servers/"
    rollout_prefix = "op/rollout/"
    rollout_status_prefix = "status/rollout/"

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

    def read_rollout(self, service: str, value: bytes) -> Result[RolloutOrder, str]:
        """Decode an order to roll out a version; a failure says why it is invalid.

        >>> order = b'{"Service":"desk","TargetVersion":"2","DurationS":60}'
        >>> PlatformKeys().read_rollout("desk", order).unwrap()
        RolloutOrder(service='desk', target_version='2', duration_s=60.0)
        >>> PlatformKeys().read_rollout("till", order).failure()
        "the order is for the service 'desk'"
        """
        try:
            wire = msgspec.json.decode(value, type=WireRollout)
        except DECODE_ERRORS as error:
            return Failure(str(error))
        if wire.service != service:
            return Failure(f"the order is for the service {wire.service!r}")
        if not wire.target_version or wire.duration_s <= 0.0:
            return Failure("an empty version or no duration")
        return Success(RolloutOrder(service, wire.target_version, wire.duration_s))

    def read_rollout_status(self, value: bytes) -> Result[RolloutStatus, str]:
        """Decode the status of a rollout; a failure says why it is invalid."""
        try:
            wire = msgspec.json.decode(value, type=WireRolloutStatus)
            return Success(RolloutStatus(StatusState(wire.state), wire.target_version))
        except DECODE_ERRORS as error:
            return Failure(str(error))

    def encode_rollout_status(self, status: RolloutStatus) -> bytes:
        """Encode the status of a rollout.

        >>> keys = PlatformKeys()
        >>> status = RolloutStatus(StatusState.COMPLETED, "2")
        >>> keys.read_rollout_status(keys.encode_rollout_status(status)).unwrap()
        RolloutStatus(state=<StatusState.COMPLETED: 'completed'>, target_version='2')
        """
        return msgspec.json.encode(
            WireRolloutStatus(str(status.state), status.target_version)
        )
