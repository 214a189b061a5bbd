"""The parts of a Twisted reactor that a gateway uses."""

from __future__ import annotations

from typing import Any, TypeAlias

__all__ = ["GatewayReactor"]

# Twisted spreads a reactor over interfaces of zope that mypy can't intersect; tests
# pass a ``Clock`` or a ``MemoryReactorClock``.
GatewayReactor: TypeAlias = Any
