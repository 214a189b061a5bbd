"""Settings and injected faults of the simulated targets."""

from __future__ import annotations

from typing import Literal

import msgspec

__all__ = ["Behaviour", "Control", "RecordLog", "ReplicaSettings", "TargetSettings"]


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """How a replica behaves; every field can be changed at run time.

    Rates are fractions of replies, ``*_ms`` are milliseconds and ``*_factor``
    multiply the service time. ``waiting`` is the length of the queue. A non-empty
    ``status_state`` is the state that the status endpoint reports instead of the
    real one.
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
    """The settings of one replica; ``port`` 0 takes a free port."""

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
    """The capacity of the event log."""

    entries: int = 400_000


class TargetSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The settings file of one process of simulated targets."""

    replicas: list[ReplicaSettings]
    seed: int = 1
    control_port: int = 0
    records_per_service: int = 10
    log: RecordLog = msgspec.field(default_factory=RecordLog)


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /control``.

    ``replicas`` and ``services`` select replicas by name or service; if both are empty,
    all are selected. ``set`` changes fields of ``Behaviour``; ``do`` is a one-time
    action.
    """

    replicas: list[str] = []
    services: list[str] = []
    set: dict[str, msgspec.Raw] = {}
    do: Literal[
        "", "restart", "drain", "undrain", "leave", "return", "silence", "warm", "cold"
    ] = ""
