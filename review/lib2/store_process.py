"""A store of the platform as a process of its own, so that it can be stopped and continued by signals.

It answers a part of its requests twice: if nothing else waits on the connection, a second copy of the answer follows some
milliseconds later. It prints its address, then a line for each request, answer and second copy.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time


class Store:
    """Takes requests in turn of arrival on its cores, on kept connections."""

    def __init__(
        self, shard: int, cores: int, work_ms: float, copies: float, late_ms: float, began: float
    ) -> None:
        self.began = began
        self.shard, self.work_ms, self.copies, self.late_ms = shard, work_ms, copies, late_ms
        self.random = random.Random(shard)
        self.free = asyncio.Semaphore(cores)

    def say(self, *words: object) -> None:
        """Print a line with the time since the case began."""
        print(f"{time.monotonic() - self.began:9.4f}", *words, flush=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        port = writer.get_extra_info("peername")[1]
        with contextlib.suppress(OSError, EOFError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                head = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                }
                await reader.readexactly(int(head.get("content-length", "0")))
                request_id = head.get("req-id", "")
                self.say("request", request_id, "on", port)
                if f"shard={self.shard}," not in head.get("x-io", ""):
                    writer.write(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                async with self.free:
                    await asyncio.sleep(self.random.uniform(0.5, 1.5) * self.work_ms / 1000)
                body = f"data for {request_id} from shard {self.shard}".encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                writer.write(answer)
                self.say("ran, answer", request_id, "on", port)
                if self.random.random() < self.copies:
                    asyncio.get_running_loop().call_later(
                        self.late_ms / 1000, self._send_copy, writer, answer, request_id, port
                    )
        writer.close()

    def _send_copy(self, writer: asyncio.StreamWriter, answer: bytes, request_id: str, port: int) -> None:
        if not writer.is_closing():
            writer.write(answer)
            self.say("second copy", request_id, "on", port)


async def main() -> None:
    """Serve until the process is ended. Arguments: shard, cores, work, share of second copies, their delay (ms), the case's begin."""
    shard, cores, work_ms, copies, late_ms, began = (float(word) for word in sys.argv[1:7])
    store = Store(int(shard), int(cores), work_ms, copies, late_ms, began)
    server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    print(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


asyncio.run(main())
