"""A volume's limit for every byte: the debt alone, its waits, and both dialects from one table."""

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
from winchdyke.quotas.byte_metering import ByteMeter
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
    cfg = api.Settings(gateways, 0, (), (plan,), max_request_units=largest)
    made = VolumeQuota(cfg, plan, 0.0)
    made.sharing_gateways = gateways
    return made


# The debt


@given(
    st.integers(1, 4), st.floats(2, 100), st.floats(8, 200), st.integers(0, 2**32),
)  # fmt: skip
@examples(max_examples=150)
def test_over_any_time_all_gateways_move_the_limit_the_burst_and_one_object_each(gateways, rate, burst, seed):
    """Small requests that the scheduler lets through, large ones, some given back in part: at all gateways at once."""
    draw, went = random.Random(seed), list[tuple[float, float]]()
    largest = 0.0
    parts = [(TransferDebt(0.0), make_quota(rate, burst, gateways)) for _ in range(gateways)]
    now = 0.0
    for _ in range(120):
        now += draw.expovariate(1 / 200)
        account, mine = draw.choice(parts)
        account.settle(now, mine, rate / gateways, 8.0)
        mine.refill(now)
        small = draw.uniform(1, 8)
        if draw.random() < 0.6:
            if mine.limit_units >= small:
                mine.limit_units -= small
                went.append((now, small))
        elif account.is_settled:
            units = draw.uniform(9, 300)
            moved = units if draw.random() < 0.7 else draw.uniform(0, units)
            account.add(units)
            account.refund(units - moved, mine)
            went.append((now, moved))
            largest = max(largest, moved)
    for first in range(len(went)):
        total = 0.0
        for at, units in went[first:]:
            total += units
            most = rate * (at - went[first][0]) / 1000 + burst + gateways * largest
            assert total <= most + 1e-6


def test_a_debt_ends_when_it_was_said_however_many_small_requests_come():
    mine, account = make_quota(100.0, 50.0), TransferDebt(0.0)
    account.add(400.0)
    sure, served, now = account.latest_settled_ms(100.0), 0.0, 0.0
    assert sure == 400.0 / (DEBT_RATE_FRACTION * 100.0) * 1000
    while not account.is_settled:
        now += 100.0
        account.settle(now, mine, 100.0, 8.0)
        while mine.limit_units >= 4.0:  # small ones take all that there is
            mine.limit_units -= 4.0
            served += 4.0
    assert now <= sure + 100.0
    assert served >= 0.9 * (1 - DEBT_RATE_FRACTION) * 100.0 * now / 1000, (
        "the small ones have the other part of the rate"
    )


def test_what_small_requests_leave_pays_the_debt_too():
    mine, account = make_quota(100.0, 50.0), TransferDebt(0.0)
    account.add(400.0)
    for now in range(100, 4600, 100):
        account.settle(float(now), mine, 100.0, 8.0)
    assert account.is_settled, "all of the rate: 4 s and what the bucket keeps"


def test_a_clock_that_goes_back_pays_nothing_and_owes_nothing():
    account = TransferDebt(10_000.0)
    account.add(100.0)
    account.settle(4_000.0, None, 100.0, 8.0)
    assert account.units == 100.0
    account.settle(10_500.0, None, 100.0, 8.0)
    assert account.units == pytest.approx(100.0 - DEBT_RATE_FRACTION * 100.0 * 0.5)


def test_what_was_paid_in_vain_comes_back_but_never_more_than_the_bucket_holds():
    mine, account = make_quota(10.0, 50.0, gateways=2), TransferDebt(0.0)
    account.add(30.0)
    account.refund(100.0, mine)
    assert account.units == 0.0 and mine.limit_units == 25.0


def test_a_limit_that_is_no_more_leaves_no_debt():
    account = TransferDebt(0.0)
    account.add(1e6)
    account.settle(10.0, make_quota(0.0, 0.0), 0.0, 8.0)
    assert account.is_settled


