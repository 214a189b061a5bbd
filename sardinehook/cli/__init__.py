"""The command line: one program with every command."""

from __future__ import annotations

from sardinehook.cli.app import main

__all__ = ["main"]
