"""Numbers in the headers of targets' replies."""

from __future__ import annotations

import pytest

from sardinehook.target.codec import read_reply_head

HEADERS = (
    b"index-version",
    b"partitioning-version",
    b"target-in-flight",
    b"index-versions-held",
)


class TestNumbers:
    """Guards against numbers that can't be sent on to other entry processes."""

    @pytest.mark.parametrize("name", HEADERS)
    @pytest.mark.parametrize("value", [b"-1", b"1_0", b"9" * 400, b"9" * 5000, b"x"])
    def test_an_odd_number_is_malformed(self, name: bytes, value: bytes) -> None:
        with pytest.raises(ValueError, match="number"):
            read_reply_head({name: value})
