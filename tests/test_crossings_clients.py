"""Races between clients' requests and the gateway's closing of connections, shutdown, signals and reloads.

In each test a request or a response is still unread or partly transferred when the other event happens.
"""

from __future__ import annotations

import asyncio
import select
import signal
import socket
from dataclasses import replace

import pytest
from test_platform import SETTINGS_JSON, config
from test_platform_sockets import (
    free_port,
    port_of,
    read_response,
    spawn_gateway,
    start_discovery,
    start_harness,
    wait_until,
)

from winchdyke.platform import configuration
from winchdyke.platform.client_connection import ConnectionState
from winchdyke.settings import settings_of


def read_to_end(sock: socket.socket) -> tuple[bytes, bool]:
    """Read until the peer closes; return the data and whether the close was orderly (not a reset)."""
    data = b""
    while True:
        try:
            received = sock.recv(65536)
        except ConnectionResetError:
            return data, False
        if not received:
            return data, True
        data += received


@pytest.mark.parametrize("unread", [True, False], ids=["before the answer is written", "after it"])
def test_request_sent_while_a_closing_response_is_written_does_not_destroy_the_response(tmp_path, unread):
    """Closing a socket with unread bytes resets it, and the client may lose a response in transit.

    After SIGTERM clients still send on every open connection, so the next request may be unread at the close.
    """

    def no_response(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        pass

    async def scenario() -> None:
        async with start_harness(tmp_path, no_response) as harness:
            harness.gateway.clients.close_after_response = True
            with socket.create_connection(("127.0.0.1", harness.port)) as client:
                client.sendall(harness.build_request(**{"Req-Deadline-Ms": "5000"}))
                await wait_until(lambda: bool(harness.store.received_requests))
                (connection,) = harness.gateway.clients.by_state[ConnectionState.AWAITING_RESPONSE]
                if unread:
                    # As if the event loop had not run since the request arrived.
                    harness.gateway.loop.remove_reader(connection.sock.fileno())
                    client.sendall(harness.build_request())
                    await asyncio.to_thread(select.select, [connection.sock], [], [], 5.0)
                harness.store.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
                await wait_until(lambda: harness.gateway.counts["SERVED"] == 1)
                if not unread:
                    client.sendall(harness.build_request())
                    await asyncio.sleep(0.02)
                data, closed_cleanly = await asyncio.to_thread(read_to_end, client)
            assert closed_cleanly and data.endswith(b"good") and data.count(b"HTTP/1.1 200") == 1
            assert len(harness.store.received_requests) == 1, (
                "the second request stays unread, so its client can send it on a new connection"
            )
            await wait_until(lambda: not harness.gateway.clients.count)

    asyncio.run(scenario())


def test_connection_closes_once_the_client_closes_after_a_closing_response(tmp_path):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            harness.gateway.clients.close_after_response = True
            assert (await harness.send_request())[0] == 200
            await wait_until(lambda: not harness.gateway.clients.count, 0.5)

    asyncio.run(scenario())


def test_half_closed_connection_is_closed_after_a_timeout(tmp_path):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            harness.gateway.clients.close_after_response = True
            reader, writer = await harness.connect_client()
            writer.write(harness.build_request())
            assert (await read_response(reader))[0] == 200
            assert harness.gateway.clients.by_state[ConnectionState.HALF_CLOSED]
            await wait_until(lambda: not harness.gateway.clients.count, 2.0)
            writer.close()

    asyncio.run(scenario())


def test_closing_idle_connections_between_two_pipelined_requests_loses_neither(
    tmp_path,
):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            eviction = harness.gateway.idle_eviction

            def trim_and_close_idle() -> None:
                eviction.trim_idle()
                eviction.close_idle()

            assert harness.gateway.clients.on_connection_idle == eviction.trim_idle
            harness.gateway.clients.on_connection_idle = trim_and_close_idle
            reader, writer = await harness.connect_client()
            writer.write(harness.build_request() + harness.build_request())
            assert [(await read_response(reader))[0] for _ in range(2)] == [200, 200]
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("where", ["in the queue", "in its socket"])
def test_request_that_is_unread_at_shutdown_gets_a_response(tmp_path, where):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            harness.gateway.stop()
            schedule = harness.gateway.shutdown.schedule
            assert schedule is not None
            harness.gateway.shutdown.schedule = replace(
                schedule, close_connections_from_ms=0.0, respond_by_ms=0.0, earliest_exit_ms=0.0
            )
            with socket.socket() as client:
                if where == "in the queue":
                    # As if the event loop had not run since the client connected.
                    harness.gateway.listener.set_accepting(False)
                client.connect(("127.0.0.1", harness.port))
                if where == "in its socket":
                    await wait_until(lambda: harness.gateway.clients.count == 1)
                    (connection,) = harness.gateway.clients.by_state[ConnectionState.NEW]
                    harness.gateway.loop.remove_reader(connection.sock.fileno())
                    client.sendall(harness.build_request())
                    select.select([connection.sock], [], [], 5.0)
                else:
                    client.sendall(harness.build_request())
                harness.gateway.shutdown.advance()
                data, closed_cleanly = await asyncio.to_thread(read_to_end, client)
            assert closed_cleanly and data.startswith(b"HTTP/1.1 503"), (
                "the request was accepted, so it gets a response"
            )
            await wait_until(harness.gateway.shutdown.finished.done)

    asyncio.run(scenario())


def test_shutdown_waits_for_a_partly_received_request(tmp_path):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            reader, writer = await harness.connect_client()
            request = harness.build_request()
            writer.write(request[:30])
            await wait_until(lambda: bool(harness.gateway.clients.by_state[ConnectionState.NEW]))
            await asyncio.sleep(0.05)
            harness.gateway.stop()
            schedule = harness.gateway.shutdown.schedule
            assert schedule is not None
            harness.gateway.shutdown.schedule = replace(
                schedule, close_connections_from_ms=0.0, earliest_exit_ms=0.0
            )
            await asyncio.sleep(0.1)
            assert not harness.gateway.shutdown.finished.done()
            writer.write(request[30:])
            status, headers, _ = await read_response(reader)
            assert (status, headers["connection"]) == (200, "close")
            writer.close()
            await wait_until(harness.gateway.shutdown.finished.done)

    asyncio.run(scenario())


def test_shutdown_waits_for_a_partly_written_response(tmp_path):
    size = 900_000

    def large(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"y" * size)

    async def scenario() -> None:
        async with start_harness(tmp_path, large) as harness:
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.connect(("127.0.0.1", harness.port))
                await wait_until(lambda: harness.gateway.clients.count == 1)
                (connection,) = harness.gateway.clients.by_state[ConnectionState.NEW]
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                client.sendall(harness.build_request(**{"Req-Deadline-Ms": "2000"}))
                await wait_until(lambda: harness.gateway.counts["SERVED"] == 1)
                harness.gateway.stop()
                schedule = harness.gateway.shutdown.schedule
                assert schedule is not None
                harness.gateway.shutdown.schedule = replace(
                    schedule, close_connections_from_ms=0.0, respond_by_ms=0.0, earliest_exit_ms=0.0
                )
                await asyncio.sleep(0.1)
                assert not harness.gateway.shutdown.finished.done()
                data, closed_cleanly = await asyncio.to_thread(read_to_end, client)
            assert closed_cleanly and data.endswith(b"y" * size)
            await wait_until(harness.gateway.shutdown.finished.done)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "order",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP),
    ],
    ids=lambda order: "-".join(signal.Signals(number).name for number in order),
)
@pytest.mark.parametrize("ready", [True, False], ids=["while it serves", "before discovery has spoken"])
def test_repeated_signals_end_the_process_with_0_and_no_traceback(tmp_path, order, ready):
    async def scenario() -> None:
        watches = list[asyncio.StreamWriter]()
        requested = asyncio.Event()

        async def no_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            requested.set()
            watches.append(writer)

        discovery_server = await (
            start_discovery(watches) if ready else asyncio.start_server(no_response, "127.0.0.1", 0)
        )
        variables = config(
            tmp_path / "config.json",
            listen=f"127.0.0.1:{free_port()}",
            discovery=f"127.0.0.1:{port_of(discovery_server)}",
            settings={**SETTINGS_JSON, "classes": [{**SETTINGS_JSON["classes"][0], "deadline_ms": 300.0}]},
        )
        process = await spawn_gateway(variables)
        await wait_until(lambda: bool(watches), 20.0)
        for number in order:
            process.send_signal(number)
        out, err = await asyncio.wait_for(process.communicate(), 20)
        assert process.returncode == 0 and b"Traceback" not in out + err
        discovery_server.close()

    asyncio.run(scenario())


