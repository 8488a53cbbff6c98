"""Where node lists come from: the list service over HTTP, a file, DNS SRV. Each tells, or says that it failed."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol
from urllib.parse import quote

import anyio
import anyio.to_thread

from winchdyke import interface as api
from winchdyke.config.model import Discovery
from winchdyke.discovery.endpoint_view import ListedEndpoint
from winchdyke.discovery.list_protocol import EndpointListError, ListParser, ReceivedList
from winchdyke.gateway.attempts import LOST
from winchdyke.http1 import AnswerHead, ClientSide, End, Need, ProtocolError

MAX_LIST_BYTES = 16 << 20
MIN_POLL_INTERVAL_SECONDS = (
    0.02  # between polls at the least: a service that never waits is not asked without end
)
POLL_BURST, POLLS_PER_SECOND = (
    20.0,
    2.0,
)  # calls to a service that answers at once: so many, and then so many a second
INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = (
    0.5,
    8.0,
)  # of sources that choose their own time after a failure

OnList = Callable[[str, ReceivedList], Awaitable[None]]
OnFailure = Callable[[str, str], Awaitable[None]]


class EndpointSource(Protocol):
    """One source. ``run`` tells and fails until it is cancelled; ``ask`` wakes it where it rests after a failure."""

    name: str

    async def run(self, tell: OnList, fail: OnFailure) -> None:
        """Follow the list."""

    def request_poll(self) -> None:
        """Try again now, where it waits to be told when."""


def jittered_backoff_seconds(
    failures: int,
    draw: random.Random,
    first: float = INITIAL_BACKOFF_SECONDS,
    most: float = MAX_BACKOFF_SECONDS,
) -> float:
    """Seconds to rest after so many failures running: doubling, each spread over half to one and a half of it."""
    return min(most, first * 2.0 ** min(failures - 1, 20)) * (0.5 + draw.random())


@dataclass
class PollRateLimiter:
    """A bound on the calls that a gateway may cost a service: a bucket of tokens."""

    tokens: float = POLL_BURST
    refilled_at_seconds: float = 0.0

    def take_token(self, now_s: float) -> float:
        """Take one, and say how long to wait before the call."""
        self.tokens = (
            min(POLL_BURST, self.tokens + (now_s - self.refilled_at_seconds) * POLLS_PER_SECOND)
            if self.refilled_at_seconds
            else POLL_BURST
        )
        self.refilled_at_seconds = now_s
        self.tokens -= 1.0
        return max(0.0, -self.tokens / POLLS_PER_SECOND)


class ListServiceSource:
    """The list service: one long poll after another. After a failure the scheduler says when to ask again."""

    name = "list"

    def __init__(self, where: Discovery, gateway: str, clock: Callable[[], float]) -> None:
        self._where, self._gateway, self._clock = where, gateway, clock
        self._reader, self._token, self._index = ListParser(), "", 0
        self._asked = anyio.Event()
        self._allowance = PollRateLimiter()
        self.poll_count = 0
        if not where.must_ask:
            self._asked.set()

    def request_poll(self) -> None:
        """Follow the list, where that is not under way."""
        self._asked.set()

    async def run(self, tell: OnList, fail: OnFailure) -> None:
        """Follow until cancelled."""
        while True:
            await self._asked.wait()
            try:
                while True:
                    heard = await self._poll()
                    if heard is not None:
                        await tell(self.name, heard)
                    await anyio.sleep(
                        max(MIN_POLL_INTERVAL_SECONDS, self._allowance.take_token(time.monotonic()))
                    )
            except (*LOST, ProtocolError, EndpointListError) as error:
                self._asked, self._token, self._index = anyio.Event(), "", 0
                await fail(self.name, str(error) or type(error).__name__)

    async def _poll(self) -> ReceivedList | None:
        where = self._where
        wait = where.wait if self._token else 0.0
        target = f"{where.path}?gateway={quote(self._gateway, safe='')}"
        if self._token and where.by_index:
            target += f"&index={self._index}&wait={wait:.0f}ms"
        elif self._token:
            target += f"&since={quote(self._token, safe='')}&wait={wait:.0f}"
        self.poll_count += 1
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
                    if len(body) > MAX_LIST_BYTES:
                        raise EndpointListError(f"the list is larger than {MAX_LIST_BYTES} bytes")
        if head.status == 204:
            return None
        if head.status != 200:
            raise EndpointListError(f"the list service answered {head.status}")
        heard = self._reader.parse(bytes(body), self._clock(), time.time() * 1000)
        self._token = heard.resume_token
        return heard if not where.by_index else self._indexed(heard, head)

    def _indexed(self, heard: ReceivedList, head: AnswerHead) -> ReceivedList | None:
        """The whole list at an index, as services with blocking queries tell it; None where nothing changed.

        An index that goes back, or is none, is not waited on: the next call asks anew. The belief hears of it as of a version.
        """
        text = (head.get(b"x-index") or "").strip()
        index = int(text) if text.isdigit() else 0
        if index == 0:
            raise EndpointListError(f"the answer's X-Index is {text!r}; it must be a number from 1 on")
        same, back = index == self._index, index < self._index
        self._index = 0 if back else index
        self._token = "" if back else "index"
        return None if same else heard._replace(kind=api.EndpointListKind.FULL, version=index)

    @staticmethod
    async def _receive(stream: anyio.abc.SocketStream) -> bytes:
        try:
            return await stream.receive()
        except anyio.EndOfStream:
            return b""


class FileSource:
    """A file in the form of a list service's answer, looked at for changes; a half-written one is a failure."""

    name = "file"

    def __init__(self, where: Path, clock: Callable[[], float], every_s: float = 0.5) -> None:
        self._where, self._clock, self._every = where, clock, every_s
        self._reader = ListParser()

    def request_poll(self) -> None:
        """It looks at its own times."""

    async def run(self, tell: OnList, fail: OnFailure) -> None:
        """Look until cancelled."""
        seen: tuple[int, int, int] | None = None
        failed = False
        while True:
            try:
                found = self._where.stat()
                mark = found.st_mtime_ns, found.st_ino, found.st_size
                if mark != seen:
                    data = await anyio.to_thread.run_sync(self._where.read_bytes)
                    if len(data) > MAX_LIST_BYTES:
                        raise EndpointListError(f"the list is larger than {MAX_LIST_BYTES} bytes")
                    heard = self._reader.parse(data, self._clock(), time.time() * 1000)
                    seen, failed = mark, False
                    await tell(self.name, heard)
            except (OSError, EndpointListError) as error:
                seen = None
                if not failed:
                    failed = True
                    said = error.strerror if isinstance(error, OSError) else str(error)
                    await fail(self.name, f"{self._where}: {said}")
            await anyio.sleep(self._every)


