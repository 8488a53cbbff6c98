"""Write-back in a running gateway: acknowledges writes from the log, and sends them to their stores after live requests.

The guarantees are in ``docs/writeback.md``. Which record is sent next and what may be sent again are defined by
``writeback/drain.py`` and ``writeback/write_order.py`` and carried out here; each record is sent through the scheduler like any
request.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
import uuid
from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from email.utils import parsedate_to_datetime
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec
import structlog

from winchdyke import interface as api
from winchdyke.config import Config
from winchdyke.config.model import VolumeRule
from winchdyke.http1 import ResponseHead
from winchdyke.object_api import routes, store_protocol
from winchdyke.writeback.commit import Committer
from winchdyke.writeback.disk import Folder, FolderLockedError
from winchdyke.writeback.drain import DrainBounds, DrainQueue, QueuedRecord
from winchdyke.writeback.log import Log, LogError, LogFullError
from winchdyke.writeback.record import WriteBackRecord
from winchdyke.writeback.write_order import (
    NextStep,
    SendingHistory,
    StoredVersion,
    WriteStamp,
    next_step,
    parse_stamp,
)

DRAIN_INTERVAL_SECONDS = 0.05
MAX_REMEMBERED_IDEMPOTENCY_KEYS = 100_000
RETRY_DELAY_MS = 250.0
SHUTDOWN_DRAIN_SECONDS = 5.0  # records that are left then stay in the log


@dataclass
class _PendingObject:
    """The log's records of one object; ``stored`` is set once none is left."""

    sequences: list[int] = field(default_factory=list)
    stored: anyio.Event = field(default_factory=anyio.Event)


@dataclass(frozen=True, slots=True)
class _RememberedWrite:
    """The response to a write with an Idempotency-Key, and the time of that response."""

    etag: str
    unix_ms: float


class WriteBackError(Exception):
    """The write-back log can't be used; the text gives the reason and the setting to check."""


@dataclass(frozen=True, slots=True)
class InternalResult:
    """The result of an operation that originates from the gateway itself.

    Attributes:
        outcome: ``served``, ``refused``, ``failed`` or ``gone``.
        last_attempt: The outcome of its last attempt; None: there was no attempt.
        status: Its HTTP status.
        stored: What the response tells of the stored object; None: there was no response.
    """

    outcome: str
    last_attempt: api.AttemptOutcome | None
    status: int
    stored: StoredVersion | None


Execute = Callable[[routes.Operation, bytes, str], Awaitable[InternalResult]]


