"""HTTP for emulators: h11 over a socket, where a test can break an exchange at any point."""

from __future__ import annotations

import select
import socket
import struct
import weakref
from collections.abc import Awaitable, Callable

import anyio
import h11
from anyio.abc import SocketAttribute, SocketListener, SocketStream

CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    h11.RemoteProtocolError,
)


class Peer:
    """One HTTP connection, as server or client."""

    def __init__(self, stream: SocketStream, role: type[h11.SERVER] | type[h11.CLIENT]) -> None:
        self.stream, self.h11 = stream, h11.Connection(role, max_incomplete_event_size=256 * 1024)

    async def event(self) -> h11.Event:
        """Return the next event; raises one of CONNECTION_ERRORS if the connection ends within a message."""
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA:
                try:
                    self.h11.receive_data(await self.stream.receive(262144))
                except anyio.EndOfStream:
                    self.h11.receive_data(b"")
            else:
                return event  # type: ignore[return-value]

    async def send(self, *events: h11.Event) -> None:
        """Send events with a single write."""
        await self.stream.send(b"".join(self.h11.send(event) or b"" for event in events))

    def quiet(self) -> bool:
        """Whether an idle connection is still open and has no unread data."""
        # Not select(), which fails for descriptors above 1,023; scenarios with many gateways have them.
        poller = select.poll()
        poller.register(self.stream.extra(SocketAttribute.raw_socket), select.POLLIN)
        return not poller.poll(0)

    async def reset(self) -> None:
        """Close the connection with a TCP reset."""
        raw = self.stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(self.stream)


def reserve_port(owner: object) -> int:
    """Reserve a loopback port chosen by the system for as long as its owner exists, and return it.

    The port is held by a bound socket that doesn't listen: a listener may share it, connections are refused while none does,
    and the system gives it to no other process.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    weakref.finalize(owner, reserved.close)
    return int(reserved.getsockname()[1])


async def listen(port: int = 0) -> SocketListener:
    """Return a loopback listener; port 0 is chosen by the system, a port in use is retried for 1 s."""
    for attempt in range(50):
        try:
            multi = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port, backlog=512)
        except OSError:
            if not port or attempt == 49:
                raise
            await anyio.sleep(0.02)
        else:
            return multi.listeners[0]  # type: ignore[return-value]
    raise AssertionError


async def accept_all(listener: SocketListener, serve: Callable[[SocketStream], Awaitable[None]]) -> None:
    """Serve connections until cancelled, and then close all of them."""

    async def serve_one(stream: SocketStream) -> None:
        try:
            await serve(stream)
        except (*CONNECTION_ERRORS, ExceptionGroup):
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async with listener, anyio.create_task_group() as group:
        while True:
            try:
                stream = await listener.accept()
            except OSError:
                await anyio.sleep(0.02)
                continue
            group.start_soon(serve_one, stream)
