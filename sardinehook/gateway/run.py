"""Command that runs a gateway with the adapters of the platform."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import Any

import structlog
from returns.result import Failure, Result, Success

from sardinehook.gateway.metrics import GatewayMetrics
from sardinehook.gateway.process import Dialects, GatewayProcess, SettingsSource
from sardinehook.gateway.settings import GatewaySettings
from sardinehook.gateway.store import GatewayStore
from sardinehook.observe.clock import HybridClock
from sardinehook.observe.errors import log_error, log_library_warnings
from sardinehook.observe.events import EventName, configure_logging, log_event
from sardinehook.observe.rate_limited_stream import RateLimitedStream
from sardinehook.platform.callers import PlatformCallers
from sardinehook.platform.discovery import PlatformKeys
from sardinehook.platform.kv_store import PlatformStore
from sardinehook.platform.replicas import PlatformReplicas
from sardinehook.platform.settings import SETTINGS_VARIABLE, decode_settings
from sardinehook.transport.event_loop import EventLoop

__all__ = ["main"]

logger = structlog.get_logger(__name__)

EXIT_CANNOT_LISTEN = 1
EXIT_INVALID_SETTINGS = 2
METRICS_PORT_VARIABLE = "SARDINEHOOK_METRICS_PORT"


def main() -> None:
    """Run a gateway with the settings file that the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    match read_settings(path):
        case Success(settings):
            run_gateway(path, settings)
        case Failure(problem):
            sys.stderr.write(f"{problem}\n")
            sys.exit(EXIT_INVALID_SETTINGS)


def run_gateway(path: str, settings: GatewaySettings) -> None:
    """Run a gateway with ``settings``, which it reloads from ``path``."""
    event_loop = EventLoop(lambda detail, error: log_error(error, detail))
    metrics = GatewayMetrics()
    output: Any = RateLimitedStream(
        sys.stdout.fileno(), time.monotonic, metrics.log_lines_dropped.inc
    )
    clock = HybridClock(time.time)
    configure_logging(output, settings.node, settings.data_centre, clock)
    log_library_warnings()

    def make_store(metrics: GatewayMetrics) -> GatewayStore:
        def count(operation: str, outcome: str) -> None:
            metrics.store_calls.labels(operation, outcome).inc()

        return PlatformStore(event_loop, settings.store_address, count)

    dialects = Dialects(PlatformCallers(), PlatformReplicas(), PlatformKeys())
    source = SettingsSource(lambda: read_settings(path), lambda: modified_at(path))
    process = GatewayProcess(
        event_loop, settings, dialects, make_store, metrics, source
    )

    try:
        process.run()
    except OSError as error:
        log_event(logger, EventName.PROCESS_FAILED, detail=str(error))
        sys.exit(EXIT_CANNOT_LISTEN)


def read_settings(path: str) -> Result[GatewaySettings, str]:
    """Read and decode the settings file; a failure is a message of one line."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(f"can't read {path!r} named by {SETTINGS_VARIABLE}: {error}")
    return decode_settings(text).map(override_metrics_address)


def override_metrics_address(settings: GatewaySettings) -> GatewaySettings:
    """Return settings with the metrics port of the environment, if it names one."""
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    if not port:
        return settings
    host = settings.front_address.rpartition(":")[0]
    return settings._replace(metrics_address=f"{host}:{port}")


def modified_at(path: str) -> float:
    """Return when a file was last modified, zero if it can't be read."""
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0
