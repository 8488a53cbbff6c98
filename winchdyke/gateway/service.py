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
from winchdyke.discovery.endpoint_view import EndpointEvidence
from winchdyke.gateway import logs, outcomes
from winchdyke.gateway.attempts import (
    Attempt,
    AttemptResult,
    ClientDisconnectedError,
    OutgoingRequest,
    UpstreamResponse,
)
from winchdyke.gateway.bodies import BodyStore, BodyStoreFullError, ReplayBody
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
class BodySource:
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
    response: UpstreamResponse | None = None
    streamed: bool = False
    acknowledged_by: str = ""  # by what, where not by a store
    shard_bodies: list[bytes] | None = None  # of what was asked of several shards, as they answered


class ConfigSnapshot:
    """Settings as a request finds them when it comes, to its last attempt; never changed, only followed by another."""

    __slots__ = ("_volume_rules", "config", "plan_limits_units_per_s", "version")

    def __init__(self, config: Config, version: int = 0) -> None:
        self.config, self.version = config, version
        self.plan_limits_units_per_s = {
            plan.name: plan.limit_units_per_s for plan in config.plans
        }  # units a second; 0: none
        self._volume_rules: dict[str, VolumeRule | None] = {}

    def volume(self, name: str) -> VolumeRule | None:
        """The rule of a volume, found once."""
        if name not in self._volume_rules:
            if len(self._volume_rules) > 100_000:
                self._volume_rules.clear()
            self._volume_rules[name] = self.config.volume(name)
        return self._volume_rules[name]


@dataclass(slots=True)
class AccessLogRecord:
    """What the access line of a request tells, and its course where accounts are kept."""

    trace: RequestTrace | None = None
    config_version: int = 0
    excess_units: float = 0.0  # units that its body counts beyond what the scheduler is told
    unit_bytes: int = 0
    limit_units_per_s: float = 0.0  # of its course, over all gateways, in units a second; 0: none
    charge: TransferCharge | None = None  # what it pays of that beyond what the scheduler is told
    request: api.Request | None = None
    attempt_count: int = 0
    endpoints: list[str] = field(default_factory=list)
    outcomes: list[str] = field(default_factory=list)
    queued_ms: float = 0.0  # waiting at this gateway
    attempts_ms: float = 0.0  # attempts at stores, less what the client held up


