"""The platform's messages: heads to requests, answers to outcomes, entries of the list. Pure; every field is checked."""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass
from typing import Any

from winchdyke import interface as api
from winchdyke.http1 import AnswerHead, Headers, ProtocolError, RequestHead
from winchdyke.interface import AttemptOutcome, EndpointStatus

MAX_BODY_BYTES = (
    64 * 1024
)  # the protocol's bound on a body; answers of stores, and requests, go beyond it at times
READY_PATH, ENDPOINTS_PATH = b"/-/ready", b"/api/targets"
REQUEST_PATH_PATTERN = re.compile(rb"/api/([0-9a-f]{16})/([0-9a-f]{16})(?:\?[\x21-\x7e]*)?")
ADDRESS_PATTERN = re.compile(
    r"(?:(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])\.){3}(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9]):[0-9]{1,5}"
)
MAX_UNIX_MS = 1e15  # ms of Unix time: some 30,000 years
JSON_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"')
MAX_LIST_BYTES = 4 * 1024 * 1024  # bytes of one object of a watch, held until it is whole
TOKEN_PATTERN = re.compile(rb"[\x21-\x7e]{1,128}")
INTEGER_PATTERN = re.compile(rb"[0-9]{1,9}")
X_IO_PATTERN = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,6})?),shard=(-1|[0-9]{1,9}),hosts=([0-9]{1,9})")
SINGLE_VALUE_HEADERS = (
    b"req-id",
    b"req-kind",
    b"x-plan",
    b"req-deadline-ms",
    b"x-io",
    b"req-retry",
    b"idempotency-key",
)
FORWARDED_HEADERS = (b"idempotency-key", b"req-kind", b"x-plan", b"x-io", b"req-retry", b"content-type")
STATUS_BY_WIRE_NAME = {
    "in_service": EndpointStatus.READY,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.REMOVED,
}


@dataclass(slots=True)
class ParsedRequest:
    """A client's request: what the scheduler is told of it, and what passes on unchanged."""

    request: api.Request
    method: str
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(slots=True)
class AttemptResult:
    """What an answer of a store means. ``used``: the volume's use in percent; ``others``: units served elsewhere."""

    outcome: AttemptOutcome
    volume_usage_percent: float | None = None
    units_via_other_gateways: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """A store of the list; ``started`` is Unix time in milliseconds, 0 where it has been up for long."""

    id: str
    address: str
    state: EndpointStatus
    shard: int
    zone: str
    started_at_unix_ms: float


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """The whole list, or what changed."""

    version: int
    full: bool
    entries: tuple[EndpointEntry, ...]


class EndpointListError(Exception):
    """Something of discovery's that can't be read."""


def _bad(reason: str, text: str) -> ProtocolError:
    return ProtocolError(400, reason, text)


def body_too_large(most: int) -> ProtocolError:
    """A body is longer than is taken here."""
    return ProtocolError(413, "too-large", f"a body may hold {most} bytes")


