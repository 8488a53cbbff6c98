"""Parses the head of a request to the object API into an :class:`Operation`. Pure.

The paths are ``/VOLUME`` and ``/VOLUME/KEY``; ``docs/object-api.md`` documents the API. Invalid requests
raise :class:`winchdyke.object_api.answers.RequestError`.
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

MAX_KEY_BYTES = 1024
MAX_LISTED_KEYS = 1000
MAX_PART_NUMBER = 10_000
_VOLUME_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_UPLOAD_ID = re.compile(r"[A-Za-z0-9._~-]{1,128}")
_VISIBLE_ASCII = re.compile(r"[!-~]{1,255}")
_FORWARDED_HEADERS = (
    b"content-type",
    b"if-match",
    b"if-none-match",
    b"if-range",
    b"if-modified-since",
    b"if-unmodified-since",
)


@dataclass(frozen=True, slots=True)
class Operation:
    """An operation of the object API on a volume or an object.

    Attributes:
        name: The name of the operation, such as "put-part".
        key: The object's key; empty: the operation is on the volume.
        upload: The id of a multipart upload; empty: none.
        part: A part number; 0: none.
        prefix: The prefix of the keys to list.
        after: The key after which a listing starts.
        limit: The maximum number of listed objects.
        range: The requested range; None: the whole object.
        forwarded_headers: The client's headers that are forwarded to the store.
        class_name: The request class that the client asked for; None: selected by the settings.
        time_left_ms: The client's remaining time; None: not stated.
        client_request: The client's own id of the request; empty: none.
        write_stamp: When a write was acknowledged, if it is sent later; empty: it is sent through.
    """

    name: str
    volume: str
    key: str = ""
    upload: str = ""
    part: int = 0
    prefix: str = ""
    after: str = ""
    limit: int = MAX_LISTED_KEYS
    range: ranges.ByteRange | None = None
    forwarded_headers: tuple[tuple[bytes, bytes], ...] = ()
    idempotency_key: str = ""
    class_name: str | None = None
    time_left_ms: float | None = None
    client_request: str = ""
    write_stamp: str = ""

    def target(self, key: str | None = None) -> bytes:
        """The path and query of the request to a store, in canonical form."""
        path = f"/{quote(self.volume, safe='')}"
        if self.name == "list-uploads":
            return (path + "?uploads").encode()
        if self.name == "list":
            query = f"?list&limit={self.limit}"
            query += f"&prefix={quote(self.prefix, safe='')}" if self.prefix else ""
            return (path + query + (f"&after={quote(self.after, safe='')}" if self.after else "")).encode()
        path += "/" + quote(self.key if key is None else key, safe="/-._~")
        if self.part and self.name in ("get", "head"):  # a part of a completed object
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
        """The method of the request to a store; a posted object is put under the key chosen for it."""
        method_by_operation = {
            "list": "GET", "list-parts": "GET", "list-uploads": "GET", "post": "PUT", "put-part": "PUT", "start-upload": "POST",
            "complete-upload": "POST", "abort-upload": "DELETE",
        }  # fmt: skip
        return method_by_operation.get(self.name, self.name.upper())


def volume_and_key(raw: str) -> tuple[str, str]:
    """Splits a path as sent into volume and key; the key is empty if the path names only a volume.

    Raises:
        RequestError: The volume's name or the key is invalid.
    """
    if not raw.startswith("/"):
        raise RequestError(400, "bad-path", "the path must begin with /VOLUME")
    volume, separator, raw_key = raw[1:].partition("/")
    if not _VOLUME_NAME.fullmatch(volume):
        text = "a volume's name has up to 63 letters, digits, dots, dashes and underscores, a letter or digit first"
        raise RequestError(400, "bad-path", text)
    if re.search(r"%(?![0-9A-Fa-f]{2})", raw_key):
        raise RequestError(400, "bad-path", "a % in the key is not followed by two hexadecimal digits")
    data = unquote_to_bytes(raw_key)
    if len(data) > MAX_KEY_BYTES:
        raise RequestError(400, "bad-path", f"the key has {len(data)} bytes; {MAX_KEY_BYTES} is the maximum")
    try:
        key = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise RequestError(400, "bad-path", "the key is not UTF-8") from error
    if any(ord(character) < 32 or ord(character) == 127 for character in key):
        raise RequestError(400, "bad-path", "the key contains a control character")
    if any(segment in (".", "..") for segment in key.split("/")):
        raise RequestError(
            400,
            "bad-path",
            "the key must not contain . or .. as a path segment, because other software may resolve it",
        )
    if separator and not key:
        return volume, ""
    if key.startswith("/"):
        raise RequestError(400, "bad-path", "the key must not begin with a slash")
    return volume, key


def _query(raw: str, accepted: Mapping[str, object]) -> dict[str, str]:
    try:
        pairs = parse_qsl(
            raw, keep_blank_values=True, strict_parsing=bool(raw), encoding="utf-8", errors="strict"
        )
    except (ValueError, UnicodeDecodeError) as error:
        raise RequestError(400, "bad-query", f"invalid query: {error}") from error
    names = [name for name, _ in pairs]
    for name in names:
        if name not in accepted:
            raise RequestError(
                400, "bad-query", f"unknown query parameter {name!r}; accepted: {', '.join(accepted)}"
            )
        if names.count(name) > 1:
            raise RequestError(400, "bad-query", f"the query parameter {name!r} is given twice")
    return dict(pairs)


def client_request(head: RequestHead) -> str:
    """The client's own id of a request; empty if it is missing or cannot be forwarded."""
    request_id = head.get(b"x-request-id") or ""
    return request_id if _VISIBLE_ASCII.fullmatch(request_id) else ""


