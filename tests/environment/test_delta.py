"""Tests of delta compression of canonical documents."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from bench.measure_revisions import large_document
from sardinehook.environment.canonical import canonical_bytes, digest_of
from sardinehook.environment.delta import NO_BASE, apply_delta, make_delta


class TestDelta:
    @given(st.binary(max_size=200), st.binary(min_size=1, max_size=200))
    def test_restores_whatever_the_base(self, base: bytes, canonical: bytes) -> None:
        assert apply_delta(base, make_delta(base, canonical)) == Success(canonical)

    def test_delta_of_one_field_in_a_large_document_is_small(self) -> None:
        old = canonical_bytes(large_document(1000, 150.0))
        new = canonical_bytes(large_document(1000, 140.0))
        assert len(make_delta(old, new)) < 100
        assert len(make_delta(NO_BASE, new)) > 1000

    @given(st.binary(max_size=60))
    def test_garbage_never_passes_the_digest(self, data: bytes) -> None:
        old = canonical_bytes(large_document(4, 150.0))
        match apply_delta(old, data):
            case Success(restored):
                assert digest_of(restored) != digest_of(old)
