"""Adaptive limit of the sub-queries in flight at one replica."""

from __future__ import annotations

from sardinehook.messages import TargetState

__all__ = ["ConcurrencyLimit"]

SUCCESSES_PER_STEP = 8
SLOW_REPLIES_TO_RESET = 3
TIMEOUTS_TO_RESET = 2


class ConcurrencyLimit:
    """The limit of concurrent sub-queries at one replica, with its warm-up state.

    It starts at ``cold_start_slots`` and grows by one after eight timely replies
    that came while the limit was reached. At ``slots`` the replica counts as warm.
    Any sign of a cold start resets the limit to ``cold_start_slots`` at once. The
    passage of time alone changes nothing.

    >>> ramp = ConcurrencyLimit(cold_start_slots=1, slots=2)
    >>> ramp.bound, ramp.state.name
    (1, 'UNKNOWN')
    >>> for _ in range(8):
    ...     ramp.record_success(TargetState.WARM, at_limit=True, slow=False)
    >>> ramp.bound, ramp.state.name
    (2, 'WARM')
    """

    def __init__(self, cold_start_slots: int, slots: int) -> None:
        self.cold_start_slots = cold_start_slots
        self.slots = slots
        self.state = TargetState.UNKNOWN
        self.cause = ""
        self.bound = min(cold_start_slots, slots)
        self.successes = 0
        self.slow_replies = 0
        self.timeouts = 0

    def set_slots(self, slots: int) -> None:
        """Change the maximum; only a warm replica uses additional slots at once."""
        grown = slots > self.slots
        self.slots = slots
        if grown and self.state is TargetState.WARM:
            self.bound = slots
        self.bound = min(self.bound, slots)

    def record_success(
        self, reported_state: TargetState, at_limit: bool, slow: bool
    ) -> None:
        """Record a complete reply that came before its deadline.

        ``reported_state`` is the state in the reply's headers. ``at_limit`` tells
        whether the limit was reached when the sub-query was sent, ``slow`` whether
        the reply took much longer than earlier ones.
        """
        if reported_state is TargetState.COLD:
            self.reset_to_cold("a reply reported a cold target")
            return
        self.timeouts = 0
        if slow:
            self.record_slow_reply()
            return
        self.slow_replies = 0
        at_top = self.bound == self.slots
        if at_top and self.state is TargetState.WARM:
            return
        if at_limit or at_top:
            self.count_success()

    def record_slow_reply(self) -> None:
        """Record a reply much slower than usual; three in a row reset the limit."""
        self.slow_replies += 1
        if self.slow_replies >= SLOW_REPLIES_TO_RESET:
            self.reset_to_cold("replies much slower than usual")

    def count_success(self) -> None:
        """Count one success towards the next increase of the limit."""
        self.successes += 1
        if self.successes < SUCCESSES_PER_STEP:
            return
        self.successes = 0
        self.bound = min(self.bound + 1, self.slots)
        if self.bound == self.slots:
            self.state = TargetState.WARM

    def record_timeout(self) -> None:
        """Record a missed deadline; two in a row reset the limit."""
        self.timeouts += 1
        if self.timeouts >= TIMEOUTS_TO_RESET:
            self.reset_to_cold("missed deadlines")

    def record_shed(self) -> None:
        """Halve the limit, to one at least, after the target shed a sub-query."""
        self.successes = 0
        self.bound = max(1, self.bound // 2)

    def reset_to_cold(self, cause: str) -> None:
        """Treat the replica as cold; ``cause`` appears in the log."""
        if self.state is not TargetState.COLD:
            self.cause = cause
        self.state = TargetState.COLD
        self.bound = min(self.cold_start_slots, self.slots)
        self.successes = 0
        self.slow_replies = 0
        self.timeouts = 0

    def assume_warm(self) -> None:
        """Adopt the warm state seen by another owner unless the state is known here."""
        if self.state is TargetState.UNKNOWN:
            self.state = TargetState.WARM
            self.bound = self.slots

    def reset_to_unknown(self) -> None:
        """Discard the state; an unknown replica has the limit of a cold one."""
        self.reset_to_cold("")
        self.state = TargetState.UNKNOWN
