"""Watches that fall silent, break off, come late or begin anew: which stores are sent to judges."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import pytest
import test_platform
from test_platform_sockets import Site, answer, discovery, port_of, site, until

from winchdyke.platform import discovery_client as watching
from winchdyke.platform import discovery_protocol, service

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def list_message(it: Site, version: int, full: bool = False, **changes: Any) -> dict[str, Any]:
    return {"version": version, "full": full, "servers": [{**it.entry, **changes}]}


def test_a_watch_falls_silent_and_a_new_one_is_heard_well_before_what_it_missed_counts_as_told(tmp_path):
    """6 s after it fell silent, less a drain's grace: at 5 s and a look each second the new watch could come too late."""

    async def play() -> None:
        async with site(tmp_path) as it:
            began = time.monotonic()
            await until(lambda: len(it.watches) == 2, 6.0)
            assert 2.0 < time.monotonic() - began < 3.0, "longer than an empty line's 2 s, and not by much"
            it.tell(2, state="terminating")
            await until(lambda: it.gateway.discovery.version == 2)
            assert (await it.ask())[0] == 503 and not it.store.seen

    asyncio.run(play())


def test_a_watch_that_says_empty_lines_is_left_alone(tmp_path, monkeypatch):
    monkeypatch.setattr(watching, "WATCH_SILENCE_SECONDS", 0.3)
    monkeypatch.setattr(watching, "SILENCE_CHECK_SECONDS", 0.02)

    async def play() -> None:
        async with site(tmp_path) as it:
            for _ in range(10):
                it.watches[0].write(chunk(b"\n"))
                await asyncio.sleep(0.1)
            assert len(it.watches) == 1

    asyncio.run(play())


@pytest.mark.parametrize("size", [1, 7, 64, 100_000])
def test_an_object_comes_over_several_lines_and_in_pieces(tmp_path, size):
    async def play() -> None:
        async with site(tmp_path) as it:
            told = list_message(it, 2, state="terminating", note='with "{" and \\ in it')
            text = json.dumps(told, indent=2).encode() + b"\n"
            for at in range(0, len(text), size):
                it.watches[0].write(chunk(text[at : at + size]))
            await until(lambda: it.gateway.discovery.version == 2)
            assert len(it.watches) == 1 and (await it.ask())[0] == 503 and not it.store.seen

    asyncio.run(play())


@pytest.mark.parametrize(
    "text", [b"{no\n", b'{"version": 2,\n  oh no\n\n', b'{"a": [\n{\n\n', b"[1]\n", b"nonsense\n"]
)
def test_what_cannot_become_an_object_is_told_by_its_lines(text):
    objects = discovery_protocol.WatchParser()
    with pytest.raises(discovery_protocol.EndpointListError):
        objects.feed(text)