class WriteBack:
    """The write-back log of one gateway.

    Args:
        config: The configuration.
        clock: Monotonic time in milliseconds.
        execute: Executes one operation through the scheduler.

    Attributes:
        settings: The ``writeback`` settings.
        log: The log on the disk.
        committer: The thread that writes to it.
        drain: Decides which record is sent next.
        quarantined: The reason why a record is not sent again, by the record's sequence number.
        counts: Counters of records, by what happened to them.

    Raises:
        WriteBackError: The log can't be opened, or a class can't be written back.
    """

    def __init__(self, config: Config, clock: Callable[[], float], execute: Execute) -> None:
        self.settings = config.writeback
        self._clock = clock
        self._execute = execute
        self._events = structlog.get_logger("writeback")
        _check_classes(config)
        self.log = self._open_log()
        weights = {plan.name: plan.fair_share_weight for plan in config.plans}
        bounds = DrainBounds(self.settings.wide, self.settings.urgent)
        self.drain = DrainQueue(bounds, _VolumeWeights(config.volume, weights))
        self.quarantined: dict[int, str] = {}
        self.counts: Counter[str] = Counter()
        self._pending_objects: dict[tuple[str, str], _PendingObject] = {}
        self._remembered: dict[tuple[str, str], _RememberedWrite] = {}  # by Idempotency-Key, oldest first
        # The ETag of the stored object before a record was first sent; empty: there was no such object.
        self._preconditions: dict[int, str] = {}
        self._possibly_executed: set[int] = set()
        # The stamp of the record that was stored last, of objects of which later records are left.
        self._last_stored: dict[tuple[str, str], WriteStamp] = {}
        self._retry_at_ms: dict[int, float] = {}
        self._recover()
        self.committer = Committer(self.log)

    def _open_log(self) -> Log:
        settings = self.settings
        try:
            disk = Folder(Path(settings.folder))
            return Log(disk, settings.segment_bytes, settings.total_bytes, self._report_log_problem)
        except (OSError, FolderLockedError, LogError) as error:
            raise WriteBackError(f"{error}; see writeback, folder") from error

    def _recover(self) -> None:
        """Take over the records that an earlier process left in the log."""
        for text in [*self.log.recovery.corrupt, *self.log.recovery.torn]:
            self._events.error("write_back_log_damaged", error=text)
        for sequence in sorted(self.log.pending_writes):
            try:
                record = msgspec.msgpack.decode(self.log.read_payload(sequence), type=WriteBackRecord)
            except (LogError, msgspec.DecodeError) as error:
                self.quarantined[sequence] = str(error)
                self._events.error("write_back_record_unreadable", record=sequence, error=str(error))
                continue
            precondition = self.log.sending_notes.get(sequence)
            if precondition is not None:
                self._preconditions[sequence] = precondition.decode()
                self._possibly_executed.add(sequence)
            self._add(sequence, record, self._clock())
        if self.log.recovery.records:
            self._events.info(
                "write_back_log_recovered",
                records=self.log.recovery.records,
                open=len(self.log.pending_writes),
            )

    def _report_log_problem(self, text: str) -> None:
        self._events.warning("write_back_log_problem", error=text)

    def _add(self, sequence: int, record: WriteBackRecord, now: float) -> None:
        pending = self._pending_objects.setdefault((record.volume, record.key), _PendingObject())
        pending.sequences.append(sequence)
        order_key = f"{record.volume}/{record.key}"
        self.drain.add(
            QueuedRecord(
                sequence, record.volume, record.shard, record.units, len(record.body), now, order_key
            )
        )
        if record.repeat_key:
            remembered = _RememberedWrite(record.etag, record.unix_ms)
            self._remembered[record.volume, record.repeat_key] = remembered

    # Requests of clients

    def accepts(self, operation: routes.Operation, class_name: str, length: int | None) -> bool:
        """Whether a write may be acknowledged from the log: its class allows it, it is unconditional and fits a record."""
        if operation.name != "put" or class_name not in self.settings.classes:
            return False
        if length is None or length > self.settings.record_bytes:
            return False
        return not any(name.startswith(b"if-") for name, _ in operation.forwarded_headers)

    def remembered_etag(self, volume: str, idempotency_key: str) -> str | None:
        """Return the ETag that a write with this key was answered with, even after its store has forgotten the key."""
        if not idempotency_key:
            return None
        remembered = self._remembered.get((volume, idempotency_key))
        return remembered.etag if remembered is not None else None

    async def append(self, record: WriteBackRecord) -> None:
        """Write a record to the log durably; the write may be acknowledged afterwards.

        Raises:
            LogFullError: The log has no capacity for it; nothing was written.
            LogError: It could not be made durable; the write must not be acknowledged.
        """
        free_bytes = self.log.free_bytes()
        if not self.drain.admits(record.volume, len(record.body), free_bytes, self.settings.total_bytes):
            self.counts["rejected"] += 1
            raise LogFullError(
                "the write-back log has no capacity for this volume until earlier writes are stored"
            )
        sequence = await self._wait_for_sync(self.committer.write(msgspec.msgpack.encode(record)))
        self._add(sequence, record, self._clock())
        self.counts["acknowledged"] += 1

    def has_pending(self, volume: str, key: str) -> bool:
        """Whether the log holds a write of an object that its store may not have."""
        return (volume, key) in self._pending_objects

    async def wait_until_stored(self, volume: str, key: str, until_ms: float) -> bool:
        """Wait until the log holds no write of an object; return False if it still does at ``until_ms``."""
        while (pending := self._pending_objects.get((volume, key))) is not None:
            left_ms = until_ms - self._clock()
            if left_ms <= 0:
                return False
            with anyio.move_on_after(left_ms / 1000):
                await pending.stored.wait()
        return True

    # Draining

    async def run(self, queue_lengths: Callable[[], dict[int, int]]) -> None:
        """Send records to their stores until cancelled.

        Args:
            queue_lengths: Returns the number of live requests that are queued for each shard.
        """
        async with anyio.create_task_group() as group:
            while True:
                now = self._clock()
                self._forget_expired_keys()
                for waiting in self.drain.start_next(now, queue_lengths()):
                    if self._retry_at_ms.get(waiting.sequence, 0.0) > now:
                        self.drain.finish_attempt(waiting.sequence, False)
                        continue
                    group.start_soon(self._send, waiting)
                await anyio.sleep(DRAIN_INTERVAL_SECONDS)

    def _forget_expired_keys(self) -> None:
        oldest_ms = time.time() * 1000 - self.settings.remember
        while self._remembered:
            key, remembered = next(iter(self._remembered.items()))
            if remembered.unix_ms >= oldest_ms and len(self._remembered) <= MAX_REMEMBERED_IDEMPOTENCY_KEYS:
                return
            del self._remembered[key]

    async def _send(self, waiting: QueuedRecord) -> None:
        sequence = waiting.sequence
        try:
            record = msgspec.msgpack.decode(self.log.read_payload(sequence), type=WriteBackRecord)
        except (LogError, msgspec.DecodeError) as error:
            self._quarantine(waiting, str(error))
            return
        stored = await self._stored_version(record)
        if stored is None:
            self._retry_later(waiting)
            return
        step = next_step(
            record.stamp, record.etag, stored, self._history(sequence, record), self.settings.clock_bound
        )
        if step is NextStep.STORED:
            self._complete(waiting, record)
        elif step is NextStep.SUPERSEDED:
            self._supersede(waiting, record, stored)
        elif step is NextStep.QUARANTINE:
            reason = "its store holds something else, and it can't be told which write came last"
            self._quarantine(waiting, reason)
        elif await self._set_precondition(sequence, stored.etag):
            await self._send_conditionally(waiting, record, stored.etag)
        else:
            self._retry_later(waiting)

    def _history(self, sequence: int, record: WriteBackRecord) -> SendingHistory:
        return SendingHistory(
            self._preconditions.get(sequence),
            sequence in self._possibly_executed,
            self._last_stored.get((record.volume, record.key)),
        )

    async def _send_conditionally(
        self, waiting: QueuedRecord, record: WriteBackRecord, precondition: str
    ) -> None:
        """Send a record under the condition that its store holds what it held when the record's order was checked."""
        operation = self._operation(record, precondition)
        result = await self._execute(operation, record.body, _new_request_id())
        if result.outcome != "served":
            if result.last_attempt is not None and not result.last_attempt.proves_no_effect:
                self._possibly_executed.add(waiting.sequence)
            self._retry_later(waiting)
        elif result.status < 300:
            self._complete(waiting, record)
        elif result.status == 412:  # The object has changed since; the next sending checks the order again.
            self._retry_later(waiting)
        else:
            self._quarantine(waiting, f"its store responded with status {result.status}")

    async def _set_precondition(self, sequence: int, etag: str) -> bool:
        """Record durably which version of the object the store has; return False if that fails.

        This precedes the sending of the record: after a crash the record is sent again with the same precondition only,
        so that it takes effect at most once.
        """
        if self._preconditions.get(sequence) == etag:
            return True
        try:
            await self._wait_for_sync(self.committer.mark_sending(sequence, etag.encode()))
        except LogError:
            return False
        self._preconditions[sequence] = etag
        return True

    @staticmethod
    def _operation(record: WriteBackRecord, precondition: str) -> routes.Operation:
        condition = (b"if-match", precondition.encode()) if precondition else (b"if-none-match", b"*")
        return routes.Operation(
            "put",
            record.volume,
            record.key,
            forwarded_headers=(*record.passed, condition),
            class_name=record.class_name,
            idempotency_key=record.idempotency_key,
            client_request=record.client_request,
            write_stamp=record.stamp.encode(),
        )

    async def _stored_version(self, record: WriteBackRecord) -> StoredVersion | None:
        """Return what the store holds of a record's object; None: the store could not be queried."""
        operation = routes.Operation("head", record.volume, record.key)
        result = await self._execute(operation, b"", _new_request_id())
        if result.outcome != "served" or result.stored is None:
            return None
        if result.status == 404:
            return StoredVersion("", result.stored.stamp)
        return result.stored if result.status < 300 and result.stored.etag else None

    @staticmethod
    async def _wait_for_sync(synced: Future[int]) -> int:
        finished = anyio.Event()
        loop = asyncio.get_running_loop()

        def notify(_: Future[int]) -> None:
            # If the sync has already ended, this runs in the event loop's own thread, which must not wait for itself. A
            # closed event loop raises RuntimeError: then nothing waits for the result.
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(finished.set)

        synced.add_done_callback(notify)
        await finished.wait()
        return synced.result()

    def _retry_later(self, waiting: QueuedRecord) -> None:
        self.counts["retries"] += 1
        self._retry_at_ms[waiting.sequence] = self._clock() + RETRY_DELAY_MS
        self.drain.finish_attempt(waiting.sequence, False)

    def _complete(self, waiting: QueuedRecord, record: WriteBackRecord) -> None:
        self.counts["stored"] += 1
        self._last_stored[record.volume, record.key] = record.stamp
        self.committer.mark_done(waiting.sequence)
        self._forget_record(waiting)

    def _supersede(self, waiting: QueuedRecord, record: WriteBackRecord, stored: StoredVersion) -> None:
        """Let go of a record whose object holds a write that was acknowledged later, here or at another gateway."""
        self.counts["superseded"] += 1
        self._events.info(
            "write_back_record_superseded",
            record=waiting.sequence,
            object=waiting.order_key,
            written=record.stamp.encode(),
            stored=stored.stamp.encode() if stored.stamp is not None else "",
        )
        self.committer.mark_done(waiting.sequence)
        self._forget_record(waiting)

    def _quarantine(self, waiting: QueuedRecord, reason: str) -> None:
        """Keep a record in the log for an operator to inspect, and don't send it again."""
        self.counts["quarantined"] += 1
        self.quarantined[waiting.sequence] = reason
        self._events.error(
            "write_back_record_quarantined",
            record=waiting.sequence,
            object=waiting.order_key,
            reason=reason,
        )
        self._forget_record(waiting)

    def _forget_record(self, waiting: QueuedRecord) -> None:
        self.drain.finish_attempt(waiting.sequence, True)
        self._preconditions.pop(waiting.sequence, None)
        self._possibly_executed.discard(waiting.sequence)
        self._retry_at_ms.pop(waiting.sequence, None)
        volume, _, key = waiting.order_key.partition("/")
        pending = self._pending_objects[volume, key]
        pending.sequences.remove(waiting.sequence)
        if not pending.sequences:
            del self._pending_objects[volume, key]
            self._last_stored.pop((volume, key), None)
            pending.stored.set()

    async def stop(self) -> None:
        """Drain for a limited time, and close the log; the next process recovers the records that are left."""
        with anyio.move_on_after(SHUTDOWN_DRAIN_SECONDS):
            while self._pending_objects:
                await anyio.sleep(DRAIN_INTERVAL_SECONDS)
        await anyio.to_thread.run_sync(self.committer.close)
        self._events.info("write_back_log_closed", open=len(self.log.pending_writes), **self.counts)


