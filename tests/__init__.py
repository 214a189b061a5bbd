"""Tests of sardinehook."""