class SrvSource:
    """DNS SRV records (RFC 2782): one name for each shard, ``SHARD.NAME``; a target's port and address are its node.

    Records tell no start: what they name is warm only by its own word. A name with no records is a shard with no node.
    """

    name = "srv"

    def __init__(self, name: str, server: tuple[str, int], shards: int, every_s: float = 5.0) -> None:
        self._name, self._server, self._shards, self._every = name, server, shards, every_s
        self._draw = random.Random()

    def request_poll(self) -> None:
        """It asks at its own times."""

    async def run(self, tell: OnList, fail: OnFailure) -> None:
        """Ask until cancelled."""
        from dns.exception import DNSException

        failures = 0
        while True:
            try:
                entries = await self._all()
            except (DNSException, OSError, ValueError) as error:
                failures += 1
                await fail(self.name, f"{self._name}: {str(error) or type(error).__name__}")
                await anyio.sleep(jittered_backoff_seconds(failures, self._draw))
                continue
            failures = 0
            await tell(self.name, ReceivedList("", api.EndpointListKind.FULL, entries, 0))
            await anyio.sleep(self._every * (0.5 + self._draw.random()))

    async def _all(self) -> tuple[ListedEndpoint, ...]:
        import dns.asyncresolver
        import dns.resolver

        resolver = dns.asyncresolver.Resolver(configure=False)
        resolver.nameservers, resolver.port = [self._server[0]], self._server[1]
        resolver.lifetime = 2.0
        found = []
        for shard in range(self._shards):
            try:
                answer = await resolver.resolve(f"{shard}.{self._name}", "SRV", search=False)
            except (dns.resolver.NXDOMAIN, dns.resolver.NoAnswer):
                continue
            for record in sorted(answer, key=lambda each: (each.priority, -each.weight)):
                host = str(record.target).rstrip(".")
                addresses = (
                    await resolver.resolve(record.target, "A", search=False)
                    if not _is_address(host)
                    else [host]
                )
                found.append(
                    ListedEndpoint(f"{next(iter(addresses))}:{record.port}", api.EndpointStatus.READY, shard)
                )
        return tuple(found)


def _is_address(text: str) -> bool:
    return all(part.isdigit() for part in text.split("."))
