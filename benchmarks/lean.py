"""Minimal peers for measurements: a store that responds at once, and clients that generate load.

Both are asyncio protocols with almost no parsing, so that the program between them dominates the measured
cost.

    python benchmarks/lean.py store                     (prints its port)
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

SMALL_BODY = b"x" * 1024
CHUNK = b"\0" * 262144


class Store(asyncio.Protocol):
    """Answers a GET of ``/v/big-N`` with N MiB, and any other GET with 1 KiB; reads and discards uploads."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.buffer, self.remaining = transport, b"", 0
        self.writable = asyncio.Event()
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        if self.remaining:
            self.remaining -= len(data)
            if self.remaining <= 0:
                self.finish_upload()
            return
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head, self.buffer = self.buffer[:end], self.buffer[end + 4 :]
            line, *fields = head.lower().split(b"\r\n")
            length = next((int(f.split(b":")[1]) for f in fields if f.startswith(b"content-length")), 0)
            if line.startswith(b"get"):
                name = line.split()[1].rpartition(b"/")[2]
                if name.startswith(b"big-"):
                    asyncio.get_running_loop().create_task(self.send_large_object(int(name[4:]) << 20))
                else:
                    self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1024\r\n\r\n" + SMALL_BODY)
                continue
            self.remaining, self.buffer = length - len(self.buffer), b""
            if self.remaining <= 0:
                self.finish_upload()

    def finish_upload(self) -> None:
        self.remaining = 0
        self.transport.write(b"HTTP/1.1 201 Created\r\ncontent-length: 0\r\n\r\n")

    async def send_large_object(self, size: int) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size)
        while size:
            chunk = CHUNK[: min(size, len(CHUNK))]
            self.transport.write(chunk)
            size -= len(chunk)
            await self.writable.wait()


class Client(asyncio.Protocol):
    """One persistent connection; ``request`` sends a request and waits for the whole response."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.buffer, self.remaining = transport, b"", -1
        self.writable = asyncio.Event()
        self.writable.set()
        self.response: asyncio.Future[int] | None = None
        self.status = 0

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def connection_lost(self, error: Exception | None) -> None:
        if self.response and not self.response.done():
            self.response.set_exception(ConnectionError("the connection was lost during a request"))

    def data_received(self, data: bytes) -> None:
        if self.remaining < 0:
            self.buffer += data
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head, data, self.buffer = self.buffer[:end].lower(), self.buffer[end + 4 :], b""
            self.status = int(head[9:12])
            at = head.find(b"content-length:")
            self.remaining = int(head[at + 15 :].split(b"\r\n")[0]) if at >= 0 else 0
        self.remaining -= len(data)
        if self.remaining <= 0:
            self.remaining = -1
            if self.response and not self.response.done():
                self.response.set_result(self.status)

    async def request(self, request: bytes, body_size: int = 0) -> int:
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        while body_size:
            chunk = CHUNK[: min(body_size, len(CHUNK))]
            self.transport.write(chunk)
            body_size -= len(chunk)
            await self.writable.wait()
        return await self.response


def get_request(path: str, number: int) -> bytes:
    """Returns a GET of one of 512 objects."""
    return f"GET {path}{number % 512} HTTP/1.1\r\nhost: bench\r\n\r\n".encode()


async def load(host: str, port: int, mode: str, size: float, seconds: float, path: str) -> dict:
    """Runs a closed loop with ``size`` connections, or an open loop with ``size`` requests/s (Poisson)."""
    loop, histogram, errors = asyncio.get_running_loop(), HdrHistogram(1, 60_000_000, 3), 0
    ends_at, completed = time.perf_counter() + seconds, 0
    started_at = time.perf_counter()
    idle: list[Client] = []

    async def connect() -> Client:
        return (await loop.create_connection(Client, host, port))[1]

    async def send_request(client: Client, number: int, due_at: float) -> None:
        nonlocal completed, errors
        status = await client.request(get_request(path, number))
        histogram.record_value(int((time.perf_counter() - due_at) * 1e6))
        completed += 1
        errors += status >= 400

    if mode == "closed":

        async def run_connection(index: int) -> None:
            client, number = await connect(), index * 7919
            while time.perf_counter() < ends_at:
                number += 1
                await send_request(client, number, time.perf_counter())

        await asyncio.gather(*(run_connection(number) for number in range(int(size))))
    else:
        idle += [await connect() for _ in range(32)]  # connecting is not part of the measurement
        rng, tasks, next_at, number = random.Random(1), set(), time.perf_counter(), 0
        ends_at = next_at + seconds

        async def handle_arrival(number: int, due_at: float) -> None:
            client = idle.pop() if idle else await connect()
            await send_request(client, number, due_at)
            idle.append(client)

        while next_at < ends_at:
            next_at += rng.expovariate(size)
            number += 1
            await asyncio.sleep(max(0.0, next_at - time.perf_counter()))
            task = loop.create_task(handle_arrival(number, next_at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
    elapsed_s = time.perf_counter() - started_at
    latency = {f"p{p}": histogram.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)}
    return {"requests": completed, "bad": errors, "per_s": completed / elapsed_s, **latency}


async def transfer(host: str, port: int, mode: str, mib: int, times: int, path: str) -> dict:
    """Transfers a large object ``times`` times over one connection, and measures MB/s."""
    client = (await asyncio.get_running_loop().create_connection(Client, host, port))[1]
    size, started_at, errors = mib << 20, time.perf_counter(), 0
    for _ in range(times):
        if mode == "get":
            status = await client.request(f"GET {path}big-{mib} HTTP/1.1\r\nhost: bench\r\n\r\n".encode())
        else:
            head = f"PUT {path}put-{mib} HTTP/1.1\r\nhost: bench\r\ncontent-length: {size}\r\n\r\n"
            status = await client.request(head.encode(), size)
        errors += status >= 400
    return {"mb_per_s": size * times / (time.perf_counter() - started_at) / 1e6, "bad": errors}


async def store() -> None:
    """Runs the store and prints its port."""
    server = await asyncio.get_running_loop().create_server(Store, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


def main() -> None:
    command, *args = sys.argv[1:]
    if command == "store":
        asyncio.run(store())
    elif command == "load":
        host, port, mode, size, seconds, path = args
        print(json.dumps(asyncio.run(load(host, int(port), mode, float(size), float(seconds), path))))
    else:
        host, port, mode, mib, times, path = args
        print(json.dumps(asyncio.run(transfer(host, int(port), mode, int(mib), int(times), path))))


if __name__ == "__main__":
    main()
