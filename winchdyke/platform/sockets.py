"""Non-blocking sockets, read with the time at which the kernel received the bytes.

A process that was kept off its core reads late what came in time. The kernel's timestamp (``SO_TIMESTAMPNS``) tells when it came, so
that neither a store's latency nor a client's time left contains the event loop's lag.
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
    """Make a connection's socket non-blocking, with timestamps and without Nagle's delay. OSError where it is closed."""
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # without timestamps, bytes count as received when they are read
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    if sock.family != socket.AF_UNIX:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def open_listener(address: Address, backlog: int) -> socket.socket:
    """A non-blocking socket that listens. OSError where the address can't be used."""
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


def receive(sock: socket.socket, max_bytes: int = MAX_RECEIVE_BYTES) -> tuple[bytes, float]:
    """Bytes, and when the last of them was received, in milliseconds of the gateway's clock; no bytes at the connection's end.

    BlockingIOError where nothing has come, another OSError where the connection is broken.
    """
    data, ancillary, _, _ = sock.recvmsg(max_bytes, ANCILLARY_BYTES)
    now_ms = monotonic_ms()
    for level, kind, value in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(value) >= TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack_from(value)
            age_ms = time.time() * 1000 - (seconds * 1000 + nanoseconds / 1e6)
            return data, now_ms - max(0.0, age_ms)
    return data, now_ms


def has_nothing_to_read(sock: socket.socket) -> bool:
    """Whether no bytes, no end and no error wait to be read; nothing is consumed."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed or reset, with nothing unread before it; nothing is consumed."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def connect_has_finished(sock: socket.socket) -> bool:
    """Whether a connect has succeeded or failed."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLOUT)
    return bool(poll.poll(0))
