"""Quotas of organisations, which all gateways keep together."""
