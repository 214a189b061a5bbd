"""How many sub-queries at a time a replica bears, by evidence from its replies."""

from __future__ import annotations

from sardinehook.messages import TargetState

__all__ = ["ConcurrencyLimit"]

SUCCESSES_PER_STEP = 8
SLOW_REPLIES_TO_RESET = 3
TIMEOUTS_TO_RESET = 2


class ConcurrencyLimit:
    """The bound on work in flight at one replica.

    It starts at ``cold_start_slots`` and grows by one after eight good replies in
    time at full use, until it reaches ``slots`` and the replica counts as warm. Any
    sign of a cold start takes it back to ``cold_start_slots`` at once. Time alone
    changes nothing.

    >>> concurrency = ConcurrencyLimit(cold_start_slots=1, slots=2)
    >>> concurrency.limit, concurrency.state.name
    (1, 'UNKNOWN')
    >>> for _ in range(8):
    ...     concurrency.record_success(TargetState.WARM, at_limit=True, slow=False)
    >>> concurrency.limit, concurrency.state.name
    (2, 'WARM')
    """

    def __init__(self, cold_start_slots: int, slots: int) -> None:
        self.cold_start_slots = cold_start_slots
        self.slots = slots
        self.state = TargetState.UNKNOWN
        self.cause = ""
        self.limit = min(cold_start_slots, slots)
        self.successes = 0
        self.slow_replies = 0
        self.timeouts = 0

    def set_slots(self, slots: int) -> None:
        """Take a new allowance of ``slots``."""
        grown = slots > self.slots
        self.slots = slots
        if grown and self.state is TargetState.WARM:
            self.limit = slots
        self.limit = min(self.limit, slots)

    def record_success(
        self, reported_state: TargetState, at_limit: bool, slow: bool
    ) -> None:
        """Count a whole reply in time.

        ``reported_state`` is the state in the reply, ``at_limit`` whether as many sub-queries
        as the bound allows were in flight and ``slow`` whether the reply took far
        longer than earlier ones.
        """
        if reported_state is TargetState.COLD:
            self.reset_to_cold("a reply says so")
            return
        self.timeouts = 0
        if slow:
            self.record_slow_reply()
            return
        self.slow_replies = 0
        at_top = self.limit == self.slots
        if at_top and self.state is TargetState.WARM:
            return
        if at_limit or at_top:
            self.count_success()

    def record_slow_reply(self) -> None:
        """Count a reply far slower than usual; three in a row are a setback."""
        self.slow_replies += 1
        if self.slow_replies >= SLOW_REPLIES_TO_RESET:
            self.reset_to_cold("sudden slowness")

    def count_success(self) -> None:
        """Count one good reply at full use and grow the bound when it is due."""
        self.successes += 1
        if self.successes < SUCCESSES_PER_STEP:
            return
        self.successes = 0
        self.limit = min(self.limit + 1, self.slots)
        if self.limit == self.slots:
            self.state = TargetState.WARM

    def record_timeout(self) -> None:
        """Count a reply that missed its deadline; two in a row are a setback."""
        self.timeouts += 1
        if self.timeouts >= TIMEOUTS_TO_RESET:
            self.reset_to_cold("missed deadlines")

    def record_shed(self) -> None:
        """Halve the bound after the target refused work."""
        self.successes = 0
        self.limit = max(1, self.limit // 2)

    def reset_to_cold(self, cause: str) -> None:
        """Treat the replica as cold; ``cause`` is for people."""
        if self.state is not TargetState.COLD:
            self.cause = cause
        self.state = TargetState.COLD
        self.limit = min(self.cold_start_slots, self.slots)
        self.successes = 0
        self.slow_replies = 0
        self.timeouts = 0

    def assume_warm(self) -> None:
        """Take another owner's word that the replica is warm, if nothing is known."""
        if self.state is TargetState.UNKNOWN:
            self.state = TargetState.WARM
            self.limit = self.slots

    def reset_to_unknown(self) -> None:
        """Return to knowing nothing, which bears what a cold start bears."""
        self.reset_to_cold("")
        self.state = TargetState.UNKNOWN
