"""The admin API's requests: ``POST /v1/changes`` with an operation as JSON, ``GET /v1/changes`` for the state of the rollout,
and ``GET /v1/fleet`` for the state of the other gateways as this gateway knows it.

On a unix socket the operating system admits only the socket's owner and root, and reports the caller's user. On TCP a request has
to be signed (:mod:`winchdyke.admin.signing`). Operations run in worker threads, a few at a time, so that they never delay the
gateway's clients.
"""

from __future__ import annotations

import os
import pwd
import socket
import struct
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

import anyio
import anyio.to_thread
import msgspec
import structlog
from anyio.abc import SocketAttribute, SocketStream

from winchdyke.admin.keys import KeyRing
from winchdyke.config.model import Admin as AdminSettings
from winchdyke.config_rollout import operations
from winchdyke.config_rollout.change_log import ChangeLog
from winchdyke.http1 import Bytes, Headers, ProtocolError, RequestHead

CHANGES_PATH = b"/v1/changes"
FLEET_PATH = b"/v1/fleet"
ACTOR_HEADER = b"winchdyke-who"
MAX_ACTOR_CHARACTERS = 100
MAX_BODY_BYTES = 16 << 20
BODY_TIMEOUT_SECONDS = 20.0
MAX_CONNECTIONS = 16
MAX_CONCURRENT_OPERATIONS = 2
STATUS_OPERATION = b'{"op": "standing"}'
STATUS_BY_CODE = {  # the HTTP status by an operation's error code; 409 for all other codes
    "not-an-operation": 400, "check": 422, "no-edit": 422, "no-difference": 422, "needs-start": 422, "past": 422,
    "too-long": 413, "no-version": 404,
}  # fmt: skip
STATUS_BY_SIGNATURE_CODE = {"busy": 503, "just-started": 503, "keys": 503}  # 401 for all other codes


class AdminConnection(Protocol):
    """A connection on an admin listener (:class:`winchdyke.gateway.clients.ClientConnection`)."""

    declared_body_bytes: int | None
    close_after_response: bool

    @property
    def stream(self) -> SocketStream:
        """The socket, from which the caller's user or address is read."""
        ...

    async def read_body(self) -> Bytes:
        """Return the next piece of the request's body; empty at its end."""
        ...

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send the response."""
        ...


class FleetStatusSource(Protocol):
    """Reports the other gateways, as plain data for JSON."""

    def status(self) -> dict[str, Any]:
        """Return the members of the fleet as known to this gateway."""
        ...


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A response: its status, its body as plain data for JSON, and additional headers."""

    status: int
    data: dict[str, Any]
    headers: Headers = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Caller:
    """The sender of a request and its origin, as the change log records them."""

    name: str
    origin: str


class _RequestRejectedError(Exception):
    def __init__(
        self, status: int, code: str, text: str, peer: str, retry_after_seconds: float = 0.0
    ) -> None:
        super().__init__(text)
        self.status = status
        self.code = code
        self.text = text
        self.peer = peer
        self.retry_after_seconds = retry_after_seconds

    def response(self) -> AdminResponse:
        headers: Headers = []
        if self.retry_after_seconds:
            headers = [(b"retry-after", str(int(self.retry_after_seconds + 1)).encode())]
        return _error(self.status, self.code, self.text, headers)