def stored_version(head: ResponseHead) -> StoredVersion:
    """Return what a store's response tells of the object that it holds."""
    modified_ms = None
    with contextlib.suppress(ValueError, TypeError):
        modified_ms = parsedate_to_datetime(head.get(b"last-modified") or "").timestamp() * 1000
    stamp = parse_stamp(head.get(store_protocol.WRITTEN_HEADER) or "")
    return StoredVersion(head.get(b"etag") or "", stamp, modified_ms)


def _new_request_id() -> str:
    """Return an id that no other request has, at whichever gateway: stores may remember it."""
    return uuid.uuid4().hex


def _check_classes(config: Config) -> None:
    request_classes = {kind.rules.name: kind.rules for kind in config.kinds}
    for name in config.writeback.classes:
        request_class = request_classes.get(name)
        if request_class is None:
            raise WriteBackError(f"no class {name!r} is configured; see writeback, classes")
        if request_class.repeat_safety is api.RepeatSafety.AT_MOST_ONCE:
            raise WriteBackError(
                f"class {name!r} is at-most-once: its writes are never sent twice, so never written back; see writeback, classes"
            )


class _VolumeWeights(dict[str, float]):
    """The weight of each volume's plan."""

    def __init__(self, rule_of: Callable[[str], VolumeRule | None], plan_weights: dict[str, float]) -> None:
        super().__init__()
        self._rule_of = rule_of
        self._plan_weights = plan_weights

    def get(self, volume: str, default: float = 1.0) -> float:  # type: ignore[override]
        """Return the weight of a volume's plan."""
        rule = self._rule_of(volume)
        return self._plan_weights.get(rule.plan, default) if rule is not None else default
