"""Port reservations by concurrent processes."""

from __future__ import annotations

import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench import ports
from bench.ports import BLOCK, LOOPBACK, reserve_block, reserve_ports

REPOSITORY = Path(__file__).resolve().parents[2]
RESERVE_COMMAND = (
    "import sys; from bench.ports import *; print(*reserve_ports(int(sys.argv[1])))"
)


@pytest.fixture(autouse=True)
def _release() -> Iterator[None]:
    """Release the reservations of a test."""
    existing = list(ports.guards)
    yield
    for guard in ports.guards:
        if guard not in existing:
            guard.close()
    ports.guards[:] = existing


class TestReservePorts:
    def test_reserved_ports_are_not_reserved_again_before_use(self) -> None:
        """Soaks that start at the same time must not get the same ports."""
        given = [port for _ in range(40) for port in reserve_ports(30)]
        assert len(set(given)) == len(given)

    def test_other_processes_reserve_different_ports(self) -> None:
        mine = set(reserve_ports(2000))
        for _ in range(4):
            completed = subprocess.run(
                [sys.executable, "-c", RESERVE_COMMAND, "2000"],
                cwd=REPOSITORY,
                capture_output=True,
                text=True,
                check=True,
            )
            others = {int(port) for port in completed.stdout.split()}
            assert len(others) == 2000
            assert not others & mine

    def test_reservation_can_span_several_blocks(self) -> None:
        assert len(set(reserve_ports(4 * BLOCK))) == 4 * BLOCK

    def test_block_with_a_listening_port_is_skipped(self) -> None:
        (port,) = reserve_ports(1)
        first = port - 1
        ports.guards.pop().close()
        with socket.socket() as listening:
            listening.bind((LOOPBACK, port + 5))
            listening.listen()
            assert reserve_block(first) is None
        guard = reserve_block(first)
        assert guard is not None
        guard.close()

    def test_many_ports_are_found_between_other_reservations(self) -> None:
        """Guards against reservations that fail beside load, with most ports free."""
        for first in range(ports.LOWEST_PORT, ports.HIGHEST_PORT, 16 * BLOCK):
            guard = reserve_block(first)
            ports.guards += [guard] if guard is not None else []
        held = list(ports.guards)
        for _ in range(30):
            assert len(set(reserve_ports(2000))) == 2000
            for guard in ports.guards[len(held) :]:
                guard.close()
            ports.guards[:] = held

    def test_nothing_stays_reserved_after_a_failure(self) -> None:
        held = list(ports.guards)
        with pytest.raises(OSError, match="blocks"):
            reserve_ports(ports.HIGHEST_PORT)
        assert ports.guards == held
        assert len(reserve_ports(2000)) == 2000
