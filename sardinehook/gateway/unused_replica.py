"""Describes for the log why a replica gets no requests."""

from __future__ import annotations

from sardinehook.gateway.directory import Directory
from sardinehook.gateway.replica import Replica

__all__ = ["describe_unused"]


def describe_unused(directory: Directory, replica: Replica, now: float) -> str:
    """Describe why a replica gets no requests."""
    notices = replica.notices
    if replica.entry.draining:
        return "draining"
    if replica.entry.data_centre in directory.evacuated:
        return f"in evacuated {replica.entry.data_centre}"
    if notices.leaving_since is not None:
        return f"leaving for {now - notices.leaving_since:.1f} s"
    if pause_left_s := notices.pause_left_s(now):
        return f"paused for another {pause_left_s:.1f} s"
    if replica.deregistered_at is not None:
        return f"left discovery {now - replica.deregistered_at:.1f} s ago"
    if directory.reachability.is_cut_off(replica.entry.data_centre, now):
        return f"data centre {replica.entry.data_centre} unreachable"
    if replica.pool.is_failing:
        return "refuses connections"
    if notices.rate_share is not None and not replica.limit_allows(0.0, now):
        return f"rate limit of {notices.rate_share.limit_per_s:g}/s used up"
    return describe_load(directory, replica, now)


def describe_load(directory: Directory, replica: Replica, now: float) -> str:
    """Describe the estimates by which a replica is chosen or not."""
    load_age_s = now - replica.load_at
    if not directory.adapts_to_load:
        return (
            f"expected wait {replica.expected_service_times(now):.1f} service times "
            f"(load {load_age_s:.1f} s old), "
            f"slowdown {replica.current_slowdown(now):.1f}"
        )
    forecast = replica.forecast(now)
    window = replica.window
    paced = f", window {window.current_size(now):.2f}" if window is not None else ""
    return (
        f"expected wait {forecast.service_times:.1f} service times "
        f"(load {load_age_s:.1f} s old), slowdown {forecast.slowdown:.1f} "
        f"(work {replica.speed.work_ratio(now):.1f}){paced}"
    )
