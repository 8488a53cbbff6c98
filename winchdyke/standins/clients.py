"""Stand-in clients: open-loop arrivals, their own retries, their own patience. They check what they are given.

An object's content is a fixed function of its name, so any range of it can be checked without keeping it.
"""

from __future__ import annotations

import base64
import hashlib
import json
import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any

import anyio
import h11
from anyio.abc import TaskGroup

from winchdyke.standins.record import Record, clock
from winchdyke.standins.wire import CONNECTION_ERRORS, Peer

GRACE_MS = 1500.0  # how long a client listens past its time, to see what comes late


def content(name: str, size: int, first: int = 0) -> bytes:
    """``size`` bytes of an object's content, from a place in it."""
    line = f"{name}|".encode() * 64
    start = first % len(line)
    return (line * (size // len(line) + 2))[start : start + size]


@dataclass(frozen=True)
class PlannedRequest:
    """One thing that a client wants; times in milliseconds. ``leave`` makes it go halfway: upload or download."""

    at: float
    gateway: int
    method: str
    path: str
    size: int = 0
    range: tuple[int, int] | None = None
    class_name: str = ""
    patience: float = 3000.0
    deadline: float = 3000.0
    has_idempotency_key: bool = False
    is_repeatable: bool = True
    abort_phase: str = ""
    max_tries: int = 2
    ignores_retry_after: bool = False
    s3: bool = False  # over the S3 dialect
    has_wrong_checksum: bool = False  # a body that is not the one whose sum is stated; S3 alone


class Clients:
    """All clients of a day. ``address`` gives a gateway's present host and port, ``s3`` those of its S3 listener."""

    def __init__(
        self,
        record: Record,
        address: Callable[[int], tuple[str, int]],
        seed: int,
        s3: Callable[[int], tuple[str, int]] | None = None,
    ) -> None:
        self.record, self.address, self.random = record, address, random.Random(seed)
        self.s3 = s3 or address
        self._idle: defaultdict[tuple[str, int], list[Peer]] = defaultdict(list)
        self._number = 0

    async def run(self, wishes: Sequence[PlannedRequest]) -> None:
        """Carry out wishes at their times, counted from now; ends when all are over."""
        began = anyio.current_time()
        async with anyio.create_task_group() as group:
            for wish in sorted(wishes, key=lambda wish: wish.at):
                await anyio.sleep_until(began + wish.at / 1000)
                group.start_soon(self._wish, wish)
        for line in self._idle.values():
            for peer in line:
                await anyio.aclose_forcefully(peer.stream)

    def start(self, group: TaskGroup, wishes: Sequence[PlannedRequest]) -> None:
        """The same, in a task group."""
        group.start_soon(self.run, wishes)

    async def _wish(self, wish: PlannedRequest) -> None:
        until = clock() + wish.deadline
        self._number += 1
        key = f"wish-{self._number}"
        for number in range(wish.max_tries):
            # A client of the S3 dialect has no word for its time: it waits as long as the class has.
            left = wish.patience if wish.s3 else min(wish.patience, until - clock())
            if until - clock() < 20 or left < 20:
                return
            status, wait = await self.once(replace(wish, patience=left), key, number)
            if wish.abort_phase or 0 < status < 500:
                return
            if not wish.is_repeatable and status != 503:
                return
            wait = wait if wait else self.random.uniform(0, 100)
            if number + 1 == wish.max_tries or clock() + wait > until - 20:
                return  # told to come back when nobody wants it any more
            await anyio.sleep(wait / 1000)

    async def once(self, wish: PlannedRequest, key: str, number: int = 0) -> tuple[int, float]:
        """One try: its status (0: none) and how long to stay away, in milliseconds."""
        host, port = (self.s3 if wish.s3 else self.address)(wish.gateway)
        me = f"{key}.{number}"
        began = clock()
        told: dict[str, Any] = {
            "client": me, "gateway": wish.gateway, "class": wish.class_name, "method": wish.method, "path": wish.path,
            "s3": wish.s3, "spoilt": wish.has_wrong_checksum,
        }  # fmt: skip
        deadline = began + wish.patience
        self.record.note(
            "client", "try", deadline=deadline, patience=wish.patience, leave=wish.abort_phase, **told
        )
        peer: Peer | None = None
        status, wait = 0, 0.0
        with anyio.move_on_after((wish.patience + GRACE_MS) / 1000) as scope:
            try:
                peer = await self._peer(host, port)
                if peer is None:
                    self.record.note("client", "unreachable", **told)
                    return 0, 0.0
                status, wait = await self._exchange(peer, wish, key, told)
            except CONNECTION_ERRORS as error:
                self.record.note("client", "cut", error=type(error).__name__, **told)
        if scope.cancelled_caught:
            self.record.note("client", "gave-up", **told)
        if peer is not None:
            keep = status and peer.h11.our_state is h11.DONE and peer.h11.their_state is h11.DONE
            if keep and not peer.h11.trailing_data[0]:
                peer.h11.start_next_cycle()
                self._idle[host, port].append(peer)
            else:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(peer.stream)
        return status, wait

    async def _peer(self, host: str, port: int) -> Peer | None:
        line = self._idle[host, port]
        while line:
            peer = line.pop()
            if peer.quiet():
                return peer
            await anyio.aclose_forcefully(peer.stream)
        try:
            return Peer(await anyio.connect_tcp(host, port), h11.CLIENT)
        except OSError:
            return None

    async def _exchange(
        self, peer: Peer, wish: PlannedRequest, key: str, told: dict[str, Any]
    ) -> tuple[int, float]:
        body = content(wish.path, wish.size) if wish.method in ("PUT", "POST") else b""
        headers = [
            ("host", "gateway"), ("x-request-id", told["client"]),
            ("winchdyke-time-left", f"{wish.patience:.0f}ms"),
        ]  # fmt: skip
        headers += [("winchdyke-class", wish.class_name)] if wish.class_name else []
        headers += [("idempotency-key", key)] if wish.has_idempotency_key else []
        headers += [("range", f"bytes={wish.range[0]}-{wish.range[1]}")] if wish.range else []
        headers += [("content-length", str(len(body)))] if wish.method in ("PUT", "POST") else []
        if wish.has_wrong_checksum:
            headers.append(("content-md5", base64.b64encode(hashlib.md5(body + b"!").digest()).decode()))
        request = h11.Request(method=wish.method, target=wish.path, headers=headers)
        if wish.abort_phase == "upload":
            await peer.send(request, h11.Data(data=body[: len(body) // 2]))
            await anyio.sleep(0.03)
            self.record.note("client", "left", **told)
            await peer.reset()
            return 0, 0.0
        data = [h11.Data(data=body)] if body else []
        await peer.send(request, *data, h11.EndOfMessage())
        head: h11.Response | None = None
        got = bytearray()
        while True:
            event = await peer.event()
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                got += event.data
                if wish.abort_phase == "download" and len(got) > 1024:
                    self.record.note("client", "left", **told)
                    await peer.reset()
                    return 0, 0.0
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream
        assert head is not None
        fields = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        right = self._right(wish, head.status_code, bytes(got))
        self.record.note(
            "client", "answer", version=_version(head), status=head.status_code, right=right, bytes=len(got),
            outcome=_s3_outcome(head.status_code, bytes(got)) if wish.s3 else fields.get("winchdyke-outcome", "-"),
            reason=fields.get("winchdyke-reason", "-"), request=fields.get("x-request-id", "-"), **told,
        )  # fmt: skip
        wait = 0.0
        if head.status_code == 503 and wish.s3 and not wish.ignores_retry_after:
            wait = 1000.0 * float(fields.get("retry-after", "0"))
        elif head.status_code == 503 and not wish.ignores_retry_after:
            try:
                wait = float(json.loads(bytes(got)).get("retry_after_ms") or 0.0)
            except ValueError:
                wait = 0.0
        return head.status_code, wait

    @staticmethod
    def _right(wish: PlannedRequest, status: int, got: bytes) -> bool:
        if wish.method != "GET" or status not in (200, 206) or "?" in wish.path:
            return True
        if status == 206:
            assert wish.range is not None
            return bytes(got) == content(wish.path, len(got), wish.range[0])
        return bytes(got) == content(wish.path, len(got))


def _s3_outcome(status: int, body: bytes) -> str:
    """What an S3 answer promises: SlowDown is not done, other errors of 5xx promise nothing, all else is an answer."""
    if status < 500:
        return "served"
    return "refused" if b"<Code>SlowDown</Code>" in body else "failed"


def _version(head: h11.Response) -> int:
    """The version of the settings that an answer was given under; 0 where it tells none."""
    text = dict(head.headers).get(b"winchdyke-version", b"0")
    return int(text) if text.isdigit() else 0