class AdminServer:
    """Answers requests on the admin listeners of one gateway.

    Attributes:
        max_connections: The maximum number of connections at a time.
        change_log: The gateway's change log; None if none is configured.
        fleet: The source of the other gateways' state; None without a fleet.
    """

    def __init__(
        self, settings: AdminSettings, change_log: ChangeLog | None, fleet: FleetStatusSource | None = None
    ) -> None:
        self.max_connections = MAX_CONNECTIONS
        self.change_log = change_log
        self.fleet = fleet
        self._log = structlog.get_logger("admin")
        self._limiter = anyio.CapacityLimiter(MAX_CONCURRENT_OPERATIONS)
        self._verifier: Any = None
        if settings.listen is not None:
            from winchdyke.admin.signing import SignatureVerifier

            self._verifier = SignatureVerifier(KeyRing(Path(settings.keys)))

    async def handle(self, connection: AdminConnection, head: RequestHead) -> None:
        """Answer one request."""
        connection.declared_body_bytes = head.length
        try:
            response = await self._respond(connection, head)
        except ProtocolError as error:
            connection.close_after_response = True
            response = _error(error.status, error.reason, str(error))
        except Exception as error:
            self._log.error("admin_request_failed", exc_info=error)
            response = _error(500, "internal", "internal error; see the gateway's log")
        body = msgspec.json.encode(response.data) + b"\n"
        headers: Headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"cache-control", b"no-store"),
            *response.headers,
        ]
        await connection.respond(response.status, headers, body)

    async def _respond(self, connection: AdminConnection, head: RequestHead) -> AdminResponse:
        path = head.target.partition(b"?")[0]
        if path not in (CHANGES_PATH, FLEET_PATH):
            text = f"the paths are {CHANGES_PATH.decode()} and {FLEET_PATH.decode()}; there are no others"
            return _error(404, "not-found", text)
        if head.method not in ("GET", "POST"):
            return _error(405, "method", "use GET or POST", [(b"allow", b"GET, POST")])
        if head.length is not None and head.length > MAX_BODY_BYTES:
            return _error(413, "too-large", f"{MAX_BODY_BYTES} bytes are the maximum for a body")
        body = await self._read_body(connection)
        try:
            caller = self._authenticate(connection.stream, head, body)
        except _RequestRejectedError as rejected:
            connection.close_after_response = True
            self._log.warning("admin_request_rejected", reason=rejected.code, peer=rejected.peer)
            return rejected.response()
        if path == FLEET_PATH:
            return self._fleet_status()
        return await self._execute(body if head.method == "POST" else STATUS_OPERATION, caller)

    def _fleet_status(self) -> AdminResponse:
        if self.fleet is None:
            return _error(404, "no-fleet", "no fleet is configured at this gateway; see fleet, listen")
        return AdminResponse(200, self.fleet.status())

    async def _execute(self, body: bytes, caller: Caller) -> AdminResponse:
        if self.change_log is None:
            return _error(
                404, "no-changes", "no change log is configured at this gateway; see changes, folder"
            )
        try:
            operation = operations.parse_operation(body)
            worker = operations.ChangeOperations(self.change_log, caller.name, caller.origin)
            result = await anyio.to_thread.run_sync(worker.execute, operation, limiter=self._limiter)
        except operations.OperationError as error:
            status = STATUS_BY_CODE.get(error.code, 409)
            return AdminResponse(status, {"error": error.code, "text": error.text, **error.details})
        if not isinstance(operation, operations.READ_ONLY_OPERATIONS):
            name = operations.operation_name(operation)
            self._log.info("admin_operation", op=name, who=caller.name, origin=caller.origin)
        return AdminResponse(200, result)

    async def _read_body(self, connection: AdminConnection) -> bytes:
        received = bytearray()
        with anyio.move_on_after(BODY_TIMEOUT_SECONDS) as timeout:
            while data := await connection.read_body():
                received += data
                if len(received) > MAX_BODY_BYTES:
                    raise ProtocolError(
                        413, "too-large", f"{MAX_BODY_BYTES} bytes are the maximum for a body"
                    )
        if timeout.cancelled_caught:
            raise ProtocolError(408, "body-slow", "the request did not arrive in time")
        return bytes(received)

    def _authenticate(self, stream: SocketStream, head: RequestHead, body: bytes) -> Caller:
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        if raw_socket.family == socket.AF_UNIX:
            return _local_caller(raw_socket, head)
        return self._signing_caller(stream, head, body)

    def _signing_caller(self, stream: SocketStream, head: RequestHead, body: bytes) -> Caller:
        from winchdyke.admin.signing import Message, SignatureError

        peer = stream.extra(SocketAttribute.remote_address)
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        url = f"http://{head.get(b'host') or ''}{head.target.decode('latin-1')}"
        try:
            key = self._verifier.verify(Message(head.method, url, headers), body)
        except SignatureError as error:
            status = STATUS_BY_SIGNATURE_CODE.get(error.code, 401)
            raise _RequestRejectedError(
                status, error.code, error.text, str(peer), error.retry_after_seconds
            ) from error
        return Caller(key.who, f"{peer[0]}, key {key.id}")


def _local_caller(raw_socket: Any, head: RequestHead) -> Caller:
    """Return the user at the other end of a unix socket, under the name in the request's header if there is one."""
    credentials = raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
    pid, uid, _ = struct.unpack("3i", credentials)
    if uid not in (0, os.geteuid()):
        raise _RequestRejectedError(
            403, "not-yours", "only the gateway's user and root may use this socket", f"uid {uid}"
        )
    given_name = (head.get(ACTOR_HEADER) or "")[:MAX_ACTOR_CHARACTERS]
    user = _user_name(uid)
    return Caller(given_name or user, f"socket, {user}, process {pid}")


def _user_name(uid: int) -> str:
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return f"uid-{uid}"


def _error(status: int, code: str, text: str, headers: Headers | None = None) -> AdminResponse:
    return AdminResponse(status, {"error": code, "text": text}, headers or [])
