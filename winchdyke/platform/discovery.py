"""Following discovery: one watch at a time, begun again where it ends or falls silent, moved where its address changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from winchdyke.http1 import ClientSide, End, Need, ProtocolError
from winchdyke.platform import wire
from winchdyke.platform.environment import Address

SILENT_S = 5.0  # longer than two of the empty lines that come every 2 s
AGAIN_S, AGAIN_MOST_S = 0.05, 1.0  # from the second try in a row on; the first is at once
HEAD_MOST = 16 * 1024
LINE_MOST = 4 * 1024 * 1024  # of one object, held until it is whole


class Watch(asyncio.Protocol):
    """One connection to discovery."""

    def __init__(self, follower: Follower, target: bytes, whole: bool) -> None:
        self._follower, self._target, self._whole = follower, target, whole
        self._codec, self._head, self._line = ClientSide(HEAD_MOST), False, bytearray()
        self.transport: asyncio.Transport | None = None
        self.heard = follower.loop.time()
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        self.transport = transport  # type: ignore[assignment]
        if self.over:
            transport.close()
            return
        headers = [(b"host", b"discovery")]
        self.transport.write(self._codec.request("GET", self._target, headers) + self._codec.end())  # type: ignore[union-attr]

    def data_received(self, data: bytes) -> None:
        """Lines, or a part of one."""
        if self.over:
            return
        self.heard = self._follower.loop.time()
        try:
            self._codec.feed(data)
            self._read()
        except (ProtocolError, wire.ListFault) as error:
            self._follower.unreadable(self, str(error))

    def _read(self) -> None:
        if not self._head:
            head = self._codec.head()
            if isinstance(head, Need):
                return
            if head.status != 200:
                raise wire.ListFault(f"discovery answered {head.status}")
            self._head = True
        while not self.over and not isinstance(piece := self._codec.body(), Need):
            if isinstance(piece, End):
                if self._whole:
                    self._follower.heard(self, wire.listing(bytes(self._line)))
                self._follower.lost(self, "ended")
                return
            self._line += piece
            if len(self._line) > LINE_MOST:
                raise wire.ListFault("a line has no end")
            while not self._whole and not self.over and (at := self._line.find(b"\n")) >= 0:
                line = bytes(self._line[:at]).strip()
                del self._line[: at + 1]
                if line:
                    self._follower.heard(self, wire.listing(line))

    def connection_lost(self, exc: Exception | None) -> None:
        """The watch is over."""
        if not self.over:
            self._follower.lost(self, str(exc or "closed"))

    def end(self) -> None:
        """Hear no more of it."""
        self.over = True
        if self.transport is not None:
            self.transport.abort()


class Follower:
    """Keeps a watch going. ``tell`` is handed each list and each change, in order."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        version: int,
        tell: Callable[[wire.Listing], None],
    ) -> None:
        self.loop, self.address, self.version, self._tell = loop, address, version, tell
        self._watch: Watch | None = None
        self._old: Watch | None = None  # at the address before; heard until the new one speaks
        self._whole, self._failures, self._stopped = False, 0, False
        self._task: asyncio.Task[None] | None = None
        self._log = structlog.get_logger("discovery")
        self._begin()
        loop.call_later(1.0, self._look)

    def move(self, address: Address) -> None:
        """Follow another address from now on."""
        if address == self.address:
            return
        self.address = address
        if self._old is not None:
            self._old.end()
        self._old, self._watch, self._failures = self._watch, None, 0
        self._begin()

    def stop(self) -> None:
        """End."""
        self._stopped = True
        for watch in (self._watch, self._old):
            if watch is not None:
                watch.end()

    def _begin(self) -> None:
        if self._stopped:
            return
        if self._watch is not None:
            self._watch.end()
        target = wire.TARGETS if self._whole else wire.TARGETS + b"?watch=1&after=%d" % self.version
        watch = self._watch = Watch(self, target, self._whole)
        self._task = self.loop.create_task(self._connect(watch))

    async def _connect(self, watch: Watch) -> None:
        try:
            async with asyncio.timeout(SILENT_S):
                await self.loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError) as error:
            self.lost(watch, str(error) or "no connection")

    def _look(self) -> None:
        if self._stopped:
            return
        watch = self._watch
        if watch is not None and self.loop.time() - watch.heard > SILENT_S:
            self.lost(watch, "silent")
        self.loop.call_later(1.0, self._look)

    def heard(self, watch: Watch, news: wire.Listing) -> None:
        """A list or a change."""
        if watch is self._watch:
            if self._old is not None:
                self._old.end()
                self._old = None
            self._failures = 0
        if not news.full and news.version <= self.version:
            return  # told before, by the watch at the other address
        self.version, self._whole = news.version, False
        self._tell(news)

    def unreadable(self, watch: Watch, why: str) -> None:
        """Something that can't be read: a whole list is asked for."""
        self._whole = True
        self.lost(watch, f"unreadable: {why}")

    def lost(self, watch: Watch, why: str) -> None:
        """A watch is over; the next is begun."""
        watch.end()
        if watch is self._old:
            self._old = None
        if watch is not self._watch or self._stopped:
            return
        self._watch = None
        if why != "ended":
            self._log.warning("discovery-lost", why=why)
        wait = min(AGAIN_MOST_S, AGAIN_S * 2**self._failures) if self._failures else 0.0
        self._failures = min(self._failures + 1, 8)
        self.loop.call_later(wait, self._again, watch)

    def _again(self, _: Watch) -> None:
        if self._watch is None:
            self._begin()
