"""Sends that were decided before and are written after, and answers that come for the wrong one: what is on the wire judges."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import Iterator

import pytest
from test_platform_sockets import GOOD, Site, answer, good, site, until

from winchdyke.platform import stores
from winchdyke.platform.clients import State
from winchdyke.platform.stores import Link, Stores

LONG = {"Req-Deadline-Ms": "5000"}
OTHER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"


class Dials:
    """Holds connections to stores as if they had not come up, until they are let go."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.held, self.holding = list[Link](), True
        begin, connected = Stores.dial, stores.sockets.connected

        def dial(of: Stores, place: stores.Place) -> Link:
            link = begin(of, place)
            if self.holding:
                of.connect_ms = 10_000.0  # held for as long as the test wants, on any machine
                of.loop.remove_writer(link.sock.fileno())
                self.held.append(link)
            return link

        patch.setattr(Stores, "dial", dial)
        patch.setattr(stores.sockets, "connected", lambda sock: not self.holding and connected(sock))

    def go(self) -> None:
        """All that is held comes up in one turn; what is dialled from now on is not held."""
        self.holding = False
        for link in self.held:
            if link.sock.fileno() >= 0:
                link.writable()


@pytest.fixture
def dials(monkeypatch: pytest.MonkeyPatch) -> Iterator[Dials]:
    yield Dials(monkeypatch)


async def settled(it: Site) -> None:
    """Both sides have had their turns: a request asked now, of a shard without a store, was answered."""
    await it.ask(**{"X-IO": "units=2,shard=9,hosts=2"})
    await asyncio.sleep(0.02)


def narrow(patch: pytest.MonkeyPatch) -> None:
    """Connections to stores take little at a time: a body is half written for as long as its store reads nothing."""
    begin = Stores.dial

    def dial(of: Stores, place: stores.Place) -> Link:
        link = begin(of, place)
        link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return link

    patch.setattr(Stores, "dial", dial)


