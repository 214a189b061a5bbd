"""Targets: replica state, slots, connections, cold start, transport."""
