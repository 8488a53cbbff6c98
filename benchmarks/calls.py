"""Lists the system calls of the platform's gateway: start, load, SIGHUP, and exit after SIGTERM.

    python benchmarks/calls.py [--requests 2000] [--keep TRACE]

The `run` line of deploy/balancer.toml is started as the platform starts it, by `/bin/sh -c`, but under
`strace -f` and on loopback, with a store, discovery and clients of this program. The output is derived from
the trace alone: programs started, threads, socket families, addresses of bind and connect, files opened for
writing, and each system call with its count. A line that begins with ``BROKEN`` names something that the
platform's page forbids; the exit status is then 1. Requires `strace`; not run in CI.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path

HOME = Path(__file__).resolve().parent.parent
FORBIDDEN_CALLS = {
    "fork", "vfork", "io_uring_setup", "io_uring_enter", "splice", "sendfile", "sendfile64", "vmsplice", "tee", "execveat",
}  # fmt: skip
SETTINGS = {
    "balancers": 1,
    "index": 0,
    "classes": [
        {"name": "read", "worth": 2.0, "promise_ms": 300.0, "deadline_ms": 2000.0, "effect": "idempotent"}
    ],
    "grades": [{"name": "gold", "usual_rate": 500.0, "reservation": 500.0}],
    "domain": {"units_top": 8, "mean_units": 1.0},
    "policy_limits": {"conn_idle_ms": 5000.0, "connect_timeout_ms": 250.0, "max_attempts": 3},
}


async def store(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond with 200 to each request."""
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
    except (asyncio.IncompleteReadError, OSError):
        writer.close()


async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve a watch that sends only empty lines."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    try:
        while True:
            writer.write(b"1\r\n\n\r\n")
            await writer.drain()
            await asyncio.sleep(1.0)
    except (OSError, asyncio.CancelledError):
        writer.close()


async def client(port: int, first: int, count: int, answers: Counter[str]) -> None:
    """Send requests one after the other and count the statuses of the responses."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for number in range(first, first + count):
        writer.write(
            b"GET /api/00000003b4d60021/%016x HTTP/1.1\r\nHost: a\r\nReq-Id: %016x\r\nReq-Kind: read\r\nX-Plan: gold\r\n"
            b"Req-Deadline-Ms: 2000\r\nX-IO: units=1,shard=3,hosts=1\r\n\r\n" % (number, number)
        )
        head = await reader.readuntil(b"\r\n\r\n")
        answers[head.split()[1].decode()] += 1
        await reader.readexactly(int(re.search(rb"content-length: (\d+)", head.lower()).group(1)))  # type: ignore[union-attr]
    writer.close()


async def run_gateway(line: str, trace: Path, folder: Path, requests: int) -> tuple[int, Counter[str]]:
    """Run the gateway under strace; return its exit status and the statuses that its clients received."""
    store_server = await asyncio.start_server(store, "127.0.0.1", 0)
    discovery_server = await asyncio.start_server(discovery, "127.0.0.1", 0)
    with socket.socket() as free_socket:
        free_socket.bind(("127.0.0.1", 0))
        port = free_socket.getsockname()[1]
    store_port = store_server.sockets[0].getsockname()[1]
    entry = {
        "id": "s-1",
        "addr": f"127.0.0.1:{store_port}",
        "zone": "a",
        "cell": 3,
        "state": "in_service",
        "started_ms": 0,
    }
    config = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "seed": "1",
        "discovery": f"127.0.0.1:{discovery_server.sockets[0].getsockname()[1]}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"version": 1, "full": True, "servers": [entry]}, "settings": SETTINGS,
    }  # fmt: skip
    file = folder / "config.json"
    file.write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        "strace", "-f", "-qq", "-o", str(trace), "/bin/sh", "-c", line,
        cwd=HOME, env={**os.environ, "NODE_CONFIG": str(file), "TMPDIR": str(folder)},
        stderr=asyncio.subprocess.DEVNULL,
    )  # fmt: skip
    end = time.monotonic() + 60
    while time.monotonic() < end:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            break
        except OSError:
            await asyncio.sleep(0.1)
    answers = Counter[str]()
    client_count = 10
    await asyncio.gather(
        *(client(port, n * requests, requests // client_count, answers) for n in range(client_count))
    )
    gateway = int(Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()[0])
    os.kill(gateway, signal.SIGHUP)
    await asyncio.gather(
        *(client(port, (n + 20) * requests, requests // client_count, answers) for n in range(client_count))
    )
    os.kill(gateway, signal.SIGTERM)
    status = await asyncio.wait_for(process.wait(), 30)
    store_server.close()
    discovery_server.close()
    return status, answers


def analyze_trace(trace: str) -> tuple[list[str], list[str]]:
    """Return a summary of the trace, in lines, and the violations of the platform's rules."""
    calls, violations, lines = Counter[str](), list[str](), list[str]()
    execs, families, addresses, written = list[str](), Counter[str](), Counter[str](), Counter[str]()
    threads = 0
    for row in trace.splitlines():
        match = re.match(r"\d+\s+(\w+)\((.*)", row)
        if match is None:
            continue
        name, rest = match.groups()
        calls[name] += 1
        if name == "execve":
            execs.append(rest.split('"')[1])
        elif name in ("clone", "clone3"):
            threads += 1
            if "CLONE_THREAD" not in rest:
                violations.append(f"a process created by {name}({rest[:80]}")
        elif name == "socket":
            families[", ".join(part.split("|")[0].strip() for part in rest.split(",")[:2])] += 1
            if not rest.startswith("AF_INET,"):
                violations.append(f"socket({rest[:60]}")
        elif name in ("bind", "connect"):
            found = re.search(r'inet_addr\("([^"]+)"', rest)
            addresses[f"{name} {found.group(1) if found else rest[:60]}"] += 1
        elif name in ("open", "openat") and re.search(r"O_(WRONLY|RDWR|CREAT)", rest) and "= -1" not in rest:
            path = rest.split('"')[1]
            written[path] += 1
            if path != "/dev/null":
                violations.append(f"{path} opened for writing")
        if name in FORBIDDEN_CALLS:
            violations.append(f"{name}({rest[:80]}")
    if len(execs) != 2:
        violations.append(f"programs started: {execs}")
    lines += [
        f"programs: {' then '.join(execs)}",
        f"threads started: {threads}",
        f"sockets: {dict(families)}",
    ]
    lines += [f"addresses: {dict(addresses)}", f"files written: {dict(written)}"]
    lines.append("calls: " + ", ".join(f"{name} {count}" for name, count in calls.most_common()))
    return lines, violations


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--keep", type=Path)
    arguments = parser.parse_args()
    line = tomllib.loads((HOME / "deploy" / "balancer.toml").read_text())["run"]
    with tempfile.TemporaryDirectory() as folder:
        trace = arguments.keep or Path(folder) / "trace"
        status, answers = asyncio.run(run_gateway(line, trace, Path(folder), arguments.requests))
        lines, violations = analyze_trace(trace.read_text(errors="replace"))
    print(f"run = {shlex.quote(line)}; ended with {status}; answers {dict(answers)}")
    print("\n".join(lines))
    for violation in violations:
        print("BROKEN", violation)
    return 1 if violations or status else 0


if __name__ == "__main__":
    sys.exit(main())
