"""What the platform's gateway keeps for its peers, counted in bytes and objects, against what it charges for them."""

from __future__ import annotations

import asyncio
import gc
import socket
import tracemalloc
from collections import Counter

import pytest
from test_peer_memory import BODY_BYTES, write_request
from test_platform_sockets import start_harness, wait_until

from winchdyke.platform import client_connection, client_request, request_forwarding, upstream_attempt
from winchdyke.platform.client_connection import ConnectionState
from winchdyke.platform.peer_memory import CONNECTION_OBJECTS_BYTES, MIN_CLIENT_BYTES, PeerMemory
from winchdyke.platform.process_memory import own_memory_bytes

MEBIBYTE = 2**20
START_BYTES = 17 * MEBIBYTE  # what the process has in use where nobody is connected
PEER_TYPES = (
    client_connection.ClientConnection,
    client_request.RequestReader,
    request_forwarding.ForwardedRequest,
    upstream_attempt.UpstreamAttempt,
)
PEERS = 60


def sent_bytes(harness, kind):
    """Return what a client of a kind sends."""
    read = harness.build_request(**{"Req-Deadline-Ms": "9000"})
    if kind == "silent":
        return b""
    if kind == "half a head":
        return read[:-2] + b"".join(b"X-Line-%d: and so on\r\n" % number for number in range(100))
    if kind == "half a body":
        return write_request(harness) + b"x" * (BODY_BYTES // 2)
    if kind == "requests at once":
        return read + b"".join(harness.build_request(**{"Req-Deadline-Ms": "9000"}) for _ in range(50))
    if kind == "a body that is too large":
        return write_request(harness, 60_000_000) + b"x" * 2000
    return read


KINDS = (
    "silent",
    "half a head",
    "half a body",
    "requests at once",
    "a body that is too large",
    "one request",
)


def connect_clients(harness, kind):
    """Connect clients without a turn of the event loop, so that nothing is allocated for them later on this side."""
    clients = []
    for _ in range(PEERS):
        client = socket.create_connection(("127.0.0.1", harness.port))
        client.setblocking(False)
        client.send(sent_bytes(harness, kind))
        clients.append(client)
    return clients


@pytest.mark.parametrize("kind", KINDS)
def test_charge_of_a_client_covers_what_is_kept_for_it(tmp_path, kind):
    # Guards against clients that take more memory than the account knows, until the process is killed for it.
    answers = asyncio.Event()

    async def respond(writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        await answers.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def scenario() -> None:
        async with start_harness(tmp_path, respond, memory_mb=192) as harness:
            requests = harness.gateway.memory.requests
            for measured in (False, True):  # first a round in which tables and caches grow
                clients = connect_clients(harness, kind)
                gc.collect()
                if measured:
                    tracemalloc.start()
                await wait_until(lambda: harness.gateway.clients.count == PEERS)
                for _ in range(20):
                    await asyncio.sleep(0)
                if measured:
                    kept_bytes = tracemalloc.get_traced_memory()[0]
                    tracemalloc.stop()
                    assert kept_bytes <= requests.used_bytes
                for client in clients:
                    client.close()
                await wait_until(lambda: not harness.gateway.clients.count)
            answers.set()
            await wait_until(lambda: not requests.used_bytes)

    asyncio.run(scenario())


def test_connections_and_requests_that_have_ended_wait_for_no_garbage_collection(tmp_path):
    # Guards against closed connections that are kept by reference cycles: uncharged, they took 8 MB beside the account.
    async def scenario() -> None:
        async with start_harness(tmp_path) as harness:
            gc.collect()
            gc.disable()
            try:
                for kind in KINDS:
                    clients = connect_clients(harness, kind)
                    await wait_until(lambda: harness.gateway.clients.count == PEERS)
                    await wait_until(
                        lambda: not harness.gateway.clients.by_state[ConnectionState.AWAITING_RESPONSE]
                    )
                    for client in clients:
                        client.close()
                    await wait_until(lambda: not harness.gateway.clients.count)
                    await asyncio.sleep(0)
                    assert not harness.gateway.scheduler_loop.open_requests
                    left = Counter(type(each).__name__ for each in gc.get_objects())
                    assert {each.__name__: left[each.__name__] for each in PEER_TYPES} == {
                        each.__name__: 0 for each in PEER_TYPES
                    }, kind
            finally:
                gc.enable()

    asyncio.run(scenario())


@pytest.mark.parametrize("memory_mb", [32, 48, 64, 80, 192])
@pytest.mark.parametrize("descriptors", [256, 512, 1024])
def test_accounts_and_clients_fit_beside_what_the_process_has_in_use(memory_mb, descriptors):
    # Guards against accounts that are a part of the limit alone: where the process has half of it, they came to the rest.
    stores = int(descriptors * 0.3)
    memory = PeerMemory.of_machine(memory_mb, START_BYTES, stores)
    left_bytes = memory_mb * MEBIBYTE - START_BYTES - stores * CONNECTION_OBJECTS_BYTES
    assert memory.requests.limit_bytes + memory.responses.limit_bytes <= left_bytes / 2
    assert memory.max_clients(10**6) * MIN_CLIENT_BYTES <= memory.requests.limit_bytes
    assert memory.max_clients(100) == 100, "descriptors bind where the memory is enough"
    assert memory.large_request_bodies_bytes < memory.requests.limit_bytes


def test_what_a_list_of_stores_takes_comes_off_the_accounts_as_well():
    # Guards against a large fleet whose list is read after the process was measured.
    memory = PeerMemory.of_machine(64, START_BYTES)
    before = memory.requests.limit_bytes
    account = memory.requests
    memory.fit(START_BYTES + 12 * MEBIBYTE)
    assert memory.requests is account
    assert account.limit_bytes == before - 4 * MEBIBYTE
    assert memory.max_clients(10**6) * MIN_CLIENT_BYTES <= account.limit_bytes


def test_process_larger_than_its_limit_still_serves_a_few_clients():
    # Guards against a gateway that admits nobody where its limit is set below what it takes by itself.
    memory = PeerMemory.of_machine(16, START_BYTES)
    assert memory.requests.limit_bytes > 0
    assert memory.max_clients(1000) > 50


@pytest.mark.parametrize(
    ("text", "expected_bytes"),
    [
        (
            "VmRSS:\t  26500 kB\nRssAnon:\t   17000 kB\nRssFile:\t   9400 kB\nRssShmem:\t     100 kB\n",
            17_100 * 1024,
        ),
        ("VmRSS:\t  26500 kB\n", None),
        ("RssAnon:\n", None),
    ],
)
def test_own_memory_leaves_out_mapped_files_and_is_never_nothing(tmp_path, text, expected_bytes):
    # Guards against files that the kernel can drop at any time counting as the process's own memory.
    status = tmp_path / "status"
    status.write_text(text)
    found_bytes = own_memory_bytes(status)
    assert found_bytes == expected_bytes if expected_bytes else found_bytes > MEBIBYTE
    assert own_memory_bytes(tmp_path / "missing") > MEBIBYTE
