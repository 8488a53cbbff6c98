"""A worker of a load run: sends each planned request at its time over kept connections, natively or as an S3 client."""

from __future__ import annotations

import hashlib
import re
import time
from dataclasses import dataclass
from urllib.parse import urlsplit

import anyio
import anyio.abc
import h11

from winchdyke.auth.sigv4 import sign
from winchdyke.load.report import Results
from winchdyke.load.schedule import Mix, PlannedRequest, plan_requests

LOST = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    h11.RemoteProtocolError,
)
PARTS = 3  # of an upload
PART_BYTES = 5 << 20  # the least that S3 takes
CONNECTIONS = 2000


@dataclass(frozen=True)
class RunSettings:
    """One run. ``access``: an S3 key and its secret; empty for the object API, or S3 without a signature."""

    url: str
    rate: float
    length_ms: float
    mix: Mix
    volumes: list[str]
    objects: int
    size: int
    seed: int
    s3: bool
    access: tuple[str, str]
    patience_s: float


class _Connection:
    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream, self.http = stream, h11.Connection(h11.CLIENT)

    async def ask(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> tuple[int, dict[str, str], bytes]:
        """One request and its answer."""
        data = self.http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        await self.stream.send(data + (self.http.send(h11.EndOfMessage()) or b""))
        status, told, got = 0, {}, bytearray()
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                try:
                    self.http.receive_data(await self.stream.receive(256 * 1024))
                except anyio.EndOfStream:
                    self.http.receive_data(b"")
            elif isinstance(event, h11.Response):
                status, told = event.status_code, {n.decode(): v.decode("latin-1") for n, v in event.headers}
            elif isinstance(event, h11.Data):
                got += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, told, bytes(got)
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    def ready(self) -> bool:
        """Whether it can carry another request."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False


class Worker:
    """One process's part of a run."""

    def __init__(self, settings: RunSettings, number: int, workers: int) -> None:
        self.settings, self.number, self.workers = settings, number, workers
        parts = urlsplit(settings.url)
        self.host, self.port = parts.hostname or "", parts.port or 80
        self.results = Results()
        self._idle: list[_Connection] = []
        self.log: list[dict[str, object]] | None = None  # a line for each request, where it is wanted
        self._count = 0
        self._body = hashlib.shake_256(str(settings.seed).encode()).digest(max(settings.size, 1))
        self._part = self._body[:1] * PART_BYTES

    async def run(self) -> Results:
        """To the end of all that was sent."""
        began = time.perf_counter()
        places = anyio.Semaphore(CONNECTIONS)
        async with anyio.create_task_group() as group:
            for wish in plan_requests(
                self.settings.seed, self.settings.rate, self.settings.length_ms, self.settings.mix, self.settings.volumes,
                self.settings.objects, self.settings.size, self.number, self.workers,
            ):  # fmt: skip
                left = began + wish.at / 1000 - time.perf_counter()
                if left > 0:
                    await anyio.sleep(left)
                await places.acquire()
                group.start_soon(self._one, wish, began + wish.at / 1000, places)
        for connection in self._idle:
            await anyio.aclose_forcefully(connection.stream)
        self.results.seconds = time.perf_counter() - began
        return self.results

    async def _one(self, wish: PlannedRequest, due: float, places: anyio.Semaphore) -> None:
        self.results.send_delays.record_value(max(1, int((time.perf_counter() - due) * 1e6)))
        outcome = "no answer in time"
        self._count += 1
        name = f"load-{self.settings.seed}-{self.number}-{self._count}"
        try:
            with anyio.move_on_after(self.settings.patience_s):
                outcome = await self._do(wish, name)
        except LOST:
            outcome = "cut"
        finally:
            places.release()
        ms = (time.perf_counter() - due) * 1000
        self.results.add(wish.operation, wish.volume, outcome, ms)
        if self.log is not None:
            line = {
                "id": name,
                "operation": wish.operation,
                "volume": wish.volume,
                "outcome": outcome,
                "ms": round(ms, 3),
            }
            self.log.append(line)

    async def _do(self, wish: PlannedRequest, name: str) -> str:
        mine = [(b"x-request-id", name.encode())]
        path = f"/{wish.volume}/{wish.key}"
        if wish.operation == "list":
            query = "list-type=2&max-keys=100" if self.settings.s3 else "limit=100"
            return self._outcome(*(await self._ask("GET", f"/{wish.volume}", query, b"", mine))[:2])
        if wish.operation == "put":
            return self._outcome(*(await self._ask("PUT", path, "", self._body, mine))[:2])
        if wish.operation == "upload":
            return await self._upload(path, mine)
        more = (
            [(b"range", f"bytes={wish.first}-{wish.first + wish.size // 4}".encode())]
            if wish.operation == "range"
            else []
        )
        return self._outcome(*(await self._ask("GET", path, "", b"", [*more, *mine]))[:2])

    async def _upload(self, path: str, mine: list[tuple[bytes, bytes]]) -> str:
        status, headers, body = await self._ask(
            "POST", path, "uploads=" if self.settings.s3 else "uploads", b"", mine
        )
        found = re.search(rb'<UploadId>([^<]+)<|"uploadId": ?"([^"]+)"', body)
        if status != 200 or not found:
            return self._outcome(status, headers)
        upload = (found[1] or found[2]).decode()
        named = []
        for number in range(1, PARTS + 1):
            query = f"partNumber={number}&uploadId={upload}"
            status, headers, _ = await self._ask("PUT", path, query, self._part, mine)
            if status != 200:
                await self._ask("DELETE", path, f"uploadId={upload}", b"", mine)
                return self._outcome(status, headers)
            named.append(
                f"<Part><PartNumber>{number}</PartNumber><ETag>{headers.get('etag', '')}</ETag></Part>"
            )
        document = (
            f"<CompleteMultipartUpload>{''.join(named)}</CompleteMultipartUpload>".encode()
            if self.settings.s3
            else b""
        )
        status, headers, _ = await self._ask("POST", path, f"uploadId={upload}", document, mine)
        return self._outcome(status, headers)

    @staticmethod
    def _outcome(status: int, headers: dict[str, str]) -> str:
        if status < 400 or status in (404, 412, 416):
            return "served"
        if status < 500:
            return f"answered {status}"
        return headers.get("winchdyke-outcome") or ("refused" if "retry-after" in headers else "failed")

    async def _ask(
        self, method: str, path: str, query: str = "", body: bytes = b"", more: list[tuple[bytes, bytes]] = []  # noqa: B006
    ) -> tuple[int, dict[str, str], bytes]:  # fmt: skip
        host = f"{self.host}:{self.port}"
        headers = [(b"host", host.encode())]
        if self.settings.access[0]:
            headers = sign(
                method,
                host,
                path,
                query,
                hashlib.sha256(body).hexdigest(),
                *self.settings.access,
                time.time(),
            )
        headers += [(b"content-length", str(len(body)).encode()), *more]
        target = path + (f"?{query}" if query else "")
        connection = self._idle.pop() if self._idle else None
        if connection is None:
            stream = await anyio.connect_tcp(self.host, self.port)
            connection = _Connection(stream)
        try:
            status, told, got = await connection.ask(method, target, headers, body)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(connection.stream)
            raise
        self.results.bytes += len(got) + len(body)
        if connection.ready():
            self._idle.append(connection)
        else:
            await anyio.aclose_forcefully(connection.stream)
        return status, told, got
