"""Write-back in a running gateway: writes are acknowledged from the log and take effect once, despite failures."""

from __future__ import annotations

import dataclasses
import errno
import threading
from concurrent.futures import Future
from pathlib import Path
from typing import Any

import anyio
import pytest
from rig import Rig, rig, run_async, settings

from winchdyke.config.model import S3, Listen, WriteBack
from winchdyke.gateway import writeback as gateway_writeback
from winchdyke.gateway.daemon import Gateway, StartError


def config(folder: Path, **changes: Any) -> Any:
    base = settings()
    return dataclasses.replace(
        base,
        writeback=WriteBack(str(folder), ("submit",), 1 << 20, 8 << 20, **changes),
        s3=S3(Listen("127.0.0.1", 0), unsigned="all"),
    )


def effects(it: Rig, key: str) -> int:
    """Return how many writes of an object took effect at stores."""
    return sum(
        seen["what"] == "effect" and seen["object"] == key and seen["method"] == "PUT"
        for seen in it.record.entries
    )


def stored(it: Rig, volume: str, key: str) -> bytes | None:
    """Return the stored content of an object; None: its store has no such object."""
    found = it.store_of(f"/{volume}/{key}").object_store.objects.get((volume, key))
    return found[0] if found else None


async def wait_until_drained(it: Rig) -> None:
    """Wait until all records of the log are stored or quarantined."""
    write_back = it.gateway.write_back
    await it.wait_until(lambda: not write_back._pending_objects and not write_back.drain.in_flight, 10)


async def start_gateway(it: Rig, folder: Path) -> Gateway:
    """Start another gateway at the same stores, whose log is in a folder."""
    write_back = dataclasses.replace(it.gateway.config.writeback, folder=str(folder))
    listeners = (("main", Listen("127.0.0.1", 0)),)
    gateway = Gateway(dataclasses.replace(it.gateway.config, listeners=listeners, writeback=write_back))
    ready = anyio.Event()
    it.group.start_soon(gateway.run, ready.set)
    await ready.wait()
    await it.wait_until(lambda: len(gateway.scheduler_loop.endpoints) == len(it.stores))
    return gateway


async def put_at(it: Rig, gateway: Gateway, path: str, body: bytes, **headers: str) -> None:
    """Write an object at one of the gateways; the write has to be acknowledged."""
    it.gateway = gateway
    assert (await it.request("PUT", path, body, **headers)).status in (200, 201)


def test_a_write_is_acknowledged_from_the_log_and_reaches_its_store_once(tmp_path):
    @run_async
    async def run():
        async with rig(config(tmp_path)) as it:
            answer = await it.request("PUT", "/school-1/a", b"hello")
            assert answer.status == 200 and answer.headers["winchdyke-acknowledged"] == "log"
            read = await it.request("GET", "/school-1/a")
            assert read.body == b"hello" and read.headers["etag"] == answer.headers["etag"]
            await wait_until_drained(it)
            assert effects(it, "a") == 1 and stored(it, "school-1", "a") == b"hello"

    run()


def test_s3_puts_are_acknowledged_from_the_log_too(tmp_path):
    @run_async
    async def run():
        from test_quotas import ask

        async with rig(config(tmp_path)) as it:
            assert (await ask(it, "s3", "PUT", "/school-1/a", b"hello")).status == 200
            assert it.gateway.write_back.counts["acknowledged"] == 1
            assert (await ask(it, "s3", "GET", "/school-1/a")).body == b"hello"

    run()


def test_writes_during_a_stores_outage_are_sent_in_order_when_it_is_back(tmp_path):
    @run_async
    async def run():
        async with rig(config(tmp_path)) as it:
            store = it.store_of("/school-1/a")
            store.kill()
            for number in range(5):
                assert (await it.request("PUT", "/school-1/a", b"v%d" % number)).status == 200
            read = await it.request("GET", "/school-1/a", winchdyke_time_left="700ms")
            assert read.status == 503 and read.reason == "write-back"
            await store.start(it.group)
            await wait_until_drained(it)
            assert stored(it, "school-1", "a") == b"v4" and effects(it, "a") == 5

    run()


