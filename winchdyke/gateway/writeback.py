"""Write-back in a running gateway: writes are acknowledged from the log, and sent to their stores behind live requests.

What is promised is in ``docs/writeback.md``. Which record is sent next and what may be sent again are decided in
``writeback/drain.py`` and ``writeback/replay.py``; here they are carried out, each attempt through the scheduler as any
request.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec
import structlog

from winchdyke import interface as api
from winchdyke.config import Config
from winchdyke.config.model import VolumeRule
from winchdyke.object_api import routes
from winchdyke.writeback.commit import Committer
from winchdyke.writeback.disk import Folder, Locked
from winchdyke.writeback.drain import Bounds, Drain, Waiting
from winchdyke.writeback.log import Full, Log, LogError

DRAIN_INTERVAL_SECONDS = 0.05
MAX_REMEMBERED_IDEMPOTENCY_KEYS = 100_000
RETRY_DELAY_MS = 250.0
SHUTDOWN_DRAIN_SECONDS = 5.0  # what is left then stays in the log


class WriteBackRecord(msgspec.Struct, array_like=True):
    """A write as it is stored in the log.

    Attributes:
        volume: The object's volume.
        key: The object's key.
        class_name: Name of the request class.
        repeat_key: The client's Idempotency-Key; empty: none.
        passed: The client's headers that are passed to the store.
        shard: The shard that holds the object.
        units: The work of the write.
        etag: The tag that the store will give the body.
        unix_ms: When it was acknowledged.
        client_request: The client's own id of the request.
        body: The object's content.
    """

    volume: str
    key: str
    class_name: str
    repeat_key: str
    passed: list[tuple[bytes, bytes]]
    shard: int
    units: float
    etag: str
    unix_ms: float
    client_request: str
    body: bytes


@dataclass
class _PendingObject:
    """The records that the log holds of one object, and an event for when there are none left."""

    sequences: list[int] = field(default_factory=list)
    stored: anyio.Event = field(default_factory=anyio.Event)


@dataclass(frozen=True, slots=True)
class _RememberedWrite:
    """What a write with an Idempotency-Key was answered, and when."""

    etag: str
    unix_ms: float


class WriteBackError(Exception):
    """The log can't be used; says why and which setting to look at."""


@dataclass(frozen=True, slots=True)
class InternalResult:
    """How an operation of the gateway's own ended.

    Attributes:
        outcome: ``served``, ``refused``, ``failed`` or ``gone``.
        last_attempt: How its last attempt ended; None: there was none.
        status: Its HTTP status.
        etag: The object's tag; empty: none was given.
    """

    outcome: str
    last_attempt: api.AttemptOutcome | None
    status: int
    etag: str


Execute = Callable[[routes.Operation, bytes, str], Awaitable[InternalResult]]


