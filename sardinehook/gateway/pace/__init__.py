"""Pace of requests to replicas after a start or a recovery."""
