"""HTTP/1.1 codecs for servers and clients, without I/O. Only this module uses the parser library (h11).

To use another parser, replace :class:`ServerCodec` and :class:`ClientCodec`. Protocol violations by a peer
raise :class:`ProtocolError` with a response status and a reason code.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import h11

from winchdyke.peer_limits.message_gate import FramingLimitError, MessageGate

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
Headers = list[tuple[bytes, bytes]]
Bytes = bytes | bytearray  # a piece of a body, in the type in which the parser returns it


class ProtocolError(Exception):
    """The peer violated the protocol.

    Attributes:
        status: The status with which a server should respond.
        reason: The reason code, such as ``bad-http``.
    """

    def __init__(self, status: int, reason: str, text: str) -> None:
        super().__init__(text)
        self.status, self.reason = status, reason


@dataclass(slots=True)
class RequestHead:
    """A request's head; ``length`` is in bytes, or None if the body is chunked."""

    method: str
    target: bytes
    headers: Headers
    length: int | None

    def get(self, name: bytes) -> str | None:
        """Return a header's value by its lower-case name, or None; joins repeated headers with commas."""
        found = [value for key, value in self.headers if key == name]
        return b", ".join(found).decode("latin-1") if found else None


@dataclass(slots=True)
class ResponseHead:
    """A response's head; ``length`` is in bytes, or None if the head has no Content-Length or is chunked."""

    status: int
    headers: Headers
    length: int | None

    def get(self, name: bytes) -> str | None:
        """Return a header's value by its lower-case name, or None; joins repeated headers with commas."""
        found = [value for key, value in self.headers if key == name]
        return b", ".join(found).decode("latin-1") if found else None


class NeedData:
    """The codec needs more bytes to continue."""


class EndOfBody:
    """The message is complete."""


NEED_DATA, END_OF_BODY = NeedData(), EndOfBody()


def _serialize_body(connection: h11.Connection, data: Bytes) -> Bytes:
    """Return a piece of a body with its framing; the data is not copied if no framing is added."""
    parts = connection.send_with_data_passthrough(h11.Data(data=data)) or []  # type: ignore[arg-type]
    return parts[0] if len(parts) == 1 else b"".join(parts)


def _content_length(headers: Headers) -> int | None:
    given = {value for name, value in headers if name == b"content-length"}
    return int(next(iter(given))) if given else None


_Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class _Receiver:
    """The receiving side of a connection: gives the parser no more than :class:`MessageGate` lets pass.

    Raises FramingLimitError and h11.RemoteProtocolError.
    """

    def __init__(self, parser: h11.Connection, max_head_bytes: int) -> None:
        self.gate = MessageGate(max_head_bytes)
        self._parser = parser
        self._chunked = False
        # The bytes that the parser was not given yet of a body with a length; None if it has no length.
        self._body_bytes_left: int | None = None
        self._parser_is_empty = True  # it can't continue without more bytes
        self._closed = False
        self._parser_knows_close = False

    @property
    def buffered_bytes(self) -> int:
        """The number of received bytes that are buffered, here and by the parser."""
        return self.gate.waiting_bytes + len(self._parser.trailing_data[0])

    def feed(self, data: bytes) -> None:
        """Add received bytes; empty if the peer has closed."""
        if data:
            self.gate.feed(data)
        else:
            self._closed = True

    def next_event(self) -> _Event:
        """Return the parser's next event."""
        state = self._parser.their_state
        if state is h11.SEND_BODY:
            return self._next_body_event()
        if state in (h11.IDLE, h11.SEND_RESPONSE):
            return self._next_head_event()
        return self._parser.next_event()

    def _next_head_event(self) -> _Event:
        head = self.gate.take_head(self._parser.trailing_data[0])
        if head is None and not self._closed:
            return h11.NEED_DATA
        self._pass(self.gate.take_body() if head is None else head)
        event = self._parser.next_event()
        if isinstance(event, (h11.Request, h11.Response)):
            self._start_body(event)
        return event

    def _start_body(self, head: h11.Request | h11.Response) -> None:
        headers = list(head.headers)
        self._chunked = any(name == b"transfer-encoding" for name, _ in headers)
        self._body_bytes_left = None if self._chunked else _content_length(headers)
        if self._body_bytes_left is None and isinstance(head, h11.Request):
            self._body_bytes_left = 0
        self._parser_is_empty = False
        self.gate.start_body()

    def _next_body_event(self) -> _Event:
        while True:
            event = h11.NEED_DATA if self._parser_is_empty else self._parser.next_event()
            if event is not h11.NEED_DATA:
                self._count(event)
                return event
            self._parser_is_empty = True
            piece = self._next_piece()
            if not piece and (not self._closed or self._parser_knows_close):
                return h11.NEED_DATA
            self._pass(piece)
            self._parser_is_empty = False

    def _next_piece(self) -> Bytes:
        if self._chunked:
            return self.gate.take_chunked(self._parser.trailing_data[0])
        if self._body_bytes_left is None:
            return self.gate.take_body()
        piece = self.gate.take_body(self._body_bytes_left)
        self._body_bytes_left -= len(piece)
        return piece

    def _count(self, event: _Event) -> None:
        if isinstance(event, h11.Data):
            self.gate.count_payload(len(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.gate.count_trailers(len(list(event.headers)))

    def _pass(self, data: Bytes) -> None:
        if data:
            self._parser.receive_data(data)  # type: ignore[arg-type]
        if self._closed and not self._parser_knows_close and not self.gate.waiting_bytes:
            self._parser_knows_close = True
            self._parser.receive_data(b"")


class ServerCodec:
    """The server's side of one connection: parses requests and serializes responses.

    ``header_bytes`` limits the size of a request's head.
    """

    def __init__(self, header_bytes: int) -> None:
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        self._receiver = _Receiver(self._h11, header_bytes)

    def feed(self, data: bytes) -> None:
        """Add received bytes to the buffer; empty if the client has closed."""
        self._receiver.feed(data)

    def discard_input(self) -> None:
        """Drop the received bytes that were not parsed yet; no further request can be read."""
        self._receiver.gate.clear()

    @property
    def work_units(self) -> int:
        """The parser's work so far, in units of about one header line."""
        return self._receiver.gate.work_units

    @property
    def buffered_bytes(self) -> int:
        """The number of received bytes that were not parsed yet."""
        return self._receiver.buffered_bytes

    def head(self) -> RequestHead | NeedData | None:
        """Return the next request's head, or None if the client has closed between requests."""
        try:
            event = self._receiver.next_event()
        except FramingLimitError as error:
            raise ProtocolError(431, "head-too-large", str(error)) from error
        except h11.RemoteProtocolError as error:
            raise ProtocolError(error.error_status_hint, "bad-http", str(error)) from error
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            return NEED_DATA
        headers = list(event.headers)
        names = [name for name, _ in headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise ProtocolError(
                400, "conflicting-length", "Transfer-Encoding and Content-Length are both given"
            )
        if names.count(b"host") > 1:
            raise ProtocolError(400, "bad-http", "more than one Host header")
        length = None if b"transfer-encoding" in names else _content_length(headers) or 0
        if length == 0:
            self._receiver.next_event()  # consumes the end of the empty body
        return RequestHead(event.method.decode("ascii"), event.target, headers, length)

    def body(self) -> Bytes | NeedData | EndOfBody:
        """Return the next piece of the request's body."""
        if self.body_done:
            # After "Connection: close", h11 reports no event for the end of a body that was read with the
            # head. Without this check the caller would wait for data that never arrives.
            return END_OF_BODY
        try:
            event = self._receiver.next_event()
        except FramingLimitError as error:
            raise ProtocolError(400, "body-framing", str(error)) from error
        except h11.RemoteProtocolError as error:
            raise ProtocolError(400, "body-cut", str(error)) from error
        if isinstance(event, h11.Data):
            return event.data
        return (
            END_OF_BODY
            if isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)) or event is h11.PAUSED
            else NEED_DATA
        )

    @property
    def body_done(self) -> bool:
        """Whether no more of the request's body is to be read.

        True once the request was read to its end, and also after a protocol error or after the client has closed. False before
        a request's head was read.
        """
        # IDLE: before the head; SEND_BODY: the client still sends. In all other states there is no body to wait for: DONE,
        # MUST_CLOSE, MIGHT_SWITCH_PROTOCOL and SWITCHED_PROTOCOL follow the end of a request; CLOSED and ERROR have no more data.
        return self._h11.their_state not in (h11.SEND_BODY, h11.IDLE)

    @property
    def waiting_for_continue(self) -> bool:
        """Whether the client waits for ``100 Continue`` before it sends the body."""
        return bool(self._h11.they_are_waiting_for_100_continue)

    def continue_response(self) -> bytes:
        """Serialize a ``100 Continue`` response."""
        return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def response_head(self, status: int, headers: Headers) -> bytes:
        """Serialize a response's head."""
        # Some clients reject a status line that has no reason phrase.
        reason = REASON_PHRASES.get(status, b"")
        return self._h11.send(h11.Response(status_code=status, headers=headers, reason=reason)) or b""

    def data(self, data: Bytes) -> Bytes:
        """Serialize a piece of a response's body."""
        return _serialize_body(self._h11, data)

    def end(self) -> bytes:
        """Serialize the end of a response."""
        return self._h11.send(h11.EndOfMessage()) or b""

    def closing_response(self, status: int, headers: Headers, body: bytes) -> bytes:
        """Serialize a complete response with "Connection: close", without reading the rest of the request."""
        head = self.response_head(status, [*headers, (b"connection", b"close")])
        return head + self.data(body) + self.end()

    @property
    def can_respond(self) -> bool:
        """Whether no response has been started."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE

    @property
    def has_buffered_data(self) -> bool:
        """Whether bytes of the next request are in the buffer."""
        return bool(self._receiver.buffered_bytes)

    def next_cycle(self) -> None:
        """Prepare for the next request on this connection."""
        self._h11.start_next_cycle()


class ClientCodec:
    """The client's side of one connection: serializes requests and parses responses.

    ``header_bytes`` limits the size of a response's head.
    """

    def __init__(self, header_bytes: int) -> None:
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=header_bytes)
        self._receiver = _Receiver(self._h11, header_bytes)

    def request(self, method: str, target: bytes, headers: Headers) -> bytes:
        """Serialize a request's head."""
        return self._h11.send(h11.Request(method=method, target=target, headers=headers)) or b""

    def data(self, data: Bytes) -> Bytes:
        """Serialize a piece of the request's body."""
        return _serialize_body(self._h11, data)

    def end(self) -> bytes:
        """Serialize the end of the request."""
        return self._h11.send(h11.EndOfMessage()) or b""

    def feed(self, data: bytes) -> None:
        """Add received bytes to the buffer; empty if the server has closed."""
        self._receiver.feed(data)

    @property
    def work_units(self) -> int:
        """The parser's work so far, in units of about one header line."""
        return self._receiver.gate.work_units

    @property
    def buffered_bytes(self) -> int:
        """The number of received bytes that were not parsed yet."""
        return self._receiver.buffered_bytes

    def restart_framing_count(self) -> None:
        """Count chunked framing anew, for a body without an end that consists of many messages."""
        self._receiver.gate.start_body()

    def head(self) -> ResponseHead | NeedData:
        """Return the response's head. Informational responses are skipped."""
        try:
            while True:
                event = self._receiver.next_event()
                if isinstance(event, h11.Response):
                    headers = list(event.headers)
                    chunked = any(name == b"transfer-encoding" for name, _ in headers)
                    return ResponseHead(
                        event.status_code, headers, None if chunked else _content_length(headers)
                    )
                if not isinstance(event, h11.InformationalResponse):
                    return NEED_DATA
        except FramingLimitError as error:
            raise ProtocolError(502, "store-framing", str(error)) from error
        except h11.RemoteProtocolError as error:
            raise ProtocolError(502, "store-http", str(error)) from error

    def body(self) -> Bytes | NeedData | EndOfBody:
        """Return the next piece of the response's body."""
        try:
            event = self._receiver.next_event()
        except FramingLimitError as error:
            raise ProtocolError(502, "store-framing", str(error)) from error
        except h11.RemoteProtocolError as error:
            raise ProtocolError(502, "store-cut", str(error)) from error
        if isinstance(event, h11.Data):
            return event.data
        return END_OF_BODY if isinstance(event, h11.EndOfMessage) else NEED_DATA

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        clean = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        return clean and not self._receiver.buffered_bytes

    def next_cycle(self) -> None:
        """Prepare for the next request on this connection."""
        self._h11.start_next_cycle()
