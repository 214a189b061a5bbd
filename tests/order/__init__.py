"""Tests of the order package."""
