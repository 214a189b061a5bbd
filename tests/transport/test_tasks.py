"""Coroutines that are driven by a simulated clock."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from sardinehook.transport.tasks import Promise, RepeatingCall, sleep, start_task


def unexpected(error: Exception) -> None:
    """Fail the test."""
    pytest.fail(str(error))


class TestPromise:
    def test_all_waiting_coroutines_get_the_value(self) -> None:
        promise: Promise[int] = Promise()
        got: list[int] = []

        async def wait() -> None:
            got.append(await promise)

        start_task(wait(), unexpected)
        start_task(wait(), unexpected)
        assert got == []
        promise.resolve(7)
        assert got == [7, 7]

    def test_a_known_value_is_returned_at_once(self) -> None:
        promise: Promise[int] = Promise()
        promise.resolve(7)
        got: list[int] = []

        async def wait() -> None:
            got.append(await promise)

        start_task(wait(), unexpected)
        assert got == [7]

    def test_a_second_value_is_an_error(self) -> None:
        promise: Promise[int] = Promise()
        promise.resolve(7)
        with pytest.raises(RuntimeError):
            promise.resolve(8)


class TestStartTask:
    def test_an_error_is_reported_wherever_it_is_raised(self) -> None:
        clock = Clock()
        errors: list[Exception] = []

        async def fail_later() -> None:
            await sleep(clock, 1.0)
            raise ValueError("late")

        async def fail_now() -> None:
            raise ValueError("early")

        start_task(fail_later(), errors.append)
        start_task(fail_now(), errors.append)
        clock.advance(1.0)
        assert [str(error) for error in errors] == ["early", "late"]

    def test_sleep_lasts_until_its_time(self) -> None:
        clock = Clock()
        woke_at: list[float] = []

        async def nap() -> None:
            await sleep(clock, 0.5)
            await sleep(clock, 0.25)
            woke_at.append(clock.seconds())

        start_task(nap(), unexpected)
        for _ in range(4):
            clock.advance(0.25)
        assert woke_at == [0.75]


class TestRepeatingCall:
    def test_calls_at_each_interval_until_it_is_stopped(self) -> None:
        clock = Clock()
        called_at: list[float] = []
        call = RepeatingCall(clock, 0.5, lambda: called_at.append(clock.seconds()))
        call.start()
        clock.pump([0.5, 0.5, 0.25])
        call.stop()
        clock.pump([0.5, 0.5])
        assert called_at == [0.5, 1.0]

    def test_goes_on_after_an_error(self) -> None:
        clock = Clock()
        calls: list[int] = []

        def fail() -> None:
            calls.append(1)
            raise ValueError("unexpected")

        RepeatingCall(clock, 0.5, fail).start()
        for _ in range(2):
            with pytest.raises(ValueError, match="unexpected"):
                clock.advance(0.5)
        assert len(calls) == 2
