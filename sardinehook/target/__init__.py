"""Clients of targets: admission control, connection pools, health and retries."""
