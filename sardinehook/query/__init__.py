"""Queries: plan, fan-out, hedging, merge, coverage, admission."""
