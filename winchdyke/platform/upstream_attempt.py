"""Attempts at stores, and the connections that are kept between them. Nothing here decides anything.

One request at a time goes on a connection. What has run is told by bytes alone: an attempt *never ran* only where its last
byte was not handed to the kernel, or where the store says so.

=================  ============================================================================  =========
outcome            what happened                                                                 never ran
=================  ============================================================================  =========
``DIAL_FAILED``    no connection came up, or it broke before the request's last byte was written  yes
``UNSENT``         time was up, no descriptor was left, or it was called off, before the last     yes
                   byte was written
``SHED``           the store turned it away                                                      yes
``RESET``          the connection broke after that, or ended where no answer may end, or the      no
                   answer was spoilt
``ERROR``          any other answer than 200                                                     no
``TIMED_OUT``      no whole answer when its time was up                                           no
``CANCELLED``      the scheduler called it off                                                    no
``SERVED``         a whole 200                                                                   no
=================  ============================================================================  =========
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections import Counter, OrderedDict
from collections.abc import Callable

from winchdyke.gateway.pool import NO_DESCRIPTORS
from winchdyke.http1 import AnswerHead, ClientSide, End, Need, ProtocolError
from winchdyke.interface import AttemptOutcome
from winchdyke.platform import protocol, sockets

MAX_HEAD_BYTES = 16 * 1024
MAX_FRAMING_BYTES = (
    2 * MAX_HEAD_BYTES
)  # bytes of an answer beside its body: what stands ahead of it, head and framing
MAX_RESPONSE_MEMORY_FRACTION, MAX_BUFFERED_MEMORY_FRACTION = (
    1 / 64,
    1 / 8,
)  # of the memory, for one answer and for all that are being read
REUSE_IDLE_FRACTION = 0.5  # of the stores' idle time: a kept connection ends well before the store ends it
# Guards against an answer that comes twice: the second, some milliseconds late, would be the answer to whatever request goes on
# the connection next. What comes while it rests ends it. It hurts where one connection would do for requests in a row.
MIN_REUSE_PAUSE_MS = 50.0
# An answer that tells no length is whole at the end of its connection, which follows its last byte. Guards against one that never
# ends, for whatever cause. It hurts a store that pauses in the middle of such an answer.
CLOSE_DELIMITED_TIMEOUT_MS = 100.0
LOCAL_RESOURCE_ERRORS = (*NO_DESCRIPTORS, errno.EADDRNOTAVAIL)

EndpointAddress = tuple[str, str]  # a store's id and address: an address can pass to another id


class UpstreamConnection:
    """One connection to a store."""

    __slots__ = ("attempt", "codec", "endpoint", "established", "idle_since_ms", "pool", "sock")

    def __init__(self, stores: UpstreamPool, place: EndpointAddress, sock: socket.socket) -> None:
        self.pool, self.endpoint, self.sock = stores, place, sock
        self.codec = ClientSide(MAX_HEAD_BYTES)
        self.attempt: UpstreamAttempt | None = None
        self.established, self.idle_since_ms = False, 0.0

    def on_readable(self) -> None:
        """Something has come: the attempt's, or unasked."""
        if self.attempt is not None:
            self.attempt.on_readable()
        else:
            self.close()

    def on_writable(self) -> None:
        """It has come up, or failed to, or has room again."""
        if self.attempt is not None:
            self.attempt.on_writable()

    def close(self) -> None:
        """Close at once."""
        self.pool.close_connection(self)


