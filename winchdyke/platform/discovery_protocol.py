"""Discovery's messages: endpoint lists and the objects of a watch. Pure; every field is checked."""

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
MAX_UNIX_MS = 1e15  # some 30,000 years
MAX_LIST_BYTES = 4 * 1024 * 1024  # of a list, or of one object of a watch, buffered until it is complete
JSON_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"')
STATUS_BY_WIRE_NAME = {
    "in_service": EndpointStatus.READY,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.REMOVED,
}


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """A store of the list; ``started_at_unix_ms`` is 0 where it started long ago."""

    id: str
    address: str
    state: EndpointStatus
    shard: int
    zone: str
    started_at_unix_ms: float


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """A full list, or the entries that changed up to a version."""

    version: int
    full: bool
    entries: tuple[EndpointEntry, ...]


class EndpointListError(Exception):
    """A message of discovery that can't be used; says which entry or field is wrong."""


def parse_endpoint_list(data: bytes | dict[str, Any]) -> EndpointListing:
    """A list, or an object of a watch, as bytes or as decoded JSON. EndpointListError where it can't be used."""
    info = _parse_json(data) if isinstance(data, bytes) else data
    if not isinstance(info, dict):
        raise EndpointListError("no object")
    version = info.get("version")
    rows = info.get("servers")
    if isinstance(version, bool) or not isinstance(version, int) or not isinstance(rows, list):
        raise EndpointListError("'version' or 'servers' is missing")
    return EndpointListing(version, info.get("full") is True, tuple(_parse_entry(row) for row in rows))


def _parse_json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise EndpointListError(f"no JSON: {error}") from error


def _parse_entry(row: Any) -> EndpointEntry:
    if not isinstance(row, dict):
        raise EndpointListError("an entry is no object")
    name = row.get("id")
    address = row.get("addr")
    state = row.get("state")
    if (
        not isinstance(name, str)
        or not name
        or not isinstance(address, str)
        or state not in STATUS_BY_WIRE_NAME
    ):
        raise EndpointListError(f"an entry can't be used: id {name!r}, addr {address!r}, state {state!r}")
    # A host name would block the event loop while it is looked up, and some texts raise other errors than OSError.
    if not ADDRESS_PATTERN.fullmatch(address) or not 0 < int(address.rpartition(":")[2]) <= MAX_PORT:
        raise EndpointListError(f"{name}: addr is {address!r}, which is not an IPv4 address and a port")
    shard = row.get("cell")
    if isinstance(shard, bool) or not isinstance(shard, int):
        raise EndpointListError(f"{name}: cell is {shard!r}, which is no whole number")
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
        raise EndpointListError(f"{name}: started_ms is no time")
    return max(0.0, float(started_ms))


class WatchParser:
    """Splits a watch into its objects, each on one line or indented over several.

    An object that never becomes complete must not swallow what follows it: an incomplete one is checked at its first line, and again
    each time its size has doubled, for whether it can still become JSON; the empty line that a watch sends while nothing changes
    ends it too.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned_bytes = 0  # of the buffer, up to the last line end
        self._depth = 0  # of open brackets
        self._next_check_at = 0  # size in bytes

    def feed(self, data: bytes | bytearray) -> list[EndpointListing]:
        """The lists that have become complete. EndpointListError where something can't be read."""
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
            raise EndpointListError("an object has no end")
        return listings

    def _check_nothing_open(self) -> None:
        if self._depth:
            raise EndpointListError("an object broke off")

    def _start_next_object(self) -> None:
        del self._buffer[: self._scanned_bytes]
        self._scanned_bytes = 0
        self._depth = 0
        self._next_check_at = 0


def _bracket_balance(line: bytes) -> int:
    """Opening less closing brackets outside strings."""
    unquoted = JSON_STRING_PATTERN.sub(b"", line)
    opening = unquoted.count(b"{") + unquoted.count(b"[")
    closing = unquoted.count(b"}") + unquoted.count(b"]")
    return opening - closing


def _check_prefix(text: bytes) -> None:
    """EndpointListError where no JSON begins with the text."""
    try:
        json.loads(text)
    except json.JSONDecodeError as error:
        if error.pos < len(text.decode("utf-8").rstrip()):
            raise EndpointListError(f"no JSON: {error}") from error
    except (ValueError, RecursionError) as error:
        raise EndpointListError(f"no JSON: {error}") from error
