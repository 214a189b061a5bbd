"""Buckets of the histograms that all kinds of processes have."""

__all__ = ["LAG_BUCKETS_SECONDS", "REQUEST_BUCKETS_SECONDS"]

REQUEST_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.075,
    0.1,
    0.15,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
    30.0,
)
LAG_BUCKETS_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2.0)
