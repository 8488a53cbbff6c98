"""How many parts of one upload, and ranges of one object, are handed to the scheduler at once. Pure: no clock, no I/O.

Each part is a request of its course to the scheduler, which shares room by course. But a client that sends forty parts of one object
at once fills its course's share with that object, so that all others of the course wait behind it; and forty ranges of one object herd
on its node. So each upload, and each object that is read in ranges, has a lane: so many at once, the rest wait in turn of arrival at
the host, within their own deadlines. A lane is only a wait before the scheduler: what it lets through is decided there as all else is.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass
class _Lane:
    out: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


class Lanes:
    """Lanes by name, each ``wide``. ``go`` is called once a place is free."""

    def __init__(self, wide: int) -> None:
        self.wide = wide
        self._lanes: dict[str, _Lane] = {}

    def enter(self, name: str, go: Callable[[], None]) -> bool:
        """Whether there is a place at once; else ``go`` is called as soon as there is one."""
        lane = self._lanes.setdefault(name, _Lane())
        if lane.out < self.wide and not lane.waiting:
            lane.out += 1
            return True
        lane.waiting.append(go)
        return False

    def leave_queue(self, name: str, go: Callable[[], None]) -> bool:
        """Give up waiting; False where the place was given already, and has to be given back."""
        lane = self._lanes.get(name)
        if lane is None or go not in lane.waiting:
            return False
        lane.waiting.remove(go)
        self._tidy(name, lane)
        return True

    def leave(self, name: str) -> None:
        """Give a place back: the first one that waits has it."""
        lane = self._lanes[name]
        if lane.waiting:
            lane.waiting.popleft()()
        else:
            lane.out -= 1
        self._tidy(name, lane)

    def _tidy(self, name: str, lane: _Lane) -> None:
        if not lane.out and not lane.waiting:
            del self._lanes[name]

    def waits(self, name: str) -> int:
        """How many wait in a lane."""
        lane = self._lanes.get(name)
        return len(lane.waiting) if lane is not None else 0

    def __len__(self) -> int:
        return len(self._lanes)
