"""A small deployment on loopback: gateway processes, and stand-ins for discovery, stores and clients.

The gateway is started with the line ``run`` of deploy/balancer.toml. Everything that is sent, answered and run
goes to a record with the time in milliseconds since its start.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
VOLUME = "00000003b4d60021"


def trouble() -> bool:
    """Return whether the script plays its disruption (``TROUBLE=0`` switches it off)."""
    return os.environ.get("TROUBLE", "1") != "0"


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings within the ranges of the deployment brno-runner, with some top-level parts changed."""
    parts: dict[str, Any] = {
        "balancers": 3,
        "classes": [
            {
                "name": "fetch",
                "worth": 2.0,
                "promise_ms": 400.0,
                "deadline_ms": 3000.0,
                "late_share": 0.1,
                "effect": "idempotent",
                "dedup_scope": "all",
                "memory_span_ms": 5000.0,
            },
            {
                "name": "submit",
                "worth": 3.0,
                "promise_ms": 500.0,
                "deadline_ms": 2500.0,
                "late_share": 0.15,
                "effect": "deduplicated",
                "dedup_scope": "cell",
                "memory_span_ms": 4000.0,
            },
            {
                "name": "export",
                "worth": 1.0,
                "promise_ms": 1500.0,
                "deadline_ms": 5000.0,
                "late_share": 0.2,
                "effect": "idempotent",
                "dedup_scope": "all",
                "memory_span_ms": 5000.0,
            },
        ],
        "clients": {"marks_retry": False},
        "discovery": "pushed",
        "domain": {
            "changes_data": [False, True, False],
            "counts_others": True,
            "fair_worth": 0.3,
            "idle_worth": 0.08,
            "mean_units": 2.0,
            "metering_ms": 500.0,
            "shards": 8,
            "units_top": 8,
            "young_limit": 9.0,
        },
        "goal": {"whole": 0.7, "worst_class": 0.1, "worst_tenant": 0.0, "worst_window": 0.2},
        "grades": [
            {
                "name": "skolni",
                "limit_burst": 0.0,
                "never_over": 0.0,
                "proportion": 2.0,
                "reservation": 4.6,
                "slack": 0.0,
                "usual_rate": 5.8,
                "worth_factor": 1.2,
            },
            {
                "name": "soutezni",
                "limit_burst": 0.0,
                "never_over": 0.0,
                "proportion": 6.0,
                "reservation": 8.6,
                "slack": 0.0,
                "usual_rate": 7.2,
                "worth_factor": 1.4,
            },
        ],
        "guarantees": {
            "answer_slack_ms": 8.0,
            "cold_from": 0.2,
            "drain_grace_ms": 1000.0,
            "extra_free": 3.0,
            "extra_window_ms": 5000.0,
            "fall_multiple": 3.0,
            "further_ratio": 0.1,
            "must_ask_in_ms": 10000.0,
            "tip_after_ms": 1500.0,
            "warm_after_ms": 18000.0,
        },
        "index": 0,
        "kind_of_service": "stores",
        "kinds": ["node-3c", "node-2c"],
        "layers": ["runner-store"],
        "policy_limits": {
            "cancel": True,
            "conn_idle_ms": 30000.0,
            "connect_timeout_ms": 250.0,
            "max_attempts": 3,
            "max_retry_after_ms": 500.0,
            "may_probe": True,
            "may_tell": False,
            "most_held": 29527,
            "multiplex": 32,
            "retry_after": True,
            "second_copies": False,
        },
        "prices": {"probe": 0.01, "waste": 0.05},
        "reporting": {"fields": ["util", "queue"], "how": "probe"},
        "tick_ms": 2.0,
        "tier": 0,
        "weight_source": "nominal",
        "zone": "brno-sal1",
        "zones": ["brno-sal1"],
    }
    return {**parts, **changes}


class Record:
    """The lines of a case's ``record.txt``: what was sent, answered and run, with the time in milliseconds."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    @property
    def now_ms(self) -> float:
        """The time since the start of the record."""
        return (time.monotonic() - self.started_at) * 1000

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now_ms:10.1f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Write the last line to the disk."""
        self._file.close()


class Message:
    """An HTTP message as it came: start line, headers by lower-case name, and the body."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader, on_head: Callable[[], None] | None = None) -> Message:
    """Read one message with a length; raises IncompleteReadError or OSError if it doesn't come whole."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    if on_head is not None:
        on_head()
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


