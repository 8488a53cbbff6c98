"""Reads the requests of one client connection out of the received bytes, in steps of bounded work."""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from winchdyke.http1 import EndOfBody, NeedData, RequestHead, ServerCodec
from winchdyke.platform import protocol
from winchdyke.platform.peer_memory import REQUEST_OBJECTS_BYTES

MAX_HEAD_BYTES = 16 * 1024


class RequestProgress(Enum):
    """How far the reader has come."""

    NEEDS_DATA = auto()  # more bytes are needed
    HAS_MORE_WORK = auto()  # the work of this step is done, and more bytes may be parsed
    COMPLETE = auto()  # a request for the scheduler is complete
    READINESS_CHECK = auto()  # the platform's check whether the gateway is ready
    CLOSED = auto()  # the client has closed between requests


class RequestSender(Protocol):
    """The client connection from which requests are read."""

    def reserve_body(self, length_bytes: int) -> None:
        """Reserve memory for a body, when its length is known and as it grows. Raises ProtocolError."""

    def send_interim(self, response: bytes) -> None:
        """Send an interim response to a client that waits for it. Raises OSError."""


class RequestReader:
    """The parser of one connection and the request that it has received in part.

    It keeps no reference to its connection: a closed connection is then freed at once, and not by the garbage collector.

    Args:
        request_parser: Validates the head of a request.
    """

    __slots__ = ("_body", "_request", "_request_parser", "codec")

    def __init__(self, request_parser: protocol.RequestParser) -> None:
        self.codec = ServerCodec(MAX_HEAD_BYTES)
        self._request_parser = request_parser
        self._request: protocol.ParsedRequest | None = None
        self._body = bytearray()

    @property
    def memory_bytes(self) -> int:
        """The memory held for received bytes and for the request that is being read."""
        held_bytes = self.codec.buffered_bytes + len(self._body)
        if self._request is not None:
            held_bytes += request_memory_bytes(self._request)
        return held_bytes

    def read(self, max_work_units: int, client: RequestSender) -> RequestProgress:
        """Parse the received bytes until a request is complete, or until ``max_work_units`` of work are done.

        Raises ProtocolError if the request is invalid or exceeds a limit.
        """
        if self._request is None:
            progress = self._read_head(client)
            if progress is not None:
                return progress
        return self._read_body(max_work_units, client)

    def _read_head(self, client: RequestSender) -> RequestProgress | None:
        """Return None once a request has begun whose body may follow."""
        head = self.codec.head()
        if isinstance(head, NeedData):
            return RequestProgress.NEEDS_DATA
        if head is None:
            return RequestProgress.CLOSED
        if _is_readiness_check(head):
            return RequestProgress.READINESS_CHECK
        # Only the few fields of the parsed request are kept: a parsed head takes many times its bytes.
        self._request = self._request_parser.parse(head)
        client.reserve_body(head.length or 0)
        if head.length != 0 and self.codec.waiting_for_continue:
            client.send_interim(self.codec.continue_response())
        return None

    def _read_body(self, max_work_units: int, client: RequestSender) -> RequestProgress:
        codec = self.codec
        last_work_units = codec.work_units + max_work_units
        while not codec.body_done:
            piece = codec.body()
            if isinstance(piece, NeedData):
                return RequestProgress.NEEDS_DATA
            if isinstance(piece, EndOfBody):
                break
            self._body += piece
            client.reserve_body(len(self._body))
            if codec.work_units >= last_work_units:
                return RequestProgress.HAS_MORE_WORK
        return RequestProgress.COMPLETE

    def take_request(self) -> protocol.ParsedRequest:
        """Return the complete request, and keep nothing of it."""
        request = self._request
        assert request is not None
        request.body = bytes(self._body)
        self._request = None
        self._body = bytearray()
        return request

    def discard(self) -> None:
        """Drop the received bytes and the request that was received in part; no other one can be read."""
        self.codec.discard_input()
        self._request = None
        self._body = bytearray()


def request_memory_bytes(request: protocol.ParsedRequest) -> int:
    """Return the memory that a parsed request takes, with its body."""
    fields_bytes = sum(len(name) + len(value) for name, value in request.headers)
    return REQUEST_OBJECTS_BYTES + len(request.target) + fields_bytes + len(request.body)


def _is_readiness_check(head: RequestHead) -> bool:
    return head.target == protocol.READY_PATH and head.method == "GET"
