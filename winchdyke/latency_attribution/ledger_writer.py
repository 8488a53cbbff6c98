"""Writes a ledger in a thread of its own, apart from the event loop, within a bounded size on the disk."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from winchdyke.durable_files import sync_directory
from winchdyke.latency_attribution.ledger import SNAPSHOT_FILE
from winchdyke.latency_attribution.records import Account, QueuedGroup, QueueSnapshot, TraceRecord
from winchdyke.latency_attribution.retention import delete_oldest_files, segments_due
from winchdyke.latency_attribution.segments import SEGMENT_HEADER, SEGMENT_SUFFIX, frame_record

BATCH_RECORDS = 200  # records encoded and written together
CLOSE_TIMEOUT_SECONDS = 5.0
SEGMENT_MODE = 0o640


@dataclass(frozen=True)
class LedgerBounds:
    """Bounds of a ledger.

    Attributes:
        max_segment_bytes: Size from which on a new segment begins.
        max_segment_seconds: Age from which on a new segment begins.
        max_total_bytes: Size of all files.
        max_queued_accounts: Accounts that may be queued for writing; further ones are dropped.
        sync_interval_seconds: Time between two writes, each followed by a sync.
        detail_retention_seconds: Age from which on accounts are compacted to minute sums.
    """

    max_segment_bytes: int = 16 << 20
    max_segment_seconds: float = 600.0
    max_total_bytes: int = 1 << 30
    max_queued_accounts: int = 20_000
    sync_interval_seconds: float = 0.2
    detail_retention_seconds: float = 7 * 86400.0


class LedgerWriter:
    """Writes accounts in a thread of its own. A disk error loses accounts, which are counted, and has no other effect.

    Attributes:
        dropped: Accounts dropped because the queue was full.
        written: Accounts written to a segment.
        synced: Written accounts that are durable.
        failed: Accounts that could not be written.
        last_error: The text of the last disk error.
    """

    def __init__(
        self,
        directory: Path,
        bounds: LedgerBounds = LedgerBounds(),
        sync: Callable[[int], None] = os.fsync,
    ) -> None:
        """Creates the directory if it is missing, and starts the thread.

        Raises:
            OSError: The directory can't be created.
        """
        self.directory = directory
        self.bounds = bounds
        self.dropped = 0
        self.written = 0
        self.synced = 0
        self.failed = 0
        self.last_error = ""
        self._sync = sync
        self._queue: deque[Account | TraceRecord] = deque()
        self._stop = threading.Event()
        self._encoder = msgspec.msgpack.Encoder()
        self._segment: int | None = None  # its file descriptor
        self._segment_bytes = 0
        self._segment_began_seconds = 0.0
        self._snapshot: QueueSnapshot | None = None
        self._compactor: subprocess.Popen[bytes] | None = None
        directory.mkdir(parents=True, exist_ok=True)
        self._segment_number = _last_segment_number(directory)
        self._thread = threading.Thread(target=self._run, name="winchdyke-ledger", daemon=True)
        self._thread.start()

    def put(self, account: Account | TraceRecord) -> None:
        """Queues an account without blocking, or drops it if the queue is full."""
        if len(self._queue) >= self.bounds.max_queued_accounts:
            self.dropped += 1
        else:
            self._queue.append(account)

    def publish_snapshot(self, gateway: str, groups: list[QueuedGroup]) -> None:
        """Sets the snapshot of the queued requests, which is written to the disk within the sync interval."""
        self._snapshot = QueueSnapshot(time.time() * 1000, gateway, groups, self.dropped, self.failed)

    def close(self, timeout_seconds: float = CLOSE_TIMEOUT_SECONDS) -> None:
        """Writes and syncs all queued accounts and ends the thread and a running compaction, within a timeout each."""
        self._stop.set()
        self._thread.join(timeout_seconds)
        if self._compactor is None:
            return
        if self._compactor.poll() is None:
            self._compactor.terminate()
        self._compactor.wait(timeout_seconds)

    # Methods of the thread

    def _run(self) -> None:
        # The thread polls instead of being notified: a notification for each account would take the interpreter lock
        # from the event loop at each request.
        while True:
            stopping = self._stop.wait(self.bounds.sync_interval_seconds)
            self._write_queued()
            self._sync_segment()
            self._write_snapshot()
            if stopping and not self._queue:
                self._close_segment()
                return

    def _write_queued(self) -> None:
        batch: list[Account | TraceRecord] = []
        while self._queue:
            batch.append(self._queue.popleft())
            if len(batch) >= BATCH_RECORDS:
                self._write_batch(batch)
                batch = []
        if batch:
            self._write_batch(batch)

    def _write_batch(self, batch: list[Account | TraceRecord]) -> None:
        data = b"".join(frame_record(self._encoder.encode(each)) for each in batch)
        try:
            self._append(data)
            self.written += len(batch)
        except OSError as error:
            self.last_error = error.strerror or str(error)
            self.failed += len(batch)
            self._close_segment()  # may end in an incomplete record, so the next batch begins a new segment

    def _append(self, data: bytes) -> None:
        segment = self._segment
        if segment is None or self._is_segment_full():
            segment = self._begin_segment()
        remaining = memoryview(data)
        while remaining:
            written = os.write(segment, remaining)
            remaining = remaining[written:]
            self._segment_bytes += written

    def _is_segment_full(self) -> bool:
        if self._segment_bytes >= self.bounds.max_segment_bytes:
            return True
        return time.monotonic() - self._segment_began_seconds >= self.bounds.max_segment_seconds

    def _begin_segment(self) -> int:
        self._sync_segment()
        self._close_segment()
        self._segment_number += 1
        path = self.directory / f"{self._segment_number:012}{SEGMENT_SUFFIX}"
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        segment = os.open(path, flags, SEGMENT_MODE)
        self._segment = segment
        os.write(segment, SEGMENT_HEADER)
        sync_directory(self.directory)
        self._segment_bytes = len(SEGMENT_HEADER)
        self._segment_began_seconds = time.monotonic()
        self._start_compaction()
        delete_oldest_files(self.directory, self.bounds.max_total_bytes - self.bounds.max_segment_bytes)
        return segment

    def _close_segment(self) -> None:
        if self._segment is not None:
            os.close(self._segment)
            self._segment = None

    def _sync_segment(self) -> None:
        if self._segment is None or self.synced == self.written:
            return
        written = self.written
        try:
            self._sync(self._segment)
            self.synced = written
        except OSError as error:
            self.last_error = error.strerror or str(error)
            self._close_segment()

    def _write_snapshot(self) -> None:
        snapshot = self._snapshot
        self._snapshot = None
        if snapshot is None:
            return
        new_file = self.directory / f"{SNAPSHOT_FILE}.new"
        try:
            new_file.write_bytes(self._encoder.encode(snapshot))
            new_file.replace(self.directory / SNAPSHOT_FILE)
        except OSError as error:
            self.last_error = error.strerror or str(error)

    def _start_compaction(self) -> None:
        """Starts the compaction in a process: decoding accounts here would take the interpreter lock from the event loop."""
        if self._compactor is not None and self._compactor.poll() is None:
            return
        bounds = self.bounds
        if not segments_due(self.directory, bounds.max_total_bytes, bounds.detail_retention_seconds):
            return
        command = [sys.executable, "-m", "winchdyke", "waits", "compact", "--gently", str(self.directory)]
        command += ["--most", str(bounds.max_total_bytes)]
        command += ["--older", str(bounds.detail_retention_seconds)]
        self._compactor = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )


def _last_segment_number(directory: Path) -> int:
    numbers = [int(path.stem) for path in directory.glob(f"*{SEGMENT_SUFFIX}") if path.stem.isdigit()]
    return max(numbers, default=0)
