"""The admin API's listeners: a unix socket for the gateway's owner, and a TCP address for signed requests."""

from __future__ import annotations

import os
import socket
import stat
from pathlib import Path

import anyio
import structlog
from anyio.abc import SocketListener

from winchdyke.admin.keys import KeyFileError, read_keys
from winchdyke.config.model import Admin as AdminSettings

SOCKET_NAME = "admin.sock"  # file name in the gateway's folder, used unless the settings give a path
MAX_SOCKET_PATH_BYTES = 100  # maximum length that all operating systems accept


class AdminError(Exception):
    """A listener that can't be opened; its text says why and what to do."""


async def open_listeners(settings: AdminSettings, folder: Path) -> list[SocketListener]:
    """Open the configured listeners. Raises AdminError if one can't be opened; then none stays open."""
    listeners: list[SocketListener] = []
    try:
        path = settings.socket or str(folder / SOCKET_NAME)
        if path != "none":
            listeners += await _listen_on_socket(path, is_configured=bool(settings.socket))
        if settings.listen is not None:
            listeners += await _listen_on_tcp(settings)
    except AdminError:
        for listener in listeners:
            await listener.aclose()
        raise
    return listeners


async def _listen_on_socket(path: str, is_configured: bool) -> list[SocketListener]:
    if len(os.fsencode(path)) > MAX_SOCKET_PATH_BYTES:
        text = f"{path} is too long for a socket; set admin, socket to a shorter path"
        if is_configured:
            raise AdminError(text)
        structlog.get_logger("admin").warning("admin_socket_skipped", reason=text)
        return []
    _check_socket_is_free(path)
    try:
        os.makedirs(os.path.dirname(path) or ".", mode=0o700, exist_ok=True)
        # The umask keeps other users out even before the socket's mode is set.
        old_umask = os.umask(0o177)
        try:
            return [await anyio.create_unix_listener(path, mode=0o600)]
        finally:
            os.umask(old_umask)
    except OSError as error:
        raise AdminError(f"can't listen at {path}: {error.strerror}; see admin, socket") from error


def _check_socket_is_free(path: str) -> None:
    """Raise AdminError if the path is another kind of file or a process listens on it; an unused socket is replaced."""
    if not os.path.exists(path):
        return
    if not stat.S_ISSOCK(os.stat(path).st_mode):
        raise AdminError(f"{path} exists and is not a socket; set admin, socket to another path")
    with socket.socket(socket.AF_UNIX) as probe:
        try:
            probe.connect(path)
        except OSError:
            return  # the process that created it has ended
    raise AdminError(f"another gateway listens at {path}; set admin, socket to another path")


async def _listen_on_tcp(settings: AdminSettings) -> list[SocketListener]:
    assert settings.listen is not None
    if not settings.keys:
        raise AdminError(
            "admin, listen is set and admin, keys is not; set it, since requests over TCP are signed"
        )
    try:
        read_keys(Path(settings.keys))
        listener = await anyio.create_tcp_listener(
            local_host=settings.listen.host, local_port=settings.listen.port
        )
    except KeyFileError as error:
        raise AdminError(f"{error}; see admin, keys") from error
    except OSError as error:
        address = f"{settings.listen.host}:{settings.listen.port}"
        raise AdminError(f"can't listen at {address}: {error.strerror}; see admin, listen") from error
    return [each for each in listener.listeners if isinstance(each, SocketListener)]