def test_a_read_of_5_gib_is_paid_in_full_and_told_truly():
    """81,920 units: the next large one is refused at once, with the time after which there surely is room."""
    clock = [0.0]
    mine = make_quota(240.0, 480.0)
    byte_meter = ByteMeter(lambda: clock[0], lambda _: mine, lambda: 8.0)

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
        while clock[0] < error.value.wait_ms:  # small requests take what they may meanwhile
            clock[0] += 100.0
            byte_meter.settle()
            mine.limit_units = min(mine.limit_units, 0.0)
        third = byte_meter.open_charge("v", 240.0, 1, UNIT, 8.0, clock[0])
        await third.charge_length(1 << 20)
        third.transferred_bytes = 1 << 20
        third.close()

    anyio.run(run)


# On sockets, both dialects from one table

DIALECTS = ("object", "s3")


def limited(**more: Any) -> Any:
    base = settings(SMALL, limits__object_bytes="200MiB")
    volumes = tuple(
        dataclasses.replace(rule, plan="small") if rule.pattern == "school-*" else rule
        for rule in base.volumes
    )
    kinds = tuple(
        dataclasses.replace(
            kind, rules=dataclasses.replace(kind.rules, deadline_ms=4000.0, latency_objective_ms=500.0)
        )
        for kind in base.kinds
    )
    s3 = S3(Listen("127.0.0.1", 0), unsigned="all", part_least=1)
    return dataclasses.replace(base, s3=s3, volumes=volumes, kinds=kinds, **more)


async def connect(it: Rig, dialect: str) -> Peer:
    where = it.gateway.addresses[0 if dialect == "object" else -1]
    return Peer(await anyio.connect_tcp(*where), h11.CLIENT)


async def ask(it: Rig, dialect: str, method: str, path: str, body: bytes | None = None, **more: str) -> Reply:
    peer = await connect(it, dialect)
    try:
        return await it.ask(method, path, body, peer, **more)
    finally:
        await anyio.aclose_forcefully(peer.stream)


def over(dialect: str, answer: Reply) -> float:
    """The answer is a refusal for the limit: its Retry-After in seconds."""
    assert answer.status == 503, answer
    if dialect == "s3":
        assert b"SlowDown" in answer.body and b"over-limit" in answer.body
    else:
        assert answer.reason == "over-limit" and json.loads(answer.body)["outcome"] == "refused"
    return float(answer.headers["retry-after"])


def bytes_in(it: Rig) -> int:
    """What stores took of whole bodies."""
    return sum(seen["bytes"] for seen in it.record.seen if seen["what"] == "whole")


@pytest.mark.parametrize("dialect", DIALECTS)
@measured
def test_objects_put_one_after_another_pay_for_all_their_bytes(dialect):
    """Eight objects of 128 units: 1,024 units where 400 a second may go, and a burst of 100."""

    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            began = anyio.current_time()
            data = b"x" * (128 * UNIT)
            went: list[tuple[float, float]] = []

            async def client(number: int) -> None:
                while True:
                    answer = await ask(it, dialect, "PUT", f"/school-1/o{number}", data)
                    if answer.status < 300:
                        went.append((anyio.current_time(), 128.0))
                        return
                    await anyio.sleep(over(dialect, answer))

            async with anyio.create_task_group() as group:
                for number in range(8):
                    group.start_soon(client, number)
            took = anyio.current_time() - began
            assert bytes_in(it) == 8 * len(data)
            assert took >= (7 * 128 - BURST) / RATE * 0.9, "a burst and one object ahead of the limit"

    run()


@pytest.mark.parametrize("dialect", DIALECTS)
@pytest.mark.parametrize("asked", ["whole", "range"])
@measured
def test_what_is_read_is_paid_for_as_it_is_heard_of(dialect, asked):
    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            data = b"x" * (300 * UNIT)
            assert (await ask(it, dialect, "PUT", "/school-1/o", data)).status < 300
            it.gateway.service.byte_meter._meters.clear()  # the put is not what is looked at
            quota = it.gateway.scheduler_loop.quota("school-1")
            quota.limit_units = 60.0
            more = {"range": f"bytes=0-{250 * UNIT - 1}"} if asked == "range" else {}
            first = await ask(it, dialect, "GET", "/school-1/o", **more)
            assert len(first.body) == (250 if more else 300) * UNIT
            began = anyio.current_time()
            second = await ask(it, dialect, "GET", "/school-1/o", **more)
            assert second.status in (200, 206)
            assert anyio.current_time() - began >= (250 - 60) / RATE * 0.8, (
                "the first one's debt is paid first"
            )

    run()