class WriteBack:
    """The write-back log of one gateway.

    Args:
        config: The configuration.
        clock: Monotonic time in milliseconds.
        execute: Sends one operation through the scheduler.

    Attributes:
        settings: The ``writeback`` settings.
        log: The log on the disk.
        committer: The thread that writes to it.
        drain: Decides which record is sent next.
        quarantined: Records that are not sent again, with the reason.
        counts: What became of records.

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
        bounds = Bounds(self.settings.wide, self.settings.urgent)
        self.drain = Drain(bounds, _VolumeWeights(config.volume, weights))
        self.quarantined: dict[int, str] = {}
        self.counts: Counter[str] = Counter()
        self._pending_objects: dict[tuple[str, str], _PendingObject] = {}
        self._remembered: dict[tuple[str, str], _RememberedWrite] = {}  # by Idempotency-Key, oldest first
        # The tag that a store had before a record was first sent; empty: it had no such object.
        self._preconditions: dict[int, str] = {}
        self._possibly_executed: set[int] = set()
        self._retry_at_ms: dict[int, float] = {}
        self._recover()
        self.committer = Committer(self.log)

    def _open_log(self) -> Log:
        settings = self.settings
        try:
            disk = Folder(Path(settings.folder))
            return Log(disk, settings.segment_bytes, settings.total_bytes, self._report_log_problem)
        except (OSError, Locked, LogError) as error:
            raise WriteBackError(f"{error}; see writeback, folder") from error

    def _recover(self) -> None:
        """Take over the records that an earlier process left in the log."""
        for text in [*self.log.found.corrupt, *self.log.found.torn]:
            self._events.error("write_back_log_damaged", error=text)
        for sequence in sorted(self.log.open):
            try:
                record = msgspec.msgpack.decode(self.log.payload(sequence), type=WriteBackRecord)
            except (LogError, msgspec.DecodeError) as error:
                self.quarantined[sequence] = str(error)
                self._events.error("write_back_record_unreadable", record=sequence, error=str(error))
                continue
            precondition = self.log.out.get(sequence)
            if precondition is not None:
                self._preconditions[sequence] = precondition.decode()
                self._possibly_executed.add(sequence)
            self._add(sequence, record, self._clock())
        if self.log.found.records:
            self._events.info(
                "write_back_log_recovered", records=self.log.found.records, open=len(self.log.open)
            )

    def _report_log_problem(self, text: str) -> None:
        self._events.warning("write_back_log_problem", error=text)

    def _add(self, sequence: int, record: WriteBackRecord, now: float) -> None:
        pending = self._pending_objects.setdefault((record.volume, record.key), _PendingObject())
        pending.sequences.append(sequence)
        order_key = f"{record.volume}/{record.key}"
        self.drain.add(
            Waiting(sequence, record.volume, record.shard, record.units, len(record.body), now, order_key)
        )
        if record.repeat_key:
            remembered = _RememberedWrite(record.etag, record.unix_ms)
            self._remembered[record.volume, record.repeat_key] = remembered

    # Requests of clients

    def accepts(self, operation: routes.Operation, class_name: str, length: int | None) -> bool:
        """Whether a write may be acknowledged from the log: its class opted in, it fits a record, it has no condition."""
        if operation.name != "put" or class_name not in self.settings.classes:
            return False
        if length is None or length > self.settings.record_bytes:
            return False
        return not any(name.startswith(b"if-") for name, _ in operation.passed)

    def remembered_etag(self, volume: str, idempotency_key: str) -> str | None:
        """Return the tag that a write with this key was answered with, even after its store has forgotten the key."""
        if not idempotency_key:
            return None
        remembered = self._remembered.get((volume, idempotency_key))
        return remembered.etag if remembered is not None else None

    async def append(self, record: WriteBackRecord) -> None:
        """Write a record to the log; it may be acknowledged afterwards.

        Raises:
            Full: The log has no capacity for it; nothing was written.
            LogError: It could not be made durable; nothing is promised.
        """
        free_bytes = self.log.room()
        if not self.drain.admits(record.volume, len(record.body), free_bytes, self.settings.total_bytes):
            self.counts["rejected"] += 1
            raise Full("the log has no room for this course; what is in it has to reach the stores first")
        sequence = await self._wait_for_sync(self.committer.write(msgspec.msgpack.encode(record)))
        self._add(sequence, record, self._clock())
        self.counts["acknowledged"] += 1

    def has_pending(self, volume: str, key: str) -> bool:
        """Whether the log holds a write of an object that its store may not have."""
        return (volume, key) in self._pending_objects

    async def wait_until_stored(self, volume: str, key: str, until_ms: float) -> bool:
        """Wait until the log holds no write of an object; return False where that takes longer than ``until_ms``."""
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
            queue_lengths: Gives the live requests that are queued for each shard.
        """
        async with anyio.create_task_group() as group:
            while True:
                now = self._clock()
                self._forget_expired_keys()
                for waiting in self.drain.next(now, queue_lengths()):
                    if self._retry_at_ms.get(waiting.sequence, 0.0) > now:
                        self.drain.ended(waiting.sequence, False)
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

    async def _send(self, waiting: Waiting) -> None:
        sequence = waiting.sequence
        try:
            record = msgspec.msgpack.decode(self.log.payload(sequence), type=WriteBackRecord)
        except (LogError, msgspec.DecodeError) as error:
            self._quarantine(waiting, str(error))
            return
        if sequence not in self._preconditions and not await self._set_precondition(sequence, record):
            self._retry_later(waiting)
            return
        request_id = f"log-{self.log.epoch}-{sequence}"
        operation = self._operation(record, self._preconditions[sequence], request_id)
        result = await self._execute(operation, record.body, request_id)
        if result.outcome != "served":
            if result.last_attempt is not None and not result.last_attempt.proves_no_effect:
                self._possibly_executed.add(sequence)
            self._retry_later(waiting)
        elif result.status < 300:
            self._complete(waiting)
        elif result.status == 412:
            await self._resolve_conflict(waiting, record)
        else:
            self._quarantine(waiting, f"its store answered {result.status}")

    async def _set_precondition(self, sequence: int, record: WriteBackRecord) -> bool:
        """Ask the store what it has, and make that durable; return False where that fails.

        It is durable before the record is first sent: after a crash the record is sent again under the same condition, so
        that it takes effect once at most.
        """
        etag = await self._stored_etag(record)
        if etag is None:
            return False
        try:
            await self._wait_for_sync(self.committer.out(sequence, etag.encode()))
        except LogError:
            return False
        self._preconditions[sequence] = etag
        return True

    @staticmethod
    def _operation(record: WriteBackRecord, precondition: str, request_id: str) -> routes.Operation:
        condition = (b"if-match", precondition.encode()) if precondition else (b"if-none-match", b"*")
        return routes.Operation(
            "put",
            record.volume,
            record.key,
            passed=(*record.passed, condition),
            class_name=record.class_name,
            idempotency_key=record.repeat_key or request_id,
            client_request=record.client_request,
        )

    async def _resolve_conflict(self, waiting: Waiting, record: WriteBackRecord) -> None:
        """Decide what to do where the store has something else than before the record was first sent."""
        etag = await self._stored_etag(record)
        if etag is None:
            self._retry_later(waiting)
        elif etag == record.etag:
            self._complete(waiting)
        elif waiting.sequence in self._possibly_executed:
            # replay.after_asking: whether it was executed before the other write can't be told.
            self._quarantine(waiting, "it may have run, and its store holds something else now")
        else:  # never executed: another client wrote after the store was asked
            del self._preconditions[waiting.sequence]
            self._retry_later(waiting)

    async def _stored_etag(self, record: WriteBackRecord) -> str | None:
        """Return the tag of what the store has, empty where it has no such object; None where that can't be told now."""
        operation = routes.Operation("head", record.volume, record.key)
        result = await self._execute(operation, b"", f"ask-{time.monotonic_ns():x}")
        if result.outcome != "served" or (result.status != 404 and not result.etag):
            return None
        return "" if result.status == 404 else result.etag

    @staticmethod
    async def _wait_for_sync(synced: Future[int]) -> int:
        finished = anyio.Event()
        loop = asyncio.get_running_loop()

        def notify(_: Future[int]) -> None:
            # Where the sync is over already, this runs in the loop's own thread, which must not wait for itself. A loop that
            # has ended raises RuntimeError: nobody waits then.
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(finished.set)

        synced.add_done_callback(notify)
        await finished.wait()
        return synced.result()

    def _retry_later(self, waiting: Waiting) -> None:
        self.counts["retries"] += 1
        self._retry_at_ms[waiting.sequence] = self._clock() + RETRY_DELAY_MS
        self.drain.ended(waiting.sequence, False)

    def _complete(self, waiting: Waiting) -> None:
        self.counts["stored"] += 1
        self.committer.done(waiting.sequence)
        self._forget_record(waiting)

    def _quarantine(self, waiting: Waiting, reason: str) -> None:
        """Keep a record in the log without sending it again, for an operator to look at."""
        self.counts["quarantined"] += 1
        self.quarantined[waiting.sequence] = reason
        self._events.error(
            "write_back_record_quarantined",
            record=waiting.sequence,
            object=waiting.order_key,
            reason=reason,
        )
        self._forget_record(waiting)

    def _forget_record(self, waiting: Waiting) -> None:
        self.drain.ended(waiting.sequence, True)
        self._preconditions.pop(waiting.sequence, None)
        self._possibly_executed.discard(waiting.sequence)
        self._retry_at_ms.pop(waiting.sequence, None)
        volume, _, key = waiting.order_key.partition("/")
        pending = self._pending_objects[volume, key]
        pending.sequences.remove(waiting.sequence)
        if not pending.sequences:
            del self._pending_objects[volume, key]
            pending.stored.set()

    async def stop(self) -> None:
        """Drain for a limited time, and close the log; the next process finds what is left."""
        with anyio.move_on_after(SHUTDOWN_DRAIN_SECONDS):
            while self._pending_objects:
                await anyio.sleep(DRAIN_INTERVAL_SECONDS)
        await anyio.to_thread.run_sync(self.committer.close)
        self._events.info("write_back_log_closed", open=len(self.log.open), **self.counts)


def _check_classes(config: Config) -> None:
    request_classes = {kind.rules.name: kind.rules for kind in config.kinds}
    for name in config.writeback.classes:
        request_class = request_classes.get(name)
        if request_class is None:
            raise WriteBackError(f"no class {name!r} is set up; see writeback, classes")
        if request_class.repeat_safety is api.RepeatSafety.AT_MOST_ONCE:
            raise WriteBackError(
                f"class {name!r} is never sent twice, so its writes can't be kept for later; see writeback, classes"
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


def tag_of(body: bytes) -> str:
    """Return the tag that a store gives a body that is put complete (``docs/store-protocol.md``)."""
    return f'"{hashlib.md5(body, usedforsecurity=False).hexdigest()}"'
