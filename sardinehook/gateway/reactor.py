"""Type of the Twisted reactor that a gateway uses."""

from __future__ import annotations

from typing import Any, TypeAlias

__all__ = ["GatewayReactor"]

# A Twisted reactor implements several zope interfaces that mypy can't intersect. Tests
# pass a ``Clock`` or a ``MemoryReactorClock``.
GatewayReactor: TypeAlias = Any
