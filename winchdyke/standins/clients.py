"""Emulated clients with open-loop arrivals, retries and time limits, which verify the content they receive.

An object's content is a fixed function of its name, so that any range can be verified without storing it.
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

GRACE_MS = 1500.0  # a client keeps listening for this long after its time limit, to record late responses


def content(name: str, size: int, first: int = 0) -> bytes:
    """Return ``size`` bytes of an object's content, from the offset ``first``."""
    line = f"{name}|".encode() * 64
    start = first % len(line)
    return (line * (size // len(line) + 2))[start : start + size]


@dataclass(frozen=True)
class PlannedRequest:
    """A request that a client sends at a planned time. Times in milliseconds.

    Attributes:
        at: Time at which it is sent, from the start of the run.
        gateway: Index of the gateway.
        size: Bytes of the body.
        range: First and last byte of a range read; None: the whole object.
        patience: Time limit of one try, which the request states.
        deadline: Time limit of all tries together.
        is_repeatable: Whether it is retried after a failure; after a status 503 it always is.
        abort_phase: ``upload`` or ``download``: the client resets the connection halfway through; "": never.
        ignores_retry_after: Whether the client retries without waiting for the time that the gateway stated.
        s3: Whether it is sent over the S3 API.
        has_wrong_checksum: Whether the stated MD5 is not that of the body; S3 only.
    """

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
    s3: bool = False
    has_wrong_checksum: bool = False


class Clients:
    """All clients of a scenario.

    ``address`` returns the current host and port of a gateway by its index, ``s3`` those of its S3 listener.
    """

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

    async def run(self, requests: Sequence[PlannedRequest]) -> None:
        """Send requests at their times, counted from now, and return once all have ended."""
        began = anyio.current_time()
        async with anyio.create_task_group() as group:
            for request in sorted(requests, key=lambda request: request.at):
                await anyio.sleep_until(began + request.at / 1000)
                group.start_soon(self._send_with_retries, request)
        for idle_peers in self._idle.values():
            for peer in idle_peers:
                await anyio.aclose_forcefully(peer.stream)

    def start(self, group: TaskGroup, requests: Sequence[PlannedRequest]) -> None:
        """Start :meth:`run` in a task group."""
        group.start_soon(self.run, requests)

    async def _send_with_retries(self, request: PlannedRequest) -> None:
        deadline_at = clock() + request.deadline
        self._number += 1
        key = f"wish-{self._number}"
        for number in range(request.max_tries):
            # S3 has no header for a time limit, so the client waits as long as the request class allows.
            left = request.patience if request.s3 else min(request.patience, deadline_at - clock())
            if deadline_at - clock() < 20 or left < 20:
                return
            status, wait = await self.send_once(replace(request, patience=left), key, number)
            if request.abort_phase or 0 < status < 500:
                return
            if not request.is_repeatable and status != 503:
                return
            wait = wait if wait else self.random.uniform(0, 100)
            if number + 1 == request.max_tries or clock() + wait > deadline_at - 20:
                return  # the stated retry time is beyond the deadline
            await anyio.sleep(wait / 1000)

    async def send_once(self, request: PlannedRequest, key: str, number: int = 0) -> tuple[int, float]:
        """Send a request once; returns the status (0: no response) and the stated retry delay in ms."""
        host, port = (self.s3 if request.s3 else self.address)(request.gateway)
        client = f"{key}.{number}"
        began = clock()
        fields: dict[str, Any] = {
            "client": client, "gateway": request.gateway, "class": request.class_name, "method": request.method, "path": request.path,
            "s3": request.s3, "spoilt": request.has_wrong_checksum,
        }  # fmt: skip
        deadline = began + request.patience
        self.record.note(
            "client", "try", deadline=deadline, patience=request.patience, leave=request.abort_phase, **fields
        )
        peer: Peer | None = None
        status, wait = 0, 0.0
        with anyio.move_on_after((request.patience + GRACE_MS) / 1000) as scope:
            try:
                peer = await self._peer(host, port)
                if peer is None:
                    self.record.note("client", "unreachable", **fields)
                    return 0, 0.0
                status, wait = await self._exchange(peer, request, key, fields)
            except CONNECTION_ERRORS as error:
                self.record.note("client", "cut", error=type(error).__name__, **fields)
        if scope.cancelled_caught:
            self.record.note("client", "gave-up", **fields)
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
        idle_peers = self._idle[host, port]
        while idle_peers:
            peer = idle_peers.pop()
            if peer.quiet():
                return peer
            await anyio.aclose_forcefully(peer.stream)
        try:
            return Peer(await anyio.connect_tcp(host, port), h11.CLIENT)
        except OSError:
            return None

    async def _exchange(
        self, peer: Peer, request: PlannedRequest, key: str, fields: dict[str, Any]
    ) -> tuple[int, float]:
        body = content(request.path, request.size) if request.method in ("PUT", "POST") else b""
        headers = [
            ("host", "gateway"), ("x-request-id", fields["client"]),
            ("winchdyke-time-left", f"{request.patience:.0f}ms"),
        ]  # fmt: skip
        headers += [("winchdyke-class", request.class_name)] if request.class_name else []
        headers += [("idempotency-key", key)] if request.has_idempotency_key else []
        headers += [("range", f"bytes={request.range[0]}-{request.range[1]}")] if request.range else []
        headers += [("content-length", str(len(body)))] if request.method in ("PUT", "POST") else []
        if request.has_wrong_checksum:
            headers.append(("content-md5", base64.b64encode(hashlib.md5(body + b"!").digest()).decode()))
        request_head = h11.Request(method=request.method, target=request.path, headers=headers)
        if request.abort_phase == "upload":
            await peer.send(request_head, h11.Data(data=body[: len(body) // 2]))
            await anyio.sleep(0.03)
            self.record.note("client", "left", **fields)
            await peer.reset()
            return 0, 0.0
        data = [h11.Data(data=body)] if body else []
        await peer.send(request_head, *data, h11.EndOfMessage())
        head: h11.Response | None = None
        content_received = bytearray()
        while True:
            event = await peer.event()
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                content_received += event.data
                if request.abort_phase == "download" and len(content_received) > 1024:
                    self.record.note("client", "left", **fields)
                    await peer.reset()
                    return 0, 0.0
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream
        assert head is not None
        received = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        right = self._is_correct(request, head.status_code, bytes(content_received))
        self.record.note(
            "client", "answer", version=_version(head), status=head.status_code, right=right, bytes=len(content_received),
            outcome=_s3_outcome(head.status_code, bytes(content_received)) if request.s3 else received.get("winchdyke-outcome", "-"),
            reason=received.get("winchdyke-reason", "-"), request=received.get("x-request-id", "-"), **fields,
        )  # fmt: skip
        wait = 0.0
        if head.status_code == 503 and request.s3 and not request.ignores_retry_after:
            wait = 1000.0 * float(received.get("retry-after", "0"))
        elif head.status_code == 503 and not request.ignores_retry_after:
            try:
                wait = float(json.loads(bytes(content_received)).get("retry_after_ms") or 0.0)
            except ValueError:
                wait = 0.0
        return head.status_code, wait

    @staticmethod
    def _is_correct(request: PlannedRequest, status: int, content_received: bytes) -> bool:
        if request.method != "GET" or status not in (200, 206) or "?" in request.path:
            return True
        if status == 206:
            assert request.range is not None
            return bytes(content_received) == content(request.path, len(content_received), request.range[0])
        return bytes(content_received) == content(request.path, len(content_received))


def _s3_outcome(status: int, body: bytes) -> str:
    """Return the outcome of an S3 response.

    SlowDown is ``refused`` (not executed), any other 5xx is ``failed`` (possibly executed), all else is
    ``served``.
    """
    if status < 500:
        return "served"
    return "refused" if b"<Code>SlowDown</Code>" in body else "failed"


def _version(head: h11.Response) -> int:
    """Return the configuration version that a response states; 0: none."""
    text = dict(head.headers).get(b"winchdyke-version", b"0")
    return int(text) if text.isdigit() else 0
