"""Clients that send a body of 60 MB in chunks: a process of its own, so that the other stand-ins are not delayed."""

from __future__ import annotations

import contextlib
import selectors
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import rig

BODY_BYTES = 60_000_000
PIECE_BYTES = 60_000


class BadClient:
    """One client: the head, then chunks until the gateway ends the connection."""

    def __init__(self, port: int, number: int, chunk_bytes: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        head = rig.request_bytes("submit", f"bad{number:013x}", b"", cell=number % 8)
        self._unsent = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
        count = max(1, PIECE_BYTES // len(chunk))
        self._piece = chunk * count
        self._body_left = BODY_BYTES
        self._body_in_piece = chunk_bytes * count
        self.sent_bytes = 0

    def send(self) -> bool:
        """Send more; return False once everything is sent or the gateway has answered or ended the connection."""
        with contextlib.suppress(BlockingIOError):
            if self.sock.recv(4096, socket.MSG_DONTWAIT) is not None:
                return False
        if not self._unsent:
            self._body_left -= self._body_in_piece
            if self._body_left <= 0:
                return False
            self._unsent = self._piece
        with contextlib.suppress(BlockingIOError):
            sent = self.sock.send(self._unsent)
            self.sent_bytes += sent
            self._unsent = self._unsent[sent:]
        return True


def main() -> None:
    """Run the clients: PORT COUNT CHUNK_BYTES SECONDS."""
    port, count, chunk_bytes, seconds = (int(text) for text in sys.argv[1:5])
    clients = [BadClient(port, number, chunk_bytes) for number in range(count)]
    selector = selectors.DefaultSelector()
    for client in clients:
        client.sock.setblocking(False)
        selector.register(client.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, client)
    end = time.monotonic() + seconds
    while selector.get_map() and time.monotonic() < end:
        for key, _ in selector.select(0.1):
            client = key.data
            try:
                going_on = client.send()
            except OSError:
                going_on = False
            if not going_on:
                selector.unregister(client.sock)
                client.sock.close()
    sizes = sorted(client.sent_bytes for client in clients)
    print(f"{count} clients sent {sizes[0]} to {sizes[-1]} bytes each")


if __name__ == "__main__":
    main()
