"""What a request asks for: method, path, query and headers in, an :class:`Operation` out. Pure.

The paths are ``/VOLUME`` and ``/VOLUME/KEY``; the page for clients is ``docs/object-api.md``. Whatever can't be
read raises :class:`winchdyke.object_api.answers.RequestError`.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl, quote, unquote_to_bytes

from winchdyke.config.units import duration
from winchdyke.http1 import RequestHead
from winchdyke.object_api import ranges
from winchdyke.object_api.answers import RequestError

KEY_BYTES = 1024
LIST_MOST = 1000
PARTS_MOST = 10_000
_VOLUME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_UPLOAD = re.compile(r"[A-Za-z0-9._~-]{1,128}")
_VISIBLE = re.compile(r"[!-~]{1,255}")
_PASSED = (
    b"content-type",
    b"if-match",
    b"if-none-match",
    b"if-range",
    b"if-modified-since",
    b"if-unmodified-since",
)


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation of the API on a volume, and mostly on one key of it."""

    name: str
    volume: str
    key: str = ""
    upload: str = ""
    part: int = 0
    prefix: str = ""
    after: str = ""
    limit: int = LIST_MOST
    range: ranges.ByteRange | None = None
    forwarded_headers: tuple[tuple[bytes, bytes], ...] = ()
    idempotency_key: str = ""
    class_name: str | None = None
    time_left_ms: float | None = None
    client_request: str = ""

    def target(self, key: str | None = None) -> bytes:
        """The path and query at a store, in one canonical spelling."""
        path = f"/{quote(self.volume, safe='')}"
        if self.name == "list-uploads":
            return (path + "?uploads").encode()
        if self.name == "list":
            asked = f"?list&limit={self.limit}"
            asked += f"&prefix={quote(self.prefix, safe='')}" if self.prefix else ""
            return (path + asked + (f"&after={quote(self.after, safe='')}" if self.after else "")).encode()
        path += "/" + quote(self.key if key is None else key, safe="/-._~")
        if self.part and self.name in ("get", "head"):  # of a whole object: where a part lay
            return f"{path}?partNumber={self.part}".encode()
        query = {
            "start-upload": "?uploads",
            "put-part": f"?uploadId={self.upload}&partNumber={self.part}",
            "list-parts": f"?uploadId={self.upload}",
            "complete-upload": f"?uploadId={self.upload}",
            "abort-upload": f"?uploadId={self.upload}",
        }.get(self.name, "")
        return (path + query).encode()

    @property
    def store_method(self) -> str:
        """The method at a store: a new object of no fixed place is put under the name it was given."""
        methods = {
            "list": "GET", "list-parts": "GET", "list-uploads": "GET", "post": "PUT", "put-part": "PUT", "start-upload": "POST",
            "complete-upload": "POST", "abort-upload": "DELETE",
        }  # fmt: skip
        return methods.get(self.name, self.name.upper())


def volume_and_key(raw: str) -> tuple[str, str]:
    """Volume and key of a path as it was sent; the key is empty where none is named. RequestError."""
    if not raw.startswith("/"):
        raise RequestError(400, "bad-path", "the path must begin with /VOLUME")
    volume, slash, rest = raw[1:].partition("/")
    if not _VOLUME.fullmatch(volume):
        text = "a volume's name has letters, digits, dots, dashes and underscores, 63 at most, a letter or digit first"
        raise RequestError(400, "bad-path", text)
    if re.search(r"%(?![0-9A-Fa-f]{2})", rest):
        raise RequestError(400, "bad-path", "a % in the key is not followed by two hexadecimal digits")
    data = unquote_to_bytes(rest)
    if len(data) > KEY_BYTES:
        raise RequestError(400, "bad-path", f"the key has {len(data)} bytes; {KEY_BYTES} is the most")
    try:
        key = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise RequestError(400, "bad-path", "the key is not UTF-8") from error
    if any(ord(sign) < 32 or ord(sign) == 127 for sign in key):
        raise RequestError(400, "bad-path", "the key holds a control character")
    if any(part in (".", "..") for part in key.split("/")):
        raise RequestError(400, "bad-path", "a key has no part that is . or .., which others might resolve")
    if slash and not key:
        return volume, ""
    if key.startswith("/"):
        raise RequestError(400, "bad-path", "the key begins with a slash")
    return volume, key


def _query(raw: str, known: Mapping[str, object]) -> dict[str, str]:
    try:
        pairs = parse_qsl(
            raw, keep_blank_values=True, strict_parsing=bool(raw), encoding="utf-8", errors="strict"
        )
    except (ValueError, UnicodeDecodeError) as error:
        raise RequestError(400, "bad-query", f"the query can't be read: {error}") from error
    names = [name for name, _ in pairs]
    for name in names:
        if name not in known:
            raise RequestError(
                400, "bad-query", f"no query parameter {name!r} here; known: {', '.join(known)}"
            )
        if names.count(name) > 1:
            raise RequestError(400, "bad-query", f"the query parameter {name!r} is given twice")
    return dict(pairs)