@pytest.mark.parametrize("dialect", DIALECTS)
@measured
def test_small_requests_of_a_course_go_on_beside_its_large_one(dialect):
    """Half of the rate is theirs while the debt stands; large ones are told when to come back, truly."""

    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            data = b"x" * (3000 * UNIT)  # 187 MiB: 7.5 s of the course's limit
            assert (await ask(it, dialect, "PUT", "/school-1/big", data)).status < 300
            refused = await ask(it, dialect, "PUT", "/school-1/next", data[: 100 * UNIT])
            assert 5.0 <= over(dialect, refused) <= 3000 / (DEBT_RATE_FRACTION * RATE) + 1
            served = 0
            until = anyio.current_time() + 2.0
            while anyio.current_time() < until:
                answer = await ask(it, dialect, "PUT", f"/school-1/s{served}", b"x" * 4 * UNIT)
                served += answer.status < 300
            assert served * 4 >= 2.0 * DEBT_RATE_FRACTION * RATE * 0.4, served
            assert served * 4 <= 2.0 * DEBT_RATE_FRACTION * RATE * 1.3 + 8, served

    run()


@measured
def test_a_large_one_that_comes_back_when_it_was_told_to_is_served():
    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            data = b"x" * (1600 * UNIT)
            assert (await it.ask("PUT", "/school-1/big", data)).status < 300
            refused = await it.ask("PUT", "/school-1/next", data, winchdyke_time_left="600ms")
            assert over("object", refused) > 0
            wait = json.loads(refused.body)["retry_after_ms"]
            await anyio.sleep(wait / 1000)
            assert (await it.ask("PUT", "/school-1/next", data)).status < 300

    run()


async def send_chunks(peer: Peer, path: str, pieces: int, size: int, pause: float = 0.0) -> None:
    """A PUT that does not say how long it is; ends where the gateway answers before."""
    request = h11.Request(
        method="PUT", target=path, headers=[("host", "t"), ("transfer-encoding", "chunked")]
    )
    await peer.send(request)
    for _ in range(pieces):
        await peer.send(h11.Data(data=b"x" * size))
        if pause:
            await anyio.sleep(pause)
    await peer.send(h11.EndOfMessage())


def test_an_upload_of_unknown_length_pays_as_it_comes_and_is_refused_beyond_the_limit():
    """Three at once, each more than the limit gives in a request's time: never more than it, a burst and steps."""

    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            moved, answers = [0], deque[Reply]()
            service = it.gateway.service

            async def client(number: int) -> None:
                peer = await connect(it, "object")
                async with anyio.create_task_group() as group:
                    group.start_soon(quiet, peer, f"/school-1/c{number}")
                    answers.append(await reply(peer))
                    group.cancel_scope.cancel()
                await anyio.aclose_forcefully(peer.stream)

            async def quiet(peer: Peer, path: str) -> None:
                with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                    await send_chunks(peer, path, 2000, UNIT)

            began = anyio.current_time()
            open_charge = service.byte_meter.open_charge

            def noted(*args: Any) -> Any:
                charge = open_charge(*args)
                record_bytes = charge.record_bytes

                async def counted(more: int) -> None:
                    await record_bytes(more)
                    moved[0] += more

                charge.record_bytes = counted
                return charge

            service.byte_meter.open_charge = noted
            async with anyio.create_task_group() as group:
                for number in range(3):
                    group.start_soon(client, number)
            took = anyio.current_time() - began
            assert all(over("object", answer) > 0 for answer in answers) and len(answers) == 3
            assert moved[0] / UNIT <= RATE * took + BURST + 3 * 20 + 16
            assert moved[0] / UNIT >= RATE * took * 0.3, "it was paced, not shut out"
            assert not any(seen["what"] == "effect" for seen in it.record.seen), "refused means not done"

    run()


