"""A worker of a load run: sends each request at its planned time, over persistent connections."""

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

CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    h11.RemoteProtocolError,
)
PARTS = 3  # parts of each multipart upload
PART_BYTES = 5 << 20  # the minimum size that S3 allows
MAX_CONNECTIONS = 2000


@dataclass(frozen=True)
class RunSettings:
    """Settings of a run.

    Attributes:
        url: URL of the gateway or its S3 listener.
        rate: Requests per second, over all workers.
        length_ms: Duration in milliseconds.
        mix: Frequencies of the operations.
        volumes: Volumes, each used equally often.
        objects: Number of objects in each volume.
        size: Bytes of each object.
        s3: Whether ``url`` is an S3 listener.
        access: S3 access key ID and secret; empty strings for the object API or unsigned S3 requests.
        patience_s: Time limit of a request, in seconds.
    """

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

    async def exchange(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request, and return the status, headers and body of the response."""
        data = self.http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        await self.stream.send(data + (self.http.send(h11.EndOfMessage()) or b""))
        status, response_headers, content = 0, {}, bytearray()
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                try:
                    self.http.receive_data(await self.stream.receive(256 * 1024))
                except anyio.EndOfStream:
                    self.http.receive_data(b"")
            elif isinstance(event, h11.Response):
                status, response_headers = (
                    event.status_code,
                    {n.decode(): v.decode("latin-1") for n, v in event.headers},
                )
            elif isinstance(event, h11.Data):
                content += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, response_headers, bytes(content)
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    def ready(self) -> bool:
        """Prepare for another request; returns False if the connection can't be reused."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False


class Worker:
    """The part of a run that one process executes.

    Attributes:
        results: Results so far.
        log: One entry for each finished request; None: not collected.
    """

    def __init__(self, settings: RunSettings, number: int, workers: int) -> None:
        self.settings, self.number, self.workers = settings, number, workers
        parts = urlsplit(settings.url)
        self.host, self.port = parts.hostname or "", parts.port or 80
        self.results = Results()
        self._idle: list[_Connection] = []
        self.log: list[dict[str, object]] | None = None
        self._count = 0
        self._body = hashlib.shake_256(str(settings.seed).encode()).digest(max(settings.size, 1))
        self._part = self._body[:1] * PART_BYTES

    async def run(self) -> Results:
        """Send all planned requests, and return the results once all have ended."""
        began = time.perf_counter()
        free_slots = anyio.Semaphore(MAX_CONNECTIONS)
        async with anyio.create_task_group() as group:
            for request in plan_requests(
                self.settings.seed, self.settings.rate, self.settings.length_ms, self.settings.mix, self.settings.volumes,
                self.settings.objects, self.settings.size, self.number, self.workers,
            ):  # fmt: skip
                left = began + request.at / 1000 - time.perf_counter()
                if left > 0:
                    await anyio.sleep(left)
                await free_slots.acquire()
                group.start_soon(self._execute, request, began + request.at / 1000, free_slots)
        for connection in self._idle:
            await anyio.aclose_forcefully(connection.stream)
        self.results.seconds = time.perf_counter() - began
        return self.results

    async def _execute(self, request: PlannedRequest, due: float, free_slots: anyio.Semaphore) -> None:
        self.results.send_delays.record_value(max(1, int((time.perf_counter() - due) * 1e6)))
        outcome = "no answer in time"
        self._count += 1
        name = f"load-{self.settings.seed}-{self.number}-{self._count}"
        try:
            with anyio.move_on_after(self.settings.patience_s):
                outcome = await self._send(request, name)
        except CONNECTION_ERRORS:
            outcome = "cut"
        finally:
            free_slots.release()
        ms = (time.perf_counter() - due) * 1000
        self.results.add(request.operation, request.volume, outcome, ms)
        if self.log is not None:
            line = {
                "id": name,
                "operation": request.operation,
                "volume": request.volume,
                "outcome": outcome,
                "ms": round(ms, 3),
            }
            self.log.append(line)

    async def _send(self, request: PlannedRequest, name: str) -> str:
        id_header = [(b"x-request-id", name.encode())]
        path = f"/{request.volume}/{request.key}"
        if request.operation == "list":
            query = "list-type=2&max-keys=100" if self.settings.s3 else "limit=100"
            return self._outcome(
                *(await self._exchange("GET", f"/{request.volume}", query, b"", id_header))[:2]
            )
        if request.operation == "put":
            return self._outcome(*(await self._exchange("PUT", path, "", self._body, id_header))[:2])
        if request.operation == "upload":
            return await self._upload(path, id_header)
        extra_headers = (
            [(b"range", f"bytes={request.first}-{request.first + request.size // 4}".encode())]
            if request.operation == "range"
            else []
        )
        return self._outcome(*(await self._exchange("GET", path, "", b"", [*extra_headers, *id_header]))[:2])

    async def _upload(self, path: str, id_header: list[tuple[bytes, bytes]]) -> str:
        status, headers, body = await self._exchange(
            "POST", path, "uploads=" if self.settings.s3 else "uploads", b"", id_header
        )
        match = re.search(rb'<UploadId>([^<]+)<|"uploadId": ?"([^"]+)"', body)
        if status != 200 or not match:
            return self._outcome(status, headers)
        upload = (match[1] or match[2]).decode()
        part_elements = []
        for number in range(1, PARTS + 1):
            query = f"partNumber={number}&uploadId={upload}"
            status, headers, _ = await self._exchange("PUT", path, query, self._part, id_header)
            if status != 200:
                await self._exchange("DELETE", path, f"uploadId={upload}", b"", id_header)
                return self._outcome(status, headers)
            part_elements.append(
                f"<Part><PartNumber>{number}</PartNumber><ETag>{headers.get('etag', '')}</ETag></Part>"
            )
        document = (
            f"<CompleteMultipartUpload>{''.join(part_elements)}</CompleteMultipartUpload>".encode()
            if self.settings.s3
            else b""
        )
        status, headers, _ = await self._exchange("POST", path, f"uploadId={upload}", document, id_header)
        return self._outcome(status, headers)

    @staticmethod
    def _outcome(status: int, headers: dict[str, str]) -> str:
        if status < 400 or status in (404, 412, 416):
            return "served"
        if status < 500:
            return f"answered {status}"
        return headers.get("winchdyke-outcome") or ("refused" if "retry-after" in headers else "failed")

    async def _exchange(
        self, method: str, path: str, query: str = "", body: bytes = b"", extra_headers: list[tuple[bytes, bytes]] = []  # noqa: B006
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
        headers += [(b"content-length", str(len(body)).encode()), *extra_headers]
        target = path + (f"?{query}" if query else "")
        connection = self._idle.pop() if self._idle else None
        if connection is None:
            stream = await anyio.connect_tcp(self.host, self.port)
            connection = _Connection(stream)
        try:
            status, response_headers, content = await connection.exchange(method, target, headers, body)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(connection.stream)
            raise
        self.results.bytes += len(content) + len(body)
        if connection.ready():
            self._idle.append(connection)
        else:
            await anyio.aclose_forcefully(connection.stream)
        return status, response_headers, content