@pytest.mark.parametrize("fault", ["reset-after-run", "shed", "error", "die-mid-request"])
def test_a_lost_response_or_a_failure_causes_no_second_effect(tmp_path, fault):
    @run_async
    async def run():
        async with rig(config(tmp_path)) as it:
            assert (await it.request("PUT", "/school-1/a", b"old")).status == 200
            await wait_until_drained(it)
            store = it.store_of("/school-1/a")
            store.tricks.extend(["", fault])  # the query for the precondition, then the write
            assert (await it.request("PUT", "/school-1/a", b"new")).status == 200
            await wait_until_drained(it)
            assert stored(it, "school-1", "a") == b"new" and effects(it, "a") == 2
            assert not it.gateway.write_back.quarantined

    run()


def test_a_write_whose_response_was_lost_is_quarantined_after_the_deduplication_window(tmp_path):
    """The store forgets keys after 100 ms and another client writes: it is unknown whether the first write was executed."""

    @run_async
    async def run():
        async with rig(config(tmp_path), deduplication_window_ms=100.0) as it:
            store = it.store_of("/school-1/a")
            store.tricks.extend(["", "silence"])
            write_back = it.gateway.write_back
            assert (await it.request("PUT", "/school-1/a", b"mine")).status == 200
            await it.wait_until(lambda: stored(it, "school-1", "a") == b"mine")
            store.object_store.objects["school-1", "a"] = (b"other", '"other"')
            await it.wait_until(lambda: bool(write_back.quarantined), 15)
            assert stored(it, "school-1", "a") == b"other" and effects(it, "a") == 1
            assert "something else" in next(iter(write_back.quarantined.values()))

    run()


def test_a_late_retry_is_answered_from_the_remembered_idempotency_key(tmp_path):
    @run_async
    async def run():
        async with rig(config(tmp_path), deduplication_window_ms=50.0) as it:
            first = await it.request("PUT", "/school-1/a", b"x", idempotency_key="k1")
            await wait_until_drained(it)
            await anyio.sleep(0.2)
            again = await it.request("PUT", "/school-1/a", b"x", idempotency_key="k1")
            assert again.status == 200 and again.headers["etag"] == first.headers["etag"]
            await wait_until_drained(it)
            assert effects(it, "a") == 1

    run()


def test_writes_that_two_gateways_acknowledged_are_both_stored(tmp_path):
    """Guards against keys that two logs both make: the store took the second gateway's write for a repeat of the first's."""

    @run_async
    async def run():
        async with rig(config(tmp_path / "a")) as it:
            first = it.gateway
            second = await start_gateway(it, tmp_path / "b")
            store = it.store_of("/school-1/a")
            keys = [f"n{n}" for n in range(200) if it.store_of(f"/school-1/n{n}") is store][:6]
            store.kill()
            for number, key in enumerate(keys):
                await put_at(it, (first, second)[number % 2], f"/school-1/{key}", key.encode())
            await store.start(it.group)
            for gateway in (first, second):
                it.gateway = gateway
                await wait_until_drained(it)
            assert {key: stored(it, "school-1", key) for key in keys} == {key: key.encode() for key in keys}
            assert [effects(it, key) for key in keys] == [1] * len(keys)

    run()


def halt(gateway: Gateway) -> None:
    """Simulate a kill: nothing more is sent or written, and the lock of the log's folder is released."""
    gateway.write_back.drain.start_next = lambda *_: []
    gateway.write_back.log.disk.close()


