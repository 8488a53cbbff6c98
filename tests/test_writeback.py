"""The write-back log on emulated disks that lose, tear and reorder writes, fill up and fail, and under kills of a process."""

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

SEGMENT_BYTES = 4096  # small, so that histories cross several segments
Step = tuple[str, int]
HISTORIES: list[list[Step]] = [
    [("write", 30), ("sync", 0), ("write", 700), ("write", 9), ("sync", 0), ("done", 1), ("sync", 0)],
    [("write", 1200), ("write", 1200), ("sync", 0), ("write", 1200), ("write", 1200), ("sync", 0), ("done", 2)],
    [("write", 2500), ("sync", 0), ("done", 1), ("write", 2500), ("sync", 0), ("done", 3), ("write", 2500), ("sync", 0)],
    [("write", 1), ("sync", 0), ("done", 1), ("sync", 0), ("write", 600), ("write", 600), ("sync", 0)],
]  # fmt: skip


class History:
    """Runs the steps of a history on a log and records what a client knows of it."""

    def __init__(self) -> None:
        self.appended: dict[int, bytes] = {}  # payloads by sequence number
        self.acknowledged: set[int] = set()
        self.done: set[int] = set()  # marked as done in the log
        self._sequences: list[int] = []

    def run(self, log: Log, steps: list[Step]) -> None:
        """Run steps as a gateway would; a record that the log rejects is not acknowledged."""
        for number, (operation, value) in enumerate(steps):
            try:
                if operation == "write":
                    payload = bytes([1 + number]) * value
                    sequence = log.append(payload)
                    self.appended[sequence] = payload
                    self._sequences.append(sequence)
                elif operation == "sync":
                    log.sync()
                elif value in log.pending_writes:
                    self.done.add(value)
                    log.mark_done([value])
            except LogError:
                pass
            self.acknowledged |= {
                each for each in self._sequences if each <= log.synced and each in log.pending_writes
            }

    def check(self, log: Log) -> None:
        """Check that no acknowledged write is missing or reported as corrupt, and that each recovered one was written."""
        recovered = dict(log.writes())
        for sequence, payload in recovered.items():
            assert self.appended.get(sequence) == payload, sequence
        missing = self.acknowledged - self.done - set(recovered)
        assert not missing, f"acknowledged and gone: {missing}; {log.recovery}"
        assert not log.recovery.corrupt, log.recovery.corrupt


def open_log(disk: EmulatedDisk) -> Log:
    return Log(disk, SEGMENT_BYTES, 4 * SEGMENT_BYTES)


def explore_crashes(steps: list[Step], make: Callable[[EmulatedDisk], Log], **faults: object) -> int:
    """Crash before each operation, check every disk that the crash may leave, and return the number of disks checked."""
    states = crash_at = 0
    while True:
        disk, history = EmulatedDisk(crash_at=crash_at, **faults), History()  # type: ignore[arg-type]
        is_complete = False
        try:
            history.run(make(disk), steps)
            is_complete = True
        except SimulatedCrash:
            pass
        for after_crash in disk.crash_states():
            states += 1
            history.check(open_log(after_crash))
            second = open_log(after_crash)  # as if the first process had been killed after its recovery
            history.check(second)
        if is_complete:
            return states
        crash_at += 1


@pytest.mark.parametrize("steps", HISTORIES, ids=range(len(HISTORIES)))
def test_all_acknowledged_writes_are_recovered_after_any_crash(steps):
    assert explore_crashes(steps, open_log) > 20


@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC], ids=["io", "full"])
@pytest.mark.parametrize("steps", HISTORIES, ids=range(len(HISTORIES)))
def test_a_failed_operation_loses_no_acknowledged_write_at_any_later_crash(steps, error):
    disk = EmulatedDisk()
    History().run(open_log(disk), steps)
    for number in range(disk.operations):
        explore_crashes(steps, open_log, errors={number: error})


class AcknowledgingBeforeSync(Log):
    """A faulty log that acknowledges records before the sync."""

    def append(self, payload: bytes, *more: object) -> int:  # type: ignore[override]
        sequence = super().append(payload, *more)  # type: ignore[arg-type]
        self.synced = sequence
        return sequence


class RepeatingFailedSync(Log):
    """A faulty log that repeats a failed sync and relies on the second one."""

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


class OmittingDirectorySync(Log):
    """A faulty log that does not sync the directory after it has created a segment."""

    def _begin_segment(self, number: int, reserve: bool) -> None:
        sync_directory, self.disk.sync_directory = self.disk.sync_directory, lambda: None  # type: ignore[method-assign]
        try:
            super()._begin_segment(number, reserve)
        finally:
            self.disk.sync_directory = sync_directory  # type: ignore[method-assign]


@pytest.mark.parametrize("faulty", [AcknowledgingBeforeSync, OmittingDirectorySync])
def test_a_log_that_acknowledges_too_early_is_detected(faulty):
    with pytest.raises(AssertionError, match="acknowledged and gone"):
        for steps in HISTORIES:
            explore_crashes(steps, lambda disk: faulty(disk, SEGMENT_BYTES, 4 * SEGMENT_BYTES))


