"""Tests of stored revisions and of the revision in force."""

from __future__ import annotations

import pytest
import zstandard
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from sardinehook.environment.canonical import canonical_bytes, document_from
from sardinehook.environment.document import Limits
from sardinehook.environment.holder import DocumentHolder
from sardinehook.environment.revision import (
    Revision,
    decode_revision,
    encode_revision,
)
from tests.environment.documents import document, revision


class TestCanonicalForm:
    def test_round_trip(self) -> None:
        assert document_from(canonical_bytes(document())) == Success(document())

    def test_defaults_and_key_order_do_not_matter(self) -> None:
        explicit = document()._replace(limits=Limits())
        reordered = explicit._replace(
            data_centres=dict(reversed(list(explicit.data_centres.items())))
        )
        assert canonical_bytes(reordered) == canonical_bytes(document())


class TestEncoding:
    def test_round_trip(self) -> None:
        assert decode_revision(encode_revision(revision(3))) == Success(revision(3))

    def test_digest_is_verified(self) -> None:
        forged = revision(3)._replace(digest=revision(4).digest)
        problem = decode_revision(encode_revision(forged)).failure()
        assert problem.detail == "malformed revision: the digest does not match"

    def test_decompression_is_bounded(self) -> None:
        bomb = zstandard.compress(bytes(64_000_000))
        assert decode_revision(bomb).failure()

    @given(st.binary(max_size=40))
    def test_garbage_is_refused(self, data: bytes) -> None:
        assert decode_revision(data).failure()

    @given(st.integers(0, 10_000), st.integers(0, 255))
    def test_damage_is_refused(self, place: int, value: int) -> None:
        data = bytearray(encode_revision(revision(1)))
        data[place % len(data)] ^= value or 1
        match decode_revision(bytes(data)):
            case Success(read):
                assert read.document == revision(1).document


class TestHolder:
    def test_revision_number_never_decreases(self) -> None:
        holder = DocumentHolder("trial")
        seen: list[Revision] = []
        holder.add_listener(seen.append)
        assert holder.offer(revision(2))
        assert not holder.offer(revision(1))
        assert not holder.offer(revision(2, deadline_ms=900.0))
        assert holder.offer(revision(5))
        assert [taken.number for taken in seen] == [2, 5]

    @pytest.mark.parametrize(
        "bad",
        [
            revision(1)._replace(digest="0"),
            revision(1)._replace(document=document()._replace(environment="other")),
        ],
    )
    def test_other_environment_or_wrong_digest_is_refused(self, bad: Revision) -> None:
        holder = DocumentHolder("trial")
        assert not holder.offer(bad)
        assert holder.in_force is None
