"""A gateway with stand-ins in one event loop: what the tests on sockets share."""

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
from winchdyke.standins.store import Meter, Rack, Shelf, Spec, Store
from winchdyke.standins.wire import LOST, Peer

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
    """The embedded settings with other values (``section__key``) and more classes."""
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
    """An answer as a client read it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def reason(self) -> str:
        """Its reason code."""
        return self.headers.get("winchdyke-reason", "-")


class Rig:
    """What runs, and what the gateway told its scheduler of attempts."""

    def __init__(self) -> None:
        self.record, self.meter, self.rack = Record(), Meter(), Rack()
        self.list = ListService(self.record)
        self.stores: list[Store] = []
        self.ended: list[api.AttemptEnded] = []
        self.events: list[api.Event] = []
        self.gateway: Gateway
        self.group: anyio.abc.TaskGroup

    @property
    def outcomes(self) -> list[str]:
        """How the attempts ended, in order."""
        return [event.outcome.name for event in self.ended]

    def watch(self) -> None:
        """Keep what the engine is told."""
        engine = self.gateway.scheduler_loop
        told, posted = engine.attempt_ended, engine.post

        def ended(ticket: Any, event: api.AttemptEnded) -> None:
            self.ended.append(event)
            told(ticket, event)

        def post(event: api.Event) -> None:
            self.events.append(event)
            posted(event)

        engine.attempt_ended, engine.post = ended, post  # type: ignore[method-assign]

    async def connect(self) -> Peer:
        """A client's connection to the gateway."""
        return Peer(await anyio.connect_tcp(*self.gateway.address), h11.CLIENT)

    async def ask(
        self, method: str, path: str, body: bytes | None = None, peer: Peer | None = None, **headers: str
    ) -> Reply:
        """One request and its answer; header names take _ for -."""
        own = peer is None
        peer = peer or await self.connect()
        try:
            fields = [("host", "t"), *((name.replace("_", "-"), value) for name, value in headers.items())]
            if body is not None and "transfer-encoding" not in dict(fields):
                fields.append(("content-length", str(len(body))))
            data = [h11.Data(data=body)] if body else []
            await peer.send(
                h11.Request(method=method, target=path, headers=fields), *data, h11.EndOfMessage()
            )
            return await reply(peer)
        finally:
            if own:
                await anyio.aclose_forcefully(peer.stream)

    async def raw(self, data: bytes) -> bytes:
        """Send bytes, and read until the gateway closes."""
        peer = await self.connect()
        got = b""
        with anyio.fail_after(5):
            try:
                await peer.stream.send(data)
                while True:
                    got += await peer.stream.receive()
            except LOST:
                await anyio.aclose_forcefully(peer.stream)
        return got

    def where(self, path: str) -> Store:
        """The store that holds an object."""
        from winchdyke.placement import shard_of

        volume, _, key = path[1:].partition("/")
        return self.stores[shard_of(volume, key, range(len(self.stores)))]

    def gateway_streams(self) -> list[Any]:
        """The streams of the clients' connections, at the gateway's side."""
        return [connection._stream for connection in self.gateway.clients.connections]

    async def until(self, done: Callable[[], bool], seconds: float = 5.0) -> None:
        """Wait for something to be so."""
        with anyio.fail_after(seconds):
            while not done():
                await anyio.sleep(0.005)


async def reply(peer: Peer) -> Reply:
    """Read one answer; EndOfStream where it is cut short."""
    head: h11.Response | None = None
    got = bytearray()
    while True:
        event = await peer.event()
        if isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            got += event.data
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            if peer.h11.our_state is h11.DONE and peer.h11.their_state is h11.DONE:
                peer.h11.start_next_cycle()
            return Reply(head.status_code, {n.decode(): v.decode() for n, v in head.headers}, bytes(got))
        elif isinstance(event, h11.ConnectionClosed):
            raise anyio.EndOfStream


@asynccontextmanager
async def rig(
    config: Config | None = None,
    stores: int = 8,
    unit_ms: float = 2.0,
    listing: bool = True,
    engine: Callable[[Config], SchedulerLoop] | None = None,
    **spec: Any,
) -> AsyncIterator[Rig]:
    """Start stores, list service and gateway; all end with the block."""
    made = Rig()
    config = config or settings()
    async with anyio.create_task_group() as group:
        made.group = group
        await made.list.start(group)
        for shard in range(stores):
            store = Store(
                Spec(shard, unit_ms=unit_ms, **spec), Shelf(), made.rack, made.meter, made.record, seed=shard
            )
            made.stores.append(store)
            await store.start(group)
            await made.list.set(store.name, "ready", shard, "hall-a")
        if not listing:
            made.list.kill()
        config = dataclasses.replace(config, nodes=dataclasses.replace(config.nodes, port=made.list.port))
        made.gateway = Gateway(config, engine(config) if engine else None)
        made.watch()
        ready = anyio.Event()
        group.start_soon(made.gateway.run, ready.set)
        await ready.wait()
        if listing:
            await made.until(lambda: len(made.gateway.scheduler_loop.endpoints) == stores)
        try:
            yield made
        finally:
            group.cancel_scope.cancel()


def played(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """Run an asynchronous test, within half a minute."""

    async def bounded() -> None:
        with anyio.fail_after(30):
            await test()

    def run() -> None:
        anyio.run(bounded)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run
