"""Draining and replay, as pure rules."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from winchdyke.writeback.drain import UNRESTRICTED_FRACTION, DrainBounds, DrainQueue, QueuedRecord
from winchdyke.writeback.replay import (
    DEDUPLICATION_MARGIN_MS,
    AttemptHistory,
    ReplayAction,
    StoredContent,
    action_for_content,
    choose_action,
)


def record(sequence: int, volume: str = "v", shard: int = 0, **more: object) -> QueuedRecord:
    return QueuedRecord(sequence, volume, shard, 1.0, 100, 0.0, **more)  # type: ignore[arg-type]


@given(st.integers(0, 2**32))
@examples(max_examples=150)
def test_order_keys_go_one_at_a_time_and_in_order_whatever_ends_when(seed):
    draw = random.Random(seed)
    drain = DrainQueue(DrainBounds(max_in_flight=3), {"a": 1.0, "b": 3.0})
    wanted = 40
    for sequence in range(1, wanted + 1):
        volume = draw.choice("ab")
        key = f"{volume}/{draw.randrange(3)}" if draw.random() < 0.6 else ""
        drain.add(record(sequence, volume, draw.randrange(3), order_key=key))
    last: dict[str, int] = {}
    done = 0
    for _ in range(2000):
        for sent in drain.start_next(0.0, {0: 1} if draw.random() < 0.5 else {}):
            if sent.order_key:
                others = [each for each in drain.in_flight.values() if each.order_key == sent.order_key]
                assert others == [sent]
                assert sent.sequence >= last.get(sent.order_key, 0)
                last[sent.order_key] = sent.sequence
        for shard in range(3):
            assert sum(each.shard == shard for each in drain.in_flight.values()) <= 3
        if not drain.in_flight:
            break
        sequence = draw.choice(list(drain.in_flight))
        over = draw.random() < 0.8
        drain.finish_attempt(sequence, over)
        done += over
    assert done == wanted and drain.oldest_since_ms is None


def test_live_requests_leave_one_record_out_at_a_shard_and_urgent_ones_more():
    drain = DrainQueue(DrainBounds(max_in_flight=4, urgent_after_ms=1000.0), {})
    for sequence in range(1, 9):
        drain.add(record(sequence))
    assert len(drain.start_next(0.0, {0: 5})) == 1
    assert drain.start_next(0.0, {0: 5}) == []
    assert len(drain.start_next(2000.0, {0: 5})) == 3
    assert [each.sequence for each in drain.in_flight.values()] == [1, 2, 3, 4]


def test_courses_drain_by_weight_and_one_that_was_idle_has_no_turns_saved_up():
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


def test_a_course_that_writes_through_an_outage_keeps_nobody_out():
    drain, total = DrainQueue(DrainBounds(), {"big": 1.0, "small": 1.0}), 100_000
    room, sequence = total, 0
    drain.add(QueuedRecord(1, "small", 0, 1.0, 100, 0.0))
    room, sequence = room - 100, 1
    while drain.admits("big", 1000, room, total):
        sequence += 1
        drain.add(QueuedRecord(sequence, "big", 0, 1.0, 1000, 0.0))
        room -= 1000
    assert total - room == pytest.approx(UNRESTRICTED_FRACTION * total, abs=1000)
    took = 0
    while drain.admits("small", 1000, room, total):
        sequence += 1
        took += 1
        drain.add(QueuedRecord(sequence, "small", 0, 1.0, 1000, 0.0))
        room -= 1000
    assert took >= 32, "a third: two courses and one more that may come"


def test_a_record_that_fails_waits_again_at_its_old_place():
    drain = DrainQueue(DrainBounds(max_in_flight=1), {})
    drain.add(record(1))
    drain.add(record(2))
    [first] = drain.start_next(0.0, {})
    drain.finish_attempt(first.sequence, False)
    assert [each.sequence for each in drain.start_next(0.0, {})] == [1]


def test_what_may_have_run_is_only_repeated_where_that_is_proven_harmless():
    """Every combination: only within the memory under its key, or by a condition; never by guess."""
    for keyed, conditional, tells, mine in itertools.product((True, False), repeat=4):
        for age in (0.0, 4000.0 - DEDUPLICATION_MARGIN_MS - 1, 4000.0 - DEDUPLICATION_MARGIN_MS, 4000.0, 1e9):
            found = choose_action(AttemptHistory(0.0, mine), age, 4000.0, keyed, conditional, tells)
            known = keyed and mine and age < 4000.0 - DEDUPLICATION_MARGIN_MS
            if found is ReplayAction.RESEND_WITH_KEY:
                assert known
            elif found is ReplayAction.RESEND_CONDITIONALLY:
                assert conditional and not known
            elif found is ReplayAction.QUERY_STORE:
                assert tells and not conditional and not known
            else:
                assert found is ReplayAction.QUARANTINE and not (known or conditional or tells)
    assert choose_action(AttemptHistory(), 1e9, 0.0, False, False, False) is ReplayAction.SEND


def test_what_a_store_holds_decides_and_what_nobody_can_tell_is_kept():
    assert action_for_content(StoredContent.OWN) is None
    assert action_for_content(StoredContent.PREVIOUS) is ReplayAction.RESEND_CONDITIONALLY
    assert action_for_content(StoredContent.OTHER) is ReplayAction.QUARANTINE
