"""Tests of the target package."""
