"""Which record goes next, and who may still add to the log. Pure: values and the time in, values out.

Draining is background work that every rule of the scheduler still decides on: what goes from here is handed to it as a
request of its class, and windows, limits, budgets and cold bounds hold it as any other. What is decided here is only
how much is handed over:

- of each order key the oldest record alone, and the next one once that is done;
- at a shard where live requests are held, one record at a time; elsewhere up to ``max_in_flight``;
- of several courses the one that has drained least for its weight, and of its records the oldest;
- a record that is older than ``urgent_after_ms`` goes before all others, up to ``max_in_flight`` also beside live requests: then live
  ones give way, as the scheduler's shares and CoDel have it, and a record's age stays bounded by what stores can do.

*Room.* While less than ``UNRESTRICTED_FRACTION`` of the log is in use whoever comes may use it. From there on each course may hold its
weight's part of the whole among those that hold something and one more, and no more: so a course that writes through a
long outage can't keep others out.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

UNRESTRICTED_FRACTION = 0.5  # of the log that is anybody's


@dataclass(frozen=True, slots=True)
class QueuedRecord:
    """A record that is to reach its store. ``since_ms`` in ms, ``units`` as plans count."""

    sequence: int
    volume: str
    shard: int
    units: float
    size: int
    since_ms: float
    order_key: str = ""


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """How hard the log is drained."""

    max_in_flight: int = 4  # records out at a shard
    urgent_after_ms: float = 60_000.0


class DrainQueue:
    """The records of one gateway's log, and what is out of them."""

    def __init__(self, bounds: DrainBounds, weights: Mapping[str, float]) -> None:
        self.bounds, self.weights = bounds, weights
        self.queued: dict[int, QueuedRecord] = {}  # in order of sequence
        self.in_flight: dict[int, QueuedRecord] = {}
        self._bytes: dict[str, int] = {}  # of courses that hold something
        self._count: Counter[str] = Counter()
        self._drained: defaultdict[str, float] = defaultdict(float)  # units for each weight

    def add(self, record: QueuedRecord) -> None:
        """A record was acknowledged."""
        if not self._count[record.volume]:
            # Guards against a course that was idle and then has all the turns that it did not use.
            busy = [self._drained[volume] for volume in self._bytes]
            self._drained[record.volume] = max(self._drained[record.volume], min(busy, default=0.0))
        self.queued[record.sequence] = record
        self._count[record.volume] += 1
        self._bytes[record.volume] = self._bytes.get(record.volume, 0) + record.size

    def finish_attempt(self, sequence: int, done: bool) -> None:
        """An attempt of a record is over; one that is not done waits again at its old place."""
        record = self.in_flight.pop(sequence)
        if done:
            self._count[record.volume] -= 1
            self._bytes[record.volume] -= record.size
            if not self._count[record.volume]:
                del self._bytes[record.volume], self._count[record.volume]
        else:
            self.queued[sequence] = record
            self.queued = dict(sorted(self.queued.items()))

    def start_next(self, now: float, live: Mapping[int, int]) -> list[QueuedRecord]:
        """Records to hand over now; ``live``: how many live requests are held for each shard."""
        found: list[QueuedRecord] = []
        while (record := self._one(now, live)) is not None:
            del self.queued[record.sequence]
            self.in_flight[record.sequence] = record
            self._drained[record.volume] += record.units / self.weights.get(record.volume, 1.0)
            found.append(record)
        return found

    def _one(self, now: float, live: Mapping[int, int]) -> QueuedRecord | None:
        busy: defaultdict[int, int] = defaultdict(int)
        for record in self.in_flight.values():
            busy[record.shard] += 1
        keys = {record.order_key for record in self.in_flight.values() if record.order_key}
        best: tuple[bool, float, int] | None = None
        chosen: QueuedRecord | None = None
        for record in self.queued.values():
            if record.order_key:
                if record.order_key in keys:
                    continue
                keys.add(record.order_key)
            urgent = now - record.since_ms >= self.bounds.urgent_after_ms
            most = self.bounds.max_in_flight if urgent or not live.get(record.shard) else 1
            if busy[record.shard] >= most:
                continue
            # Urgent ones by age alone, all others by what their course has had.
            rank = (not urgent, 0.0 if urgent else self._drained[record.volume], record.sequence)
            if best is None or rank < best:
                best, chosen = rank, record
        return chosen

    def admits(self, volume: str, size: int, room: int, total: int) -> bool:
        """Whether a course may add so many bytes; ``room`` are free of ``total``."""
        if size > room:
            return False
        if total - room + size <= UNRESTRICTED_FRACTION * total:
            return True
        # One more of its own weight is always thought of, or a course that is alone would leave nothing for the next one.
        weight = self.weights.get(volume, 1.0)
        share = weight / (weight + sum(self.weights.get(each, 1.0) for each in {*self._bytes, volume}))
        return self._bytes.get(volume, 0) + size <= share * total

    @property
    def oldest_since_ms(self) -> float | None:
        """Since when the oldest record waits or is out (ms)."""
        return min(
            (record.since_ms for record in (*self.queued.values(), *self.in_flight.values())), default=None
        )
