"""The work for peers in one turn of the event loop: each peer's part, their sum, and who comes next."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter

import anyio
import pytest
from test_platform_sockets import OK_RESPONSE, port_of, read_response, start_harness, wait_until

from winchdyke.gateway.attempts import Attempt, OutgoingRequest
from winchdyke.gateway.pool import ConnectionPool
from winchdyke.gateway.request_context import RejectingSink
from winchdyke.gateway.scheduler_loop import monotonic_ms
from winchdyke.http1 import ClientCodec, ServerCodec
from winchdyke.peer_limits.task_turns import RESUME_UNITS, TaskTurns, budget_of_running_loop
from winchdyke.peer_limits.turn_budget import UNITS_PER_TURN, TurnBudget, receive_units
from winchdyke.platform import client_idle_eviction, sockets
from winchdyke.platform.client_connection import ClientConnection, ConnectionState

# A chunk takes two units; the last peer of a turn may go beyond the budget by its part.
MAX_CHUNKS_PER_TURN = UNITS_PER_TURN // 2 + 64


class FakeLoop:
    """Runs what was scheduled before a turn, as an event loop does."""

    def __init__(self):
        self.scheduled = []

    def call_soon(self, callback):
        self.scheduled.append(callback)

    def run_turn(self):
        ready, self.scheduled = self.scheduled, []
        for callback in ready:
            callback()


class TurnCounter:
    """Counts calls of a method by the turn of the event loop in which they came."""

    def __init__(self, monkeypatch, owner, method):
        self.calls_in_turn = Counter()
        self.turn = 0
        original = getattr(owner, method)

        def counted(instance, *args, **kwargs):
            self.calls_in_turn[self.turn] += 1
            return original(instance, *args, **kwargs)

        monkeypatch.setattr(owner, method, counted)

    def start(self):
        self.turn += 1
        asyncio.get_running_loop().call_soon(self.start)

    @property
    def max_calls(self):
        return max(self.calls_in_turn.values(), default=0)


def chunked_write(harness, chunks, chunk=b"1\r\nx\r\n", end=b"0\r\n\r\n"):
    head = harness.build_request(
        **{
            "Req-Kind": "write",
            "Content-Length": "",
            "Transfer-Encoding": "chunked",
            "Req-Deadline-Ms": "9000",
        }
    )[:-3]
    return head.replace(b"Content-Length: \r\n", b"") + chunk * chunks + end


def test_work_beyond_the_budget_of_a_turn_waits_in_order_for_later_turns():
    loop = FakeLoop()
    budget = TurnBudget(loop.call_soon, units_per_turn=100)
    done = []

    def work(name):
        def run():
            done.append(name)
            budget.spend(30)

        return run

    budget.spend(100)
    assert budget.exhausted
    for name in "abcd":
        budget.defer(name, work(name))
        budget.defer(name, work("again"))
    loop.run_turn()
    assert done == ["a", "b"], "half of a turn is for deferred work"
    assert not budget.exhausted
    budget.cancel("c")
    loop.run_turn()
    assert done == ["a", "b", "d"]
    assert not budget.has_deferred


def test_no_turn_is_asked_for_while_peers_do_little():
    loop = FakeLoop()
    budget = TurnBudget(loop.call_soon, units_per_turn=100)
    for _ in range(4):
        budget.spend(10)
    assert not loop.scheduled


def test_work_that_fails_leaves_the_others_work_deferred():
    loop = FakeLoop()
    budget = TurnBudget(loop.call_soon, units_per_turn=100)
    done = []

    def fail():
        raise ValueError

    budget.defer("a", fail)
    budget.defer("b", lambda: done.append("b"))
    with pytest.raises(ValueError):
        loop.run_turn()
    loop.run_turn()
    assert done == ["b"]


def test_reading_costs_more_for_more_bytes():
    assert 0 < receive_units(0) < receive_units(65_536)


def test_clients_that_send_tiny_chunks_share_the_work_of_a_turn(tmp_path, monkeypatch):
    # Guards against clients with tiny chunks that stop the event loop for seconds: 300 of them did so for 14 to 30 s.
    counter = TurnCounter(monkeypatch, ServerCodec, "body")
    monkeypatch.setattr(client_idle_eviction, "REQUEST_TIMEOUT_MS", 60_000.0)  # however slow the machine is

    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            counter.start()
            clients = [await harness.connect_client() for _ in range(10)]
            for number, (_, writer) in enumerate(clients):
                writer.write(chunked_write(harness, 2_000 if number % 2 else 12_000))
            assert (await harness.send_request(**{"Req-Deadline-Ms": "60000"}))[0] == 200
            statuses = [(await read_response(reader, 30))[0] for reader, _ in clients]
            assert statuses == 5 * [400, 200], (
                "too much framing is rejected; a body that is only small is served"
            )
            assert harness.gateway.clients.counts["body-framing"] == 5
            for _, writer in clients:
                writer.close()

    asyncio.run(scenario())
    assert 0 < counter.max_calls <= MAX_CHUNKS_PER_TURN


def test_requests_that_time_out_together_are_rejected_over_several_turns(tmp_path, monkeypatch):
    # Guards against one turn that writes an error to each of some hundred clients that stopped at the same time.
    counter = TurnCounter(monkeypatch, ClientConnection, "reject")
    monkeypatch.setattr(client_idle_eviction, "REQUEST_TIMEOUT_MS", 300.0)

    async def scenario() -> None:
        async with start_harness(tmp_path, max_descriptors=400) as harness:
            counter.start()
            clients = [await harness.connect_client() for _ in range(150)]
            for _, writer in clients:
                writer.write(harness.build_request()[:40])
            for reader, writer in clients:
                assert (await read_response(reader))[0] == 408
                writer.close()

    asyncio.run(scenario())
    assert 1 < counter.max_calls <= 60


def test_idle_connection_whose_request_waits_for_a_turn_is_not_closed(tmp_path):
    # Guards against closing a connection whose request has come and was deferred: its client would lose it.
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            reader, writer = await harness.connect_client()
            writer.write(harness.build_request())
            assert (await read_response(reader))[0] == 200
            budget = harness.gateway.turn_budget
            budget.spend(UNITS_PER_TURN)
            writer.write(harness.build_request())
            (connection,) = harness.gateway.clients.by_state[ConnectionState.IDLE]
            budget.spend(UNITS_PER_TURN)
            connection.on_readable()
            assert connection.is_deferred
            harness.gateway.idle_eviction.close_idle()
            assert (await read_response(reader))[0] == 200
            writer.close()

    asyncio.run(scenario())


def test_stores_that_send_tiny_chunks_share_the_work_of_a_turn(tmp_path, monkeypatch):
    # Guards against a few endless answers in tiny chunks that take a gateway from 250 to 13 answers a second.
    counter = TurnCounter(monkeypatch, ClientCodec, "body")

    async def respond(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        if b"Req-Kind: write" not in head and b"req-kind: write" not in head:
            writer.write(OK_RESPONSE)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with contextlib.suppress(OSError):
            for _ in range(100):
                writer.write(b"1\r\nx\r\n" * 10_000)
                await writer.drain()

    async def scenario() -> None:
        async with start_harness(tmp_path, respond) as harness:
            counter.start()
            store_counts = harness.gateway.upstream_pool.counts
            readers = []
            for _ in range(8):
                reader, writer = await harness.connect_client()
                writer.write(harness.build_request(**{"Req-Kind": "write", "Req-Deadline-Ms": "9000"}))
                readers.append((reader, writer))
            assert (await harness.send_request(**{"Req-Deadline-Ms": "9000"}))[0] == 200
            for reader, writer in readers:
                assert (await read_response(reader))[0] >= 500
                writer.close()
            # The scheduler may cancel an attempt before its framing has reached the limit.
            assert store_counts["malformed_response:framing"] > 0
            assert not harness.gateway.counts["TIMED_OUT"]

    asyncio.run(scenario())
    assert 0 < counter.max_calls <= MAX_CHUNKS_PER_TURN


def test_response_in_tiny_chunks_with_little_framing_is_served(tmp_path):
    # Guards against bounds on work that cut a sound response which takes several turns to parse.
    body = bytes(range(256)) * 12

    def respond(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n")

    async def scenario() -> None:
        async with start_harness(tmp_path, respond) as harness:
            for _ in range(3):  # the connection to the store is used again
                assert (await harness.send_request(**{"Req-Deadline-Ms": "9000"}))[::2] == (200, body)
                await asyncio.sleep(0.06)
            assert harness.store.connections == 1

    asyncio.run(scenario())


def test_response_that_has_arrived_precedes_its_deadline_in_a_turn_without_budget(tmp_path):
    # Guards against an attempt that times out with its response in the socket, because the turn's budget is spent.
    async def scenario() -> None:
        async with start_harness(tmp_path, lambda *_: None) as harness:
            gateway = harness.gateway
            reader, writer = await harness.connect_client()
            writer.write(harness.build_request(**{"Req-Deadline-Ms": "9000"}))
            await wait_until(lambda: bool(harness.store.received_requests))
            (connection,) = gateway.upstream_pool.connections
            gateway.loop.remove_reader(connection.sock.fileno())
            harness.store.writers[0].write(OK_RESPONSE)
            await wait_until(lambda: not sockets.has_nothing_to_read(connection.sock))
            gateway.turn_budget.spend(UNITS_PER_TURN)
            connection.attempt._on_deadline()
            assert not connection.attempt.finished
            assert (await read_response(reader))[::2] == (200, b"good")
            writer.close()

    asyncio.run(scenario())


def test_watch_that_sends_tiny_chunks_shares_the_work_of_a_turn(tmp_path, monkeypatch):
    # Guards against discovery, crowded or broken, that stops the event loop; what it says is heard all the same.
    counter = TurnCounter(monkeypatch, ClientCodec, "body")

    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            counter.start()
            line = {"version": 2, "full": False, "servers": [{**harness.entry, "state": "terminating"}]}
            data = b"\n" * 30_000 + json.dumps(line).encode() + b"\n"
            harness.watches[-1].write(b"".join(b"1\r\n%c\r\n" % byte for byte in data))
            await wait_until(lambda: harness.gateway.discovery.version == 2)
            assert len(harness.watches) == 1, "the watch goes on"

    asyncio.run(scenario())
    assert 0 < counter.max_calls <= MAX_CHUNKS_PER_TURN


def test_responses_in_tiny_chunks_to_the_object_api_share_the_work_of_a_turn(monkeypatch):
    # Guards against the same stop of the event loop in `serve`, whose tasks took apart all that had arrived.
    counter = TurnCounter(monkeypatch, ClientCodec, "body")
    results = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        chunks = 12_000 if b"/much" in head else 3_000
        response = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n"
        )
        writer.write(response)

    async def attempt(pool: ConnectionPool, endpoint: str, target: bytes) -> None:
        running = Attempt(pool, monotonic_ms, 1000.0, RejectingSink(), lambda: None, lambda _: True)
        request = OutgoingRequest("GET", target, [(b"host", b"t")])
        results.append((await running.run(endpoint, request, 9000.0)).outcome.name)

    async def scenario() -> None:
        counter.start()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = ConnectionPool(1000.0, 1000.0, 8, monotonic_ms)
        async with anyio.create_task_group() as group:
            for number in range(8):
                target = b"/much" if number % 2 else b"/little"
                group.start_soon(attempt, pool, f"127.0.0.1:{port_of(server)}", target)
        await pool.close()
        server.close()

    asyncio.run(scenario())
    assert sorted(results) == ["CONNECTION_RESET"] * 4 + ["SERVED"] * 4
    assert 0 < counter.max_calls <= MAX_CHUNKS_PER_TURN


def test_tasks_that_wait_for_a_turn_do_not_all_continue_in_the_same_one():
    # Guards against a turn whose work grows with the number of waiting tasks, each of which continues by a little.
    continued_in_turn: Counter[int] = Counter()
    turn = 0

    def count_turns() -> None:
        nonlocal turn
        turn += 1
        asyncio.get_running_loop().call_soon(count_turns)

    async def peer() -> None:
        turns = TaskTurns()
        await turns.wait()
        continued_in_turn[turn] += 1
        turns.count(1)

    async def use_up_the_turn() -> None:
        budget_of_running_loop().spend(UNITS_PER_TURN)

    async def scenario() -> None:
        count_turns()
        async with anyio.create_task_group() as group:
            group.start_soon(use_up_the_turn)
            for _ in range(300):
                group.start_soon(peer)

    asyncio.run(scenario())
    assert continued_in_turn.total() == 300
    assert max(continued_in_turn.values()) <= UNITS_PER_TURN // RESUME_UNITS
