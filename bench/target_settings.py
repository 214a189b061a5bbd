"""Settings of the target stand-in and the faults that can be set on it."""

from __future__ import annotations

from typing import Literal

import msgspec

__all__ = ["Behaviour", "Control", "RecordLog", "ReplicaSettings", "TargetSettings"]


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """How a replica behaves; every field can be changed while it runs.

    Rates are fractions of replies and ``*_ms`` are milliseconds. ``slow_factor``
    makes every reply slower. ``status_state`` makes the status endpoint lie.
    """

    service_ms: float = 2.0
    service_sigma: float = 0.25
    straggler_rate: float = 0.0
    straggler_factor: float = 20.0
    slow_factor: float = 1.0
    cold_factor: float = 3.0
    cold_replies: int = 40
    fall_over_ms: float = 500.0
    connect_ms: float = 0.0
    waiting: int = 8
    versions: list[int] = msgspec.field(default_factory=lambda: [1])
    partitioning: int = 1
    shed_rate: float = 0.0
    error_rate: float = 0.0
    truncated_rate: float = 0.0
    foreign_rate: float = 0.0
    duplicate_rate: float = 0.0
    flagged_rate: float = 0.0
    garbage_rate: float = 0.0
    lost_reply_rate: float = 0.0
    works_while_draining: bool = False
    ignores_cancel: bool = False
    ignores_deadline: bool = False
    status_lag_ms: float = 0.0
    status_state: str = ""


class ReplicaSettings(Behaviour, kw_only=True, forbid_unknown_fields=True):
    """One replica; ``port`` 0 takes a free one."""

    service: str
    index: str
    name: str
    port: int = 0
    address: str = "127.0.0.1"
    slots: int = 2
    connections: int = 25
    cold_start_slots: int = 1
    cold: bool = False


class RecordLog(msgspec.Struct, forbid_unknown_fields=True):
    """How much of the work is logged."""

    entries: int = 400_000


class TargetSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The settings file of one stand-in process."""

    replicas: list[ReplicaSettings]
    seed: int = 1
    control_port: int = 0
    records_per_service: int = 10
    log: RecordLog = msgspec.field(default_factory=RecordLog)


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /control``.

    ``replicas`` and ``services`` choose which replicas are meant; when both are
    empty, all are. ``set`` changes fields of ``Behaviour`` and ``do`` acts once.
    """

    replicas: list[str] = []
    services: list[str] = []
    set: dict[str, msgspec.Raw] = {}
    do: Literal[
        "", "restart", "drain", "undrain", "leave", "return", "silence", "warm", "cold"
    ] = ""
