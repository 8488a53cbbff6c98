"""Listening sockets: accepts the connections of clients and of operators, and serves them."""

from __future__ import annotations

import errno
import ssl
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import structlog
from anyio.abc import SocketListener, SocketStream, TaskGroup
from anyio.streams.tls import TLSStream

from winchdyke.config.model import Limits, Listen
from winchdyke.gateway.attempts import CONNECTION_ERRORS
from winchdyke.gateway.clients import ClientConnection, RequestHandler
from winchdyke.gateway.errors import StartError
from winchdyke.gateway.pool import RESOURCE_EXHAUSTION_ERRNOS
from winchdyke.gateway.tls import CertificateReloader
from winchdyke.object_api import answers

LISTEN_BACKLOG = 1024
ACCEPT_RETRY_SECONDS = 0.05  # delay after running out of file descriptors or memory
LAST_ACCEPT_SECONDS = 0.01  # wait at a shutdown for the next connection that the kernel has established


@dataclass(frozen=True, slots=True)
class ListenerSpec:
    """The specification of a listener.

    Attributes:
        setting: The setting that configures it, for error messages.
        address: Host and port.
        handler: Processes the requests that arrive.
        uses_tls: Whether connections are encrypted.
    """

    setting: str
    address: Listen
    handler: RequestHandler
    uses_tls: bool


@dataclass(frozen=True, slots=True)
class OpenListener:
    """A listening socket and its specification."""

    socket: SocketListener
    spec: ListenerSpec


async def open_listeners(specs: list[ListenerSpec]) -> list[OpenListener]:
    """Open listening sockets, all or none.

    Raises:
        StartError: A listener can't be opened.
    """
    opened: list[OpenListener] = []
    for spec in specs:
        host = spec.address.host
        port = spec.address.port
        try:
            multi = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=LISTEN_BACKLOG)
        except OSError as error:
            for listener in opened:
                await listener.socket.aclose()
            reason = error.strerror or error
            raise StartError(f"can't listen at {host}:{port}: {reason}; see {spec.setting}") from error
        opened += [OpenListener(each, spec) for each in multi.listeners if isinstance(each, SocketListener)]
    return opened


class ClientListeners:
    """Accepts the connections of clients.

    Args:
        limits: Bounds on connections and their timeouts.
        clock: Monotonic time in milliseconds.
        certificates: The certificates for TLS; None: no listener uses TLS.
        retry_after_ms: Returns the Retry-After of a rejected connection, in milliseconds.

    Attributes:
        connections: The connections that are open.
    """

    def __init__(
        self,
        limits: Limits,
        clock: Callable[[], float],
        certificates: CertificateReloader | None,
        retry_after_ms: Callable[[], float],
    ) -> None:
        self.connections: set[ClientConnection] = set()
        self._limits = limits
        self._clock = clock
        self._certificates = certificates
        self._retry_after_ms = retry_after_ms
        self._handshakes = 0
        self._accepting: list[anyio.CancelScope] = []
        self._log = structlog.get_logger("gateway")

    def stop_accepting(self) -> None:
        """Close the listening sockets, after accepting the connections that the kernel has already established."""
        for scope in self._accepting:
            scope.cancel()

    async def accept(self, listener: OpenListener, group: TaskGroup) -> None:
        """Accept connections until :meth:`stop_accepting`, and run each in a task of the group."""
        spec = listener.spec
        async with listener.socket:
            with anyio.CancelScope() as scope:
                self._accepting.append(scope)
                while True:
                    try:
                        stream = await listener.socket.accept()
                    except OSError as error:
                        _raise_unless_transient(error)
                        self._log.warning("accept_failed", error=error.strerror)
                        await anyio.sleep(ACCEPT_RETRY_SECONDS)
                        continue
                    _pause_reading(stream)
                    group.start_soon(self._run_connection, stream, spec)
            # Closing the socket would reset connections that the kernel has established, so they are accepted first.
            while True:
                with anyio.move_on_after(LAST_ACCEPT_SECONDS) as none_left:
                    stream = await listener.socket.accept()
                    _pause_reading(stream)
                    group.start_soon(self._run_connection, stream, spec)
                if none_left.cancelled_caught:
                    return

    async def _run_connection(self, stream: SocketStream, spec: ListenerSpec) -> None:
        if self._certificates is not None and spec.uses_tls:
            encrypted = await self._handshake(stream, self._certificates)
            if encrypted is None:
                return
            stream = encrypted
        connection = ClientConnection(stream, self._limits, self._clock)
        if len(self.connections) >= self._limits.connections:
            await self._reject(connection)
            return
        self.connections.add(connection)
        try:
            await connection.run(spec.handler)
        except Exception as error:
            self._log.error("connection_failed", exc_info=error)
        finally:
            self.connections.discard(connection)

    async def _reject(self, connection: ClientConnection) -> None:
        connection.close_after_response = True
        text = "this gateway has reached its limit of connections; retry later"
        status, headers, body = answers.error(
            503, "refused", "too-many-connections", "-", text, self._retry_after_ms()
        )
        await connection.reject(status, headers, body)

    async def _handshake(
        self, stream: SocketStream, certificates: CertificateReloader
    ) -> SocketStream | None:
        """Return the encrypted stream; None: the handshake failed or timed out, or too many are in progress."""
        encrypted: TLSStream | None = None
        if len(self.connections) + self._handshakes < self._limits.connections:
            self._handshakes += 1
            try:
                with anyio.move_on_after(self._limits.header_timeout / 1000):
                    encrypted = await TLSStream.wrap(
                        stream,
                        server_side=True,
                        ssl_context=certificates.current_context(),
                        standard_compatible=False,
                    )
            except (*CONNECTION_ERRORS, ssl.SSLError):
                pass
            finally:
                self._handshakes -= 1
        if encrypted is None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
        return encrypted  # type: ignore[return-value]


