"""One attempt at a store, from taking a connection to its outcome. The scheduler chooses the store.

A request certainly *never ran* if its last byte was not passed to the kernel, or if the store declined it. In
all other cases it may have run.

====================  =========================================================================  =========
outcome               cause                                                                      never ran
====================  =========================================================================  =========
``CONNECT_FAILED``    no connection was established, or it broke before the request's last byte  yes
                      was written
``NOT_SENT``          the deadline passed, no descriptor was left, or the attempt was abandoned  yes
                      before the last byte was written
``SHED``              the store declined the request                                             yes
``CONNECTION_RESET``  the connection broke after the request's last byte was written or within   no
                      the response, or the response was malformed
``ERROR``             a response with a status other than 200                                    no
``TIMED_OUT``         no complete response by the deadline                                       no
``CANCELLED``         the scheduler cancelled the attempt                                        no
``SERVED``            a complete response with status 200                                        no
====================  =========================================================================  =========
"""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable

from winchdyke.gateway.pool import RESOURCE_EXHAUSTION_ERRNOS
from winchdyke.interface import AttemptOutcome
from winchdyke.peer_limits.turn_budget import UNITS_PER_PEER, receive_units
from winchdyke.platform import protocol, sockets
from winchdyke.platform.protocol import AttemptResult
from winchdyke.platform.upstream_connection import EndpointAddress, UpstreamConnection
from winchdyke.platform.upstream_deadline import AttemptDeadline
from winchdyke.platform.upstream_pool import UpstreamPool
from winchdyke.platform.upstream_response import MalformedResponseError, ResponseProgress, ResponseReader

# A response without a length ends when its connection closes, which happens shortly after the last byte. If
# the connection stays open for longer than this, the response is malformed.
CLOSE_DELIMITED_TIMEOUT_MS = 100.0
LOCAL_RESOURCE_ERRORS = (*RESOURCE_EXHAUSTION_ERRNOS, errno.EADDRNOTAVAIL)
RESPONSE_OUTCOMES = (AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.SHED)


