"""One attempt at one store: sent, waited for, and its end told truly (the table is in ``gateway/outcomes.py``)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from winchdyke.gateway.bodies import BodyStoreFull, ReplayBody
from winchdyke.gateway.pool import ConnectError, Connection, ConnectionPool
from winchdyke.http1 import AnswerHead, Bytes, End, Headers, Need, ProtocolError
from winchdyke.interface import AttemptOutcome
from winchdyke.object_api import store_protocol
from winchdyke.object_api.sinks import Sink
from winchdyke.quotas.token_bucket import QuotaExceededError

WHOLE = 64 * 1024  # an answer up to this many bytes is read whole before any of it is the client's
CHUNK = 256 * 1024  # what the transport reads at once; less would be cut out of that, with a copy
LOST = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class ClientDisconnectedError(Exception):
    """The client's connection is gone."""


@dataclass(slots=True)
class OutgoingRequest:
    """A request as a store gets it."""

    method: str
    target: bytes
    headers: Headers
    body: ReplayBody | None = None


@dataclass(slots=True)
class UpstreamResponse:
    """A whole answer."""

    head: AnswerHead
    body: bytes


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended. ``relayed``: a part of its answer is the client's; ``fault``: what the client did."""

    outcome: AttemptOutcome
    latency_ms: float = 0.0
    told: store_protocol.Told = field(default_factory=store_protocol.Told)
    answer: UpstreamResponse | None = None
    relayed: bool = False
    status: int = 0
    moved: int = 0
    fault: Exception | None = None


