"""The command line interface of ``sardinehook``."""

from __future__ import annotations

from sardinehook.cli.app import main

__all__ = ["main"]
