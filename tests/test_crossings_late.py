"""What is true when something is decided and no longer when it happens: leaves, repeats, limits, answers, spoilt lists."""

from __future__ import annotations

import asyncio
import json

import pytest
import test_platform
from conftest import Gateway, node, request
from test_crossings_sends import Dials, leave, listener_of_little, moved, narrow, settled
from test_crossings_watches import HEAD, chunk
from test_platform import TOLD
from test_platform_sockets import GOOD, answer, site, until

from winchdyke import interface as api
from winchdyke.interface import AttemptOutcome
from winchdyke.platform import clients, protocol
from winchdyke.platform.clients import State


@pytest.mark.parametrize("where", ["in the queue", "on a connection that rests"])
@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_has_left_before_its_request_is_looked_at_and_nothing_is_sent(tmp_path, where, how):
    """A gateway off its core, or one that takes no connection yet, finds request and leave together."""

    async def play() -> None:
        async with site(tmp_path) as it:
            taken, loop = it.gateway.clients, it.gateway.loop
            await until(lambda: taken._accepting)
            if where == "in the queue":
                taken.accept(False)
                _, writer = await it.open()
            else:
                reader, writer = await it.open()
                writer.write(it.request())
                assert (await answer(reader))[0] == 200
                (client,) = taken.by_state[State.IDLE]
                loop.remove_reader(client.sock.fileno())
            begun = len(it.store.seen)
            writer.write(it.request())
            leave(writer, how)
            await asyncio.sleep(0.05)
            if where == "in the queue":
                taken.accept(True)
            else:
                loop.add_reader(client.sock.fileno(), client.readable)
            await until(lambda: not taken.count)
            await settled(it)
            assert len(it.store.seen) == begun and not it.gateway.engine._scheduler.requests

    asyncio.run(play())


def short(patch: pytest.MonkeyPatch, **write: object) -> None:
    """Settings whose class of writes differs."""
    classes = [TOLD["classes"][0], {**TOLD["classes"][1], **write}]
    patch.setattr(test_platform, "TOLD", {**TOLD, "classes": classes})


