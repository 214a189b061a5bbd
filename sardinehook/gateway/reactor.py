"""Type of the event loop that a gateway uses."""

from __future__ import annotations

from typing import Any, TypeAlias

__all__ = ["GatewayReactor"]

# An ``EventLoop``; tests pass a simulated clock, and no type covers both.
GatewayReactor: TypeAlias = Any
