"""A volume's rate limit for every byte: the accounting of debts, waits for quota, and both protocols on sockets."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import random
from collections import deque
from typing import Any

import anyio
import h11
import pytest
from host import measured
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st
from rig import Reply, Rig, reply, rig, run_async, settings

from winchdyke import interface as api
from winchdyke.config.model import S3, Listen
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.quotas.byte_metering import ByteMeter, TransferCharge
from winchdyke.quotas.token_bucket import (
    DEBT_RATE_FRACTION,
    QuotaExceededError,
    TransferDebt,
    units_for_bytes,
)
from winchdyke.scheduling import Scheduler
from winchdyke.scheduling.quota import VolumeQuota
from winchdyke.standins.wire import Peer

RATE, BURST = 400.0, 100.0
UNIT = 64 * 1024
SMALL = f"\n[plan small]\nusual_rate = 5\nlimit = {RATE:g}\nlimit_burst = {BURST:g}\n"


def make_quota(limit: float, burst: float, gateways: int = 1, largest: float = 8.0) -> VolumeQuota:
    plan = api.Plan("p", 1.0, 1.0, 5.0, 0.0, limit, burst)
    scheduler_settings = api.Settings(gateways, 0, (), (plan,), max_request_units=largest)
    quota = VolumeQuota(scheduler_settings, plan, 0.0)
    quota.sharing_gateways = gateways
    return quota


# The debt of a volume


@given(
    st.integers(1, 4), st.floats(2, 100), st.floats(8, 200), st.integers(0, 2**32),
)  # fmt: skip
@examples(max_examples=150)
def test_over_any_period_all_gateways_transfer_at_most_the_limit_the_burst_and_one_object_each(
    gateways, rate, burst, seed
):
    """Small requests admitted by the scheduler and large ones, some partly refunded, at all gateways at once."""
    rng, transfers = random.Random(seed), list[tuple[float, float]]()
    largest = 0.0
    debts_and_quotas = [(TransferDebt(0.0), make_quota(rate, burst, gateways)) for _ in range(gateways)]
    now = 0.0
    for _ in range(120):
        now += rng.expovariate(1 / 200)
        debt, quota = rng.choice(debts_and_quotas)
        debt.settle(now, quota, rate / gateways, 8.0)
        quota.refill(now)
        small_units = rng.uniform(1, 8)
        if rng.random() < 0.6:
            if quota.limit_units >= small_units:
                quota.limit_units -= small_units
                transfers.append((now, small_units))
        elif debt.is_settled:
            units = rng.uniform(9, 300)
            transferred = units if rng.random() < 0.7 else rng.uniform(0, units)
            debt.add(units)
            debt.refund(units - transferred, quota)
            transfers.append((now, transferred))
            largest = max(largest, transferred)
    for first in range(len(transfers)):
        total = 0.0
        for at, units in transfers[first:]:
            total += units
            max_units = rate * (at - transfers[first][0]) / 1000 + burst + gateways * largest
            assert total <= max_units + 1e-6


def test_a_debt_ends_by_the_predicted_time_however_many_small_requests_arrive():
    quota, debt = make_quota(100.0, 50.0), TransferDebt(0.0)
    debt.add(400.0)
    latest_ms, served, now = debt.latest_settled_ms(100.0), 0.0, 0.0
    assert latest_ms == 400.0 / (DEBT_RATE_FRACTION * 100.0) * 1000
    while not debt.is_settled:
        now += 100.0
        debt.settle(now, quota, 100.0, 8.0)
        while quota.limit_units >= 4.0:  # small requests use everything in the bucket
            quota.limit_units -= 4.0
            served += 4.0
    assert now <= latest_ms + 100.0
    assert served >= 0.9 * (1 - DEBT_RATE_FRACTION) * 100.0 * now / 1000, (
        "small requests get the rest of the rate"
    )


def test_quota_that_small_requests_do_not_use_pays_the_debt_too():
    quota, debt = make_quota(100.0, 50.0), TransferDebt(0.0)
    debt.add(400.0)
    for now in range(100, 4600, 100):
        debt.settle(float(now), quota, 100.0, 8.0)
    assert debt.is_settled, "the whole rate pays it: 4 s, plus the units kept for small requests"


def test_a_clock_that_goes_back_neither_pays_nor_adds_debt():
    debt = TransferDebt(10_000.0)
    debt.add(100.0)
    debt.settle(4_000.0, None, 100.0, 8.0)
    assert debt.units == 100.0
    debt.settle(10_500.0, None, 100.0, 8.0)
    assert debt.units == pytest.approx(100.0 - DEBT_RATE_FRACTION * 100.0 * 0.5)


def test_a_refund_beyond_the_debt_goes_to_the_bucket_up_to_its_size():
    quota, debt = make_quota(10.0, 50.0, gateways=2), TransferDebt(0.0)
    debt.add(30.0)
    debt.refund(100.0, quota)
    assert debt.units == 0.0 and quota.limit_units == 25.0


def test_removing_the_limit_cancels_the_debt():
    debt = TransferDebt(0.0)
    debt.add(1e6)
    debt.settle(10.0, make_quota(0.0, 0.0), 0.0, 8.0)
    assert debt.is_settled


def test_a_read_of_5_gib_is_charged_in_full_and_the_reported_wait_is_sufficient():
    """The read costs 81,920 units; the next large request is refused at once, with the wait after which there is quota."""
    clock = [0.0]
    quota = make_quota(240.0, 480.0)
    byte_meter = ByteMeter(lambda: clock[0], lambda _: quota, lambda: 8.0)

    async def run() -> None:
        first = byte_meter.open_charge("v", 240.0, 1, UNIT, 8.0, 1000.0)
        await first.charge_length(5 << 30)
        first.transferred_bytes = 5 << 30
        first.close()
        second = byte_meter.open_charge("v", 240.0, 1, UNIT, 8.0, 2000.0)
        with pytest.raises(QuotaExceededError) as error:
            await second.charge_length(1 << 20)
        second.close()
        assert error.value.wait_ms == pytest.approx(81_912 / (DEBT_RATE_FRACTION * 240) * 1000)
        while clock[0] < error.value.wait_ms:  # meanwhile small requests use everything in the bucket
            clock[0] += 100.0
            byte_meter.settle()
            quota.limit_units = min(quota.limit_units, 0.0)
        third = byte_meter.open_charge("v", 240.0, 1, UNIT, 8.0, clock[0])
        await third.charge_length(1 << 20)
        third.transferred_bytes = 1 << 20
        third.close()

    anyio.run(run)


# On sockets, over both protocols

PROTOCOLS = ("object", "s3")


def limited_config(**changes: Any) -> Any:
    base = settings(SMALL, limits__object_bytes="200MiB")
    volumes = tuple(
        dataclasses.replace(volume, plan="small") if volume.pattern == "school-*" else volume
        for volume in base.volumes
    )
    request_classes = tuple(
        dataclasses.replace(
            request_class,
            rules=dataclasses.replace(request_class.rules, deadline_ms=4000.0, latency_objective_ms=500.0),
        )
        for request_class in base.kinds
    )
    s3 = S3(Listen("127.0.0.1", 0), unsigned="all", part_least=1)
    return dataclasses.replace(base, s3=s3, volumes=volumes, kinds=request_classes, **changes)


async def connect(it: Rig, protocol: str) -> Peer:
    address = it.gateway.addresses[0 if protocol == "object" else -1]
    return Peer(await anyio.connect_tcp(*address), h11.CLIENT)


async def ask(
    it: Rig, protocol: str, method: str, path: str, body: bytes | None = None, **headers: str
) -> Reply:
    peer = await connect(it, protocol)
    try:
        return await it.request(method, path, body, peer, **headers)
    finally:
        await anyio.aclose_forcefully(peer.stream)


def retry_after_of_refusal(protocol: str, answer: Reply) -> float:
    """Check that the response is a refusal because of the limit, and return its Retry-After in seconds."""
    assert answer.status == 503, answer
    if protocol == "s3":
        assert b"SlowDown" in answer.body and b"over-limit" in answer.body
    else:
        assert answer.reason == "over-limit" and json.loads(answer.body)["outcome"] == "refused"
    return float(answer.headers["retry-after"])


def bytes_in(it: Rig) -> int:
    """Return the bytes of the bodies that the stores received completely."""
    return sum(entry["bytes"] for entry in it.record.entries if entry["what"] == "whole")


@pytest.mark.parametrize("protocol", PROTOCOLS)
@measured
def test_uploads_in_a_row_are_charged_for_all_their_bytes(protocol):
    """Eight objects of 128 units need 1,024 units; the limit is 400 a second with a burst of 100."""

    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            began = anyio.current_time()
            data = b"x" * (128 * UNIT)
            served: list[tuple[float, float]] = []

            async def client(number: int) -> None:
                while True:
                    answer = await ask(it, protocol, "PUT", f"/school-1/o{number}", data)
                    if answer.status < 300:
                        served.append((anyio.current_time(), 128.0))
                        return
                    await anyio.sleep(retry_after_of_refusal(protocol, answer))

            async with anyio.create_task_group() as group:
                for number in range(8):
                    group.start_soon(client, number)
            took = anyio.current_time() - began
            assert bytes_in(it) == 8 * len(data)
            assert took >= (7 * 128 - BURST) / RATE * 0.9, (
                "at most a burst and one object are ahead of the limit"
            )

    run()


@pytest.mark.parametrize("protocol", PROTOCOLS)
@pytest.mark.parametrize("asked", ["whole", "range"])
@measured
def test_a_read_is_charged_as_soon_as_its_length_is_known(protocol, asked):
    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            data = b"x" * (300 * UNIT)
            assert (await ask(it, protocol, "PUT", "/school-1/o", data)).status < 300
            it.gateway.service.byte_meter._meters.clear()  # the upload's debt is not part of this test
            quota = it.gateway.scheduler_loop.quota("school-1")
            quota.limit_units = 60.0
            headers = {"range": f"bytes=0-{250 * UNIT - 1}"} if asked == "range" else {}
            first = await ask(it, protocol, "GET", "/school-1/o", **headers)
            assert len(first.body) == (250 if headers else 300) * UNIT
            began = anyio.current_time()
            second = await ask(it, protocol, "GET", "/school-1/o", **headers)
            assert second.status in (200, 206)
            assert anyio.current_time() - began >= (250 - 60) / RATE * 0.8, (
                "the first read's debt is settled first"
            )

    run()


@pytest.mark.parametrize("protocol", PROTOCOLS)
@measured
def test_small_requests_of_a_volume_continue_beside_its_large_one(protocol):
    """While there is a debt, small requests get half of the rate; a large one gets a Retry-After within the predicted time."""

    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            data = b"x" * (3000 * UNIT)  # 187 MiB: 7.5 s of the volume's limit
            assert (await ask(it, protocol, "PUT", "/school-1/big", data)).status < 300
            refused = await ask(it, protocol, "PUT", "/school-1/next", data[: 100 * UNIT])
            assert 5.0 <= retry_after_of_refusal(protocol, refused) <= 3000 / (DEBT_RATE_FRACTION * RATE) + 1
            served = 0
            until = anyio.current_time() + 2.0
            while anyio.current_time() < until:
                answer = await ask(it, protocol, "PUT", f"/school-1/s{served}", b"x" * 4 * UNIT)
                served += answer.status < 300
            assert served * 4 >= 2.0 * DEBT_RATE_FRACTION * RATE * 0.4, served
            assert served * 4 <= 2.0 * DEBT_RATE_FRACTION * RATE * 1.3 + 8, served

    run()


@measured
def test_a_large_request_that_is_retried_after_its_retry_after_time_is_served():
    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            data = b"x" * (1600 * UNIT)
            assert (await it.request("PUT", "/school-1/big", data)).status < 300
            refused = await it.request("PUT", "/school-1/next", data, winchdyke_time_left="600ms")
            assert retry_after_of_refusal("object", refused) > 0
            wait = json.loads(refused.body)["retry_after_ms"]
            await anyio.sleep(wait / 1000)
            assert (await it.request("PUT", "/school-1/next", data)).status < 300

    run()


async def send_chunks(
    peer: Peer, path: str, chunks: int, chunk_bytes: int, pause_seconds: float = 0.0
) -> None:
    """Send a PUT without a Content-Length; fails if the gateway closes the connection early."""
    request = h11.Request(
        method="PUT", target=path, headers=[("host", "t"), ("transfer-encoding", "chunked")]
    )
    await peer.send(request)
    for _ in range(chunks):
        await peer.send(h11.Data(data=b"x" * chunk_bytes))
        if pause_seconds:
            await anyio.sleep(pause_seconds)
    await peer.send(h11.EndOfMessage())


def test_an_upload_of_unknown_length_is_charged_in_steps_and_refused_beyond_the_limit():
    """Three uploads at once, each too large for the limit before its deadline, transfer at most limit, burst and steps."""

    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            transferred_bytes, answers = [0], deque[Reply]()
            service = it.gateway.service

            async def client(number: int) -> None:
                peer = await connect(it, "object")
                async with anyio.create_task_group() as group:
                    group.start_soon(send_until_closed, peer, f"/school-1/c{number}")
                    answers.append(await reply(peer))
                    group.cancel_scope.cancel()
                await anyio.aclose_forcefully(peer.stream)

            async def send_until_closed(peer: Peer, path: str) -> None:
                with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                    await send_chunks(peer, path, 2000, UNIT)

            began = anyio.current_time()
            open_charge = service.byte_meter.open_charge

            def open_counting_charge(*args: Any) -> Any:
                charge = open_charge(*args)
                record_bytes = charge.record_bytes

                async def record_and_count(count: int) -> None:
                    await record_bytes(count)
                    transferred_bytes[0] += count

                charge.record_bytes = record_and_count
                return charge

            service.byte_meter.open_charge = open_counting_charge
            async with anyio.create_task_group() as group:
                for number in range(3):
                    group.start_soon(client, number)
            took = anyio.current_time() - began
            assert (
                all(retry_after_of_refusal("object", answer) > 0 for answer in answers) and len(answers) == 3
            )
            assert transferred_bytes[0] / UNIT <= RATE * took + BURST + 3 * 20 + 16
            assert transferred_bytes[0] / UNIT >= RATE * took * 0.3, "the uploads were paced, not blocked"
            assert not any(entry["what"] == "effect" for entry in it.record.entries), (
                "a refused upload has no effect at a store"
            )

    run()


def test_a_client_that_disconnects_is_charged_only_for_the_bytes_it_sent():
    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            byte_meter = it.gateway.service.byte_meter
            charges, closed = list[TransferCharge](), list[tuple[float, float]]()
            open_charge, close_charge = byte_meter.open_charge, byte_meter.close_charge

            def recording_open(*args: Any) -> TransferCharge:
                charges.append(open_charge(*args))
                return charges[-1]

            def recording_close(volume: str, meter: Any, unused_units: float) -> None:
                debt_before = meter.debt.units
                close_charge(volume, meter, unused_units)
                closed.append((unused_units, debt_before - meter.debt.units))

            byte_meter.open_charge, byte_meter.close_charge = recording_open, recording_close
            peer = await connect(it, "object")
            size = 400 * UNIT
            request = h11.Request(
                method="PUT", target="/school-1/o", headers=[("host", "t"), ("content-length", str(size))]
            )
            await peer.send(request, h11.Data(data=b"x" * (size * 3 // 4)))
            # Bytes that the gateway has not read when the connection is reset would count as never sent.
            await it.wait_until(
                lambda: bool(charges) and charges[0].transferred_bytes == size * 3 // 4, seconds=20.0
            )
            debt = byte_meter.debt_units("school-1")
            await peer.reset()
            await it.wait_until(lambda: bool(closed))
            ((unused_units, debt_decrease),) = closed
            assert unused_units == 100.0, "a quarter of the body was never sent"
            assert debt_decrease >= min(debt, 100.0)

    run()


def test_a_client_that_disconnects_while_it_waits_leaves_the_queue():
    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            data = b"x" * (700 * UNIT)
            assert (await it.request("PUT", "/school-1/o", data)).status < 300
            peer = await connect(it, "object")
            request = h11.Request(
                method="PUT",
                target="/school-1/p",
                headers=[("host", "t"), ("content-length", str(len(data)))],
            )
            await peer.send(request)
            meter = it.gateway.service.byte_meter._meters["school-1"]
            await it.wait_until(lambda: meter.debt.queued_units > 0)
            await peer.reset()
            await it.wait_until(lambda: meter.debt.queued_units == 0 and meter.open_charges == 0, 1.0)

    run()


def test_a_limit_lowered_during_an_upload_applies_to_the_following_requests():
    """The upload of 64 MiB completes, being one object; its debt is paid off at the lower limit."""

    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            scheduler_loop, byte_meter = it.gateway.scheduler_loop, it.gateway.service.byte_meter
            size = 1024 * UNIT
            peer = await connect(it, "object")
            request = h11.Request(
                method="PUT", target="/school-1/o", headers=[("host", "t"), ("content-length", str(size))]
            )
            await peer.send(request, h11.Data(data=b"x" * (size // 2)))
            await it.wait_until(lambda: byte_meter.debt_units("school-1") > 0)
            plan = dataclasses.replace(
                scheduler_loop.quota("school-1").plan, limit_units_per_s=20.0, limit_burst_units=20.0
            )
            scheduler_loop.apply_settings(scheduler_loop.settings, {"school-1": plan})
            since, debt_before = anyio.current_time(), byte_meter.debt_units("school-1")
            await peer.send(h11.Data(data=b"x" * (size // 2)), h11.EndOfMessage())
            assert (await reply(peer)).status < 300
            refused = await it.request("PUT", "/school-1/p", b"x" * (100 * UNIT))
            assert retry_after_of_refusal("object", refused) > 10
            paid = debt_before - byte_meter.debt_units("school-1")
            assert paid <= 20.0 * (anyio.current_time() - since) + 20.0 + 5

    run()


def test_a_debt_survives_the_replacement_of_a_failed_scheduler():
    """The token buckets of a new scheduler begin empty; the debt remains."""
    scheduler_loop = SchedulerLoop(
        api.Settings(1, 0, (), (api.Plan("p", 1, 1, 5, 0, 10.0, 20.0),)), 1, Scheduler, lambda: 0.0
    )
    byte_meter = ByteMeter(lambda: 0.0, scheduler_loop.quota, lambda: 8.0)

    async def run() -> None:
        charge = byte_meter.open_charge("v", 10.0, 1, UNIT, 8.0, 0.0)
        await charge.charge_length(100 * UNIT)
        scheduler_loop._replace_scheduler(RuntimeError("x"))
        assert byte_meter.debt_units("v") == units_for_bytes(100 * UNIT, UNIT) - 8.0
        charge.transferred_bytes = 100 * UNIT
        charge.close()
        byte_meter.settle()
        assert len(byte_meter) == 1, "a volume with a debt is not dropped"

    anyio.run(run)


def test_a_request_that_was_never_sent_to_a_store_is_refunded():
    """A gateway that ends between charging and sending loses its buckets and debts; one that continues refunds the charge."""

    @run_async
    async def run():
        async with rig(
            limited_config(), unit_ms=0.02, listing=False
        ) as it:  # without an endpoint nothing can be sent
            answer = await it.request("PUT", "/school-1/o", b"x" * (500 * UNIT), winchdyke_time_left="700ms")
            assert answer.status == 503 and answer.reason == "held-out"
            assert it.gateway.service.byte_meter.debt_units("school-1") == 0

    run()


def test_a_volumes_reservation_is_charged_for_whole_objects():
    """Without the charge, objects of four times the scheduled units get three times the reservation at others' cost (simulated)."""
    from benchmarks import reserve

    uncharged, charged = reserve.simulate(4.0, ""), reserve.simulate(4.0, "reserve")
    assert uncharged["large"] > 2 * reserve.RESERVED_UNITS_PER_S
    assert charged["large"] < 1.3 * reserve.RESERVED_UNITS_PER_S and charged["rest"] > 2 * uncharged["rest"]
    assert charged["small"] >= 0.9 * uncharged["small"]


