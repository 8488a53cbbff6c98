"""Group commit: one thread owns the log, and one sync acknowledges all that waited for it.

While a sync runs, what comes meanwhile gathers; the next sync is for all of it. So an acknowledgement takes at most two syncs
and ``linger_ms``, for which the thread waits for company before each (0: never).
"""

from __future__ import annotations

import contextlib
import threading
import time
from collections import deque
from concurrent.futures import Future

from winchdyke.writeback.log import SEQUENCE, DurabilityUnknownError, Log, LogError, LogFullError, RecordKind

MAX_BATCH_RECORDS = 512  # records of one sync at the most


class Committer:
    """Appends and syncs in a thread of its own. ``close`` ends it in good order."""

    def __init__(self, log: Log, linger_ms: float = 0.0) -> None:
        self.log, self._linger = log, linger_ms / 1000
        self.syncs = self.records = 0
        self._waiting: deque[tuple[bytes, RecordKind, Future[int]]] = deque()
        self._done: list[int] = []
        self._later: list[int] = []  # done, and not yet said so in the log
        self._told = threading.Condition()
        self._closing = False
        self._helper: threading.Thread | None = None  # sets the next segment's blocks aside
        self._thread = threading.Thread(target=self._run, name="winchdyke-log", daemon=True)
        self._thread.start()

    def mark_sending(self, sequence: int, note: bytes) -> Future[int]:
        """A write is about to be sent; wait for it before that. ``note`` is found beside it after a crash."""
        return self.write(SEQUENCE.pack(sequence) + note, RecordKind.SENDING)

    def write(self, payload: bytes, kind: RecordKind = RecordKind.WRITE) -> Future[int]:
        """A write's sequence once it is safe.

        The future raises LogFullError (nothing was written) or DurabilityUnknownError (it may or may not be kept).
        """
        made: Future[int] = Future()
        with self._told:
            if self._closing:
                made.set_exception(LogFullError("the log is closing"))
            else:
                self._waiting.append((payload, kind, made))
                self._told.notify()
        return made

    def mark_done(self, sequence: int) -> None:
        """A write has reached its store; written with the next sync."""
        with self._told:
            self._done.append(sequence)
            self._told.notify()

    def close(self) -> None:
        """Write what waits, and end."""
        with self._told:
            self._closing = True
            self._told.notify()
        self._thread.join()

    def _run(self) -> None:
        while True:
            with self._told:
                while not self._waiting and not self._done and not self._closing:
                    self._told.wait()
                if self._closing and not self._waiting and not self._done:
                    break
            if self._linger and len(self._waiting) < MAX_BATCH_RECORDS:
                time.sleep(self._linger)
            with self._told:
                batch = [self._waiting.popleft() for _ in range(min(MAX_BATCH_RECORDS, len(self._waiting)))]
                done, self._done = self._done, []
            self._commit(batch, done)
            if self.log.needs_spare and (self._helper is None or not self._helper.is_alive()):
                # Guards against all who write standing still while a segment's blocks are set aside.
                self._helper = threading.Thread(
                    target=self.log.create_spare, name="winchdyke-log-spare", daemon=True
                )
                self._helper.start()
        if self._helper is not None:
            self._helper.join()
        with contextlib.suppress(LogError, OSError):  # found again as after a kill
            self.log.close()

    def _commit(self, batch: list[tuple[bytes, RecordKind, Future[int]]], done: list[int]) -> None:
        try:
            self.log.mark_done([*self._later, *done])
            self._later = []
        except (LogError, OSError):
            self._later += (
                done  # with the next batch: until then a crash finds them again, and asks their stores
            )
        kept: list[tuple[int, Future[int]]] = []
        for payload, kind, future in batch:
            try:
                kept.append((self.log.append(payload, kind), future))
            except LogError as error:
                future.set_exception(error)
        lost: LogError = DurabilityUnknownError("the segment that it was in could not be synced")
        try:
            self.log.sync()
            self.syncs += 1
        except LogError as error:
            lost = error
        for sequence, future in kept:
            # A sync may have failed before this one, ahead of a new segment.
            if sequence <= self.log.synced and sequence not in self.log.failed_sequences:
                future.set_result(sequence)
                self.records += 1
            else:
                future.set_exception(lost)
