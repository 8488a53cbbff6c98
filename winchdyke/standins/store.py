"""An emulated store: cores, a FIFO queue, cold starts, deduplication of retries, and faults on demand.

Its objects are in an :class:`ObjectStore` that outlives the store process. The protocol is described in
``docs/store-protocol.md``.
"""

from __future__ import annotations

import hashlib
import json
import random
import ssl
import time
import uuid
from collections import defaultdict, deque
from dataclasses import dataclass, field
from email.utils import formatdate
from functools import partial
from typing import Any
from urllib.parse import parse_qs, quote, unquote, urlsplit

import anyio
import h11
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.tls import TLSStream

from winchdyke.standins.record import Record, clock
from winchdyke.standins.wire import Peer, accept_all, listen, reserve_port

WARM_UPTIME_MS = 3_600_000.0  # added to the reported uptime of a store that was started warm
STORED_HEADERS = (
    "content-type",
    "content-disposition",
    "content-encoding",
    "content-language",
    "cache-control",
    "expires",
)
_md5 = partial(hashlib.md5, usedforsecurity=False)
TRICKS = (
    "die-on-accept", "die-mid-request", "die-after-run", "die-mid-head", "die-mid-answer", "short-answer",
    "long-answer", "trickle", "no-http", "shed", "error", "silence", "reset-after-run", "wrong-range",
    "early-shed", "close-idle",
)  # fmt: skip


@dataclass(frozen=True)
class StoreSpec:
    """Capacity, cold-start behaviour and limits of an emulated store. Times in milliseconds.

    Attributes:
        shard: The shard that it serves.
        zone: Its zone.
        rack: Its rack; not read by the store.
        cores: Number of requests that are served at the same time.
        speed: Speed relative to a store that needs ``unit_ms`` for one unit on one core.
        unit_ms: Time for one unit on one core at speed 1.
        queue: Number of requests that may wait for a core; more are shed.
        deduplication_window_ms: Time for which the response of a request with an idempotency key is repeated.
        cold_start_capacity: Fraction of the warm capacity at a cold start, which then grows linearly.
        warm_up_ms: Time from a cold start until the full capacity is reached.
        overload_factor: A cold store fails until its next start once it receives more than this multiple of
            its current capacity within ``overload_window_ms``.
        overload_window_ms: Length of the interval over which received units are added up.
        min_overload_units: Units within that window that never make it fail.
        meter_ms: Not read; the period is that of the :class:`UsageMeter`.
        typical_units_per_s: Usual rate of a volume; reported usage is in percent of it.
        tls_context: TLS settings; None: plain TCP.
    """

    shard: int
    zone: str = "hall-a"
    rack: str = "rack-a"
    cores: int = 2
    speed: float = 1.0
    unit_ms: float = 8.0
    queue: int = 64
    deduplication_window_ms: float = 4000.0
    cold_start_capacity: float = 0.2
    warm_up_ms: float = 10_000.0
    overload_factor: float = 3.0
    overload_window_ms: float = 1500.0
    min_overload_units: float = 9.0
    meter_ms: float = 500.0
    typical_units_per_s: float = 40.0
    tls_context: ssl.SSLContext | None = None

    @property
    def warm_capacity(self) -> float:
        """Units per second once warm."""
        return self.cores * self.speed * 1000 / self.unit_ms


