"""The platform's protocol between clients, gateway and stores: validates requests and interprets responses.

This module performs no I/O.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import NamedTuple

from winchdyke import interface as api
from winchdyke.http1 import Headers, ProtocolError, RequestHead, ResponseHead
from winchdyke.interface import AttemptOutcome

MAX_BODY_BYTES = 64 * 1024  # the protocol's limit; some requests and stores' responses exceed it
READY_PATH = b"/-/ready"
REQUEST_PATH_PATTERN = re.compile(rb"/api/([0-9a-f]{16})/([0-9a-f]{16})(?:\?[\x21-\x7e]*)?")
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
SHED_STATUSES = (503, 504)  # mean shed only together with the header "Srv-Declined: 1"


@dataclass(slots=True)
class ParsedRequest:
    """A client's request: the scheduler's view of it, and the parts that are forwarded unchanged."""

    request: api.Request
    method: str
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(slots=True)
class AttemptResult:
    """The result of one attempt, derived from a store's response or its absence."""

    outcome: AttemptOutcome
    volume_usage_percent: float | None = None
    units_via_other_gateways: float = 0.0
    load_report: tuple[float, ...] = ()


class RequestSize(NamedTuple):
    """The fields of the ``X-IO`` header; a shard of -1 means a new object."""

    units: float
    shard: int
    sharing_gateways: int


def body_too_large(max_body_bytes: int) -> ProtocolError:
    """Return the error for a request body that exceeds the gateway's limit."""
    return ProtocolError(413, "too-large", f"the request body must not exceed {max_body_bytes} bytes")


def _invalid_header(text: str) -> ProtocolError:
    return ProtocolError(400, "bad-header", text)


