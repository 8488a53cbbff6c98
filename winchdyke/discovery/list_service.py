"""A source of endpoint lists: the list service, followed over HTTP with long polls."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from urllib.parse import quote

import anyio
import anyio.abc

from winchdyke.config.model import Discovery
from winchdyke.discovery.errors import EndpointListError
from winchdyke.discovery.list_protocol import ListParser, ReceivedList
from winchdyke.discovery.polling import PollRateLimiter
from winchdyke.discovery.sources import MAX_LIST_BYTES, OnFailure, OnList
from winchdyke.http1 import ClientCodec, EndOfBody, NeedData, ProtocolError, ResponseHead
from winchdyke.interface import EndpointListKind
from winchdyke.peer_limits.task_turns import TaskTurns

MIN_POLL_INTERVAL_SECONDS = 0.02
MAX_HEADER_BYTES = 64 * 1024
STATUS_OK = 200
STATUS_NO_CHANGES = 204
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class ListServiceSource:
    """Follows a list service; after a failure it waits for :meth:`request_poll`.

    Attributes:
        poll_count: Number of calls so far.
    """

    name = "list"

    def __init__(self, settings: Discovery, gateway: str, clock: Callable[[], float]) -> None:
        """``gateway``: the name sent in each call; ``clock``: monotonic ms."""
        self.poll_count = 0
        self._settings = settings
        self._gateway = gateway
        self._clock = clock
        self._parser = ListParser()
        self._resume_token = ""
        self._index = 0
        self._poll_requested = anyio.Event()
        self._rate_limiter = PollRateLimiter()
        if not settings.must_ask:
            self._poll_requested.set()

    def request_poll(self) -> None:
        """Starts following the list unless it is followed already."""
        self._poll_requested.set()

    async def run(self, on_list: OnList, on_failure: OnFailure) -> None:
        """Follows the list until cancelled."""
        while True:
            await self._poll_requested.wait()
            try:
                await self._follow(on_list)
            except (*CONNECTION_ERRORS, ProtocolError, EndpointListError) as error:
                self._poll_requested = anyio.Event()
                self._resume_token = ""
                self._index = 0
                await on_failure(self.name, str(error) or type(error).__name__)

    async def _follow(self, on_list: OnList) -> None:
        """Polls until a call fails."""
        while True:
            received = await self._poll()
            if received is not None:
                await on_list(self.name, received)
            wait_seconds = self._rate_limiter.take_token(time.monotonic())
            await anyio.sleep(max(MIN_POLL_INTERVAL_SECONDS, wait_seconds))

    async def _poll(self) -> ReceivedList | None:
        """Makes one call; returns None if the list has not changed."""
        wait_ms = self._settings.wait if self._resume_token else 0.0
        self.poll_count += 1
        with anyio.fail_after((wait_ms + self._settings.timeout) / 1000):
            head, body = await self._get(self._target(wait_ms))
        if head.status == STATUS_NO_CHANGES:
            return None
        if head.status != STATUS_OK:
            raise EndpointListError(f"the list service answered {head.status}")
        received = self._parser.parse(body, self._clock(), time.time() * 1000)
        self._resume_token = received.resume_token
        return self._from_index(received, head) if self._settings.by_index else received

    def _target(self, wait_ms: float) -> str:
        target = f"{self._settings.path}?gateway={quote(self._gateway, safe='')}"
        if not self._resume_token:
            return target
        if self._settings.by_index:
            return f"{target}&index={self._index}&wait={wait_ms:.0f}ms"
        return f"{target}&since={quote(self._resume_token, safe='')}&wait={wait_ms:.0f}"

    async def _get(self, target: str) -> tuple[ResponseHead, bytes]:
        host = self._settings.host
        async with await anyio.connect_tcp(host, self._settings.port) as stream:
            codec = ClientCodec(MAX_HEADER_BYTES)
            headers = [(b"host", host.encode()), (b"connection", b"close")]
            await stream.send(codec.request("GET", target.encode(), headers) + codec.end())
            turns = TaskTurns()
            while isinstance(head := codec.head(), NeedData):
                codec.feed(await _receive(stream))
            body = bytearray()
            while not isinstance(piece := codec.body(), EndOfBody):
                turns.count(codec.work_units)
                if isinstance(piece, NeedData):
                    codec.feed(await _receive(stream))
                else:
                    body += piece
                await turns.wait()
                if len(body) > MAX_LIST_BYTES:
                    raise EndpointListError(f"the list is larger than {MAX_LIST_BYTES} bytes")
        return head, bytes(body)

    def _from_index(self, received: ReceivedList, head: ResponseHead) -> ReceivedList | None:
        """Returns the complete list of a service with blocking queries; None if its index has not changed.

        After an index went back the next call does not wait. The index serves as the version of the list.
        """
        text = (head.get(b"x-index") or "").strip()
        index = int(text) if text.isdigit() else 0
        if index == 0:
            raise EndpointListError(f"the answer's X-Index is {text!r}; it must be a number of at least 1")
        is_unchanged = index == self._index
        went_back = index < self._index
        self._index = 0 if went_back else index
        self._resume_token = "" if went_back else "index"
        if is_unchanged:
            return None
        return replace(received, kind=EndpointListKind.FULL, version=index)


async def _receive(stream: anyio.abc.SocketStream) -> bytes:
    try:
        return await stream.receive()
    except anyio.EndOfStream:
        return b""
