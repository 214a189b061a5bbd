"""The gateway process: callers' HTTP requests, fanned out to replicas directly."""