class Store:
    """A store: serves each request after ``work_ms``, unless ``answer`` does something else with it.

    Attributes:
        runs: The request ids that have run, each with the time of its last byte in milliseconds.
        answer: Called with the request and the writer; returns True if it has dealt with the request.
    """

    def __init__(self, record: Record, name: str, cell: int, work_ms: float = 40.0) -> None:
        self.record = record
        self.name = name
        self.cell = cell
        self.work_ms = work_ms
        self.state = "in_service"
        self.started_ms = 0
        self.runs: list[tuple[str, float]] = []
        self.answer: Callable[[Message, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def entry(self) -> dict[str, Any]:
        """Return the store's entry in discovery's list."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": "brno-sal1",
            "kind": "node-3c",
            "cell": self.cell,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_message(reader)
                name = request.headers.get("req-id", "-")
                self.record.write(f"{self.name} got {name} {request.start} {len(request.body)} bytes")
                self.runs.append((name, self.record.now_ms))
                if self.answer is not None and await self.answer(request, writer):
                    continue
                await asyncio.sleep(self.work_ms / 1000)
                body = f"{self.name} ran {name}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                self.record.write(f"{self.name} answered {name}")
        writer.close()


class Discovery:
    """Discovery's agent: the list, and watches with an empty line every 2 s.

    While ``silent`` is set it takes connections and says nothing.
    """

    def __init__(self, record: Record, stores: list[Store]) -> None:
        self.record = record
        self.stores = stores
        self.version = 41
        self.silent = False
        self.writers: list[asyncio.StreamWriter] = []
        self.waiting: list[tuple[bytes, asyncio.StreamWriter]] = []
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port and send the empty lines."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._task = asyncio.create_task(self._beat())

    def full(self) -> dict[str, Any]:
        """Return the whole list."""
        rows = [store.entry() for store in self.stores if store.state != "terminated"]
        return {"version": self.version, "full": True, "servers": rows}

    def change(self, store: Store) -> None:
        """Tell all watches of one store's entry."""
        self.version += 1
        if not self.silent:
            row = {"version": self.version, "full": False, "servers": [store.entry()]}
            for writer in self.writers:
                self._chunk(writer, json.dumps(row).encode() + b"\n")
        self.record.write(f"discovery has version {self.version}: {store.name} {store.state}")

    def speak(self) -> None:
        """Stop being silent: what waits is answered."""
        self.silent = False
        waiting, self.waiting = self.waiting, []
        for target, writer in waiting:
            self._answer(target, writer)
        self.record.write("discovery speaks again")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(2)
            if not self.silent:
                for writer in self.writers:
                    self._chunk(writer, b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_message(reader)
                target = request.start.split()[1].encode()
                self.record.write(f"discovery was asked {target.decode()}")
                if self.silent:
                    self.waiting.append((target, writer))
                else:
                    self._answer(target, writer)
        if writer in self.writers:
            self.writers.remove(writer)
        self.waiting = [(target, each) for target, each in self.waiting if each is not writer]
        self.record.write("a connection to discovery has ended")
        writer.close()

    def _answer(self, target: bytes, writer: asyncio.StreamWriter) -> None:
        data = json.dumps(self.full()).encode()
        if b"watch=1" not in target:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._chunk(writer, data + b"\n")
        self.writers.append(writer)


class Gateway:
    """One gateway process, started with the deploy file's line ``run``."""

    def __init__(self, record: Record, discovery: Discovery, **info: Any) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = int(free.getsockname()[1])
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.full(),
            "settings": settings(),
            **info,
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and return once it has answered the readiness check with 200."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        variables = {
            **os.environ,
            "TMPDIR": str(scratch),
            "NODE_CONFIG": str(path),
            "NODE_NAME": str(self.config["name"]),
            "NODE_LISTEN": str(self.config["listen"]),
            "NODE_DISCOVERY": str(self.config["discovery"]),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        for _ in range(300):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if " 200 " in answer.start:
                    self.record.write(f"the gateway is ready, process {self.process.pid}")
                    return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise RuntimeError(f"the gateway did not get ready: {self.log()[-2000:]}")

    def log(self) -> str:
        """Return what the gateway has written to its log."""
        return (self.folder / "log").read_text(errors="replace")

    def memory_mb(self) -> float:
        """Return the private memory of the process in MiB (anonymous pages and shared memory, no mapped files)."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            fields = dict(line.split(":", 1) for line in status.splitlines())
            return sum(int(fields[name].split()[0]) for name in ("RssAnon", "RssShmem")) / 1024
        return 0.0

    def waits(self) -> int:
        """Return how often the process has waited for something; 0 if it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            fields = dict(line.split(":", 1) for line in status.splitlines())
            return int(fields["voluntary_ctxt_switches"])
        return 0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that ``run`` has started."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.record.write(f"{number.name} to the gateway")

    async def end(self) -> None:
        """Kill the process if it still runs, and add its log to the record."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            for line in self.log().splitlines()[-40:]:
                self.record.write(f"log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def request_bytes(kind: str, name: str, body: bytes = b"", deadline_ms: int = 0, cell: int = 1) -> bytes:
    """Return a request in the protocol's form."""
    deadlines = {"fetch": 3000, "submit": 2500, "export": 5000}
    method = "PUT" if kind == "submit" else "GET"
    lines = [
        f"{method} /api/{VOLUME}/7f3a9c21e0b4{cell:04x} HTTP/1.1",
        "Host: api.internal",
        f"Req-Id: {name}",
        f"Req-Kind: {kind}",
        "X-Plan: skolni",
        f"Req-Deadline-Ms: {deadline_ms or deadlines[kind]}",
        f"X-IO: units=2,shard={cell},hosts=1",
    ]
    if method == "PUT":
        lines += [f"Idempotency-Key: k-{name}", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


def play(record_path: Path, case: Callable[[Record], Awaitable[int]]) -> None:
    """Run a case, write its record, and end with its verdict: 0 held, 1 broken, 2 could not run."""
    record = Record(record_path)
    try:
        verdict = asyncio.run(asyncio.wait_for(case(record), 110))
    except Exception as error:  # noqa: BLE001 - whatever goes wrong in the test itself is no verdict on the gateway
        record.write(f"the case could not run: {error!r}")
        verdict = NOT_RUN
    record.write(f"verdict {verdict}: {['the rule held', 'the rule was broken', 'not run'][verdict]}")
    record.close()
    sys.exit(verdict)
