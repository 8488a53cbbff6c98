"""The context of one request in the gateway, and the kinds of callers that requests originate from."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from winchdyke.config.model import ClassConfig, VolumeRule
from winchdyke.gateway.access_log import AccessLogRecord
from winchdyke.gateway.attempts import ClientDisconnectedError
from winchdyke.http1 import Bytes, ProtocolError, RequestHead, ResponseHead
from winchdyke.object_api import routes
from winchdyke.object_api.sinks import Sink


class RejectingSink:
    """Rejects any streamed response, for operations that need a complete response."""

    async def begin_stream(self, head: ResponseHead) -> None:
        """Reject the response.

        Raises:
            ClientDisconnectedError: Always.
        """
        raise ClientDisconnectedError

    async def data(self, data: Bytes) -> None:
        """Reject the response.

        Raises:
            ClientDisconnectedError: Always.
        """
        raise ClientDisconnectedError

    async def finish(self) -> None:
        """Reject the response.

        Raises:
            ClientDisconnectedError: Always.
        """
        raise ClientDisconnectedError


class Caller(Sink, Protocol):
    """The originator of a request: a client's connection, or the gateway itself."""

    on_disconnect: Callable[[], None] | None
    disconnected: bool

    def check_for_reset(self) -> None:
        """Detect a disconnect that has not been reported yet."""

    async def read_body(self) -> Bytes:
        """Return the next bytes of the request's body; empty at its end."""


class InternalCaller(RejectingSink):
    """The gateway itself as a caller, which never disconnects."""

    on_disconnect: Callable[[], None] | None = None
    disconnected = False
    response_status = 0

    def check_for_reset(self) -> None:
        """Do nothing: there is no connection."""

    async def read_body(self) -> Bytes:
        """Return the end of an empty body."""
        return b""


@dataclass(slots=True)
class BodySource:
    """The source of a request's body: ``read`` returns its next bytes; ``length`` is None if it is unknown."""

    read: Callable[[], Awaitable[Bytes]]
    length: int | None


@dataclass(slots=True)
class RequestContext:
    """One request while it is processed.

    Attributes:
        request_id: The gateway's id of the request.
        caller: Its originator.
        head: Its HTTP head.
        operation: The requested operation.
        kind: Its request class.
        volume: The rule of its volume.
        record: The data collected for the access log.
        source: The source of its body.
        sink: Receives a streamed response.
        internal: Whether it originates from the gateway itself.
        units: The units passed to the scheduler.
        time_left_ms: The time until its deadline.
        transfer_bytes: Bytes that are charged to the limit of its volume in advance; None: not known in advance.
    """

    request_id: str
    caller: Caller
    head: RequestHead
    operation: routes.Operation
    kind: ClassConfig
    volume: VolumeRule
    record: AccessLogRecord
    source: BodySource
    sink: Sink
    internal: bool = False
    units: float = 1.0
    time_left_ms: float = 0.0
    transfer_bytes: int | None = None


def limited_body(caller: Caller, max_bytes: int) -> Callable[[], Awaitable[Bytes]]:
    """Return a function that reads a caller's body and raises ProtocolError (413) beyond ``max_bytes``."""
    received_bytes = 0

    async def read() -> Bytes:
        nonlocal received_bytes
        data = await caller.read_body()
        received_bytes += len(data)
        if received_bytes > max_bytes:
            raise ProtocolError(413, "too-large", f"the object is larger than {max_bytes} bytes")
        return data

    return read
