"""Admission under contention: which requests start, wait or are refused."""