def listener_of_little() -> socket.socket:
    """A store's listener whose connections take little unread."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


async def moved(it: Site, listener: socket.socket) -> None:
    """The store is at another address from now on."""
    it.tell(2, addr=f"127.0.0.1:{listener.getsockname()[1]}")
    await until(lambda: it.gateway.follower.version == 2)


def leave(writer: asyncio.StreamWriter, how: str) -> None:
    if how == "reset":
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    else:
        writer.close()


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_leaves_then_its_dial_comes_up_nothing_is_sent(tmp_path, dials, how):
    async def play() -> None:
        async with site(tmp_path) as it:
            _, writer = await it.open()
            writer.write(it.request(**LONG))
            await until(lambda: bool(dials.held))
            leave(writer, how)
            await until(lambda: it.gateway.counts["gone"] == 1 and it.gateway.counts["NOT_SENT"] == 1)
            dials.go()
            await settled(it)
            assert not it.store.seen and not it.gateway.engine._scheduler.requests
            assert not it.gateway.counts["sent-after-leave"]

    asyncio.run(play())


def test_a_dial_comes_up_then_its_client_leaves_the_attempt_is_let_be(tmp_path, dials):
    def silent(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        pass

    async def play() -> None:
        async with site(tmp_path, silent) as it:
            _, writer = await it.open()
            writer.write(it.request(**LONG))
            await until(lambda: bool(dials.held))
            dials.go()
            await until(lambda: len(it.store.seen) == 1)
            writer.close()
            await until(lambda: it.gateway.counts["gone"] == 1)
            assert it.gateway.engine.disconnected_requests and not it.store.ends, (
                "it may have run: its answer is still learnt from"
            )
            it.store.writers[0].write(GOOD)
            await until(lambda: not it.gateway.engine.disconnected_requests)
            assert not it.gateway.engine._scheduler.requests

    asyncio.run(play())


def test_a_client_leaves_behind_more_bytes_than_are_kept_ahead_nothing_is_sent(tmp_path, dials):
    """The reader was off past 64 KiB: the leave lay behind bytes that nobody read."""

    async def play() -> None:
        async with site(tmp_path) as it:
            _, writer = await it.open()
            writer.write(it.request(**LONG))
            await until(lambda: bool(dials.held))
            writer.write(b"".join(it.request() for _ in range(1500)))
            await writer.drain()
            writer.close()
            await until(lambda: it.gateway.counts["gone"] == 1 and it.gateway.counts["NOT_SENT"] == 1)
            dials.go()
            await settled(it)
            assert not it.store.seen

    asyncio.run(play())


def test_what_is_sent_too_far_ahead_is_told_behind_the_answers_that_are_owed(tmp_path, dials):
    async def play() -> None:
        async with site(tmp_path) as it:
            reader, writer = await it.open()
            writer.write(it.request(**LONG))
            await until(lambda: bool(dials.held))
            writer.write(b"".join(it.request() for _ in range(1500)))
            await writer.drain()
            await asyncio.sleep(0.2)
            dials.go()
            assert (await answer(reader))[0] == 200
            status = 0
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while status != 413:
                    status = (await answer(reader))[0]
            assert status == 413
            writer.close()

    asyncio.run(play())


def test_bytes_come_behind_a_gap_before_it_was_told_and_are_no_request(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            reader, writer = await it.open()
            writer.write(it.request())
            assert (await answer(reader))[0] == 200
            (client,) = it.gateway.clients.by_state[State.IDLE]
            client._over = True  # bytes were thrown away, and the turn that tells so has not come
            writer.write(it.request())
            await until(lambda: client._thrown > 0)
            client.look()
            assert (await answer(reader))[0] == 413 and len(it.store.seen) == 1
            writer.close()

    asyncio.run(play())


def test_a_drain_is_told_then_the_dial_comes_up_nothing_is_sent(tmp_path, dials):
    """ticino-vault, split+mass, seed 607020175703: 29 requests went to stores up to a dial's time after their drain was told."""

    async def play() -> None:
        async with site(tmp_path) as it:
            asked = asyncio.ensure_future(it.ask(**LONG))
            await until(lambda: bool(dials.held))
            it.tell(2, state="terminating")
            await until(lambda: it.gateway.counts["NOT_SENT"] == 1)
            dials.go()
            assert (await asked)[0] == 503 and not it.store.seen

    asyncio.run(play())


def test_a_cold_restart_is_told_then_the_dial_comes_up_the_request_is_decided_anew(tmp_path, dials):
    async def play() -> None:
        async with site(tmp_path) as it:
            asked = asyncio.ensure_future(it.ask(**LONG))
            await until(lambda: bool(dials.held))
            it.tell(2, started_ms=1)
            await until(lambda: it.gateway.stores.counts["called-off"] == 1)
            before = dials.held[0]
            dials.go()
            assert (await asked)[0] == 200 and before.sock.fileno() < 0 and len(it.store.seen) == 1

    asyncio.run(play())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_leaves_while_its_body_is_half_written_the_rest_is_not(tmp_path, monkeypatch, how):
    narrow(monkeypatch)

    async def play() -> None:
        with listener_of_little() as listener:
            async with site(tmp_path) as it:
                await moved(it, listener)
                body = b"x" * 60000
                request = it.request(
                    **{"Req-Kind": "write", "Content-Length": str(len(body)), "Req-Deadline-Ms": "9000"}
                )
                _, writer = await it.open()
                writer.write(request[:-3] + body)
                await until(lambda: it.gateway.counts["taken"] == 1 and bool(it.gateway.stores.links))
                store, _ = await asyncio.to_thread(listener.accept)
                leave(writer, how)
                await until(lambda: it.gateway.counts["gone"] == 1)
                await settled(it)
                said = b""
                store.settimeout(1.0)
                with store, contextlib.suppress(ConnectionError, TimeoutError):
                    while more := await asyncio.to_thread(store.recv, 65536):
                        said += more
                assert 0 < len(said) < len(body) and not it.gateway.engine._scheduler.requests

    asyncio.run(play())


