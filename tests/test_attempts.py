"""Outcomes of attempts: emulated stores produce each row of the table in gateway/outcomes.py."""

from __future__ import annotations

import errno
import socket
from dataclasses import replace

import anyio
import pytest
from rig import rig, run_async, settings

from winchdyke import interface as api
from winchdyke.gateway.pool import ConnectError, ConnectionPool
from winchdyke.scheduling import Scheduler
from winchdyke.standins.wire import CONNECTION_ERRORS

READ = "/school-1/object"
SLACK_S = 0.2  # tolerance for a stalled host; the judge of simulated days allows 0.25


async def _run_with_trick(trick: str, method: str = "GET", **headers: str):
    """Return the attempts' outcomes and the response if the store misbehaves at the first request."""
    async with rig() as it:
        store = it.store_of(READ)
        await it.request("PUT", READ, b"x" * 3000)
        it.ended.clear()
        store.tricks.append(trick)
        reply = await it.request(method, READ, b"y" * 100 if method == "PUT" else None, **headers)
        return it.outcomes, reply


@pytest.mark.parametrize(
    ("trick", "outcome"),
    [
        ("die-mid-head", "CONNECTION_RESET"),
        ("die-mid-answer", "CONNECTION_RESET"),
        ("short-answer", "CONNECTION_RESET"),
        ("no-http", "CONNECTION_RESET"),
        ("reset-after-run", "CONNECTION_RESET"),
        ("shed", "SHED"),
        ("error", "ERROR"),
    ],
)
def test_the_outcome_of_a_broken_response_is_reported_and_a_read_is_retried(trick, outcome):
    outcomes, reply = anyio.run(_run_with_trick, trick)
    assert outcomes == [outcome, "SERVED"]
    assert (reply.status, len(reply.body)) == (200, 3000)


@pytest.mark.parametrize(
    ("trick", "class_name", "outcomes", "status"),
    [
        ("reset-after-run", "once", ["CONNECTION_RESET"], 502),  # may have been executed: not retried
        ("error", "once", ["ERROR"], 502),
        ("shed", "once", ["SHED", "SERVED"], 200),  # certainly not executed: retried
        ("early-shed", "once", ["SHED", "SERVED"], 200),
        # The store deduplicates the retry.
        ("reset-after-run", "submit", ["CONNECTION_RESET", "SERVED"], 200),
    ],
)
def test_a_write_is_retried_only_where_its_class_allows(trick, class_name, outcomes, status):
    actual_outcomes, reply = anyio.run(lambda: _run_with_trick(trick, "PUT", winchdyke_class=class_name))
    assert (actual_outcomes, reply.status) == (outcomes, status)


def test_a_refused_connection_is_connect_failed():
    @run_async
    async def run():
        async with rig() as it:
            it.store_of(READ).kill()
            reply = await it.request("PUT", READ, b"x", winchdyke_time_left="400ms")
            assert set(it.outcomes) == {"CONNECT_FAILED"}
            assert (reply.status, reply.headers["winchdyke-outcome"]) == (503, "refused")

    run()


def test_without_file_descriptors_an_attempt_is_not_sent(monkeypatch):
    async def fail_connect(host, port):
        raise OSError("All connection attempts failed") from OSError(errno.EMFILE, "Too many open files")

    @run_async
    async def run():
        async with rig() as it:
            connect_tcp = anyio.connect_tcp
            peer = await it.connect()
            monkeypatch.setattr("winchdyke.gateway.pool.anyio.connect_tcp", fail_connect)
            reply = await it.request("GET", READ, peer=peer)
            monkeypatch.setattr("winchdyke.gateway.pool.anyio.connect_tcp", connect_tcp)
            assert set(it.outcomes) == {"NOT_SENT"}
            assert (reply.status, reply.reason) == (503, "unsent")
            assert (await it.request("GET", READ, peer=peer)).status == 404

    run()


def test_a_silent_store_times_out_at_the_clients_deadline():
    @run_async
    async def run():
        async with rig() as it:
            it.store_of(READ).tricks.append("silence")
            started_at = anyio.current_time()
            reply = await it.request("PUT", READ, b"x", winchdyke_time_left="300ms")
            assert it.outcomes == ["TIMED_OUT"]
            assert (reply.status, reply.reason) == (504, "timed-out")
            assert anyio.current_time() - started_at < 0.3 + SLACK_S

    run()


