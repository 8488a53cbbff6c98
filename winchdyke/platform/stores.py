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

from winchdyke.gateway.pool import RESOURCE_EXHAUSTION_ERRNOS
from winchdyke.http1 import AnswerHead, ClientSide, End, Need, ProtocolError
from winchdyke.interface import AttemptOutcome
from winchdyke.platform import protocol, sockets

HEAD_MOST = 16 * 1024
AROUND_MOST = 2 * HEAD_MOST  # bytes of an answer beside its body: what stands ahead of it, head and framing
ANSWER_PART, HELD_PART = 1 / 64, 1 / 8  # of the memory, for one answer and for all that are being read
IDLE_PART = 0.5  # of the stores' idle time: a kept connection ends well before the store ends it
# Guards against an answer that comes twice: the second, some milliseconds late, would be the answer to whatever request goes on
# the connection next. What comes while it rests ends it. It hurts where one connection would do for requests in a row.
REST_MS = 50.0
# An answer that tells no length is whole at the end of its connection, which follows its last byte. Guards against one that never
# ends, for whatever cause. It hurts a store that pauses in the middle of such an answer.
OPEN_MS = 100.0
OWN_FAULTS = (*RESOURCE_EXHAUSTION_ERRNOS, errno.EADDRNOTAVAIL)

Place = tuple[str, str]  # a store's id and address: an address can pass to another id


class Link:
    """One connection to a store."""

    __slots__ = ("attempt", "codec", "kept_at", "place", "sock", "stores", "up")

    def __init__(self, stores: Stores, place: Place, sock: socket.socket) -> None:
        self.stores, self.place, self.sock = stores, place, sock
        self.codec = ClientSide(HEAD_MOST)
        self.attempt: Attempt | None = None
        self.up, self.kept_at = False, 0.0

    def readable(self) -> None:
        """Something has come: the attempt's, or unasked."""
        if self.attempt is not None:
            self.attempt.readable()
        else:
            self.close()

    def writable(self) -> None:
        """It has come up, or failed to, or has room again."""
        if self.attempt is not None:
            self.attempt.writable()

    def close(self) -> None:
        """Close at once."""
        self.stores.closed(self)


