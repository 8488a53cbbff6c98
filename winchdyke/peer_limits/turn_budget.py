"""Rations the work for all peers in one turn of the event loop, so that timers and other peers come in between.

A turn of the event loop calls the handlers of all sockets that are ready before it looks at its timers. However
small the work for each, its sum grows with the number of peers. Here they share a budget: whoever finds it spent
continues in a later turn, in the order in which they came.
"""

from __future__ import annotations

from collections.abc import Callable

# A unit is about the work of parsing one header line (message_gate).
UNITS_PER_TURN = 1024
# What one peer may use before the others continue; enough for a request without a long body.
UNITS_PER_PEER = 64
RECEIVED_BYTES_PER_UNIT = 4 * 1024
DISCARDED_BYTES_PER_UNIT = 16 * 1024
RECEIVE_UNITS = 2  # the work of reading from a socket once


def discard_units(discarded_bytes: int) -> int:
    """Return the work of dropping this many bytes from a socket once, which are neither copied nor parsed."""
    return RECEIVE_UNITS + discarded_bytes // DISCARDED_BYTES_PER_UNIT


def receive_units(received_bytes: int) -> int:
    """Return the work of reading this many bytes from a socket."""
    return RECEIVE_UNITS + received_bytes // RECEIVED_BYTES_PER_UNIT


class TurnBudget:
    """The work of one event loop for its peers, turn by turn.

    Deferred work has the first half of a turn's budget, so that peers that are ready for the first time find the other
    half. The budget may be exceeded by what one peer does after its last look at it.

    Attributes:
        spent_units: Units spent in this turn, or in the turns since about half a budget was spent.
        deferred_count: How often work was deferred so far.
        max_turn_units: The largest number of units spent in one turn so far.
    """

    def __init__(
        self, call_soon: Callable[[Callable[[], None]], object], units_per_turn: int = UNITS_PER_TURN
    ) -> None:
        self.units_per_turn = units_per_turn
        self.spent_units = 0
        self.deferred_count = 0
        self.max_turn_units = 0
        self._call_soon = call_soon
        self._turn_scheduled = False
        self._deferred: dict[object, Callable[[], None]] = {}  # the oldest first

    @property
    def exhausted(self) -> bool:
        """Whether the turn's budget is spent."""
        return self.spent_units >= self.units_per_turn

    @property
    def has_deferred(self) -> bool:
        """Whether any work is deferred."""
        return bool(self._deferred)

    def spend(self, units: int) -> None:
        """Count work that was done."""
        self.spent_units += units
        # A new turn costs a pass of the event loop, so it is scheduled only once half of the budget is spent.
        if self.spent_units >= self.units_per_turn // 2:
            self._schedule_turn()

    def defer(self, owner: object, work: Callable[[], None]) -> None:
        """Call ``work`` in a later turn; an owner has at most one piece of work deferred."""
        if owner not in self._deferred:
            self.deferred_count += 1
            self._deferred[owner] = work
            self._schedule_turn()

    def is_deferred(self, owner: object) -> bool:
        """Return whether an owner's work is deferred."""
        return owner in self._deferred

    def cancel(self, owner: object) -> None:
        """Drop an owner's deferred work."""
        self._deferred.pop(owner, None)

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self.max_turn_units = max(self.max_turn_units, self.spent_units)
        self.spent_units = 0
        self._turn_scheduled = False
        waiting = list(self._deferred)
        if waiting:
            self._schedule_turn()
        for owner in waiting:
            if self.spent_units >= self.units_per_turn // 2:
                return
            work = self._deferred.pop(owner, None)
            if work is not None:
                work()