def test_an_idle_connection_closed_as_it_is_reused_is_a_reset_never_not_sent(monkeypatch):
    """The store closes the connection after the idle check, while the request is in transit."""

    @run_async
    async def run():
        async with rig() as it:
            await it.request("PUT", READ, b"x", winchdyke_class="once")
            monkeypatch.setattr("winchdyke.gateway.pool.Connection.is_readable_or_closed", lambda self: False)
            store = it.store_of(READ)
            store.kill()
            await anyio.sleep(0.05)
            await store.start(it.group)
            it.ended.clear()
            reply = await it.request("PUT", READ, b"y", winchdyke_class="once")
            assert it.outcomes == ["CONNECTION_RESET"]
            assert reply.status == 502

    run()


def test_an_idle_connection_that_the_store_has_closed_is_not_used():
    @run_async
    async def run():
        async with rig() as it:
            store = it.store_of(READ)
            store.tricks.append("close-idle")
            await it.request("PUT", READ, b"x", winchdyke_class="once")
            await anyio.sleep(0.05)
            assert (await it.request("PUT", READ, b"y", winchdyke_class="once")).status == 200
            assert it.outcomes == ["SERVED", "SERVED"]

    run()


def test_a_store_that_dies_between_accept_and_read():
    @run_async
    async def run():
        async with rig() as it:
            it.store_of(READ).tricks.append("die-on-accept")
            assert (await it.request("GET", READ)).status == 404
            assert it.outcomes[0] in ("CONNECTION_RESET", "NOT_SENT", "CONNECT_FAILED")
            assert it.outcomes[-1] == "SERVED"

    run()


def test_a_store_that_dies_in_the_middle_of_a_request():
    @run_async
    async def run():
        async with rig() as it:
            it.store_of(READ).tricks.append("die-mid-request")
            reply = await it.request("PUT", READ, b"x" * 900_000)
            assert it.outcomes == ["CONNECTION_RESET", "SERVED"]
            assert reply.status == 201
            assert len(it.store_of(READ).object_store.objects["school-1", "object"][0]) == 900_000

    run()


def test_a_store_that_dies_during_a_streamed_response_closes_the_clients_connection():
    @run_async
    async def run():
        async with rig() as it:
            await it.request("PUT", READ, b"x" * 900_000)
            it.ended.clear()
            it.store_of(READ).tricks.append("die-mid-answer")
            with pytest.raises(CONNECTION_ERRORS):
                await it.request("GET", READ)
            await it.wait_until(lambda: bool(it.ended))
            assert it.outcomes == ["CONNECTION_RESET"]
            assert it.ended[0].request_finished
            assert any(type(event).__name__ == "StreamStarted" for event in it.events)

    run()


def test_a_response_longer_than_declared_is_cut_and_its_connection_is_not_reused():
    @run_async
    async def run():
        async with rig() as it:
            await it.request("PUT", READ, b"x" * 300)
            it.store_of(READ).tricks.append("long-answer")
            assert (await it.request("GET", READ)).body == b"x" * 300
            opened_before = it.gateway.pool.connections_opened
            assert (await it.request("GET", READ)).body == b"x" * 300
            assert it.gateway.pool.connections_opened == opened_before + 1

    run()


def test_a_response_that_trickles_past_the_clients_deadline_is_timed_out():
    @run_async
    async def run():
        async with rig() as it:
            await it.request("PUT", READ, b"x" * 3000)
            it.ended.clear()
            it.store_of(READ).tricks.append("trickle")
            reply = await it.request("GET", READ, winchdyke_time_left="250ms")
            assert it.outcomes == ["TIMED_OUT"]
            assert reply.status in (503, 504)

    run()


def test_a_range_other_than_the_requested_one_is_not_passed_on():
    outcomes, reply = anyio.run(lambda: _run_with_trick("wrong-range", range="bytes=5-9"))
    assert outcomes == ["CONNECTION_RESET", "SERVED"]
    assert (reply.status, reply.headers["content-range"]) == (206, "bytes 5-9/3000")


def test_latency_excludes_time_spent_waiting_for_the_clients_body():
    @run_async
    async def run():
        async with rig() as it:
            peer = await it.connect()
            head = b"PUT /school-1/slow HTTP/1.1\r\nhost: t\r\ncontent-length: 400000\r\n\r\n"
            await peer.stream.send(head + b"x" * 200_000)
            await anyio.sleep(0.4)
            await peer.stream.send(b"x" * 200_000)
            await peer.stream.receive()
            assert it.outcomes == ["SERVED"]
            assert it.ended[0].latency_ms < 250
            await anyio.aclose_forcefully(peer.stream)

    run()


