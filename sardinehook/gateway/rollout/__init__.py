"""Moves the requests of a service to replicas of another version."""
