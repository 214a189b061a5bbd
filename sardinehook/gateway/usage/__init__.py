"""Counts of what all gateways together use of shared limits."""
