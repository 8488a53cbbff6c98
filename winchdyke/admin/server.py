"""The admin listener: ``POST /v1/changes`` with an operation as JSON; ``GET /v1/changes`` tells where the gateway stands, and
``GET /v1/fleet`` what it believes of the other gateways.

On a unix socket, whoever the system lets at it is let in (its owner and root), and named as the system names them. On TCP a request
is let in where it is signed (:mod:`winchdyke.admin.signing`). Work on the trail is done beside the event loop, a little at a time:
who asks here never holds up those whom the gateway serves.
"""

from __future__ import annotations

import os
import pwd
import socket
import stat
import struct
from pathlib import Path
from typing import Any, Protocol

import anyio
import anyio.to_thread
import msgspec
import structlog
from anyio.abc import SocketAttribute, SocketListener, SocketStream

from winchdyke.admin.keys import KeysError, Ring, read
from winchdyke.config.model import Admin as Settings
from winchdyke.config_rollout import operations
from winchdyke.config_rollout.change_log import ChangeLog
from winchdyke.gateway.clients import ClientConnection
from winchdyke.http1 import Headers, ProtocolError, RequestHead

PATH, FLEET = b"/v1/changes", b"/v1/fleet"
WHO = b"winchdyke-who"
BODY = 16 << 20  # bytes of a request at the most
BODY_S = 20.0  # for which one may take to arrive
CONNECTIONS = 16
AT_ONCE = 2  # operations
SOCKET_PATH = 100  # bytes of a unix socket's path that systems take
STATUS = {
    "not-an-operation": 400, "check": 422, "no-edit": 422, "no-difference": 422, "needs-start": 422, "past": 422,
    "too-long": 413, "no-version": 404,
}  # fmt: skip
UNAUTHORIZED = {"busy": 503, "just-started": 503, "keys": 503}


class AdminError(Exception):
    """A listener that can't be opened; says why and what to do."""


async def listen(settings: Settings, folder: Path) -> list[SocketListener]:
    """The listeners that are asked for. AdminError."""
    found: list[SocketListener] = []
    try:
        path = settings.socket or str(folder / "admin.sock")
        if path != "none":
            found += await _unix(path, bool(settings.socket))
        if settings.listen is not None:
            found += await _tcp(settings)
    except AdminError:
        for listener in found:
            await listener.aclose()
        raise
    return found


async def _unix(path: str, asked: bool) -> list[SocketListener]:
    if len(os.fsencode(path)) > SOCKET_PATH:
        text = f"{path} is too long for a socket; set admin, socket to a shorter path"
        if asked:
            raise AdminError(text)
        structlog.get_logger("admin").warning("admin", trouble=text)
        return []
    if os.path.exists(path):
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            raise AdminError(f"{path} is there and is no socket; set admin, socket to another path")
        with socket.socket(socket.AF_UNIX) as probe:
            try:
                probe.connect(path)
            except OSError:
                pass  # left by a process that is gone
            else:
                raise AdminError(f"another gateway listens at {path}; set admin, socket to another path")
    try:
        os.makedirs(os.path.dirname(path) or ".", mode=0o700, exist_ok=True)
        before = os.umask(0o177)  # so that it is never open to others, not even at first
        try:
            return [await anyio.create_unix_listener(path, mode=0o600)]
        finally:
            os.umask(before)
    except OSError as error:
        raise AdminError(f"can't listen at {path}: {error.strerror}; see admin, socket") from error


async def _tcp(settings: Settings) -> list[SocketListener]:
    assert settings.listen is not None
    if not settings.keys:
        raise AdminError("admin, listen is given and admin, keys is not: over TCP requests are signed")
    try:
        read(Path(settings.keys))
        multi = await anyio.create_tcp_listener(
            local_host=settings.listen.host, local_port=settings.listen.port
        )
    except KeysError as error:
        raise AdminError(f"{error}; see admin, keys") from error
    except OSError as error:
        where = f"{settings.listen.host}:{settings.listen.port}"
        raise AdminError(f"can't listen at {where}: {error.strerror}; see admin, listen") from error
    return [listener for listener in multi.listeners if isinstance(listener, SocketListener)]


class Standing(Protocol):
    """What can tell plain data about itself."""

    def standing(self) -> dict[str, Any]:
        """For JSON."""