def test_a_log_that_relies_on_a_repeated_sync_is_detected():
    detected = False
    for number in range(12):
        try:
            explore_crashes(
                HISTORIES[0],
                lambda disk: RepeatingFailedSync(disk, SEGMENT_BYTES, 4 * SEGMENT_BYTES),
                errors={number: errno.EIO},
            )
        except (AssertionError, AttributeError) as error:
            detected = detected or "acknowledged and gone" in str(error)
    assert detected


def test_crashes_during_recovery_lose_nothing():
    disk, history = EmulatedDisk(), History()
    history.run(open_log(disk), HISTORIES[1])
    for crash_at in range(6):
        after_crash = disk.crash([True] * len(disk.pending_writes), [True] * len(disk.pending_name_changes))
        after_crash.crash_at = crash_at
        with contextlib.suppress(SimulatedCrash):
            open_log(after_crash)
        after_crash.crash_at = None
        for after_second_crash in after_crash.crash_states():
            history.check(open_log(after_second_crash))


def test_a_flipped_bit_never_yields_a_wrong_write_and_is_always_reported():
    disk = EmulatedDisk()
    log = open_log(disk)
    written = {log.append(bytes([65 + n]) * (20 + n)): bytes([65 + n]) * (20 + n) for n in range(3)}
    log.sync()
    written[log.append(b"last")] = b"last"
    log.sync()
    end = log._segments[1].end
    intact = bytes(disk.durable[segment_file_name(1)])
    for offset in range(end):
        for bit in (0, 7):
            damaged = bytearray(intact)
            damaged[offset] ^= 1 << bit
            damaged_disk = EmulatedDisk()
            damaged_disk.visible = {segment_file_name(1): damaged}
            damaged_disk.durable = {segment_file_name(1): bytearray(damaged)}
            try:
                recovered = open_log(damaged_disk)
            except LogError:
                continue
            writes = dict(recovered.writes())
            assert all(written[sequence] == payload for sequence, payload in writes.items())
            if len(writes) < len(written):
                assert recovered.recovery.torn or recovered.recovery.corrupt, offset


def test_damage_before_a_record_that_shows_it_was_synced_is_reported_as_corrupt():
    disk = EmulatedDisk()
    log = open_log(disk)
    first = log.append(b"a" * 100)
    log.sync()
    log.append(b"b" * 100)
    log.sync()
    disk.visible[segment_file_name(1)][log.pending_writes[first].offset] ^= 1
    disk.durable[segment_file_name(1)][log.pending_writes[first].offset] ^= 1
    recovered = open_log(disk)
    assert recovered.recovery.corrupt and list(dict(recovered.writes()).values()) == [b"b" * 100]
    with pytest.raises(LogError, match="can't be read"):
        log.read_payload(first)


def test_a_missing_segment_is_reported():
    disk = EmulatedDisk()
    log = open_log(disk)
    for _ in range(3):
        log.append(b"x" * 3000)
        log.sync()
    del disk.visible[segment_file_name(2)], disk.durable[segment_file_name(2)]
    assert any("up to 2 were acknowledged" in text for text in open_log(disk).recovery.corrupt)


def test_a_log_of_a_newer_format_version_is_rejected(tmp_path):
    folder = Folder(tmp_path)
    log = Log(folder, SEGMENT_BYTES, 4 * SEGMENT_BYTES)
    log.append(b"x")
    log.close()
    path = tmp_path / segment_file_name(1)
    import struct

    import xxhash

    header = bytearray(encode_segment_header(1, 1, 0)[: SEGMENT_HEADER_SIZE - 8])
    header[8] = 9
    path.write_bytes(
        bytes(header)
        + struct.pack("<Q", xxhash.xxh3_64_intdigest(bytes(header)))
        + path.read_bytes()[SEGMENT_HEADER_SIZE:]
    )
    with pytest.raises(LogError, match=r"version 9 .* reads 1"):
        Log(Folder(tmp_path), SEGMENT_BYTES, 4 * SEGMENT_BYTES)


def test_two_processes_can_not_open_one_log(tmp_path):
    first = Folder(tmp_path)
    with pytest.raises(FolderLockedError, match="in use by another process"):
        Folder(tmp_path)
    first.close()
    Folder(tmp_path).close()


def test_a_full_log_rejects_records_before_writing_and_accepts_them_once_writes_are_done():
    disk = EmulatedDisk()
    log = open_log(disk)
    sequences = []
    with pytest.raises(LogFullError):
        while True:
            sequences.append(log.append(b"x" * 1900))
            log.sync()
    assert len(sequences) == 6 and log.free_bytes() < 2000
    log.mark_done(sequences[:2])
    log.sync()
    sequences.append(log.append(b"y" * 1900))
    log.sync()
    assert sorted(open_log(disk).pending_writes) == sequences[2:]
    with pytest.raises(LogFullError, match="does not fit"):
        log.append(b"x" * SEGMENT_BYTES)


