"""Trials of the review that are no cases; REPORT.md says why for each."""
