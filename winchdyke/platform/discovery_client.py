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
SILENT_S = 2.25
LOOK_S = 0.1  # between looks at the silence
AGAIN_S, AGAIN_MOST_S = 0.05, 1.0  # from the second try in a row on; the first is at once
HEAD_MOST = 16 * 1024


class Watch(asyncio.Protocol):
    """One connection to discovery."""

    def __init__(self, follower: Follower, target: bytes, whole: bool, asked: int) -> None:
        self._follower, self._target, self._whole, self.asked = follower, target, whole, asked
        self._codec, self._head, self._list = ClientSide(HEAD_MOST), False, bytearray()
        self._objects, self.spoke, self._open_ended = protocol.Objects(), False, False
        self.transport: asyncio.Transport | None = None
        self.began = self.heard = follower.loop.time()
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
        except (ProtocolError, protocol.EndpointListError) as error:
            self._follower.unreadable(self, str(error))

    def _read(self) -> None:
        if not self._head:
            head = self._codec.head()
            if isinstance(head, Need):
                return
            if head.status != 200:
                raise protocol.EndpointListError(f"discovery answered {head.status}")
            self._head, self._open_ended = True, not protocol.framed(head)
        while not self.over and not isinstance(piece := self._codec.body(), Need):
            self.spoke = True
            if isinstance(piece, End):
                if self._whole:
                    self._follower.heard(self, protocol.listing(bytes(self._list)))
                self._follower.lost(self, "ended")
                return
            if self._whole:
                self._list += piece
                if len(self._list) > protocol.OBJECT_MOST:
                    raise protocol.EndpointListError("the list has no end")
                continue
            for news in self._objects.feed(piece):
                if not self.over:
                    self._follower.heard(self, news)
            self._follower.heard_of(self)

    def eof_received(self) -> None:
        """The end, in good order: where a whole list told no length, its own. A reset is none."""
        if self._whole and self._open_ended and not self.over:
            self.data_received(b"")

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
        tell: Callable[[protocol.EndpointListing], None],
    ) -> None:
        self.loop, self.address, self.version, self._tell = loop, address, version, tell
        self._watch: Watch | None = None
        self._old: Watch | None = None  # at the address before; heard until the new one speaks
        self._whole, self._failures, self._stopped = False, 0, False
        self.spoken: asyncio.Future[None] = loop.create_future()  # done with the first word ever
        self._task: asyncio.Task[None] | None = None
        self._log = structlog.get_logger("discovery")
        self._begin()
        loop.call_later(LOOK_S, self._look)

    def move(self, address: Address) -> None:
        """Follow another address from now on."""
        if address == self.address:
            return
        self.address = address
        # Guards against a second move before the first has spoken: the watch that is heard is the one that has spoken.
        watch, self._watch, self._failures = self._watch, None, 0
        keep, drop = (watch, self._old) if watch is not None and watch.spoke else (self._old, watch)
        if drop is not None:
            drop.end()
        self._old = keep
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
        target = protocol.TARGETS if self._whole else protocol.TARGETS + b"?watch=1&after=%d" % self.version
        watch = self._watch = Watch(self, target, self._whole, self.version)
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
        self.loop.call_later(LOOK_S, self._look)

    def heard_of(self, watch: Watch) -> None:
        """A watch has spoken, be it that nothing is new."""
        if watch is self._watch and self._old is not None:
            self._old.end()
            self._old = None
        if not self.spoken.done():
            self.spoken.set_result(None)

    def heard(self, watch: Watch, news: protocol.EndpointListing) -> None:
        """A list or a change."""
        if news.version < watch.asked and not news.full:
            # Guards against numbers that begin anew behind the gateway's back: it would take all changes for old ones.
            raise protocol.EndpointListError(
                f"changes of version {news.version} came after {watch.asked} was asked for"
            )
        self.heard_of(watch)
        if news.version < self.version and watch.asked <= news.version:
            return  # on its way while the other watch told more: a whole list too, or it brings back what drains
        if not news.full and news.version == self.version:
            return  # told before, by the watch at the other address
        self.version, self._whole = news.version, False
        watch.asked = min(watch.asked, news.version)  # where the numbers began anew, they go on from there
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
        if watch.spoke and self.loop.time() - watch.began >= AGAIN_MOST_S:
            self._failures = (
                0  # not for a word alone: one that speaks and ends at once would be dialled without a pause
            )
        if why != "ended" and not self._failures:
            self._log.warning("discovery-lost", why=why)
        wait = min(AGAIN_MOST_S, AGAIN_S * 2**self._failures) if self._failures else 0.0
        self._failures = min(self._failures + 1, 8)
        self.loop.call_later(wait, self._again, watch)

    def _again(self, _: Watch) -> None:
        if self._watch is None:
            self._begin()