@pytest.mark.parametrize("newer", ["from the log", "through", "deletion"])
def test_a_killed_gateways_log_does_not_replace_what_was_acknowledged_since(tmp_path, newer):
    """Guards against a log that is recovered and writes its older content over what another gateway acknowledged."""

    @run_async
    async def run():
        async with rig(config(tmp_path / "a", clock_bound=50.0)) as it:
            first = it.gateway
            second = await start_gateway(it, tmp_path / "b")
            await put_at(it, first, "/school-1/a", b"original")
            await wait_until_drained(it)
            first.write_back.drain.start_next = lambda *_: []
            await put_at(it, first, "/school-1/a", b"older")
            halt(first)
            await anyio.sleep(0.1)  # longer than the bound on clocks
            it.gateway = second
            if newer == "deletion":
                assert (await it.request("DELETE", "/school-1/a")).status == 204
            else:
                condition = {"if_match": "*"} if newer == "through" else {}
                await put_at(it, second, "/school-1/a", b"newer", **condition)
                await wait_until_drained(it)
            expected = None if newer == "deletion" else b"newer"
            assert stored(it, "school-1", "a") == expected
            it.gateway = await start_gateway(it, tmp_path / "a")
            await wait_until_drained(it)
            assert stored(it, "school-1", "a") == expected
            counts = it.gateway.write_back.counts
            assert (counts["superseded"], counts["quarantined"]) == (1, 0)
            await it.wait_until(lambda: not it.gateway.write_back.log.pending_writes)

    run()


def test_writes_within_the_clocks_bound_are_kept_and_reported(tmp_path):
    """Guards against two gateways' writes of one object of which one is dropped or written over on a guess."""

    @run_async
    async def run():
        async with rig(config(tmp_path / "a", clock_bound=30_000.0)) as it:
            first, store = it.gateway, it.store_of("/school-1/a")
            second = await start_gateway(it, tmp_path / "b")
            store.kill()
            await put_at(it, first, "/school-1/a", b"one")
            await put_at(it, first, "/school-1/a", b"two")
            await put_at(it, second, "/school-1/a", b"three")
            await store.start(it.group)
            for gateway in (first, second):
                it.gateway = gateway
                await wait_until_drained(it)
            kept = [len(gateway.write_back.quarantined) for gateway in (first, second)]
            assert (stored(it, "school-1", "a"), kept) in (
                (b"two", [0, 1]),
                (b"three", [2, 0]),
                (b"three", [1, 0]),
            )
            # A write that is kept stays in its log, and no other one does.
            await it.wait_until(
                lambda: [len(gateway.write_back.log.pending_writes) for gateway in (first, second)] == kept
            )

    run()


def test_stamps_of_writes_reach_stores_and_no_client(tmp_path):
    """Guards against writes that go through without a stamp, which a late record of another gateway would replace."""

    @run_async
    async def run():
        async with rig(config(tmp_path, record_bytes=1000)) as it:
            store = it.store_of("/school-1/a")
            await put_at(it, it.gateway, "/school-1/a", b"x" * 2000)
            through = store.object_store.written["school-1", "a"]
            await put_at(it, it.gateway, "/school-1/a", b"y")
            await wait_until_drained(it)
            logged = store.object_store.written["school-1", "a"]
            assert float(logged.split(";")[0]) > float(through.split(";")[0])
            assert logged.split(";")[1] == through.split(";")[1]
            answer = await it.request("GET", "/school-1/a")
            assert answer.body == b"y" and "winchdyke-written" not in answer.headers

    run()


def test_acknowledged_writes_are_recovered_by_the_next_process_and_sent_once(tmp_path):
    """The first gateway is killed while a store is down; one of two writes had been sent."""

    @run_async
    async def run():
        async with rig(config(tmp_path)) as it:
            out, new = it.store_of("/school-1/out"), it.store_of("/school-1/new")
            assert (await it.request("PUT", "/school-1/out", b"old")).status == 200
            await wait_until_drained(it)
            out.tricks.extend(["", "silence"])
            assert (await it.request("PUT", "/school-1/out", b"fresh")).status == 200
            await it.wait_until(lambda: stored(it, "school-1", "out") == b"fresh")
            new.kill()
            assert (await it.request("PUT", "/school-1/new", b"fresh")).status == 200
            log = it.gateway.write_back.log
            assert len(log.pending_writes) == 2
            halt(it.gateway)
            await new.start(it.group)
            it.gateway = await start_gateway(it, tmp_path)
            await wait_until_drained(it)
            assert effects(it, "out") == 2 and effects(it, "new") == 1
            assert stored(it, "school-1", "out") == b"fresh" and stored(it, "school-1", "new") == b"fresh"

    run()