class Attempt:
    """One request on its way to one store. ``done`` is told its end once."""

    __slots__ = (
        "_at",
        "_body",
        "_came",
        "_dialled",
        "_head",
        "_left",
        "_link",
        "_open_ended",
        "_received",
        "_stores",
        "_timer",
        "_wanted",
        "_written",
        "asked",
        "began",
        "body",
        "done",
        "end",
        "ended",
        "place",
        "write_by",
        "written_at",
    )

    def __init__(
        self,
        stores: Stores,
        place: Place,
        asked: protocol.ParsedRequest,
        end: float,
        done: Callable[[Attempt, protocol.Told, float], None],
        write_by: float = float("inf"),
        wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        self._stores, self.place, self.asked, self.end, self.done = stores, place, asked, end, done
        self.write_by = write_by  # until when its last byte may be handed over
        self._wanted = wanted  # asked before its first byte goes on a connection that has just come up
        self.began, self.ended, self.body = stores.clock(), False, b""
        self._link: Link | None = None
        self._head: AnswerHead | None = None
        self._body = bytearray()
        self._left: memoryview | None = None
        self._received, self._came, self._at = 0, 0.0, 0.0
        self._open_ended = False  # the answer told no length: it ends with its connection, in good order
        self._dialled = self._written = False  # the last byte is with the kernel: from then on it may run
        self._timer: asyncio.TimerHandle | None = None
        self.written_at = -1e18  # when the last byte was handed over

    def start(self) -> None:
        """Take a connection and send."""
        stores = self._stores
        while (link := stores.kept(self.place)) is not None:
            link.attempt, self._link = self, link
            if self._write():
                self._arm(self.end)
                return
        self._dial()

    def _dial(self) -> None:
        stores, self._dialled = self._stores, True
        try:
            link = stores.dial(self.place)
        except OSError as error:
            own = error.errno in OWN_FAULTS
            self._finish(protocol.Told(AttemptOutcome.NOT_SENT if own else AttemptOutcome.CONNECT_FAILED))
            return
        link.attempt, self._link = self, link
        self._arm(min(self.end, self.began + stores.connect_ms))
        if sockets.connected(link.sock):
            self.writable()

    def _arm(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._at = at
        self._timer = self._stores.loop.call_at(at / 1000, self._due)

    def _due(self) -> None:
        link, at = self._link, self._at
        assert link is not None
        if not link.up and sockets.connected(link.sock):
            self.writable()
        elif link.up:
            # Guards against calling silent a store whose answer lies in the socket: the process was late, not the store.
            self.readable()
        if self.ended or self._at != at:  # it has come up just now: it has its whole time
            return
        if self._open_ended and at < self.end:
            self._spoilt("length")
        elif self._written:
            self._finish(protocol.Told(AttemptOutcome.TIMED_OUT))
        else:
            late = not link.up and at < self.end
            self._finish(protocol.Told(AttemptOutcome.CONNECT_FAILED if late else AttemptOutcome.NOT_SENT))

    def cancel(self) -> None:
        """Stop waiting, but for an answer that has come already."""
        if not self.ended and self._link is not None and self._link.up:
            self.readable()
        self._finish(protocol.Told(AttemptOutcome.CANCELLED if self._written else AttemptOutcome.NOT_SENT))

    def call_off(self) -> None:
        """Give up what has not been written whole: it never ran."""
        if not self._written:
            if not self.ended:
                self._stores.counts["called-off"] += 1
            self._finish(protocol.Told(AttemptOutcome.NOT_SENT))

    def _payload(self) -> bytes:
        codec, asked = self._link.codec, self.asked  # type: ignore[union-attr]
        headers = protocol.onward(asked, self.end - self._stores.clock())
        payload = codec.request(asked.method, asked.target, headers)
        if asked.body:
            payload += codec.data(asked.body)
        return payload + codec.end()

    def _write(self) -> bool:
        """Send what is left; False where a kept connection turned out dead with nothing of the request written."""
        link = self._link
        assert link is not None
        fresh = self._left is None
        left = memoryview(self._payload()) if self._left is None else self._left
        try:
            sent = link.sock.send(left)
        except BlockingIOError:
            sent = 0
        except OSError:
            if fresh and not self._dialled:
                link.attempt = None
                link.close()
                return False
            self._finish(protocol.Told(AttemptOutcome.CONNECT_FAILED))  # its last byte was never written
            return True
        if sent == len(left):
            self._written, self.written_at = True, self._stores.clock()
            if self._left is not None:
                self._stores.loop.remove_writer(link.sock.fileno())
            self._left = None
        else:
            if self._left is None:
                self._stores.loop.add_writer(link.sock.fileno(), link.writable)
            self._left = left[sent:]
        return True

    def writable(self) -> None:
        """The connection has come up, or has room again."""
        link = self._link
        assert link is not None
        if not link.up:
            fault = link.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if fault:
                own = fault in OWN_FAULTS
                self._finish(protocol.Told(AttemptOutcome.NOT_SENT if own else AttemptOutcome.CONNECT_FAILED))
                return
            link.up = True
            self._stores.loop.remove_writer(link.sock.fileno())
            self._stores.loop.add_reader(link.sock.fileno(), link.readable)
            self._arm(self.end)
        if self._stores.clock() > self.write_by or (self._left is None and not self._wanted()):
            self.call_off()  # what it was decided on holds no longer
        else:
            self._write()

    def readable(self) -> None:
        """Take in what has come of the answer."""
        link = self._link
        assert link is not None
        while not self.ended:
            try:
                data, self._came = sockets.receive(link.sock)
            except BlockingIOError:
                return
            except OSError as error:
                self._broken(os.strerror(error.errno or 0))
                return
            self._received += len(data)
            if not data and not self._open_ended:
                self._broken("ended")  # its head told where it ends, and that was not here
                return
            try:
                link.codec.feed(data)
                whole = self._read(link.codec)
            except ProtocolError:
                self._spoilt("http")
                return
            if whole or self.ended:
                return
            if self._open_ended:
                self._arm(min(self.end, self._stores.clock() + OPEN_MS))
            if self._received > 2 * self._stores.answer_most + AROUND_MOST:
                self._spoilt("too-large")
                return
            if len(data) < sockets.CHUNK:
                return

    def _broken(self, why: str) -> None:
        self._stores.counts[f"broken:{why}"] += 1
        # Claimed to have never run only while a part of it is still here.
        self._finish(
            protocol.Told(AttemptOutcome.CONNECTION_RESET if self._written else AttemptOutcome.CONNECT_FAILED)
        )

    def _spoilt(self, why: str) -> None:
        self._stores.counts[f"spoilt:{why}"] += 1
        self._finish(protocol.Told(AttemptOutcome.CONNECTION_RESET))

    def _read(self, codec: ClientSide) -> bool:
        if self._head is None:
            head = codec.head()
            if isinstance(head, Need):
                return False
            self._open_ended = not protocol.framed(head)
            if not self._open_ended and not protocol.fits(head, self._stores.answer_most):
                self._spoilt("length")
                return False
            self._head = head
        while not isinstance(piece := codec.body(), Need):
            if isinstance(piece, End):
                self.body = bytes(self._body)
                told = protocol.told(self._head, self._stores.load_fields)
                if not self._written and told.outcome is not AttemptOutcome.SHED:
                    # Guards against an answer that was made for another request, whatever sent it late: a store begins a request
                    # when its last byte has come, which has not left here. It hurts by a request that is sent anew.
                    self._stores.counts["early"] += 1
                    told = protocol.Told(AttemptOutcome.NOT_SENT)
                self._finish(told)
                return True
            self._body += piece
            self._stores.held += len(piece)
            if len(self._body) > self._stores.answer_most or self._stores.held > self._stores.held_most:
                self._spoilt("too-large")
                return False
        return False

    def _finish(self, told: protocol.Told) -> None:
        if self.ended:
            return
        self.ended = True
        self._stores.held -= len(self._body)
        if self._timer is not None:
            self._timer.cancel()
        link, self._link = self._link, None
        answered = told.outcome in (AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.SHED)
        if link is not None:
            link.attempt = None
            if answered and self._written and link.codec.reusable:
                self._stores.keep(link, self._came)
            else:
                link.close()
        if told.outcome is AttemptOutcome.TIMED_OUT:
            # What is kept open to a machine that says nothing may be dead too; a new one tells it sooner.
            self._stores.forget(self.place)
        at = self._came if answered else self._stores.clock()
        self.done(self, told, max(0.0, at - self.began))


class Stores:
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
        self.answer_most = max(protocol.BODY_MOST, int(memory_mb * 2**20 * ANSWER_PART))
        self.held, self.held_most = 0, int(memory_mb * 2**20 * HELD_PART)
        self.loop, self.clock, self.connect_ms, self.load_fields = loop, clock, connect_ms, load_fields
        self.idle_ms, self.most = idle_ms * IDLE_PART, most
        self.links: set[Link] = set()
        self._idle: OrderedDict[Link, None] = OrderedDict()  # longest kept first
        self._by_place: dict[Place, list[Link]] = {}
        self.counts: Counter[str] = Counter()

    def __str__(self) -> str:
        return (
            f"stores: {len(self.links)} connections, {len(self._idle)} idle, {self.counts['dialled']} dialled"
        )

    def kept(self, place: Place) -> Link | None:
        """A kept connection that has rested and on which nothing has come since."""
        now = self.clock()
        for link in reversed(self._by_place.get(place, ())[:]):
            if now - link.kept_at < REST_MS:
                continue
            if now - link.kept_at < self.idle_ms and sockets.silent(link.sock):
                self._unkeep(link)
                self.counts["reused"] += 1
                return link
            link.close()
        return None

    def _unkeep(self, link: Link) -> None:
        del self._idle[link]
        line = self._by_place[link.place]
        line.remove(link)
        if not line:
            del self._by_place[link.place]

    def dial(self, place: Place) -> Link:
        """Begin a new connection. OSError where it can't be begun."""
        if len(self.links) >= self.most:
            if not self._idle:
                raise OSError(errno.EMFILE, "as many connections to stores as may be are in use")
            next(iter(self._idle)).close()
        host, _, port = place[1].rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sockets.stamped(sock)
            fault = sock.connect_ex((host, int(port)))
            if fault not in (0, errno.EINPROGRESS):
                raise OSError(fault, os.strerror(fault))
        except BaseException:
            sock.close()
            raise
        link = Link(self, place, sock)
        self.links.add(link)
        self.counts["dialled"] += 1
        self.loop.add_writer(sock.fileno(), link.writable)
        return link

    def keep(self, link: Link, since: float) -> None:
        """Keep a connection whose exchange is over; its store counts it as idle since then."""
        link.codec.next_cycle()
        link.kept_at = since
        self._idle[link] = None
        self._by_place.setdefault(link.place, []).append(link)

    def closed(self, link: Link) -> None:
        """Close a connection and forget it."""
        if link not in self.links:
            return
        self.links.discard(link)
        if link in self._idle:
            self._unkeep(link)
        self.loop.remove_reader(link.sock.fileno())
        self.loop.remove_writer(link.sock.fileno())
        link.sock.close()

    def forget(self, place: Place) -> None:
        """Close what is idle at a place."""
        for link in list(self._by_place.get(place, ())):
            link.close()

    def sweep(self, places: set[Place]) -> None:
        """Close what has been idle for long, or is kept at a place that no list names."""
        old = self.clock() - self.idle_ms
        for link in [link for link in self._idle if link.kept_at <= old or link.place not in places]:
            link.close()

    def close(self) -> None:
        """Close all that is idle."""
        for link in list(self._idle):
            link.close()
