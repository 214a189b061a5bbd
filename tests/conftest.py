"""Test configuration: property-based tests draw the same examples in every run."""

from __future__ import annotations

import os

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile(os.environ.get("SARDINEHOOK_HYPOTHESIS_PROFILE", "ci"))
