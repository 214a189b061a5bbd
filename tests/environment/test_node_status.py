"""Tests of comparing the revisions that nodes report."""

from __future__ import annotations

import pytest
from returns.result import Failure, Success

from sardinehook.environment.node_status import NodeState, node_status
from sardinehook.store.http_client import HttpReply
from sardinehook.store.port import StoreUnavailable
from sardinehook.store.vm_list import Vm, VmState
from tests.environment.documents import revision

ACCEPTED = revision(5)
VM = Vm("entry-1", "szolnok-b", "127.0.0.1:1", 1, VmState.LIVE)


def status_body(environment: str, number: int, digest: str) -> bytes:
    """Return the body of a node's status response."""
    return (
        f'{{"environment":"{environment}","revision":{number},"digest":"{digest}",'
        '"node":"entry-1","ready":true}'
    ).encode()


class TestNodeStatus:
    @pytest.mark.parametrize(
        ("environment", "number", "digest", "state"),
        [
            ("trial", 5, ACCEPTED.digest, NodeState.IN_FORCE),
            ("trial", 5, "other", NodeState.DIFFERS),
            ("trial", 4, "other", NodeState.BEHIND),
            ("trial", 6, "other", NodeState.AHEAD),
            ("trial", 0, "", NodeState.NO_DOCUMENT),
            ("production", 5, ACCEPTED.digest, NodeState.OTHER_ENVIRONMENT),
        ],
    )
    def test_reported_revision_is_compared(
        self, environment: str, number: int, digest: str, state: NodeState
    ) -> None:
        reply = Success(HttpReply(200, status_body(environment, number, digest)))
        found = node_status(VM, ACCEPTED, reply)
        assert (found.state, found.revision) == (state, number)

    @pytest.mark.parametrize(
        "reply",
        [
            Success(HttpReply(200, b"[]")),
            Success(HttpReply(503, b"")),
            Failure(StoreUnavailable("refused", may_have_taken_effect=False)),
        ],
    )
    def test_invalid_or_missing_response_is_unreachable_with_detail(
        self, reply: Success[HttpReply] | Failure[StoreUnavailable]
    ) -> None:
        found = node_status(VM, ACCEPTED, reply)
        assert found.state is NodeState.UNREACHABLE
        assert found.detail
