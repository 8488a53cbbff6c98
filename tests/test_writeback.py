"""The write-back log on disks that lose, tear, reorder, fill up and fail; and under kills of a real process."""

from __future__ import annotations

import contextlib
import errno
import random
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from winchdyke.writeback.commit import Committer
from winchdyke.writeback.disk import Folder, FolderLockedError
from winchdyke.writeback.emulated import EmulatedDisk, SimulatedCrash
from winchdyke.writeback.log import (
    SEGMENT_HEADER_SIZE,
    DurabilityUnknownError,
    Log,
    LogError,
    LogFullError,
    encode_segment_header,
    segment_file_name,
)

SMALL = 4096  # bytes of a segment: histories cross several
Step = tuple[str, int]
HISTORIES: list[list[Step]] = [
    [("write", 30), ("sync", 0), ("write", 700), ("write", 9), ("sync", 0), ("done", 1), ("sync", 0)],
    [("write", 1200), ("write", 1200), ("sync", 0), ("write", 1200), ("write", 1200), ("sync", 0), ("done", 2)],
    [("write", 2500), ("sync", 0), ("done", 1), ("write", 2500), ("sync", 0), ("done", 3), ("write", 2500), ("sync", 0)],
    [("write", 1), ("sync", 0), ("done", 1), ("sync", 0), ("write", 600), ("write", 600), ("sync", 0)],
]  # fmt: skip


class Story:
    """What a client knows of a history while it goes on."""

    def __init__(self) -> None:
        self.asked: dict[int, bytes] = {}  # all that was ever appended
        self.safe: set[int] = set()  # acknowledged
        self.done: set[int] = set()  # handed to the log as done
        self._new: list[int] = []

    def play(self, log: Log, steps: list[Step]) -> None:
        """Go on as a gateway would; what the log refuses is not acknowledged."""
        for number, (what, value) in enumerate(steps):
            try:
                if what == "write":
                    payload = bytes([1 + number]) * value
                    sequence = log.append(payload)
                    self.asked[sequence] = payload
                    self._new.append(sequence)
                elif what == "sync":
                    log.sync()
                elif value in log.pending_writes:
                    self.done.add(value)
                    log.mark_done([value])
            except LogError:
                pass
            self.safe |= {each for each in self._new if each <= log.synced and each in log.pending_writes}

    def check(self, found: Log) -> None:
        """Nothing acknowledged is missing, nothing is there that nobody wrote, and nothing acknowledged was called lost."""
        there = dict(found.writes())
        for sequence, payload in there.items():
            assert self.asked.get(sequence) == payload, sequence
        missing = self.safe - self.done - set(there)
        assert not missing, f"acknowledged and gone: {missing}; {found.recovery}"
        assert not found.recovery.corrupt, found.recovery.corrupt


def opened(disk: EmulatedDisk) -> Log:
    return Log(disk, SMALL, 4 * SMALL)


def explored(steps: list[Step], make: Callable[[EmulatedDisk], Log], **faults: object) -> int:
    """Crash at every operation, with every disk that may be found; how many states were looked at."""
    states = at = 0
    while True:
        disk, story = EmulatedDisk(crash_at=at, **faults), Story()  # type: ignore[arg-type]
        over = False
        try:
            story.play(make(disk), steps)
            over = True
        except SimulatedCrash:
            pass
        for found in disk.crash_states():
            states += 1
            story.check(opened(found))
            again = opened(found)  # found anew, after the first finder was killed
            story.check(again)
        if over:
            return states
        at += 1


@pytest.mark.parametrize("steps", HISTORIES, ids=range(len(HISTORIES)))
def test_whatever_a_crash_leaves_all_that_was_acknowledged_is_found(steps):
    assert explored(steps, opened) > 20


@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC], ids=["io", "full"])
@pytest.mark.parametrize("steps", HISTORIES, ids=range(len(HISTORIES)))
def test_an_operation_that_fails_costs_no_acknowledged_write_at_any_later_crash(steps, error):
    disk = EmulatedDisk()
    Story().play(opened(disk), steps)
    for number in range(disk.operations):
        explored(steps, opened, errors={number: error})


class Early(Log):
    """Acknowledges before the sync."""

    def append(self, payload: bytes, *more: object) -> int:  # type: ignore[override]
        made = super().append(payload, *more)  # type: ignore[arg-type]
        self.synced = made
        return made


class Believing(Log):
    """Tries a sync that failed again, and believes it."""

    def sync(self) -> int:
        dirty = list(self._dirty)
        try:
            return super().sync()
        except DurabilityUnknownError:
            self.disk.sync(segment_file_name(max(self._segments)))
            for sequence, _, _ in dirty:
                self.pending_writes.setdefault(sequence, next(iter(self.pending_writes.values()), None))  # type: ignore[arg-type]
            self.synced = self.sequence
            return self.synced


class Nameless(Log):
    """Does not sync names."""

    def _begin(self, number: int, spare: bool) -> None:
        kept, self.disk.sync_directory = self.disk.sync_directory, lambda: None  # type: ignore[method-assign]
        try:
            super()._begin(number, spare)
        finally:
            self.disk.sync_directory = kept  # type: ignore[method-assign]


