"""A small deployment on the platform: gateways as processes, discovery, stores and clients as stand-ins.

They do what the protocol page allows, and are sound where it is silent: a store takes requests in turn, drops a repeat of
a key for 4 s with the first answer, and turns away what is not for its shard.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import common

SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "index": 0,
    "tick_ms": 1.0,
    "discovery": "pushed",
    "classes": [
        {
            "name": "fetch",
            "worth": 2.0,
            "promise_ms": 400.0,
            "deadline_ms": 3000.0,
            "late_share": 0.1,
            "effect": "idempotent",
        },
        {
            "name": "submit",
            "worth": 3.0,
            "promise_ms": 500.0,
            "deadline_ms": 2500.0,
            "late_share": 0.15,
            "effect": "deduplicated",
            "dedup_scope": "zone",
            "memory_span_ms": 4000.0,
        },
        {
            "name": "export",
            "worth": 1.0,
            "promise_ms": 1500.0,
            "deadline_ms": 5000.0,
            "late_share": 0.2,
            "effect": "idempotent",
        },
    ],
    "grades": [
        {"name": "skolni", "worth_factor": 1.2, "proportion": 2.0, "usual_rate": 40.0, "reservation": 32.0},
        {"name": "soutezni", "worth_factor": 1.4, "proportion": 6.0, "usual_rate": 50.0, "reservation": 60.0},
    ],
    "domain": {
        "changes_data": [False, True, False],
        "units_top": 8,
        "mean_units": 2.0,
        "fair_worth": 0.3,
        "idle_worth": 0.08,
        "young_limit": 9.0,
    },
    "policy_limits": {
        "conn_idle_ms": 10000.0,
        "connect_timeout_ms": 1000.0,
        "cancel": True,
        "max_attempts": 3,
        "second_copies": False,
        "retry_after": True,
        "max_retry_after_ms": 500.0,
    },
    "guarantees": {
        "cold_from": 0.2,
        "warm_after_ms": 18000.0,
        "fall_multiple": 3.0,
        "tip_after_ms": 1500.0,
        "extra_window_ms": 5000.0,
        "extra_free": 3.0,
        "further_ratio": 0.1,
    },
}
VOLUME = "00000003b4d60021"
DEADLINES = {kind["name"]: int(kind["deadline_ms"]) for kind in SETTINGS["classes"]}


@dataclass
class Store:
    """One store: it takes requests in turn of arrival on a number of cores.

    Attributes:
        work_ms: The time that a request takes on a core.
        runs: The ids of the requests that it ran, in order.
        seen: The ids of the requests whose last byte has come, in order.
    """

    case: common.Case
    name: str
    shard: int
    cores: int = 2
    work_ms: float = 50.0
    runs: list[str] = field(default_factory=list)
    seen: list[tuple[float, str, dict[str, str]]] = field(default_factory=list)
    address: str = ""

    async def start(self) -> None:
        """Listen on a loopback port."""
        self._free = asyncio.Semaphore(self.cores)
        self._answers: dict[str, tuple[float, asyncio.Future[bytes]]] = {}
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                head = {"method": lines[0].split()[0], "path": lines[0].split()[1]}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    head[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(head.get("content-length", "0")))
                self.seen.append((self.case.seconds, head.get("req-id", ""), head))
                self.case.note(
                    self.name,
                    "request",
                    id=head.get("req-id", "-"),
                    left_ms=head.get("req-deadline-ms", "-"),
                    bytes=len(body),
                )
                writer.write(await self._answer(head, body))
                await writer.drain()
        writer.close()

    async def _answer(self, head: dict[str, str], body: bytes) -> bytes:
        if not head.get("req-id"):
            return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        if f"shard={self.shard}," not in head.get("x-io", "").replace(" ", ""):
            return b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
        key = head.get("idempotency-key", "")
        if key and key in self._answers and time.monotonic() - self._answers[key][0] < 4.0:
            return await asyncio.shield(self._answers[key][1])
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        if key:
            self._answers[key] = (time.monotonic(), future)
        async with self._free:
            await asyncio.sleep(self.work_ms / 1000)
        self.runs.append(head["req-id"])
        self.case.note(self.name, "ran", id=head["req-id"])
        text = f"{head['method']} {head['path']} {head['req-id']} {len(body)} by {self.name}".encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)
        future.set_result(answer)
        return answer


class Discovery:
    """The agent: the whole list on request, and a watch with an empty line every 2 s."""

    def __init__(self, case: common.Case, stores: list[Store]) -> None:
        self.case, self.stores, self.version = case, stores, 41
        self.address = ""

    async def start(self) -> None:
        """Listen on a loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._server = server
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def full_list(self) -> dict[str, Any]:
        """Return the whole list."""
        servers = [
            {
                "id": store.name,
                "addr": store.address,
                "zone": "brno-sal1",
                "kind": "node-2c",
                "cell": store.shard,
                "state": "in_service",
                "weight": 1.0,
                "started_ms": 0,
            }
            for store in self.stores
        ]
        return {"version": self.version, "full": True, "servers": servers}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            data = json.dumps(self.full_list()).encode() + b"\n"
            if b"watch=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while True:
                    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                    await writer.drain()
                    data = b"\n"
                    await asyncio.sleep(2.0)
        writer.close()


