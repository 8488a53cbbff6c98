"""The platform's gateway on raw sockets: what came over the wire is the judge."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from test_platform import PATH, READ, SETTINGS_JSON, WRITE, config, message

from winchdyke.gateway import logs
from winchdyke.platform import configuration, sockets
from winchdyke.platform.client_connection import ConnectionState
from winchdyke.platform.service import PlatformGateway

logs.configure("none")
ScriptedResponse = Callable[[asyncio.StreamWriter, bytes, int], Awaitable[None] | None]
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"


class Store:
    """A store that reads requests one by one and says what its script says."""

    def __init__(self, say: ScriptedResponse) -> None:
        self.say, self.seen, self.connections, self.ends = say, [], 0, 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{port_of(self.server)}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                at = head.lower().find(b"content-length:")
                length = int(head[at + 15 :].split(b"\r\n")[0]) if at >= 0 else 0
                self.seen.append(head + await reader.readexactly(length))
                done = self.say(writer, head, len(self.seen))
                if done is not None:
                    await done
        self.ends += 1


def good(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
    writer.write(GOOD)


class Site:
    """A gateway, one store and discovery."""

    def __init__(
        self, gateway: PlatformGateway, store: Store, watches: list[asyncio.StreamWriter], port: int
    ) -> None:
        self.gateway, self.store, self.watches, self.port, self.number = gateway, store, watches, port, 0

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    def request(self, **changes: str) -> bytes:
        self.number += 1
        base = WRITE if changes.get("Req-Kind") == "write" else READ
        method = "PUT" if base is WRITE else "GET"
        headers = {**base, "X-IO": "units=2,shard=3,hosts=2", "Req-Id": f"{self.number:016x}", **changes}
        return message(f"{method} {PATH} HTTP/1.1", headers) + (b"abc" if base is WRITE else b"")

    async def ask(self, data: bytes | None = None, **changes: str) -> tuple[int, dict[str, str], bytes]:
        reader, writer = await self.open()
        writer.write(data or self.request(**changes))
        try:
            return await answer(reader)
        finally:
            writer.close()

    def tell(self, version: int, watch: int = -1, **changes: Any) -> None:
        line = {"version": version, "full": False, "servers": [{**self.entry, **changes}]}
        data = json.dumps(line).encode() + b"\n"
        self.watches[watch].write(b"%x\r\n%s\r\n" % (len(data), data))

    entry: dict[str, Any]


async def answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 6)).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split()[1]), headers, body


async def until(what: Callable[[], bool], seconds: float = 5.0) -> None:
    end = time.monotonic() + seconds
    while not what():
        assert time.monotonic() < end, "it did not come about"
        await asyncio.sleep(0.01)


def port_of(server: asyncio.Server) -> int:
    return int(server.sockets[0].getsockname()[1])


HELD: list[socket.socket] = []


def free_port() -> int:
    """A port for a listener, kept by a socket that does not listen: the system gives it to nobody else meanwhile."""
    kept = socket.socket()
    kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    kept.bind(("127.0.0.1", 0))
    HELD.append(kept)
    return int(kept.getsockname()[1])


async def discovery(watches: list[asyncio.StreamWriter]) -> asyncio.Server:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        watches.append(writer)

    return await asyncio.start_server(serve, "127.0.0.1", 0)


@asynccontextmanager
async def site(
    path: Path,
    say: ScriptedResponse = good,
    listed: bool = True,
    max_descriptors: int = 256,
    make_discovery: Callable[[list[asyncio.StreamWriter]], Awaitable[asyncio.Server]] | None = None,
    known: dict[str, Any] | None = None,
) -> AsyncIterator[Site]:
    store, watches = Store(say), list[asyncio.StreamWriter]()
    await store.start()
    lists = await (make_discovery or discovery)(watches)
    entry = {
        "id": "s-1",
        "addr": store.address,
        "zone": "a",
        "cell": 3,
        "state": "in_service",
        "started_ms": 0,
    }
    port = free_port()
    variables = config(
        path / "config.json",
        listen=f"127.0.0.1:{port}",
        discovery=f"127.0.0.1:{port_of(lists)}",
        known=known or {"version": 1, "full": True, "servers": [entry] if listed else []},
        limits={"cores": 1, "memory_mb": 64, "sockets": max_descriptors},
    )
    os.environ["NODE_CONFIG"] = variables["NODE_CONFIG"]
    gateway = PlatformGateway(configuration.read_environment(variables), asyncio.get_running_loop())
    serving = asyncio.ensure_future(gateway.run())
    made = Site(gateway, store, watches, port)
    made.entry = entry
    try:
        await until(lambda: bool(watches))
        yield made
    finally:
        gateway.stop()
        await asyncio.wait_for(serving, 10)
        store.server.close()
        lists.close()


async def spawn_gateway(variables: dict[str, str]) -> asyncio.subprocess.Process:
    """The program itself; what it says is kept."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "winchdyke.platform",
        env={**os.environ, **variables},
        stderr=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )


def handles_signal(pid: int, number: int) -> bool:
    """Whether a process has a handler for a signal."""
    status = Path(f"/proc/{pid}/status").read_text()
    return bool(int(status.split("SigCgt:")[1].split()[0], 16) >> (number - 1) & 1)


def test_a_request_is_served_with_what_the_store_made_and_passes_on_as_it_was(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            assert (await it.ask(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"))[0] == 200
            status, _, body = await it.ask(**{"Req-Kind": "write"})
            assert (status, body) == (200, b"good")
            seen = it.store.seen[0]
            assert seen.startswith(f"PUT {PATH} HTTP/1.1".encode()) and seen.endswith(b"\r\n\r\nabc")
            assert b"idempotency-key: k1" in seen.lower() and b"req-id: 0000000000000001" in seen.lower()

    asyncio.run(play())


def test_what_is_given_up_is_answered_at_once_with_when_to_come_back(tmp_path):
    async def play() -> None:
        async with site(tmp_path, listed=False) as it:
            began = time.monotonic()
            status, headers, _ = await it.ask(**{"Req-Deadline-Ms": "2000"})
            assert (status, headers["retry-after"]) == (503, "0.500")
            assert time.monotonic() - began < 1.0 and not it.store.seen

    asyncio.run(play())


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\x00\x16noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 1000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * 40000,
        b"HTTP/1.1 200 OK\r\n\r\nwithout an end",
    ],
)
def test_a_spoilt_answer_is_never_passed_on_and_its_connection_ends(tmp_path, spoilt):
    def say(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        writer.write(spoilt if number == 1 else GOOD)

    async def play() -> None:
        async with site(tmp_path, say) as it:
            status, _, body = await it.ask()
            assert (status, body) == (200, b"good"), "a read goes again"
            assert (len(it.store.seen), it.store.connections) == (2, 2)
            assert not it.gateway.upstream_pool.response_memory.buffered_bytes

    asyncio.run(play())


def test_a_good_answer_with_more_behind_or_ahead_is_served_and_more_is_no_answer(tmp_path):
    def say(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2 + GOOD + (GOOD if number == 1 else b""))

    async def play() -> None:
        async with site(tmp_path, say) as it:
            for _ in range(2):
                status, _, body = await it.ask()
                assert (status, body) == (200, b"good")
            assert it.store.connections == 2, "no request waits behind bytes that are not its answer"

    asyncio.run(play())


def test_a_connection_that_the_store_ends_or_talks_on_while_it_is_kept_is_not_used(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            await it.ask()
            it.store.writers[0].write(GOOD)
            await it.store.writers[0].drain()
            await it.ask()
            assert it.store.connections == 2
            it.store.writers[1].close()
            assert (await it.ask())[0] == 200 and it.store.connections == 3
            assert len(it.store.seen) == 3, "each went once"

    asyncio.run(play())


def test_a_kept_connection_is_looked_at_before_use_also_where_the_loop_has_not_turned_since(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            await it.ask()
            place = it.gateway.endpoints.addresses["s-1"]
            await until(lambda: bool(it.gateway.upstream_pool._idle))
            it.store.writers[0].write(GOOD)
            time.sleep(0.05)  # the bytes are there; the loop has not seen them
            assert it.gateway.upstream_pool.take_idle(place) is None

    asyncio.run(play())


def test_a_large_answer_is_served_whole_and_one_beyond_the_memory_is_not(tmp_path):
    size = {1: 180_000, 2: 2_000_000}

    def say(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        most = size.get(number, 4)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % most + b"y" * most)

    async def play() -> None:
        async with site(tmp_path, say) as it:
            assert (await it.ask())[2] == b"y" * 180_000
            assert (await it.ask())[2] == b"y" * 4

    asyncio.run(play())


BAD = [
    b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 60000,
    b"PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: -4\r\n\r\n" % PATH.encode(),
    b"PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n" % PATH.encode(),
    message(f"PUT {PATH} HTTP/1.1", {**WRITE, "Transfer-Encoding": "chunked"})
    + b"0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
    message(f"PUT {PATH} HTTP/1.1", {**WRITE, "Content-Length": "60000000"}) + b"x" * 300_000,
    message(f"GET {PATH} HTTP/1.1", {**READ, "Req-Kind": "none"}),
    message(f"PUT {PATH} HTTP/1.1", WRITE) + b"a",
    message(f"GET {PATH} HTTP/1.1", READ)[:-20],
    b"",
]


@pytest.mark.parametrize("data", BAD, ids=range(len(BAD)))
def test_what_cannot_be_read_gets_an_error_or_a_close_in_time_and_nothing_goes_on(tmp_path, data):
    async def play() -> None:
        async with site(tmp_path) as it:
            reader, writer = await it.open()
            writer.write(data)
            said = b""
            with contextlib.suppress(ConnectionError):
                said = await asyncio.wait_for(reader.read(), 3.0)
            assert not said or said.startswith((b"HTTP/1.1 4", b"HTTP/1.1 5"))
            assert not said.startswith((b"HTTP/1.1 429", b"HTTP/1.1 503"))
            assert not it.store.seen and not it.gateway.scheduler_loop.open_requests
            writer.close()

    asyncio.run(play())


def test_an_id_that_is_open_already_is_an_error_and_the_first_is_served(tmp_path):
    async def say(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        await asyncio.sleep(0.2)
        writer.write(GOOD)

    async def play() -> None:
        async with site(tmp_path, say) as it:
            first = asyncio.ensure_future(it.ask(**{"Req-Id": "same"}))
            await until(lambda: bool(it.store.seen))
            assert (await it.ask(**{"Req-Id": "same"}))[0] == 409
            assert (await first)[0] == 200 and len(it.store.seen) == 1

    asyncio.run(play())


def test_strangers_who_say_nothing_do_not_keep_others_out(tmp_path):
    async def play() -> None:
        async with site(tmp_path, max_descriptors=64) as it:
            silent = [await it.open() for _ in range(60)]
            assert (await it.ask())[0] == 200
            assert it.gateway.clients.count <= it.gateway.listener.max_connections
            await until(lambda: not it.gateway.clients.by_state[ConnectionState.NEW], 4.0)
            for _, writer in silent:
                writer.close()

    asyncio.run(play())


def test_clients_that_ask_once_and_stay_are_ended_the_longest_idle_first(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            stayed = []
            for _ in range(60):
                reader, writer = await it.open()
                writer.write(it.request())
                assert (await answer(reader))[0] == 200
                stayed.append((reader, writer))
            assert len(it.gateway.clients.by_state[ConnectionState.IDLE]) <= 20
            assert stayed[0][0].at_eof() or await stayed[0][0].read() == b""
            reader, writer = stayed[-1]
            writer.write(it.request())
            assert (await answer(reader))[0] == 200, "the last is kept"
            for _, writer in stayed:
                writer.close()

    asyncio.run(play())


def test_readiness_is_answered_with_a_close(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            status, headers, _ = await it.ask(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (status, headers["connection"]) == (200, "close") and not it.gateway.clients.count

    asyncio.run(play())


def test_pipelined_requests_are_answered_in_turn(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            reader, writer = await it.open()
            writer.write(b"".join(it.request() for _ in range(20)))
            assert [(await answer(reader))[0] for _ in range(20)] == [200] * 20
            writer.close()

    asyncio.run(play())


def test_a_client_that_leaves_takes_nothing_with_it_and_the_connection_to_the_store_is_kept(tmp_path):
    async def say(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        await asyncio.sleep(0.1)
        writer.write(GOOD)

    async def play() -> None:
        async with site(tmp_path, say) as it:
            _, writer = await it.open()
            writer.write(it.request())
            await until(lambda: bool(it.store.seen))
            writer.close()
            await until(lambda: it.gateway.counts["clients_disconnected"] == 1)
            assert (
                it.gateway.scheduler_loop.disconnected_requests
                and not it.gateway.scheduler_loop.open_requests
            )
            assert (await it.ask())[0] == 200 and it.store.connections <= 2
            assert (
                not it.gateway.scheduler_loop.disconnected_requests
                and not it.gateway.scheduler_loop._scheduler.requests
            )

    asyncio.run(play())


def test_a_drain_is_heard_and_nothing_new_is_sent(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            assert (await it.ask())[0] == 200
            it.tell(2, state="terminating")
            await until(lambda: it.gateway.discovery.version == 2)
            await asyncio.sleep(0.02)
            assert (await it.ask())[0] == 503 and len(it.store.seen) == 1

    asyncio.run(play())


def test_a_line_that_cannot_be_read_leads_to_a_whole_list(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            it.watches[0].write(b"4\r\n{no\n\r\n")
            await until(lambda: len(it.watches) == 2)
            assert it.gateway.discovery._needs_full_list and (await it.ask())[0] == 200

    asyncio.run(play())


def test_sighup_moves_to_the_new_discovery_and_a_bad_file_changes_nothing(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            path = tmp_path / "config.json"
            info, watches = json.loads(path.read_text()), list[asyncio.StreamWriter]()
            path.write_text("{half")
            it.gateway.reload(attempts=1)
            assert it.gateway.discovery.address[1] == int(info["discovery"].rpartition(":")[2])
            lists = await discovery(watches)
            info["discovery"] = f"127.0.0.1:{port_of(lists)}"
            path.write_text(json.dumps(info))
            it.gateway.reload()
            await until(lambda: bool(watches))
            it.watches = watches
            it.tell(2, state="terminating")
            await until(lambda: it.gateway.discovery.version == 2)
            assert (await it.ask())[0] == 503
            lists.close()

    asyncio.run(play())


def test_after_sigterm_kept_connections_serve_until_the_last_call_and_say_close_then(tmp_path):
    """A gateway that hung up 0.45 s after SIGTERM and was back only 4 s later left its clients with nobody: a third of all
    requests in the middle of a rolling restart of the fleet."""

    async def play() -> None:
        async with site(tmp_path) as it:
            kept_reader, kept = await it.open()
            kept.write(it.request())
            assert (await answer(kept_reader))[0] == 200
            it.gateway.stop()
            calls = it.gateway.shutdown.schedule
            assert calls is not None
            for _ in range(3):  # past what was once the end
                await asyncio.sleep(0.4)
                kept.write(it.request())
                status, headers, _ = await answer(kept_reader)
                assert (status, headers.get("connection")) == (200, None)
            assert (await it.ask())[0] == 200  # a new one is taken, too
            it.gateway.shutdown.schedule = replace(calls, close_connections_from_ms=0.0)
            it.gateway.clients.close_after_response = True
            kept.write(it.request())
            status, headers, _ = await answer(kept_reader)
            assert (status, headers["connection"]) == (200, "close")
            await until(it.gateway.shutdown.finished.done)
            kept.close()

    asyncio.run(play())


def test_what_is_open_when_the_end_draws_near_is_answered_before_it(tmp_path):
    """34 of 60 gateways were killed with up to 19 requests open: deadlines of 15 s, an end after 3.7 s."""

    def silent(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        pass

    async def play() -> None:
        async with site(tmp_path, silent) as it:
            sent = asyncio.ensure_future(it.ask(**{"Req-Deadline-Ms": "15000"}))
            await until(lambda: bool(it.store.seen))
            elsewhere = asyncio.ensure_future(
                it.ask(**{"Req-Deadline-Ms": "15000", "X-IO": "units=2,shard=9,hosts=2"})
            )
            it.gateway.stop()
            calls = it.gateway.shutdown.schedule
            assert calls is not None and calls.respond_by_ms - it.gateway.clock() <= 3000.0 + 700.0 - 400.0
            it.gateway.shutdown.schedule = replace(calls, close_connections_from_ms=0.0, respond_by_ms=0.0)
            status, headers, _ = await sent
            assert (status, headers["winchdyke-reason"]) == (502, "stopping")  # it may have run: no refusal
            assert (await elsewhere)[0] == 503
            late = await it.ask(**{"Req-Deadline-Ms": "15000"})  # nothing of its time is left here
            assert late[0] == 503
            await until(it.gateway.shutdown.finished.done)

    asyncio.run(play())


def test_bytes_count_from_when_they_came_not_from_when_they_are_read():
    """A process kept off its core read late what came in time, and called its stores slow."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        with socket.create_connection(listener.getsockname()) as one:
            other, _ = listener.accept()
            with other:
                sockets.configure(other)
                time.sleep(0.1)  # the system begins to stamp a moment after the first socket asks for it
                one.send(b"early")
                time.sleep(0.1)
                data, came = sockets.receive(other)
    assert data == b"early" and time.monotonic() * 1000 - came >= 90.0


@pytest.mark.parametrize("early", [False, True])
def test_the_program_starts_survives_sighup_and_ends_with_0(tmp_path, early):
    async def play() -> None:
        watches = list[asyncio.StreamWriter]()
        lists = await discovery(watches)
        variables = config(
            tmp_path / "config.json",
            listen=f"127.0.0.1:{free_port()}",
            discovery=f"127.0.0.1:{port_of(lists)}",
            settings=SETTINGS_JSON,
        )
        process = await spawn_gateway(variables)
        if early:  # as soon as it is heard at all: before that the system ends any program by it
            await until(lambda: handles_signal(process.pid, signal.SIGHUP), 20.0)
        else:
            await until(lambda: bool(watches), 20.0)
        process.send_signal(signal.SIGHUP)
        await until(lambda: bool(watches), 20.0)
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 20) == 0
        lists.close()

    asyncio.run(play())


def test_an_environment_that_cannot_be_used_ends_the_program_with_one_line(tmp_path):
    async def play() -> None:
        process = await spawn_gateway({"NODE_CONFIG": str(tmp_path / "none")})
        _, said = await process.communicate()
        assert process.returncode == 2 and said.startswith(b"winchdyke: ") and said.count(b"\n") == 1

    asyncio.run(play())