@pytest.mark.parametrize("forgotten", [True, False], ids=["after the memory's time", "within it"])
def test_a_repeat_is_decided_within_the_memorys_time_then_its_dial_comes_up(tmp_path, monkeypatch, forgotten):
    """Where a class is remembered for less than a dial may take, the second attempt ran anew."""
    short(monkeypatch, memory_span_ms=1500.0, deadline_ms=9000.0)
    dials = Dials(monkeypatch)
    dials.holding = False

    def say(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        if number == 1:
            dials.holding = True
            leave(writer, "reset")  # it may have run
        else:
            writer.write(GOOD)

    async def play() -> None:
        async with site(tmp_path, say) as it:
            asked = asyncio.ensure_future(it.ask(**{"Req-Kind": "write", "Req-Deadline-Ms": "8000"}))
            await until(lambda: bool(dials.held))
            clock = it.gateway.stores.clock
            it.gateway.stores.clock = lambda: clock() + (1600.0 if forgotten else 0.0)
            dials.go()
            status, _, _ = await asked
            assert (len(it.store.seen), status == 200) == ((1, False) if forgotten else (2, True))
            it.gateway.stores.clock = clock

    asyncio.run(play())


def test_an_answer_comes_before_the_last_byte_was_written_and_is_not_this_requests(tmp_path, monkeypatch):
    """A second answer, later than a connection rests: the next request, still half written, was served with it."""
    narrow(monkeypatch)

    async def play() -> None:
        with listener_of_little() as listener:
            async with site(tmp_path) as it:
                await moved(it, listener)
                body = b"x" * 60000
                length = {"Content-Length": str(len(body)), "Req-Deadline-Ms": "1500"}
                request = it.request(**{"Req-Kind": "write", **length})
                asked = asyncio.ensure_future(it.ask(request[:-3] + body))
                store, _ = await asyncio.to_thread(listener.accept)
                with store:
                    store.sendall(GOOD)
                    status, _, said = await asked
                assert status != 200 and said != b"good"
                assert not it.gateway.counts["SERVED"] and not it.gateway.counts["CONNECTION_RESET"], (
                    "it never ran"
                )

    asyncio.run(play())


@pytest.mark.parametrize("end", ["close", "reset"])
def test_a_whole_list_has_no_length_and_its_end_comes(tmp_path, end):
    """What is spoilt leads to a whole list: where that told no length it was asked for again and again."""
    asked = list[bytes]()

    async def lists_of(watches: list[asyncio.StreamWriter]) -> asyncio.Server:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
            if b"watch" in asked[-1]:
                writer.write(HEAD + chunk(b"\n"))
                watches.append(writer)
                return
            text = json.dumps({"version": 5, "full": True, "servers": []}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + text)
            await writer.drain()
            await asyncio.sleep(0.02)
            leave(writer, end)

        return await asyncio.start_server(serve, "127.0.0.1", 0)

    async def play() -> None:
        async with site(tmp_path, lists_of=lists_of) as it:
            it.watches[0].write(chunk(b"nonsense\n"))
            await until(lambda: asked.count(b"/api/targets") >= (1 if end == "close" else 3))
            if end == "close":
                await until(lambda: len(it.watches) == 2)
                assert asked == [
                    b"/api/targets?watch=1&after=1",
                    b"/api/targets",
                    b"/api/targets?watch=1&after=5",
                ]
                assert (await it.ask())[0] == 503
            else:
                assert it.gateway.follower.version == 1 and (await it.ask())[0] == 200, "a reset is no end"

    asyncio.run(play())


DEEP = b"[" * 100_000
HUGE = b"1" + b"0" * 400


@pytest.mark.parametrize(
    "text",
    [
        DEEP + b"\n",
        b'{"version": 2, "full": true, "servers": ' + DEEP + b"\n",
        b'{"version": 2, "servers": [{"id": "a", "addr": "127.0.0.1:1", "cell": 3, "state": "in_service", "started_ms": %s}]}\n'
        % HUGE,
        b'{"version": 2, "servers": [{"id": "a", "addr": "a..b:80", "cell": 3, "state": "in_service"}]}\n',
        b'{"version": 2, "servers": [{"id": "a", "addr": "disk-1.internal:80", "cell": 3, "state": "in_service"}]}\n',
        b'{"version": 2, "servers": [{"id": "a", "addr": "\\u0000:80", "cell": 3, "state": "in_service"}]}\n',
    ],
    ids=[
        "brackets without end",
        "brackets within",
        "a start past all numbers",
        "no name",
        "a name",
        "a zero byte",
    ],
)
def test_a_spoilt_list_is_a_fault_by_name_and_nothing_else(text):
    with pytest.raises(protocol.EndpointListError):
        protocol.Objects().feed(text)


CAPPED = api.Plan("capped", 1.0, 1.0, 3.0, 0.0, limit_units_per_s=40.0, limit_burst_units=32.0)
SLACK = (
    8.0 + 0.15 * CAPPED.limit_units_per_s
)  # the larger of a tenth of the burst and a largest request; 150 ms on sockets


def test_dials_of_a_limited_volume_fail_then_all_go_with_what_has_filled_meanwhile(make):
    """Units are taken as the last byte comes to a store: what failed to get there is taken again when it goes."""
    slow = api.RequestClass(
        "slow", 2.0, 1500.0, 5000.0, 0.1, api.RepeatSafety.AT_MOST_ONCE, api.DeduplicationScope.ALL, 0.0
    )
    gateway: Gateway = make(
        [node(f"n{shard}", shard) for shard in range(16)],
        classes=(slow,),
        plans=(CAPPED,),
        retry_budget_window_ms=0.0,
    )
    ask = {"request_class": "slow", "plan": "capped", "units": 4.0, "time_left_ms": 5000.0}
    gateway.run(2000.0)
    gateway.give(*[request(f"a{n}", shard=n, key=f"a{n}", **ask) for n in range(8)])
    assert len(gateway.sends) == 8
    failed = list(gateway.sends)
    gateway.run(250.0)
    for n in range(8):
        gateway.end(f"a{n}", AttemptOutcome.CONNECT_FAILED, closed=False)
    gateway.run(400.0)
    gateway.give(*[request(f"b{n}", shard=8 + n, key=f"b{n}", **ask) for n in range(8)])
    ended = len(failed)
    for _ in range(30):
        gateway.run(50.0)
        for _, send in gateway.sends[ended:]:
            gateway.end(send.request_id, AttemptOutcome.SERVED)
        ended = len(gateway.sends)
    came = sorted((at, 4.0) for at, send in gateway.sends if (at, send) not in failed)
    level, last = CAPPED.limit_burst_units, 0.0
    for at, units in came:
        level = min(CAPPED.limit_burst_units, level + CAPPED.limit_units_per_s * (at - last) / 1000) - units
        last = at
        assert level >= -SLACK, f"{len(came)} came, the store of the limit is at {level:.1f}"
    assert len(came) >= 12, "what failed is sent once the limit has filled for it"


@pytest.mark.parametrize("why", ["its time is up", "its place is needed"])
def test_a_new_connection_has_half_a_request_and_is_ended_with_an_answer(tmp_path, why, monkeypatch):
    """A new connection that is closed with no answer is a request lost, beyond one in 200."""

    async def play() -> None:
        async with site(tmp_path) as it:
            reader, writer = await it.open()
            writer.write(it.request()[:-9])
            await until(lambda: any(client.came for client in it.gateway.clients.by_state[State.FRESH]))
            if why == "its time is up":
                monkeypatch.setattr(clients, "FIRST_MS", 1.0)
            else:
                monkeypatch.setattr(clients, "GRACE_MS", 0.0)
                assert it.gateway.clients._make_room()
            assert (await answer(reader))[0] == (408 if why == "its time is up" else 503)
            writer.close()

    asyncio.run(play())


def test_usual_clients_send_more_than_the_protocols_64_kib_and_are_served_within_this_machines_memory(
    tmp_path,
):
    """zone+brink, seed 31: six of 2,081 requests, 73 to 108 KB long, were cut off half written."""

    async def play() -> None:
        async with site(tmp_path) as it:
            body = b"x" * 108_000

            def request(length: int) -> bytes:
                return it.request(
                    **{"Req-Kind": "write", "Content-Length": str(length), "Req-Deadline-Ms": "9000"}
                )[:-3]

            assert (await it.ask(request(len(body)) + body))[::2] == (200, b"good")
            assert it.store.seen[0].endswith(body) and not it.gateway.clients.long
            assert (await it.ask(request(64 * 2**20)))[0] == 413, "by its head"
            reader, writer = await it.open()
            writer.write(request(len(body)) + body[:1000])
            await until(lambda: it.gateway.clients.long == len(body))
            it.gateway.clients.long_most = 1.5 * len(body)
            assert (await it.ask(request(len(body)) + body))[0] == 503, "not both at once"
            writer.write(body[1000:])
            assert (await answer(reader))[0] == 200
            chunked = {"Req-Kind": "write", "Content-Length": "", "Transfer-Encoding": "chunked"}
            text = it.request(**chunked, **{"Req-Deadline-Ms": "9000"})[:-3]
            piece = b"6978\r\n" + body[:27_000] + b"\r\n"
            assert (await it.ask(text + 4 * piece + b"0\r\n\r\n"))[0] == 200
            it.gateway.clients.long_most = 1e9
            assert (await it.ask(text.replace(b"000", b"00f", 1) + 40 * piece))[0] == 413, (
                "and not without end"
            )
            assert (await it.ask(request(len(body)) + body))[0] == 200 and not it.gateway.clients.long
            writer.close()

    asyncio.run(play())


@pytest.mark.parametrize("end", ["close", "reset"])
def test_an_answer_tells_no_length_and_its_connection_ends(tmp_path, end):
    """split+brink, seed 31: 22 of 38 such answers ended in good order and were called resets, and 16 by a reset."""

    async def say(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await writer.drain()
        await asyncio.sleep(0.05)
        if end == "close":
            writer.write(b"whole")
        leave(writer, end)

    async def play() -> None:
        async with site(tmp_path, say) as it:
            status, _, body = await it.ask(**{"Req-Kind": "write", "Req-Deadline-Ms": "3000"})
            assert (status, body == b"halfwhole") == ((200, True) if end == "close" else (502, False))
            assert not it.gateway.stores._idle

    asyncio.run(play())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_dial_comes_up_and_a_leave_lies_unread_beside_it_nothing_is_sent(tmp_path, monkeypatch, how):
    """A late turn of the loop finds both, and in either order."""
    dials = Dials(monkeypatch)

    async def play() -> None:
        async with site(tmp_path) as it:
            _, writer = await it.open()
            writer.write(it.request(**{"Req-Deadline-Ms": "8000"}))
            await until(lambda: bool(dials.held))
            (client,) = it.gateway.clients.by_state[State.OPEN]
            it.gateway.loop.remove_reader(client.sock.fileno())
            leave(writer, how)
            await until(lambda: clients.sockets.ended(client.sock))
            assert not it.gateway.counts["gone"]
            dials.go()
            await settled(it)
            assert not it.store.seen and it.gateway.counts["gone"] == 1
            await until(lambda: not it.gateway.engine._scheduler.requests)

    asyncio.run(play())


def test_a_list_of_an_earlier_life_cannot_be_read_and_the_gateway_starts(tmp_path):
    async def play() -> None:
        async with site(tmp_path, known={"version": 9, "servers": [{"id": 7}]}) as it:
            assert (await it.ask())[0] == 503
            it.tell(2)
            await until(lambda: it.gateway.follower.version == 2)
            assert (await it.ask())[0] == 200

    asyncio.run(play())