class AdminListeners:
    """Accepts the connections of operators, which have a limit of their own and don't count against that of clients.

    Attributes:
        connections: The connections that are open.
    """

    def __init__(self, limits: Limits, clock: Callable[[], float]) -> None:
        self.connections: set[ClientConnection] = set()
        self._limits = limits
        self._clock = clock
        self._accepting: list[anyio.CancelScope] = []
        self._log = structlog.get_logger("gateway")

    def stop_accepting(self) -> None:
        """Close the listening sockets."""
        for scope in self._accepting:
            scope.cancel()

    async def accept(
        self, socket: SocketListener, handler: RequestHandler, max_connections: int, group: TaskGroup
    ) -> None:
        """Accept connections until :meth:`stop_accepting`, and run each in a task of the group."""
        connection_slots = anyio.Semaphore(max_connections)
        async with socket:
            with anyio.CancelScope() as scope:
                self._accepting.append(scope)
                while True:
                    await connection_slots.acquire()
                    try:
                        stream = await socket.accept()
                    except OSError as error:
                        connection_slots.release()
                        _raise_unless_transient(error)
                        await anyio.sleep(ACCEPT_RETRY_SECONDS)
                        continue
                    _pause_reading(stream)
                    group.start_soon(self._run_connection, stream, handler, connection_slots)

    async def _run_connection(
        self, stream: SocketStream, handler: RequestHandler, connection_slots: anyio.Semaphore
    ) -> None:
        connection = ClientConnection(stream, self._limits, self._clock)
        self.connections.add(connection)
        try:
            await connection.run(handler)
        except Exception as error:
            self._log.error("connection_failed", exc_info=error)
        finally:
            self.connections.discard(connection)
            connection_slots.release()


def _raise_unless_transient(error: OSError) -> None:
    if error.errno not in (*RESOURCE_EXHAUSTION_ERRNOS, errno.ECONNABORTED):
        raise error


def _pause_reading(stream: SocketStream) -> None:
    """Keep the transport from reading until data is requested.

    anyio pauses the transport of an accepted connection only after a read that had to wait: until then it reads whatever
    the client sends. anyio has no public access to the transport.
    """
    transport = getattr(stream, "_transport", None)
    if transport is not None:
        transport.pause_reading()
