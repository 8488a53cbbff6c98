"""Following the list service: one long poll after another, each told to the scheduler, failures too.

When to ask again after a failure is the scheduler's to say (``WatchList``).
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from urllib.parse import quote

import anyio
import structlog

from winchdyke import interface as api
from winchdyke.config.model import Discovery
from winchdyke.gateway.attempts import LOST
from winchdyke.http1 import ClientSide, End, Need, ProtocolError
from winchdyke.nodes.wire import ListError, Reader

LIST_BYTES = 16 << 20
GAP_S = 0.02  # between polls at the least: a service that never waits is not asked without end


class Follower:
    """One gateway's view of the list service."""

    def __init__(
        self,
        where: Discovery,
        gateway: str,
        clock: Callable[[], float],
        post: Callable[[api.NodeList], Awaitable[None]],
    ) -> None:
        self._where, self._gateway, self._clock, self._post = where, gateway, clock, post
        self._reader, self._token = Reader(), ""
        self._asked = anyio.Event()
        self._log = structlog.get_logger("nodes")
        if not where.must_ask:
            self._asked.set()

    def ask(self) -> None:
        """Follow the list, where that is not under way."""
        self._asked.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._asked.wait()
            try:
                while True:
                    news = await self._poll()
                    if news is not None:
                        await self._post(news)
                    await anyio.sleep(GAP_S)
            except (*LOST, ProtocolError, ListError) as error:
                self._log.warning("list-failed", error=str(error) or type(error).__name__)
                self._asked, self._token = anyio.Event(), ""
                await self._post(api.NodeList(api.ListKind.FAILED))

    async def _poll(self) -> api.NodeList | None:
        where = self._where
        wait = where.wait if self._token else 0.0
        target = f"{where.path}?gateway={quote(self._gateway, safe='')}"
        if self._token:
            target += f"&since={quote(self._token, safe='')}&wait={wait:.0f}"
        with anyio.fail_after((wait + where.timeout) / 1000):
            async with await anyio.connect_tcp(where.host, where.port) as stream:
                codec = ClientSide(64 * 1024)
                headers = [(b"host", where.host.encode()), (b"connection", b"close")]
                await stream.send(codec.request("GET", target.encode(), headers) + codec.end())
                while isinstance(head := codec.head(), Need):
                    codec.feed(await self._receive(stream))
                body = bytearray()
                while not isinstance(piece := codec.body(), End):
                    if isinstance(piece, Need):
                        codec.feed(await self._receive(stream))
                    else:
                        body += piece
                    if len(body) > LIST_BYTES:
                        raise ListError(f"the list is larger than {LIST_BYTES} bytes")
        if head.status == 204:
            return None
        if head.status != 200:
            raise ListError(f"the list service answered {head.status}")
        self._token, news = self._reader.read(bytes(body), self._clock(), time.time() * 1000)
        return news

    @staticmethod
    async def _receive(stream: anyio.abc.SocketStream) -> bytes:
        try:
            return await stream.receive()
        except anyio.EndOfStream:
            return b""