def test_sequence_numbers_continue_after_all_writes_are_done():
    disk = EmulatedDisk()
    for expected in range(1, 6):
        log = open_log(disk)
        sequence = log.append(b"x" * 3000)
        log.sync()
        log.mark_done([sequence])
        log.sync()
        assert sequence > expected - 1 and not log.pending_writes
    assert len(disk.file_names()) <= 2 and not open_log(disk).recovery.corrupt


def test_a_hundred_thousand_records_are_recovered_at_a_start(tmp_path):
    log = Log(Folder(tmp_path), 4 << 20, 64 << 20)
    for _ in range(100_000):
        log.append(b"r" * 64)
    log.close()
    recovered = Log(Folder(tmp_path), 4 << 20, 64 << 20)
    assert (
        len(recovered.pending_writes) == 100_000
        and not recovered.recovery.torn
        and not recovered.recovery.corrupt
    )


# Group commit


def test_one_sync_acknowledges_many_records(tmp_path):
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
    recovered = Log(Folder(tmp_path), 1 << 20, 8 << 20)
    assert len(recovered.pending_writes) == 400 and not recovered.recovery.torn


def test_a_failed_sync_fails_the_writes_that_waited_for_it_and_later_writes_are_durable():
    disk = EmulatedDisk()
    committer = Committer(Log(disk, SEGMENT_BYTES, 4 * SEGMENT_BYTES))
    assert committer.write(b"a").result(5) == 1
    disk.errors[disk.operations + 1] = errno.EIO  # the write succeeds, its sync fails
    with pytest.raises(DurabilityUnknownError):
        committer.write(b"b").result(5)
    assert committer.write(b"c").result(5) == 3
    committer.close()
    for after_crash in disk.crash_states():
        writes = dict(open_log(after_crash).writes())
        assert writes[1] == b"a" and writes[3] == b"c"


def test_a_closed_log_rejects_records():
    committer = Committer(Log(EmulatedDisk(), SEGMENT_BYTES, 4 * SEGMENT_BYTES))
    committer.close()
    with pytest.raises(LogFullError, match="closing"):
        committer.write(b"x").result(1)


# Kills of a process

CHILD_PROGRAM = """
import sys, threading
from pathlib import Path
from winchdyke.writeback.commit import Committer
from winchdyke.writeback.disk import Folder
from winchdyke.writeback.log import Log
committer = Committer(Log(Folder(Path(sys.argv[1])), 65536, 1 << 22))
print_lock = threading.Lock()
def writer(writer_number):
    number = 0
    while True:
        number += 1
        name = f"{sys.argv[2]}-{writer_number}-{number}"
        try:
            sequence = committer.write(name.encode() * 20).result()
        except Exception:
            return
        with print_lock:
            print("acknowledged", name, flush=True)
        if number % 3 == 0:
            with print_lock:
                print("done", name, flush=True)
            committer.mark_done(sequence)
for writer_number in range(4):
    threading.Thread(target=writer, args=(writer_number,)).start()
"""


def test_thirty_kills_at_random_points_lose_no_acknowledged_write(tmp_path):
    """Compares the writes that a child process reported on its pipe with those that the next process recovers.

    Nothing that the log reports about itself is relied on.
    """
    draw, acknowledged, done = random.Random(19), set[str](), set[str]()
    for kill in range(30):
        child = subprocess.Popen(
            [sys.executable, "-c", CHILD_PROGRAM, str(tmp_path), str(kill)], stdout=subprocess.PIPE, text=True,
            cwd=Path(__file__).resolve().parent.parent,
        )  # fmt: skip
        assert child.stdout is not None
        first = child.stdout.readline()
        timer = threading.Timer(draw.uniform(0.0, 0.06), child.send_signal, [signal.SIGKILL])
        timer.start()
        for line in [first, *child.stdout]:
            words = line.split()
            if len(words) == 2 and line.endswith("\n"):
                (acknowledged if words[0] == "acknowledged" else done).add(words[1])
        child.wait(10)
        timer.join()
        folder = Folder(tmp_path)
        log = Log(folder, 65536, 1 << 22)
        payloads = [payload for _, payload in log.writes()]
        names = {payload[: len(payload) // 20].decode() for payload in payloads}
        assert len(names) == len(payloads), "a write was recovered twice"
        assert acknowledged - done <= names, f"kill {kill}: {sorted(acknowledged - done - names)[:3]}"
        assert not log.recovery.corrupt
        folder.close()
    assert len(acknowledged) > 200


def test_the_check_detects_an_acknowledgement_before_the_sync(tmp_path):
    """A log that acknowledges on append, a crash before its sync, and a disk that loses unsynced data."""
    disk, history = EmulatedDisk(), History()
    log = AcknowledgingBeforeSync(disk, SEGMENT_BYTES, 4 * SEGMENT_BYTES)
    history.run(log, [("write", 10), ("sync", 0), ("write", 20)])
    after_crash = disk.crash([False] * len(disk.pending_writes), [True] * len(disk.pending_name_changes))
    with pytest.raises(AssertionError, match="acknowledged and gone"):
        history.check(open_log(after_crash))
