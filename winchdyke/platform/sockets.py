"""Sockets that don't block, read with the time at which the kernel took the bytes in.

A process that was kept off its core reads late what came in time. The kernel's stamp (``SO_TIMESTAMPNS``) tells when it
came, so that neither a store's latency nor a client's time left is the event loop's lag.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time

from winchdyke.gateway.scheduler_loop import monotonic_ms
from winchdyke.platform.configuration import Address

SO_TIMESTAMPNS = getattr(
    socket, "SO_TIMESTAMPNS", 35
)  # Linux' number, which the standard library does not name
TIMESPEC = struct.Struct("@qq")
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESPEC.size)
MAX_RECEIVE_BYTES = 64 * 1024


def configure(sock: socket.socket) -> None:
    """Ask for stamps, and for no waiting."""
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # without stamps, bytes count as come when they are read
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    if sock.family != socket.AF_UNIX:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def open_listener(address: Address, backlog: int) -> socket.socket:
    """A socket that listens."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def receive(sock: socket.socket, most: int = MAX_RECEIVE_BYTES) -> tuple[bytes, float]:
    """Bytes, and when the last of them came in; empty at the end. BlockingIOError where there are none."""
    data, notes, _, _ = sock.recvmsg(most, ANCILLARY_BYTES)
    now = monotonic_ms()
    for level, kind, value in notes:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(value) >= TIMESPEC.size:
            seconds, nanos = TIMESPEC.unpack_from(value)
            ago = time.time() * 1000 - (seconds * 1000 + nanos / 1e6)
            return data, now - max(0.0, ago)
    return data, now


def has_nothing_to_read(sock: socket.socket) -> bool:
    """Whether nothing has come that was not read: no bytes, no end, no error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the other side has ended, with nothing unread before it; nothing is taken."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def connect_has_finished(sock: socket.socket) -> bool:
    """Whether a dial has come to its end, good or bad."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLOUT)
    return bool(poll.poll(0))
