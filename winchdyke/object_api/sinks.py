"""The interface for consumers of streamed responses."""

from __future__ import annotations

from typing import Protocol

from winchdyke.http1 import Bytes, ResponseHead


class Sink(Protocol):
    """Consumes a response as it is received, for responses that are too large to be buffered."""

    async def begin_stream(self, head: ResponseHead) -> None:
        """Receives the head; the body follows."""

    async def data(self, data: Bytes) -> None:
        """Receives a chunk of the body."""

    async def finish(self) -> None:
        """Receives the end of the complete response."""