class Attempt:
    """One attempt while it runs. ``cancel`` ends it from outside."""

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Callable[[], float],
        stream_idle_ms: float,
        sink: Sink,
        on_stream: Callable[[], None],
        fits: Callable[[AnswerHead], bool],
        phase: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._pool, self._clock, self._stream_idle = pool, clock, stream_idle_ms
        self._sink, self._on_stream, self._fits = sink, on_stream, fits
        self._phase = phase
        self._scope = anyio.CancelScope()
        self._cancelled = self._on_client = False
        self._sent = self._all_sent = False
        self._blocked = self._block_began = 0.0  # time spent on the client, which is not the store's
        self._fault: Exception | None = None
        self._ended: AttemptResult | None = None

    @property
    def all_sent(self) -> bool:
        """Whether the whole request has been handed to the socket."""
        return self._all_sent

    def cancel(self) -> None:
        """Stop waiting for it."""
        self._cancelled = True
        self._scope.cancel()

    def call_off(self) -> None:
        """Give it up where nothing of it has been handed to the socket."""
        if not self._sent:
            self._scope.cancel()

    async def run(
        self, node: str, out: OutgoingRequest, timeout_ms: float, write_ms: float = 0.0
    ) -> AttemptResult:
        """Carry it out; never raises but when the task itself is cancelled."""
        began = self._clock()
        connection: Connection | None = None
        self._scope.deadline = anyio.current_time() + max(0.0, timeout_ms) / 1000
        ended: AttemptResult | None = None
        self._phase("dial")
        try:
            with self._scope:
                connection = await self._pool.get(node)
                if not write_ms or self._clock() < began + write_ms:
                    ended = await self._exchange(connection, out)
                else:
                    ended = AttemptResult(AttemptOutcome.NOT_SENT)  # what it was decided on holds no longer
        except ConnectError as error:
            ended = AttemptResult(AttemptOutcome.NOT_SENT if error.own else AttemptOutcome.CONNECT_FAILED)
        except LOST:
            ended = AttemptResult(AttemptOutcome.CONNECTION_RESET if self._sent else AttemptOutcome.NOT_SENT)
        except ProtocolError:
            ended = AttemptResult(AttemptOutcome.CONNECTION_RESET)
        finally:
            if connection is not None and (ended is None or not connection.codec.reusable):
                await connection.close()
        if ended is None:
            ended = self._ended or AttemptResult(self._cut_short())
        if connection is not None and connection.codec.reusable:
            await self._pool.put(connection)
        ended.fault = ended.fault or self._fault
        ended.latency_ms = self._clock() - began - self._blocked
        return ended

    def _cut_short(self) -> AttemptOutcome:
        if not self._sent:
            return AttemptOutcome.NOT_SENT
        # Time spent on a client that trickles its body is not the store's: a time-out would make it suspect.
        return AttemptOutcome.CANCELLED if self._cancelled or self._on_client else AttemptOutcome.TIMED_OUT

    async def _exchange(self, connection: Connection, out: OutgoingRequest) -> AttemptResult:
        codec, body = connection.codec, out.body
        payload = codec.request(out.method, out.target, out.headers)
        ready = b"" if body is None else body.in_memory
        if ready is None:
            assert body is not None
            return await self._exchange_streamed(connection, payload, body)
        payload += (codec.data(ready) if ready else b"") + codec.end()
        self._sent = True
        self._phase("send")
        try:
            await connection.stream.send(payload)
            self._all_sent = True
            self._phase("store")
        except LOST:
            pass  # it may have answered before it closed
        return await self._answer(connection)

    async def _exchange_streamed(
        self, connection: Connection, head: bytes, body: ReplayBody
    ) -> AttemptResult:
        async with anyio.create_task_group() as group:
            group.start_soon(self._write, connection, head, body, group)
            try:
                ended = await self._answer(connection)
            except (*LOST, ProtocolError):
                ended = AttemptResult(
                    AttemptOutcome.CONNECTION_RESET if self._sent else AttemptOutcome.NOT_SENT
                )
            self._ended = ended
            group.cancel_scope.cancel()
        if self._fault is not None:
            return AttemptResult(AttemptOutcome.CANCELLED if self._sent else AttemptOutcome.NOT_SENT)
        assert self._ended is not None
        return self._ended

    async def _write(self, connection: Connection, head: bytes, body: ReplayBody, group: TaskGroup) -> None:
        codec, chunks = connection.codec, body.chunks()
        try:
            while True:
                self._wait_on_client(True)
                try:
                    data = await anext(chunks, b"")
                finally:
                    self._wait_on_client(False)
                if not data:
                    break
                self._sent = True
                piece = codec.data(data)
                await connection.stream.send(head + piece if head else piece)  # type: ignore[arg-type]
                head = b""
            self._sent = True
            await connection.stream.send(head + codec.end())
            self._all_sent = True
            self._phase("store")
        except (ClientDisconnectedError, ProtocolError, BodyStoreFull, QuotaExceededError) as error:
            self._fault = error
            group.cancel_scope.cancel()
        except LOST:
            pass  # what reads the answer tells
        finally:
            await chunks.aclose()  # type: ignore[attr-defined]

    def _wait_on_client(self, waits: bool) -> None:
        now = self._clock()
        self._phase("body" if waits else "send")
        if waits:
            self._block_began = now
        else:
            self._blocked += now - self._block_began
        self._on_client = waits or (self._on_client and self._scope.cancel_called)

    async def _answer(self, connection: Connection) -> AttemptResult:
        codec = connection.codec
        while isinstance(head := codec.head(), Need):
            codec.feed(await self._receive(connection))
        self._phase("answer")
        if not self._fits(head):
            raise ProtocolError(502, "store-range", "the store's range is not the one asked for")
        told = store_protocol.told(head)
        held = bytearray()
        while len(held) <= WHOLE and (head.length is None or head.length <= WHOLE):
            piece = await self._piece(connection)
            if isinstance(piece, End):
                return self._judge(head, told, bytes(held))
            held += piece
        if head.status >= 500:
            return self._judge(head, told, b"")
        while not held:
            piece = await self._piece(connection)
            if isinstance(piece, End):
                return self._judge(head, told, b"")
            held += piece
        return await self._relay(connection, head, told, bytes(held))

    @staticmethod
    def _judge(head: AnswerHead, told: store_protocol.Told, body: bytes) -> AttemptResult:
        if store_protocol.never_ran(head):
            return AttemptResult(AttemptOutcome.SHED, told=told, status=head.status)
        if head.status >= 500:
            return AttemptResult(AttemptOutcome.ERROR, told=told, status=head.status)
        return AttemptResult(
            AttemptOutcome.SERVED,
            told=told,
            answer=UpstreamResponse(head, body),
            status=head.status,
            moved=len(body),
        )

    async def _relay(
        self, connection: Connection, head: AnswerHead, told: store_protocol.Told, first: bytes
    ) -> AttemptResult:
        self._scope.deadline = float("inf")  # from here on it is the client's
        self._on_stream()
        moved = 0
        ended = self._ended = AttemptResult(
            AttemptOutcome.CONNECTION_RESET, told=told, relayed=True, status=head.status
        )
        try:
            await self._to_client(self._sink.begin_stream(head))
            piece: Bytes | End = first
            while not isinstance(piece, End):
                await self._to_client(self._sink.data(piece))
                moved += len(piece)
                with anyio.fail_after(self._stream_idle / 1000):
                    piece = await self._piece(connection)
            await self._to_client(self._sink.finish())
            ended.outcome = AttemptOutcome.SERVED
        except ClientDisconnectedError as error:
            ended.outcome, ended.fault = AttemptOutcome.CANCELLED, error
        except QuotaExceededError as error:  # nothing of it was said to the client where it had not begun
            ended.outcome, ended.fault, ended.relayed = AttemptOutcome.CANCELLED, error, moved > 0
        except (*LOST, ProtocolError):
            pass
        ended.moved = moved
        return ended

    async def _to_client(self, step: object) -> None:
        began = self._clock()
        self._phase("client")
        try:
            await step  # type: ignore[misc]
        finally:
            self._blocked += self._clock() - began
            self._phase("answer")

    async def _piece(self, connection: Connection) -> Bytes | End:
        while True:
            piece = connection.codec.body()
            if not isinstance(piece, Need):
                return piece
            connection.codec.feed(await self._receive(connection))

    @staticmethod
    async def _receive(connection: Connection) -> bytes:
        try:
            return await connection.stream.receive(CHUNK)
        except anyio.EndOfStream:
            return b""  # the parser knows whether the answer may end here
