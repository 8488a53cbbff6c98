"""HTTP/1.1 behind one small seam: bytes in, events out, and back. Only this module knows the parser (h11).

Another parser replaces the two classes here. Nothing here does I/O. What a peer does wrong raises
:class:`ProtocolError` with the status to answer and a reason code.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import h11

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
Headers = list[tuple[bytes, bytes]]
Bytes = bytes | bytearray


class ProtocolError(Exception):
    """The peer broke HTTP; ``status`` is what a server should answer."""

    def __init__(self, status: int, reason: str, text: str) -> None:
        super().__init__(text)
        self.status, self.reason = status, reason


@dataclass(slots=True)
class RequestHead:
    """A request's head; ``length`` is None where the body is chunked."""

    method: str
    target: bytes
    headers: Headers
    length: int | None

    def get(self, name: bytes) -> str | None:
        """A header's value, by its name in lower case; several are joined by commas."""
        found = [value for key, value in self.headers if key == name]
        return b", ".join(found).decode("latin-1") if found else None


@dataclass(slots=True)
class ResponseHead:
    """An answer's head; ``length`` is None where only the framing tells the end."""

    status: int
    headers: Headers
    length: int | None

    def get(self, name: bytes) -> str | None:
        """A header's value, by its name in lower case."""
        found = [value for key, value in self.headers if key == name]
        return b", ".join(found).decode("latin-1") if found else None


class NeedData:
    """More bytes are needed."""


class EndOfBody:
    """The message is whole."""


NEED_DATA, END_OF_BODY = NeedData(), EndOfBody()


def _passed(connection: h11.Connection, data: Bytes) -> Bytes:
    """A piece of a body as it goes on the wire; not copied where its framing adds nothing."""
    parts = connection.send_with_data_passthrough(h11.Data(data=data)) or []  # type: ignore[arg-type]
    return parts[0] if len(parts) == 1 else b"".join(parts)


def _length(headers: Headers) -> int | None:
    given = {value for name, value in headers if name == b"content-length"}
    return int(next(iter(given))) if given else None


class ServerCodec:
    """One client connection."""

    def __init__(self, header_bytes: int) -> None:
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        self._header_bytes = header_bytes

    def feed(self, data: bytes) -> None:
        """Take in bytes."""
        self._h11.receive_data(data)

    def head(self) -> RequestHead | NeedData | None:
        """The next request's head; None where the peer closed in good order."""
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
        # The parser's own bound is on heads that are not whole yet; one that came in one piece is counted here.
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
        length = None if b"transfer-encoding" in names else _length(headers) or 0
        if length == 0:
            self._h11.next_event()  # the end of a body that has none
        return RequestHead(event.method.decode("ascii"), event.target, headers, length)

    def body(self) -> Bytes | NeedData | EndOfBody:
        """More of the request's body."""
        if self.body_done:
            # Guards against waiting for more from a client that has said it sends no more (Connection: close): the parser then
            # tells nothing at a body's end that was read with the head.
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
        """Whether the whole request has been read."""
        return self._h11.their_state not in (h11.SEND_BODY, h11.IDLE)

    @property
    def waiting_for_continue(self) -> bool:
        """Whether the client holds its body back until told to go on."""
        return bool(self._h11.they_are_waiting_for_100_continue)

    def continue_response(self) -> bytes:
        """``100 Continue``."""
        return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def response_head(self, status: int, headers: Headers) -> bytes:
        """An answer's head."""
        reason = REASON_PHRASES.get(
            status, b""
        )  # some clients read none of a status line that ends with its number
        return self._h11.send(h11.Response(status_code=status, headers=headers, reason=reason)) or b""

    def data(self, data: Bytes) -> Bytes:
        """A piece of an answer's body."""
        return _passed(self._h11, data)

    def end(self) -> bytes:
        """The end of an answer."""
        return self._h11.send(h11.EndOfMessage()) or b""

    def closing_response(self, status: int, headers: Headers, body: bytes) -> bytes:
        """A whole answer to a request that has not been read; the connection closes after it."""
        head = self.response_head(status, [*headers, (b"connection", b"close")])
        return head + self.data(body) + self.end()

    @property
    def can_respond(self) -> bool:
        """Whether no answer has been begun."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE

    @property
    def has_buffered_data(self) -> bool:
        """Whether bytes of a next request have been taken in."""
        return bool(self._h11.trailing_data[0])

    def next_cycle(self) -> None:
        """Be ready for the next request."""
        self._h11.start_next_cycle()


class ClientCodec:
    """One connection to a store."""

    def __init__(self, header_bytes: int) -> None:
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=header_bytes)

    def request(self, method: str, target: bytes, headers: Headers) -> bytes:
        """A request's head."""
        return self._h11.send(h11.Request(method=method, target=target, headers=headers)) or b""

    def data(self, data: Bytes) -> Bytes:
        """A piece of the request's body."""
        return _passed(self._h11, data)

    def end(self) -> bytes:
        """The end of the request."""
        return self._h11.send(h11.EndOfMessage()) or b""

    def feed(self, data: bytes) -> None:
        """Take in bytes; empty means that the store has closed."""
        self._h11.receive_data(data)

    def head(self) -> ResponseHead | NeedData:
        """The answer's head; what is informational is passed over."""
        try:
            while True:
                event = self._h11.next_event()
                if isinstance(event, h11.Response):
                    headers = list(event.headers)
                    chunked = any(name == b"transfer-encoding" for name, _ in headers)
                    return ResponseHead(event.status_code, headers, None if chunked else _length(headers))
                if not isinstance(event, h11.InformationalResponse):
                    return NEED_DATA
        except h11.RemoteProtocolError as error:
            raise ProtocolError(502, "store-http", str(error)) from error

    def body(self) -> Bytes | NeedData | EndOfBody:
        """More of the answer's body."""
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
        """Be ready for the next request."""
        self._h11.start_next_cycle()