class RequestParser:
    """Reads the heads of clients' requests by the settings."""

    def __init__(self, settings: api.Settings, body_most: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes = body_most
        self._classes = {kind.name.encode(): kind for kind in settings.classes}
        self._plans = {plan.name.encode(): plan.name for plan in settings.plans}
        self._max_units, self._gateway_count = settings.max_request_units, settings.gateway_count

    def parse(self, head: RequestHead) -> ParsedRequest:
        """The request of a head, with its time as it was sent. ProtocolError where a field can't be used."""
        found: dict[bytes, bytes] = {}
        for name, value in head.headers:
            if name in found and name in SINGLE_VALUE_HEADERS:
                raise _bad("bad-header", f"more than one {name.decode()}")
            found[name] = value
        if head.length is not None and head.length > self.max_body_bytes:
            raise body_too_large(self.max_body_bytes)
        path = REQUEST_PATH_PATTERN.fullmatch(head.target)
        if path is None:
            raise ProtocolError(404, "bad-path", "the path is not /api/VOLUME/DATA, 16 hex digits each")
        kind = self._classes.get(found.get(b"req-kind", b""))
        if kind is None:
            raise _bad("no-class", "Req-Kind names no class of requests")
        method = "PUT" if kind.modifies_data else "GET"
        if head.method != method:
            raise ProtocolError(405, "method", f"{kind.name} goes by {method}")
        if method == "GET" and head.length != 0:
            raise _bad("bad-header", "a read has no body")
        plan = self._plans.get(found.get(b"x-plan", b""))
        if plan is None:
            raise _bad("no-plan", "X-Plan names no plan")
        if not TOKEN_PATTERN.fullmatch(found.get(b"req-id", b"")):
            raise _bad("bad-header", "Req-Id is missing or can't be used")
        if kind.repeat_safety is api.RepeatSafety.IDEMPOTENCY_KEY and not found.get(b"idempotency-key"):
            raise _bad("bad-header", f"{kind.name} needs an Idempotency-Key")
        deadline = found.get(b"req-deadline-ms", b"")
        if not INTEGER_PATTERN.fullmatch(deadline) or not int(deadline):
            raise _bad("bad-header", "Req-Deadline-Ms is no whole number above 0")
        extras = X_IO_PATTERN.fullmatch(found.get(b"x-io", b"").replace(b" ", b""))
        if extras is None:
            raise _bad("bad-header", "X-IO is not units=N,shard=N,hosts=N")
        units, shard, hosts = float(extras[1]), int(extras[2]), int(extras[3])
        if not 0 < units <= self._max_units or not 0 < hosts <= self._gateway_count:
            raise _bad(
                "bad-header", f"X-IO: units are up to {self._max_units:g}, hosts 1 to {self._gateway_count}"
            )
        request = api.Request(
            request_id=found[b"req-id"].decode("ascii"),
            request_class=kind.name,
            plan=plan,
            volume=path[1].decode("ascii"),
            key=path[2].decode("ascii"),
            units=units,
            shard=shard,
            sharing_gateways=hosts,
            time_left_ms=float(int(deadline)),
            is_retry=found.get(b"req-retry") == b"1",
        )
        headers = [(b"host", found.get(b"host", b"")), (b"req-id", found[b"req-id"])]
        headers += [(name, found[name]) for name in FORWARDED_HEADERS if name in found]
        return ParsedRequest(request, method, head.target, headers)


def upstream_headers(asked: ParsedRequest, left_ms: float) -> Headers:
    """The headers that a store gets."""
    headers = [*asked.headers, (b"req-deadline-ms", b"%d" % max(1, int(left_ms)))]
    if asked.method == "PUT":
        headers.append((b"content-length", b"%d" % len(asked.body)))
    return headers


def _figure(text: str | None) -> float | None:
    """A figure that a store tells; one that can't be read is dropped."""
    try:
        value = float(text) if text is not None else None
    except ValueError:
        return None
    return value if value is not None and math.isfinite(value) and value >= 0 else None


def _load(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...]:
    if text is None or not fields:
        return ()
    pairs = dict(part.strip().partition("=")[::2] for part in text.split(","))
    values = [_figure(pairs.get(field)) for field in fields]
    return tuple(value for value in values if value is not None) if None not in values else ()


def count_framing_headers(head: AnswerHead) -> int:
    """In how many ways an answer's head tells where its body ends."""
    names = [name for name, _ in head.headers]
    return (b"content-length" in names) + (b"transfer-encoding" in names)


def has_valid_framing(head: AnswerHead, most: int = MAX_BODY_BYTES) -> bool:
    """Whether an answer's head tells where its body ends, in one way, and within the bound."""
    return count_framing_headers(head) == 1 and (head.length is None or head.length <= most)


def parse_response(head: AnswerHead, fields: tuple[str, ...]) -> AttemptResult:
    """What an answer of a store means."""
    if head.status == 200:
        outcome = AttemptOutcome.SERVED
    elif head.status in (503, 504) and head.get(b"srv-declined") == "1":
        outcome = AttemptOutcome.SHED
    else:
        outcome = AttemptOutcome.ERROR
    others = _figure(head.get(b"x-served-elsewhere"))
    return AttemptResult(
        outcome, _figure(head.get(b"x-volume-use")), others or 0.0, _load(head.get(b"srv-load"), fields)
    )


def _entry(row: Any) -> EndpointEntry:
    if not isinstance(row, dict):
        raise EndpointListError("an entry is no object")
    name, place, state, shard = row.get("id"), row.get("addr"), row.get("state"), row.get("cell")
    started, zone = row.get("started_ms", 0), row.get("zone", "")
    if (
        not isinstance(name, str)
        or not name
        or not isinstance(place, str)
        or state not in STATUS_BY_WIRE_NAME
    ):
        raise EndpointListError(f"an entry can't be used: id {name!r}, addr {place!r}, state {state!r}")
    # Guards against what can't be dialled at all: a name would be looked up while all else waits, and some raise no OSError.
    if not ADDRESS_PATTERN.fullmatch(place) or not 0 < int(place.rpartition(":")[2]) < 65536:
        raise EndpointListError(f"{name}: addr is {place!r}, which is not an IPv4 address and a port")
    if isinstance(shard, bool) or not isinstance(shard, int):
        raise EndpointListError(f"{name}: cell is {shard!r}, which is no whole number")
    if isinstance(started, bool) or not isinstance(started, (int, float)) or not abs(started) < MAX_UNIX_MS:
        raise EndpointListError(f"{name}: started_ms is no time")
    return EndpointEntry(name, place, STATUS_BY_WIRE_NAME[state], shard, str(zone), max(0.0, float(started)))


def parse_endpoint_list(data: bytes | dict[str, Any]) -> EndpointListing:
    """A list of discovery's, or a line of its watch. ListFault where it can't be read."""
    try:
        info = json.loads(data) if isinstance(data, bytes) else data
    except (ValueError, RecursionError) as error:
        raise EndpointListError(f"no JSON: {error}") from error
    if not isinstance(info, dict):
        raise EndpointListError("no object")
    version, rows = info.get("version"), info.get("servers")
    if isinstance(version, bool) or not isinstance(version, int) or not isinstance(rows, list):
        raise EndpointListError("'version' or 'servers' is missing")
    return EndpointListing(version, info.get("full") is True, tuple(_entry(row) for row in rows))


class WatchParser:
    """Cuts a watch into its objects, on one line each or indented over several."""

    # Guards against an object that never becomes whole, whatever spoilt it: all that comes behind would be taken for a part of
    # it. What can't be the beginning of one is told at its first line, and again each time it has doubled; the empty line that
    # says "nothing new" tells the rest. It hurts where a list is indented with empty lines in it: it is asked for whole.
    def __init__(self) -> None:
        self._buffer, self._scanned, self._depth, self._next_check_at = bytearray(), 0, 0, 0

    def feed(self, data: bytes | bytearray) -> list[EndpointListing]:
        """The lists that have become whole. ListFault where something can't be read."""
        self._buffer += data
        found = []
        while (at := self._buffer.find(b"\n", self._scanned)) >= 0:
            line, self._scanned = bytes(self._buffer[self._scanned : at]), at + 1
            bare = JSON_STRING_PATTERN.sub(b"", line)
            self._depth += sum(bare.count(c) for c in (b"{", b"[")) - sum(bare.count(c) for c in (b"}", b"]"))
            if not line.strip():
                if self._depth:
                    raise EndpointListError("an object broke off")
            elif self._depth <= 0:
                found.append(parse_endpoint_list(bytes(self._buffer[: self._scanned])))
            elif self._scanned >= self._next_check_at:
                self._check_prefix(bytes(self._buffer[: self._scanned]))
                self._next_check_at = 2 * self._scanned
            if self._depth <= 0:
                del self._buffer[: self._scanned]
                self._scanned = self._depth = self._next_check_at = 0
        if len(self._buffer) > MAX_LIST_BYTES:
            raise EndpointListError("an object has no end")
        return found

    @staticmethod
    def _check_prefix(text: bytes) -> None:
        try:
            json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text.decode("utf-8").rstrip()):
                raise EndpointListError(f"no JSON: {error}") from error
        except (ValueError, RecursionError) as error:
            raise EndpointListError(f"no JSON: {error}") from error
