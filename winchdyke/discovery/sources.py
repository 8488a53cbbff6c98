"""The interface between sources of endpoint lists and the follower."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from winchdyke.discovery.list_protocol import ReceivedList

MAX_LIST_BYTES = 16 << 20

OnList = Callable[[str, ReceivedList], Awaitable[None]]  # called with the source's name and its list
OnFailure = Callable[[str, str], Awaitable[None]]  # called with the source's name and the error


class EndpointSource(Protocol):
    """A source of endpoint lists."""

    name: str

    async def run(self, on_list: OnList, on_failure: OnFailure) -> None:
        """Follows the list until cancelled; reports each list and each failure."""

    def request_poll(self) -> None:
        """Polls now, if the source waits for a request after a failure."""