class Deployment:
    """Stores, discovery, and gateways.

    Attributes:
        ports: The gateways' ports; ``port`` is the first one's.
        processes: The gateways' processes; ``process`` is the first one.
    """

    def __init__(self, case: common.Case, shards: int = 4, gateways: int = 1, **limits: float) -> None:
        self.case = case
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits}
        self.stores = [Store(case, f"store-{shard}", shard) for shard in range(shards)]
        self.discovery = Discovery(case, self.stores)
        self.ports: list[int] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self._gateways = gateways
        self._number = 0

    @property
    def port(self) -> int:
        """The first gateway's port."""
        return self.ports[0]

    @property
    def process(self) -> asyncio.subprocess.Process:
        """The first gateway's process."""
        return self.processes[0]

    async def start(self) -> None:
        """Start everything, and wait until the gateways are ready."""
        for store in self.stores:
            if not store.address:  # a store with an address runs already, in a process of its own
                await store.start()
        await self.discovery.start()
        for index in range(self._gateways):
            await self._start_gateway(index)

    async def _start_gateway(self, index: int) -> None:
        name = "gateway" if index == 0 else f"gateway-{index}"
        port = common.free_port()
        config = {
            "name": f"n{index}",
            "listen": f"127.0.0.1:{port}",
            "discovery": self.discovery.address,
            "seed": f"8c1f30d27a5be96{index}",
            "limits": self.limits,
            "known": self.discovery.full_list(),
            "settings": {**SETTINGS, "index": index},
        }
        path = self.case.folder / f"config-{index}.json"
        path.write_text(json.dumps(config))
        process = await self.case.spawn(
            name,
            "-m",
            "winchdyke.platform",
            NODE_NAME=f"n{index}",
            NODE_LISTEN=config["listen"],
            NODE_DISCOVERY=config["discovery"],
            NODE_CONFIG=str(path),
        )
        self.ports.append(port)
        self.processes.append(process)

        async def ready() -> bool:
            if process.returncode is not None:
                raise common.CouldNotRunError(f"{name} did not start: {self.case.log_text(name)[-500:]}")
            return (await common.ask(port, "GET", "/-/ready")).status == 200

        await common.wait_for(ready, 30, f"{name} is ready")

    def request(
        self, kind: str, shard: int, body: bytes = b"", deadline_ms: int = 0, item: int = 0
    ) -> tuple[str, bytes]:
        """Return the id and the bytes of a new request."""
        self._number += 1
        request_id = f"{self._number:016x}"
        method = "PUT" if kind == "submit" else "GET"
        lines = [
            f"{method} /api/{VOLUME}/{item or self._number:016x} HTTP/1.1",
            "Host: api.internal",
            f"Req-Id: {request_id}",
            f"Req-Kind: {kind}",
            "X-Plan: skolni",
            f"Req-Deadline-Ms: {deadline_ms or DEADLINES[kind]}",
            f"X-IO: units=2,shard={shard},hosts=1",
        ]
        if method == "PUT":
            lines += [f"Idempotency-Key: key-{request_id}", f"Content-Length: {len(body)}"]
        return request_id, "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def unread_at(port: int, writer: asyncio.StreamWriter) -> int | None:
    """Return how many bytes of a client's connection the gateway has not read yet; None if that is not known."""
    client_port = int(writer.get_extra_info("sockname")[1])
    ends = (f"0100007F:{port:04X}", f"0100007F:{client_port:04X}")
    with contextlib.suppress(OSError):
        for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines():
            fields = line.split()
            if len(fields) > 4 and (fields[1], fields[2]) == ends:
                return int(fields[4].partition(":")[2], 16)
    return None