def test_reload_of_a_partly_written_file_followed_by_a_complete_one(tmp_path):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            path, watches = tmp_path / "config.json", list[asyncio.StreamWriter]()
            discovery_server = await start_discovery(watches)
            complete_text = path.read_text().replace(
                ":".join(map(str, harness.gateway.environment.discovery_address)),
                f"127.0.0.1:{port_of(discovery_server)}",
            )
            path.write_text(complete_text[: len(complete_text) // 2])
            harness.gateway.reload()
            path.write_text(complete_text)
            harness.gateway.reload()
            await wait_until(lambda: bool(watches))
            await asyncio.sleep(0.5)  # the first reload's retry finds an address that is already watched
            assert len(watches) == 1 and (await harness.send_request())[0] == 200
            discovery_server.close()

    asyncio.run(scenario())


def test_unread_request_can_be_sent_again_on_a_new_connection(tmp_path):
    """A request that was unread when its connection closed must not be rejected as an open id on retry."""

    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            with socket.create_connection(("127.0.0.1", harness.port)) as client:
                client.sendall(harness.build_request())
                await wait_until(lambda: harness.gateway.counts["SERVED"] == 1)
                request = harness.build_request()
                harness.gateway.idle_eviction.close_idle()
                client.sendall(request)
                await asyncio.sleep(0.05)
            assert (await harness.send_request(request))[0] == 200

    asyncio.run(scenario())


NULLABLE_CLASS_KEYS = ("late_share", "dedup_scope", "memory_span_ms", "streamed", "in_order")


@pytest.mark.parametrize(
    "key", ["goal", "guarantees", "reporting", "zone", "tick_ms", "grades", "policy_limits"]
)
@pytest.mark.parametrize("how", ["absent", "null"])
def test_settings_with_a_default_may_be_absent_or_null(tmp_path, key, how):
    settings = {
        **SETTINGS_JSON,
        "classes": [
            {**request_class, **dict.fromkeys(NULLABLE_CLASS_KEYS)}
            for request_class in SETTINGS_JSON["classes"][:1]
        ],
    }
    settings.pop(key, None)
    if how == "null":
        settings[key] = None
    variables = config(tmp_path / "config.json", settings=settings, limits=None, known=None)
    environment = configuration.read_environment(variables)
    assert (
        environment.settings.classes[0].deduplication_window_ms == 0.0
        and not environment.cached_endpoint_list
        and environment.limits.cores == 1.0
    )


def test_zero_in_a_setting_used_as_a_divisor_counts_as_absent():
    info = {
        **SETTINGS_JSON,
        "domain": {"mean_units": 0},
        "guarantees": {"cold_from": 0},
        "classes": [{**SETTINGS_JSON["classes"][0], "promise_ms": 0}],
    }
    settings = settings_of(info)
    assert (
        settings.mean_request_units,
        settings.slow_start_initial_capacity,
        settings.classes[0].latency_objective_ms,
    ) == (1.0, 1.0, 2000.0)
