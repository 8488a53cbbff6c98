"""One request on its way through the gateway, and the callers that a request can have."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from winchdyke.config.model import Kind, VolumeRule
from winchdyke.gateway.access_log import AccessLogRecord
from winchdyke.gateway.attempts import ClientDisconnectedError
from winchdyke.http1 import Bytes, ProtocolError, RequestHead, ResponseHead
from winchdyke.object_api import routes
from winchdyke.object_api.sinks import Sink


class DiscardSink:
    """Refuses a streamed response, where only complete responses are used."""

    async def begin_stream(self, head: ResponseHead) -> None:
        """Refuse the response.

        Raises:
            ClientDisconnectedError: Always.
        """
        raise ClientDisconnectedError

    async def data(self, data: Bytes) -> None:
        """Refuse the response.

        Raises:
            ClientDisconnectedError: Always.
        """
        raise ClientDisconnectedError

    async def finish(self) -> None:
        """Refuse the response.

        Raises:
            ClientDisconnectedError: Always.
        """
        raise ClientDisconnectedError


class Caller(Sink, Protocol):
    """Who a request comes from: a client's connection, or the gateway itself."""

    on_disconnect: Callable[[], None] | None
    disconnected: bool

    def check_for_reset(self) -> None:
        """Notice a disconnect that has not been reported yet."""

    async def read_body(self) -> Bytes:
        """Return the next bytes of the request's body; empty at its end."""


class InternalCaller(DiscardSink):
    """The gateway itself as a caller, which never disconnects."""

    on_disconnect: Callable[[], None] | None = None
    disconnected = False
    response_status = 0

    def check_for_reset(self) -> None:
        """Nothing can be lost."""

    async def read_body(self) -> Bytes:
        """Return the end of an empty body."""
        return b""


@dataclass(slots=True)
class BodySource:
    """Where a request's body comes from: ``read`` returns its next bytes; ``length`` is None where it is unknown."""

    read: Callable[[], Awaitable[Bytes]]
    length: int | None


@dataclass(slots=True)
class RequestContext:
    """One request while it is processed.

    Attributes:
        request_id: The gateway's id of the request.
        caller: Who it comes from.
        head: Its HTTP head.
        operation: What it asks for.
        kind: Its request class.
        volume: The rule of its volume.
        record: What is gathered for the access log.
        source: Its body.
        sink: Receives a streamed response.
        internal: Whether the gateway itself makes it.
        units: The work that the scheduler is told.
        time_left_ms: The time until the deadline.
        transfer_bytes: Bytes that its volume's limit is charged for in advance; None: not known before.
    """

    request_id: str
    caller: Caller
    head: RequestHead
    operation: routes.Operation
    kind: Kind
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
