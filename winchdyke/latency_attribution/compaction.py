"""Compacts old segments of a ledger to minute sums, and deletes the oldest sums while the ledger exceeds its size.

Crash safety: the sums of a segment ``N.waits`` are written to ``N.sums.new``, synced and renamed to ``N.sums``, and only then
is the segment deleted. A reader that finds both files reads the segment alone, so a kill at any moment loses nothing and
counts nothing twice. A file lock, which ends with the process, keeps a second process from compacting at the same time.
"""

from __future__ import annotations

import fcntl
import os
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from winchdyke.durable_files import sync_directory
from winchdyke.latency_attribution.ledger import read_accounts
from winchdyke.latency_attribution.retention import segments_due
from winchdyke.latency_attribution.segments import (
    SEGMENT_HEADER,
    SEGMENT_SUFFIX,
    SUMS_SUFFIX,
    RecoveryReport,
    frame_record,
)
from winchdyke.latency_attribution.sums import sum_by_minute

LOCK_FILE = "compact.lock"


@dataclass
class CompactionResult:
    """The result of a compaction.

    Attributes:
        segments: Segments compacted.
        bytes_before: The size of these segments.
        bytes_after: The size of their sums.
        deleted_sums: Files of minute sums deleted.
        busy: Whether nothing was done because another process holds the lock.
        losses: Descriptions of the data that could not be read.
    """

    segments: int = 0
    bytes_before: int = 0
    bytes_after: int = 0
    deleted_sums: int = 0
    busy: bool = False
    losses: list[str] = field(default_factory=list)


def compact_ledger(directory: Path, max_total_bytes: int, retention_seconds: float) -> CompactionResult:
    """Compacts all segments that are due.

    Raises:
        OSError: The directory can't be written to. Segments that were not compacted are unchanged.
    """
    result = CompactionResult()
    with (directory / LOCK_FILE).open("a") as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            result.busy = True
            return result
        for segment in segments_due(directory, max_total_bytes, retention_seconds):
            _compact_segment(segment, result)
        result.deleted_sums = _delete_oldest_sums(directory, max_total_bytes)
    return result


def _compact_segment(segment: Path, result: CompactionResult) -> None:
    report = RecoveryReport()
    sums = sum_by_minute(read_accounts([segment], report))
    data = SEGMENT_HEADER + b"".join(frame_record(msgspec.msgpack.encode(each)) for each in sums)
    sums_file = segment.with_suffix(SUMS_SUFFIX)
    new_file = sums_file.with_name(f"{sums_file.name}.new")
    with new_file.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new_file.rename(sums_file)
    sync_directory(segment.parent)
    result.bytes_before += segment.stat().st_size
    result.bytes_after += len(data)
    result.segments += 1
    result.losses += report.losses
    segment.unlink()


def _delete_oldest_sums(directory: Path, max_total_bytes: int) -> int:
    """Deletes files of minute sums until the ledger fits its size, and returns how many."""
    sums = sorted(directory.glob(f"*{SUMS_SUFFIX}"))
    segments = directory.glob(f"*{SEGMENT_SUFFIX}")
    total_bytes = sum(path.stat().st_size for path in (*sums, *segments))
    deleted = 0
    for path in sums:
        if total_bytes <= max_total_bytes:
            break
        total_bytes -= path.stat().st_size
        path.unlink()
        deleted += 1
    return deleted
