"""From a client's request to its one final answer: asked of the scheduler, carried out, logged. It decides nothing."""

from __future__ import annotations

import dataclasses
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import quote

import anyio
import msgspec
import structlog

from winchdyke import interface as api
from winchdyke import placement
from winchdyke.config.matching import Asked, Route
from winchdyke.config.model import Config, Kind, VolumeRule
from winchdyke.discovery.records import EndpointEvidence
from winchdyke.gateway import logs, outcomes
from winchdyke.gateway.attempts import (
    Attempt,
    AttemptResult,
    ClientDisconnectedError,
    OutgoingRequest,
    UpstreamResponse,
)
from winchdyke.gateway.bodies import BodyStore, BodyStoreFull, ReplayBody
from winchdyke.gateway.clients import ClientConnection
from winchdyke.gateway.pool import ConnectionPool
from winchdyke.gateway.scheduler_loop import RequestHandle, SchedulerLoop
from winchdyke.gateway.writeback import Ended as OwnEnded
from winchdyke.gateway.writeback import WriteBack, tag_of
from winchdyke.gateway.writeback import WriteBackRecord as WriteRecord
from winchdyke.http1 import AnswerHead, Bytes, Headers, ProtocolError, RequestHead
from winchdyke.latency_attribution.recorder import Recorder, RequestTrace
from winchdyke.object_api import answers, listing, ranges, routes, store_protocol
from winchdyke.object_api.answers import RequestError
from winchdyke.object_api.sinks import Sink
from winchdyke.quotas.byte_metering import ByteMeter, MeteredSink, TransferCharge
from winchdyke.quotas.token_bucket import OverLimit, units_of, weigh
from winchdyke.writeback.log import Full, LogError

BODIES = ("put", "post", "put-part", "complete-upload")
OWN = "own-"  # before the ids of requests that the gateway makes for itself
PAID = ("get", "put", "post", "put-part")  # operations that move an object's bytes


@dataclass(slots=True)
class Source:
    """Where a request's body comes from; ``length`` None: not known before."""

    read: Callable[[], Awaitable[Bytes]]
    length: int | None


@dataclass(slots=True)
class FinalResponse:
    """The one final answer to a request."""

    status: int
    outcome: str
    reason: str
    text: str = ""
    retry_after_ms: float | None = None
    answer: UpstreamResponse | None = None
    relayed: bool = False
    acknowledged: str = ""  # by what, where not by a store
    parts: list[bytes] | None = None  # of what was asked of several shards, as they answered


class ConfigSnapshot:
    """Settings as a request finds them when it comes, to its last attempt; never changed, only followed by another."""

    __slots__ = ("config", "limits", "version", "volumes")

    def __init__(self, config: Config, version: int = 0) -> None:
        self.config, self.version = config, version
        self.limits = {plan.name: plan.limit_units_per_s for plan in config.plans}  # units a second; 0: none
        self.volumes: dict[str, VolumeRule | None] = {}

    def volume(self, name: str) -> VolumeRule | None:
        """The rule of a volume, found once."""
        if name not in self.volumes:
            if len(self.volumes) > 100_000:
                self.volumes.clear()
            self.volumes[name] = self.config.volume(name)
        return self.volumes[name]


@dataclass(slots=True)
class AccessLogRecord:
    """What the access line of a request tells, and its course where accounts are kept."""

    course: RequestTrace | None = None
    version: int = 0
    excess: float = 0.0  # units that its body counts beyond what the scheduler is told
    unit_bytes: int = 0
    limit: float = 0.0  # of its course, over all gateways, in units a second; 0: none
    bill: TransferCharge | None = None  # what it pays of that beyond what the scheduler is told
    ask: api.Request | None = None
    attempts: int = 0
    nodes: list[str] = field(default_factory=list)
    ends: list[str] = field(default_factory=list)
    held_ms: float = 0.0  # waiting at this gateway
    out_ms: float = 0.0  # attempts at stores, less what the client held up


class InternalCaller:
    """In a client's place, where the gateway asks for itself."""

    on_gone: Callable[[], None] | None = None
    eof = False
    status = 0

    def look(self) -> None:
        """Nobody leaves."""