def test_a_second_answer_comes_after_the_next_request_was_asked_and_is_nobodys(tmp_path):
    """join+brink, seed 49, plays with a probe: 7 of 7 second answers came 0.9 to 3.7 ms after the first."""
    first: list[asyncio.StreamWriter] = []

    def say(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        first.append(writer)
        if number == 2 and writer is first[0]:
            writer.write(GOOD)  # once more the first's: it arrives ahead of the second's
        writer.write(GOOD if number == 1 else OTHER)

    async def play() -> None:
        async with site(tmp_path, say) as it:
            reader, writer = await it.open()
            writer.write(it.request())
            assert (await answer(reader))[2] == b"good"
            writer.write(it.request())
            assert (await answer(reader))[2] == b"other", "no client is served another's"
            writer.close()

    asyncio.run(play())


def test_a_connection_that_has_rested_serves_again(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            await it.ask()
            await asyncio.sleep(2 * stores.REST_MS / 1000)
            await it.ask()
            assert it.store.connections == 1 and it.gateway.stores.counts["reused"] == 1

    asyncio.run(play())


def test_the_age_of_a_kept_connection_counts_from_when_its_answer_came_not_from_when_it_was_read(
    tmp_path, monkeypatch
):
    """A process kept off its core used connections that their stores were just ending."""
    receive = stores.sockets.receive

    def late(sock: socket.socket, most: int = 65536) -> tuple[bytes, float]:
        data, came = receive(sock, most)
        return data, came - 600.0  # half of the stores' idle time is 500 ms

    async def play() -> None:
        async with site(tmp_path) as it:
            await it.ask()
            await until(lambda: bool(it.gateway.stores._idle))
            with monkeypatch.context() as patch:
                patch.setattr(stores.sockets, "receive", late)
                it.gateway.stores.close()
                assert (await it.ask(**{"Req-Deadline-Ms": "2000"}))[0] == 200
                await until(lambda: bool(it.gateway.stores._idle) or not it.gateway.stores.links)
            assert it.gateway.stores.kept(it.gateway.places["s-1"]) is None

    asyncio.run(play())


@pytest.mark.parametrize("lies", [True, False], ids=["the answer lies there", "nothing lies there"])
def test_the_stop_crosses_an_answer_that_nobody_has_read(tmp_path, lies):
    def silent(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        pass

    async def play() -> None:
        async with site(tmp_path, silent) as it:
            asked = asyncio.ensure_future(it.ask(**{"Req-Kind": "write"}))
            await until(lambda: bool(it.store.seen))
            (link,) = it.gateway.stores.links
            it.gateway.loop.remove_reader(link.sock.fileno())  # the loop has not turned since
            if lies:
                it.store.writers[0].write(GOOD)
                await asyncio.to_thread(select.select, [link.sock], [], [], 5.0)
            it.gateway.engine.finish_all("stopping")
            status, _, body = await asked
            assert (status, body == b"good") == ((200, True) if lies else (502, False))
            await settled(it)
            assert not it.gateway.engine._scheduler.requests and not it.gateway.engine.open_requests

    asyncio.run(play())


def test_a_request_broken_off_by_a_reset_is_not_said_to_have_never_run_and_good_serves_the_next(tmp_path):
    async def reset(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        if number == 1:
            leave(writer, "reset")
        else:
            good(writer, head, number)

    async def play() -> None:
        async with site(tmp_path, reset) as it:
            assert (await it.ask(**{"Req-Kind": "write"}))[0] in (200, 502)
            assert it.gateway.counts["CONNECTION_RESET"] == 1 and not it.gateway.counts["CONNECT_FAILED"]
            assert (await it.ask())[2] == b"good"

    asyncio.run(play())
