"""Rules for draining the write-back log."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from winchdyke.writeback.drain import UNRESTRICTED_FRACTION, DrainBounds, DrainQueue, QueuedRecord


def record(sequence: int, volume: str = "v", shard: int = 0, **more: object) -> QueuedRecord:
    return QueuedRecord(sequence, volume, shard, 1.0, 100, 0.0, **more)  # type: ignore[arg-type]


@given(st.integers(0, 2**32))
@examples(max_examples=150)
def test_records_of_an_order_key_are_sent_one_at_a_time_and_in_order(seed):
    draw = random.Random(seed)
    drain = DrainQueue(DrainBounds(max_in_flight=3), {"a": 1.0, "b": 3.0})
    count = 40
    for sequence in range(1, count + 1):
        volume = draw.choice("ab")
        key = f"{volume}/{draw.randrange(3)}" if draw.random() < 0.6 else ""
        drain.add(record(sequence, volume, draw.randrange(3), order_key=key))
    last_sent: dict[str, int] = {}  # by order key
    done = 0
    for _ in range(2000):
        for sent in drain.start_next(0.0, {0: 1} if draw.random() < 0.5 else {}):
            if sent.order_key:
                others = [each for each in drain.in_flight.values() if each.order_key == sent.order_key]
                assert others == [sent]
                assert sent.sequence >= last_sent.get(sent.order_key, 0)
                last_sent[sent.order_key] = sent.sequence
        for shard in range(3):
            assert sum(each.shard == shard for each in drain.in_flight.values()) <= 3
        if not drain.in_flight:
            break
        sequence = draw.choice(list(drain.in_flight))
        is_done = draw.random() < 0.8
        drain.finish_attempt(sequence, is_done)
        done += is_done
    assert done == count and drain.oldest_since_ms is None


def test_live_requests_leave_one_record_in_flight_for_a_shard_and_urgent_records_more():
    drain = DrainQueue(DrainBounds(max_in_flight=4, urgent_after_ms=1000.0), {})
    for sequence in range(1, 9):
        drain.add(record(sequence))
    assert len(drain.start_next(0.0, {0: 5})) == 1
    assert drain.start_next(0.0, {0: 5}) == []
    assert len(drain.start_next(2000.0, {0: 5})) == 3
    assert [each.sequence for each in drain.in_flight.values()] == [1, 2, 3, 4]


def test_volumes_drain_by_weight_and_an_idle_volume_does_not_catch_up():
    drain = DrainQueue(DrainBounds(max_in_flight=1), {"a": 1.0, "b": 3.0})
    for sequence in range(1, 81):
        drain.add(record(sequence, "a" if sequence % 2 else "b"))
    order = []
    for _ in range(40):
        [sent] = drain.start_next(0.0, {})
        order.append(sent.volume)
        drain.finish_attempt(sent.sequence, True)
    assert 9 <= order.count("a") <= 11
    drain.add(record(100, "late"))
    drain.add(record(101, "late"))
    drain.add(record(102, "late"))
    order = []
    for _ in range(9):
        [sent] = drain.start_next(0.0, {})
        order.append(sent.volume)
        drain.finish_attempt(sent.sequence, True)
    assert order[:3] != ["late", "late", "late"]


def test_a_volume_that_writes_through_an_outage_does_not_keep_others_out():
    drain, total_bytes = DrainQueue(DrainBounds(), {"big": 1.0, "small": 1.0}), 100_000
    free_bytes, sequence = total_bytes, 0
    drain.add(QueuedRecord(1, "small", 0, 1.0, 100, 0.0))
    free_bytes, sequence = free_bytes - 100, 1
    while drain.admits("big", 1000, free_bytes, total_bytes):
        sequence += 1
        drain.add(QueuedRecord(sequence, "big", 0, 1.0, 1000, 0.0))
        free_bytes -= 1000
    assert total_bytes - free_bytes == pytest.approx(UNRESTRICTED_FRACTION * total_bytes, abs=1000)
    admitted = 0
    while drain.admits("small", 1000, free_bytes, total_bytes):
        sequence += 1
        admitted += 1
        drain.add(QueuedRecord(sequence, "small", 0, 1.0, 1000, 0.0))
        free_bytes -= 1000
    assert admitted >= 32, "a third of the log: the share is reckoned for both volumes and one more"


def test_a_failed_record_is_queued_again_at_its_old_place():
    drain = DrainQueue(DrainBounds(max_in_flight=1), {})
    drain.add(record(1))
    drain.add(record(2))
    [first] = drain.start_next(0.0, {})
    drain.finish_attempt(first.sequence, False)
    assert [each.sequence for each in drain.start_next(0.0, {})] == [1]
