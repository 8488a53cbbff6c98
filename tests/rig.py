"""A gateway with emulated stores and an emulated list service in one event loop, for tests over sockets."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from importlib import resources
from typing import Any

import anyio
import h11

from winchdyke import interface as api
from winchdyke.config import Config, parse
from winchdyke.gateway import logs
from winchdyke.gateway.daemon import Gateway
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record
from winchdyke.standins.store import DeduplicationGroup, ObjectStore, Store, StoreSpec, UsageMeter
from winchdyke.standins.wire import CONNECTION_ERRORS, Peer

logs.configure("none")
INI = resources.files("winchdyke.config").joinpath("defaults.ini").read_text()
ONCE = """
[class once]
operations = put delete
aim = 500ms
deadline = 2500ms
effect = at-most-once
writes = yes

[class turns]
operations = put
aim = 500ms
deadline = 2500ms
effect = keyed
memory = 4s
in_order = yes
writes = yes
"""


def settings(extra: str = "", **changes: str) -> Config:
    """Return the default settings with changed values (``section__key``) and additional request classes."""
    text = INI + ONCE + extra
    for name, value in changes.items():
        section, key = name.split("__")
        head, _, rest = text.partition(f"[{section}]\n")
        lines = [line for line in rest.split("\n\n")[0].splitlines() if not line.startswith(f"{key} =")]
        tail = rest[len(rest.split("\n\n")[0]) :]
        text = head + f"[{section}]\n{key} = {value}\n" + "\n".join(lines) + tail
    return parse(text, "test.ini")


@dataclasses.dataclass
class Reply:
    """A response as received by a client."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def reason(self) -> str:
        """Its reason code."""
        return self.headers.get("winchdyke-reason", "-")


class Rig:
    """The running components, and the events that the gateway passed to its scheduler.

    Attributes:
        record: What the emulated stores and list service recorded.
        list: The emulated list service.
        stores: The emulated stores, by shard.
        ended: The ends of attempts, in order.
        events: All posted events, in order.
        gateway: The gateway under test.
        group: The task group of all components.
    """

    def __init__(self) -> None:
        self.record, self.meter, self.deduplication_group = Record(), UsageMeter(), DeduplicationGroup()
        self.list = ListService(self.record)
        self.stores: list[Store] = []
        self.ended: list[api.AttemptEnded] = []
        self.events: list[api.Event] = []
        self.gateway: Gateway
        self.group: anyio.abc.TaskGroup

    @property
    def outcomes(self) -> list[str]:
        """The outcomes of the attempts that have ended, in order."""
        return [event.outcome.name for event in self.ended]

    def record_events(self) -> None:
        """Record the events that are passed to the scheduler loop."""
        loop = self.gateway.scheduler_loop
        attempt_ended, post = loop.attempt_ended, loop.post

        def record_attempt_ended(handle: Any, event: api.AttemptEnded) -> None:
            self.ended.append(event)
            attempt_ended(handle, event)

        def record_post(event: api.Event) -> None:
            self.events.append(event)
            post(event)

        loop.attempt_ended, loop.post = record_attempt_ended, record_post  # type: ignore[method-assign]

    async def connect(self) -> Peer:
        """Open a client connection to the gateway."""
        return Peer(await anyio.connect_tcp(*self.gateway.address), h11.CLIENT)

    async def request(
        self, method: str, path: str, body: bytes | None = None, peer: Peer | None = None, **headers: str
    ) -> Reply:
        """Send a request and return the response; ``_`` in a header name stands for ``-``."""
        is_own_peer = peer is None
        peer = peer or await self.connect()
        try:
            header_fields = [
                ("host", "t"),
                *((name.replace("_", "-"), value) for name, value in headers.items()),
            ]
            if body is not None and "transfer-encoding" not in dict(header_fields):
                header_fields.append(("content-length", str(len(body))))
            data = [h11.Data(data=body)] if body else []
            await peer.send(
                h11.Request(method=method, target=path, headers=header_fields), *data, h11.EndOfMessage()
            )
            return await reply(peer)
        finally:
            if is_own_peer:
                await anyio.aclose_forcefully(peer.stream)

    async def send_raw(self, data: bytes) -> bytes:
        """Send bytes, and return all bytes that the gateway sends until it closes the connection."""
        peer = await self.connect()
        received = b""
        with anyio.fail_after(5):
            try:
                await peer.stream.send(data)
                while True:
                    received += await peer.stream.receive()
            except CONNECTION_ERRORS:
                await anyio.aclose_forcefully(peer.stream)
        return received

    def store_of(self, path: str) -> Store:
        """Return the store that holds an object."""
        from winchdyke.placement import shard_of

        volume, _, key = path[1:].partition("/")
        return self.stores[shard_of(volume, key, range(len(self.stores)))]

    def gateway_streams(self) -> list[Any]:
        """Return the gateway's streams of the client connections."""
        return [connection._stream for connection in self.gateway.clients.connections]

    async def wait_until(self, done: Callable[[], bool], seconds: float = 5.0) -> None:
        """Wait until a condition holds; TimeoutError after ``seconds``."""
        with anyio.fail_after(seconds):
            while not done():
                await anyio.sleep(0.005)


