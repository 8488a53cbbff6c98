"""The listener and its connections: requests in, one answer each out; strangers bounded in number, bytes and time."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections import Counter
from collections.abc import Callable
from enum import Enum, auto

from winchdyke.gateway.pool import RESOURCE_EXHAUSTION_ERRNOS
from winchdyke.http1 import End, Headers, Need, ProtocolError, RequestHead, ServerSide
from winchdyke.object_api import answers
from winchdyke.platform import protocol, sockets
from winchdyke.platform.room import Room

HEAD_MOST = 16 * 1024
AHEAD_MOST = (
    64 * 1024
)  # bytes kept while an answer is owed; what comes beyond is thrown away, and told behind the answers
GRACE_MS = 150.0  # from a connection's start, in which its request is still on its way
FIRST_MS = 2400.0  # from a connection's start, or from a request's first byte, to its whole request
IDLE_MS = 2000.0  # between requests: some clients ask once and stay, and hold what others need
WRITE_MS = 10_000.0  # for an answer to be taken by its client
LINGER_MS = 800.0  # after a last answer, for its client to read it before the connection goes
LINGER_MOST = (
    1024 * 1024
)  # bytes of a client's thrown away meanwhile; while an answer is owed, between two looks
LOOK_S = 0.1  # between looks at the times above
ACCEPT_MOST = 16  # connections taken at one turn of the loop
BACKLOG = 512


class State(Enum):
    """Where a connection is."""

    FRESH = auto()  # nothing whole has come yet
    READING = auto()  # a part of a request has come
    IDLE = auto()  # between requests
    OPEN = auto()  # a request is owed its answer
    WRITING = auto()  # an answer is being written
    LINGER = auto()  # an error was written; the client may read it
    ENDING = auto()  # an answer that says close was written; what the client sends now is not read
    CLOSED = auto()


class Client:
    """One connection."""

    __slots__ = (
        "_ahead",
        "_asked",
        "_body",
        "_codec",
        "_head",
        "_left",
        "_over",
        "_paused",
        "_ports",
        "_thrown",
        "came",
        "closing",
        "long",
        "on_gone",
        "since",
        "sock",
        "state",
    )

    def __init__(self, ports: Clients, sock: socket.socket) -> None:
        self._ports, self.sock = ports, sock
        self.state, self.since, self.came = State.FRESH, ports.clock(), 0.0
        self._codec = ServerSide(HEAD_MOST)
        self._head: RequestHead | None = None
        self._asked: protocol.ParsedRequest | None = None
        self._body = bytearray()
        self._left: memoryview | None = None
        self._ahead = self._thrown = self.long = 0
        self._paused = self._over = self.closing = False
        self.on_gone: Callable[[], None] | None = None

    def turn(self, state: State) -> None:
        """Go to a state."""
        self._ports.moved(self, state)

    def readable(self) -> None:
        """Bytes, or the end."""
        if self.state is State.CLOSED:
            return
        if self.state is State.ENDING:
            if not self.finished():
                self._pause()  # what came is left lying: it is not taken, and its client sends it on a new connection
            return
        try:
            data, self.came = sockets.receive(self.sock)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if self.state is State.LINGER:
            self._thrown += len(data)
            if not data or self._thrown > LINGER_MOST:
                self.close()
            return
        if not data:
            self.close()
            return
        if self._over or self.state in (
            State.OPEN,
            State.WRITING,
        ):  # behind a gap nothing is a request any more
            self._ahead += len(data)
            if self._ahead <= AHEAD_MOST and not self._over:
                self._codec.feed(data)
                return
            # Guards against a client's leaving that nobody sees, behind bytes that nobody reads: what it asked for would be sent
            # on. It hurts who sends so much ahead: what is beyond is never read, and told so.
            self._over = True
            self._thrown += len(data)
            if self._thrown > LINGER_MOST:
                self._pause()  # until the next look: one client must not have all of this gateway's time
            return
        self._codec.feed(data)
        self._advance()

    def _pause(self) -> None:
        if not self._paused:
            self._paused = True
            self._ports.loop.remove_reader(self.sock.fileno())

    def resume(self) -> None:
        """Go on reading."""
        if self._paused:
            self._paused, self._thrown = False, 0
            self._ports.loop.add_reader(self.sock.fileno(), self.readable)

    def finished(self) -> bool:
        """Close where the client has read its last answer, which its own end tells; whether it has."""
        return not self.stays()

    def stays(self) -> bool:
        """Whether its client is there still, by what its socket holds."""
        # Guards against a leave that came with what else a late loop finds, and would be read after it.
        if self.state is not State.CLOSED and sockets.ended(self.sock):
            self.close()
        return self.state is not State.CLOSED

    def look(self) -> None:
        """Go on with what was taken in and not looked at, or with what has come."""
        if self.state is State.IDLE and (self._codec.more or self._over):
            self._advance()
        elif not sockets.silent(self.sock):
            self.readable()

    def _advance(self) -> None:
        if self.state not in (State.FRESH, State.IDLE, State.READING):
            return
        try:
            if self._head is None:
                head = self._codec.head()
                if isinstance(head, Need):
                    self._wait_for_more()
                    return
                if head is None:
                    self.close()
                    return
                if head.target == protocol.READY and head.method == "GET":
                    self._head, self.closing = head, True  # whoever asks that, by hundreds maybe, asks once
                    self.turn(State.OPEN)
                    self.answer(200, [(b"content-length", b"6")], b"ready\n")
                    return
                self._asked = self._ports.reader.asked(head)
                self._head = head
                self._hold(head.length or 0)
                if head.length != 0 and self._codec.waiting_for_continue:
                    self.sock.send(self._codec.go_on())
            assert self._asked is not None
            while not self._codec.body_done:
                piece = self._codec.body()
                if isinstance(piece, Need):
                    self._wait_for_more()
                    return
                if isinstance(piece, End):
                    break
                self._body += piece
                self._hold(len(self._body))
        except ProtocolError as error:
            self.reject(error.status, error.reason, str(error))
            return
        except OSError:
            self.close()
            return
        # Guards against sending on for a client whose leaving lies behind its request: where this gateway was off its core,
        # or took no connection for a while, both are found together, and the request would go before the leave is read.
        if not self.stays():
            self._ports.counts["gone-before-look"] += 1
            return
        asked, self._asked, asked.body = self._asked, None, bytes(self._body)
        self._body.clear()
        self.turn(State.OPEN)
        try:
            self._ports.take(self, asked, self.came)
        except ProtocolError as error:
            self.reject(error.status, error.reason, str(error))

    def _hold(self, length: int) -> None:
        """Keep room for a body so long, where that is beyond the protocol's bound."""
        # Guards against long bodies that together take this machine's memory. It hurts the one that comes when all room is held.
        more = length - self.long
        if length <= protocol.BODY_MOST or more <= 0:
            return
        if length > self._ports.reader.body_most:
            raise protocol.too_large(self._ports.reader.body_most)
        if self._ports.long + more > self._ports.long_most:
            raise ProtocolError(503, "too-large", "all room for long bodies is held; try again")
        self.long, self._ports.long = length, self._ports.long + more

    def _wait_for_more(self) -> None:
        if self._over:
            raise ProtocolError(
                413, "too-large", f"more than {AHEAD_MOST} bytes were sent ahead of an answer"
            )
        if self.state is State.IDLE:
            self.turn(State.READING)

    def reject(self, status: int, reason: str, text: str) -> None:
        """Answer an error, and close once the client has had time to read it."""
        self._ports.counts[reason] += 1
        self.on_gone = None
        try:
            self.sock.send(ServerSide(1024).unasked(*_error(status, reason, text)))
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.turn(State.LINGER)
        self.resume()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """The one answer to the request that is open."""
        if self.state is not State.OPEN:
            return
        self.on_gone = None
        self.closing = self.closing or self._ports.closing
        if self.closing:
            headers = [*headers, (b"connection", b"close")]
        codec = self._codec
        sent = codec.answer(status, headers) + (codec.data(body) if body else b"") + codec.end()
        self.turn(State.WRITING)
        self._write(memoryview(sent))

    def _write(self, left: memoryview) -> None:
        try:
            sent = self.sock.send(left)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        if sent < len(left):
            if self._left is None:
                self._ports.loop.add_writer(self.sock.fileno(), self._writable)
            self._left = left[sent:]
            return
        if self._left is not None:
            self._left = None
            self._ports.loop.remove_writer(self.sock.fileno())
        self._answered()

    def _writable(self) -> None:
        if self._left is not None:
            self._write(self._left)

    def _answered(self) -> None:
        if self.closing or not self._codec.reusable:
            self._end()
            return
        more = self._codec.more or self._over
        self._codec.next_cycle()
        self._head, self._ahead = None, 0
        self.turn(State.IDLE)
        self._ports.trim()
        if not self._over:
            self.resume()
        if more:
            self._ports.loop.call_soon(self._advance)  # others first: many requests may have come at once

    def _end(self) -> None:
        """No more is answered here."""
        # Guards against an answer that a reset destroys on its way: closing a connection with bytes unread sends one, and
        # clients send on each that is open. It hurts by a connection held until its client ends it.
        if self._head is not None and self._head.target == protocol.READY:
            self.close()
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.turn(State.ENDING)
        self.resume()
        self.readable()

    def overdue(self) -> None:
        """Its time is up: who has sent a part of a request is told so."""
        if self._begun:
            self.reject(408, "head-slow", "the request did not arrive in time")
        else:
            self.close()

    def give_place(self) -> None:
        """Close for another's sake: who has sent a part of a request is told so."""
        if self._begun:
            with contextlib.suppress(OSError):
                said = _error(503, "too-many-connections", "this gateway holds as many connections as it may")
                self.sock.send(ServerSide(1024).unasked(*said))
        self.close()

    @property
    def _begun(self) -> bool:
        """Whether a part of a request has come: a connection that is closed on it with no answer is a request lost."""
        return self.state is State.READING or (self.state is State.FRESH and self.came > 0)

    def close(self) -> None:
        """Close; whoever waits for the answer is told that its client has gone."""
        if self.state is State.CLOSED:
            return
        gone, self.on_gone = self.on_gone, None
        self._ports.loop.remove_reader(self.sock.fileno())
        self._ports.loop.remove_writer(self.sock.fileno())
        self.turn(State.CLOSED)
        self.sock.close()
        if gone is not None:
            gone()


