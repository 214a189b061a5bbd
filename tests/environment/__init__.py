"""Tests of the environment package."""
