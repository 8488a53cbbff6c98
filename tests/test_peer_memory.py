"""The memory that clients and stores may take from the platform's gateway, each and in sum, on loopback sockets."""

from __future__ import annotations

import asyncio
import gc
import socket
from collections import Counter

import pytest
from test_platform_sockets import read_response, start_harness, wait_until

from winchdyke.http1 import RequestHead
from winchdyke.peer_limits.memory_account import MemoryAccount, MemoryCharge
from winchdyke.platform import client_memory, sockets
from winchdyke.platform.client_connection import ConnectionState

BODY_BYTES = 65_000
INCOMPLETE_STATES = (ConnectionState.NEW, ConnectionState.READING_REQUEST)


def write_request(harness, body_bytes=BODY_BYTES, **headers):
    """Return the head of a write with a body of this length."""
    changes = {
        "Req-Kind": "write",
        "Content-Length": str(body_bytes),
        "Req-Deadline-Ms": "9000",
        "X-IO": "units=2,shard=3,hosts=2",
        **headers,
    }
    return harness.build_request(**changes)[:-3]


def with_header_lines(head, count):
    return (
        head[:-2] + b"".join(b"%c:%c\r\n" % (97 + i % 26, 97 + i // 26 % 26) for i in range(count)) + b"\r\n"
    )


def test_charges_add_up_in_the_account_and_are_released():
    account = MemoryAccount(100)
    first, second = MemoryCharge(account), MemoryCharge(account)
    first.set(70)
    second.set(50)
    first.set(60)
    assert (account.used_bytes, account.available_bytes, account.max_used_bytes) == (110, 0, 120)
    second.set(0)
    assert (account.used_bytes, account.available_bytes) == (60, 40)


def test_clients_that_stop_within_their_request_stay_within_the_memory_in_sum(tmp_path, monkeypatch):
    # Guards against a gateway that is killed for its memory: 240 such clients took it from 17 to over 80 MB.
    received_bytes: Counter[socket.socket] = Counter()
    receive = sockets.receive

    def counting_receive(sock, *args):
        data, at_ms = receive(sock, *args)
        received_bytes[sock] += len(data)
        return data, at_ms

    monkeypatch.setattr(sockets, "receive", counting_receive)
    memory_mb, clients_count = 32, 200  # 12.8 MB of bodies; a quarter of the memory is for requests

    async def scenario() -> None:
        async with start_harness(tmp_path, max_descriptors=512, memory_mb=memory_mb) as harness:
            by_state = harness.gateway.clients.by_state

            def held_bytes() -> int:
                connections = [each for state in INCOMPLETE_STATES for each in by_state[state]]
                return sum(received_bytes[each.sock] for each in connections)

            writers = []
            for _ in range(clients_count):
                _, writer = await harness.connect_client()
                writer.write(write_request(harness) + b"x" * (BODY_BYTES - 1000))
                writers.append(writer)
                assert held_bytes() <= memory_mb * 2**20 / 4
            for _ in range(5):
                assert (await harness.send_request())[0] == 200, "sound clients go on"
                assert held_bytes() <= memory_mb * 2**20 / 4
            requests = harness.gateway.memory.requests
            await wait_until(lambda: harness.gateway.clients.counts["memory-full"] > 0)
            assert requests.max_used_bytes <= requests.limit_bytes + sockets.MAX_RECEIVE_BYTES
            for writer in writers:
                writer.close()
            await wait_until(lambda: not harness.gateway.clients.count)
            assert requests.used_bytes == 0

    asyncio.run(scenario())


def test_small_request_goes_on_at_once_although_others_hold_all_the_memory(tmp_path):
    # Guards against a sound client that waits behind all who stopped: it was read after 1.7 s, its time long over.
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            requests = harness.gateway.memory.requests
            requests.limit_bytes = 1_000_000
            writers = []
            for _ in range(60):
                _, writer = await harness.connect_client()
                writer.write(write_request(harness) + b"x" * (BODY_BYTES - 1000))
                writers.append(writer)
                await asyncio.sleep(0)
            assert harness.gateway.clients.counts["waits_for_memory"] > 0
            assert (await harness.send_request())[0] == 200
            for writer in writers:
                writer.close()

    asyncio.run(scenario())


def test_no_parsed_head_is_kept_while_a_body_arrives(tmp_path):
    # Guards against parsed heads, some 20 times their bytes, that are kept until their request is answered.
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            reader, writer = await harness.connect_client()
            writer.write(with_header_lines(write_request(harness, 2000), 100) + b"x" * 1000)
            await wait_until(
                lambda: (
                    bool(harness.gateway.clients.by_state[ConnectionState.READING_REQUEST])
                    or bool(harness.gateway.clients.by_state[ConnectionState.NEW])
                )
            )
            await wait_until(lambda: harness.gateway.clients.count == 1)
            (connection,) = [
                each for state in INCOMPLETE_STATES for each in harness.gateway.clients.by_state[state]
            ]
            await wait_until(lambda: connection.last_received_at_ms > 0)
            assert not [each for each in gc.get_objects() if isinstance(each, RequestHead)]
            writer.write(b"x" * 1000)
            assert (await read_response(reader))[0] == 200
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(("lines", "status"), [(110, 200), (2600, 431)])
def test_head_is_limited_in_its_lines_and_not_in_its_bytes_alone(tmp_path, lines, status):
    # Guards against heads of some thousand short lines, which take far more memory and work than their bytes.
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            head = with_header_lines(write_request(harness, 3), lines)
            assert (await harness.send_request(head + b"abc"))[0] == status

    asyncio.run(scenario())


def test_body_of_a_disconnected_client_is_charged_until_its_attempt_ends(tmp_path):
    # Guards against bodies that outlive their connection uncounted: the attempt of a client that has left goes on.
    answers = asyncio.Event()

    async def respond(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        await answers.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def scenario() -> None:
        async with start_harness(tmp_path, respond) as harness:
            requests = harness.gateway.memory.requests
            _, writer = await harness.connect_client()
            writer.write(write_request(harness) + b"x" * BODY_BYTES)
            await wait_until(lambda: bool(harness.store.received_requests))
            writer.close()
            await wait_until(lambda: not harness.gateway.clients.count)
            assert requests.used_bytes > BODY_BYTES
            answers.set()
            await wait_until(lambda: requests.used_bytes == 0)

    asyncio.run(scenario())


def test_requests_sent_ahead_are_not_buffered_while_the_memory_is_full(tmp_path):
    # Guards against buffers for pipelined requests that add up over all connections, and against requests that are lost for it.
    answers = asyncio.Event()

    async def respond(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        await answers.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")

    async def scenario() -> None:
        async with start_harness(tmp_path, respond) as harness:
            requests = harness.gateway.memory.requests
            reader, writer = await harness.connect_client()
            writer.write(harness.build_request(**{"Req-Deadline-Ms": "9000"}))
            await wait_until(lambda: bool(harness.store.received_requests))
            requests.limit_bytes = requests.used_bytes + 100
            writer.write(b"".join(harness.build_request() for _ in range(20)))
            (connection,) = harness.gateway.clients.by_state[ConnectionState.AWAITING_RESPONSE]
            await wait_until(lambda: connection.reading_paused)
            assert not sockets.has_nothing_to_read(connection.sock), "they wait in the socket"
            assert requests.max_used_bytes <= requests.limit_bytes
            requests.limit_bytes *= 1000
            answers.set()
            for _ in range(21):
                assert (await read_response(reader))[::2] == (200, b"good")
            writer.close()

    asyncio.run(scenario())


def test_clients_that_send_hundreds_of_requests_at_once_leave_memory_for_first_reads(tmp_path):
    # Guards against requests read ahead that take the memory until other clients' first requests wait behind them.
    answers = asyncio.Event()

    async def respond(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        if b"req-kind: read" in head.lower():
            await answers.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")

    async def scenario() -> None:
        async with start_harness(tmp_path, respond) as harness:
            harness.gateway.memory.requests.limit_bytes = 400_000
            writers = []
            for _ in range(22):
                _, writer = await harness.connect_client()
                writer.write(
                    b"".join(harness.build_request(**{"Req-Deadline-Ms": "9000"}) for _ in range(100))
                )
                writers.append(writer)
            awaiting = harness.gateway.clients.by_state[ConnectionState.AWAITING_RESPONSE]
            await wait_until(lambda: len(awaiting) == len(writers))
            assert not harness.gateway.clients.counts["waits_for_memory"]
            for writer in writers:
                writer.close()
            answers.set()

    asyncio.run(scenario())


def test_client_that_does_not_read_its_response_does_not_take_the_memory_for_others(tmp_path, monkeypatch):
    # Guards against responses that pile up for clients that don't read, until sound clients get none.
    body = b"y" * 900_000
    monkeypatch.setattr(client_memory, "WRITING_GRACE_MS", 0.0)

    def respond(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    async def scenario() -> None:
        async with start_harness(tmp_path, respond) as harness:
            harness.gateway.listener._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            memory = harness.gateway.upstream_pool.response_memory
            memory.account.limit_bytes = 1_000_000
            with socket.socket() as idle:
                idle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                idle.connect(("127.0.0.1", harness.port))
                idle.sendall(harness.build_request(**{"Req-Deadline-Ms": "9000"}))
                writing = harness.gateway.clients.by_state[ConnectionState.WRITING_RESPONSE]
                await wait_until(lambda: bool(writing))
                assert memory.buffered_bytes >= len(body)
                assert (await harness.send_request(**{"Req-Deadline-Ms": "9000"}))[::2] == (200, body)
                assert harness.gateway.clients.counts["evicted_while_writing"] == 1
            await wait_until(lambda: memory.buffered_bytes == 0)

    asyncio.run(scenario())


def test_responses_that_stop_halfway_do_not_fail_a_smaller_one_that_goes_on(tmp_path):
    # Guards against stores that stop within their responses and take the memory until sound responses fail.
    piece, rest = b"y" * 30_000, b"z" * 20_000
    memory_exceeded = asyncio.Event()

    async def respond(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        if b"req-kind: write" in head.lower():
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 64000\r\n\r\n" + b"x" * 60_000)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + piece)
        await memory_exceeded.wait()
        writer.write(rest)

    async def scenario() -> None:
        async with start_harness(tmp_path, respond) as harness:
            pool = harness.gateway.upstream_pool
            account = pool.response_memory.account
            account.limit_bytes = 200_000
            writers = []
            for _ in range(3):
                _, writer = await harness.connect_client()
                writer.write(harness.build_request(**{"Req-Kind": "write", "Req-Deadline-Ms": "9000"}))
                writers.append(writer)
            await wait_until(lambda: account.used_bytes == 180_000)
            sound = asyncio.create_task(harness.send_request(**{"Req-Deadline-Ms": "9000"}))
            await wait_until(lambda: account.max_used_bytes > 200_000)
            memory_exceeded.set()
            assert (await sound)[::2] == (200, piece + rest)
            assert pool.counts["responses_evicted"] > 0
            assert account.max_used_bytes <= 200_000 + sockets.MAX_RECEIVE_BYTES
            for writer in writers:
                writer.close()

    asyncio.run(scenario())
