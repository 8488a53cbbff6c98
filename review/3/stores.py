"""Stores, of which each spoils some answers: a process of its own, so that the other stand-ins are not delayed."""

from __future__ import annotations

import contextlib
import random
import socket
import sys
import threading
import time

WORK_SECONDS = 0.04
MOST_BYTES = 3_000_000_000
PIECE = b"1\r\nx\r\n" * 10_000  # chunks of one byte


class Store:
    """One store; a part of its answers is chunked and never ends."""

    def __init__(self, cell: int, spoilt: float) -> None:
        self._spoilt = spoilt
        self._random = random.Random(cell)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self._listener.getsockname()[1]

    def accept(self) -> None:
        """Take connections, each served by a thread."""
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffered = b""
        with contextlib.suppress(OSError), sock:
            while True:
                while b"\r\n\r\n" not in buffered:
                    data = sock.recv(65536)
                    if not data:
                        return
                    buffered += data
                head, _, buffered = buffered.partition(b"\r\n\r\n")  # reads only: no body follows
                name = next(line[8:] for line in head.split(b"\r\n") if line.lower().startswith(b"req-id: "))
                time.sleep(WORK_SECONDS)
                if self._random.random() < self._spoilt:
                    self._send_spoilt(sock, name)
                    return
                print(f"answered {name.decode()}", flush=True)
                body = b"ran " + name
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    @staticmethod
    def _send_spoilt(sock: socket.socket, name: bytes) -> None:
        """Send an answer that keeps coming, until the gateway ends the connection."""
        print(f"spoils the answer to {name.decode()}", flush=True)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(MOST_BYTES // len(PIECE)):
            sock.sendall(PIECE)


def main() -> None:
    """Run the stores, and print their ports: COUNT SPOILT."""
    stores = [Store(cell, float(sys.argv[2])) for cell in range(int(sys.argv[1]))]
    print(" ".join(str(store.port) for store in stores), flush=True)
    for store in stores:
        threading.Thread(target=store.accept, daemon=True).start()
    time.sleep(120)


if __name__ == "__main__":
    main()