def client_request(head: RequestHead) -> str:
    """The client's own id of a request; empty where it gives none that can be passed on."""
    given = head.get(b"x-request-id") or ""
    return given if _VISIBLE.fullmatch(given) else ""


def is_upload(text: str) -> bool:
    """Whether this may be an upload's id."""
    return bool(_UPLOAD.fullmatch(text))


def _number(query: dict[str, str], name: str, most: int, default: int) -> int:
    text = query.get(name)
    if text is None:
        return default
    if not re.fullmatch(r"[0-9]{1,6}", text) or not 1 <= int(text) <= most:
        raise RequestError(400, "bad-query", f"{name} is {text!r}, not a whole number from 1 to {most}")
    return int(text)


def _which(method: str, key: str, query: dict[str, str]) -> str:
    """The operation's name."""
    if not key:
        found = {"GET": "list", "POST": "post"}.get(method)
        if not found:
            raise RequestError(405, "method", f"a volume does not take {method}", "GET, POST")
        return found
    upload = "uploadId" in query
    if upload and not _UPLOAD.fullmatch(query["uploadId"]):
        raise RequestError(400, "bad-query", "uploadId is none that a start of an upload gave out")
    if ("partNumber" in query) != (upload and method == "PUT"):
        raise RequestError(
            400, "bad-query", "a part is put with both uploadId and partNumber, and only a part"
        )
    names = {
        ("GET", False): "get", ("HEAD", False): "head", ("PUT", False): "put", ("DELETE", False): "delete",
        ("GET", True): "list-parts", ("PUT", True): "put-part", ("POST", True): "complete-upload",
        ("DELETE", True): "abort-upload",
    }  # fmt: skip
    if method == "POST" and "uploads" in query and not upload:
        return "start-upload"
    found = names.get((method, upload))
    if not found:
        raise RequestError(
            405, "method", f"an object does not take {method} here", "GET, HEAD, PUT, DELETE, POST"
        )
    if "uploads" in query:
        raise RequestError(400, "bad-query", "uploads goes with POST alone")
    return found


def _time_left(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        left = float(text) if re.fullmatch(r"[0-9.]+", text) else duration(text)
    except ValueError as error:
        raise RequestError(400, "bad-header", f"Winchdyke-Time-Left: {error}") from error
    if not math.isfinite(left) or left <= 0:
        raise RequestError(400, "bad-header", "Winchdyke-Time-Left must be over 0, as in 1500ms")
    return left


def parse(head: RequestHead) -> Operation:
    """The operation that a request's head asks for."""
    try:
        target = head.target.decode("ascii")
    except UnicodeDecodeError as error:
        raise RequestError(
            400, "bad-path", "the path holds bytes that are not ASCII; percent-encode them"
        ) from error
    raw, _, asked = target.partition("?")
    volume, key = volume_and_key(raw)
    known = ("prefix", "after", "limit") if not key else ("uploads", "uploadId", "partNumber")
    query = _query(asked, dict.fromkeys(known)) if asked != "uploads" else {"uploads": ""}
    name = _which(head.method, key, query)
    idempotency = head.get(b"idempotency-key") or ""
    if idempotency and not _VISIBLE.fullmatch(idempotency):
        raise RequestError(400, "bad-header", "Idempotency-Key has 1 to 255 visible ASCII characters")
    forwarded_headers = tuple((header, value) for header, value in head.headers if header in _PASSED)
    asked_range = ranges.parse(head.get(b"range")) if name == "get" else None
    return Operation(
        name=name,
        volume=volume,
        key=key,
        upload=query.get("uploadId", ""),
        part=_number(query, "partNumber", PARTS_MOST, 0),
        prefix=query.get("prefix", ""),
        after=query.get("after", ""),
        limit=_number(query, "limit", LIST_MOST, LIST_MOST),
        range=asked_range,
        forwarded_headers=forwarded_headers,
        idempotency_key=idempotency,
        class_name=head.get(b"winchdyke-class"),
        time_left_ms=_time_left(head.get(b"winchdyke-time-left")),
        client_request=client_request(head),
    )


def estimate_units(
    operation: Operation, length: int | None, unit_bytes: int, usual: float, largest: float
) -> float:
    """What an operation counts: its bytes in units, where they are known before; one for what moves none."""
    size: int | None = 0
    if operation.name in ("put", "post", "put-part"):
        size = length
    elif operation.name == "get":
        size = operation.range.length if operation.range else None
    counted = usual if size is None else float(max(1, math.ceil(size / unit_bytes)))
    return min(largest, max(1.0, counted))
