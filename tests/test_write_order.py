"""The order of acknowledged writes of one object at two gateways, in all interleavings with a crash and a lost response."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

import pytest

from winchdyke.writeback.write_order import (
    NextStep,
    SendingHistory,
    StoredVersion,
    WriteClock,
    WriteStamp,
    next_step,
    parse_stamp,
)

BOUND_MS = 250.0
THROUGH = 2  # the index of a write that goes through a third gateway


@dataclass(frozen=True)
class Record:
    """One record of the model. ``seen``: what the store held when the record's order was checked."""

    acknowledged_at: int | None = None
    seen: StoredVersion | None = None
    precondition: str | None = None
    possibly_executed: bool = False
    executions: int = 0
    end: NextStep | None = None


@dataclass(frozen=True)
class World:
    """The model's state: the store holds the write with the index ``stored``; -1 is none."""

    step: int = 0
    records: tuple[Record, Record] = (Record(), Record())
    stored: int = -1
    through_at: int | None = None
    last_stored: int = -1
    crashes_left: int = 1
    losses_left: int = 1
    through_left: int = 1


class Model:
    """All that can happen to two records of one object.

    Args:
        step_ms: The time between two steps.
        offsets_ms: How far the clocks of the two gateways and of the third one are off.
        same_log: Whether one log has both records; it then sends the second one after the first.
    """

    def __init__(self, step_ms: float, offsets_ms: tuple[float, float, float], same_log: bool) -> None:
        self.step_ms, self.offsets_ms, self.same_log = step_ms, offsets_ms, same_log

    def at(self, world: World, index: int) -> int:
        """Return the step at which a write was acknowledged."""
        at = world.through_at if index == THROUGH else world.records[index].acknowledged_at
        assert at is not None
        return at

    def stamp(self, world: World, index: int) -> WriteStamp:
        clock = "gateway-0" if self.same_log and index < THROUGH else f"gateway-{index}"
        offset_ms = self.offsets_ms[0 if self.same_log and index < THROUGH else index]
        return WriteStamp(10_000.0 + self.at(world, index) * self.step_ms + offset_ms, clock)

    def version(self, world: World) -> StoredVersion:
        if world.stored < 0:
            return StoredVersion("")
        return StoredVersion(f"tag-{world.stored}", self.stamp(world, world.stored))

    def store(self, world: World, index: int) -> World:
        if world.stored >= 0:
            assert self.at(world, world.stored) < self.at(world, index), "an older write replaced a newer one"
        return replace(world, stored=index)

    def next_worlds(self, world: World) -> Iterator[World]:
        """Yield what may come next, and check each step."""
        now = replace(world, step=world.step + 1)
        for index, record in enumerate(world.records):
            for after, changed in self._record_steps(now, index, record):
                records = (changed, after.records[1]) if index == 0 else (after.records[0], changed)
                yield replace(after, records=records)
        if world.crashes_left:
            yield from self._crashes(now)
        if world.through_left:
            sent = replace(now, through_left=0, through_at=now.step)
            yield self.store(sent, THROUGH)

    def _record_steps(self, now: World, index: int, record: Record) -> Iterator[tuple[World, Record]]:
        if record.acknowledged_at is None:
            if index == 0 or not self.same_log or now.records[0].acknowledged_at is not None:
                yield now, replace(record, acknowledged_at=now.step)
        elif record.end is not None or (self.same_log and index == 1 and now.records[0].end is None):
            return
        elif record.seen is None:
            yield now, self._checked(now, index, record)
        else:
            yield from self._sent(now, index, replace(record, precondition=record.seen.etag, seen=None))

    def _checked(self, now: World, index: int, record: Record) -> Record:
        """Return a record after its store was asked what it holds."""
        stored = self.version(now)
        predecessor = self.stamp(now, now.last_stored) if now.last_stored >= 0 and self.same_log else None
        history = SendingHistory(record.precondition, record.possibly_executed, predecessor)
        step = next_step(self.stamp(now, index), f"tag-{index}", stored, history, BOUND_MS)
        if step is NextStep.SEND:
            return replace(record, seen=stored)
        if step is NextStep.STORED:
            assert record.executions == 1
        if step is NextStep.SUPERSEDED:
            assert self.at(now, now.stored) > self.at(now, index), "superseded by an older write"
        return replace(record, end=step)

    def _sent(self, now: World, index: int, record: Record) -> Iterator[tuple[World, Record]]:
        if self.version(now).etag != record.precondition:  # 412
            yield now, record
            return
        assert not record.executions, "the write took effect twice"
        after = self.store(now, index)
        executed = replace(record, executions=1)
        yield replace(after, last_stored=index), replace(executed, end=NextStep.STORED)
        if now.losses_left:
            yield replace(after, losses_left=0), replace(executed, possibly_executed=True)

    def _crashes(self, now: World) -> Iterator[World]:
        for crashed in ((0, 1),) if self.same_log else ((0,), (1,)):
            records = tuple(
                replace(each, seen=None, possibly_executed=each.precondition is not None)
                if index in crashed and each.end is None
                else each
                for index, each in enumerate(now.records)
            )
            yield replace(now, records=records, crashes_left=0, last_stored=-1)

    def check_end(self, world: World) -> None:
        """Check a state in which both records have ended: nothing was lost in silence."""
        for record in world.records:
            assert record.executions or record.end in (NextStep.SUPERSEDED, NextStep.QUARANTINE)
        kept = [index for index, each in enumerate(world.records) if each.end is NextStep.QUARANTINE]
        writes = [0, 1, *([THROUGH] if world.through_at is not None else [])]
        latest = max(writes, key=lambda index: self.at(world, index))
        assert latest == world.stored or latest in kept


