"""The order of acknowledged writes of one object, at whichever gateways. Without I/O.

A write is stamped when its gateway acknowledges it from the log, or when it is sent if it goes through. Stores keep the stamp with
the object, and after a deletion. Two stamps of one process are ordered by their times, which never repeat there. Stamps of
two processes are ordered if their times differ by more than the bound on the difference of two gateways' clocks.
"""

from __future__ import annotations

import math
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

STAMP_RESOLUTION_MS = 0.001
CLOCK_NAME_LENGTH = 20
MODIFICATION_RESOLUTION_MS = 1000.0  # Last-Modified counts whole seconds
MAX_STAMP_CHARACTERS = 100


@dataclass(frozen=True, slots=True)
class WriteStamp:
    """When a write was acknowledged or sent through: Unix time in ms, and the name of the process's clock."""

    unix_ms: float
    clock: str

    def encode(self) -> str:
        """Return the stamp as stores keep it."""
        return f"{self.unix_ms:.3f};{self.clock}"


def parse_stamp(text: str) -> WriteStamp | None:
    """Return the stamp that a store has kept; None if the text is none."""
    time_text, separator, clock = text[:MAX_STAMP_CHARACTERS].partition(";")
    try:
        unix_ms = float(time_text)
    except ValueError:
        return None
    return WriteStamp(unix_ms, clock) if separator and math.isfinite(unix_ms) else None


class WriteClock:
    """Makes the stamps of one process; each has a later time than all before it, also if the system's clock is set back.

    Args:
        unix_ms: Returns the Unix time in milliseconds.
    """

    def __init__(self, unix_ms: Callable[[], float]) -> None:
        self.name = uuid.uuid4().hex[:CLOCK_NAME_LENGTH]
        self._unix_ms = unix_ms
        self._last_ms = 0.0

    def stamp(self) -> WriteStamp:
        """Return the stamp of a write that happens now."""
        self._last_ms = round(max(self._unix_ms(), self._last_ms + STAMP_RESOLUTION_MS), 3)
        return WriteStamp(self._last_ms, self.name)


@dataclass(frozen=True, slots=True)
class StoredVersion:
    """What a store holds of an object.

    Attributes:
        etag: The object's ETag; empty: there is no such object.
        stamp: The stamp of the write or the deletion that was the last one; None: the store has none.
        modified_ms: When the store wrote it, in Unix ms, rounded down to a second; None: not reported.
    """

    etag: str
    stamp: WriteStamp | None = None
    modified_ms: float | None = None


@dataclass(frozen=True, slots=True)
class SendingHistory:
    """What is known of a record's earlier sendings, and of the record before it.

    Attributes:
        precondition: The ETag that the store held before the record was first sent; None: it was never sent.
        possibly_executed: Whether an attempt may have been executed.
        predecessor: The stamp of the same log's write of the object that was stored last; None: there was none.
    """

    precondition: str | None = None
    possibly_executed: bool = False
    predecessor: WriteStamp | None = None


class NextStep(Enum):
    """What to do with a record, given what its store holds."""

    SEND = auto()  # Send it, under the condition that the store still holds this version.
    STORED = auto()  # The store holds the record's write.
    SUPERSEDED = auto()  # The store holds a write that was acknowledged later.
    QUARANTINE = auto()  # The order of the two writes is unknown.


class _Order(Enum):
    STORED_IS_EARLIER = auto()
    STORED_IS_LATER = auto()
    UNKNOWN = auto()


def next_step(
    written: WriteStamp, etag: str, stored: StoredVersion, history: SendingHistory, clock_bound_ms: float
) -> NextStep:
    """Decide what happens to a record before each of its sendings, however late that is.

    Args:
        written: The record's stamp.
        etag: The ETag that the record's content has.
        stored: What the store holds now.
        history: What is known of earlier sendings.
        clock_bound_ms: The bound on the difference of two gateways' clocks.
    """
    if stored.stamp == written and stored.etag == etag:
        return NextStep.STORED
    order = _order(written, stored, history.predecessor, clock_bound_ms)
    if order is _Order.STORED_IS_LATER:
        return NextStep.SUPERSEDED
    is_unchanged = stored.etag == history.precondition
    if order is _Order.STORED_IS_EARLIER and (is_unchanged or not history.possibly_executed):
        return NextStep.SEND
    if order is _Order.UNKNOWN and is_unchanged:
        return NextStep.SEND
    # Whichever write came last, the object's content is the record's.
    return NextStep.STORED if stored.etag == etag else NextStep.QUARANTINE


def _order(
    written: WriteStamp, stored: StoredVersion, predecessor: WriteStamp | None, clock_bound_ms: float
) -> _Order:
    stamp = stored.stamp
    if stamp is None:
        return _order_without_stamp(written, stored, clock_bound_ms)
    if stamp == written:
        return _Order.UNKNOWN  # a deletion or a change that passed by the gateways
    if stamp == predecessor:
        return _Order.STORED_IS_EARLIER
    margin_ms = 0.0 if stamp.clock and stamp.clock == written.clock else clock_bound_ms
    if stamp.unix_ms + margin_ms < written.unix_ms:
        return _Order.STORED_IS_EARLIER
    if stamp.unix_ms - margin_ms > written.unix_ms:
        return _Order.STORED_IS_LATER
    return _Order.UNKNOWN


def _order_without_stamp(written: WriteStamp, stored: StoredVersion, clock_bound_ms: float) -> _Order:
    """Order a write after what was stored before it; what was stored later may have been acknowledged before it."""
    if not stored.etag:
        return _Order.STORED_IS_EARLIER
    if stored.modified_ms is None:
        return _Order.UNKNOWN
    stored_by_ms = stored.modified_ms + MODIFICATION_RESOLUTION_MS + clock_bound_ms
    return _Order.STORED_IS_EARLIER if stored_by_ms < written.unix_ms else _Order.UNKNOWN