def test_a_client_that_leaves_pays_for_what_it_sent_and_no_more():
    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            peer = await connect(it, "object")
            size = 400 * UNIT
            request = h11.Request(
                method="PUT", target="/school-1/o", headers=[("host", "t"), ("content-length", str(size))]
            )
            await peer.send(request, h11.Data(data=b"x" * (size * 3 // 4)))
            byte_meter = it.gateway.service.byte_meter
            await it.until(lambda: byte_meter.debt_units("school-1") > 250)
            await it.until(lambda: any(seen["what"] == "head" for seen in it.record.seen))
            await anyio.sleep(0.1)
            before = byte_meter.debt_units("school-1")
            await peer.reset()
            await it.until(lambda: byte_meter.debt_units("school-1") <= before - 90)
            assert before - 100 - 60 <= byte_meter.debt_units("school-1") <= before - 90, (
                "a quarter was never sent"
            )

    run()


def test_a_client_that_leaves_while_it_waits_frees_its_turn():
    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            data = b"x" * (700 * UNIT)
            assert (await it.ask("PUT", "/school-1/o", data)).status < 300
            peer = await connect(it, "object")
            request = h11.Request(
                method="PUT",
                target="/school-1/p",
                headers=[("host", "t"), ("content-length", str(len(data)))],
            )
            await peer.send(request)
            meter = it.gateway.service.byte_meter._meters["school-1"]
            await it.until(lambda: meter.debt.queued_units > 0)
            await peer.reset()
            await it.until(lambda: meter.debt.queued_units == 0 and meter.open_charges == 0, 1.0)

    run()


def test_a_limit_lowered_while_an_upload_is_under_way_counts_for_what_follows():
    """64 MiB go through, being one object; what they owe is paid off at the lower limit."""

    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            engine, byte_meter = it.gateway.scheduler_loop, it.gateway.service.byte_meter
            size = 1024 * UNIT
            peer = await connect(it, "object")
            request = h11.Request(
                method="PUT", target="/school-1/o", headers=[("host", "t"), ("content-length", str(size))]
            )
            await peer.send(request, h11.Data(data=b"x" * (size // 2)))
            await it.until(lambda: byte_meter.debt_units("school-1") > 0)
            plan = dataclasses.replace(
                engine.quota("school-1").plan, limit_units_per_s=20.0, limit_burst_units=20.0
            )
            engine.apply_settings(engine.settings, {"school-1": plan})
            since, owed = anyio.current_time(), byte_meter.debt_units("school-1")
            await peer.send(h11.Data(data=b"x" * (size // 2)), h11.EndOfMessage())
            assert (await reply(peer)).status < 300
            refused = await it.ask("PUT", "/school-1/p", b"x" * (100 * UNIT))
            assert over("object", refused) > 10
            paid = owed - byte_meter.debt_units("school-1")
            assert paid <= 20.0 * (anyio.current_time() - since) + 20.0 + 5

    run()


def test_a_debt_outlives_a_scheduler_that_failed():
    """All accounts of a new scheduler begin empty; what is owed stays owed."""
    engine = SchedulerLoop(
        api.Settings(1, 0, (), (api.Plan("p", 1, 1, 5, 0, 10.0, 20.0),)), 1, Scheduler, lambda: 0.0
    )
    byte_meter = ByteMeter(lambda: 0.0, engine.quota, lambda: 8.0)

    async def run() -> None:
        bill = byte_meter.open_charge("v", 10.0, 1, UNIT, 8.0, 0.0)
        await bill.charge_length(100 * UNIT)
        engine._replace_scheduler(RuntimeError("x"))
        assert byte_meter.debt_units("v") == units_for_bytes(100 * UNIT, UNIT) - 8.0
        bill.transferred_bytes = 100 * UNIT
        bill.close()
        byte_meter.settle()
        assert len(byte_meter) == 1, "a course that owes is not forgotten"

    anyio.run(run)


def test_a_request_that_was_never_sent_is_not_paid_for():
    """The gateway that dies between paying and sending loses its account; one that lives gives the payment back."""

    @run_async
    async def run():
        async with rig(
            limited(), unit_ms=0.02, listing=False
        ) as it:  # no store is known: nothing can be sent
            answer = await it.ask("PUT", "/school-1/o", b"x" * (500 * UNIT), winchdyke_time_left="700ms")
            assert answer.status == 503 and answer.reason == "held-out"
            assert it.gateway.service.byte_meter.debt_units("school-1") == 0

    run()


def test_a_courses_reserve_pays_for_whole_objects():
    """Told as small ones, objects of four times the largest size have three times the reserve, at others' cost (simulated)."""
    from benchmarks import reserve

    lost, mended = reserve.simulate(4.0, ""), reserve.simulate(4.0, "reserve")
    assert lost["large"] > 2 * reserve.RESERVED_UNITS_PER_S
    assert mended["large"] < 1.3 * reserve.RESERVED_UNITS_PER_S and mended["rest"] > 2 * lost["rest"]
    assert mended["small"] >= 0.9 * lost["small"]


@pytest.mark.parametrize("asked", ["put", "range", "whole"])
def test_the_gateway_lets_the_reserve_pay(asked):
    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            body = b"x" * (50 * UNIT)
            assert (await it.ask("PUT", "/contest-1/o", body)).status < 300
            account = it.gateway.scheduler_loop.quota("contest-1")
            assert account.plan.reserved_units_per_s and not account.plan.limit_units_per_s
            if asked != "put":
                account.reserved_units = 10.0
                more = {"range": f"bytes=0-{len(body) - 1}"} if asked == "range" else {}
                assert len((await it.ask("GET", "/contest-1/o", **more)).body) == len(body)
            assert -50.0 <= account.reserved_units < -30.0, account.reserved_units

    run()


def test_small_reads_of_unknown_size_come_out_of_the_bucket():
    """Told as two units, eight in truth: the course is charged eight, once for each read, with no wait."""

    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            body = b"x" * (8 * UNIT)
            assert (await it.ask("PUT", "/school-1/o", body)).status < 300
            service, account = it.gateway.service, it.gateway.scheduler_loop.quota("school-1")
            for _ in range(2):  # the second time its size is known beforehand
                account.refill(it.gateway.scheduler_loop.clock())
                account.limit_units, before = 50.0, it.gateway.scheduler_loop.clock()
                assert len((await it.ask("GET", "/school-1/o")).body) == len(body)
                filled = RATE * (account.refilled_at_ms - before) / 1000
                assert 50.0 - 8.0 - 0.5 <= account.limit_units <= 50.0 - 8.0 + filled + 0.5
            assert service.byte_meter.debt_units("school-1") == 0

    run()


def test_what_an_operation_counts_is_its_bytes_in_units():
    from winchdyke.object_api.routes import Operation, units

    put = Operation("put", "v", "k")
    assert [units(put, size, 1024, 2.0, 8.0) for size in (0, 1, 1024, 1025, 5000, 10**9)] == [
        1,
        1,
        1,
        2,
        5,
        8,
    ]
    assert (
        units(put, None, 1024, 2.0, 8.0) == 2.0
        and units(Operation("delete", "v", "k"), None, 1024, 2.0, 8.0) == 1.0
    )


def test_stores_are_told_the_volume_and_the_key_that_order_goes_by():
    @run_async
    async def run():
        async with rig(limited(), unit_ms=0.02) as it:
            for volume in ("contest-1", "contest-2"):
                answer = await it.ask(
                    "PUT", f"/{volume}/same", b"x", winchdyke_class="turns", idempotency_key="i"
                )
                assert answer.status < 300
            told = [seen["order"] for seen in it.record.seen if seen["what"] == "head"]
            assert told == ["contest-1/same", "contest-2/same"]

    run()