class Admin:
    """What answers on the admin listeners of one gateway."""

    def __init__(self, settings: Settings, trail: ChangeLog | None, fleet: Standing | None = None) -> None:
        self.connections = CONNECTIONS
        self.trail, self.fleet, self._log = trail, fleet, structlog.get_logger("admin")
        self._limiter = anyio.CapacityLimiter(AT_ONCE)
        self._guard: Any = None
        if settings.listen is not None:
            from winchdyke.admin.signing import Guard

            self._guard = Guard(Ring(Path(settings.keys)))

    async def handle(self, connection: ClientConnection, head: RequestHead) -> None:
        """Answer one request."""
        connection.declared_body_bytes = head.length
        try:
            status, found, more = await self._answer(connection, head)
        except ProtocolError as error:
            connection.close_after_response = True
            status, found, more = error.status, {"error": error.reason, "text": str(error)}, []
        except Exception as error:
            self._log.error("internal", exc_info=error)
            status, more = 500, []
            found = {"error": "internal", "text": "this went wrong inside; see the gateway's log"}
        body = msgspec.json.encode(found) + b"\n"
        headers: Headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"cache-control", b"no-store"),
            *more,
        ]
        await connection.respond(status, headers, body)

    async def _answer(
        self, connection: ClientConnection, head: RequestHead
    ) -> tuple[int, dict[str, Any], Headers]:
        path = head.target.partition(b"?")[0]
        if path not in (PATH, FLEET):
            text = f"there are {PATH.decode()} and {FLEET.decode()} here, and nothing else"
            return 404, {"error": "not-found", "text": text}, []
        if head.method not in ("GET", "POST"):
            return 405, {"error": "method", "text": "GET or POST"}, [(b"allow", b"GET, POST")]
        if head.length is not None and head.length > BODY:
            return 413, {"error": "too-large", "text": f"{BODY} bytes at the most"}, []
        body = await self._body(connection)
        stream = connection.stream
        try:
            who, origin = self._person(stream, head, body)
        except _Refused as refused:
            connection.close_after_response = True
            self._log.warning("refused", code=refused.found["error"], peer=refused.peer)
            return refused.status, refused.found, refused.headers
        if path == FLEET:
            if self.fleet is None:
                return (
                    404,
                    {"error": "no-fleet", "text": "this gateway knows no others; see fleet, listen"},
                    [],
                )
            return 200, self.fleet.standing(), []
        if self.trail is None:
            return 404, {"error": "no-changes", "text": "no changes are kept here; see changes, folder"}, []
        try:
            operation = operations.read(body if head.method == "POST" else b'{"op": "standing"}')
            worker = operations.ChangeOperations(self.trail, who, origin)
            found = await anyio.to_thread.run_sync(worker.do, operation, limiter=self._limiter)
        except operations.OperationError as error:
            return STATUS.get(error.code, 409), {"error": error.code, "text": error.text, **error.more}, []
        if not isinstance(operation, operations.READING):
            self._log.info("admin", op=type(operation).__name__.lower(), who=who, origin=origin)
        return 200, found, []

    async def _body(self, connection: ClientConnection) -> bytes:
        got = bytearray()
        with anyio.move_on_after(BODY_S) as late:
            while data := await connection.read_body():
                got += data
                if len(got) > BODY:
                    raise ProtocolError(413, "too-large", f"{BODY} bytes at the most")
        if late.cancelled_caught:
            raise ProtocolError(408, "body-slow", "the request did not arrive in time")
        return bytes(got)

    def _person(self, stream: SocketStream, head: RequestHead, body: bytes) -> tuple[str, str]:
        raw = stream.extra(SocketAttribute.raw_socket)
        if raw.family == socket.AF_UNIX:
            pid, uid, _ = struct.unpack("3i", raw.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
            if uid not in (0, os.geteuid()):
                raise _Refused(403, "not-yours", "only its owner may use this socket", f"uid {uid}")
            said = head.get(WHO) or ""
            return said[:100] or _name(uid), f"socket, {_name(uid)}, process {pid}"
        from winchdyke.admin.signing import Message, NotSigned

        peer = stream.extra(SocketAttribute.remote_address)
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        url = f"http://{head.get(b'host') or ''}{head.target.decode('latin-1')}"
        try:
            key = self._guard.let_in(Message(head.method, url, headers), body)
        except NotSigned as error:
            status = UNAUTHORIZED.get(error.code, 401)
            raise _Refused(status, error.code, error.text, str(peer), error.retry_after_s) from error
        return key.who, f"{peer[0]}, key {key.id}"


class _Refused(Exception):
    def __init__(self, status: int, code: str, text: str, peer: str, after_s: float = 0.0) -> None:
        self.status, self.peer = status, peer
        self.found = {"error": code, "text": text}
        self.headers: Headers = [(b"retry-after", str(int(after_s + 1)).encode())] if after_s else []


def _name(uid: int) -> str:
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return f"uid-{uid}"
