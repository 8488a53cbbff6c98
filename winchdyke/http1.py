"""HTTP/1.1 codecs for servers and clients, without I/O. Only this module uses the parser library (h11).

To use another parser, replace :class:`ServerCodec` and :class:`ClientCodec`. Protocol violations by a peer
raise :class:`ProtocolError` with a response status and a reason code.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import h11

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


class ServerCodec:
    """The server's side of one connection: parses requests and serializes responses.

    ``header_bytes`` limits the size of a request's head.
    """

    def __init__(self, header_bytes: int) -> None:
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        self._header_bytes = header_bytes

    def feed(self, data: bytes) -> None:
        """Add received bytes to the buffer."""
        self._h11.receive_data(data)

    def head(self) -> RequestHead | NeedData | None:
        """Return the next request's head, or None if the client has closed between requests."""
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            reason = "head-too-large" if status == 431 else "bad-http"
            raise ProtocolError(status, reason, str(error)) from error
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            return NEED_DATA
        headers = list(event.headers)
        names = [name for name, _ in headers]
        # The parser limits only incomplete heads; a head that arrived in one piece is checked here.
        if (
            len(event.target) + sum(len(name) + len(value) + 4 for name, value in headers)
            > self._header_bytes
        ):
            raise ProtocolError(431, "head-too-large", f"the head is larger than {self._header_bytes} bytes")
        if b"transfer-encoding" in names and b"content-length" in names:
            raise ProtocolError(
                400, "conflicting-length", "Transfer-Encoding and Content-Length are both given"
            )
        if names.count(b"host") > 1:
            raise ProtocolError(400, "bad-http", "more than one Host header")
        length = None if b"transfer-encoding" in names else _content_length(headers) or 0
        if length == 0:
            self._h11.next_event()  # consumes the end of the empty body
        return RequestHead(event.method.decode("ascii"), event.target, headers, length)

    def body(self) -> Bytes | NeedData | EndOfBody:
        """Return the next piece of the request's body."""
        if self.body_done:
            # After "Connection: close", h11 reports no event for the end of a body that was read with the
            # head. Without this check the caller would wait for data that never arrives.
            return END_OF_BODY
        try:
            event = self._h11.next_event()
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
        return bool(self._h11.trailing_data[0])

    def next_cycle(self) -> None:
        """Prepare for the next request on this connection."""
        self._h11.start_next_cycle()


class ClientCodec:
    """The client's side of one connection: serializes requests and parses responses.

    ``header_bytes`` limits the size of a response's head.
    """

    def __init__(self, header_bytes: int) -> None:
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=header_bytes)

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
        self._h11.receive_data(data)

    def head(self) -> ResponseHead | NeedData:
        """Return the response's head. Informational responses are skipped."""
        try:
            while True:
                event = self._h11.next_event()
                if isinstance(event, h11.Response):
                    headers = list(event.headers)
                    chunked = any(name == b"transfer-encoding" for name, _ in headers)
                    return ResponseHead(
                        event.status_code, headers, None if chunked else _content_length(headers)
                    )
                if not isinstance(event, h11.InformationalResponse):
                    return NEED_DATA
        except h11.RemoteProtocolError as error:
            raise ProtocolError(502, "store-http", str(error)) from error

    def body(self) -> Bytes | NeedData | EndOfBody:
        """Return the next piece of the response's body."""
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise ProtocolError(502, "store-cut", str(error)) from error
        if isinstance(event, h11.Data):
            return event.data
        return END_OF_BODY if isinstance(event, h11.EndOfMessage) else NEED_DATA

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        clean = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        return clean and not self._h11.trailing_data[0]

    def next_cycle(self) -> None:
        """Prepare for the next request on this connection."""
        self._h11.start_next_cycle()
