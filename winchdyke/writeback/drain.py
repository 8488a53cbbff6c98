"""Chooses which records are sent next and which volumes may still append to the log. Without I/O or a clock of its own.

Draining is background work under the scheduler: each record is handed to it as a request of the record's class, and
concurrency limits, quotas, retry budgets and slow start apply as to any other request. This module decides only how many
records are handed over:

- for each order key only the oldest record; the next one follows once that one is done;
- for a shard with queued live requests one record at a time, for other shards up to ``max_in_flight``;
- among several volumes, the one that has drained the fewest units for its weight, and its oldest record first;
- records older than ``urgent_after_ms`` are urgent: they go before all others, up to ``max_in_flight`` of them for each
  shard, even if live requests are queued for it. Those then get less capacity by the scheduler's shares and CoDel, so the
  age of records stays bounded by the capacity of the stores.

Admission: while less than ``UNRESTRICTED_FRACTION`` of the log is in use, every volume may append. Above that, a volume may
use a share of the log: its weight, divided by the total weight of itself and of all volumes with records in the log, plus
its own weight once more. So a volume that keeps writing through a long outage can't keep others out.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

UNRESTRICTED_FRACTION = 0.5  # share of the log that any volume may fill


@dataclass(frozen=True, slots=True)
class QueuedRecord:
    """A record that is to be sent to its store.

    Attributes:
        units: Work of the write, in the units of plans.
        size: Size in bytes.
        since_ms: Time at which it was acknowledged.
        order_key: Records with the same key are sent one after the other; "" without an order.
    """

    sequence: int
    volume: str
    shard: int
    units: float
    size: int
    since_ms: float
    order_key: str = ""


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """Bounds of draining.

    Attributes:
        max_in_flight: Records in flight for each shard.
        urgent_after_ms: Age from which a record goes before others.
    """

    max_in_flight: int = 4
    urgent_after_ms: float = 60_000.0


class DrainQueue:
    """The records of one gateway's log, queued and in flight."""

    def __init__(self, bounds: DrainBounds, weights: Mapping[str, float]) -> None:
        self.bounds, self.weights = bounds, weights
        self.queued: dict[int, QueuedRecord] = {}  # by sequence number, ascending
        self.in_flight: dict[int, QueuedRecord] = {}
        self._bytes: dict[str, int] = {}  # by volume, for volumes with records
        self._count: Counter[str] = Counter()
        self._drained: defaultdict[str, float] = defaultdict(float)  # units divided by weight, by volume

    def add(self, record: QueuedRecord) -> None:
        """Queues a record that was acknowledged."""
        if not self._count[record.volume]:
            # A volume that was idle starts level with the others; otherwise it would be preferred until it had caught
            # up with what they drained meanwhile.
            busy = [self._drained[volume] for volume in self._bytes]
            self._drained[record.volume] = max(self._drained[record.volume], min(busy, default=0.0))
        self.queued[record.sequence] = record
        self._count[record.volume] += 1
        self._bytes[record.volume] = self._bytes.get(record.volume, 0) + record.size

    def finish_attempt(self, sequence: int, done: bool) -> None:
        """Ends an attempt of a record: drops the record if it is done, else queues it again at its old place."""
        record = self.in_flight.pop(sequence)
        if done:
            self._count[record.volume] -= 1
            self._bytes[record.volume] -= record.size
            if not self._count[record.volume]:
                del self._bytes[record.volume], self._count[record.volume]
        else:
            self.queued[sequence] = record
            self.queued = dict(sorted(self.queued.items()))

    def start_next(self, now_ms: float, live_requests: Mapping[int, int]) -> list[QueuedRecord]:
        """Moves the records that may be sent now in flight, and returns them.

        ``live_requests``: the number of live requests queued for each shard.
        """
        started: list[QueuedRecord] = []
        while (record := self._choose(now_ms, live_requests)) is not None:
            del self.queued[record.sequence]
            self.in_flight[record.sequence] = record
            self._drained[record.volume] += record.units / self.weights.get(record.volume, 1.0)
            started.append(record)
        return started

    def _choose(self, now_ms: float, live_requests: Mapping[int, int]) -> QueuedRecord | None:
        in_flight_by_shard: defaultdict[int, int] = defaultdict(int)
        for record in self.in_flight.values():
            in_flight_by_shard[record.shard] += 1
        blocked_keys = {record.order_key for record in self.in_flight.values() if record.order_key}
        best: tuple[bool, float, int] | None = None
        chosen: QueuedRecord | None = None
        for record in self.queued.values():
            if record.order_key:
                if record.order_key in blocked_keys:
                    continue
                blocked_keys.add(record.order_key)
            urgent = now_ms - record.since_ms >= self.bounds.urgent_after_ms
            limit = self.bounds.max_in_flight if urgent or not live_requests.get(record.shard) else 1
            if in_flight_by_shard[record.shard] >= limit:
                continue
            # Urgent records are ranked by age alone, all others by what their volume has drained.
            rank = (not urgent, 0.0 if urgent else self._drained[record.volume], record.sequence)
            if best is None or rank < best:
                best, chosen = rank, record
        return chosen

    def admits(self, volume: str, size: int, free_bytes: int, total_bytes: int) -> bool:
        """Whether a volume may append ``size`` bytes to a log with ``free_bytes`` of ``total_bytes`` left."""
        if size > free_bytes:
            return False
        if total_bytes - free_bytes + size <= UNRESTRICTED_FRACTION * total_bytes:
            return True
        # The share leaves space for one more volume of the same weight; otherwise a single volume could fill the log.
        weight = self.weights.get(volume, 1.0)
        share = weight / (weight + sum(self.weights.get(each, 1.0) for each in {*self._bytes, volume}))
        return self._bytes.get(volume, 0) + size <= share * total_bytes

    @property
    def oldest_since_ms(self) -> float | None:
        """Time at which the oldest record, queued or in flight, was acknowledged; None without records."""
        return min(
            (record.since_ms for record in (*self.queued.values(), *self.in_flight.values())), default=None
        )