class InternalCaller:
    """In a client's place, where the gateway asks for itself."""

    on_disconnect: Callable[[], None] | None = None
    disconnected = False
    response_status = 0

    def check_for_reset(self) -> None:
        """Nobody can disconnect."""


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
        self.on_endpoint_evidence: Callable[[str, EndpointEvidence], bool] = lambda *_: True
        self.on_connect_failed: Callable[[str], None] = lambda _: None
        self.on_request_end: Callable[[str, int, str, float], None] | None = None
        self.config, self.scheduler_loop, self.pool, self.clock = config, engine, pool, clock
        self.bodies = BodyStore(config.limits.body_total, config.limits.body_memory)
        self.write_back: WriteBack | None = None
        self.byte_meter = ByteMeter(clock, engine.quota, lambda: engine.settings.max_request_units)
        self.stopping = False
        self.active_requests = 0
        self._born, self._requests_handled = (
            uuid.uuid4().hex[:20],
            0,
        )  # a request's id: this process, and its number in it
        self._keys: set[tuple[str, str]] = set()
        self._kinds = {kind.rules.name: kind.rules for kind in config.kinds}
        self.snapshot = ConfigSnapshot(config)
        self._log = structlog.get_logger("access")

    async def handle(self, connection: ClientConnection, head: RequestHead) -> None:
        """Answer one request; whatever happens, once."""
        self._requests_handled += 1
        began, request = self.clock(), f"{self._born}{self._requests_handled:012x}"
        snapshot = self.snapshot
        told: Headers = [(answers.REQUEST_ID, request.encode())]
        if snapshot.version:
            told.append((store_protocol.VERSION, str(snapshot.version).encode()))
        connection.begin_request(told, close=self.stopping)
        connection.declared_body_bytes = head.length
        record = AccessLogRecord(
            self.recorder.begin() if self.recorder is not None else None, snapshot.version
        )
        operation: routes.Operation | None = None
        kind: Kind | None = None
        self.active_requests += 1
        try:
            operation = routes.parse(head)
            kind, volume = self._settings_of(snapshot, operation, head)
            record.limit_units_per_s = snapshot.plan_limits_units_per_s.get(volume.plan, 0.0)
            final = await self._keyed(connection, head, operation, kind, volume, request, record)
        except RequestError as error:
            final = FinalResponse(error.status, "refused", error.reason, str(error))
            connection.begin_request(
                [*connection.extra_headers, *([(b"allow", error.allow.encode())] if error.allow else [])],
                False,
            )
        except Exception as error:
            final = FinalResponse(500, "failed", "internal")
            structlog.get_logger("gateway").error("internal", request=request, exc_info=error)
        finally:
            self.active_requests -= 1
            connection.on_disconnect = None
        if record.trace is not None:
            record.trace.phase("client")
        try:
            await self._say(connection, request, final)
        finally:
            if self.on_request_end is not None and operation is not None and final.outcome != "gone":
                shard = record.request.shard if record.request is not None else -1
                self.on_request_end(operation.volume, shard, final.outcome, self.clock() - began)
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
        if self.recorder is None or record.trace is None or operation is None or kind is None:
            return
        self.recorder.end(
            record.trace,
            request=request,
            volume=operation.volume,
            class_name=kind.rules.name,
            key=operation.idempotency_key or operation.key,
            units=record.request.units if record.request is not None else 1.0,
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

    async def execute(
        self,
        connection: ClientConnection,
        head: RequestHead,
        operation: routes.Operation,
        request: str,
        record: AccessLogRecord,
        snapshot: ConfigSnapshot,
        source: BodySource | None = None,
        sink: Sink | None = None,
    ) -> tuple[Kind, FinalResponse]:
        """Carry out one operation for another dialect; nothing is said to the client but what goes into ``sink``."""
        kind, volume = self._settings_of(snapshot, operation, head)
        record.limit_units_per_s = snapshot.plan_limits_units_per_s.get(volume.plan, 0.0)
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
        source: BodySource | None = None,
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
            if record.charge is not None:
                record.charge.close()

    async def _one(
        self,
        connection: ClientConnection,
        head: RequestHead,
        operation: routes.Operation,
        kind: Kind,
        volume: VolumeRule,
        request: str,
        record: AccessLogRecord,
        source: BodySource | None = None,
        sink: Sink | None = None,
    ) -> FinalResponse:
        limits, rules = self.config.limits, kind.rules
        source = source or BodySource(self._bounded(connection), head.length)
        left = min(rules.deadline_ms, operation.time_left_ms or rules.deadline_ms) - limits.answer_margin
        largest = self.scheduler_loop.settings.max_request_units
        units = routes.units(operation, source.length, kind.unit_bytes, kind.usual_units, largest)
        record.unit_bytes = kind.unit_bytes
        size = operation.range.length if operation.range is not None else None
        size = min(size, limits.object_bytes) if size is not None else None  # a range may end anywhere
        known = size if operation.name == "get" else source.length
        if known is not None and known > units * kind.unit_bytes and operation.name in PAID:
            record.excess_units = units_of(known, kind.unit_bytes) - units
        if record.limit_units_per_s and operation.name in PAID:
            if size is None and operation.name == "get" and not operation.part:
                size = self.byte_meter.sizes.of(operation.volume, operation.key)
                if size is not None:
                    units = min(largest, units_of(size, kind.unit_bytes))
            length = size if operation.name == "get" else source.length
            if length is None or size is not None or length > units * kind.unit_bytes:
                since = self.clock()
                until = since + max(
                    0.0, left - rules.latency_objective_ms
                )  # what has not its aim left then is given up
                bill = record.charge = self.byte_meter.bill(
                    operation.volume, record.limit_units_per_s, volume.gateways, kind.unit_bytes, units, until
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
                    source = BodySource(_counted(source.read, bill), source.length)
        if self.write_back is not None and not request.startswith(OWN):
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
                keep = self.scheduler_loop.settings.max_attempts > 1
                body = ReplayBody(source.read, source.length, self.bodies, keep)
            except BodyStoreFullError:
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
        record.request = ask
        if operation.name in ("list", "list-uploads"):
            if record.trace is not None:
                record.trace.phase("store")  # its parts are requests of their own, side by side
            return await self._listed(connection, operation, ask, volume, record)
        if operation.name != "post":
            shard = placement.shard_of(operation.volume, operation.key, volume.shards)
            ask = record.request = _at(ask, shard)
        stem = uuid.uuid4().hex if operation.name == "post" else ""
        ticket = self.scheduler_loop.submit(ask)

        def outgoing(node: str, number: int) -> OutgoingRequest:
            shard = self.scheduler_loop.endpoints[node].shard
            key = placement.placed_key(stem, shard) if operation.name == "post" else operation.key
            headers = self._headers(operation, ask, head, shard, number, body, record.config_version)
            return OutgoingRequest(operation.store_method, operation.target(key), headers, body)

        try:
            return await self._exchange(ticket, outgoing, operation, sink or connection, connection, record)
        finally:
            if body is not None:
                body.close()

    async def _written_back(
        self, operation: routes.Operation, rules: api.RequestClass, source: BodySource, *, ask_of: str, units: float,
        volume: VolumeRule, left: float,
    ) -> FinalResponse | None:  # fmt: skip
        """Acknowledge a write from the log; others wait for what it holds of their object. None: go on as ever."""
        back = self.write_back
        assert back is not None
        if not back.takes(operation, rules.name, source.length) or back.stopping:
            if back.holds(operation.volume, operation.key) and not await back.reached(
                operation.volume, operation.key, self.clock() + max(0.0, left - rules.latency_objective_ms)
            ):
                after = self.scheduler_loop.settings.max_retry_after_ms
                return FinalResponse(503, "refused", "write-back", outcomes.REASON_TEXTS["write-back"], after)
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
                    503, "refused", "write-back", str(error), self.scheduler_loop.settings.max_retry_after_ms
                )
            except LogError as error:
                return FinalResponse(502, "failed", "write-back-lost", str(error))
        told: Headers = [(b"etag", tag.encode()), (b"content-length", b"0")]
        whole = UpstreamResponse(AnswerHead(200, told, 0), b"")
        return FinalResponse(200, "served", "ok", response=whole, acknowledged_by="log")

    async def execute_internal(self, operation: routes.Operation, body: bytes, request: str) -> OwnEnded:
        """Take an operation of the gateway's own through the scheduler: its outcome, the last attempt's, status and tag."""
        head = RequestHead(operation.store_method, operation.target(), [], len(body))
        record, left = AccessLogRecord(config_version=self.snapshot.version), [body] if body else []

        async def read() -> Bytes:
            return left.pop() if left else b""

        try:
            _, final = await self.execute(
                InternalCaller(), head, operation, OWN + request, record, self.snapshot, BodySource(read, len(body)), DiscardSink(),  # type: ignore[arg-type]
            )  # fmt: skip
        except RequestError as error:
            return "failed", None, error.status, ""
        last = next(
            (
                o
                for o, code in outcomes.OUTCOME_CODES.items()
                if record.outcomes and code == record.outcomes[-1]
            ),
            None,
        )
        answer = final.response
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
        bill, answer = record.charge, final.response
        if bill is None or final.outcome != "served":
            return final
        if operation.name == "get" and answer is not None:
            try:
                await bill.before(len(answer.body))
            except OverLimit as error:
                return _over(error)
            bill.moved += len(answer.body)
        if operation.range is None and not operation.part and operation.name in ("get", "put"):
            self.byte_meter.sizes.heard(operation.volume, operation.key, bill.moved)
        return final

    async def _paid(
        self, bill: TransferCharge, length: int | None, connection: ClientConnection, record: AccessLogRecord
    ) -> bool:
        """Pay for a body whose length is known, in turn; False where its client left meanwhile."""
        if length is None:
            return True
        since, before, here = self.clock(), connection.on_disconnect, anyio.CancelScope()
        if record.trace is not None:
            record.trace.phase("held")
        connection.on_disconnect = here.cancel
        try:
            with here:
                if connection.disconnected:
                    here.cancel()
                await bill.before(length)
        finally:
            connection.on_disconnect = before
            record.queued_ms += self.clock() - since
        return not here.cancelled_caught and not connection.disconnected

    def _bounded(self, connection: ClientConnection) -> Callable[[], Awaitable[Bytes]]:
        most, got = self.config.limits.object_bytes, 0

        async def read() -> Bytes:
            nonlocal got
            data = await connection.read_body()
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
            self.scheduler_loop.client_disconnected(
                ticket
            )  # no-op but where this failed: nothing is left behind that nobody holds

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
            record.queued_ms += self.clock() - since
            if action is None:
                return FinalResponse(0, "gone", "client-gone")
            if isinstance(action, (api.ShedRequest, api.FailRequest)):
                status, outcome, reason = outcomes.final_status(
                    action, last, self.clock() >= ticket.deadline_ms - 5.0
                )
                after = action.retry_after_ms if isinstance(action, api.ShedRequest) else None
                return FinalResponse(
                    504 if ticket.override_reason == "engine-silent" else status,
                    outcome,
                    ticket.override_reason or reason,
                    "",
                    after,
                )
            if not isinstance(action, api.StartAttempt):
                continue
            connection.check_for_reset()
            ended = await self._attempt(ticket, action, outgoing, operation, sink, running, record)
            if record.trace is not None and record.request is not None and self.recorder is not None:
                usual = self.recorder.usual(
                    action.endpoint, record.request.request_class, record.request.units
                )
                record.trace.attempts.append(
                    (action.endpoint, outcomes.OUTCOME_CODES[ended.outcome], ended.latency_ms, usual)
                )
            last = ended.outcome
            record.attempt_count += 1
            record.endpoints.append(action.endpoint)
            record.outcomes.append(outcomes.OUTCOME_CODES[last])
            record.attempts_ms += ended.latency_ms
            final = self._settled(ended)
            if final is not None:
                return final

    async def _told(self, ticket: RequestHandle, record: AccessLogRecord, since: float) -> object:
        """The scheduler's next word; the wait for it is accounted for."""
        recorder, course, ask = self.recorder, record.trace, record.request
        if recorder is None or course is None or ask is None:
            return await ticket.next_action()
        course.phase("held")
        since_ns = course.marks[-2]
        recorder.hold(ticket.request_id, ask.shard, ask.request_class, since)
        try:
            return await ticket.next_action()
        finally:
            course.phase("dial")
            recorder.release(course, ticket.request_id, since_ns, self.clock())

    def _watch_client(
        self, connection: ClientConnection, ticket: RequestHandle, running: list[Attempt]
    ) -> None:
        before = connection.on_disconnect

        def gone() -> None:
            if before is not None:
                before()
            self.scheduler_loop.client_disconnected(ticket)
            for attempt in running:
                # One that is out whole is heard to its end: its node goes on with it, and its window must know.
                if not attempt.write_completed:
                    attempt.cancel()

        connection.on_disconnect = gone
        if connection.disconnected:
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
        number, ticket.attempts_started = ticket.attempts_started, ticket.attempts_started + 1
        timeout = ticket.deadline_ms - self.clock()
        if send.timeout_ms > 0:
            timeout = min(timeout, send.timeout_ms)
        ended = AttemptResult(api.AttemptOutcome.NOT_SENT)
        if not ticket.client_disconnected:
            attempt = Attempt(
                self.pool,
                self.clock,
                self.config.limits.stream_idle,
                sink,
                lambda: self.scheduler_loop.post(api.StreamStarted(ticket.request_id, number)),
                lambda head: _fits(operation, head),
                record.trace.phase if record.trace is not None else _no_phase,
            )
            if not number and record.excess_units:
                self._weigh(ticket, record)
            running[:] = [attempt]
            ticket.on_cancel = lambda which: attempt.cancel() if which in (number, -1) else None
            ticket.on_abandon = lambda which: attempt.abandon() if which == number else None
            try:
                ended = await attempt.run(
                    send.endpoint, outgoing(send.endpoint, number), timeout, send.write_timeout_ms
                )
            except BaseException as error:  # whatever it was: the scheduler hears of the end of what it sent
                fault = error if isinstance(error, Exception) else None
                self._tell(
                    ticket, number, send.endpoint, AttemptResult(api.AttemptOutcome.CANCELLED, error=fault)
                )
                raise
            finally:
                ticket.on_cancel = ticket.on_abandon = None
        if operation.name == "get" and not record.excess_units and ended.body_bytes > record.unit_bytes:
            assert record.request is not None
            record.excess_units = max(
                0.0, units_of(ended.body_bytes, record.unit_bytes) - record.request.units
            )
            self._weigh(ticket, record)
        if ended.report.word is not None:
            self.on_endpoint_evidence(send.endpoint, ended.report.word)
        elif ended.outcome is api.AttemptOutcome.CONNECT_FAILED:
            self.on_connect_failed(send.endpoint)
        self._tell(ticket, number, send.endpoint, ended)
        return ended

    def _weigh(self, ticket: RequestHandle, record: AccessLogRecord) -> None:
        """The course's reserve pays for what the scheduler was not told."""
        ask = record.request
        account = self.scheduler_loop.quota(ask.volume) if ask is not None else None
        if account is not None and ask is not None:
            weigh(account, record.excess_units, ask.units)

    def _tell(self, ticket: RequestHandle, number: int, node: str, ended: AttemptResult) -> None:
        told = ended.report
        over = ended.outcome is api.AttemptOutcome.SERVED or ended.streamed or ended.error is not None
        event = api.AttemptEnded(
            ticket.request_id,
            number,
            node,
            ended.outcome,
            ended.latency_ms,
            over or ticket.finished,
            told.used_percent,
            told.from_others,
            told.load,
        )
        self.scheduler_loop.attempt_ended(ticket, event)

    def _settled(self, ended: AttemptResult) -> FinalResponse | None:
        """The final answer where an attempt's end was one."""
        fault = ended.error
        if ended.streamed:
            if ended.outcome is api.AttemptOutcome.SERVED:
                return FinalResponse(ended.status, "served", "ok", streamed=True)
            reason = "client-gone" if isinstance(fault, ClientDisconnectedError) else "store-cut"
            return FinalResponse(ended.status, "failed", reason, streamed=True)
        if isinstance(fault, ClientDisconnectedError):
            return FinalResponse(0, "gone", "client-gone")
        if isinstance(fault, OverLimit):
            return _over(fault)
        if isinstance(fault, ProtocolError):
            return FinalResponse(fault.status, "failed", fault.reason, str(fault))
        if isinstance(fault, BodyStoreFullError):
            return FinalResponse(507, "failed", "body-store-full", outcomes.REASON_TEXTS["body-store-full"])
        if ended.response is not None:
            return FinalResponse(ended.status, "served", "ok", response=ended.response)
        return None

    def _full(self) -> FinalResponse:
        after = self.scheduler_loop.settings.max_retry_after_ms
        return FinalResponse(
            503, "refused", "body-store-full", outcomes.REASON_TEXTS["body-store-full"], after
        )

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
            ticket = self.scheduler_loop.submit(part)

            def outgoing(node: str, attempt: int) -> OutgoingRequest:
                headers = self._headers(operation, part, None, shard, attempt, None, record.config_version)
                return OutgoingRequest("GET", operation.target(), headers)

            part_record = AccessLogRecord(config_version=record.config_version, request=part)
            finals.append(
                await self._exchange(ticket, outgoing, operation, DiscardSink(), connection, part_record)
            )
            record.attempt_count += part_record.attempt_count
            record.endpoints += part_record.endpoints
            record.outcomes += part_record.outcomes
            record.queued_ms += part_record.queued_ms
            record.attempts_ms += part_record.attempts_ms

        async with anyio.create_task_group() as group:
            for number, shard in enumerate(volume.shards):
                group.start_soon(one, number, shard)
        pages: list[listing.Page] = []
        for final in sorted(
            finals, key=lambda final: ("gone", "failed", "refused", "served").index(final.outcome)
        ):
            if final.response is None:
                return final if not final.streamed else FinalResponse(502, "failed", "list-too-large")
        if operation.name == "list-uploads":
            return FinalResponse(
                200, "served", "ok", shard_bodies=[f.response.body for f in finals if f.response is not None]
            )
        for final in finals:
            assert final.response is not None
            try:
                pages.append(msgspec.json.decode(final.response.body, type=listing.Page))
            except msgspec.DecodeError:
                return FinalResponse(502, "failed", "store-error", "a store's listing can't be read")
        body = msgspec.json.encode(listing.merge(pages, operation.limit)) + b"\n"
        headers: Headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        return FinalResponse(
            200, "served", "ok", response=UpstreamResponse(AnswerHead(200, headers, len(body)), body)
        )

    async def _say(self, connection: ClientConnection, request: str, final: FinalResponse) -> None:
        if final.outcome == "gone" or connection.disconnected:
            connection.close_after_response = True
        elif final.streamed:
            if final.outcome != "served":
                connection.close_after_response = True  # cut: never an end that looks whole
        elif final.response is not None:
            extra: Headers = [(answers.OUTCOME, b"served"), (answers.REASON, b"ok")]
            if final.acknowledged_by:
                extra.append((answers.ACKNOWLEDGED, final.acknowledged_by.encode()))
            connection.begin_request([*connection.extra_headers, *extra], False)
            await connection.respond_from_upstream(final.response.head, final.response.body)
        else:
            text = final.text or outcomes.REASON_TEXTS[final.reason]
            said = answers.error(
                final.status, final.outcome, final.reason, request, text, final.retry_after_ms
            )
            await connection.respond(*said)

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
        if not logs.access_log_enabled:
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
            status=connection.response_status or final.status,
            outcome=final.outcome,
            reason=final.reason,
            attempts=record.attempt_count,
            nodes=record.endpoints,
            ends=record.outcomes,
            held_ms=round(record.queued_ms, 2),
            out_ms=round(record.attempts_ms, 2),
            total_ms=round(self.clock() - began, 2),
            bytes=connection.response_bytes,
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
