"""Clients that have left: nothing is begun for them however much they sent, and no id runs beside itself."""

from __future__ import annotations

import asyncio
import select
import socket

import pytest
from conftest import SETTINGS
from test_platform_sockets import read_response, start_harness, wait_until

from winchdyke.interface import AttemptOutcome
from winchdyke.platform import client_idle_eviction, sockets, upstream_pool
from winchdyke.platform.client_connection import ConnectionState
from winchdyke.platform.settling_requests import SettlingRequests

LONG_DEADLINE = {"Req-Deadline-Ms": "9000"}
UNREAD_REQUESTS = 20_000  # 4 MB: more than is kept, less than the kernels of both sides take


def no_response(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
    """Leave a request without a response."""


def test_close_behind_megabytes_is_found_without_waiting_for_the_next_check(tmp_path, monkeypatch):
    # Guards against reading a departed client's requests at 1 MiB for each check: attempts began 300 ms after its close.
    monkeypatch.setattr(client_idle_eviction, "CHECK_INTERVAL_SECONDS", 1000.0)

    async def scenario() -> None:
        async with start_harness(tmp_path, no_response) as harness:
            _, writer = await harness.connect_client()
            writer.write(harness.build_request(**LONG_DEADLINE))
            await wait_until(lambda: bool(harness.store.received_requests))
            writer.write(b"".join(harness.build_request() for _ in range(UNREAD_REQUESTS)))
            writer.close()
            await wait_until(lambda: harness.gateway.counts["clients_disconnected"] == 1)
            assert not harness.gateway.clients.count
            harness.store.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await wait_until(lambda: not harness.gateway.scheduler_loop.disconnected_requests)
            assert len(harness.store.received_requests) == 1

    asyncio.run(scenario())


def test_dropping_a_flood_takes_its_part_of_each_turn_and_no_more(tmp_path):
    # Guards against a client that sends without an end and keeps the event loop from its timers and other clients.
    async def scenario() -> None:
        async with start_harness(tmp_path, no_response) as harness:
            budget = harness.gateway.turn_budget
            floods = []
            for _ in range(4):
                reader, writer = await harness.connect_client()
                writer.write(harness.build_request(**LONG_DEADLINE))
                floods.append((reader, writer))
            await wait_until(lambda: len(harness.store.received_requests) == 4)
            for _, writer in floods:
                writer.write(b"x" * 30_000_000)
            awaiting = harness.gateway.clients.by_state[ConnectionState.AWAITING_RESPONSE]
            await wait_until(lambda: sum(each._discarded_bytes for each in awaiting) > 20_000_000, 20.0)
            assert budget.max_turn_units < 2 * budget.units_per_turn
            for _, writer in floods:
                writer.transport.abort()

    asyncio.run(scenario())


@pytest.mark.parametrize("unread", [b"", b"GET / HTTP/1.1\r\n"], ids=["nothing unread", "bytes unread"])
def test_no_attempt_begins_for_a_client_that_left_while_its_request_waited(tmp_path, monkeypatch, unread):
    # Guards against a request that is sent on a kept connection, because the close was not looked for before.
    monkeypatch.setattr(upstream_pool, "MIN_REUSE_PAUSE_MS", 0.0)

    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            gateway = harness.gateway
            assert (await harness.send_request())[0] == 200
            await wait_until(lambda: bool(gateway.upstream_pool._idle))
            gateway.scheduler_loop.on_event_posted = lambda: None  # the request waits
            client = socket.create_connection(("127.0.0.1", harness.port))
            client.sendall(harness.build_request(**LONG_DEADLINE))
            awaiting = gateway.clients.by_state[ConnectionState.AWAITING_RESPONSE]
            await wait_until(lambda: bool(awaiting))
            (connection,) = awaiting
            # As if the event loop had not run since the client left.
            gateway.loop.remove_reader(connection.sock.fileno())
            client.sendall(unread)
            client.close()
            select.select([connection.sock], [], [], 5.0)
            await wait_until(lambda: sockets.peer_has_closed(connection.sock))
            gateway._turn()
            gateway.scheduler_loop.on_event_posted = gateway._schedule_turn
            gateway._schedule_turn()
            await wait_until(lambda: not gateway.scheduler_loop.disconnected_requests)
            assert len(harness.store.received_requests) == 1
            assert gateway.counts["NOT_SENT"] == 1
            assert not gateway.counts["sent_after_disconnect"]

    asyncio.run(scenario())


def test_response_is_delivered_to_a_client_that_ends_its_side_with_bytes_unread(tmp_path):
    # Guards against a reset that destroys a last response: the client has sent more and ended its side, and still reads.
    async def scenario() -> None:
        async with start_harness(tmp_path, no_response) as harness:
            harness.gateway.clients.close_after_response = True
            reader, writer = await harness.connect_client()
            writer.write(harness.build_request(**LONG_DEADLINE))
            await wait_until(lambda: bool(harness.store.received_requests))
            (connection,) = harness.gateway.clients.by_state[ConnectionState.AWAITING_RESPONSE]
            harness.gateway.loop.remove_reader(connection.sock.fileno())
            harness.store.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
            await wait_until(lambda: connection.state is ConnectionState.HALF_CLOSED)
            writer.write(harness.build_request())
            writer.write_eof()
            await asyncio.sleep(0.25)  # two checks
            assert (await read_response(reader))[::2] == (200, b"good")
            assert await reader.read() == b""
            writer.close()

    asyncio.run(scenario())


def test_id_that_comes_again_while_its_first_run_is_under_way_does_not_run_beside_it(tmp_path):
    # Guards against an id that runs twice, because it comes again on another connection after its client has left.
    async def scenario() -> None:
        async with start_harness(tmp_path, no_response) as harness:
            request = harness.build_request(**{"Req-Kind": "write", **LONG_DEADLINE})
            _, writer = await harness.connect_client()
            writer.write(request)
            await wait_until(lambda: len(harness.store.received_requests) == 1)
            assert (await harness.send_request(request))[0] == 409, "its client is still there"
            writer.close()
            await wait_until(lambda: harness.gateway.counts["clients_disconnected"] == 1)
            status, headers, _ = await harness.send_request(request)
            assert (status, headers["winchdyke-reason"]) == (409, "id-in-use"), "its run is under way"
            harness.store.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await wait_until(lambda: not harness.gateway.scheduler_loop.disconnected_requests)
            assert len(harness.store.received_requests) == 1

    asyncio.run(scenario())


def test_id_is_in_use_for_as_long_as_an_attempt_that_has_ended_may_run():
    # Guards against a second run beside one that its store goes on with after the time-out.
    settling = SettlingRequests(SETTINGS)  # 400 ms
    for outcome in AttemptOutcome:
        settling.record(f"write-{outcome.name}", "write", outcome, 1000.0)
        settling.record(f"read-{outcome.name}", "read", outcome, 1000.0)
    in_use = {each.name for each in AttemptOutcome if settling.contains(f"write-{each.name}", 1399.0)}
    assert in_use == {"TIMED_OUT", "CONNECTION_RESET", "CANCELLED"}
    assert not any(settling.contains(f"read-{each.name}", 1000.0) for each in AttemptOutcome)
    settling.record("write-TIMED_OUT", "write", AttemptOutcome.TIMED_OUT, 1300.0)
    assert not settling.contains("write-CANCELLED", 1400.0)
    assert settling.contains("write-TIMED_OUT", 1400.0)
    assert not settling.contains("write-TIMED_OUT", 1700.0)
    assert not settling._ended_at_ms
