"""Tests of the query package."""
