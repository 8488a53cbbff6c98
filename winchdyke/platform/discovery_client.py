"""Following discovery: one watch at a time, begun again where it ends or falls silent, moved where its address changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from winchdyke.http1 import ClientSide, End, Need, ProtocolError
from winchdyke.platform import protocol
from winchdyke.platform.configuration import Address

# An empty line comes every 2 s, so that its absence is told at once. What a silent watch misses counts as told 6 s after it fell
# silent, and what discovery has to tell at its return counts at once: each tenth later is one in which a drain is not known.
WATCH_SILENCE_SECONDS = 2.25
SILENCE_CHECK_SECONDS = 0.1  # between looks at the silence
MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.05, 1.0  # from the second try in a row on; the first is at once
MAX_HEAD_BYTES = 16 * 1024


class EndpointWatch(asyncio.Protocol):
    """One connection to discovery."""

    def __init__(self, follower: DiscoveryClient, target: bytes, whole: bool, asked: int) -> None:
        self._client, self._target, self._full_list, self.requested_version = follower, target, whole, asked
        self._codec, self._head_received, self._list_buffer = ClientSide(MAX_HEAD_BYTES), False, bytearray()
        self._parser, self.has_spoken, self._close_delimited = protocol.WatchParser(), False, False
        self.transport: asyncio.Transport | None = None
        self.started_at = self.last_received_at = follower.loop.time()
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        self.transport = transport  # type: ignore[assignment]
        if self.closed:
            transport.close()
            return
        headers = [(b"host", b"discovery")]
        self.transport.write(self._codec.request("GET", self._target, headers) + self._codec.end())  # type: ignore[union-attr]

    def data_received(self, data: bytes) -> None:
        """Lines, or a part of one."""
        if self.closed:
            return
        self.last_received_at = self._client.loop.time()
        try:
            self._codec.feed(data)
            self._read()
        except (ProtocolError, protocol.EndpointListError) as error:
            self._client.handle_unreadable(self, str(error))

    def _read(self) -> None:
        if not self._head_received:
            head = self._codec.head()
            if isinstance(head, Need):
                return
            if head.status != 200:
                raise protocol.EndpointListError(f"discovery answered {head.status}")
            self._head_received, self._close_delimited = True, not protocol.count_framing_headers(head)
        while not self.closed and not isinstance(piece := self._codec.body(), Need):
            self.has_spoken = True
            if isinstance(piece, End):
                if self._full_list:
                    self._client.handle_endpoint_list(
                        self, protocol.parse_endpoint_list(bytes(self._list_buffer))
                    )
                self._client.handle_watch_lost(self, "ended")
                return
            if self._full_list:
                self._list_buffer += piece
                if len(self._list_buffer) > protocol.MAX_LIST_BYTES:
                    raise protocol.EndpointListError("the list has no end")
                continue
            for news in self._parser.feed(piece):
                if not self.closed:
                    self._client.handle_endpoint_list(self, news)
            self._client.handle_activity(self)

    def eof_received(self) -> None:
        """The end, in good order: where a whole list told no length, its own. A reset is none."""
        if self._full_list and self._close_delimited and not self.closed:
            self.data_received(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        """The watch is over."""
        if not self.closed:
            self._client.handle_watch_lost(self, str(exc or "closed"))

    def abort(self) -> None:
        """Hear no more of it."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class DiscoveryClient:
    """Keeps a watch going. ``tell`` is handed each list and each change, in order."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        version: int,
        tell: Callable[[protocol.EndpointListing], None],
    ) -> None:
        self.loop, self.address, self.version, self._on_endpoint_list = loop, address, version, tell
        self._watch: EndpointWatch | None = None
        self._previous_watch: EndpointWatch | None = (
            None  # at the address before; heard until the new one speaks
        )
        self._needs_full_list, self._failures, self._stopped = False, 0, False
        self.first_response: asyncio.Future[None] = loop.create_future()  # done with the first word ever
        self._task: asyncio.Task[None] | None = None
        self._log = structlog.get_logger("discovery")
        self._start_watch()
        loop.call_later(SILENCE_CHECK_SECONDS, self._check_silence)

    def change_address(self, address: Address) -> None:
        """Follow another address from now on."""
        if address == self.address:
            return
        self.address = address
        # Guards against a second move before the first has spoken: the watch that is heard is the one that has spoken.
        watch, self._watch, self._failures = self._watch, None, 0
        keep, drop = (
            (watch, self._previous_watch)
            if watch is not None and watch.has_spoken
            else (self._previous_watch, watch)
        )
        if drop is not None:
            drop.abort()
        self._previous_watch = keep
        self._start_watch()

    def stop(self) -> None:
        """End."""
        self._stopped = True
        for watch in (self._watch, self._previous_watch):
            if watch is not None:
                watch.abort()

    def _start_watch(self) -> None:
        if self._stopped:
            return
        if self._watch is not None:
            self._watch.abort()
        target = (
            protocol.ENDPOINTS_PATH
            if self._needs_full_list
            else protocol.ENDPOINTS_PATH + b"?watch=1&after=%d" % self.version
        )
        watch = self._watch = EndpointWatch(self, target, self._needs_full_list, self.version)
        self._task = self.loop.create_task(self._connect(watch))

    async def _connect(self, watch: EndpointWatch) -> None:
        try:
            async with asyncio.timeout(WATCH_SILENCE_SECONDS):
                await self.loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError) as error:
            self.handle_watch_lost(watch, str(error) or "no connection")

    def _check_silence(self) -> None:
        if self._stopped:
            return
        watch = self._watch
        if watch is not None and self.loop.time() - watch.last_received_at > WATCH_SILENCE_SECONDS:
            self.handle_watch_lost(watch, "silent")
        self.loop.call_later(SILENCE_CHECK_SECONDS, self._check_silence)

    def handle_activity(self, watch: EndpointWatch) -> None:
        """A watch has spoken, be it that nothing is new."""
        if watch is self._watch and self._previous_watch is not None:
            self._previous_watch.abort()
            self._previous_watch = None
        if not self.first_response.done():
            self.first_response.set_result(None)

    def handle_endpoint_list(self, watch: EndpointWatch, news: protocol.EndpointListing) -> None:
        """A list or a change."""
        if news.version < watch.requested_version and not news.full:
            # Guards against numbers that begin anew behind the gateway's back: it would take all changes for old ones.
            raise protocol.EndpointListError(
                f"changes of version {news.version} came after {watch.requested_version} was asked for"
            )
        self.handle_activity(watch)
        if news.version < self.version and watch.requested_version <= news.version:
            return  # on its way while the other watch told more: a whole list too, or it brings back what drains
        if not news.full and news.version == self.version:
            return  # told before, by the watch at the other address
        self.version, self._needs_full_list = news.version, False
        watch.requested_version = min(
            watch.requested_version, news.version
        )  # where the numbers began anew, they go on from there
        self._on_endpoint_list(news)

    def handle_unreadable(self, watch: EndpointWatch, why: str) -> None:
        """Something that can't be read: a whole list is asked for."""
        self._needs_full_list = True
        self.handle_watch_lost(watch, f"unreadable: {why}")

    def handle_watch_lost(self, watch: EndpointWatch, why: str) -> None:
        """A watch is over; the next is begun."""
        watch.abort()
        if watch is self._previous_watch:
            self._previous_watch = None
        if watch is not self._watch or self._stopped:
            return
        self._watch = None
        if watch.has_spoken and self.loop.time() - watch.started_at >= MAX_BACKOFF_SECONDS:
            self._failures = (
                0  # not for a word alone: one that speaks and ends at once would be dialled without a pause
            )
        if why != "ended" and not self._failures:
            self._log.warning("discovery-lost", why=why)
        wait = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2**self._failures) if self._failures else 0.0
        self._failures = min(self._failures + 1, 8)
        self.loop.call_later(wait, self._retry, watch)

    def _retry(self, _: EndpointWatch) -> None:
        if self._watch is None:
            self._start_watch()