async def reply(peer: Peer) -> Reply:
    """Read one response; raises EndOfStream if it is cut short."""
    head: h11.Response | None = None
    received = bytearray()
    while True:
        event = await peer.event()
        if isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            received += event.data
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            if peer.h11.our_state is h11.DONE and peer.h11.their_state is h11.DONE:
                peer.h11.start_next_cycle()
            return Reply(head.status_code, {n.decode(): v.decode() for n, v in head.headers}, bytes(received))
        elif isinstance(event, h11.ConnectionClosed):
            raise anyio.EndOfStream


@asynccontextmanager
async def rig(
    config: Config | None = None,
    stores: int = 8,
    unit_ms: float = 2.0,
    listing: bool = True,
    make_scheduler_loop: Callable[[Config], SchedulerLoop] | None = None,
    **spec: Any,
) -> AsyncIterator[Rig]:
    """Start stores, list service and gateway; all of them are stopped at the end of the block.

    Args:
        config: The gateway's configuration; None: the test settings.
        stores: Number of stores, each with a shard of its own.
        unit_ms: Time that a store needs for one unit, in milliseconds.
        listing: Whether the list service runs.
        make_scheduler_loop: Creates the scheduler loop; None: the gateway's own.
        spec: Further parameters of the stores.
    """
    running = Rig()
    config = config or settings()
    async with anyio.create_task_group() as group:
        running.group = group
        await running.list.start(group)
        for shard in range(stores):
            store = Store(
                StoreSpec(shard, unit_ms=unit_ms, **spec),
                ObjectStore(),
                running.deduplication_group,
                running.meter,
                running.record,
                seed=shard,
            )
            running.stores.append(store)
            await store.start(group)
            await running.list.set(store.name, "ready", shard, "hall-a")
        if not listing:
            running.list.kill()
        config = dataclasses.replace(config, nodes=dataclasses.replace(config.nodes, port=running.list.port))
        running.gateway = Gateway(config, make_scheduler_loop(config) if make_scheduler_loop else None)
        running.record_events()
        ready = anyio.Event()
        group.start_soon(running.gateway.run, ready.set)
        await ready.wait()
        if listing:
            await running.wait_until(lambda: len(running.gateway.scheduler_loop.endpoints) == stores)
        try:
            yield running
        finally:
            group.cancel_scope.cancel()


def run_async(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """Return a synchronous function that runs an asynchronous test, with a time limit of 30 s."""

    async def bounded() -> None:
        with anyio.fail_after(30):
            await test()

    def run() -> None:
        anyio.run(bounded)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run
