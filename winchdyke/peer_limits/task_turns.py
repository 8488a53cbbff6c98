"""The turn budget for peers that are served by tasks instead of callbacks."""

from __future__ import annotations

import asyncio
from weakref import WeakKeyDictionary

from winchdyke.peer_limits.turn_budget import UNITS_PER_PEER, TurnBudget

RESUME_UNITS = 16  # the work of resuming a task; bounds how many of them continue in one turn

_budgets: WeakKeyDictionary[asyncio.AbstractEventLoop, TurnBudget] = WeakKeyDictionary()


def budget_of_running_loop() -> TurnBudget:
    """Return the budget that all peers of the running event loop share."""
    loop = asyncio.get_running_loop()
    budget = _budgets.get(loop)
    if budget is None:
        budget = _budgets[loop] = TurnBudget(loop.call_soon)
    return budget


class TaskTurns:
    """One peer's part of the event loop's budget.

    The peer's task awaits :meth:`wait` before it parses, so that a cancellation never loses what was parsed, and
    calls :meth:`count` after it.
    """

    __slots__ = ("_budget", "_counted_units", "_units_left")

    def __init__(self) -> None:
        self._budget = budget_of_running_loop()
        self._counted_units = 0
        self._units_left = UNITS_PER_PEER

    async def wait(self) -> None:
        """Continue in a later turn if the peer's part or the budget of all is used up, else at once."""
        if self._units_left > 0 and not self._budget.exhausted:
            return
        self._units_left = UNITS_PER_PEER
        turn = asyncio.Event()
        self._budget.defer(turn, lambda: self._resume(turn))
        try:
            await turn.wait()
        finally:
            self._budget.cancel(turn)

    def _resume(self, turn: asyncio.Event) -> None:
        """Let the task continue; it does so in the next turn, so its work is counted in advance."""
        self._budget.spend(RESUME_UNITS)
        turn.set()

    def count(self, work_units: int) -> None:
        """Count the work of the peer's parser, given as its total so far."""
        units = work_units - self._counted_units
        self._counted_units = work_units
        self._units_left -= units
        self._budget.spend(units)
