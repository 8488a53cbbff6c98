"""One client's connection: its requests one after another, read and answered over the parser's seam.

A reader task takes in bytes as they come, up to a bound, so that a client's leaving is seen while its request waits.
"""

from __future__ import annotations

import select
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.tls import TLSStream

from winchdyke.config.model import Limits
from winchdyke.gateway.attempts import CHUNK, LOST, ClientDisconnectedError
from winchdyke.http1 import (
    NEED,
    AnswerHead,
    Bytes,
    End,
    Headers,
    Need,
    ProtocolError,
    RequestHead,
    ServerSide,
)
from winchdyke.object_api import answers
from winchdyke.object_api.store_protocol import onward

AHEAD = 128 * 1024  # bytes read beyond what has been asked for
DRAIN = 64 * 1024  # of a body that nobody wants, to keep the connection
LINGER_S = 1.0  # to let a client read its answer before the connection is closed under its unread body


class ClientConnection:
    """A connection, and the answer that is under way on it."""

    def __init__(self, stream: SocketStream, limits: Limits, clock: Callable[[], float]) -> None:
        self._stream, self._limits, self._clock = stream, limits, clock
        self.due = float("inf")  # when what is under way with the client takes too long
        self._expired = self._sending = False
        self.codec = ServerSide(limits.header_bytes)
        self.on_gone: Callable[[], None] | None = None
        self.eof = self.close_after = self.idle = False
        self.status = self.moved = 0
        self._ahead, self._heard = 0, False
        self._fed, self._wanted = anyio.Event(), anyio.Event()
        self.extra: Headers = []
        self._scope = anyio.CancelScope()
        self._poll = select.poll()  # for errors and hang-ups alone, which are always told
        self._poll.register(stream.extra(SocketAttribute.raw_socket).fileno(), 0)

    @property
    def stream(self) -> SocketStream:
        """What it is on: for who is at its other end."""
        return self._stream

    async def run(self, handle: Callable[[ClientConnection, RequestHead], Awaitable[None]]) -> None:
        """Serve the connection to its end."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._read)
                with self._scope:
                    await self._serve(handle)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    def look(self) -> None:
        """See whether a client whose bytes wait unread has reset the connection; ``on_gone`` is told."""
        # Guards against sending for a client that has left behind an upload nobody reads yet: the reader is paused,
        # and a paused transport hears of no reset. A close in good order still shows only once all is read.
        if self.eof or self._ahead <= AHEAD or not self._poll.poll(0):
            return
        self.eof = True
        self._fed.set()
        if self.on_gone is not None:
            self.on_gone()

    async def refuse(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer without reading, and close."""
        try:
            with anyio.move_on_after(LINGER_S):
                await self._stream.send(ServerSide(1024).unasked(status, headers, body))
                await self._no_more()
                while True:
                    await self._stream.receive()
        except LOST:
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    async def _no_more(self) -> None:
        """Say that nothing more comes; a secured stream can't, and is closed once the client has had time to read."""
        if not isinstance(self._stream, TLSStream):
            await self._stream.send_eof()

    def hang_up(self) -> None:
        """Close where nothing is under way; else after the answer."""
        self.close_after = True
        # Guards against cutting off a request that has arrived and was not yet read, on a host that is behind: it is
        # answered first. What is on its way as the socket closes is cut still, as HTTP allows.
        waiting = select.poll()
        waiting.register(self._stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN)
        if self.idle and not any(event & select.POLLIN for _, event in waiting.poll(0)):
            self._scope.cancel()

    async def _serve(self, handle: Callable[[ClientConnection, RequestHead], Awaitable[None]]) -> None:
        while not self.close_after:
            try:
                head = await self._next_head()
            except ProtocolError as error:
                self.close_after = True
                await self.answer(*answers.error(error.status, "refused", error.reason, "-", str(error)))
                await self._linger()
                return
            if head is None:
                return
            self.begin([], close=False)
            await handle(self, head)
            if not await self._settle():
                return

    async def _settle(self) -> bool:
        """After an answer: whether the connection can carry the next request."""
        if self.eof or self.codec.can_answer:
            return False
        if not self.codec.body_done and not self.close_after:
            with anyio.move_on_after(LINGER_S):
                taken = 0
                while taken <= DRAIN and (data := await self.body()):
                    taken += len(data)
        if self.close_after or not self.codec.reusable:
            await self._linger()
            return False
        self.codec.next_cycle()
        return True

    async def _linger(self) -> None:
        # Guards against a reset that takes the answer from a client still sending, from whatever cause it was
        # answered early. It hurts by a second's hold on the connection.
        try:
            with anyio.move_on_after(LINGER_S):
                await self._no_more()
                while not self.eof:
                    self._ahead = 0
                    self._wanted.set()
                    await self._until_fed()
        except LOST:
            pass

    async def _read(self) -> None:
        try:
            while True:
                while self._ahead > AHEAD:
                    self._wanted = anyio.Event()
                    await self._wanted.wait()
                data = await self._stream.receive(CHUNK)
                self._ahead += len(data)
                self._heard = True
                if not self.close_after or not self.codec.body_done:
                    self.codec.feed(data)
                self._fed.set()
        except LOST:
            self.eof = True
            self._fed.set()
            if self.on_gone is not None:
                self.on_gone()

    async def _until_fed(self) -> None:
        self._ahead = 0
        self._wanted.set()
        self._fed = anyio.Event()
        await self._fed.wait()

    async def expire(self) -> None:
        """What is under way with the client has taken too long: a head is told so, an answer is cut."""
        self._expired, self.due = True, float("inf")
        self._fed.set()
        if self._sending:
            await anyio.aclose_forcefully(self._stream)

    async def _next_head(self) -> RequestHead | None:
        # One sweep over all connections looks at ``due``: cheaper than a timer for each step of each request.
        head = self.codec.head() if self._ahead else NEED
        if head is NEED and not self.eof:
            self.idle = True
            self.due = self._clock() + self._limits.idle_timeout
            while head is NEED and not self.eof and not self._expired:
                await self._until_fed()
                if self.idle and not self._expired:
                    self.idle = False
                    self.due = self._clock() + self._limits.header_timeout
                head = self.codec.head()
            self.idle, self.due = False, float("inf")
            if head is NEED and not self.eof and self._heard:
                raise ProtocolError(408, "head-slow", "the request's head did not arrive in time")
        self._heard = False
        return head if isinstance(head, RequestHead) else None

    async def body(self) -> Bytes:
        """More of the request's body; empty at its end. ClientLeft, or ProtocolError where it is malformed."""
        if self.codec.waiting_for_continue:
            await self._send(self.codec.go_on())
        while True:
            piece = self.codec.body()
            if not isinstance(piece, (Need, End)):
                self._ahead = max(0, self._ahead - len(piece))
                self._wanted.set()
                return piece
            if isinstance(piece, End):
                return b""
            if self.eof:
                raise ClientDisconnectedError
            await self._until_fed()

    async def _send(self, data: Bytes) -> None:
        self._sending, self.due = True, self._clock() + self._limits.stream_idle
        try:
            await self._stream.send(data)  # type: ignore[arg-type]
        except LOST as error:
            self.close_after = True
            raise ClientDisconnectedError from error
        finally:
            self._sending, self.due = False, float("inf")
        if self._expired:
            self.close_after = True
            raise ClientDisconnectedError

    def begin(self, extra: Headers, close: bool) -> None:
        """Set the headers that every answer to this request carries."""
        self.extra, self.status, self.moved = extra, 0, 0
        self.close_after = self.close_after or close

    def _head(self, status: int, headers: Headers) -> bytes:
        unread = self.codec.waiting_for_continue or not self.codec.body_done
        if unread and (self.codec.waiting_for_continue or self._stopped_short()):
            self.close_after = True
        closing: Headers = [(b"connection", b"close")] if self.close_after else []
        self.status = status
        return self.codec.answer(status, headers + self.extra + closing)

    def _stopped_short(self) -> bool:
        return self.unread_length is None or self.unread_length > DRAIN

    unread_length: int | None = 0  # of the present request's body, as stated

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """A whole answer in one piece; a client that has left is no error here."""
        if not self.codec.can_answer:
            return
        try:
            sent = self._head(status, headers) + (self.codec.data(body) if body else b"") + self.codec.end()
            await self._send(sent)
            self.moved = len(body)
        except ClientDisconnectedError:
            pass

    async def pass_on(self, head: AnswerHead, body: bytes) -> None:
        """A store's whole answer."""
        await self.answer(head.status, onward(head.headers), body)

    # The sink of an answer that streams.

    async def begin_stream(self, head: AnswerHead) -> None:
        """The head; it is sent with the first piece of the body."""
        headers = onward(head.headers)
        self._pending = self._head(head.status, headers)

    _pending = b""

    async def data(self, data: Bytes) -> None:
        """A piece of the body."""
        sent = self.codec.data(data)
        await self._send(self._pending + sent if self._pending else sent)
        self._pending = b""
        self.moved += len(data)

    async def finish(self) -> None:
        """The end of the body."""
        if tail := self.codec.end():
            await self._send(tail)