class UpstreamAttempt:
    """One request on its way to one store. ``done`` is told its end once."""

    __slots__ = (
        "_body",
        "_close_delimited",
        "_connection",
        "_fully_written",
        "_head",
        "_last_byte_at_ms",
        "_opened_connection",
        "_pool",
        "_received_bytes",
        "_still_wanted",
        "_timer",
        "_timer_at_ms",
        "_unsent",
        "body",
        "deadline_ms",
        "endpoint",
        "finished",
        "on_done",
        "request",
        "started_at_ms",
        "write_deadline_ms",
        "written_at_ms",
    )

    def __init__(
        self,
        stores: UpstreamPool,
        place: EndpointAddress,
        asked: protocol.ParsedRequest,
        end: float,
        done: Callable[[UpstreamAttempt, protocol.AttemptResult, float], None],
        write_by: float = float("inf"),
        wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        self._pool, self.endpoint, self.request, self.deadline_ms, self.on_done = (
            stores,
            place,
            asked,
            end,
            done,
        )
        self.write_deadline_ms = write_by  # until when its last byte may be handed over
        self._still_wanted = wanted  # asked before its first byte goes on a connection that has just come up
        self.started_at_ms, self.finished, self.body = stores.clock(), False, b""
        self._connection: UpstreamConnection | None = None
        self._head: AnswerHead | None = None
        self._body = bytearray()
        self._unsent: memoryview | None = None
        self._received_bytes, self._last_byte_at_ms, self._timer_at_ms = 0, 0.0, 0.0
        self._close_delimited = False  # the answer told no length: it ends with its connection, in good order
        self._opened_connection = self._fully_written = (
            False  # the last byte is with the kernel: from then on it may run
        )
        self._timer: asyncio.TimerHandle | None = None
        self.written_at_ms = -1e18  # when the last byte was handed over

    def start(self) -> None:
        """Take a connection and send."""
        stores = self._pool
        while (link := stores.take_idle(self.endpoint)) is not None:
            link.attempt, self._connection = self, link
            if self._write():
                self._set_deadline(self.deadline_ms)
                return
        self._connect()

    def _connect(self) -> None:
        stores, self._opened_connection = self._pool, True
        try:
            link = stores.connect(self.endpoint)
        except OSError as error:
            own = error.errno in LOCAL_RESOURCE_ERRORS
            self._finish(
                protocol.AttemptResult(AttemptOutcome.NOT_SENT if own else AttemptOutcome.CONNECT_FAILED)
            )
            return
        link.attempt, self._connection = self, link
        self._set_deadline(min(self.deadline_ms, self.started_at_ms + stores.connect_timeout_ms))
        if sockets.connect_has_finished(link.sock):
            self.on_writable()

    def _set_deadline(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at_ms = at
        self._timer = self._pool.loop.call_at(at / 1000, self._on_deadline)

    def _on_deadline(self) -> None:
        link, at = self._connection, self._timer_at_ms
        assert link is not None
        if not link.established and sockets.connect_has_finished(link.sock):
            self.on_writable()
        elif link.established:
            # Guards against calling silent a store whose answer lies in the socket: the process was late, not the store.
            self.on_readable()
        if self.finished or self._timer_at_ms != at:  # it has come up just now: it has its whole time
            return
        if self._close_delimited and at < self.deadline_ms:
            self._fail_malformed("length")
        elif self._fully_written:
            self._finish(protocol.AttemptResult(AttemptOutcome.TIMED_OUT))
        else:
            late = not link.established and at < self.deadline_ms
            self._finish(
                protocol.AttemptResult(AttemptOutcome.CONNECT_FAILED if late else AttemptOutcome.NOT_SENT)
            )

    def cancel(self) -> None:
        """Stop waiting, but for an answer that has come already."""
        if not self.finished and self._connection is not None and self._connection.established:
            self.on_readable()
        self._finish(
            protocol.AttemptResult(
                AttemptOutcome.CANCELLED if self._fully_written else AttemptOutcome.NOT_SENT
            )
        )

    def abandon(self) -> None:
        """Give up what has not been written whole: it never ran."""
        if not self._fully_written:
            if not self.finished:
                self._pool.counts["called-off"] += 1
            self._finish(protocol.AttemptResult(AttemptOutcome.NOT_SENT))

    def _serialize_request(self) -> bytes:
        codec, asked = self._connection.codec, self.request  # type: ignore[union-attr]
        headers = protocol.upstream_headers(asked, self.deadline_ms - self._pool.clock())
        payload = codec.request(asked.method, asked.target, headers)
        if asked.body:
            payload += codec.data(asked.body)
        return payload + codec.end()

    def _write(self) -> bool:
        """Send what is left; False where a kept connection turned out dead with nothing of the request written."""
        link = self._connection
        assert link is not None
        fresh = self._unsent is None
        left = memoryview(self._serialize_request()) if self._unsent is None else self._unsent
        try:
            sent = link.sock.send(left)
        except BlockingIOError:
            sent = 0
        except OSError:
            if fresh and not self._opened_connection:
                link.attempt = None
                link.close()
                return False
            self._finish(
                protocol.AttemptResult(AttemptOutcome.CONNECT_FAILED)
            )  # its last byte was never written
            return True
        if sent == len(left):
            self._fully_written, self.written_at_ms = True, self._pool.clock()
            if self._unsent is not None:
                self._pool.loop.remove_writer(link.sock.fileno())
            self._unsent = None
        else:
            if self._unsent is None:
                self._pool.loop.add_writer(link.sock.fileno(), link.on_writable)
            self._unsent = left[sent:]
        return True

    def on_writable(self) -> None:
        """The connection has come up, or has room again."""
        link = self._connection
        assert link is not None
        if not link.established:
            fault = link.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if fault:
                own = fault in LOCAL_RESOURCE_ERRORS
                self._finish(
                    protocol.AttemptResult(AttemptOutcome.NOT_SENT if own else AttemptOutcome.CONNECT_FAILED)
                )
                return
            link.established = True
            self._pool.loop.remove_writer(link.sock.fileno())
            self._pool.loop.add_reader(link.sock.fileno(), link.on_readable)
            self._set_deadline(self.deadline_ms)
        if self._pool.clock() > self.write_deadline_ms or (self._unsent is None and not self._still_wanted()):
            self.abandon()  # what it was decided on holds no longer
        else:
            self._write()

    def on_readable(self) -> None:
        """Take in what has come of the answer."""
        link = self._connection
        assert link is not None
        while not self.finished:
            try:
                data, self._last_byte_at_ms = sockets.receive(link.sock)
            except BlockingIOError:
                return
            except OSError as error:
                self._fail_broken(os.strerror(error.errno or 0))
                return
            self._received_bytes += len(data)
            if not data and not self._close_delimited:
                self._fail_broken("ended")  # its head told where it ends, and that was not here
                return
            try:
                link.codec.feed(data)
                whole = self._parse(link.codec)
            except ProtocolError:
                self._fail_malformed("http")
                return
            if whole or self.finished:
                return
            if self._close_delimited:
                self._set_deadline(min(self.deadline_ms, self._pool.clock() + CLOSE_DELIMITED_TIMEOUT_MS))
            if self._received_bytes > 2 * self._pool.max_response_bytes + MAX_FRAMING_BYTES:
                self._fail_malformed("too-large")
                return
            if len(data) < sockets.MAX_RECEIVE_BYTES:
                return

    def _fail_broken(self, why: str) -> None:
        self._pool.counts[f"broken:{why}"] += 1
        # Claimed to have never run only while a part of it is still here.
        self._finish(
            protocol.AttemptResult(
                AttemptOutcome.CONNECTION_RESET if self._fully_written else AttemptOutcome.CONNECT_FAILED
            )
        )

    def _fail_malformed(self, why: str) -> None:
        self._pool.counts[f"spoilt:{why}"] += 1
        self._finish(protocol.AttemptResult(AttemptOutcome.CONNECTION_RESET))

    def _parse(self, codec: ClientSide) -> bool:
        if self._head is None:
            head = codec.head()
            if isinstance(head, Need):
                return False
            self._close_delimited = not protocol.count_framing_headers(head)
            if not self._close_delimited and not protocol.has_valid_framing(
                head, self._pool.max_response_bytes
            ):
                self._fail_malformed("length")
                return False
            self._head = head
        while not isinstance(piece := codec.body(), Need):
            if isinstance(piece, End):
                self.body = bytes(self._body)
                told = protocol.parse_response(self._head, self._pool.load_fields)
                if not self._fully_written and told.outcome is not AttemptOutcome.SHED:
                    # Guards against an answer that was made for another request, whatever sent it late: a store begins a request
                    # when its last byte has come, which has not left here. It hurts by a request that is sent anew.
                    self._pool.counts["early"] += 1
                    told = protocol.AttemptResult(AttemptOutcome.NOT_SENT)
                self._finish(told)
                return True
            self._body += piece
            self._pool.buffered_bytes += len(piece)
            if (
                len(self._body) > self._pool.max_response_bytes
                or self._pool.buffered_bytes > self._pool.max_buffered_bytes
            ):
                self._fail_malformed("too-large")
                return False
        return False

    def _finish(self, told: protocol.AttemptResult) -> None:
        if self.finished:
            return
        self.finished = True
        self._pool.buffered_bytes -= len(self._body)
        if self._timer is not None:
            self._timer.cancel()
        link, self._connection = self._connection, None
        answered = told.outcome in (AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.SHED)
        if link is not None:
            link.attempt = None
            if answered and self._fully_written and link.codec.reusable:
                self._pool.release(link, self._last_byte_at_ms)
            else:
                link.close()
        if told.outcome is AttemptOutcome.TIMED_OUT:
            # What is kept open to a machine that says nothing may be dead too; a new one tells it sooner.
            self._pool.close_idle_to(self.endpoint)
        at = self._last_byte_at_ms if answered else self._pool.clock()
        self.on_done(self, told, max(0.0, at - self.started_at_ms))


class UpstreamPool:
    """The connections of one gateway to all stores."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        connect_ms: float,
        idle_ms: float,
        most: int,
        load_fields: tuple[str, ...],
        memory_mb: float,
    ) -> None:
        # An answer is read whole before any of it is passed on. Stores send more than the protocol's 64 KiB at times: what
        # bounds an answer, and all that are being read, is this machine's memory.
        self.max_response_bytes = max(
            protocol.MAX_BODY_BYTES, int(memory_mb * 2**20 * MAX_RESPONSE_MEMORY_FRACTION)
        )
        self.buffered_bytes, self.max_buffered_bytes = (
            0,
            int(memory_mb * 2**20 * MAX_BUFFERED_MEMORY_FRACTION),
        )
        self.loop, self.clock, self.connect_timeout_ms, self.load_fields = (
            loop,
            clock,
            connect_ms,
            load_fields,
        )
        self.max_idle_ms, self.max_connections = idle_ms * REUSE_IDLE_FRACTION, most
        self.connections: set[UpstreamConnection] = set()
        self._idle: OrderedDict[UpstreamConnection, None] = OrderedDict()  # longest kept first
        self._idle_by_endpoint: dict[EndpointAddress, list[UpstreamConnection]] = {}
        self.counts: Counter[str] = Counter()

    def __str__(self) -> str:
        return f"stores: {len(self.connections)} connections, {len(self._idle)} idle, {self.counts['dialled']} dialled"

    def take_idle(self, place: EndpointAddress) -> UpstreamConnection | None:
        """A kept connection that has rested and on which nothing has come since."""
        now = self.clock()
        for link in reversed(self._idle_by_endpoint.get(place, ())[:]):
            if now - link.idle_since_ms < MIN_REUSE_PAUSE_MS:
                continue
            if now - link.idle_since_ms < self.max_idle_ms and sockets.has_nothing_to_read(link.sock):
                self._remove_idle(link)
                self.counts["reused"] += 1
                return link
            link.close()
        return None

    def _remove_idle(self, link: UpstreamConnection) -> None:
        del self._idle[link]
        line = self._idle_by_endpoint[link.endpoint]
        line.remove(link)
        if not line:
            del self._idle_by_endpoint[link.endpoint]

    def connect(self, place: EndpointAddress) -> UpstreamConnection:
        """Begin a new connection. OSError where it can't be begun."""
        if len(self.connections) >= self.max_connections:
            if not self._idle:
                raise OSError(errno.EMFILE, "as many connections to stores as may be are in use")
            next(iter(self._idle)).close()
        host, _, port = place[1].rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sockets.configure(sock)
            fault = sock.connect_ex((host, int(port)))
            if fault not in (0, errno.EINPROGRESS):
                raise OSError(fault, os.strerror(fault))
        except BaseException:
            sock.close()
            raise
        link = UpstreamConnection(self, place, sock)
        self.connections.add(link)
        self.counts["dialled"] += 1
        self.loop.add_writer(sock.fileno(), link.on_writable)
        return link

    def release(self, link: UpstreamConnection, since: float) -> None:
        """Keep a connection whose exchange is over; its store counts it as idle since then."""
        link.codec.next_cycle()
        link.idle_since_ms = since
        self._idle[link] = None
        self._idle_by_endpoint.setdefault(link.endpoint, []).append(link)

    def close_connection(self, link: UpstreamConnection) -> None:
        """Close a connection and forget it."""
        if link not in self.connections:
            return
        self.connections.discard(link)
        if link in self._idle:
            self._remove_idle(link)
        self.loop.remove_reader(link.sock.fileno())
        self.loop.remove_writer(link.sock.fileno())
        link.sock.close()

    def close_idle_to(self, place: EndpointAddress) -> None:
        """Close what is idle at a place."""
        for link in list(self._idle_by_endpoint.get(place, ())):
            link.close()

    def close_expired(self, places: set[EndpointAddress]) -> None:
        """Close what has been idle for long, or is kept at a place that no list names."""
        old = self.clock() - self.max_idle_ms
        for link in [link for link in self._idle if link.idle_since_ms <= old or link.endpoint not in places]:
            link.close()

    def close_idle(self) -> None:
        """Close all that is idle."""
        for link in list(self._idle):
            link.close()
