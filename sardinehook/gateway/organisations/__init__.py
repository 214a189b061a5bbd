"""Organisations whose callers authenticate with keys."""
