"""Non-blocking sockets whose data is read together with the time at which the kernel received it.

A process that was descheduled reads data later than it arrived. The kernel's timestamp (``SO_TIMESTAMPNS``)
gives the time of arrival, so that neither a store's latency nor a client's time left includes the event
loop's lag.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time

from winchdyke.gateway.scheduler_loop import monotonic_ms
from winchdyke.platform.configuration import Address

# The socket module doesn't define this constant; 35 is its value on Linux.
SO_TIMESTAMPNS = getattr(socket, "SO_TIMESTAMPNS", 35)
POLLRDHUP: int = getattr(select, "POLLRDHUP", 0)  # only on Linux
TIMESPEC = struct.Struct("@qq")
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESPEC.size)
MAX_RECEIVE_BYTES = 64 * 1024
_discarded = bytearray(MAX_RECEIVE_BYTES)  # never read


def configure(sock: socket.socket) -> None:
    """Make a connection's socket non-blocking, with timestamps and TCP_NODELAY.

    Raises OSError if the socket is closed.
    """
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # without timestamps, the time of reading is used instead
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    if sock.family != socket.AF_UNIX:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def open_listener(address: Address, backlog: int) -> socket.socket:
    """Return a non-blocking listening socket. Raises OSError if the address can't be used."""
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
    """Read bytes, and return them with the time at which the kernel received the last of them.

    The time is in milliseconds of the gateway's clock. The bytes are empty once the peer has closed the
    connection. Raises BlockingIOError if there is no data, another OSError if the connection is broken.
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
    """Return whether the socket has no data, end of stream or error to report. Consumes nothing."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def is_at_end(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection and no data is unread. Consumes nothing."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the kernel has received the peer's close or reset, also behind unread data. Consumes nothing.

    Where the system can't report that, a close behind unread data is not found.
    """
    if not POLLRDHUP:
        return is_at_end(sock)
    poll = select.poll()
    poll.register(sock.fileno(), POLLRDHUP)  # poll() always reports errors and hang-ups too
    return bool(poll.poll(0))


def discard(sock: socket.socket) -> int:
    """Read up to ``MAX_RECEIVE_BYTES`` and drop them, on Linux without copying them; return their number, 0 at the end.

    Raises BlockingIOError if there is no data, another OSError if the connection is broken.
    """
    return sock.recv_into(_discarded, MAX_RECEIVE_BYTES, socket.MSG_TRUNC)


def connect_has_finished(sock: socket.socket) -> bool:
    """Return whether a connect has either succeeded or failed."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLOUT)
    return bool(poll.poll(0))
