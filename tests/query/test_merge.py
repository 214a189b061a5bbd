"""Tests of parsing and merging the replies of targets."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from sardinehook.query.coverage import MissingReason
from sardinehook.query.merge import Merger, Page, Record, merge, parse_page
from tests.query.support import page_body

RECORDS = st.lists(
    st.builds(
        Record,
        st.sampled_from("abcdefgh"),
        st.sampled_from([0.5, 1.0, 2.0]),
        st.sampled_from([msgspec.Raw(b"1"), msgspec.Raw(b'{"x":2}')]),
    ),
    max_size=6,
)
PAGES = st.lists(st.tuples(st.sampled_from(["logs", "members"]), RECORDS), max_size=8)


class TestParsePage:
    def test_truncated_page_fails(self) -> None:
        body = page_body(("a", 1.0, {}), truncated=True)
        assert parse_page(body).failure() is MissingReason.TRUNCATED

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{}",
            b"[]",
            b"null",
            b'{"records":[]}',
            b'{"records":[{"id":"a"}],"truncated":false}',
            b'{"records":[{"id":1,"rank":1,"fields":{}}],"truncated":false}',
            b'{"records":[{"id":"a","rank":NaN,"fields":{}}],"truncated":false}',
            b'{"records":[],"truncated":false',
            b'{"records":[],"truncated":false}x',
            b'{"records":[{"id":"\xff","rank":1,"fields":{}}],"truncated":false}',
        ],
    )
    def test_invalid_page_is_garbled(self, body: bytes) -> None:
        assert parse_page(body).failure() is MissingReason.GARBLED

    @given(st.binary(max_size=60))
    def test_random_bytes_fail_without_an_exception(self, body: bytes) -> None:
        assert not is_successful(parse_page(body))

    @given(st.integers(1, 40))
    def test_incomplete_body_fails(self, cut: int) -> None:
        body = page_body(("a", 1.0, {"strikes": 3}))
        assert not is_successful(parse_page(body[:-cut]))


class TestMerge:
    def test_orders_by_rank_then_id(self) -> None:
        page = parse_page(
            page_body(("b", 2.0, 1), ("c", 1.0, 1), ("a", 2.0, 1))
        ).unwrap()
        merged = merge([("logs", page)], 10, 1000)
        assert [hit.id for hit in merged.records] == ["c", "a", "b"]

    def test_duplicate_id_is_kept_once_with_the_lowest_rank(self) -> None:
        first = parse_page(page_body(("a", 2.0, "late"))).unwrap()
        second = parse_page(page_body(("a", 1.0, "early"))).unwrap()
        merged = merge([("logs", first), ("logs", second)], 10, 1000)
        assert [bytes(hit.fields) for hit in merged.records] == [b'"early"']

    def test_same_id_in_two_indexes_gives_two_records(self) -> None:
        page = parse_page(page_body(("a", 1.0, {}))).unwrap()
        merged = merge([("logs", page), ("members", page)], 10, 1000)
        assert [hit.index for hit in merged.records] == ["logs", "members"]

    def test_limited_tells_whether_the_limit_left_records_out(self) -> None:
        page = parse_page(page_body(("a", 1.0, {}), ("b", 2.0, {}))).unwrap()
        assert merge([("logs", page)], 1, 1000).limited
        assert not merge([("logs", page)], 2, 1000).limited

    def test_bytes_held_are_limited_and_reported(self) -> None:
        merger = Merger("logs", 1000, 1000)
        for number in range(100):
            body = page_body((f"{number:03}", float(number), "x" * 90))
            merger.add(parse_page(body).unwrap(), len(body))
            assert merger.held_bytes <= 1000
        merged = merger.merged()
        assert merged.limited
        assert [hit.id for hit in merged.records] == [f"{n:03}" for n in range(10)]

    @given(PAGES, st.randoms(use_true_random=False), st.integers(1, 5))
    def test_result_is_independent_of_reply_order_and_pruning(
        self, drawn: list[tuple[str, list[Record]]], random: Random, limit: int
    ) -> None:
        pages = [(index, Page(records, False)) for index, records in drawn]
        whole = merge(pages, 10_000, 10_000).records
        random.shuffle(pages)
        merged = merge(pages, limit, 10_000)
        assert merged.records == whole[:limit]
        assert merged.limited == (len(whole) > limit)
        identities = [(hit.index, hit.id) for hit in merged.records]
        assert len(set(identities)) == len(identities)