def is_valid_upload_id(text: str) -> bool:
    """Whether the text has the format of an upload id."""
    return bool(_UPLOAD_ID.fullmatch(text))


def _integer(query: dict[str, str], name: str, maximum: int, default: int) -> int:
    text = query.get(name)
    if text is None:
        return default
    if not re.fullmatch(r"[0-9]{1,6}", text) or not 1 <= int(text) <= maximum:
        raise RequestError(400, "bad-query", f"{name} is {text!r}; expected an integer from 1 to {maximum}")
    return int(text)


def _operation_name(method: str, key: str, query: dict[str, str]) -> str:
    """The name of the operation that the method and the query select."""
    if not key:
        name = {"GET": "list", "POST": "post"}.get(method)
        if not name:
            raise RequestError(405, "method", f"a volume does not support {method}", "GET, POST")
        return name
    has_upload_id = "uploadId" in query
    if has_upload_id and not _UPLOAD_ID.fullmatch(query["uploadId"]):
        raise RequestError(400, "bad-query", "uploadId is not a valid upload id")
    if ("partNumber" in query) != (has_upload_id and method == "PUT"):
        raise RequestError(
            400,
            "bad-query",
            "partNumber is required with uploadId to put a part, and not accepted otherwise",
        )
    name_by_method = {
        ("GET", False): "get", ("HEAD", False): "head", ("PUT", False): "put", ("DELETE", False): "delete",
        ("GET", True): "list-parts", ("PUT", True): "put-part", ("POST", True): "complete-upload",
        ("DELETE", True): "abort-upload",
    }  # fmt: skip
    if method == "POST" and "uploads" in query and not has_upload_id:
        return "start-upload"
    name = name_by_method.get((method, has_upload_id))
    if not name:
        raise RequestError(
            405, "method", f"an object does not support {method} here", "GET, HEAD, PUT, DELETE, POST"
        )
    if "uploads" in query:
        raise RequestError(400, "bad-query", "the query parameter uploads is accepted only with POST")
    return name


def _time_left(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        time_left_ms = float(text) if re.fullmatch(r"[0-9.]+", text) else duration(text)
    except ValueError as error:
        raise RequestError(400, "bad-header", f"Winchdyke-Time-Left: {error}") from error
    if not math.isfinite(time_left_ms) or time_left_ms <= 0:
        raise RequestError(
            400, "bad-header", "Winchdyke-Time-Left must be greater than 0, for example 1500ms"
        )
    return time_left_ms


def parse(head: RequestHead) -> Operation:
    """Parses the head of a request.

    Raises:
        RequestError: The request is invalid.
    """
    try:
        target = head.target.decode("ascii")
    except UnicodeDecodeError as error:
        raise RequestError(
            400, "bad-path", "the path contains bytes that are not ASCII; percent-encode them"
        ) from error
    path, _, raw_query = target.partition("?")
    volume, key = volume_and_key(path)
    known = ("prefix", "after", "limit") if not key else ("uploads", "uploadId", "partNumber")
    query = _query(raw_query, dict.fromkeys(known)) if raw_query != "uploads" else {"uploads": ""}
    name = _operation_name(head.method, key, query)
    idempotency_key = head.get(b"idempotency-key") or ""
    if idempotency_key and not _VISIBLE_ASCII.fullmatch(idempotency_key):
        raise RequestError(400, "bad-header", "Idempotency-Key must have 1 to 255 visible ASCII characters")
    forwarded_headers = tuple(
        (header, value) for header, value in head.headers if header in _FORWARDED_HEADERS
    )
    byte_range = ranges.parse(head.get(b"range")) if name == "get" else None
    return Operation(
        name=name,
        volume=volume,
        key=key,
        upload=query.get("uploadId", ""),
        part=_integer(query, "partNumber", MAX_PART_NUMBER, 0),
        prefix=query.get("prefix", ""),
        after=query.get("after", ""),
        limit=_integer(query, "limit", MAX_LISTED_KEYS, MAX_LISTED_KEYS),
        range=byte_range,
        forwarded_headers=forwarded_headers,
        idempotency_key=idempotency_key,
        class_name=head.get(b"winchdyke-class"),
        time_left_ms=_time_left(head.get(b"winchdyke-time-left")),
        client_request=client_request(head),
    )


def estimate_units(
    operation: Operation, length: int | None, unit_bytes: int, usual_units: float, max_units: float
) -> float:
    """Estimates the cost of an operation in units, from 1 to ``max_units``.

    The cost is the number of transferred bytes divided by ``unit_bytes``, rounded up; ``usual_units`` if the
    size is not known in advance; 1 for operations that transfer no object data.
    """
    size: int | None = 0
    if operation.name in ("put", "post", "put-part"):
        size = length
    elif operation.name == "get":
        size = operation.range.length if operation.range else None
    units = usual_units if size is None else float(max(1, math.ceil(size / unit_bytes)))
    return min(max_units, max(1.0, units))