class RequestParser:
    """Validates the heads of clients' requests against the settings.

    ``max_body_bytes`` limits the Content-Length of a request.
    """

    def __init__(self, settings: api.Settings, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self._classes = {each.name.encode(): each for each in settings.classes}
        self._plans = {plan.name.encode(): plan.name for plan in settings.plans}
        self._max_units = settings.max_request_units
        self._gateway_count = settings.gateway_count

    def parse(self, head: RequestHead) -> ParsedRequest:
        """Parse a request's head; the request's time left is the value of ``Req-Deadline-Ms``.

        Raises ProtocolError on an invalid field.
        """
        headers = _headers_by_name(head)
        if head.length is not None and head.length > self.max_body_bytes:
            raise body_too_large(self.max_body_bytes)
        path = REQUEST_PATH_PATTERN.fullmatch(head.target)
        if path is None:
            raise ProtocolError(404, "bad-path", "the path must be /api/VOLUME/DATA with 16 hex digits each")
        request_class = self._parse_class(headers)
        method = _check_method(head, request_class)
        plan = self._plans.get(headers.get(b"x-plan", b""))
        if plan is None:
            raise ProtocolError(400, "no-plan", "X-Plan is missing or names an unknown plan")
        _check_identifiers(headers, request_class)
        time_left_ms = _parse_time_left(headers)
        size = self._parse_size(headers)
        request = api.Request(
            request_id=headers[b"req-id"].decode("ascii"),
            request_class=request_class.name,
            plan=plan,
            volume=path[1].decode("ascii"),
            key=path[2].decode("ascii"),
            units=size.units,
            shard=size.shard,
            sharing_gateways=size.sharing_gateways,
            time_left_ms=time_left_ms,
            is_retry=headers.get(b"req-retry") == b"1",
        )
        return ParsedRequest(request, method, head.target, _forwarded_headers(headers))

    def _parse_class(self, headers: dict[bytes, bytes]) -> api.RequestClass:
        request_class = self._classes.get(headers.get(b"req-kind", b""))
        if request_class is None:
            raise ProtocolError(400, "no-class", "Req-Kind is missing or names an unknown request class")
        return request_class

    def _parse_size(self, headers: dict[bytes, bytes]) -> RequestSize:
        match = X_IO_PATTERN.fullmatch(headers.get(b"x-io", b"").replace(b" ", b""))
        if match is None:
            raise _invalid_header("X-IO must have the form units=N,shard=N,hosts=N")
        size = RequestSize(float(match[1]), int(match[2]), int(match[3]))
        if not 0 < size.units <= self._max_units or not 0 < size.sharing_gateways <= self._gateway_count:
            raise _invalid_header(
                f"X-IO: units must be above 0 and up to {self._max_units:g}, hosts 1 to {self._gateway_count}"
            )
        return size


def _headers_by_name(head: RequestHead) -> dict[bytes, bytes]:
    headers: dict[bytes, bytes] = {}
    for name, value in head.headers:
        if name in headers and name in SINGLE_VALUE_HEADERS:
            raise _invalid_header(f"more than one {name.decode()}")
        headers[name] = value
    return headers


def _check_method(head: RequestHead, request_class: api.RequestClass) -> str:
    method = "PUT" if request_class.modifies_data else "GET"
    if head.method != method:
        raise ProtocolError(405, "method", f"{request_class.name} requires the method {method}")
    if method == "GET" and head.length != 0:
        raise _invalid_header("a GET request must not have a body")
    return method


def _check_identifiers(headers: dict[bytes, bytes], request_class: api.RequestClass) -> None:
    if not TOKEN_PATTERN.fullmatch(headers.get(b"req-id", b"")):
        raise _invalid_header("Req-Id is missing or is not 1 to 128 visible ASCII characters")
    needs_key = request_class.repeat_safety is api.RepeatSafety.IDEMPOTENCY_KEY
    if needs_key and not headers.get(b"idempotency-key"):
        raise _invalid_header(f"{request_class.name} requires an Idempotency-Key header")


def _parse_time_left(headers: dict[bytes, bytes]) -> float:
    text = headers.get(b"req-deadline-ms", b"")
    if not INTEGER_PATTERN.fullmatch(text) or not int(text):
        raise _invalid_header("Req-Deadline-Ms is not an integer above 0")
    return float(int(text))


def _forwarded_headers(headers: dict[bytes, bytes]) -> Headers:
    first = [(b"host", headers.get(b"host", b"")), (b"req-id", headers[b"req-id"])]
    return first + [(name, headers[name]) for name in FORWARDED_HEADERS if name in headers]


def upstream_headers(request: ParsedRequest, time_left_ms: float) -> Headers:
    """Return the headers of a request to a store, with the deadline that is left."""
    headers = [*request.headers, (b"req-deadline-ms", b"%d" % max(1, int(time_left_ms)))]
    if request.method == "PUT":
        headers.append((b"content-length", b"%d" % len(request.body)))
    return headers


def count_framing_headers(head: ResponseHead) -> int:
    """Return how many of Content-Length and Transfer-Encoding a response's head has: 0, 1 or 2."""
    names = [name for name, _ in head.headers]
    return (b"content-length" in names) + (b"transfer-encoding" in names)


def has_valid_framing(head: ResponseHead, max_body_bytes: int = MAX_BODY_BYTES) -> bool:
    """Return whether a response's head delimits its body in exactly one way, and within the limit."""
    return count_framing_headers(head) == 1 and (head.length is None or head.length <= max_body_bytes)


def parse_response(head: ResponseHead, load_report_fields: tuple[str, ...]) -> AttemptResult:
    """Interpret a store's complete response. Invalid numbers in its headers are ignored."""
    return AttemptResult(
        outcome=_response_outcome(head),
        volume_usage_percent=_parse_figure(head.get(b"x-volume-use")),
        units_via_other_gateways=_parse_figure(head.get(b"x-served-elsewhere")) or 0.0,
        load_report=_parse_load_report(head.get(b"srv-load"), load_report_fields),
    )


def _response_outcome(head: ResponseHead) -> AttemptOutcome:
    if head.status == 200:
        return AttemptOutcome.SERVED
    if head.status in SHED_STATUSES and head.get(b"srv-declined") == "1":
        return AttemptOutcome.SHED
    return AttemptOutcome.ERROR


def _parse_figure(text: str | None) -> float | None:
    """Parse a finite number that is not negative; None if the text is missing or invalid."""
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def _parse_load_report(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of the fields in order, or an empty tuple if any is missing or invalid."""
    if text is None or not fields:
        return ()
    pairs = dict(part.strip().partition("=")[::2] for part in text.split(","))
    values = [_parse_figure(pairs.get(field)) for field in fields]
    return tuple(value for value in values if value is not None) if None not in values else ()