@pytest.mark.parametrize("same_log", [False, True])
@pytest.mark.parametrize("step_ms", [1.0, 100.0, 300.0, 2000.0])
@pytest.mark.parametrize(
    "offsets_ms", [(0.0, 0.0, 0.0), (0.0, 249.0, 0.0), (249.0, 0.0, 0.0), (0.0, 125.0, 249.0)]
)
def test_no_late_sending_replaces_what_was_acknowledged_after_it(step_ms, offsets_ms, same_log):
    # Guards against a log that writes what it holds over newer acknowledged writes, and against writes lost in silence.
    model = Model(step_ms, offsets_ms, same_log)
    seen: set[World] = set()
    ended = 0
    waiting = [World()]
    while waiting:
        world = waiting.pop()
        if world in seen or world.step > 12:
            continue
        seen.add(world)
        if all(each.end is not None for each in world.records):
            model.check_end(world)
            ended += 1
        waiting.extend(model.next_worlds(world))
    assert ended > 100
    assert not _kept_without_need(seen, step_ms)


def _kept_without_need(worlds: set[World], step_ms: float) -> list[World]:
    """Return states in which a write was kept although all were further apart than twice the bound."""
    if step_ms <= 2 * BOUND_MS:
        return []
    return [
        world
        for world in worlds
        if not any(each.possibly_executed for each in world.records)
        and any(each.end is NextStep.QUARANTINE for each in world.records)
    ]


def test_writes_of_one_process_have_a_total_order_although_its_clock_is_set_back():
    times = iter([100.0, 100.0, 50.0, 200.0])
    clock = WriteClock(lambda: next(times))
    stamps = [clock.stamp() for _ in range(4)]
    assert [each.unix_ms for each in stamps] == sorted({each.unix_ms for each in stamps})
    assert [parse_stamp(each.encode()) for each in stamps] == stamps
    assert WriteClock(lambda: 0.0).name != clock.name
    for later, earlier in zip(stamps[1:], stamps, strict=False):
        history = SendingHistory()
        assert next_step(later, "b", StoredVersion("a", earlier), history, BOUND_MS) is NextStep.SEND
        assert next_step(earlier, "a", StoredVersion("b", later), history, BOUND_MS) is NextStep.SUPERSEDED


def test_write_of_the_same_log_follows_the_one_before_it_although_a_restart_lies_between():
    # Guards against a log that takes its own earlier write, acknowledged by another process, for one of unknown order.
    before, after = WriteStamp(10_000.0, "a"), WriteStamp(10_001.0, "b")
    stored = StoredVersion("before", before)
    assert next_step(after, "after", stored, SendingHistory(predecessor=before), BOUND_MS) is NextStep.SEND
    assert next_step(after, "after", stored, SendingHistory(), BOUND_MS) is NextStep.QUARANTINE


@pytest.mark.parametrize(
    ("stored", "expected"),
    [
        (StoredVersion(""), NextStep.SEND),
        (StoredVersion("", WriteStamp(9_000.0, "b")), NextStep.SEND),  # deleted before
        (StoredVersion("", WriteStamp(11_000.0, "b")), NextStep.SUPERSEDED),  # deleted afterwards
        (StoredVersion("other", WriteStamp(10_249.0, "b")), NextStep.QUARANTINE),
        (StoredVersion("other", WriteStamp(9_751.0, "b")), NextStep.QUARANTINE),
        (
            StoredVersion("own", WriteStamp(10_249.0, "b")),
            NextStep.STORED,
        ),  # the same content, whichever came last
        (StoredVersion("other", None, 8_000.0), NextStep.SEND),  # stored before by a gateway without stamps
        (StoredVersion("other", None, 9_000.0), NextStep.QUARANTINE),
        (StoredVersion("other", None, None), NextStep.QUARANTINE),
    ],
)
def test_what_a_store_tells_decides_about_a_record_that_was_never_sent(stored, expected):
    # Guards against a record that is dropped or sent on a guess: what is within the clocks' bound is kept and reported.
    written = WriteStamp(10_000.0, "a")
    assert next_step(written, "own", stored, SendingHistory(), BOUND_MS) is expected


def test_write_that_may_have_run_is_sent_again_only_where_it_can_not_take_effect_twice():
    # Guards against a second effect: all combinations of what the store holds and what it held before the first sending.
    written = WriteStamp(10_000.0, "a")
    stamps = [
        None,
        *(WriteStamp(unix_ms, "b") for unix_ms in (1_000.0, 9_900.0, 10_000.0, 10_100.0, 20_000.0)),
    ]
    for etag in ("", "before", "other", "own"):
        for stamp in [*stamps, written]:
            for modified_ms in (None, 1_000.0, 9_999.0):
                stored = StoredVersion(etag, stamp, modified_ms)
                history = SendingHistory("before", possibly_executed=True)
                step = next_step(written, "own", stored, history, BOUND_MS)
                if step is NextStep.SEND:
                    assert etag == "before", "sent under a condition that fails if it has run"
                elif step is NextStep.STORED:
                    assert etag == "own"
                elif step is NextStep.SUPERSEDED:
                    assert stamp is not None and stamp.unix_ms > written.unix_ms + BOUND_MS
                else:
                    assert step is NextStep.QUARANTINE and etag not in ("before", "own")


@pytest.mark.parametrize("text", ["", "12", "x;y", "nan;y", "inf;y", ";"])
def test_stamps_that_can_not_be_read_are_none(text):
    assert parse_stamp(text) is None