def test_a_watch_is_reset_in_the_middle_of_an_object_and_the_next_asks_after_what_is_held(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            text = json.dumps(list_message(it, 2, state="terminating"), indent=1).encode()
            it.watches[0].write(chunk(text[:40]))
            await it.watches[0].drain()
            it.watches[0].transport.abort()
            await until(lambda: len(it.watches) == 2)
            assert it.gateway.discovery.version == 1 and (await it.ask())[0] == 200
            it.tell(2, state="terminating")
            await until(lambda: it.gateway.discovery.version == 2)
            assert (await it.ask())[0] == 503

    asyncio.run(play())


def test_a_whole_list_of_before_arrives_after_a_drain_was_told_and_brings_nothing_back(tmp_path):
    """It was on its way on the new watch while the old one told of the drain."""

    async def play() -> None:
        async with site(tmp_path) as it:
            newer, info = list[asyncio.StreamWriter](), json.loads((tmp_path / "config.json").read_text())
            other = await silent(newer)
            info["discovery"] = f"127.0.0.1:{port_of(other)}"
            (tmp_path / "config.json").write_text(json.dumps(info))
            it.gateway.reload()
            await until(lambda: bool(newer))
            it.tell(2, state="terminating")  # on the old watch
            await until(lambda: it.gateway.discovery.version == 2)
            newer[0].write(HEAD + chunk(json.dumps(list_message(it, 1, full=True)).encode() + b"\n"))
            await until(lambda: it.gateway.discovery._previous_watch is None)
            assert (await it.ask())[0] == 503 and not it.store.seen and it.gateway.discovery.version == 2
            other.close()

    asyncio.run(play())


def test_the_numbers_begin_anew_with_a_whole_list_and_what_follows_is_heard(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            it.tell(9)
            await until(lambda: it.gateway.discovery.version == 9)
            it.watches[0].transport.abort()
            await until(lambda: len(it.watches) == 2)
            it.watches[1].write(chunk(json.dumps(list_message(it, 1, full=True)).encode() + b"\n"))
            it.tell(2, state="terminating")
            await until(lambda: it.gateway.discovery.version == 2)
            assert (await it.ask())[0] == 503

    asyncio.run(play())


def test_the_numbers_begin_anew_with_a_change_and_the_whole_list_is_asked_for(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            it.tell(9)
            await until(lambda: it.gateway.discovery.version == 9)
            it.watches[0].transport.abort()
            await until(lambda: len(it.watches) == 2)
            it.tell(3, state="terminating")
            await until(lambda: len(it.watches) == 3)
            assert it.gateway.discovery._needs_full_list

    asyncio.run(play())


async def scripted_discovery(
    watches: list[asyncio.StreamWriter], then: Callable[[asyncio.StreamWriter], None]
) -> asyncio.Server:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        watches.append(writer)
        then(writer)

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def test_a_second_move_comes_before_the_first_has_spoken_and_the_watch_that_speaks_is_heard(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            mute = list[asyncio.StreamWriter]()
            places = [await silent(mute) for _ in range(2)]
            for place in places:
                it.gateway.discovery.change_address(("127.0.0.1", port_of(place)))
                await until(lambda: bool(mute))
            it.tell(2, state="terminating")  # on the first of all, which still speaks
            await until(lambda: it.gateway.discovery.version == 2)
            assert (await it.ask())[0] == 503
            for place in places:
                place.close()

    asyncio.run(play())


@pytest.mark.parametrize(
    "last", [b"{no\n", b'{"version": 1, "full": false, "servers": []}\n'], ids=["spoilt", "a list"]
)
def test_a_discovery_that_speaks_and_ends_at_once_is_not_dialled_without_a_pause(tmp_path, last):
    def say(writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(b"\n") + chunk(last) + b"0\r\n\r\n")

    async def play() -> None:
        async with site(tmp_path) as it:
            watches = list[asyncio.StreamWriter]()
            bad = await scripted_discovery(watches, say)
            it.gateway.discovery.change_address(("127.0.0.1", port_of(bad)))
            await asyncio.sleep(1.0)
            assert 2 <= len(watches) <= 8 and (await it.ask())[0] == 200, "the last good list is kept"
            bad.close()

    asyncio.run(play())


async def silent(watches: list[asyncio.StreamWriter]) -> asyncio.Server:
    """A discovery that says nothing yet; `known` names the store as in service."""
    return await scripted_discovery(watches, lambda writer: None)


@pytest.mark.parametrize("drains", [True, False])
def test_a_request_comes_to_a_new_process_before_discovery_has_spoken(tmp_path, drains, monkeypatch):
    """What the agent has counts as told from the first moment; the list of an earlier life named a store that drains."""
    monkeypatch.setattr(service, "MAX_DISCOVERY_WAIT_SECONDS", 30.0)

    async def play() -> None:
        async with site(tmp_path, make_discovery=silent) as it:
            reader, writer = await it.open()
            writer.write(it.request())
            await writer.drain()
            await asyncio.sleep(0.1)
            assert not it.store.seen
            change = (
                list_message(it, 2, state="terminating")
                if drains
                else {"version": 1, "full": False, "servers": []}
            )
            it.watches[0].write(HEAD + chunk(json.dumps(change).encode() + b"\n"))
            assert (await answer(reader))[0] == (503 if drains else 200) and len(it.store.seen) == (
                not drains
            )
            writer.close()

    asyncio.run(play())


def test_where_discovery_is_down_at_the_start_the_known_list_serves(tmp_path, monkeypatch):
    monkeypatch.setattr(service, "MAX_DISCOVERY_WAIT_SECONDS", 0.1)

    async def play() -> None:
        async with site(tmp_path, make_discovery=silent) as it:
            assert (await it.ask())[0] == 200

    asyncio.run(play())


def test_where_lists_are_asked_for_a_new_process_waits_for_no_word(tmp_path, monkeypatch):
    """halden-mirror, herd+mass, two seeds: the wait cost 0.024 of what is served, and guards nothing there."""
    monkeypatch.setattr(service, "MAX_DISCOVERY_WAIT_SECONDS", 60.0)
    monkeypatch.setattr(
        test_platform, "SETTINGS_JSON", {**test_platform.SETTINGS_JSON, "discovery": "on_request"}
    )

    async def play() -> None:
        async with site(tmp_path, make_discovery=silent) as it:
            assert (await it.ask(**{"Req-Deadline-Ms": "2000"}))[0] == 200

    asyncio.run(play())


def test_the_list_of_before_is_told_by_its_lines_also_where_discovery_moves_back(tmp_path):
    async def play() -> None:
        async with site(tmp_path) as it:
            more = list[asyncio.StreamWriter]()
            lists = await discovery(more)
            home = it.gateway.discovery.address
            it.gateway.discovery.change_address(("127.0.0.1", port_of(lists)))
            await until(lambda: bool(more) and it.gateway.discovery._previous_watch is None)
            it.gateway.discovery.change_address(home)
            await until(lambda: len(it.watches) == 2)
            it.tell(2, state="terminating")
            await until(lambda: it.gateway.discovery.version == 2)
            assert (await it.ask())[0] == 503
            lists.close()

    asyncio.run(play())
