"""Write-back in a running gateway: writes of classes that opted in are acknowledged from the log, and reach their
stores behind live work.

What is promised is in ``docs/writeback.md``. Which record goes next and what may be sent again are decided in
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
from winchdyke.object_api import routes
from winchdyke.writeback.commit import Committer
from winchdyke.writeback.disk import Folder, Locked
from winchdyke.writeback.drain import Bounds, Drain, Waiting
from winchdyke.writeback.log import Full, Log, LogError

LOOK_S = 0.05  # between looks for what may go
REPEATS = 100_000  # Idempotency-Keys that are remembered at the most
REST_MS = 250.0  # before a record whose attempt ended without effect is tried again
STOP_S = 5.0  # at a stop, for draining; what is left stays in the log


class WriteBackRecord(msgspec.Struct, array_like=True):
    """A write as it stands in the log."""

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
class _Pending:
    """What the log holds for one object: its newest content's tag, and who waits for it."""

    sequences: list[int] = field(default_factory=list)
    over: anyio.Event = field(default_factory=anyio.Event)


class WriteBackError(Exception):
    """The log can't be used; says why and what to do."""


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
    """The log of one gateway, and what becomes of it. ``carry`` takes one operation through the scheduler."""

    def __init__(self, config: Config, clock: Callable[[], float], carry: Execute) -> None:
        self.settings, self._config, self._clock, self._carry = config.writeback, config, clock, carry
        self._kinds = {kind.rules.name: kind.rules for kind in config.kinds}
        for name in self.settings.classes:
            kind = self._kinds.get(name)
            if kind is None:
                raise WriteBackError(f"no class {name!r} is set up; see writeback, classes")
            if kind.repeat_safety is api.RepeatSafety.AT_MOST_ONCE:
                raise WriteBackError(
                    f"class {name!r} is never sent twice, so its writes can't be kept for later; see writeback, classes"
                )
        self._log = structlog.get_logger("writeback")
        try:
            disk = Folder(Path(self.settings.folder))
            self.log = Log(disk, self.settings.segment_bytes, self.settings.total_bytes, self._heard)
        except (OSError, Locked, LogError) as error:
            raise WriteBackError(f"{error}; see writeback, folder") from error
        weights = {plan.name: plan.fair_share_weight for plan in config.plans}
        rule = config.volume
        self.drain = Drain(Bounds(self.settings.wide, self.settings.urgent), _Weights(rule, weights))
        self._pending: dict[tuple[str, str], _Pending] = {}
        self._repeats: dict[
            tuple[str, str], tuple[str, float]
        ] = {}  # answers to repeat keys, and when (unix ms)
        self._condition: dict[
            int, str
        ] = {}  # what its store held when a record was first sent; empty: nothing
        self._maybe: set[int] = set()  # records of which an attempt may have run
        self._rest: dict[int, float] = {}
        self.kept: dict[int, str] = {}  # records that are not sent again, and why
        self.counts: Counter[str] = Counter()
        self.stopping = False
        for text in [*self.log.found.corrupt, *self.log.found.torn]:
            self._log.error("log", trouble=text)
        for sequence in sorted(self.log.open):
            try:
                record = msgspec.msgpack.decode(self.log.payload(sequence), type=WriteBackRecord)
            except (LogError, msgspec.DecodeError) as error:
                self.kept[sequence] = str(error)
                self._log.error("log", record=sequence, trouble=str(error))
                continue
            if (note := self.log.out.get(sequence)) is not None:
                self._condition[sequence] = note.decode()
                self._maybe.add(sequence)  # it may have been out when the process before this one ended
            self._add(sequence, record, self._clock())
        if self.log.found.records:
            self._log.info("found", records=self.log.found.records, open=len(self.log.open))
        self.committer = Committer(self.log)

    def _heard(self, text: str) -> None:
        self._log.warning("log", trouble=text)

    def _add(self, sequence: int, record: WriteBackRecord, now: float) -> None:
        self._pending.setdefault((record.volume, record.key), _Pending()).sequences.append(sequence)
        name = f"{record.volume}/{record.key}"
        self.drain.add(
            Waiting(sequence, record.volume, record.shard, record.units, len(record.body), now, name)
        )
        if record.repeat_key:
            self._repeats[record.volume, record.repeat_key] = record.etag, record.unix_ms

    # What clients meet

    def takes(self, operation: routes.Operation, class_name: str, length: int | None) -> bool:
        """Whether a write goes into the log: of a class that opted in, whole in one record, with no condition."""
        conditions = any(name.startswith(b"if-") for name, _ in operation.passed)
        fits = length is not None and length <= self.settings.record_bytes
        return operation.name == "put" and class_name in self.settings.classes and fits and not conditions

    def known(self, volume: str, repeat_key: str) -> str | None:
        """The tag that a write with this key was answered with, also long after its store has forgotten it."""
        found = self._repeats.get((volume, repeat_key)) if repeat_key else None
        return found[0] if found is not None else None

    async def keep(self, record: WriteBackRecord) -> None:
        """Acknowledge a write. LogError where the promise can't be given: nothing was written, or nothing is promised."""
        size = len(record.body)
        room = self.log.room()
        if not self.drain.admits(record.volume, size, room, self.settings.total_bytes):
            self.counts["refused"] += 1
            raise Full("the log has no room for this course; what is in it has to reach the stores first")
        sequence = await self._synced(self.committer.write(msgspec.msgpack.encode(record)))
        self._add(sequence, record, self._clock())
        self.counts["kept"] += 1

    def holds(self, volume: str, key: str) -> bool:
        """Whether the log has a write of an object that its store may not have."""
        return (volume, key) in self._pending

    async def reached(self, volume: str, key: str, until: float) -> bool:
        """Wait until all that is in the log for an object is at its store; False where that takes too long."""
        while (pending := self._pending.get((volume, key))) is not None:
            left = until - self._clock()
            if left <= 0:
                return False
            with anyio.move_on_after(left / 1000):
                await pending.over.wait()
        return True

    # Draining

    async def run(self, held: Callable[[], dict[int, int]]) -> None:
        """Drain until cancelled. ``held``: live requests that wait for each shard."""
        async with anyio.create_task_group() as group:
            while True:
                now = self._clock()
                self._forget()
                for waiting in self.drain.next(now, held()):
                    if self._rest.get(waiting.sequence, 0.0) > now:
                        self.drain.ended(waiting.sequence, False)
                        continue
                    group.start_soon(self._one, waiting)
                await anyio.sleep(LOOK_S)

    def _forget(self) -> None:
        oldest = time.time() * 1000 - self.settings.remember
        while self._repeats:  # in the order of their coming
            key, (_, at) = next(iter(self._repeats.items()))
            if at >= oldest and len(self._repeats) <= REPEATS:
                return
            del self._repeats[key]

    async def _one(self, waiting: Waiting) -> None:
        sequence = waiting.sequence
        try:
            record = msgspec.msgpack.decode(self.log.payload(sequence), type=WriteBackRecord)
        except (LogError, msgspec.DecodeError) as error:
            self._keep_back(waiting, str(error))
            return
        if sequence not in self._condition:
            held = await self._holds(record)
            if held is None:
                return self._again(waiting)
            # Synced before a byte of it leaves: after a crash it is sent under this same condition, and no other.
            try:
                await self._synced(self.committer.out(sequence, held.encode()))
            except LogError:
                return self._again(waiting)
            self._condition[sequence] = held
        tag = self._condition[sequence]
        condition = (b"if-match", tag.encode()) if tag else (b"if-none-match", b"*")
        operation = routes.Operation(
            "put", record.volume, record.key, passed=(*record.passed, condition), class_name=record.class_name,
            idempotency_key=record.repeat_key or f"log-{self.log.epoch}-{sequence}", client_request=record.client_request,
        )  # fmt: skip
        result = await self._carry(operation, record.body, f"log-{self.log.epoch}-{sequence}")
        if result.outcome == "served" and result.status < 300:
            self._done(waiting)
        elif result.outcome == "served" and result.status == 412:
            await self._unlike(waiting, record)
        elif result.outcome == "served":
            self._keep_back(waiting, f"its store answered {result.status}")
        else:
            if result.last_attempt is not None and not result.last_attempt.proves_no_effect:
                self._maybe.add(sequence)
            self._again(waiting)

    async def _unlike(self, waiting: Waiting, record: WriteBackRecord) -> None:
        """Its store holds something else than it did: this very write, or somebody's since."""
        held = await self._holds(record)
        if held is None:
            self._again(waiting)
        elif held == record.etag:
            self._done(waiting)
        elif waiting.sequence in self._maybe:  # replay.after_asking: what nobody can tell is kept
            self._keep_back(waiting, "it may have run, and its store holds something else now")
        else:  # it has never run: somebody wrote between the look and this
            del self._condition[waiting.sequence]
            self._again(waiting)

    async def _holds(self, record: WriteBackRecord) -> str | None:
        """The tag of what its store holds, empty where there is nothing; None where it does not say now."""
        operation = routes.Operation("head", record.volume, record.key)
        result = await self._carry(operation, b"", f"ask-{time.monotonic_ns():x}")
        if result.outcome != "served" or (result.status != 404 and not result.etag):
            return None
        return "" if result.status == 404 else result.etag

    @staticmethod
    async def _synced(made: Future[int]) -> int:
        done, loop = anyio.Event(), asyncio.get_running_loop()

        def told(_: Future[int]) -> None:
            # Guards against a sync that is over before it is waited for: this is called in the loop's own thread then, which would
            # wait for itself, and the gateway would stand still. The loop may have ended, and nobody waits.
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(done.set)

        made.add_done_callback(told)
        await done.wait()
        return made.result()

    def _again(self, waiting: Waiting) -> None:
        self.counts["again"] += 1
        self._rest[waiting.sequence] = self._clock() + REST_MS
        self.drain.ended(waiting.sequence, False)

    def _done(self, waiting: Waiting) -> None:
        self.counts["done"] += 1
        self.committer.done(waiting.sequence)
        self._over(waiting)

    def _keep_back(self, waiting: Waiting, why: str) -> None:
        """Not sent again: it stays in the log, and people are told."""
        self.counts["kept back"] += 1
        self.kept[waiting.sequence] = why
        self._log.error("kept-back", record=waiting.sequence, object=waiting.order_key, why=why)
        self._over(waiting)

    def _over(self, waiting: Waiting) -> None:
        self.drain.ended(waiting.sequence, True)
        self._condition.pop(waiting.sequence, None)
        self._maybe.discard(waiting.sequence)
        self._rest.pop(waiting.sequence, None)
        volume, _, key = waiting.order_key.partition("/")
        pending = self._pending[volume, key]
        pending.sequences.remove(waiting.sequence)
        if not pending.sequences:
            del self._pending[volume, key]
            pending.over.set()

    async def stop(self) -> None:
        """Drain for a while, and close the log in good order; what is left is found at the next start."""
        with anyio.move_on_after(STOP_S):
            while self._pending:
                await anyio.sleep(LOOK_S)
        await anyio.to_thread.run_sync(self.committer.close)
        self._log.info("closed", left=len(self.log.open), **self.counts)


class _Weights(dict[str, float]):
    """Weights by volume, from its plan."""

    def __init__(self, rule: Callable[[str], object], plans: dict[str, float]) -> None:
        super().__init__()
        self._rule, self._plans = rule, plans

    def get(self, volume: str, default: float = 1.0) -> float:  # type: ignore[override]
        """The weight of a volume's plan."""
        found = self._rule(volume)
        return self._plans.get(getattr(found, "plan", ""), default)


def tag_of(body: bytes) -> str:
    """The tag that a store gives a body put whole (``docs/store-protocol.md``)."""
    return f'"{hashlib.md5(body, usedforsecurity=False).hexdigest()}"'
