"""Randomized soak test: gateway processes under injected faults."""