class UpstreamAttempt:
    """One request to one store.

    ``on_finished`` is called once, with the attempt, its result and its latency in milliseconds. Times are
    milliseconds of the pool's clock.
    """

    __slots__ = (
        "_client_connected",
        "_connection",
        "_deadline",
        "_fully_written",
        "_has_unparsed",
        "_last_byte_at_ms",
        "_opened_connection",
        "_pool",
        "_reading_paused",
        "_response",
        "_unsent",
        "body",
        "deadline_ms",
        "endpoint",
        "finished",
        "on_finished",
        "request",
        "started_at_ms",
        "write_deadline_ms",
        "written_at_ms",
    )

    def __init__(
        self,
        pool: UpstreamPool,
        endpoint: EndpointAddress,
        request: protocol.ParsedRequest,
        deadline_ms: float,
        on_finished: Callable[[UpstreamAttempt, AttemptResult, float], None],
        write_deadline_ms: float = float("inf"),
        client_connected: Callable[[], bool] = lambda: True,
    ) -> None:
        """Prepare an attempt.

        The attempt is abandoned if it would write after ``write_deadline_ms``, or if ``client_connected``
        returns False when a new connection is established and nothing was written yet.
        """
        self._pool = pool
        self.endpoint = endpoint
        self.request = request
        self.deadline_ms = deadline_ms
        self.on_finished = on_finished
        self.write_deadline_ms = write_deadline_ms
        self._client_connected = client_connected
        self.started_at_ms = pool.clock()
        self.finished = False
        self.body = b""
        self._connection: UpstreamConnection | None = None
        self._response = ResponseReader(pool.response_memory, pool.load_report_fields, self._on_evicted)
        self._deadline = AttemptDeadline(pool.loop)
        self._unsent: memoryview | None = None
        self._last_byte_at_ms = 0.0
        self._opened_connection = False
        self._reading_paused = False
        self._has_unparsed = False  # received bytes wait for a later turn of the event loop
        self._fully_written = False  # True once the kernel has the last byte: the store may run the request
        self.written_at_ms = -1e18  # when the last byte was written; far in the past until then

    def start(self) -> None:
        """Send the request on an idle connection, or open a new one."""
        pool = self._pool
        while (connection := pool.take_idle(self.endpoint)) is not None:
            connection.attempt = self
            self._connection = connection
            if self._write():
                self._set_deadline(self.deadline_ms)
                return
        self._connect()

    def cancel(self) -> None:
        """Cancel the attempt; a response that has already arrived still counts."""
        if not self.finished and self._connection is not None and self._connection.established:
            self._read()
        outcome = AttemptOutcome.CANCELLED if self._fully_written else AttemptOutcome.NOT_SENT
        self._finish(AttemptResult(outcome))

    def abandon(self) -> None:
        """End the attempt unless its request was written completely; an abandoned request never ran."""
        if self._fully_written:
            return
        if not self.finished:
            self._pool.counts["attempts_abandoned"] += 1
        self._finish(AttemptResult(AttemptOutcome.NOT_SENT))

    def on_writable(self) -> None:
        """Continue after the connect has finished, or write more of the request."""
        connection = self._connection
        assert connection is not None
        if not connection.established and not self._on_connected(connection):
            return
        too_late = self._pool.clock() > self.write_deadline_ms
        if too_late or (self._unsent is None and not self._client_connected()):
            self.abandon()
        else:
            self._write()

    def on_readable(self) -> None:
        """Read the data that has arrived, in a later turn of the event loop if this turn's budget is spent."""
        if self._pool.turn_budget.exhausted:
            self._defer()
        else:
            self._read()

    def _defer(self) -> None:
        """Continue in a later turn of the event loop; until then nothing more is read."""
        connection = self._connection
        assert connection is not None
        if not self._reading_paused:
            self._reading_paused = True
            self._pool.loop.remove_reader(connection.sock.fileno())
        self._pool.turn_budget.defer(self, self._read)

    def _resume_reading(self, connection: UpstreamConnection) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self._pool.turn_budget.cancel(self)
            self._pool.loop.add_reader(connection.sock.fileno(), connection.on_readable)

    def _read(self) -> None:
        """Parse what is left of the last read, or read from the socket, with the work that one peer may use."""
        connection = self._connection
        assert connection is not None
        budget = self._pool.turn_budget
        self._resume_reading(connection)
        units_left = UNITS_PER_PEER
        while not self.finished and units_left > 0:
            units_before = connection.codec.work_units
            received_bytes = 0 if self._has_unparsed else self._receive(connection)
            goes_on = received_bytes is not None and self._on_received(connection)
            units = connection.codec.work_units - units_before + receive_units(received_bytes or 0)
            budget.spend(units)
            units_left -= units
            if not goes_on or received_bytes is None or received_bytes < sockets.MAX_RECEIVE_BYTES:
                return

    def _receive(self, connection: UpstreamConnection) -> int | None:
        """Read from the socket once; return the number of bytes, None if there is nothing to parse."""
        try:
            data, self._last_byte_at_ms = sockets.receive(connection.sock)
        except BlockingIOError:
            return None
        except OSError as error:
            self._fail_broken(os.strerror(error.errno or 0))
            return None
        if not data and not self._response.close_delimited:
            self._fail_broken("ended")  # the body is shorter than its head says
            return None
        self._response.feed(connection.codec, data)
        return len(data)

    def _on_received(self, connection: UpstreamConnection) -> bool:
        """Parse received bytes; return whether more bytes may be read in this turn."""
        response = self._response
        try:
            progress = response.read(connection.codec, UNITS_PER_PEER)
        except MalformedResponseError as error:
            self._fail_malformed(error.reason)
            return False
        if self.finished:
            return False  # evicted for the memory of other responses
        self._has_unparsed = progress is ResponseProgress.HAS_MORE_WORK
        if progress is ResponseProgress.COMPLETE:
            self._on_response()
            return False
        if response.close_delimited:
            self._set_deadline(min(self.deadline_ms, self._pool.clock() + CLOSE_DELIMITED_TIMEOUT_MS))
        if response.exceeds_wire_limit:
            self._fail_malformed("too-large")
            return False
        if self._has_unparsed:
            self._defer()
            return False
        return True

    def _on_evicted(self) -> None:
        self._pool.counts["responses_evicted"] += 1
        self._finish(AttemptResult(AttemptOutcome.CONNECTION_RESET))

    def _on_response(self) -> None:
        result = self._response.result
        assert result is not None
        self.body = self._response.body
        if not self._fully_written and result.outcome is not AttemptOutcome.SHED:
            # A store processes a request only after its last byte, which was not written yet. This response
            # must belong to an earlier request.
            self._pool.counts["early_responses"] += 1
            result = AttemptResult(AttemptOutcome.NOT_SENT)
        self._finish(result)

    def _connect(self) -> None:
        pool = self._pool
        self._opened_connection = True
        try:
            connection = pool.connect(self.endpoint)
        except OSError as error:
            self._fail_connect(error.errno)
            return
        connection.attempt = self
        self._connection = connection
        self._set_deadline(min(self.deadline_ms, self.started_at_ms + pool.connect_timeout_ms))
        if sockets.connect_has_finished(connection.sock):
            self.on_writable()

    def _on_connected(self, connection: UpstreamConnection) -> bool:
        """Check the result of the connect; return whether it succeeded."""
        sock = connection.sock
        connect_error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if connect_error:
            self._fail_connect(connect_error)
            return False
        connection.established = True
        self._pool.loop.remove_writer(sock.fileno())
        self._pool.loop.add_reader(sock.fileno(), connection.on_readable)
        self._set_deadline(self.deadline_ms)
        return True

    def _fail_connect(self, error_number: int | None) -> None:
        local = error_number in LOCAL_RESOURCE_ERRORS
        self._finish(AttemptResult(AttemptOutcome.NOT_SENT if local else AttemptOutcome.CONNECT_FAILED))

    def _set_deadline(self, due_at_ms: float) -> None:
        self._pool.turn_budget.cancel(self._deadline)
        self._deadline.set(due_at_ms, self._on_deadline)

    def _on_deadline(self) -> None:
        connection = self._connection
        due_at_ms = self._deadline.due_at_ms
        assert connection is not None
        # The event loop may be late: data that is already in the socket takes precedence over the deadline.
        if connection.established and self._pool.turn_budget.exhausted:
            self._pool.turn_budget.defer(self._deadline, self._on_deadline)
            return
        if connection.established:
            self._read()
        elif sockets.connect_has_finished(connection.sock):
            self.on_writable()
        if self.finished or self._deadline.due_at_ms != due_at_ms:
            return  # the attempt has just finished, or was connected and has a new deadline
        self._fail_timed_out(connection, due_at_ms)

    def _fail_timed_out(self, connection: UpstreamConnection, due_at_ms: float) -> None:
        before_deadline = due_at_ms < self.deadline_ms
        if self._response.close_delimited and before_deadline:
            self._fail_malformed("length")
        elif self._fully_written:
            self._finish(AttemptResult(AttemptOutcome.TIMED_OUT))
        elif not connection.established and before_deadline:
            self._finish(AttemptResult(AttemptOutcome.CONNECT_FAILED))
        else:
            self._finish(AttemptResult(AttemptOutcome.NOT_SENT))

    def _serialize_request(self, connection: UpstreamConnection) -> bytes:
        codec = connection.codec
        request = self.request
        headers = protocol.upstream_headers(request, self.deadline_ms - self._pool.clock())
        payload = codec.request(request.method, request.target, headers)
        if request.body:
            payload += codec.data(request.body)
        return payload + codec.end()

    def _write(self) -> bool:
        """Write the rest of the request; return False if a reused connection failed at the first write."""
        connection = self._connection
        assert connection is not None
        first_write = self._unsent is None
        unsent = memoryview(self._serialize_request(connection)) if self._unsent is None else self._unsent
        try:
            sent_bytes = connection.sock.send(unsent)
        except BlockingIOError:
            sent_bytes = 0
        except OSError:
            if first_write and not self._opened_connection:
                connection.attempt = None
                connection.close()
                return False
            self._finish(AttemptResult(AttemptOutcome.CONNECT_FAILED))  # the last byte was not written
            return True
        self._on_sent(connection, unsent, sent_bytes)
        return True

    def _on_sent(self, connection: UpstreamConnection, unsent: memoryview, sent_bytes: int) -> None:
        loop = self._pool.loop
        if sent_bytes < len(unsent):
            if self._unsent is None:
                loop.add_writer(connection.sock.fileno(), connection.on_writable)
            self._unsent = unsent[sent_bytes:]
            return
        self._fully_written = True
        self.written_at_ms = self._pool.clock()
        if self._unsent is not None:
            loop.remove_writer(connection.sock.fileno())
        self._unsent = None

    def _fail_broken(self, reason: str) -> None:
        self._pool.counts[f"connection_broken:{reason}"] += 1
        # Only a request that was not written completely is known not to have run.
        outcome = AttemptOutcome.CONNECTION_RESET if self._fully_written else AttemptOutcome.CONNECT_FAILED
        self._finish(AttemptResult(outcome))

    def _fail_malformed(self, reason: str) -> None:
        self._pool.counts[f"malformed_response:{reason}"] += 1
        self._finish(AttemptResult(AttemptOutcome.CONNECTION_RESET))

    def _finish(self, result: AttemptResult) -> None:
        if self.finished:
            return
        self.finished = True
        self._response.release()
        self._deadline.cancel()
        self._pool.turn_budget.cancel(self)
        self._pool.turn_budget.cancel(self._deadline)
        responded = result.outcome in RESPONSE_OUTCOMES
        self._release_connection(responded)
        if result.outcome is AttemptOutcome.TIMED_OUT:
            # Idle connections to an unresponsive machine may be dead too; a new connection fails sooner.
            self._pool.close_idle_to(self.endpoint)
        ended_at_ms = self._last_byte_at_ms if responded else self._pool.clock()
        self.on_finished(self, result, max(0.0, ended_at_ms - self.started_at_ms))

    def _release_connection(self, responded: bool) -> None:
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        connection.attempt = None
        if responded and self._fully_written and connection.codec.reusable:
            self._pool.release(connection, self._last_byte_at_ms)
        else:
            connection.close()
