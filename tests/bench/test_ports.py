"""Ports of rigs that run at the same time."""

from __future__ import annotations

import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench import ports
from bench.ports import BLOCK, LOOPBACK, reserve_blocks, reserve_ports

REPOSITORY = Path(__file__).resolve().parents[2]
FIND_AGAIN = (
    "import sys; from bench.ports import *; print(*reserve_ports(int(sys.argv[1])))"
)


@pytest.fixture(autouse=True)
def _release() -> Iterator[None]:
    """Give up what a test has reserved."""
    kept = list(ports.guards)
    yield
    for guard in ports.guards:
        if guard not in kept:
            guard.close()
    ports.guards[:] = kept


class TestReservePorts:
    def test_ports_that_are_not_yet_in_use_are_given_once(self) -> None:
        """Answers the pattern: several soaks start at the same time."""
        given = [port for _ in range(40) for port in reserve_ports(30)]
        assert len(set(given)) == len(given)

    def test_another_process_gets_other_ports(self) -> None:
        mine = set(reserve_ports(2000))
        for _ in range(4):
            told = subprocess.run(
                [sys.executable, "-c", FIND_AGAIN, "2000"],
                cwd=REPOSITORY,
                capture_output=True,
                text=True,
                check=True,
            )
            others = {int(port) for port in told.stdout.split()}
            assert len(others) == 2000
            assert not others & mine

    def test_more_than_a_block_is_reserved_at_once(self) -> None:
        assert len(set(reserve_ports(4 * BLOCK))) == 4 * BLOCK

    def test_a_block_in_which_something_listens_is_left_alone(self) -> None:
        (port,) = reserve_ports(1)
        first = port - 1
        ports.guards.pop().close()
        with socket.socket() as listening:
            listening.bind((LOOPBACK, port + 5))
            listening.listen()
            assert reserve_blocks(first, 1) == []
        assert port in reserve_blocks(first, 1)
