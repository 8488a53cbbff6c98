"""Limits how many parts of one upload, and ranges of one object, are submitted to the scheduler at once.

The scheduler shares capacity between volumes, and treats each part as a request of its volume. A client
that sends forty parts of one object at once would fill its volume's share with that object, and all other
requests of the volume would wait behind it; forty ranges of one object would all go to the same node.
Therefore each upload, and each object that is read in ranges, has a queue: a limited number of requests are
submitted at once, and the rest wait in order of arrival at this host, within their own deadlines. Requests
that leave the queue are scheduled like all others. Pure: no clock, no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass
class _KeyQueue:
    active: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)


class KeyQueues:
    """First-in, first-out queues by key, each with at most ``limit`` active requests."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._queues: dict[str, _KeyQueue] = {}

    def acquire(self, key: str, on_ready: Callable[[], None]) -> bool:
        """Takes a slot, and returns whether one was free.

        If none was, ``on_ready`` is called as soon as a slot has been given to this request.
        """
        queue = self._queues.setdefault(key, _KeyQueue())
        if queue.active < self.limit and not queue.waiting:
            queue.active += 1
            return True
        queue.waiting.append(on_ready)
        return False

    def cancel_wait(self, key: str, on_ready: Callable[[], None]) -> bool:
        """Leaves the queue; False if this request already got its slot, which must then be released."""
        queue = self._queues.get(key)
        if queue is None or on_ready not in queue.waiting:
            return False
        queue.waiting.remove(on_ready)
        self._remove_if_idle(key, queue)
        return True

    def release(self, key: str) -> None:
        """Gives a slot back; the first waiting request gets it."""
        queue = self._queues[key]
        if queue.waiting:
            queue.waiting.popleft()()
        else:
            queue.active -= 1
        self._remove_if_idle(key, queue)

    def _remove_if_idle(self, key: str, queue: _KeyQueue) -> None:
        if not queue.active and not queue.waiting:
            del self._queues[key]

    def waiting_count(self, key: str) -> int:
        """The number of requests that wait for a slot."""
        queue = self._queues.get(key)
        return len(queue.waiting) if queue is not None else 0

    def __len__(self) -> int:
        return len(self._queues)
