"""The object API of one gateway: processes each request up to its one final response.

The steps of a request: its operation and class are resolved (here), its transfer is charged (:mod:`.metering`), a write may
be acknowledged from the write-back log (:mod:`.write_back_path`), and the scheduler's actions are carried out
(:mod:`.exchange`). The scheduler alone decides where and when a request is sent.
"""

from __future__ import annotations

import dataclasses
import time
import uuid
from collections.abc import Callable

import structlog

from winchdyke import interface as api
from winchdyke import placement
from winchdyke.config.matching import RequestAttributes, Route
from winchdyke.config.model import ClassConfig, Config, VolumeRule
from winchdyke.gateway import final_response, outcomes
from winchdyke.gateway.access_log import AccessLog, AccessLogRecord
from winchdyke.gateway.attempts import OutgoingRequest
from winchdyke.gateway.bodies import BodyStore, BodyStoreFullError, ReplayBody
from winchdyke.gateway.clients import ClientConnection
from winchdyke.gateway.config_snapshot import ConfigSnapshot
from winchdyke.gateway.exchange import Exchange, ExchangeRunner
from winchdyke.gateway.final_response import FinalResponse
from winchdyke.gateway.metering import TransferMetering
from winchdyke.gateway.pool import ConnectionPool
from winchdyke.gateway.request_context import (
    BodySource,
    Caller,
    InternalCaller,
    RequestContext,
    limited_body,
)
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.gateway.sharded_listing import LIST_OPERATIONS, ShardedListing
from winchdyke.gateway.store_request import store_headers
from winchdyke.gateway.write_back_path import WriteBackPath
from winchdyke.gateway.writeback import InternalResult, WriteBack, stored_version
from winchdyke.http1 import Bytes, Headers, RequestHead
from winchdyke.latency_attribution.recorder import Recorder
from winchdyke.object_api import answers, routes, store_protocol
from winchdyke.object_api.answers import RequestError
from winchdyke.object_api.sinks import Sink
from winchdyke.quotas.byte_metering import ByteMeter
from winchdyke.writeback.write_order import WriteClock

STAMPED_OPERATIONS = ("put", "post", "delete", "complete-upload")
OPERATIONS_WITH_BODY = ("put", "post", "put-part", "complete-upload")
INTERNAL_ID_PREFIX = "own-"  # marks the ids of the gateway's internal requests
KEY_IN_USE_RETRY_AFTER_MS = 1000.0