@dataclass
class ObjectStore:
    """The objects and multipart uploads of one shard.

    Attributes:
        objects: Content and ETag, by volume and key.
        uploads: Volume, key and received parts of each open upload.
        headers: Stored headers, by volume and key.
        written: The stamp of the last write or deletion, by volume and key.
        part_sizes: Sizes of the parts of an object that was uploaded in parts, by volume and key.
        upload_states: Start and time of the last part (Unix ms), and headers of the object, by upload.
        completed_uploads: Volume, key and ETag, by upload.
        upload_count: Number of uploads that have been created.
    """

    objects: dict[tuple[str, str], tuple[bytes, str]] = field(default_factory=dict)
    uploads: dict[str, tuple[str, str, dict[int, bytes]]] = field(default_factory=dict)
    headers: dict[tuple[str, str], list[tuple[str, str]]] = field(default_factory=dict)
    written: dict[tuple[str, str], str] = field(default_factory=dict)
    part_sizes: dict[tuple[str, str], list[int]] = field(default_factory=dict)
    upload_states: dict[str, tuple[float, float, list[tuple[str, str]]]] = field(default_factory=dict)
    completed_uploads: dict[str, tuple[str, str, str]] = field(default_factory=dict)
    upload_count: int = 0


class DeduplicationGroup:
    """Responses to requests with an idempotency key, shared by the stores of a rack until they expire."""

    def __init__(self) -> None:
        self.answers: dict[str, tuple[float, WorkItem]] = {}