class DiscardSink:
    """A sink for what is not wanted: answers that stream where only whole ones are taken."""

    async def begin_stream(self, head: AnswerHead) -> None:
        """Refuse."""
        raise ClientDisconnectedError

    async def data(self, data: Bytes) -> None:
        """Refuse."""
        raise ClientDisconnectedError

    async def finish(self) -> None:
        """Refuse."""
        raise ClientDisconnectedError


class Service:
    """The object API of one gateway."""

    def __init__(
        self,
        config: Config,
        engine: SchedulerLoop,
        pool: ConnectionPool,
        clock: Callable[[], float],
        recorder: Recorder | None = None,
    ) -> None:
        self.recorder = recorder
        self.on_word: Callable[[str, EndpointEvidence], bool] = lambda *_: True
        self.on_refused: Callable[[str], None] = lambda _: None
        self.on_end: Callable[[str, int, str, float], None] | None = None
        self.config, self.engine, self.pool, self.clock = config, engine, pool, clock
        self.bodies = BodyStore(config.limits.body_total, config.limits.body_memory)
        self.writeback: WriteBack | None = None
        self.tolls = ByteMeter(clock, engine.purse, lambda: engine.settings.max_request_units)
        self.stopping = False
        self.active = 0
        self._born, self._count = (
            uuid.uuid4().hex[:20],
            0,
        )  # a request's id: this process, and its number in it
        self._keys: set[tuple[str, str]] = set()
        self._kinds = {kind.rules.name: kind.rules for kind in config.kinds}
        self.snapshot = ConfigSnapshot(config)
        self._log = structlog.get_logger("access")

    async def handle(self, connection: ClientConnection, head: RequestHead) -> None:
        """Answer one request; whatever happens, once."""
        self._count += 1
        began, request = self.clock(), f"{self._born}{self._count:012x}"
        snapshot = self.snapshot
        told: Headers = [(answers.REQUEST_ID, request.encode())]
        if snapshot.version:
            told.append((store_protocol.VERSION, str(snapshot.version).encode()))
        connection.begin(told, close=self.stopping)
        connection.unread_length = head.length
        record = AccessLogRecord(
            self.recorder.start_trace() if self.recorder is not None else None, snapshot.version
        )
        operation: routes.Operation | None = None
        kind: Kind | None = None
        self.active += 1
        try:
            operation = routes.parse(head)
            kind, volume = self._settings_of(snapshot, operation, head)
            record.limit = snapshot.limits.get(volume.plan, 0.0)
            final = await self._keyed(connection, head, operation, kind, volume, request, record)
        except RequestError as error:
            final = FinalResponse(error.status, "refused", error.reason, str(error))
            connection.begin(
                [*connection.extra, *([(b"allow", error.allow.encode())] if error.allow else [])], False
            )
        except Exception as error:
            final = FinalResponse(500, "failed", "internal")
            structlog.get_logger("gateway").error("internal", request=request, exc_info=error)
        finally:
            self.active -= 1
            connection.on_gone = None
        if record.course is not None:
            record.course.enter_phase("client")
        try:
            await self._say(connection, request, final)
        finally:
            if self.on_end is not None and operation is not None and final.outcome != "gone":
                shard = record.ask.shard if record.ask is not None else -1
                self.on_end(operation.volume, shard, final.outcome, self.clock() - began)
            self._account(operation, kind, head, request, final, record)
            self._access(connection, head, operation, kind, request, final, record, began)

    def _account(
        self,
        operation: routes.Operation | None,
        kind: Kind | None,
        head: RequestHead,
        request: str,
        final: FinalResponse,
        record: AccessLogRecord,
    ) -> None:
        if self.recorder is None or record.course is None or operation is None or kind is None:
            return
        self.recorder.finish(
            record.course,
            request=request,
            volume=operation.volume,
            class_name=kind.rules.name,
            key=operation.idempotency_key or operation.key,
            units=record.ask.units if record.ask is not None else 1.0,
            outcome=final.outcome,
            reason=final.reason,
            status=final.status,
            client_request=operation.client_request,
            deadline_ms=kind.rules.deadline_ms,
        )

    def _settings_of(
        self, snapshot: ConfigSnapshot, operation: routes.Operation, head: RequestHead
    ) -> tuple[Kind, VolumeRule]:
        config, volume = snapshot.config, snapshot.volume(operation.volume)
        if volume is None:
            raise RequestError(404, "no-volume", f"no volume {operation.volume!r} is set up here")
        route = self._route(config, operation, head)
        if route is not None and route.shards:
            volume = dataclasses.replace(volume, shards=route.shards)
        asked = operation.class_name or (route.class_name if route is not None else "") or None
        name = "list" if operation.name == "list-uploads" else operation.name
        kind = config.kind_for(name, asked)
        if kind is None and not operation.class_name:
            kind = config.kind_for(name, None)
        if kind is None:
            asked = f" in class {operation.class_name!r}" if operation.class_name else ""
            raise RequestError(400, "no-class", f"no class is set up for {operation.name}{asked}")
        return kind, volume

    def _route(self, config: Config, operation: routes.Operation, head: RequestHead) -> Route | None:
        if not config.routes:
            return None
        headers = {name.decode("latin-1"): value.decode("latin-1").strip() for name, value in head.headers}
        asked = Asked(head.method, operation.volume, operation.key, head.length or 0, headers)
        return config.matcher.match(asked)

    async def carry(
        self,
        connection: ClientConnection,
        head: RequestHead,
        operation: routes.Operation,
        request: str,
        record: AccessLogRecord,
        snapshot: ConfigSnapshot,
        source: Source | None = None,
        sink: Sink | None = None,
    ) -> tuple[Kind, FinalResponse]:
        """Carry out one operation for another dialect; nothing is said to the client but what goes into ``sink``."""
        kind, volume = self._settings_of(snapshot, operation, head)
        record.limit = snapshot.limits.get(volume.plan, 0.0)
        return kind, await self._keyed(
            connection, head, operation, kind, volume, request, record, source, sink
        )

    async def _keyed(
        self,
        connection: ClientConnection,
        head: RequestHead,
        operation: routes.Operation,
        kind: Kind,
        volume: VolumeRule,
        request: str,
        record: AccessLogRecord,
        source: Source | None = None,
        sink: Sink | None = None,
    ) -> FinalResponse:
        """One at a time for a client's Idempotency-Key, as the IETF's draft on that header has it."""
        mine = (operation.volume, operation.idempotency_key)
        if operation.idempotency_key:
            if mine in self._keys:
                text = "a request with this Idempotency-Key is under way; wait for its answer"
                return FinalResponse(409, "refused", "key-in-use", text, 1000.0)
            self._keys.add(mine)
        try:
            final = await self._one(connection, head, operation, kind, volume, request, record, source, sink)
            return await self._settle_bill(record, operation, final)
        finally:
            self._keys.discard(mine)
            if record.bill is not None:
                record.bill.close()

    async def _one(
        self,
        connection: ClientConnection,
        head: RequestHead,
        operation: routes.Operation,
        kind: Kind,
        volume: VolumeRule,
        request: str,
        record: AccessLogRecord,
        source: Source | None = None,
        sink: Sink | None = None,
    ) -> FinalResponse:
        limits, rules = self.config.limits, kind.rules
        source = source or Source(self._bounded(connection), head.length)
        left = min(rules.deadline_ms, operation.time_left_ms or rules.deadline_ms) - limits.answer_margin
        largest = self.engine.settings.max_request_units
        units = routes.units(operation, source.length, kind.unit_bytes, kind.usual_units, largest)
        record.unit_bytes = kind.unit_bytes
        size = operation.range.length if operation.range is not None else None
        size = min(size, limits.object_bytes) if size is not None else None  # a range may end anywhere
        known = size if operation.name == "get" else source.length
        if known is not None and known > units * kind.unit_bytes and operation.name in PAID:
            record.excess = units_of(known, kind.unit_bytes) - units
        if record.limit and operation.name in PAID:
            if size is None and operation.name == "get" and not operation.part:
                size = self.tolls.sizes.of(operation.volume, operation.key)
                if size is not None:
                    units = min(largest, units_of(size, kind.unit_bytes))
            length = size if operation.name == "get" else source.length
            if length is None or size is not None or length > units * kind.unit_bytes:
                since = self.clock()
                until = since + max(
                    0.0, left - rules.latency_objective_ms
                )  # what has not its aim left then is given up
                bill = record.bill = self.tolls.bill(
                    operation.volume, record.limit, volume.gateways, kind.unit_bytes, units, until
                )
                try:
                    if not await self._paid(bill, length, connection, record):
                        return FinalResponse(0, "gone", "client-gone")
                except OverLimit as error:
                    return _over(error)
                left -= self.clock() - since
                if operation.name == "get":
                    sink = MeteredSink(bill, sink or connection)
                else:
                    source = Source(_counted(source.read, bill), source.length)
        if self.writeback is not None and not request.startswith(OWN):
            kept = await self._written_back(
                operation, rules, source, ask_of=request, units=units, volume=volume, left=left
            )
            if kept is not None:
                return kept
        body: ReplayBody | None = None
        if operation.name in BODIES:
            if source.length is not None and source.length > limits.object_bytes:
                raise RequestError(
                    413, "too-large", f"{source.length} bytes; {limits.object_bytes} is the most here"
                )
            try:
                keep = self.engine.settings.max_attempts > 1
                body = ReplayBody(source.read, source.length, self.bodies, keep)
            except BodyStoreFull:
                return self._full()
        ask = api.Request(
            request_id=request,
            request_class=rules.name,
            plan=volume.plan,
            volume=operation.volume,
            key=f"{operation.volume}/{operation.key}"
            if rules.in_order
            else operation.idempotency_key or operation.key,
            units=units,
            shard=placement.ANYWHERE,
            sharing_gateways=volume.gateways,
            time_left_ms=max(0.0, left),
        )
        record.ask = ask
        if operation.name in ("list", "list-uploads"):
            if record.course is not None:
                record.course.enter_phase("store")  # its parts are requests of their own, side by side
            return await self._listed(connection, operation, ask, volume, record)
        if operation.name != "post":
            shard = placement.shard_of(operation.volume, operation.key, volume.shards)
            ask = record.ask = _at(ask, shard)
        stem = uuid.uuid4().hex if operation.name == "post" else ""
        ticket = self.engine.take(ask)

        def outgoing(node: str, number: int) -> OutgoingRequest:
            shard = self.engine.nodes[node].shard
            key = placement.placed_key(stem, shard) if operation.name == "post" else operation.key
            headers = self._headers(operation, ask, head, shard, number, body, record.version)
            return OutgoingRequest(operation.store_method, operation.target(key), headers, body)

        try:
            return await self._exchange(ticket, outgoing, operation, sink or connection, connection, record)
        finally:
            if body is not None:
                body.close()

    async def _written_back(
        self, operation: routes.Operation, rules: api.RequestClass, source: Source, *, ask_of: str, units: float,
        volume: VolumeRule, left: float,
    ) -> FinalResponse | None:  # fmt: skip
        """Acknowledge a write from the log; others wait for what it holds of their object. None: go on as ever."""
        back = self.writeback
        assert back is not None
        if not back.takes(operation, rules.name, source.length) or back.stopping:
            if back.holds(operation.volume, operation.key) and not await back.reached(
                operation.volume, operation.key, self.clock() + max(0.0, left - rules.latency_objective_ms)
            ):
                after = self.engine.settings.max_retry_after_ms
                return FinalResponse(503, "refused", "write-back", outcomes.REASONS["write-back"], after)
            return None
        tag = back.known(operation.volume, operation.idempotency_key)
        body = bytearray()
        try:
            while data := await source.read():
                body += data
        except ProtocolError as error:
            return FinalResponse(error.status, "failed", error.reason, str(error))
        except ClientDisconnectedError:
            return FinalResponse(0, "gone", "client-gone")
        if tag is None:
            tag = tag_of(bytes(body))
            record = WriteRecord(
                operation.volume, operation.key, rules.name, operation.idempotency_key, list(operation.passed),
                placement.shard_of(operation.volume, operation.key, volume.shards), units, tag, time.time() * 1000,
                operation.client_request, bytes(body),
            )  # fmt: skip
            try:
                await back.keep(record)
            except Full as error:
                return FinalResponse(
                    503, "refused", "write-back", str(error), self.engine.settings.max_retry_after_ms
                )
            except LogError as error:
                return FinalResponse(502, "failed", "write-back-lost", str(error))
        told: Headers = [(b"etag", tag.encode()), (b"content-length", b"0")]
        whole = UpstreamResponse(AnswerHead(200, told, 0), b"")
        return FinalResponse(200, "served", "ok", answer=whole, acknowledged="log")

    async def carry_own(self, operation: routes.Operation, body: bytes, request: str) -> OwnEnded:
        """Take an operation of the gateway's own through the scheduler: its outcome, the last attempt's, status and tag."""
        head = RequestHead(operation.store_method, operation.target(), [], len(body))
        record, left = AccessLogRecord(version=self.snapshot.version), [body] if body else []

        async def read() -> Bytes:
            return left.pop() if left else b""

        try:
            _, final = await self.carry(
                InternalCaller(), head, operation, OWN + request, record, self.snapshot, Source(read, len(body)), DiscardSink(),  # type: ignore[arg-type]
            )  # fmt: skip
        except RequestError as error:
            return "failed", None, error.status, ""
        last = next(
            (o for o, code in outcomes.CODES.items() if record.ends and code == record.ends[-1]), None
        )
        answer = final.answer
        return (
            final.outcome,
            last,
            final.status,
            (answer.head.get(b"etag") or "") if answer is not None else "",
        )

    async def _settle_bill(
        self, record: AccessLogRecord, operation: routes.Operation, final: FinalResponse
    ) -> FinalResponse:
        """Pay for an answer that was held whole, before it is the client's; remember how large the object is."""
        bill, answer = record.bill, final.answer
        if bill is None or final.outcome != "served":
            return final
        if operation.name == "get" and answer is not None:
            try:
                await bill.before(len(answer.body))
            except OverLimit as error:
                return _over(error)
            bill.moved += len(answer.body)
        if operation.range is None and not operation.part and operation.name in ("get", "put"):
            self.tolls.sizes.heard(operation.volume, operation.key, bill.moved)
        return final

    async def _paid(
        self, bill: TransferCharge, length: int | None, connection: ClientConnection, record: AccessLogRecord
    ) -> bool:
        """Pay for a body whose length is known, in turn; False where its client left meanwhile."""
        if length is None:
            return True
        since, before, here = self.clock(), connection.on_gone, anyio.CancelScope()
        if record.course is not None:
            record.course.enter_phase("held")
        connection.on_gone = here.cancel
        try:
            with here:
                if connection.eof:
                    here.cancel()
                await bill.before(length)
        finally:
            connection.on_gone = before
            record.held_ms += self.clock() - since
        return not here.cancelled_caught and not connection.eof

    def _bounded(self, connection: ClientConnection) -> Callable[[], Awaitable[Bytes]]:
        most, got = self.config.limits.object_bytes, 0

        async def read() -> Bytes:
            nonlocal got
            data = await connection.body()
            got += len(data)
            if got > most:
                raise ProtocolError(413, "too-large", f"the object is larger than {most} bytes")
            return data

        return read

    def _headers(
        self,
        operation: routes.Operation,
        ask: api.Request,
        head: RequestHead | None,
        shard: int,
        number: int,
        body: ReplayBody | None,
        version: int,
    ) -> Headers:
        headers: Headers = [
            (b"host", b"store"),
            (store_protocol.REQUEST, ask.request_id.encode()),
            (store_protocol.ATTEMPT, str(number).encode()),
            (store_protocol.GATEWAY, self.config.gateway.name.encode()),
            (store_protocol.CLASS, ask.request_class.encode()),
            (store_protocol.UNITS, f"{ask.units:g}".encode()),
            (store_protocol.SHARD, str(shard).encode()),
            *operation.passed,
        ]
        if version:
            headers.append((store_protocol.VERSION, str(version).encode()))
        kind = self._kinds[ask.request_class]
        if kind.repeat_safety is api.RepeatSafety.IDEMPOTENCY_KEY:
            headers.append((store_protocol.KEY, (operation.idempotency_key or ask.request_id).encode()))
        if kind.in_order and ask.key:
            headers.append((store_protocol.ORDER, quote(ask.key, safe="/-._~").encode()))
        if operation.client_request:
            headers.append((answers.REQUEST_ID, operation.client_request.encode()))
        if operation.range is not None:
            headers.append((b"range", str(operation.range).encode()))
        if body is not None:
            if body.length is None:
                headers.append((b"transfer-encoding", b"chunked"))
            else:
                headers.append((b"content-length", str(body.length).encode()))
        return headers

    async def _exchange(
        self,
        ticket: RequestHandle,
        outgoing: Callable[[str, int], OutgoingRequest],
        operation: routes.Operation,
        sink: Sink,
        connection: ClientConnection,
        record: AccessLogRecord,
    ) -> FinalResponse:
        """Do what the scheduler says until the request has its final answer."""
        try:
            return await self._obey(ticket, outgoing, operation, sink, connection, record)
        finally:
            self.engine.gone(ticket)  # no-op but where this failed: nothing is left behind that nobody holds

    async def _obey(
        self,
        ticket: RequestHandle,
        outgoing: Callable[[str, int], OutgoingRequest],
        operation: routes.Operation,
        sink: Sink,
        connection: ClientConnection,
        record: AccessLogRecord,
    ) -> FinalResponse:
        last: api.AttemptOutcome | None = None
        running: list[Attempt] = []
        self._watch_client(connection, ticket, running)
        while True:
            since = self.clock()
            action = await self._told(ticket, record, since)
            record.held_ms += self.clock() - since
            if action is None:
                return FinalResponse(0, "gone", "client-gone")
            if isinstance(action, (api.ShedRequest, api.FailRequest)):
                status, outcome, reason = outcomes.final(action, last, self.clock() >= ticket.end - 5.0)
                after = action.retry_after_ms if isinstance(action, api.ShedRequest) else None
                return FinalResponse(
                    504 if ticket.fault == "engine-silent" else status,
                    outcome,
                    ticket.fault or reason,
                    "",
                    after,
                )
            if not isinstance(action, api.StartAttempt):
                continue
            connection.look()
            ended = await self._attempt(ticket, action, outgoing, operation, sink, running, record)
            if record.course is not None and record.ask is not None and self.recorder is not None:
                usual = self.recorder.expected_latency_ms(
                    action.endpoint, record.ask.request_class, record.ask.units
                )
                record.course.attempts.append(
                    (action.endpoint, outcomes.CODES[ended.outcome], ended.latency_ms, usual)
                )
            last = ended.outcome
            record.attempts += 1
            record.nodes.append(action.endpoint)
            record.ends.append(outcomes.CODES[last])
            record.out_ms += ended.latency_ms
            final = self._settled(ended)
            if final is not None:
                return final

    async def _told(self, ticket: RequestHandle, record: AccessLogRecord, since: float) -> object:
        """The scheduler's next word; the wait for it is accounted for."""
        recorder, course, ask = self.recorder, record.course, record.ask
        if recorder is None or course is None or ask is None:
            return await ticket.next()
        course.enter_phase("held")
        since_ns = course.phase_marks[-2]
        recorder.start_wait(ticket.id, ask.shard, ask.request_class, since)
        try:
            return await ticket.next()
        finally:
            course.enter_phase("dial")
            recorder.end_wait(course, ticket.id, since_ns, self.clock())

    def _watch_client(
        self, connection: ClientConnection, ticket: RequestHandle, running: list[Attempt]
    ) -> None:
        before = connection.on_gone

        def gone() -> None:
            if before is not None:
                before()
            self.engine.gone(ticket)
            for attempt in running:
                # One that is out whole is heard to its end: its node goes on with it, and its window must know.
                if not attempt.all_sent:
                    attempt.cancel()

        connection.on_gone = gone
        if connection.eof:
            gone()

    async def _attempt(
        self,
        ticket: RequestHandle,
        send: api.StartAttempt,
        outgoing: Callable[[str, int], OutgoingRequest],
        operation: routes.Operation,
        sink: Sink,
        running: list[Attempt],
        record: AccessLogRecord,
    ) -> AttemptResult:
        number, ticket.attempts = ticket.attempts, ticket.attempts + 1
        timeout = ticket.end - self.clock()
        if send.timeout_ms > 0:
            timeout = min(timeout, send.timeout_ms)
        ended = AttemptResult(api.AttemptOutcome.NOT_SENT)
        if not ticket.gone:
            attempt = Attempt(
                self.pool,
                self.clock,
                self.config.limits.stream_idle,
                sink,
                lambda: self.engine.post(api.StreamStarted(ticket.id, number)),
                lambda head: _fits(operation, head),
                record.course.enter_phase if record.course is not None else _no_phase,
            )
            if not number and record.excess:
                self._weigh(ticket, record)
            running[:] = [attempt]
            ticket.on_cancel = lambda which: attempt.cancel() if which in (number, -1) else None
            ticket.on_call_off = lambda which: attempt.call_off() if which == number else None
            try:
                ended = await attempt.run(
                    send.endpoint, outgoing(send.endpoint, number), timeout, send.write_timeout_ms
                )
            except BaseException as error:  # whatever it was: the scheduler hears of the end of what it sent
                fault = error if isinstance(error, Exception) else None
                self._tell(
                    ticket, number, send.endpoint, AttemptResult(api.AttemptOutcome.CANCELLED, fault=fault)
                )
                raise
            finally:
                ticket.on_cancel = ticket.on_call_off = None
        if operation.name == "get" and not record.excess and ended.moved > record.unit_bytes:
            assert record.ask is not None
            record.excess = max(0.0, units_of(ended.moved, record.unit_bytes) - record.ask.units)
            self._weigh(ticket, record)
        if ended.told.word is not None:
            self.on_word(send.endpoint, ended.told.word)
        elif ended.outcome is api.AttemptOutcome.CONNECT_FAILED:
            self.on_refused(send.endpoint)
        self._tell(ticket, number, send.endpoint, ended)
        return ended

    def _weigh(self, ticket: RequestHandle, record: AccessLogRecord) -> None:
        """The course's reserve pays for what the scheduler was not told."""
        ask = record.ask
        account = self.engine.purse(ask.volume) if ask is not None else None
        if account is not None and ask is not None:
            weigh(account, record.excess, ask.units)

    def _tell(self, ticket: RequestHandle, number: int, node: str, ended: AttemptResult) -> None:
        told = ended.told
        over = ended.outcome is api.AttemptOutcome.SERVED or ended.relayed or ended.fault is not None
        event = api.AttemptEnded(
            ticket.id,
            number,
            node,
            ended.outcome,
            ended.latency_ms,
            over or ticket.closed,
            told.used_percent,
            told.from_others,
            told.load,
        )
        self.engine.ended(ticket, event)

    def _settled(self, ended: AttemptResult) -> FinalResponse | None:
        """The final answer where an attempt's end was one."""
        fault = ended.fault
        if ended.relayed:
            if ended.outcome is api.AttemptOutcome.SERVED:
                return FinalResponse(ended.status, "served", "ok", relayed=True)
            reason = "client-gone" if isinstance(fault, ClientDisconnectedError) else "store-cut"
            return FinalResponse(ended.status, "failed", reason, relayed=True)
        if isinstance(fault, ClientDisconnectedError):
            return FinalResponse(0, "gone", "client-gone")
        if isinstance(fault, OverLimit):
            return _over(fault)
        if isinstance(fault, ProtocolError):
            return FinalResponse(fault.status, "failed", fault.reason, str(fault))
        if isinstance(fault, BodyStoreFull):
            return FinalResponse(507, "failed", "body-store-full", outcomes.REASONS["body-store-full"])
        if ended.answer is not None:
            return FinalResponse(ended.status, "served", "ok", answer=ended.answer)
        return None

    def _full(self) -> FinalResponse:
        after = self.engine.settings.max_retry_after_ms
        return FinalResponse(503, "refused", "body-store-full", outcomes.REASONS["body-store-full"], after)

    async def _listed(
        self,
        connection: ClientConnection,
        operation: routes.Operation,
        ask: api.Request,
        volume: VolumeRule,
        record: AccessLogRecord,
    ) -> FinalResponse:
        """Ask each shard of the volume for its page, each a request of its own to the scheduler, and merge them."""
        finals: list[FinalResponse] = []

        async def one(number: int, shard: int) -> None:
            part = _at(ask, shard, f"{ask.request_id}.{number}")
            ticket = self.engine.take(part)

            def outgoing(node: str, attempt: int) -> OutgoingRequest:
                headers = self._headers(operation, part, None, shard, attempt, None, record.version)
                return OutgoingRequest("GET", operation.target(), headers)

            part_record = AccessLogRecord(version=record.version, ask=part)
            finals.append(
                await self._exchange(ticket, outgoing, operation, DiscardSink(), connection, part_record)
            )
            record.attempts += part_record.attempts
            record.nodes += part_record.nodes
            record.ends += part_record.ends
            record.held_ms += part_record.held_ms
            record.out_ms += part_record.out_ms

        async with anyio.create_task_group() as group:
            for number, shard in enumerate(volume.shards):
                group.start_soon(one, number, shard)
        pages: list[listing.Page] = []
        for final in sorted(
            finals, key=lambda final: ("gone", "failed", "refused", "served").index(final.outcome)
        ):
            if final.answer is None:
                return final if not final.relayed else FinalResponse(502, "failed", "list-too-large")
        if operation.name == "list-uploads":
            return FinalResponse(
                200, "served", "ok", parts=[f.answer.body for f in finals if f.answer is not None]
            )
        for final in finals:
            assert final.answer is not None
            try:
                pages.append(msgspec.json.decode(final.answer.body, type=listing.Page))
            except msgspec.DecodeError:
                return FinalResponse(502, "failed", "store-error", "a store's listing can't be read")
        body = msgspec.json.encode(listing.merge(pages, operation.limit)) + b"\n"
        headers: Headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        return FinalResponse(
            200, "served", "ok", answer=UpstreamResponse(AnswerHead(200, headers, len(body)), body)
        )

    async def _say(self, connection: ClientConnection, request: str, final: FinalResponse) -> None:
        if final.outcome == "gone" or connection.eof:
            connection.close_after = True
        elif final.relayed:
            if final.outcome != "served":
                connection.close_after = True  # cut: never an end that looks whole
        elif final.answer is not None:
            extra: Headers = [(answers.OUTCOME, b"served"), (answers.REASON, b"ok")]
            if final.acknowledged:
                extra.append((answers.ACKNOWLEDGED, final.acknowledged.encode()))
            connection.begin([*connection.extra, *extra], False)
            await connection.pass_on(final.answer.head, final.answer.body)
        else:
            text = final.text or outcomes.REASONS[final.reason]
            said = answers.error(
                final.status, final.outcome, final.reason, request, text, final.retry_after_ms
            )
            await connection.answer(*said)

    def _access(
        self,
        connection: ClientConnection,
        head: RequestHead,
        operation: routes.Operation | None,
        kind: Kind | None,
        request: str,
        final: FinalResponse,
        record: AccessLogRecord,
        began: float,
    ) -> None:
        if not logs.access_lines:
            return
        self._log.info(
            "request",
            request=request,
            client_request=head.get(b"x-request-id"),
            method=head.method,
            path=head.target.decode("latin-1")[:200],
            operation=operation.name if operation else None,
            volume=operation.volume if operation else None,
            request_class=kind.rules.name if kind else None,
            status=connection.status or final.status,
            outcome=final.outcome,
            reason=final.reason,
            attempts=record.attempts,
            nodes=record.nodes,
            ends=record.ends,
            held_ms=round(record.held_ms, 2),
            out_ms=round(record.out_ms, 2),
            total_ms=round(self.clock() - began, 2),
            bytes=connection.moved,
        )


def _at(ask: api.Request, shard: int, request: str | None = None) -> api.Request:
    """The same request for a shard, under another id where one is given."""
    return api.Request(
        request or ask.request_id,
        ask.request_class,
        ask.plan,
        ask.volume,
        ask.key,
        ask.units,
        shard,
        ask.sharing_gateways,
        ask.time_left_ms,
    )


def _over(error: OverLimit) -> FinalResponse:
    return FinalResponse(503, "refused", "over-limit", str(error), error.wait_ms)


def _counted(read: Callable[[], Awaitable[Bytes]], bill: TransferCharge) -> Callable[[], Awaitable[Bytes]]:
    """A body that is paid for as it comes."""

    async def counted() -> Bytes:
        data = await read()
        if data:
            await bill.took(len(data))
        return data

    return counted


def _no_phase(_: str) -> None:
    """No account is kept."""


def _fits(operation: routes.Operation, head: AnswerHead) -> bool:
    if operation.part and operation.name == "get":
        return head.status in (200, 206) or head.status >= 400  # where a part lies, its store alone knows
    return ranges.answers(operation.range, head.status, head.get(b"content-range"), head.length)