@pytest.mark.parametrize("wrong", [Early, Nameless])
def test_a_log_that_acknowledges_too_early_is_caught(wrong):
    with pytest.raises(AssertionError, match="acknowledged and gone"):
        for steps in HISTORIES:
            explored(steps, lambda disk: wrong(disk, SMALL, 4 * SMALL))


def test_a_log_that_believes_a_second_sync_is_caught():
    caught = False
    for number in range(12):
        try:
            explored(HISTORIES[0], lambda disk: Believing(disk, SMALL, 4 * SMALL), errors={number: errno.EIO})
        except (AssertionError, AttributeError) as error:
            caught = caught or "acknowledged and gone" in str(error)
    assert caught


def test_a_crash_while_it_is_found_again_and_again_loses_nothing():
    disk, story = EmulatedDisk(), Story()
    story.play(opened(disk), HISTORIES[1])
    for at in range(6):
        found = disk.crash([True] * len(disk.pending_writes), [True] * len(disk.pending_name_changes))
        found.crash_at = at
        with contextlib.suppress(SimulatedCrash):
            opened(found)
        found.crash_at = None
        for after in found.crash_states():
            story.check(opened(after))


def test_a_flipped_bit_anywhere_is_never_taken_for_a_write_and_never_passed_over_in_silence():
    disk = EmulatedDisk()
    log = opened(disk)
    wrote = {log.append(bytes([65 + n]) * (20 + n)): bytes([65 + n]) * (20 + n) for n in range(3)}
    log.sync()
    wrote[log.append(b"last")] = b"last"
    log.sync()
    end = log._segments[1].end
    whole = bytes(disk.durable[segment_file_name(1)])
    for at in range(end):
        for bit in (0, 7):
            changed = bytearray(whole)
            changed[at] ^= 1 << bit
            hurt = EmulatedDisk()
            hurt.visible = {segment_file_name(1): changed}
            hurt.durable = {segment_file_name(1): bytearray(changed)}
            try:
                found = opened(hurt)
            except LogError:
                continue
            there = dict(found.writes())
            assert all(wrote[sequence] == payload for sequence, payload in there.items())
            if len(there) < len(wrote):
                assert found.recovery.torn or found.recovery.corrupt, at


def test_damage_behind_which_a_synced_record_stands_is_called_corrupt_and_a_torn_end_is_not():
    disk = EmulatedDisk()
    log = opened(disk)
    first = log.append(b"a" * 100)
    log.sync()
    log.append(b"b" * 100)
    log.sync()
    disk.visible[segment_file_name(1)][log.pending_writes[first].offset] ^= 1
    disk.durable[segment_file_name(1)][log.pending_writes[first].offset] ^= 1
    found = opened(disk)
    assert found.recovery.corrupt and list(dict(found.writes()).values()) == [b"b" * 100]
    with pytest.raises(LogError, match="can't be read"):
        log.payload(first)


def test_a_segment_that_is_missing_is_told():
    disk = EmulatedDisk()
    log = opened(disk)
    for _ in range(3):
        log.append(b"x" * 3000)
        log.sync()
    del disk.visible[segment_file_name(2)], disk.durable[segment_file_name(2)]
    assert any("up to 2 were acknowledged" in text for text in opened(disk).recovery.corrupt)


def test_a_log_of_a_newer_version_is_refused_in_words(tmp_path):
    folder = Folder(tmp_path)
    log = Log(folder, SMALL, 4 * SMALL)
    log.append(b"x")
    log.close()
    path = tmp_path / segment_file_name(1)
    import struct

    import xxhash

    plain = bytearray(encode_segment_header(1, 1, 0)[: SEGMENT_HEADER_SIZE - 8])
    plain[8] = 9
    path.write_bytes(
        bytes(plain)
        + struct.pack("<Q", xxhash.xxh3_64_intdigest(bytes(plain)))
        + path.read_bytes()[SEGMENT_HEADER_SIZE:]
    )
    with pytest.raises(LogError, match=r"version 9 .* reads 1"):
        Log(Folder(tmp_path), SMALL, 4 * SMALL)


def test_two_processes_never_have_one_log(tmp_path):
    first = Folder(tmp_path)
    with pytest.raises(FolderLockedError, match="in use by another process"):
        Folder(tmp_path)
    first.close()
    Folder(tmp_path).close()


def test_a_full_log_refuses_before_it_writes_and_goes_on_once_something_is_done():
    disk = EmulatedDisk()
    log = opened(disk)
    kept = []
    with pytest.raises(LogFullError):
        while True:
            kept.append(log.append(b"x" * 1900))
            log.sync()
    assert len(kept) == 6 and log.free_bytes() < 2000
    log.mark_done(kept[:2])
    log.sync()
    kept.append(log.append(b"y" * 1900))
    log.sync()
    assert sorted(opened(disk).pending_writes) == kept[2:]
    with pytest.raises(LogFullError, match="does not fit"):
        log.append(b"x" * SMALL)


