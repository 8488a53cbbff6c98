"""Parses and validates discovery's messages: endpoint lists and the objects of a watch. It does no I/O."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

from winchdyke.interface import EndpointStatus

ENDPOINTS_PATH = b"/api/targets"
ADDRESS_PATTERN = re.compile(
    r"(?:(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])\.){3}(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9]):[0-9]{1,5}"
)
MAX_PORT = 65535
MAX_UNIX_MS = 1e15  # about 30,000 years
MAX_LIST_BYTES = 4 * 1024 * 1024  # buffered for one list, or for one object of a watch, until it is complete
JSON_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"')
STATUS_BY_WIRE_NAME = {
    "in_service": EndpointStatus.READY,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.REMOVED,
}


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """A store in an endpoint list; ``started_at_unix_ms`` is 0 if it started long ago."""

    id: str
    address: str
    state: EndpointStatus
    shard: int
    zone: str
    started_at_unix_ms: float


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """A full endpoint list, or the entries that have changed, as of ``version``."""

    version: int
    full: bool
    entries: tuple[EndpointEntry, ...]


class EndpointListError(Exception):
    """Discovery sent an invalid message; the text names the entry or field."""


def parse_endpoint_list(data: bytes | dict[str, Any]) -> EndpointListing:
    """Parse an endpoint list or an object of a watch, given as bytes or as decoded JSON.

    Raises EndpointListError if it is invalid.
    """
    info = _parse_json(data) if isinstance(data, bytes) else data
    if not isinstance(info, dict):
        raise EndpointListError("the message is not a JSON object")
    version = info.get("version")
    rows = info.get("servers")
    if isinstance(version, bool) or not isinstance(version, int) or not isinstance(rows, list):
        raise EndpointListError("'version' or 'servers' is missing or has the wrong type")
    return EndpointListing(version, info.get("full") is True, tuple(_parse_entry(row) for row in rows))


def _parse_json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise EndpointListError(f"invalid JSON: {error}") from error


def _parse_entry(row: Any) -> EndpointEntry:
    if not isinstance(row, dict):
        raise EndpointListError("an entry of 'servers' is not an object")
    name = row.get("id")
    address = row.get("addr")
    state = row.get("state")
    if (
        not isinstance(name, str)
        or not name
        or not isinstance(address, str)
        or state not in STATUS_BY_WIRE_NAME
    ):
        raise EndpointListError(f"an entry is invalid: id {name!r}, addr {address!r}, state {state!r}")
    # Host names are rejected: resolving them blocks the event loop and may raise errors other than OSError.
    if not ADDRESS_PATTERN.fullmatch(address) or not 0 < int(address.rpartition(":")[2]) <= MAX_PORT:
        raise EndpointListError(f"{name}: addr is {address!r}, which is not an IPv4 address and a port")
    shard = row.get("cell")
    if isinstance(shard, bool) or not isinstance(shard, int):
        raise EndpointListError(f"{name}: cell is {shard!r}, which is not an integer")
    return EndpointEntry(
        id=name,
        address=address,
        state=STATUS_BY_WIRE_NAME[state],
        shard=shard,
        zone=str(row.get("zone", "")),
        started_at_unix_ms=_parse_start(name, row.get("started_ms", 0)),
    )


def _parse_start(name: str, started_ms: Any) -> float:
    if (
        isinstance(started_ms, bool)
        or not isinstance(started_ms, (int, float))
        or not abs(started_ms) < MAX_UNIX_MS
    ):
        raise EndpointListError(f"{name}: started_ms is not a valid time")
    return max(0.0, float(started_ms))


class WatchParser:
    """Splits the data of a watch into JSON objects, each on one line or indented over several lines.

    An object that never becomes complete must not consume the objects that follow it. Therefore an incomplete
    object is checked for being a valid prefix of JSON, after its first line and each time its size has
    doubled. The empty line that a watch sends while nothing changes is an error within an object.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned_bytes = 0  # offset in the buffer after the last complete line
        self._depth = 0  # nesting depth of open brackets
        self._next_check_at = 0  # size of the object, in bytes, at which its prefix is checked next

    def feed(self, data: bytes | bytearray) -> list[EndpointListing]:
        """Add data and return the lists that are now complete. Raises EndpointListError on invalid data."""
        self._buffer += data
        listings = []
        while (line_end := self._buffer.find(b"\n", self._scanned_bytes)) >= 0:
            line = bytes(self._buffer[self._scanned_bytes : line_end])
            self._scanned_bytes = line_end + 1
            self._depth += _bracket_balance(line)
            if not line.strip():
                self._check_nothing_open()
            elif self._depth <= 0:
                listings.append(parse_endpoint_list(bytes(self._buffer[: self._scanned_bytes])))
            elif self._scanned_bytes >= self._next_check_at:
                _check_prefix(bytes(self._buffer[: self._scanned_bytes]))
                self._next_check_at = 2 * self._scanned_bytes
            if self._depth <= 0:
                self._start_next_object()
        if len(self._buffer) > MAX_LIST_BYTES:
            raise EndpointListError(f"an object is larger than {MAX_LIST_BYTES} bytes")
        return listings

    def _check_nothing_open(self) -> None:
        if self._depth:
            raise EndpointListError("an empty line within an object")

    def _start_next_object(self) -> None:
        del self._buffer[: self._scanned_bytes]
        self._scanned_bytes = 0
        self._depth = 0
        self._next_check_at = 0


def _bracket_balance(line: bytes) -> int:
    """Return the number of opening minus closing brackets outside strings."""
    unquoted = JSON_STRING_PATTERN.sub(b"", line)
    opening = unquoted.count(b"{") + unquoted.count(b"[")
    closing = unquoted.count(b"}") + unquoted.count(b"]")
    return opening - closing


def _check_prefix(text: bytes) -> None:
    """Raise EndpointListError unless the text can be the beginning of a JSON document."""
    try:
        json.loads(text)
    except json.JSONDecodeError as error:
        if error.pos < len(text.decode("utf-8").rstrip()):
            raise EndpointListError(f"invalid JSON: {error}") from error
    except (ValueError, RecursionError) as error:
        raise EndpointListError(f"invalid JSON: {error}") from error
