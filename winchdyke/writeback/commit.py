"""Group commit: one thread owns the log, and one sync acknowledges all records of a batch.

Records that arrive during a sync are collected and covered by the next one, so an acknowledgement takes at most two syncs
plus ``linger_ms``, the time for which the thread waits for further records before each sync (0: it never waits).
"""

from __future__ import annotations

import contextlib
import threading
import time
from collections import deque
from concurrent.futures import Future

from winchdyke.writeback.log import SEQUENCE, DurabilityUnknownError, Log, LogError, LogFullError, RecordKind

MAX_BATCH_RECORDS = 512  # records covered by one sync


class Committer:
    """Appends records to a log and syncs it, in a thread of its own until :meth:`close`."""

    def __init__(self, log: Log, linger_ms: float = 0.0) -> None:
        self.log, self._linger_s = log, linger_ms / 1000
        self.syncs = self.records = 0
        self._queue: deque[tuple[bytes, RecordKind, Future[int]]] = deque()
        self._done: list[int] = []
        # Writes that are done, but whose DONE record could not be appended.
        self._unlogged_done: list[int] = []
        self._wakeup = threading.Condition()
        self._closing = False
        self._allocator: threading.Thread | None = None  # preallocates the next segment
        self._thread = threading.Thread(target=self._run, name="winchdyke-log", daemon=True)
        self._thread.start()

    def mark_sending(self, sequence: int, note: bytes) -> Future[int]:
        """Records that a write is about to be sent; the caller waits for the future before it sends the write.

        ``note`` is recovered together with the write after a crash.
        """
        return self.write(SEQUENCE.pack(sequence) + note, RecordKind.SENDING)

    def write(self, payload: bytes, kind: RecordKind = RecordKind.WRITE) -> Future[int]:
        """Queues a record. The future returns its sequence number once the record is durable.

        The future raises LogFullError (nothing was written) or DurabilityUnknownError (the record may or may not
        survive a crash).
        """
        future: Future[int] = Future()
        with self._wakeup:
            if self._closing:
                future.set_exception(
                    LogFullError("the write-back log is closing and accepts no more records")
                )
            else:
                self._queue.append((payload, kind, future))
                self._wakeup.notify()
        return future

    def mark_done(self, sequence: int) -> None:
        """Records that a write has reached its store; the record is written with the next sync."""
        with self._wakeup:
            self._done.append(sequence)
            self._wakeup.notify()

    def close(self) -> None:
        """Commits all queued records, closes the log and ends the thread."""
        with self._wakeup:
            self._closing = True
            self._wakeup.notify()
        self._thread.join()

    def _run(self) -> None:
        while True:
            with self._wakeup:
                while not self._queue and not self._done and not self._closing:
                    self._wakeup.wait()
                if self._closing and not self._queue and not self._done:
                    break
            if self._linger_s and len(self._queue) < MAX_BATCH_RECORDS:
                time.sleep(self._linger_s)
            with self._wakeup:
                batch = [self._queue.popleft() for _ in range(min(MAX_BATCH_RECORDS, len(self._queue)))]
                done, self._done = self._done, []
            self._commit(batch, done)
            if self.log.needs_spare and (self._allocator is None or not self._allocator.is_alive()):
                # Allocating the blocks of a segment is slow; done in this thread, it would stall every writer.
                self._allocator = threading.Thread(
                    target=self.log.create_spare, name="winchdyke-log-spare", daemon=True
                )
                self._allocator.start()
        if self._allocator is not None:
            self._allocator.join()
        with contextlib.suppress(LogError, OSError):  # the next process recovers the log as after a kill
            self.log.close()

    def _commit(self, batch: list[tuple[bytes, RecordKind, Future[int]]], done: list[int]) -> None:
        try:
            self.log.mark_done([*self._unlogged_done, *done])
            self._unlogged_done = []
        except (LogError, OSError):
            # Retried with the next batch. After a crash before that, these writes are recovered as pending, and
            # the state of their stores is checked before they are sent again.
            self._unlogged_done += done
        appended: list[tuple[int, Future[int]]] = []
        for payload, kind, future in batch:
            try:
                appended.append((self.log.append(payload, kind), future))
            except LogError as error:
                future.set_exception(error)
        sync_error: LogError = DurabilityUnknownError("the segment of this record could not be synced")
        try:
            self.log.sync()
            self.syncs += 1
        except LogError as error:
            sync_error = error
        for sequence, future in appended:
            # Beginning a new segment syncs the one before it; that earlier sync may have failed for this record.
            if sequence <= self.log.synced and sequence not in self.log.failed_sequences:
                future.set_result(sequence)
                self.records += 1
            else:
                future.set_exception(sync_error)
