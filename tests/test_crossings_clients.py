"""Clients' connections and the process's end: what has come and is not read, what is written and not taken."""

from __future__ import annotations

import asyncio
import select
import signal
import socket
from dataclasses import replace

import pytest
from test_platform import SETTINGS_JSON, config
from test_platform_sockets import answer, discovery, free_port, port_of, site, spawn_gateway, until

from winchdyke.platform import configuration
from winchdyke.platform.client_connection import ConnectionState
from winchdyke.settings import settings_of


def read_to_end(sock: socket.socket) -> tuple[bytes, bool]:
    """All that comes up to the end, and whether the end was a good one."""
    data = b""
    while True:
        try:
            more = sock.recv(65536)
        except ConnectionResetError:
            return data, False
        if not more:
            return data, True
        data += more


@pytest.mark.parametrize("unread", [True, False], ids=["before the answer is written", "after it"])
def test_the_next_request_crosses_an_answer_that_says_close_and_the_answer_is_read_whole(tmp_path, unread):
    """After SIGTERM clients send on every connection that is open: a close with bytes unread is a reset, which may destroy
    the answer on its way."""

    def silent(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        pass

    async def play() -> None:
        async with site(tmp_path, silent) as it:
            it.gateway.clients.close_after_response = True
            with socket.create_connection(("127.0.0.1", it.port)) as client:
                client.sendall(it.request(**{"Req-Deadline-Ms": "5000"}))
                await until(lambda: bool(it.store.seen))
                (held,) = it.gateway.clients.by_state[ConnectionState.AWAITING_RESPONSE]
                if unread:
                    it.gateway.loop.remove_reader(held.sock.fileno())  # the loop has not turned since it came
                    client.sendall(it.request())
                    await asyncio.to_thread(select.select, [held.sock], [], [], 5.0)
                it.store.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
                await until(lambda: it.gateway.counts["SERVED"] == 1)
                if not unread:
                    client.sendall(it.request())
                    await asyncio.sleep(0.02)
                data, good = await asyncio.to_thread(read_to_end, client)
            assert good and data.endswith(b"good") and data.count(b"HTTP/1.1 200") == 1
            assert len(it.store.seen) == 1, (
                "what crossed was not taken: its client sends it on a new connection"
            )
            await until(lambda: not it.gateway.clients.count)

    asyncio.run(play())


def test_an_answer_that_says_close_is_followed_by_the_clients_own_end(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            it.gateway.clients.close_after_response = True
            assert (await it.ask())[0] == 200
            await until(lambda: not it.gateway.clients.count, 0.5)

    asyncio.run(play())


def test_a_client_that_never_ends_a_closed_connection_is_ended(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            it.gateway.clients.close_after_response = True
            reader, writer = await it.open()
            writer.write(it.request())
            assert (await answer(reader))[0] == 200
            assert it.gateway.clients.by_state[ConnectionState.HALF_CLOSED]
            await until(lambda: not it.gateway.clients.count, 2.0)
            writer.close()

    asyncio.run(play())


def test_the_last_call_comes_between_two_requests_that_came_together_and_both_are_answered(
    tmp_path,
):
    async def play() -> None:
        async with site(tmp_path) as it:
            eviction = it.gateway.idle_eviction

            def trim_and_close_idle() -> None:
                eviction.trim_idle()
                eviction.close_idle()

            assert it.gateway.clients.on_connection_idle == eviction.trim_idle
            it.gateway.clients.on_connection_idle = trim_and_close_idle
            reader, writer = await it.open()
            writer.write(it.request() + it.request())
            assert [(await answer(reader))[0] for _ in range(2)] == [200, 200]
            writer.close()

    asyncio.run(play())


@pytest.mark.parametrize("where", ["in the queue", "in its socket"])
def test_a_request_stands_unread_as_the_process_ends_and_is_answered(tmp_path, where):
    async def play() -> None:
        async with site(tmp_path) as it:
            it.gateway.stop()
            calls = it.gateway.shutdown.schedule
            assert calls is not None
            it.gateway.shutdown.schedule = replace(
                calls, close_connections_from_ms=0.0, respond_by_ms=0.0, earliest_exit_ms=0.0
            )
            with socket.socket() as client:
                if where == "in the queue":
                    it.gateway.listener.set_accepting(False)  # the loop has not turned since it came
                client.connect(("127.0.0.1", it.port))
                if where == "in its socket":
                    await until(lambda: it.gateway.clients.count == 1)
                    (fresh,) = it.gateway.clients.by_state[ConnectionState.NEW]
                    it.gateway.loop.remove_reader(fresh.sock.fileno())
                    client.sendall(it.request())
                    select.select([fresh.sock], [], [], 5.0)
                else:
                    client.sendall(it.request())
                it.gateway.shutdown.advance()
                data, good = await asyncio.to_thread(read_to_end, client)
            assert good and data.startswith(b"HTTP/1.1 503"), "taken, so answered"
            await until(it.gateway.shutdown.finished.done)

    asyncio.run(play())


def test_a_request_is_half_read_when_all_else_is_done_and_the_end_waits_for_it(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            reader, writer = await it.open()
            request = it.request()
            writer.write(request[:30])
            await until(lambda: bool(it.gateway.clients.by_state[ConnectionState.NEW]))
            await asyncio.sleep(0.05)
            it.gateway.stop()
            calls = it.gateway.shutdown.schedule
            assert calls is not None
            it.gateway.shutdown.schedule = replace(calls, close_connections_from_ms=0.0, earliest_exit_ms=0.0)
            await asyncio.sleep(0.1)
            assert not it.gateway.shutdown.finished.done()
            writer.write(request[30:])
            status, headers, _ = await answer(reader)
            assert (status, headers["connection"]) == (200, "close")
            writer.close()
            await until(it.gateway.shutdown.finished.done)

    asyncio.run(play())


def test_an_answer_is_still_being_written_when_all_else_is_done_and_the_end_waits_for_it(tmp_path):
    size = 900_000

    def large(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"y" * size)

    async def play() -> None:
        async with site(tmp_path, large) as it:
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.connect(("127.0.0.1", it.port))
                await until(lambda: it.gateway.clients.count == 1)
                (fresh,) = it.gateway.clients.by_state[ConnectionState.NEW]
                fresh.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                client.sendall(it.request(**{"Req-Deadline-Ms": "2000"}))
                await until(lambda: it.gateway.counts["SERVED"] == 1)
                it.gateway.stop()
                calls = it.gateway.shutdown.schedule
                assert calls is not None
                it.gateway.shutdown.schedule = replace(
                    calls, close_connections_from_ms=0.0, respond_by_ms=0.0, earliest_exit_ms=0.0
                )
                await asyncio.sleep(0.1)
                assert not it.gateway.shutdown.finished.done()
                data, good = await asyncio.to_thread(read_to_end, client)
            assert good and data.endswith(b"y" * size)
            await until(it.gateway.shutdown.finished.done)

    asyncio.run(play())


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
def test_signals_cross_and_the_process_ends_with_0_and_no_traceback(tmp_path, order, ready):
    async def play() -> None:
        watches = list[asyncio.StreamWriter]()
        came = asyncio.Event()

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            came.set()
            watches.append(writer)

        lists = await (discovery(watches) if ready else asyncio.start_server(silent, "127.0.0.1", 0))
        variables = config(
            tmp_path / "config.json",
            listen=f"127.0.0.1:{free_port()}",
            discovery=f"127.0.0.1:{port_of(lists)}",
            settings={**SETTINGS_JSON, "classes": [{**SETTINGS_JSON["classes"][0], "deadline_ms": 300.0}]},
        )
        process = await spawn_gateway(variables)
        await until(lambda: bool(watches), 20.0)
        for number in order:
            process.send_signal(number)
        out, err = await asyncio.wait_for(process.communicate(), 20)
        assert process.returncode == 0 and b"Traceback" not in out + err
        lists.close()

    asyncio.run(play())


def test_sighup_comes_while_the_file_is_half_written_and_again_when_it_is_whole(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            path, watches = tmp_path / "config.json", list[asyncio.StreamWriter]()
            lists = await discovery(watches)
            whole = path.read_text().replace(
                ":".join(map(str, it.gateway.environment.discovery_address)), f"127.0.0.1:{port_of(lists)}"
            )
            path.write_text(whole[: len(whole) // 2])
            it.gateway.reload()
            path.write_text(whole)
            it.gateway.reload()
            await until(lambda: bool(watches))
            await asyncio.sleep(0.5)  # the first's next try finds what is followed already
            assert len(watches) == 1 and (await it.ask())[0] == 200
            lists.close()

    asyncio.run(play())


def test_an_id_comes_again_on_a_new_connection_after_a_close_that_crossed_it(tmp_path):
    """What was not read was not taken: it must not be told that it is open."""

    async def play() -> None:
        async with site(tmp_path) as it:
            with socket.create_connection(("127.0.0.1", it.port)) as client:
                client.sendall(it.request())
                await until(lambda: it.gateway.counts["SERVED"] == 1)
                request = it.request()
                it.gateway.idle_eviction.close_idle()
                client.sendall(request)
                await asyncio.sleep(0.05)
            assert (await it.ask(request))[0] == 200

    asyncio.run(play())


NULLS = ("late_share", "dedup_scope", "memory_span_ms", "streamed", "in_order")


@pytest.mark.parametrize(
    "key", ["goal", "guarantees", "reporting", "zone", "tick_ms", "grades", "policy_limits"]
)
@pytest.mark.parametrize("how", ["absent", "null"])
def test_settings_of_another_customer_leave_out_or_null_what_has_a_default(tmp_path, key, how):
    told = {
        **SETTINGS_JSON,
        "classes": [{**kind, **dict.fromkeys(NULLS)} for kind in SETTINGS_JSON["classes"][:1]],
    }
    told.pop(key, None)
    if how == "null":
        told[key] = None
    variables = config(tmp_path / "config.json", settings=told, limits=None, known=None)
    read = configuration.read_environment(variables)
    assert (
        read.settings.classes[0].deduplication_window_ms == 0.0
        and not read.cached_endpoint_list
        and read.limits.cores == 1.0
    )


def test_zeros_that_would_divide_are_read_as_not_told():
    told = {
        **SETTINGS_JSON,
        "domain": {"mean_units": 0},
        "guarantees": {"cold_from": 0},
        "classes": [{**SETTINGS_JSON["classes"][0], "promise_ms": 0}],
    }
    read = settings_of(told)
    assert (
        read.mean_request_units,
        read.slow_start_initial_capacity,
        read.classes[0].latency_objective_ms,
    ) == (1.0, 1.0, 2000.0)
