"""Merges the records of shards into the answer of a search."""

from __future__ import annotations

from collections.abc import Sequence

from sardinehook.gateway.answer import CallerAnswer
from sardinehook.gateway.configuration import ShardSet
from sardinehook.gateway.interfaces import CallerCodec
from sardinehook.gateway.records import merge_records
from sardinehook.gateway.shard_request import ShardRequest

__all__ = ["merge_answer", "missing_reasons"]

MAX_REASONS = 8  # shards named in an error detail


def merge_answer(
    callers: CallerCodec, shard_set: ShardSet, shards: Sequence[ShardRequest]
) -> CallerAnswer:
    """Merge the records of the shards that replied into the answer."""
    merged = [shard for shard in shards if shard.records is not None]
    missing = len(shards) - len(merged)
    headers = callers.merged_headers([shard.signature for shard in merged], missing)
    records = [shard.records or [] for shard in merged]
    body = merge_records(records, shard_set.max_records)
    detail = missing_reasons(shards) if missing else ""
    return CallerAnswer(200, headers, body, "answered", detail)


def missing_reasons(shards: Sequence[ShardRequest]) -> str:
    """List the first missing shards with their replicas and failure reasons."""
    missing = [shard for shard in shards if not shard.answered]
    causes = [
        f"{shard.name}:{'+'.join(r.replica_id for r in shard.tried)}:{shard.reason}"
        for shard in missing[:MAX_REASONS]
    ]
    return "; ".join(causes)