def test_a_full_log_rejects_writes_and_one_volume_does_not_starve_another(tmp_path):
    @run_async
    async def run():
        async with rig(config(tmp_path, record_bytes=600_000)) as it:
            for store in it.stores:
                store.kill()
            reasons = [(await it.request("PUT", f"/school-1/{n}", b"x" * 500_000)).reason for n in range(16)]
            assert reasons.count("ok") >= 4 and reasons[-1] == "write-back"
            other = await it.request("PUT", "/contest-1/a", b"x" * 100_000)
            assert other.status == 200

    run()


def test_a_failed_sync_promises_nothing_and_the_next_write_is_safe(tmp_path):
    @run_async
    async def run():
        async with rig(config(tmp_path)) as it:
            disk = it.gateway.write_back.log.disk
            sync, failures = disk.sync, [True]

            def fail_once(name: str) -> None:
                if failures and not name.endswith(".new"):
                    failures.clear()
                    raise OSError(errno.EIO, "injected failure")
                sync(name)

            disk.sync = fail_once
            lost = await it.request("PUT", "/school-1/a", b"x")
            assert lost.status == 502 and lost.reason == "write-back-lost"
            assert (await it.request("PUT", "/school-1/b", b"x")).status == 200
            await wait_until_drained(it)
            assert effects(it, "a") == 0 and effects(it, "b") == 1

    run()


def test_large_objects_and_conditional_writes_bypass_the_log(tmp_path):
    @run_async
    async def run():
        async with rig(config(tmp_path, record_bytes=1000)) as it:
            large = await it.request("PUT", "/school-1/a", b"x" * 2000)
            assert large.status == 201 and "winchdyke-acknowledged" not in large.headers
            small = await it.request("PUT", "/school-1/a", b"x", if_none_match="*")
            assert small.status == 412

    run()


def test_a_shutdown_with_a_full_log_ends_in_time_and_leaves_the_records(tmp_path):
    @run_async
    async def run():
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("winchdyke.gateway.writeback.SHUTDOWN_DRAIN_SECONDS", 0.3)
            async with rig(config(tmp_path)) as it:
                for store in it.stores:
                    store.kill()
                for number in range(20):
                    assert (await it.request("PUT", f"/school-1/{number}", b"x")).status == 200
                stopped_at = anyio.current_time()
                it.gateway.stop()
                await it.wait_until(lambda: not it.gateway.write_back.committer._thread.is_alive(), 10)
                assert anyio.current_time() - stopped_at < 6.0
        from winchdyke.writeback.disk import Folder
        from winchdyke.writeback.log import Log

        recovered = Log(Folder(tmp_path), 1 << 20, 8 << 20)
        assert len(recovered.pending_writes) == 20 and not recovered.recovery.torn

    run()


@pytest.mark.parametrize(
    ("classes", "message"), [(("once",), "never sent twice"), (("none-such",), "no class 'none-such'")]
)
def test_classes_that_can_not_be_written_back_are_errors_at_the_start(tmp_path, classes, message):
    base = config(tmp_path)
    invalid = dataclasses.replace(base, writeback=dataclasses.replace(base.writeback, classes=classes))
    with pytest.raises(StartError, match=message):
        Gateway(invalid)


def test_a_log_in_use_by_another_gateway_is_an_error_at_the_start(tmp_path):
    first = Gateway(config(tmp_path))
    with pytest.raises(StartError, match="in use by another process"):
        Gateway(config(tmp_path))
    first.write_back.committer.close()


def test_waiting_for_a_sync_that_is_over_does_not_block_the_loop():
    """The callback then runs in the event loop's own thread, which must not wait for itself."""
    synced, results = Future[int](), list[int]()
    synced.set_result(7)
    waiter = threading.Thread(
        target=lambda: results.append(anyio.run(gateway_writeback.WriteBack._wait_for_sync, synced)),
        daemon=True,
    )
    waiter.start()
    waiter.join(10.0)
    assert results == [7]