@pytest.mark.parametrize("asked", ["put", "range", "whole"])
def test_the_gateway_charges_the_reservation(asked):
    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            body = b"x" * (50 * UNIT)
            assert (await it.request("PUT", "/contest-1/o", body)).status < 300
            quota = it.gateway.scheduler_loop.quota("contest-1")
            assert quota.plan.reserved_units_per_s and not quota.plan.limit_units_per_s
            quota.reserved_units, started_at_ms = 10.0, quota.refilled_at_ms
            if asked == "put":
                assert (await it.request("PUT", "/contest-1/o", body)).status < 300
            else:
                headers = {"range": f"bytes=0-{len(body) - 1}"} if asked == "range" else {}
                assert len((await it.request("GET", "/contest-1/o", **headers)).body) == len(body)
            # The balance is refilled while the body is transferred, which takes longer on a busy machine.
            refill = quota.plan.reserved_units_per_s * (quota.refilled_at_ms - started_at_ms) / 1000
            assert -50.0 <= quota.reserved_units <= 10.0 - 50.0 + refill + 0.01, quota.reserved_units

    run()


def test_small_reads_of_unknown_size_come_out_of_the_bucket():
    """The read is scheduled as two units and has eight: the volume is charged eight units for each read, without a wait."""

    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            body = b"x" * (8 * UNIT)
            assert (await it.request("PUT", "/school-1/o", body)).status < 300
            service, quota = it.gateway.service, it.gateway.scheduler_loop.quota("school-1")
            for _ in range(2):  # the second time the object's size is known beforehand
                quota.refill(it.gateway.scheduler_loop.clock())
                quota.limit_units, before = 50.0, it.gateway.scheduler_loop.clock()
                assert len((await it.request("GET", "/school-1/o")).body) == len(body)
                refill = RATE * (quota.refilled_at_ms - before) / 1000
                assert 50.0 - 8.0 - 0.5 <= quota.limit_units <= 50.0 - 8.0 + refill + 0.5
            assert service.byte_meter.debt_units("school-1") == 0

    run()


def test_an_operation_costs_its_bytes_in_units():
    from winchdyke.object_api.routes import Operation, estimate_units

    put = Operation("put", "v", "k")
    assert [estimate_units(put, size, 1024, 2.0, 8.0) for size in (0, 1, 1024, 1025, 5000, 10**9)] == [
        1,
        1,
        1,
        2,
        5,
        8,
    ]
    assert (
        estimate_units(put, None, 1024, 2.0, 8.0) == 2.0
        and estimate_units(Operation("delete", "v", "k"), None, 1024, 2.0, 8.0) == 1.0
    )


def test_the_order_key_sent_to_stores_contains_the_volume_and_the_key():
    @run_async
    async def run():
        async with rig(limited_config(), unit_ms=0.02) as it:
            for volume in ("contest-1", "contest-2"):
                answer = await it.request(
                    "PUT", f"/{volume}/same", b"x", winchdyke_class="turns", idempotency_key="i"
                )
                assert answer.status < 300
            order_keys = [entry["order"] for entry in it.record.entries if entry["what"] == "head"]
            assert order_keys == ["contest-1/same", "contest-2/same"]

    run()