class Service:
    """The object API of one gateway.

    Attributes:
        config: The configuration at the start.
        scheduler_loop: Decides where and when requests are sent.
        clock: Monotonic time in milliseconds.
        snapshot: The configuration that applies to new requests.
        bodies: The shared limit of all retained bodies.
        write_clock: Stamps the writes of this process.
        byte_meter: Records the debts of volumes that have a limit.
        exchanges: Runs the exchanges with stores.
        recorder: Attributes latency; None: latency is not attributed.
        on_request_end: Called with the volume, shard, outcome and total time (ms) of each finished request.
        stopping: Whether the gateway is shutting down; connections are then closed after their response.
        active_requests: Number of requests that have no final response yet.
    """

    def __init__(
        self,
        config: Config,
        scheduler_loop: SchedulerLoop,
        pool: ConnectionPool,
        clock: Callable[[], float],
        recorder: Recorder | None = None,
    ) -> None:
        limits = config.limits
        self.config = config
        self.scheduler_loop = scheduler_loop
        self.clock = clock
        self.recorder = recorder
        self.snapshot = ConfigSnapshot(config)
        self.write_clock = WriteClock(lambda: time.time() * 1000)
        self.bodies = BodyStore(limits.body_total, limits.body_memory)
        self.byte_meter = ByteMeter(
            clock, scheduler_loop.quota, lambda: scheduler_loop.settings.max_request_units
        )
        self._metering = TransferMetering(self.byte_meter, scheduler_loop, clock, limits.object_bytes)
        self.exchanges = ExchangeRunner(
            scheduler_loop, pool, clock, limits.stream_idle, self._metering, recorder
        )
        self.on_request_end: Callable[[str, int, str, float], None] | None = None
        self.stopping = False
        self.active_requests = 0
        self._listing = ShardedListing(scheduler_loop, self.exchanges)
        self._write_back_path: WriteBackPath | None = None
        self._request_classes = {kind.rules.name: kind.rules for kind in config.kinds}
        self._idempotency_keys_in_use: set[tuple[str, str]] = set()
        self._id_prefix = uuid.uuid4().hex[:20]  # makes request ids unique to this process
        self._requests_handled = 0
        self._access_log = AccessLog()

    def acknowledge_writes_from(self, write_back: WriteBack) -> None:
        """Acknowledge writes from the write-back log if their request class allows it."""
        self._write_back_path = WriteBackPath(write_back, self.scheduler_loop, self.clock, self.write_clock)

    # Entry points

    async def handle(self, connection: ClientConnection, head: RequestHead) -> None:
        """Process one request of a client, and send its final response."""
        self._requests_handled += 1
        started_at_ms = self.clock()
        request_id = f"{self._id_prefix}{self._requests_handled:012x}"
        snapshot = self.snapshot
        self._begin_response(connection, head, request_id, snapshot)
        trace = self.recorder.start_trace() if self.recorder is not None else None
        record = AccessLogRecord(trace, snapshot.version)
        self.active_requests += 1
        try:
            record.operation = routes.parse(head)
            context = self._context(connection, head, record.operation, request_id, record, snapshot)
            final = await self._process_once(context)
        except RequestError as error:
            final = final_response.invalid_request(error)
            allow: Headers = [(b"allow", error.allow.encode())] if error.allow else []
            connection.begin_request([*connection.extra_headers, *allow], False)
        except Exception as error:
            final = FinalResponse(500, "failed", "internal")
            structlog.get_logger("gateway").error("internal", request=request_id, exc_info=error)
        finally:
            self.active_requests -= 1
            connection.on_disconnect = None
        if record.trace is not None:
            record.trace.enter_phase("client")
        try:
            await final_response.send(connection, request_id, final)
        finally:
            self._report_end(record, final, self.clock() - started_at_ms)
            self._record_latency(request_id, final, record)
            total_ms = self.clock() - started_at_ms
            self._access_log.write(request_id, connection, head, final, record, total_ms)

    async def execute(
        self,
        caller: Caller,
        head: RequestHead,
        operation: routes.Operation,
        request_id: str,
        record: AccessLogRecord,
        snapshot: ConfigSnapshot,
        source: BodySource | None = None,
        sink: Sink | None = None,
    ) -> tuple[ClassConfig, FinalResponse]:
        """Execute an operation without sending its final response; a streamed one goes to ``sink``.

        Raises:
            RequestError: The volume or the request class is not configured, or the object is too large.
        """
        context = self._context(caller, head, operation, request_id, record, snapshot, source, sink)
        return context.kind, await self._process_once(context)

    async def execute_internal(
        self, operation: routes.Operation, body: bytes, request_id: str
    ) -> InternalResult:
        """Execute an operation that originates from the gateway itself."""
        head = RequestHead(operation.store_method, operation.target(), [], len(body))
        record = AccessLogRecord(config_version=self.snapshot.version)
        unread = [body] if body else []

        async def read() -> Bytes:
            return unread.pop() if unread else b""

        source = BodySource(read, len(body))
        internal_id = INTERNAL_ID_PREFIX + request_id
        try:
            _, final = await self.execute(
                InternalCaller(), head, operation, internal_id, record, self.snapshot, source
            )
        except RequestError as error:
            return InternalResult("failed", None, error.status, None)
        last_outcome = outcomes.OUTCOMES_BY_CODE[record.outcomes[-1]] if record.outcomes else None
        headers = final.response.head if final.response is not None else None
        return InternalResult(
            final.outcome,
            last_outcome,
            final.status,
            stored_version(headers) if headers is not None else None,
        )

    def _begin_response(
        self, connection: ClientConnection, head: RequestHead, request_id: str, snapshot: ConfigSnapshot
    ) -> None:
        headers: Headers = [(answers.REQUEST_ID, request_id.encode())]
        if snapshot.version:
            headers.append((store_protocol.CONFIG_VERSION_HEADER, str(snapshot.version).encode()))
        connection.begin_request(headers, close=self.stopping)
        connection.declared_body_bytes = head.length

    def _report_end(self, record: AccessLogRecord, final: FinalResponse, total_ms: float) -> None:
        if self.on_request_end is None or record.operation is None or final.outcome == "gone":
            return
        shard = record.request.shard if record.request is not None else placement.ANYWHERE
        self.on_request_end(record.operation.volume, shard, final.outcome, total_ms)

    def _record_latency(self, request_id: str, final: FinalResponse, record: AccessLogRecord) -> None:
        operation = record.operation
        kind = record.kind
        if self.recorder is None or record.trace is None or operation is None or kind is None:
            return
        self.recorder.finish(
            record.trace,
            request=request_id,
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

    # Configuration of a request

    def _context(
        self,
        caller: Caller,
        head: RequestHead,
        operation: routes.Operation,
        request_id: str,
        record: AccessLogRecord,
        snapshot: ConfigSnapshot,
        source: BodySource | None = None,
        sink: Sink | None = None,
    ) -> RequestContext:
        kind, volume = self._resolve(snapshot, operation, head)
        record.kind = kind
        record.unit_bytes = kind.unit_bytes
        record.limit_units_per_s = snapshot.plan_limits_units_per_s.get(volume.plan, 0.0)
        if source is None:
            source = BodySource(limited_body(caller, self.config.limits.object_bytes), head.length)
        context = RequestContext(
            request_id, caller, head, operation, kind, volume, record, source, sink or caller
        )
        context.internal = request_id.startswith(INTERNAL_ID_PREFIX)
        return context

    def _resolve(
        self, snapshot: ConfigSnapshot, operation: routes.Operation, head: RequestHead
    ) -> tuple[ClassConfig, VolumeRule]:
        """Return the request class and the volume's rule, with the shards of the route that matches."""
        config = snapshot.config
        volume = snapshot.volume(operation.volume)
        if volume is None:
            raise RequestError(404, "no-volume", f"volume {operation.volume!r} is not configured")
        route = _matching_route(config, operation, head)
        if route is not None and route.shards:
            volume = dataclasses.replace(volume, shards=route.shards)
        class_name = operation.class_name or (route.class_name if route is not None else "") or None
        name = "list" if operation.name == "list-uploads" else operation.name
        kind = config.kind_for(name, class_name)
        if kind is None and not operation.class_name:
            kind = config.kind_for(name, None)
        if kind is None:
            in_class = f" in class {operation.class_name!r}" if operation.class_name else ""
            raise RequestError(
                400, "no-class", f"no request class is configured for {operation.name}{in_class}"
            )
        return kind, volume

    # Steps of a request

    async def _process_once(self, context: RequestContext) -> FinalResponse:
        """Process a request, unless one with its Idempotency-Key is in progress (draft-ietf-httpapi-idempotency-key)."""
        operation = context.operation
        in_use = (operation.volume, operation.idempotency_key)
        if operation.idempotency_key:
            if in_use in self._idempotency_keys_in_use:
                text = "a request with this Idempotency-Key is in progress; wait for its response"
                return FinalResponse(409, "refused", "key-in-use", text, KEY_IN_USE_RETRY_AFTER_MS)
            self._idempotency_keys_in_use.add(in_use)
        try:
            final = await self._process(context)
            return await self._metering.settle(context, final)
        finally:
            self._idempotency_keys_in_use.discard(in_use)
            if context.record.charge is not None:
                context.record.charge.close()

    async def _process(self, context: RequestContext) -> FinalResponse:
        self._estimate(context)
        if self._metering.needs_charge(context):
            rejection = await self._metering.charge(context)
            if rejection is not None:
                return rejection
        if self._write_back_path is not None and not context.internal:
            acknowledged = await self._write_back_path.handle(context)
            if acknowledged is not None:
                return acknowledged
        try:
            body = self._replay_body(context)
        except BodyStoreFullError:
            return final_response.rejected("body-store-full", self.scheduler_loop.settings.max_retry_after_ms)
        request = self._scheduler_request(context)
        context.record.request = request
        if context.operation.name in LIST_OPERATIONS:
            return await self._list(context, request)
        exchange = self._new_exchange(context, request, body)
        try:
            return await self.exchanges.run(exchange)
        finally:
            if body is not None:
                body.close()

    def _estimate(self, context: RequestContext) -> None:
        """Set the units and the time left that are passed to the scheduler."""
        operation = context.operation
        kind = context.kind
        rules = kind.rules
        deadline_ms = min(rules.deadline_ms, operation.time_left_ms or rules.deadline_ms)
        context.time_left_ms = deadline_ms - self.config.limits.answer_margin
        context.units = routes.estimate_units(
            operation,
            context.source.length,
            kind.unit_bytes,
            kind.usual_units,
            self.scheduler_loop.settings.max_request_units,
        )

    def _replay_body(self, context: RequestContext) -> ReplayBody | None:
        if context.operation.name not in OPERATIONS_WITH_BODY:
            return None
        length = context.source.length
        max_bytes = self.config.limits.object_bytes
        if length is not None and length > max_bytes:
            raise RequestError(413, "too-large", f"{length} bytes exceed the limit ({max_bytes} bytes)")
        replayable = self.scheduler_loop.settings.max_attempts > 1
        return ReplayBody(context.source.read, length, self.bodies, replayable)

    def _scheduler_request(self, context: RequestContext) -> api.Request:
        operation = context.operation
        rules = context.kind.rules
        key = operation.idempotency_key or operation.key
        if rules.in_order:
            key = f"{operation.volume}/{operation.key}"
        shard = placement.ANYWHERE
        if operation.name != "post" and operation.name not in LIST_OPERATIONS:
            shard = placement.shard_of(operation.volume, operation.key, context.volume.shards)
        return api.Request(
            request_id=context.request_id,
            request_class=rules.name,
            plan=context.volume.plan,
            volume=operation.volume,
            key=key,
            units=context.units,
            shard=shard,
            sharing_gateways=context.volume.gateways,
            time_left_ms=max(0.0, context.time_left_ms),
        )

    async def _list(self, context: RequestContext, request: api.Request) -> FinalResponse:
        if context.record.trace is not None:
            # Each shard is listed by a request of its own, concurrently.
            context.record.trace.enter_phase("store")

        def headers_of(shard_request: api.Request, shard: int, attempt: int) -> Headers:
            return self._headers(context, shard_request, shard, attempt, None)

        return await self._listing.run(context, request, headers_of)

    def _new_exchange(
        self, context: RequestContext, request: api.Request, body: ReplayBody | None
    ) -> Exchange:
        """Submit a request to the scheduler."""
        operation = context.operation
        is_post = operation.name == "post"
        stem = uuid.uuid4().hex if is_post else ""
        handle = self.scheduler_loop.submit(request)

        def outgoing(endpoint: str, attempt: int) -> OutgoingRequest:
            shard = self.scheduler_loop.endpoints[endpoint].shard
            key = placement.placed_key(stem, shard) if is_post else operation.key
            headers = self._headers(context, request, shard, attempt, body)
            return OutgoingRequest(operation.store_method, operation.target(key), headers, body)

        return Exchange(handle, operation, outgoing, context.sink, context.caller, context.record)

    def _headers(
        self,
        context: RequestContext,
        request: api.Request,
        shard: int,
        attempt: int,
        body: ReplayBody | None,
    ) -> Headers:
        operation = context.operation
        write_stamp = operation.write_stamp
        if operation.name in STAMPED_OPERATIONS and not write_stamp:
            write_stamp = self.write_clock.stamp().encode()
        return store_headers(
            self.config.gateway.name,
            self._request_classes[request.request_class],
            request,
            operation,
            shard,
            attempt,
            body,
            context.record.config_version,
            write_stamp,
        )


def _matching_route(config: Config, operation: routes.Operation, head: RequestHead) -> Route | None:
    if not config.routes:
        return None
    headers = {name.decode("latin-1"): value.decode("latin-1").strip() for name, value in head.headers}
    criteria = RequestAttributes(head.method, operation.volume, operation.key, head.length or 0, headers)
    return config.matcher.match(criteria)
