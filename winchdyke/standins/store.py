"""A stand-in store: cores, a queue in turn of arrival, cold starts, dropped repeats, and faults on demand.

Its objects lie on a :class:`ObjectStore` that outlives it. The protocol is ``docs/store-protocol.md``.
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
from winchdyke.standins.wire import Peer, accept_all, listen, port_of

LONG_MS = 3_600_000.0  # up for, where its start was not cold
KEPT = (
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
    """What a store can do and what it promises. Times in milliseconds."""

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
    tls_context: ssl.SSLContext | None = None  # spoken to over TLS alone

    @property
    def power(self) -> float:
        """Units a second when warm."""
        return self.cores * self.speed * 1000 / self.unit_ms


@dataclass
class ObjectStore:
    """The objects and uploads of one shard."""

    objects: dict[tuple[str, str], tuple[bytes, str]] = field(default_factory=dict)
    uploads: dict[str, tuple[str, str, dict[int, bytes]]] = field(default_factory=dict)
    kept: dict[tuple[str, str], list[tuple[str, str]]] = field(default_factory=dict)  # headers of objects
    sizes: dict[tuple[str, str], list[int]] = field(
        default_factory=dict
    )  # of the parts that an object was made of
    begun: dict[str, tuple[float, float, list[tuple[str, str]]]] = field(default_factory=dict)  # of uploads
    done: dict[str, tuple[str, str, str]] = field(
        default_factory=dict
    )  # completed uploads: whose, and the tag
    made: int = 0


class DeduplicationGroup:
    """What the stores of a rack remember together: the answers to keyed requests, for a stated time."""

    def __init__(self) -> None:
        self.answers: dict[str, tuple[float, Job]] = {}


class UsageMeter:
    """Units served for each volume through everything, by finished period."""

    def __init__(self, period_ms: float = 500.0) -> None:
        self.period = period_ms
        self._sums: defaultdict[str, defaultdict[int, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, volume: str, units: float) -> None:
        """Count units served now."""
        sums = self._sums[volume]
        sums[int(clock() // self.period)] += units
        for old in [period for period in sums if period < clock() // self.period - 4]:
            del sums[old]

    def percent(self, volume: str, typical_units_per_s: float) -> int:
        """The last finished period's units, in percent of the usual rate."""
        done = self._sums[volume].get(int(clock() // self.period) - 1, 0.0)
        return round(100 * done * 1000 / self.period / typical_units_per_s)


@dataclass
class Job:
    """One request's work, and its answer once done."""

    status: int = 500
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    done: anyio.Event = field(default_factory=anyio.Event)


class Asked:
    """A request as the store read it."""

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
        self.repeat_key = self.headers.get("idempotency-key", "")
        self.body = bytearray()

    def told(self) -> dict[str, Any]:
        """What identifies it in the record."""
        return {
            "request": self.headers.get("winchdyke-request", "-"),
            "attempt": int(self.headers.get("winchdyke-attempt", "0")),
            "gateway": self.gateway,
            "client": self.headers.get("x-request-id", "-"),
            "class": self.headers.get("winchdyke-class", "-"),
            "order": self.headers.get("winchdyke-order-key", ""),
            "repeat_key": self.repeat_key,
            "volume": self.volume,
            "units": self.units,
            "method": self.method,
            "version": int(self.headers.get("winchdyke-version", "0")),
        }


class Store:
    """One store process. ``start`` it in a task group; ``kill`` and start it again as often as wished."""

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
        self.is_other_store = False  # nothing that is sent here is meant for it
        self.port, self.started_unix_ms, self.cold = 0, 0.0, False
        self.slowdown, self.lost_share, self.lost_how = 1.0, 0.0, "silence"
        self.trick, self.trick_share = "", 0.0  # played on a part of the requests
        self.slow_volume_prefix = ""  # only volumes whose names begin so are served slowly
        self.silent = self.draining = self.overloaded = False
        self.identity, self.boot, self.reports_identity = f"store-{spec.shard}-{seed}", "", True
        self.paused_until = self._since = 0.0
        self.tricks: deque[str] = deque()
        self._born = -1e18
        self._scope: anyio.CancelScope | None = None
        self._sent: deque[tuple[float, float]] = deque()
        self._peak = 0.0
        self._others: defaultdict[str, defaultdict[str, float]] = defaultdict(lambda: defaultdict(float))
        self._waiting = self._running = 0
        self._turns: deque[anyio.Event] = deque()

    @property
    def name(self) -> str:
        """Its address."""
        return f"127.0.0.1:{self.port}"

    @property
    def up(self) -> bool:
        """Whether its process runs."""
        return self._scope is not None

    async def start(self, group: TaskGroup, cold: bool = False) -> None:
        """Listen, at the port it had before; a cold start has a part of its power at first."""
        listener = await listen(self.port)
        self.port = port_of(listener)
        self.cold, self._born = cold, clock() if cold else -1e18
        self.boot, self._since = uuid.uuid4().hex[:12], clock()
        self.silent = self.draining = self.overloaded = False
        self.slowdown, self.lost_share, self.paused_until = 1.0, 0.0, 0.0
        self.trick, self.trick_share = "", 0.0
        self._waiting = self._running = 0
        self._turns.clear()
        self._sent.clear()
        self._peak = 0.0  # the most that it was sent while cold, as a part of what makes it fall over
        self._scope = anyio.CancelScope()
        self.record.note(self.name, "up", cold=cold, shard=self.spec.shard, stranger=self.is_other_store)

        async def run(scope: anyio.CancelScope) -> None:
            with scope:
                async with anyio.create_task_group() as jobs:
                    self._jobs = jobs
                    await accept_all(listener, self._serve)

        group.start_soon(run, self._scope)

    def kill(self) -> None:
        """End the process at once: work is lost, connections break."""
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None
            self.record.note(self.name, "down")

    def power(self) -> float:
        """Units a second at this moment, as the rule on cold stores counts."""
        age = clock() - self._born
        if age >= self.spec.warm_up_ms:
            return self.spec.power
        part = (
            self.spec.cold_start_capacity + (1 - self.spec.cold_start_capacity) * age / self.spec.warm_up_ms
        )
        return self.spec.power * part

    def _pressed(self, units: float) -> bool:
        """Count what a cold store is sent; whether it has now fallen over."""
        spec, now = self.spec, clock()
        if now - self._born >= spec.warm_up_ms:
            return False
        self._sent.append((now, units))
        while self._sent and self._sent[0][0] < now - spec.overload_window_ms:
            self._sent.popleft()
        sent = sum(part for _, part in self._sent)
        most = max(
            spec.min_overload_units, spec.overload_factor * self.power() * spec.overload_window_ms / 1000
        )
        if sent > self._peak * most:
            self._peak = sent / most
            self.record.note(self.name, "pressed", part=self._peak)
        if sent > most:
            by: defaultdict[str, float] = defaultdict(float)
            self.record.note(self.name, "fallen", sent=sent, most=most, by=by)
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
            asked = Asked(event)
            if event.target == b"/-/store" and not (self.silent or self.overloaded):
                await self._who(peer, asked)
                continue
            if self.silent or self.overloaded:
                self.record.note(self.name, "unheard", **asked.told())
                await anyio.sleep_forever()
            trick = self.tricks.popleft() if self.tricks else ""
            if not trick and self.trick_share and self.random.random() < self.trick_share:
                trick = self.trick
            self.record.note(self.name, "head", trick=trick, reused=served > 0, **asked.told())
            if self._pressed(asked.units):
                await anyio.sleep_forever()
            if await self._one(peer, asked, trick):
                return
            served += 1
            peer.h11.start_next_cycle()
            if trick == "close-idle":
                return

    async def _who(self, peer: Peer, asked: Asked) -> None:
        """Say who it is; no work is done for it, and no trick used."""
        while not isinstance(await peer.event(), h11.EndOfMessage):
            pass
        self.record.note(self.name, "who", gateway=asked.gateway)
        headers = [("content-length", "0"), *self._self(asked)]
        await peer.send(h11.Response(status_code=204, headers=headers), h11.EndOfMessage())
        peer.h11.start_next_cycle()

    def _self(self, asked: Asked) -> list[tuple[str, str]]:
        """What every answer tells of the store: identity, start, age, whether it drains."""
        if not self.reports_identity:
            return []
        up = clock() - self._born if self.cold else clock() - self._since + LONG_MS
        cold = up < self.spec.warm_up_ms
        if self.draining or cold:
            self.record.note(self.name, "said", gateway=asked.gateway, drains=self.draining, cold=cold)
        said = [
            ("winchdyke-store", self.identity),
            ("winchdyke-boot", self.boot),
            ("winchdyke-up-ms", f"{up:.0f}"),
        ]
        return said + ([("winchdyke-draining", "1")] if self.draining else [])

    async def _body(self, peer: Peer, asked: Asked, trick: str) -> bool:
        if peer.h11.they_are_waiting_for_100_continue:
            await peer.send(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            event = await peer.event()
            if isinstance(event, h11.Data):
                asked.body += event.data
                if trick == "die-mid-request":
                    return False
            elif isinstance(event, h11.EndOfMessage):
                self.record.note(self.name, "whole", bytes=len(asked.body), **asked.told())
                return True
            else:
                return False

    async def _one(self, peer: Peer, asked: Asked, trick: str) -> bool:
        """Serve one request; whether the connection is over."""
        early = trick == "early-shed"
        if not early and not await self._body(peer, asked, trick):
            self.record.note(self.name, "cut", **asked.told())
            await peer.reset()
            return True
        if trick == "die-mid-request":
            await peer.reset()
            return True
        job = self._admit(asked, trick)
        if job is None:
            self.record.note(self.name, "shed", **asked.told())
            headers = [
                ("winchdyke-not-run", "1"),
                ("content-length", "0"),
                *self._self(asked),
                *self._report(asked),
            ]
            await peer.send(h11.Response(status_code=503, headers=headers), h11.EndOfMessage())
            return early
        await job.done.wait()
        while self.silent or self.overloaded or clock() < self.paused_until:
            await anyio.sleep(0.005)
        return await self._say(peer, asked, job, trick)

    async def _say(self, peer: Peer, asked: Asked, job: Job, trick: str) -> bool:
        lost = self.lost_share and self.random.random() < self.lost_share
        if trick in ("silence", "reset-after-run", "die-after-run") or lost:
            how = self.lost_how if lost else {"silence": "silence"}.get(trick, "reset")
            self.record.note(self.name, "lost", how=how, **asked.told())
            if how == "silence":
                await anyio.sleep_forever()
            await peer.reset()
            return True
        headers = [*job.headers, *self._self(asked), *self._report(asked)]
        body = job.body
        if trick == "wrong-range":
            headers = [(name, "bytes 0-0/1" if name == "content-range" else value) for name, value in headers]
        head = h11.Response(status_code=job.status, headers=headers)
        if not body and trick in ("die-mid-answer", "short-answer"):
            trick = ""  # a head alone is a whole answer
        if trick in ("die-mid-head", "no-http", "die-mid-answer", "short-answer", "long-answer", "trickle"):
            return await self._break(peer, asked, head, body, trick)
        events: list[h11.Event] = [head]
        if body and asked.method != "HEAD":
            events.append(h11.Data(data=body))
        self.record.note(self.name, "answered", status=job.status, bytes=len(body), **asked.told())
        await peer.send(*events, h11.EndOfMessage())
        return False

    async def _break(self, peer: Peer, asked: Asked, head: h11.Response, body: bytes, trick: str) -> bool:
        self.record.note(self.name, "lost", how=trick, **asked.told())
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

    def _admit(self, asked: Asked, trick: str) -> Job | None:
        now, known = clock(), self.deduplication_group.answers
        for key in [key for key, (until, _) in known.items() if until < now]:
            del known[key]
        memory = f"{asked.volume}\0{asked.repeat_key}" if asked.repeat_key else ""
        if memory in known:
            self.record.note(self.name, "repeat", **asked.told())
            return known[memory][1]
        if trick in ("shed", "early-shed") or self.draining or self._waiting >= self.spec.queue:
            return None
        job = Job()
        if memory:
            known[memory] = (now + self.spec.deduplication_window_ms, job)
        self._jobs.start_soon(self._work, asked, job, trick)
        return job

    async def _work(self, asked: Asked, job: Job, trick: str) -> None:
        self._waiting += 1
        if self._running >= self.spec.cores:
            turn = anyio.Event()
            self._turns.append(turn)
            await turn.wait()
        else:
            self._running += 1
        self._waiting -= 1
        self.record.note(self.name, "run", **asked.told())
        power = self.power() / self.spec.power
        slow = self.slowdown if asked.volume.startswith(self.slow_volume_prefix) else 1.0
        await anyio.sleep(asked.units * self.spec.unit_ms / self.spec.speed / power * slow / 1000)
        while clock() < self.paused_until:
            await anyio.sleep(0.005)
        if trick == "error":
            job.status, job.headers, job.body = 500, [("content-length", "0")], b""
        else:
            self._apply(asked, job)
        self.meter.add(asked.volume, asked.units)
        for gateway in self._others[asked.volume]:
            if gateway != asked.gateway:
                self._others[asked.volume][gateway] += asked.units
        if self._turns:
            self._turns.popleft().set()
        else:
            self._running -= 1
        job.done.set()

    def _report(self, asked: Asked) -> list[tuple[str, str]]:
        others = self._others[asked.volume].setdefault(asked.gateway, 0.0)
        self._others[asked.volume][asked.gateway] = 0.0
        load = f"{min(1.0, self._running / self.spec.cores):.2f},{self._waiting}"
        used = self.meter.percent(asked.volume, self.spec.typical_units_per_s)
        return [
            ("winchdyke-used-percent", str(used)), ("winchdyke-from-others", f"{others:g}"), ("winchdyke-load", load),
        ]  # fmt: skip

    # The objects themselves.

    def _apply(self, asked: Asked, job: Job) -> None:
        self._carry_out(asked, job)
        if (
            asked.method not in ("GET", "HEAD") and job.status < 400
        ):  # where a condition does not hold nothing is done
            self.record.note(self.name, "effect", object=asked.key, query=sorted(asked.query), **asked.told())

    def _carry_out(self, asked: Asked, job: Job) -> None:
        if not asked.key and "uploads" in asked.query:
            self._uploads(asked, job)
        elif not asked.key:
            self._list(asked, job)
        elif "uploads" in asked.query or "uploadId" in asked.query:
            self._multipart(asked, job)
        elif asked.method == "PUT":
            self._put(asked, job)
        elif asked.method == "DELETE":
            found = self.object_store.objects.pop((asked.volume, asked.key), None)
            self.object_store.kept.pop((asked.volume, asked.key), None)
            self._answer(job, 204 if found else 404)
        else:
            self._get(asked, job)

    @staticmethod
    def _answer(
        job: Job, status: int, body: bytes = b"", headers: list[tuple[str, str]] | None = None
    ) -> None:
        job.status, job.body = status, body
        job.headers = [*(headers or [])]
        if status != 204:
            job.headers.append(("content-length", str(len(body))))

    @staticmethod
    def _kept(asked: Asked) -> list[tuple[str, str]]:
        """The headers that are kept with an object: what it is, and what its owner says of it."""
        return [
            (name, value)
            for name, value in asked.headers.items()
            if name in KEPT or name.startswith("x-amz-meta-")
        ]

    def _put(self, asked: Asked, job: Job, tag: str = "", keep: list[tuple[str, str]] | None = None) -> None:
        where = (asked.volume, asked.key)
        have = self.object_store.objects.get(where)
        wanted, unless = asked.headers.get("if-match"), asked.headers.get("if-none-match")
        if (wanted and (not have or wanted not in ("*", have[1]))) or (
            unless and have and unless in ("*", have[1])
        ):
            self._answer(job, 412)
            return
        data = bytes(asked.body)
        tag = tag or f'"{hashlib.md5(data, usedforsecurity=False).hexdigest()}"'
        self.object_store.objects[where] = (data, tag)
        self.object_store.sizes.pop(where, None)
        self.object_store.kept[where] = [
            *(keep or self._kept(asked)),
            ("last-modified", formatdate(usegmt=True)),
        ]
        self._answer(
            job,
            200 if have else 201,
            b"",
            [("etag", tag), ("location", f"/{asked.volume}/{quote(asked.key)}")],
        )

    def _get(self, asked: Asked, job: Job) -> None:
        have = self.object_store.objects.get((asked.volume, asked.key))
        if have is None:
            self._answer(job, 404)
            return
        data, tag = have
        wanted, unless = asked.headers.get("if-match"), asked.headers.get("if-none-match")
        if wanted and wanted not in ("*", tag):
            self._answer(job, 412)
            return
        if unless and unless in ("*", tag):
            self._answer(job, 304, b"", [("etag", tag)])
            job.headers = [("etag", tag)]
            return
        kept = self.object_store.kept.get((asked.volume, asked.key), [])
        headers = [("etag", tag), ("accept-ranges", "bytes"), *kept]
        if not any(name == "content-type" for name, _ in kept):
            headers.append(("content-type", "application/octet-stream"))
        asked_range = asked.headers.get("range")
        if "partNumber" in asked.query:
            number, sizes = (
                int(asked.query["partNumber"]),
                self.object_store.sizes.get((asked.volume, asked.key), [len(data)]),
            )
            if number > len(sizes):
                self._answer(job, 416, b"", [("content-range", f"bytes */{len(data)}")])
                return
            begin = sum(sizes[: number - 1])
            end = begin + sizes[number - 1]
            headers += [
                ("content-range", f"bytes {begin}-{end - 1}/{len(data)}"),
                ("x-amz-mp-parts-count", str(len(sizes))),
            ]
            self._answer(job, 206, data[begin:end], headers)
            return
        if asked_range and asked.headers.get("if-range") in (None, tag):
            first, _, last = asked_range.removeprefix("bytes=").partition("-")
            begin = max(0, len(data) - int(last)) if not first else int(first)
            end = min(len(data), int(last) + 1) if first and last else len(data)
            if begin >= len(data) or (not first and last == "0"):
                self._answer(job, 416, b"", [("content-range", f"bytes */{len(data)}")])
                return
            headers.append(("content-range", f"bytes {begin}-{end - 1}/{len(data)}"))
            self._answer(job, 206, data[begin:end], headers)
            return
        self._answer(job, 200, data, headers)

    def _multipart(self, asked: Asked, job: Job) -> None:
        uploads, upload = self.object_store.uploads, asked.query.get("uploadId", "")
        if "uploads" in asked.query:
            self.object_store.made += 1
            upload = f"u{self.spec.shard}-{self.object_store.made}"
            uploads[upload] = (asked.volume, asked.key, {})
            now = time.time() * 1000
            self.object_store.begun[upload] = (now, now, self._kept(asked))
            self._json(job, 200, {"uploadId": upload})
            return
        if asked.method == "POST" and self.object_store.done.get(upload, ("", "", ""))[:2] == (
            asked.volume,
            asked.key,
        ):
            # A repeat of a completion, by whoever: the first one's answer.
            self._answer(job, 200, b"", [("etag", self.object_store.done[upload][2])])
            return
        if upload not in uploads or uploads[upload][:2] != (asked.volume, asked.key):
            self._json(job, 404, {"message": "no such upload"})
            return
        parts = uploads[upload][2]
        if asked.method == "PUT":
            data = bytes(asked.body)
            parts[int(asked.query["partNumber"])] = data
            began, _, kept = self.object_store.begun[upload]
            self.object_store.begun[upload] = (began, time.time() * 1000, kept)
            self._answer(
                job, 200, b"", [("etag", f'"{hashlib.md5(data, usedforsecurity=False).hexdigest()}"')]
            )
        elif asked.method == "GET":
            self._json(
                job,
                200,
                {
                    "parts": [
                        {"partNumber": n, "size": len(d), "etag": f'"{_md5(d).hexdigest()}"'}
                        for n, d in sorted(parts.items())
                    ]
                },
            )
        elif asked.method == "DELETE":
            del uploads[upload], self.object_store.begun[upload]
            self._answer(job, 204)
        else:
            try:
                wanted = json.loads(bytes(asked.body) or b"{}").get("parts", sorted(parts))
            except ValueError:
                wanted = None
            tags = {n: _md5(d) for n, d in parts.items()}
            if wanted and all(
                isinstance(each, dict) for each in wanted
            ):  # with tags: all must be as they were put
                if any(
                    each["partNumber"] not in tags
                    or tags[each["partNumber"]].hexdigest() != each["etag"].strip('"')
                    for each in wanted
                ):
                    self._json(job, 400, {"message": "a part is not the one that was put"})
                    return
                wanted = [each["partNumber"] for each in wanted]
            if not wanted or any(number not in parts for number in wanted) or sorted(wanted) != wanted:
                self._json(job, 400, {"message": "the parts named are not those that were put, in order"})
                return
            asked.body = bytearray(b"".join(parts[number] for number in wanted))
            whole = _md5(b"".join(tags[number].digest() for number in wanted)).hexdigest()
            tag = f'"{whole}-{len(wanted)}"'
            self._put(asked, job, tag, self.object_store.begun[upload][2])
            if job.status != 412:
                self.object_store.sizes[asked.volume, asked.key] = [len(parts[number]) for number in wanted]
                del uploads[upload], self.object_store.begun[upload]
                self.object_store.done[upload] = (asked.volume, asked.key, tag)

    def _uploads(self, asked: Asked, job: Job) -> None:
        found = [
            {
                "key": key,
                "uploadId": upload,
                "since_ms": self.object_store.begun[upload][0],
                "touched_ms": self.object_store.begun[upload][1],
            }
            for upload, (volume, key, _) in sorted(self.object_store.uploads.items())
            if volume == asked.volume
        ]
        self._json(job, 200, {"uploads": found})

    def _list(self, asked: Asked, job: Job) -> None:
        prefix, after = asked.query.get("prefix", ""), asked.query.get("after", "")
        limit = int(asked.query.get("limit", "1000"))
        here = {
            key: value for (volume, key), value in self.object_store.objects.items() if volume == asked.volume
        }
        keys = sorted(key for key in here if key.startswith(prefix) and key > after)
        shown = keys[:limit]
        dates = {
            key: dict(self.object_store.kept.get((asked.volume, key), [])).get("last-modified", "")
            for key in shown
        }
        objects = [
            {"key": key, "size": len(here[key][0]), "etag": here[key][1], "modified": dates[key]}
            for key in shown
        ]
        self._json(job, 200, {"objects": objects, "next": shown[-1] if len(keys) > limit else None})

    def _json(self, job: Job, status: int, value: object) -> None:
        self._answer(job, status, json.dumps(value).encode(), [("content-type", "application/json")])