def test_load_reports_and_volume_usage_reach_the_scheduler():
    @run_async
    async def run():
        async with rig(settings()) as it:
            await it.request("PUT", READ, b"x")
            event = it.ended[0]
            assert event.volume_usage_percent is not None
            assert len(event.load_report) == 2
            it.store_of(READ)._units_from_others["school-1"]["dev"] = 5.0
            await it.request("GET", READ)
            assert it.ended[1].units_via_other_gateways == 5.0

    run()


def test_a_connect_timeout_is_connect_failed():
    """A listener with a full backlog accepts no connection, so that the connect hangs."""

    @run_async
    async def run():
        blocker = socket.socket()
        blocker.bind(("127.0.0.1", 0))
        blocker.listen(0)
        fillers = []
        try:
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(blocker.getsockname())
                fillers.append(filler)
            await anyio.sleep(0.05)
            pool = ConnectionPool(100.0, 1000.0, 4, lambda: 0.0)
            with pytest.raises(ConnectError) as caught:
                await pool.acquire(f"127.0.0.1:{blocker.getsockname()[1]}")
            assert not caught.value.local_exhaustion
        finally:
            for sock in (*fillers, blocker):
                sock.close()

    run()


def test_the_scheduler_cancels_an_attempt():
    @run_async
    async def run():
        async with rig() as it:
            it.store_of(READ).tricks.append("silence")

            async def cancel():
                await it.wait_until(lambda: bool(it.gateway.scheduler_loop.open_requests))
                request_handle = next(iter(it.gateway.scheduler_loop.open_requests.values()))
                await it.wait_until(lambda: request_handle.on_cancel is not None)
                await anyio.sleep(0.05)
                it.gateway.scheduler_loop._execute(0.0, api.CancelAttempt(request_handle.request_id, 0))

            it.group.start_soon(cancel)
            reply = await it.request("PUT", READ, b"x", winchdyke_class="once")
            assert it.outcomes == ["CANCELLED"]
            assert (reply.status, reply.reason) == (502, "cancelled")

    run()


@pytest.mark.parametrize("order", ["it is called off", "its time to be written ends"])
def test_nothing_is_written_on_a_connection_that_is_ready_too_late(monkeypatch, order):
    """Otherwise a store that has begun draining would receive the request."""
    acquire, handle = ConnectionPool.acquire, Scheduler.handle

    @run_async
    async def run():
        async with rig() as it:
            connected, released = anyio.Event(), anyio.Event()

            async def acquire_late(pool, endpoint):
                connection = await acquire(pool, endpoint)
                connected.set()
                await released.wait()
                return connection

            def handle_with_write_timeout(scheduler, now, events):
                return [
                    replace(action, write_timeout_ms=1.0) if isinstance(action, api.StartAttempt) else action
                    for action in handle(scheduler, now, events)
                ]

            async def release_connection():
                await connected.wait()
                if order == "it is called off":
                    request_handle = next(iter(it.gateway.scheduler_loop.open_requests.values()))
                    it.gateway.scheduler_loop._execute(0.0, api.AbandonAttempt(request_handle.request_id, 0))
                    await it.wait_until(lambda: bool(it.ended))
                else:
                    await anyio.sleep(0.005)
                monkeypatch.setattr(Scheduler, "handle", handle)
                released.set()

            monkeypatch.setattr(ConnectionPool, "acquire", acquire_late)
            if order != "it is called off":
                monkeypatch.setattr(Scheduler, "handle", handle_with_write_timeout)
            it.group.start_soon(release_connection)
            reply = await it.request("PUT", READ, b"x", winchdyke_class="once")
            assert it.outcomes == ["NOT_SENT", "SERVED"] and reply.status == 201
            assert len([seen for seen in it.record.entries if seen["what"] == "whole"]) == 1

    run()


def test_a_store_that_is_down_keeps_its_port():
    """Guards against a port that another process is given while its store is down: the store could not start again."""

    @run_async
    async def run():
        async with rig() as it:
            store, port = it.stores[0], it.stores[0].port
            store.kill()
            await anyio.sleep(0.05)
            with socket.socket() as client:
                assert client.connect_ex(("127.0.0.1", port)) == errno.ECONNREFUSED
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind(("127.0.0.1", port))
            await store.start(it.group)
            assert store.port == port
            assert (await it.request("GET", "/school-1/nothing")).status == 404

    run()
