"""Discovery watches that go silent, are reset, arrive late or reset their versions.

The checks look at which stores get requests afterwards.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import pytest
import test_platform
from test_platform_sockets import Harness, port_of, read_response, start_discovery, start_harness, wait_until

from winchdyke.platform import discovery_client, discovery_protocol, service

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def list_message(harness: Harness, version: int, full: bool = False, **changes: Any) -> dict[str, Any]:
    return {"version": version, "full": full, "servers": [{**harness.entry, **changes}]}


def test_silent_watch_is_replaced_before_missed_changes_count_as_notified(tmp_path):
    """The new watch must open within 6 s, less a drain's grace period, after the first one went silent.

    With a timeout of 5 s that was checked every second it could open too late.
    """

    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            started_at = time.monotonic()
            await wait_until(lambda: len(harness.watches) == 2, 6.0)
            assert 2.0 < time.monotonic() - started_at < 3.0, (
                "slightly longer than the 2 s between empty lines"
            )
            harness.send_change(2, state="terminating")
            await wait_until(lambda: harness.gateway.discovery.version == 2)
            assert (await harness.send_request())[0] == 503 and not harness.store.received_requests

    asyncio.run(scenario())


def test_watch_with_only_empty_lines_is_kept(tmp_path, monkeypatch):
    monkeypatch.setattr(discovery_client, "WATCH_SILENCE_SECONDS", 0.3)
    monkeypatch.setattr(discovery_client, "SILENCE_CHECK_SECONDS", 0.02)

    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            for _ in range(10):
                harness.watches[0].write(chunk(b"\n"))
                await asyncio.sleep(0.1)
            assert len(harness.watches) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("size", [1, 7, 64, 100_000])
def test_object_is_parsed_across_lines_and_chunks(tmp_path, size):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            change = list_message(harness, 2, state="terminating", note='with "{" and \\ in it')
            text = json.dumps(change, indent=2).encode() + b"\n"
            for at in range(0, len(text), size):
                harness.watches[0].write(chunk(text[at : at + size]))
            await wait_until(lambda: harness.gateway.discovery.version == 2)
            assert (
                len(harness.watches) == 1
                and (await harness.send_request())[0] == 503
                and not harness.store.received_requests
            )

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "text", [b"{no\n", b'{"version": 2,\n  oh no\n\n', b'{"a": [\n{\n\n', b"[1]\n", b"nonsense\n"]
)
def test_invalid_object_is_detected_before_its_end(text):
    parser = discovery_protocol.WatchParser()
    with pytest.raises(discovery_protocol.EndpointListError):
        parser.feed(text)


def test_watch_reset_within_an_object_resumes_from_the_present_version(tmp_path):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            text = json.dumps(list_message(harness, 2, state="terminating"), indent=1).encode()
            harness.watches[0].write(chunk(text[:40]))
            await harness.watches[0].drain()
            harness.watches[0].transport.abort()
            await wait_until(lambda: len(harness.watches) == 2)
            assert harness.gateway.discovery.version == 1 and (await harness.send_request())[0] == 200
            harness.send_change(2, state="terminating")
            await wait_until(lambda: harness.gateway.discovery.version == 2)
            assert (await harness.send_request())[0] == 503

    asyncio.run(scenario())


def test_older_full_list_does_not_undo_a_drain(tmp_path):
    """An older full list may be in transit on the new watch while the previous watch delivers a drain."""

    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            new_watches, info = (
                list[asyncio.StreamWriter](),
                json.loads((tmp_path / "config.json").read_text()),
            )
            new_server = await silent_discovery(new_watches)
            info["discovery"] = f"127.0.0.1:{port_of(new_server)}"
            (tmp_path / "config.json").write_text(json.dumps(info))
            harness.gateway.reload()
            await wait_until(lambda: bool(new_watches))
            harness.send_change(2, state="terminating")  # on the previous watch
            await wait_until(lambda: harness.gateway.discovery.version == 2)
            new_watches[0].write(
                HEAD + chunk(json.dumps(list_message(harness, 1, full=True)).encode() + b"\n")
            )
            await wait_until(lambda: harness.gateway.discovery._previous_watch is None)
            assert (
                (await harness.send_request())[0] == 503
                and not harness.store.received_requests
                and harness.gateway.discovery.version == 2
            )
            new_server.close()

    asyncio.run(scenario())


def test_version_reset_with_a_full_list_is_followed(tmp_path):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            harness.send_change(9)
            await wait_until(lambda: harness.gateway.discovery.version == 9)
            harness.watches[0].transport.abort()
            await wait_until(lambda: len(harness.watches) == 2)
            harness.watches[1].write(chunk(json.dumps(list_message(harness, 1, full=True)).encode() + b"\n"))
            harness.send_change(2, state="terminating")
            await wait_until(lambda: harness.gateway.discovery.version == 2)
            assert (await harness.send_request())[0] == 503

    asyncio.run(scenario())


def test_version_reset_with_a_change_leads_to_a_full_list_request(tmp_path):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            harness.send_change(9)
            await wait_until(lambda: harness.gateway.discovery.version == 9)
            harness.watches[0].transport.abort()
            await wait_until(lambda: len(harness.watches) == 2)
            harness.send_change(3, state="terminating")
            await wait_until(lambda: len(harness.watches) == 3)
            assert harness.gateway.discovery._needs_full_list

    asyncio.run(scenario())


async def scripted_discovery(
    watches: list[asyncio.StreamWriter], on_request: Callable[[asyncio.StreamWriter], None]
) -> asyncio.Server:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        watches.append(writer)
        on_request(writer)

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def test_second_address_change_keeps_the_last_working_watch(tmp_path):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            new_watches = list[asyncio.StreamWriter]()
            servers = [await silent_discovery(new_watches) for _ in range(2)]
            for server in servers:
                harness.gateway.discovery.change_address(("127.0.0.1", port_of(server)))
                await wait_until(lambda: bool(new_watches))
            harness.send_change(2, state="terminating")  # on the first watch, which still works
            await wait_until(lambda: harness.gateway.discovery.version == 2)
            assert (await harness.send_request())[0] == 503
            for server in servers:
                server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "last_chunk", [b"{no\n", b'{"version": 1, "full": false, "servers": []}\n'], ids=["spoilt", "a list"]
)
def test_discovery_that_closes_after_each_message_is_reconnected_with_backoff(tmp_path, last_chunk):
    def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(b"\n") + chunk(last_chunk) + b"0\r\n\r\n")

    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            watches = list[asyncio.StreamWriter]()
            failing_server = await scripted_discovery(watches, respond)
            harness.gateway.discovery.change_address(("127.0.0.1", port_of(failing_server)))
            await asyncio.sleep(1.0)
            assert 2 <= len(watches) <= 8 and (await harness.send_request())[0] == 200, (
                "the last valid list is kept"
            )
            failing_server.close()

    asyncio.run(scenario())


async def silent_discovery(watches: list[asyncio.StreamWriter]) -> asyncio.Server:
    """Start a discovery that sends nothing; the cached list (``known``) has the store in service."""
    return await scripted_discovery(watches, lambda writer: None)


@pytest.mark.parametrize("drains", [True, False])
def test_request_before_discoverys_first_response_waits_for_it(tmp_path, drains, monkeypatch):
    """A new process counts as notified of everything that discovery's agent knows.

    The cached list of the earlier process may have a store in service that is draining by now.
    """
    monkeypatch.setattr(service, "MAX_DISCOVERY_WAIT_SECONDS", 30.0)

    async def scenario() -> None:
        async with start_harness(tmp_path, make_discovery=silent_discovery) as harness:
            reader, writer = await harness.connect_client()
            writer.write(harness.build_request())
            await writer.drain()
            await asyncio.sleep(0.1)
            assert not harness.store.received_requests
            change = (
                list_message(harness, 2, state="terminating")
                if drains
                else {"version": 1, "full": False, "servers": []}
            )
            harness.watches[0].write(HEAD + chunk(json.dumps(change).encode() + b"\n"))
            assert (await read_response(reader))[0] == (503 if drains else 200) and len(
                harness.store.received_requests
            ) == (not drains)
            writer.close()

    asyncio.run(scenario())


def test_cached_list_is_used_if_discovery_is_down_at_the_start(tmp_path, monkeypatch):
    monkeypatch.setattr(service, "MAX_DISCOVERY_WAIT_SECONDS", 0.1)

    async def scenario() -> None:
        async with start_harness(tmp_path, make_discovery=silent_discovery) as harness:
            assert (await harness.send_request())[0] == 200

    asyncio.run(scenario())


def test_gateway_does_not_wait_for_discovery_if_lists_are_polled(tmp_path, monkeypatch):
    """Nothing counts as notified before it is polled, so waiting at the start has no benefit.

    On the day halden-mirror, herd+mass, two seeds, the wait cost 0.024 of what is served.
    """
    monkeypatch.setattr(service, "MAX_DISCOVERY_WAIT_SECONDS", 60.0)
    monkeypatch.setattr(
        test_platform, "SETTINGS_JSON", {**test_platform.SETTINGS_JSON, "discovery": "on_request"}
    )

    async def scenario() -> None:
        async with start_harness(tmp_path, make_discovery=silent_discovery) as harness:
            assert (await harness.send_request(**{"Req-Deadline-Ms": "2000"}))[0] == 200

    asyncio.run(scenario())


def test_changes_are_applied_after_discovery_moves_back(tmp_path):
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            other_watches = list[asyncio.StreamWriter]()
            discovery_server = await start_discovery(other_watches)
            previous_address = harness.gateway.discovery.address
            harness.gateway.discovery.change_address(("127.0.0.1", port_of(discovery_server)))
            await wait_until(
                lambda: bool(other_watches) and harness.gateway.discovery._previous_watch is None
            )
            harness.gateway.discovery.change_address(previous_address)
            await wait_until(lambda: len(harness.watches) == 2)
            harness.send_change(2, state="terminating")
            await wait_until(lambda: harness.gateway.discovery.version == 2)
            assert (await harness.send_request())[0] == 503
            discovery_server.close()

    asyncio.run(scenario())