class UsageMeter:
    """Units served to each volume by all stores, in periods of ``period_ms``."""

    def __init__(self, period_ms: float = 500.0) -> None:
        self.period_ms = period_ms
        # Units by volume and period; a period's number is its start divided by its length.
        self._units: defaultdict[str, defaultdict[int, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, volume: str, units: float) -> None:
        """Add units that are served now."""
        by_period = self._units[volume]
        by_period[int(clock() // self.period_ms)] += units
        # The current period and the four before it are retained; only the last complete one is read.
        for old in [period for period in by_period if period < clock() // self.period_ms - 4]:
            del by_period[old]

    def percent(self, volume: str, typical_units_per_s: float) -> int:
        """Return the rate in the last complete period, in percent of the typical rate."""
        done = self._units[volume].get(int(clock() // self.period_ms) - 1, 0.0)
        return round(100 * done * 1000 / self.period_ms / typical_units_per_s)


@dataclass
class WorkItem:
    """A request in execution, and its response once ``done`` is set."""

    status: int = 500
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    done: anyio.Event = field(default_factory=anyio.Event)


class ParsedRequest:
    """A request as parsed by the store."""

    def __init__(self, event: h11.Request) -> None:
        self.method = event.method.decode()
        self.headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        parts = urlsplit(event.target.decode())
        volume, _, key = parts.path[1:].partition("/")
        self.volume, self.key = unquote(volume), unquote(key)
        self.query = {
            name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        self.units = float(self.headers.get("winchdyke-units", "1"))
        self.gateway = self.headers.get("winchdyke-gateway", "-")
        self.idempotency_key = self.headers.get("idempotency-key", "")
        self.body = bytearray()

    def record_fields(self) -> dict[str, Any]:
        """Return the fields that identify the request in the record."""
        return {
            "request": self.headers.get("winchdyke-request", "-"),
            "attempt": int(self.headers.get("winchdyke-attempt", "0")),
            "gateway": self.gateway,
            "client": self.headers.get("x-request-id", "-"),
            "class": self.headers.get("winchdyke-class", "-"),
            "order": self.headers.get("winchdyke-order-key", ""),
            "repeat_key": self.idempotency_key,
            "volume": self.volume,
            "units": self.units,
            "method": self.method,
            "version": int(self.headers.get("winchdyke-version", "0")),
        }


class Store:
    """An emulated store process, which can be killed and started again any number of times.

    Attributes:
        is_other_store: Whether the store at this address is not the one that the endpoint list means.
        slowdown: Factor by which service takes longer.
        slow_volume_prefix: ``slowdown`` applies only to volumes whose names start with this.
        lost_share: Fraction of responses that are lost.
        lost_how: ``silence`` (the connection stays open without a response) or ``reset``.
        trick: A fault of :data:`TRICKS` that is applied to the fraction ``trick_share`` of requests.
        tricks: Faults for the next requests, one each, in order; "": none. They go before ``trick``.
        silent: Whether the store accepts connections without answering requests.
        draining: Whether the store reports a drain and sheds all requests.
        overloaded: Whether a cold store has failed from too much load; it is silent until its next start.
        reports_identity: Whether responses carry the identity headers.
        paused_until: Time (of the record's clock) until which no request completes and no response is sent.
    """

    def __init__(
        self,
        spec: StoreSpec,
        object_store: ObjectStore,
        deduplication_group: DeduplicationGroup,
        meter: UsageMeter,
        record: Record,
        seed: int = 0,
    ) -> None:
        self.spec, self.object_store, self.deduplication_group, self.meter, self.record = (
            spec,
            object_store,
            deduplication_group,
            meter,
            record,
        )
        self.random, self.seed = random.Random(seed), seed
        self.is_other_store = False
        self.port, self.started_unix_ms, self.cold = 0, 0.0, False
        self.slowdown, self.lost_share, self.lost_how = 1.0, 0.0, "silence"
        self.trick, self.trick_share = "", 0.0
        self.slow_volume_prefix = ""
        self.silent = self.draining = self.overloaded = False
        self.identity, self.boot, self.reports_identity = f"store-{spec.shard}-{seed}", "", True
        self.paused_until = self._started_ms = 0.0
        self.tricks: deque[str] = deque()
        self._cold_started_ms = -1e18
        self._scope: anyio.CancelScope | None = None
        self._sent: deque[tuple[float, float]] = deque()
        self._peak = 0.0
        self._units_from_others: defaultdict[str, defaultdict[str, float]] = defaultdict(
            lambda: defaultdict(float)
        )
        self._waiting = self._running = 0
        self._core_waiters: deque[anyio.Event] = deque()

    @property
    def name(self) -> str:
        """Its address, which is also its name in the endpoint list."""
        return f"127.0.0.1:{self.port}"

    @property
    def up(self) -> bool:
        """Whether the process is running."""
        return self._scope is not None

    async def start(self, group: TaskGroup, cold: bool = False) -> None:
        """Listen on the previous port, if any; after a cold start the store has reduced capacity at first."""
        self.port = self.port or reserve_port(self)
        listener = await listen(self.port)
        self.cold, self._cold_started_ms = cold, clock() if cold else -1e18
        self.boot, self._started_ms = uuid.uuid4().hex[:12], clock()
        self.silent = self.draining = self.overloaded = False
        self.slowdown, self.lost_share, self.paused_until = 1.0, 0.0, 0.0
        self.trick, self.trick_share = "", 0.0
        self._waiting = self._running = 0
        self._core_waiters.clear()
        self._sent.clear()
        # Highest load received while cold, as a fraction of the load that makes the store fail.
        self._peak = 0.0
        self._scope = anyio.CancelScope()
        self.record.note(self.name, "up", cold=cold, shard=self.spec.shard, stranger=self.is_other_store)

        async def run(scope: anyio.CancelScope) -> None:
            with scope:
                async with anyio.create_task_group() as tasks:
                    self._tasks = tasks
                    await accept_all(listener, self._serve)

        group.start_soon(run, self._scope)

    def kill(self) -> None:
        """Stop the process at once: requests in execution are lost and connections are closed."""
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None
            self.record.note(self.name, "down")

    def capacity(self) -> float:
        """Return the current capacity in units per second, which grows linearly after a cold start."""
        age = clock() - self._cold_started_ms
        if age >= self.spec.warm_up_ms:
            return self.spec.warm_capacity
        fraction = (
            self.spec.cold_start_capacity + (1 - self.spec.cold_start_capacity) * age / self.spec.warm_up_ms
        )
        return self.spec.warm_capacity * fraction

    def _overloads(self, units: float) -> bool:
        """Record units received by a cold store, and return whether the store has failed from overload."""
        spec, now = self.spec, clock()
        if now - self._cold_started_ms >= spec.warm_up_ms:
            return False
        self._sent.append((now, units))
        while self._sent and self._sent[0][0] < now - spec.overload_window_ms:
            self._sent.popleft()
        sent = sum(received for _, received in self._sent)
        limit = max(
            spec.min_overload_units, spec.overload_factor * self.capacity() * spec.overload_window_ms / 1000
        )
        if sent > self._peak * limit:
            self._peak = sent / limit
            self.record.note(self.name, "pressed", part=self._peak)
        if sent > limit:
            by: defaultdict[str, float] = defaultdict(float)
            self.record.note(self.name, "fallen", sent=sent, most=limit, by=by)
            self.overloaded = True
        return self.overloaded

    async def _serve(self, stream: SocketStream) -> None:
        if self.spec.tls_context is not None:
            wrapped = await TLSStream.wrap(
                stream, server_side=True, ssl_context=self.spec.tls_context, standard_compatible=False
            )
            stream = wrapped  # type: ignore[assignment]
        peer = Peer(stream, h11.SERVER)
        served = 0
        if self.tricks and self.tricks[0] == "die-on-accept":
            self.tricks.popleft()
            return
        while True:
            event = await peer.event()
            if not isinstance(event, h11.Request):
                return
            request = ParsedRequest(event)
            if event.target == b"/-/store" and not (self.silent or self.overloaded):
                await self._answer_identity_check(peer, request)
                continue
            if self.silent or self.overloaded:
                self.record.note(self.name, "unheard", **request.record_fields())
                await anyio.sleep_forever()
            trick = self.tricks.popleft() if self.tricks else ""
            if not trick and self.trick_share and self.random.random() < self.trick_share:
                trick = self.trick
            self.record.note(self.name, "head", trick=trick, reused=served > 0, **request.record_fields())
            if self._overloads(request.units):
                await anyio.sleep_forever()
            if await self._serve_request(peer, request, trick):
                return
            served += 1
            peer.h11.start_next_cycle()
            if trick == "close-idle":
                return

    async def _answer_identity_check(self, peer: Peer, request: ParsedRequest) -> None:
        """Answer an identity check, which needs no core and uses up no fault."""
        while not isinstance(await peer.event(), h11.EndOfMessage):
            pass
        self.record.note(self.name, "who", gateway=request.gateway)
        headers = [("content-length", "0"), *self._identity_headers(request)]
        await peer.send(h11.Response(status_code=204, headers=headers), h11.EndOfMessage())
        peer.h11.start_next_cycle()

    def _identity_headers(self, request: ParsedRequest) -> list[tuple[str, str]]:
        """Return the headers on the store itself: identity, boot ID, uptime, and whether it drains."""
        if not self.reports_identity:
            return []
        up = clock() - self._cold_started_ms if self.cold else clock() - self._started_ms + WARM_UPTIME_MS
        cold = up < self.spec.warm_up_ms
        if self.draining or cold:
            self.record.note(self.name, "said", gateway=request.gateway, drains=self.draining, cold=cold)
        headers = [
            ("winchdyke-store", self.identity),
            ("winchdyke-boot", self.boot),
            ("winchdyke-up-ms", f"{up:.0f}"),
        ]
        return headers + ([("winchdyke-draining", "1")] if self.draining else [])

    async def _read_body(self, peer: Peer, request: ParsedRequest, trick: str) -> bool:
        if peer.h11.they_are_waiting_for_100_continue:
            await peer.send(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            event = await peer.event()
            if isinstance(event, h11.Data):
                request.body += event.data
                if trick == "die-mid-request":
                    return False
            elif isinstance(event, h11.EndOfMessage):
                self.record.note(self.name, "whole", bytes=len(request.body), **request.record_fields())
                return True
            else:
                return False

    async def _serve_request(self, peer: Peer, request: ParsedRequest, trick: str) -> bool:
        """Serve one request, and return whether the connection has ended."""
        early = trick == "early-shed"
        if not early and not await self._read_body(peer, request, trick):
            self.record.note(self.name, "cut", **request.record_fields())
            await peer.reset()
            return True
        if trick == "die-mid-request":
            await peer.reset()
            return True
        item = self._admit(request, trick)
        if item is None:
            self.record.note(self.name, "shed", **request.record_fields())
            headers = [
                ("winchdyke-not-run", "1"),
                ("content-length", "0"),
                *self._identity_headers(request),
                *self._load_headers(request),
            ]
            await peer.send(h11.Response(status_code=503, headers=headers), h11.EndOfMessage())
            return early
        await item.done.wait()
        while self.silent or self.overloaded or clock() < self.paused_until:
            await anyio.sleep(0.005)
        return await self._respond(peer, request, item, trick)

    async def _respond(self, peer: Peer, request: ParsedRequest, item: WorkItem, trick: str) -> bool:
        lost = self.lost_share and self.random.random() < self.lost_share
        if trick in ("silence", "reset-after-run", "die-after-run") or lost:
            how = self.lost_how if lost else {"silence": "silence"}.get(trick, "reset")
            self.record.note(self.name, "lost", how=how, **request.record_fields())
            if how == "silence":
                await anyio.sleep_forever()
            await peer.reset()
            return True
        headers = [*item.headers, *self._identity_headers(request), *self._load_headers(request)]
        body = item.body
        if trick == "wrong-range":
            headers = [(name, "bytes 0-0/1" if name == "content-range" else value) for name, value in headers]
        head = h11.Response(status_code=item.status, headers=headers)
        if not body and trick in ("die-mid-answer", "short-answer"):
            trick = ""  # a response without a body can't be truncated
        if trick in ("die-mid-head", "no-http", "die-mid-answer", "short-answer", "long-answer", "trickle"):
            return await self._respond_with_fault(peer, request, head, body, trick)
        events: list[h11.Event] = [head]
        if body and request.method != "HEAD":
            events.append(h11.Data(data=body))
        self.record.note(
            self.name, "answered", status=item.status, bytes=len(body), **request.record_fields()
        )
        await peer.send(*events, h11.EndOfMessage())
        return False

    async def _respond_with_fault(
        self, peer: Peer, request: ParsedRequest, head: h11.Response, body: bytes, trick: str
    ) -> bool:
        self.record.note(self.name, "lost", how=trick, **request.record_fields())
        raw = peer.h11.send(head) or b""
        if trick == "die-mid-head":
            await peer.stream.send(raw[: len(raw) // 2])
        elif trick == "no-http":
            await peer.stream.send(b"SSH-2.0-not-what-you-asked-for\r\n\r\n")
        elif trick == "long-answer":
            await peer.stream.send(raw + body + b"and more than was stated")
            await anyio.sleep(0.02)
        elif trick == "trickle":
            for at in range(0, len(raw + body), 16):
                await peer.stream.send((raw + body)[at : at + 16])
                await anyio.sleep(0.01)
            return True
        else:
            await peer.stream.send(raw + body[: len(body) // 2])
            await anyio.sleep(0.02)
        if trick == "die-mid-answer":
            await peer.reset()
        return True

    def _admit(self, request: ParsedRequest, trick: str) -> WorkItem | None:
        now, known = clock(), self.deduplication_group.answers
        for key in [key for key, (until, _) in known.items() if until < now]:
            del known[key]
        deduplication_key = f"{request.volume}\0{request.idempotency_key}" if request.idempotency_key else ""
        if deduplication_key in known:
            self.record.note(self.name, "repeat", **request.record_fields())
            return known[deduplication_key][1]
        if trick in ("shed", "early-shed") or self.draining or self._waiting >= self.spec.queue:
            return None
        item = WorkItem()
        if deduplication_key:
            known[deduplication_key] = (now + self.spec.deduplication_window_ms, item)
        self._tasks.start_soon(self._execute, request, item, trick)
        return item

    async def _execute(self, request: ParsedRequest, item: WorkItem, trick: str) -> None:
        self._waiting += 1
        if self._running >= self.spec.cores:
            core_released = anyio.Event()
            self._core_waiters.append(core_released)
            await core_released.wait()
        else:
            self._running += 1
        self._waiting -= 1
        self.record.note(self.name, "run", **request.record_fields())
        capacity_share = self.capacity() / self.spec.warm_capacity
        slowdown = self.slowdown if request.volume.startswith(self.slow_volume_prefix) else 1.0
        await anyio.sleep(
            request.units * self.spec.unit_ms / self.spec.speed / capacity_share * slowdown / 1000
        )
        while clock() < self.paused_until:
            await anyio.sleep(0.005)
        if trick == "error":
            item.status, item.headers, item.body = 500, [("content-length", "0")], b""
        else:
            self._apply(request, item)
        self.meter.add(request.volume, request.units)
        for gateway in self._units_from_others[request.volume]:
            if gateway != request.gateway:
                self._units_from_others[request.volume][gateway] += request.units
        if self._core_waiters:
            self._core_waiters.popleft().set()
        else:
            self._running -= 1
        item.done.set()

    def _load_headers(self, request: ParsedRequest) -> list[tuple[str, str]]:
        others = self._units_from_others[request.volume].setdefault(request.gateway, 0.0)
        self._units_from_others[request.volume][request.gateway] = 0.0
        load = f"{min(1.0, self._running / self.spec.cores):.2f},{self._waiting}"
        used = self.meter.percent(request.volume, self.spec.typical_units_per_s)
        return [
            ("winchdyke-used-percent", str(used)), ("winchdyke-from-others", f"{others:g}"), ("winchdyke-load", load),
        ]  # fmt: skip

    def _apply(self, request: ParsedRequest, item: WorkItem) -> None:
        self._dispatch(request, item)
        # A write whose precondition fails (412) has no effect.
        if request.method not in ("GET", "HEAD") and item.status < 400:
            self.record.note(
                self.name,
                "effect",
                object=request.key,
                query=sorted(request.query),
                **request.record_fields(),
            )

    def _dispatch(self, request: ParsedRequest, item: WorkItem) -> None:
        if not request.key and "uploads" in request.query:
            self._list_uploads(request, item)
        elif not request.key:
            self._list_objects(request, item)
        elif "uploads" in request.query or "uploadId" in request.query:
            self._multipart(request, item)
        elif request.method == "PUT":
            self._put(request, item)
        elif request.method == "DELETE":
            found = self.object_store.objects.pop((request.volume, request.key), None)
            self.object_store.headers.pop((request.volume, request.key), None)
            self._keep_stamp(request)
            self._set_response(item, 204 if found else 404)
        else:
            self._get(request, item)
            if written := self.object_store.written.get((request.volume, request.key)):
                item.headers.append(("winchdyke-written", written))

    @staticmethod
    def _set_response(
        item: WorkItem, status: int, body: bytes = b"", headers: list[tuple[str, str]] | None = None
    ) -> None:
        item.status, item.body = status, body
        item.headers = [*(headers or [])]
        if status != 204:
            item.headers.append(("content-length", str(len(body))))

    def _keep_stamp(self, request: ParsedRequest) -> None:
        self.object_store.written[request.volume, request.key] = request.headers.get("winchdyke-written", "")

    @staticmethod
    def _headers_to_store(request: ParsedRequest) -> list[tuple[str, str]]:
        """Return the headers that are stored with an object: representation headers and user metadata."""
        return [
            (name, value)
            for name, value in request.headers.items()
            if name in STORED_HEADERS or name.startswith("x-amz-meta-")
        ]

    def _put(
        self,
        request: ParsedRequest,
        item: WorkItem,
        tag: str = "",
        stored_headers: list[tuple[str, str]] | None = None,
    ) -> None:
        name = (request.volume, request.key)
        existing = self.object_store.objects.get(name)
        if_match, if_none_match = request.headers.get("if-match"), request.headers.get("if-none-match")
        if (if_match and (not existing or if_match not in ("*", existing[1]))) or (
            if_none_match and existing and if_none_match in ("*", existing[1])
        ):
            self._set_response(item, 412)
            return
        data = bytes(request.body)
        tag = tag or f'"{hashlib.md5(data, usedforsecurity=False).hexdigest()}"'
        self.object_store.objects[name] = (data, tag)
        self._keep_stamp(request)
        self.object_store.part_sizes.pop(name, None)
        self.object_store.headers[name] = [
            *(stored_headers or self._headers_to_store(request)),
            ("last-modified", formatdate(usegmt=True)),
        ]
        self._set_response(
            item,
            200 if existing else 201,
            b"",
            [("etag", tag), ("location", f"/{request.volume}/{quote(request.key)}")],
        )

    def _get(self, request: ParsedRequest, item: WorkItem) -> None:
        existing = self.object_store.objects.get((request.volume, request.key))
        if existing is None:
            self._set_response(item, 404)
            return
        data, tag = existing
        if_match, if_none_match = request.headers.get("if-match"), request.headers.get("if-none-match")
        if if_match and if_match not in ("*", tag):
            self._set_response(item, 412)
            return
        if if_none_match and if_none_match in ("*", tag):
            self._set_response(item, 304, b"", [("etag", tag)])
            item.headers = [("etag", tag)]
            return
        stored_headers = self.object_store.headers.get((request.volume, request.key), [])
        headers = [("etag", tag), ("accept-ranges", "bytes"), *stored_headers]
        if not any(name == "content-type" for name, _ in stored_headers):
            headers.append(("content-type", "application/octet-stream"))
        range_header = request.headers.get("range")
        if "partNumber" in request.query:
            number, sizes = (
                int(request.query["partNumber"]),
                self.object_store.part_sizes.get((request.volume, request.key), [len(data)]),
            )
            if number > len(sizes):
                self._set_response(item, 416, b"", [("content-range", f"bytes */{len(data)}")])
                return
            start = sum(sizes[: number - 1])
            end = start + sizes[number - 1]
            headers += [
                ("content-range", f"bytes {start}-{end - 1}/{len(data)}"),
                ("x-amz-mp-parts-count", str(len(sizes))),
            ]
            self._set_response(item, 206, data[start:end], headers)
            return
        if range_header and request.headers.get("if-range") in (None, tag):
            first, _, last = range_header.removeprefix("bytes=").partition("-")
            start = max(0, len(data) - int(last)) if not first else int(first)
            end = min(len(data), int(last) + 1) if first and last else len(data)
            if start >= len(data) or (not first and last == "0"):
                self._set_response(item, 416, b"", [("content-range", f"bytes */{len(data)}")])
                return
            headers.append(("content-range", f"bytes {start}-{end - 1}/{len(data)}"))
            self._set_response(item, 206, data[start:end], headers)
            return
        self._set_response(item, 200, data, headers)

    def _multipart(self, request: ParsedRequest, item: WorkItem) -> None:
        uploads, upload = self.object_store.uploads, request.query.get("uploadId", "")
        if "uploads" in request.query:
            self.object_store.upload_count += 1
            upload = f"u{self.spec.shard}-{self.object_store.upload_count}"
            uploads[upload] = (request.volume, request.key, {})
            now = time.time() * 1000
            self.object_store.upload_states[upload] = (now, now, self._headers_to_store(request))
            self._set_json_response(item, 200, {"uploadId": upload})
            return
        if request.method == "POST" and self.object_store.completed_uploads.get(upload, ("", "", ""))[:2] == (
            request.volume,
            request.key,
        ):
            # A repeated completion gets the response of the first one, whichever client sends it.
            self._set_response(item, 200, b"", [("etag", self.object_store.completed_uploads[upload][2])])
            return
        if upload not in uploads or uploads[upload][:2] != (request.volume, request.key):
            self._set_json_response(item, 404, {"message": "no such upload"})
            return
        parts = uploads[upload][2]
        if request.method == "PUT":
            data = bytes(request.body)
            parts[int(request.query["partNumber"])] = data
            began, _, headers = self.object_store.upload_states[upload]
            self.object_store.upload_states[upload] = (began, time.time() * 1000, headers)
            self._set_response(
                item, 200, b"", [("etag", f'"{hashlib.md5(data, usedforsecurity=False).hexdigest()}"')]
            )
        elif request.method == "GET":
            self._set_json_response(
                item,
                200,
                {
                    "parts": [
                        {"partNumber": n, "size": len(d), "etag": f'"{_md5(d).hexdigest()}"'}
                        for n, d in sorted(parts.items())
                    ]
                },
            )
        elif request.method == "DELETE":
            del uploads[upload], self.object_store.upload_states[upload]
            self._set_response(item, 204)
        else:
            try:
                listed = json.loads(bytes(request.body) or b"{}").get("parts", sorted(parts))
            except ValueError:
                listed = None
            tags = {n: _md5(d) for n, d in parts.items()}
            # Parts may be listed with their ETags, which must then match those of the stored parts.
            if listed and all(isinstance(each, dict) for each in listed):
                if any(
                    each["partNumber"] not in tags
                    or tags[each["partNumber"]].hexdigest() != each["etag"].strip('"')
                    for each in listed
                ):
                    self._set_json_response(
                        item, 400, {"message": "the ETag of a part is not that of the uploaded part"}
                    )
                    return
                listed = [each["partNumber"] for each in listed]
            if not listed or any(number not in parts for number in listed) or sorted(listed) != listed:
                self._set_json_response(
                    item, 400, {"message": "the listed parts are not uploaded parts in ascending order"}
                )
                return
            request.body = bytearray(b"".join(parts[number] for number in listed))
            whole = _md5(b"".join(tags[number].digest() for number in listed)).hexdigest()
            tag = f'"{whole}-{len(listed)}"'
            self._put(request, item, tag, self.object_store.upload_states[upload][2])
            if item.status != 412:
                self.object_store.part_sizes[request.volume, request.key] = [
                    len(parts[number]) for number in listed
                ]
                del uploads[upload], self.object_store.upload_states[upload]
                self.object_store.completed_uploads[upload] = (request.volume, request.key, tag)

    def _list_uploads(self, request: ParsedRequest, item: WorkItem) -> None:
        found = [
            {
                "key": key,
                "uploadId": upload,
                "since_ms": self.object_store.upload_states[upload][0],
                "touched_ms": self.object_store.upload_states[upload][1],
            }
            for upload, (volume, key, _) in sorted(self.object_store.uploads.items())
            if volume == request.volume
        ]
        self._set_json_response(item, 200, {"uploads": found})

    def _list_objects(self, request: ParsedRequest, item: WorkItem) -> None:
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        limit = int(request.query.get("limit", "1000"))
        here = {
            key: value
            for (volume, key), value in self.object_store.objects.items()
            if volume == request.volume
        }
        keys = sorted(key for key in here if key.startswith(prefix) and key > after)
        page = keys[:limit]
        dates = {
            key: dict(self.object_store.headers.get((request.volume, key), [])).get("last-modified", "")
            for key in page
        }
        objects = [
            {"key": key, "size": len(here[key][0]), "etag": here[key][1], "modified": dates[key]}
            for key in page
        ]
        self._set_json_response(
            item, 200, {"objects": objects, "next": page[-1] if len(keys) > limit else None}
        )

    def _set_json_response(self, item: WorkItem, status: int, value: object) -> None:
        self._set_response(item, status, json.dumps(value).encode(), [("content-type", "application/json")])
