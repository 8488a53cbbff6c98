"""Sinks for the responses of stores: one that buffers, one that forwards to the client, one that feeds another request."""

from __future__ import annotations

import anyio

from winchdyke.gateway.attempts import ClientDisconnectedError
from winchdyke.gateway.clients import ClientConnection
from winchdyke.http1 import Bytes, Headers, ProtocolError, ResponseHead

MAX_BUFFERED_RESPONSE_BYTES = 16 << 20  # a list of an upload's parts, or a page of a listing
PIPE_CAPACITY = 4  # chunks of a copy that have been read from the source and not yet written


class BufferSink:
    """Buffers a complete response up to a size limit; a larger one raises ClientDisconnectedError."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_RESPONSE_BYTES) -> None:
        self.buffer, self._max_bytes, self.head = bytearray(), max_bytes, None

    head: ResponseHead | None

    async def begin_stream(self, head: ResponseHead) -> None:
        """Stores the head."""
        self.head = head

    async def data(self, data: Bytes) -> None:
        """Appends a chunk of the body."""
        self.buffer += data
        if len(self.buffer) > self._max_bytes:
            raise ClientDisconnectedError

    async def finish(self) -> None:
        """Does nothing: the buffer is complete."""


class RelaySink:
    """Forwards a store's response to the client, with the response headers that the client overrides."""

    def __init__(self, connection: ClientConnection, overrides: Headers) -> None:
        self._connection, self._overrides = connection, overrides

    def apply_overrides(self, head: ResponseHead) -> ResponseHead:
        """The head with the client's overrides in place of the stored headers."""
        overridden = {name for name, _ in self._overrides}
        headers = [(name, value) for name, value in head.headers if name not in overridden] + self._overrides
        return ResponseHead(head.status, headers, head.length)

    async def begin_stream(self, head: ResponseHead) -> None:
        """Forwards the head."""
        await self._connection.begin_stream(self.apply_overrides(head))

    async def data(self, data: Bytes) -> None:
        """Forwards a chunk of the body."""
        await self._connection.data(data)

    async def finish(self) -> None:
        """Finishes the response to the client."""
        await self._connection.finish()


class CopyPipe:
    """Streams a response of one store into a request body for another."""

    def __init__(self) -> None:
        self._send, self._receive = anyio.create_memory_object_stream[bytes](PIPE_CAPACITY)
        self.started, self.head = anyio.Event(), ResponseHead(0, [], None)
        self.complete = False

    async def begin_stream(self, head: ResponseHead) -> None:
        """Stores the head of the source, and starts the stream."""
        self.head = head
        self.started.set()

    async def data(self, data: Bytes) -> None:
        """Adds a chunk; waits while the pipe is full."""
        await self._send.send(bytes(data))

    async def finish(self) -> None:
        """Marks the source as complete."""
        self.complete = True

    def close(self) -> None:
        """Ends the stream; incomplete unless finish() was called."""
        self._send.close()
        self.started.set()

    async def read(self) -> bytes:
        """The next chunk; empty at the end.

        Raises:
            ProtocolError: The source was cut off.
        """
        try:
            return await self._receive.receive()
        except anyio.EndOfStream:
            if not self.complete:
                raise ProtocolError(500, "body-cut", "the source of the copy was cut off") from None
            return b""
