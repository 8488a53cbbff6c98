"""Lean peers for measuring: a store that answers at once, and clients that load an address.

Both are asyncio protocols with no parser to speak of, so that what stands between them is what is measured.

    python benchmarks/lean.py store                     prints its port
    python benchmarks/lean.py load HOST PORT closed CONNECTIONS SECONDS PATH
    python benchmarks/lean.py load HOST PORT open RATE SECONDS PATH
    python benchmarks/lean.py move HOST PORT get|put MIB TIMES PATH
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time

from hdrh.histogram import HdrHistogram

SMALL = b"x" * 1024
CHUNK = b"\0" * 262144


class Store(asyncio.Protocol):
    """Answers a GET of ``/v/big-N`` with N MiB, any other with 1 KiB; reads bodies and forgets them."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.buffer, self.left = transport, b"", 0
        self.writable = asyncio.Event()
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        if self.left:
            self.left -= len(data)
            if self.left <= 0:
                self.done()
            return
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head, self.buffer = self.buffer[:end], self.buffer[end + 4 :]
            line, *fields = head.lower().split(b"\r\n")
            length = next((int(f.split(b":")[1]) for f in fields if f.startswith(b"content-length")), 0)
            if line.startswith(b"get"):
                name = line.split()[1].rpartition(b"/")[2]
                if name.startswith(b"big-"):
                    asyncio.get_running_loop().create_task(self.big(int(name[4:]) << 20))
                else:
                    self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1024\r\n\r\n" + SMALL)
                continue
            self.left, self.buffer = length - len(self.buffer), b""
            if self.left <= 0:
                self.done()

    def done(self) -> None:
        self.left = 0
        self.transport.write(b"HTTP/1.1 201 Created\r\ncontent-length: 0\r\n\r\n")

    async def big(self, size: int) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size)
        while size:
            piece = CHUNK[: min(size, len(CHUNK))]
            self.transport.write(piece)
            size -= len(piece)
            await self.writable.wait()


class Client(asyncio.Protocol):
    """One kept connection: ``ask`` sends and waits for the whole answer."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.buffer, self.left = transport, b"", -1
        self.writable = asyncio.Event()
        self.writable.set()
        self.answer: asyncio.Future[int] | None = None
        self.status = 0

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def connection_lost(self, error: Exception | None) -> None:
        if self.answer and not self.answer.done():
            self.answer.set_exception(ConnectionError("cut"))

    def data_received(self, data: bytes) -> None:
        if self.left < 0:
            self.buffer += data
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head, data, self.buffer = self.buffer[:end].lower(), self.buffer[end + 4 :], b""
            self.status = int(head[9:12])
            at = head.find(b"content-length:")
            self.left = int(head[at + 15 :].split(b"\r\n")[0]) if at >= 0 else 0
        self.left -= len(data)
        if self.left <= 0:
            self.left = -1
            if self.answer and not self.answer.done():
                self.answer.set_result(self.status)

    async def ask(self, request: bytes, body: int = 0) -> int:
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        while body:
            piece = CHUNK[: min(body, len(CHUNK))]
            self.transport.write(piece)
            body -= len(piece)
            await self.writable.wait()
        return await self.answer


def get(path: str, number: int) -> bytes:
    return f"GET {path}{number % 512} HTTP/1.1\r\nhost: bench\r\n\r\n".encode()


async def load(host: str, port: int, how: str, size: float, seconds: float, path: str) -> dict:
    """Closed loop with ``size`` connections, or open loop with ``size`` requests a second (Poisson)."""
    loop, histogram, bad = asyncio.get_running_loop(), HdrHistogram(1, 60_000_000, 3), 0
    until, done = time.perf_counter() + seconds, 0
    began = time.perf_counter()
    idle: list[Client] = []

    async def connect() -> Client:
        return (await loop.create_connection(Client, host, port))[1]

    async def once(client: Client, number: int, since: float) -> None:
        nonlocal done, bad
        status = await client.ask(get(path, number))
        histogram.record_value(int((time.perf_counter() - since) * 1e6))
        done += 1
        bad += status >= 400

    if how == "closed":

        async def turn(first: int) -> None:
            client, number = await connect(), first * 7919
            while time.perf_counter() < until:
                number += 1
                await once(client, number, time.perf_counter())

        await asyncio.gather(*(turn(number) for number in range(int(size))))
    else:
        idle += [await connect() for _ in range(32)]  # connecting is not what is measured
        draw, tasks, due, number = random.Random(1), set(), time.perf_counter(), 0
        until = due + seconds

        async def arrive(number: int, since: float) -> None:
            client = idle.pop() if idle else await connect()
            await once(client, number, since)
            idle.append(client)

        while due < until:
            due += draw.expovariate(size)
            number += 1
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            task = loop.create_task(arrive(number, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
    took = time.perf_counter() - began
    latency = {f"p{p}": histogram.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)}
    return {"requests": done, "bad": bad, "per_s": done / took, **latency}


async def move(host: str, port: int, how: str, mib: int, times: int, path: str) -> dict:
    """Move a large object some times over one connection; MB/s."""
    client = (await asyncio.get_running_loop().create_connection(Client, host, port))[1]
    size, began, bad = mib << 20, time.perf_counter(), 0
    for _ in range(times):
        if how == "get":
            status = await client.ask(f"GET {path}big-{mib} HTTP/1.1\r\nhost: bench\r\n\r\n".encode())
        else:
            head = f"PUT {path}put-{mib} HTTP/1.1\r\nhost: bench\r\ncontent-length: {size}\r\n\r\n"
            status = await client.ask(head.encode(), size)
        bad += status >= 400
    return {"mb_per_s": size * times / (time.perf_counter() - began) / 1e6, "bad": bad}


async def store() -> None:
    server = await asyncio.get_running_loop().create_server(Store, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


def main() -> None:
    kind, *words = sys.argv[1:]
    if kind == "store":
        asyncio.run(store())
    elif kind == "load":
        host, port, how, size, seconds, path = words
        print(json.dumps(asyncio.run(load(host, int(port), how, float(size), float(seconds), path))))
    else:
        host, port, how, mib, times, path = words
        print(json.dumps(asyncio.run(move(host, int(port), how, int(mib), int(times), path))))


if __name__ == "__main__":
    main()
