"""Tests that the capacity page is in step with the measured slopes."""

from __future__ import annotations

from bench.capacity import PAGE, render_capacity


class TestCapacityPage:
    def test_the_page_is_what_the_slopes_give(self) -> None:
        assert PAGE.read_text() == render_capacity()