def test_sequences_go_on_after_all_is_done():
    disk = EmulatedDisk()
    for expected in range(1, 6):
        log = opened(disk)
        sequence = log.append(b"x" * 3000)
        log.sync()
        log.mark_done([sequence])
        log.sync()
        assert sequence > expected - 1 and not log.pending_writes
    assert len(disk.file_names()) <= 2 and not opened(disk).recovery.corrupt


def test_a_hundred_thousand_records_are_found_at_a_start(tmp_path):
    log = Log(Folder(tmp_path), 4 << 20, 64 << 20)
    for _ in range(100_000):
        log.append(b"r" * 64)
    log.close()
    found = Log(Folder(tmp_path), 4 << 20, 64 << 20)
    assert len(found.pending_writes) == 100_000 and not found.recovery.torn and not found.recovery.corrupt


# Group commit


def test_one_sync_acknowledges_many(tmp_path):
    committer = Committer(Log(Folder(tmp_path), 1 << 20, 8 << 20))
    futures = []

    def writer() -> None:
        for _ in range(50):
            future = committer.write(b"x" * 100)
            futures.append(future)
            future.result(10)

    threads = [threading.Thread(target=writer) for _ in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(future.result(1) for future in futures) == list(range(1, 801))
    assert committer.syncs < 800
    for future in futures[:400]:
        committer.mark_done(future.result())
    committer.close()
    found = Log(Folder(tmp_path), 1 << 20, 8 << 20)
    assert len(found.pending_writes) == 400 and not found.recovery.torn


def test_a_sync_that_fails_is_told_to_all_who_waited_and_the_next_ones_are_safe():
    disk = EmulatedDisk()
    committer = Committer(Log(disk, SMALL, 4 * SMALL))
    assert committer.write(b"a").result(5) == 1
    disk.errors[disk.operations + 1] = errno.EIO  # the write goes well, its sync does not
    with pytest.raises(DurabilityUnknownError):
        committer.write(b"b").result(5)
    assert committer.write(b"c").result(5) == 3
    committer.close()
    for found in disk.crash_states():
        there = dict(opened(found).writes())
        assert there[1] == b"a" and there[3] == b"c"


def test_a_log_that_closes_takes_no_more():
    committer = Committer(Log(EmulatedDisk(), SMALL, 4 * SMALL))
    committer.close()
    with pytest.raises(LogFullError, match="closing"):
        committer.write(b"x").result(1)


# A real process

CHILD = """
import sys, threading
from pathlib import Path
from winchdyke.writeback.commit import Committer
from winchdyke.writeback.disk import Folder
from winchdyke.writeback.log import Log
committer = Committer(Log(Folder(Path(sys.argv[1])), 65536, 1 << 22))
out = threading.Lock()
def writer(me):
    number = 0
    while True:
        number += 1
        name = f"{sys.argv[2]}-{me}-{number}"
        try:
            sequence = committer.write(name.encode() * 20).result()
        except Exception:
            return
        with out:
            print("safe", name, flush=True)
        if number % 3 == 0:
            with out:
                print("done", name, flush=True)
            committer.mark_done(sequence)
for me in range(4):
    threading.Thread(target=writer, args=(me,)).start()
"""


def test_thirty_kills_at_random_points_lose_no_acknowledged_write(tmp_path):
    """What the child said on its pipe against what the next process finds: no word of the log's own is believed."""
    draw, safe, done = random.Random(19), set[str](), set[str]()
    for turn in range(30):
        child = subprocess.Popen(
            [sys.executable, "-c", CHILD, str(tmp_path), str(turn)], stdout=subprocess.PIPE, text=True,
            cwd=Path(__file__).resolve().parent.parent,
        )  # fmt: skip
        assert child.stdout is not None
        first = child.stdout.readline()
        timer = threading.Timer(draw.uniform(0.0, 0.06), child.send_signal, [signal.SIGKILL])
        timer.start()
        for line in [first, *child.stdout]:
            words = line.split()
            if len(words) == 2 and line.endswith("\n"):
                (safe if words[0] == "safe" else done).add(words[1])
        child.wait(10)
        timer.join()
        folder = Folder(tmp_path)
        log = Log(folder, 65536, 1 << 22)
        there = [payload for _, payload in log.writes()]
        names = {payload[: len(payload) // 20].decode() for payload in there}
        assert len(names) == len(there), "one write is there twice"
        assert safe - done <= names, f"turn {turn}: {sorted(safe - done - names)[:3]}"
        assert not log.recovery.corrupt
        folder.close()
    assert len(safe) > 200


def test_the_checker_catches_a_process_that_says_safe_before_the_sync(tmp_path):
    """A child that acknowledges on append, and is killed with its sync still to come, on a disk that loses what was not synced."""
    disk, story = EmulatedDisk(), Story()
    log = Early(disk, SMALL, 4 * SMALL)
    story.play(log, [("write", 10), ("sync", 0), ("write", 20)])
    lost = disk.crash([False] * len(disk.pending_writes), [True] * len(disk.pending_name_changes))
    with pytest.raises(AssertionError, match="acknowledged and gone"):
        story.check(opened(lost))