def _error(status: int, reason: str, text: str) -> tuple[int, Headers, bytes]:
    return answers.error(status, "refused", reason, "-", text)


class Clients:
    """All connections of clients."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        sock: socket.socket,
        reader: protocol.Reader,
        take: Callable[[Client, protocol.ParsedRequest, float], None],
        most: int,
        long_most: float = 0.0,
    ) -> None:
        self.loop, self.clock, self.reader, self.take, self.most = loop, clock, reader, take, most
        self.long, self.long_most = (
            0,
            long_most,
        )  # bytes of bodies beyond the protocol's bound: held, and at most
        self._sock, self._accepting, self._waiting = sock, False, False
        self.closing = False  # every answer says that its connection ends
        self.keep_idle = False  # no new ones will come in the place of what is ended
        # By state, each in the order of its coming there: who has been silent longest stands first.
        self.by_state: dict[State, dict[Client, None]] = {state: {} for state in State}
        self.count, self._room = 0, Room(clock())
        self.counts: Counter[str] = Counter()
        loop.call_later(LOOK_S, self._look)

    def accept(self, on: bool) -> None:
        """Take connections, or leave them in the queue."""
        if self._sock.fileno() < 0:
            return
        if on and not self._accepting:
            self.loop.add_reader(self._sock.fileno(), self._arrived)
        elif not on and self._accepting:
            self.loop.remove_reader(self._sock.fileno())
        self._accepting = on

    def moved(self, client: Client, state: State) -> None:
        """A connection goes to another state."""
        self.by_state[client.state].pop(client, None)
        if client.long and state not in (State.OPEN, State.READING):
            self.long, client.long = self.long - client.long, 0
        client.state, client.since = state, self.clock()
        if state is State.CLOSED:
            self.count -= 1
            if self._waiting:
                self._go_on()
        else:
            self.by_state[state][client] = None

    def _arrived(self) -> bool:
        """Take what stands in the queue; whether that was all."""
        for _ in range(ACCEPT_MOST):
            if self.count >= self.most and not self._make_room():
                self._wait()  # every one is owed an answer, or has just come
                return True
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS and not self._make_room():
                    self._wait()
                    return True
                if error.errno not in (*RESOURCE_EXHAUSTION_ERRNOS, errno.ECONNABORTED):
                    return True
                continue
            try:
                sockets.stamped(sock)
            except OSError:
                sock.close()
                continue
            client = Client(self, sock)
            self.count += 1
            self.by_state[State.FRESH][client] = None
            self.loop.add_reader(sock.fileno(), client.readable)
            client.readable()
        return False

    def _wait(self) -> None:
        """Leave the queue alone for a moment, or until a connection ends."""
        self.accept(False)
        self._waiting = True
        self.loop.call_later(LOOK_S / 2, self._go_on)

    def _go_on(self) -> None:
        if self._waiting:
            self._waiting = False
            self.accept(True)

    def trim(self) -> None:
        """Close what is idle beyond what is worth keeping, the longest idle first."""
        if self.keep_idle:
            return
        idle = self.by_state[State.IDLE]
        most = self._room.keeps(self.clock(), self.busy)
        while len(idle) > most:
            self.counts["idle-beyond-use"] += self._unless_heard(next(iter(idle)), Client.close)

    def _make_room(self) -> bool:
        """Close whoever is silent longest; who has said something is read first."""
        # Guards against strangers who take every connection and say nothing, whatever they want. It hurts a client that
        # keeps a connection between requests: it makes a new one. Who has just come is let be: hundreds at a time
        # would else take those along whose request is on its way.
        young = self.clock() - GRACE_MS
        for state in (State.ENDING, State.LINGER, State.FRESH, State.READING, State.IDLE):
            for client in list(self.by_state[state]):
                if state is State.FRESH and client.since > young:
                    break
                self._unless_heard(client, Client.give_place)
                if client.state is State.CLOSED:
                    self.counts["made-room"] += 1
                    return True
        return False

    def _look(self) -> None:
        now = self.clock()
        for client in list(self.by_state[State.ENDING]):
            client.finished()
        for client in [*self.by_state[State.OPEN], *self.by_state[State.WRITING]]:
            client.resume()
        for state, most in (
            (State.FRESH, FIRST_MS),
            (State.READING, FIRST_MS),
            (State.IDLE, IDLE_MS),
            (State.LINGER, LINGER_MS),
            (State.ENDING, LINGER_MS),
            (State.WRITING, WRITE_MS),
        ):
            if state is State.IDLE and self.keep_idle:
                continue
            for client in list(self.by_state[state]):
                if now - client.since < most:
                    break
                self._unless_heard(client, Client.overdue)
        self.loop.call_later(LOOK_S, self._look)

    @staticmethod
    def _unless_heard(client: Client, end: Callable[[Client], None]) -> bool:
        """End a connection unless what has come on it, which is read first, takes it on; whether it was ended."""
        state = client.state
        if state not in (State.LINGER, State.ENDING, State.WRITING):
            client.look()
        if client.state is not state:
            return False
        end(client)
        return True

    @property
    def busy(self) -> int:
        """How many are owed an answer."""
        return len(self.by_state[State.OPEN]) + len(self.by_state[State.WRITING])

    def hang_up(self) -> None:
        """Close what is between requests."""
        for client in list(self.by_state[State.IDLE]):
            self._unless_heard(client, Client.close)

    @property
    def unsettled(self) -> bool:
        """Whether requests may be on their way in, or last answers on their way out."""
        return any(self.by_state[s] for s in (State.FRESH, State.READING, State.LINGER, State.ENDING))

    def look_last(self) -> bool:
        """Take in all that has come; whether nothing is owed."""
        while not self._arrived():
            pass
        for state in (State.FRESH, State.READING, State.IDLE):
            for client in list(self.by_state[state]):
                client.look()
        return not self.busy

    def close(self) -> None:
        """Close all; who comes then is turned away by the system."""
        self.accept(False)
        self._sock.close()
        for clients in self.by_state.values():
            for client in list(clients):
                client.close()
