"""Where an answer goes that is too large to be held whole."""

from __future__ import annotations

from typing import Protocol

from winchdyke.http1 import Bytes, ResponseHead


class Sink(Protocol):
    """Takes an answer as it comes."""

    async def begin_stream(self, head: ResponseHead) -> None:
        """Take the head of an answer whose body follows."""

    async def data(self, data: Bytes) -> None:
        """Take a piece of it."""

    async def finish(self) -> None:
        """The answer is whole."""
