"""Trials of the second review that are no cases."""
