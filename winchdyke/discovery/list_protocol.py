"""Parses the list service's JSON answers into endpoint lists. Without I/O; ``docs/node-list.md`` has the format."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

import msgspec

from winchdyke.discovery.errors import EndpointListError
from winchdyke.discovery.records import ListedEndpoint
from winchdyke.interface import EndpointListKind, EndpointStatus

STATUS_BY_JSON_STATE = {
    "ready": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.REMOVED,
}
KIND_BY_JSON_FORM = {
    "full": EndpointListKind.FULL,
    "changes": EndpointListKind.CHANGES,
    "cached": EndpointListKind.CACHED,
}
MAX_PORT = 65535
EARLIEST_START_MS = 1e-3  # the earliest time of a listed start, since 0 stands for a start long ago


class EndpointJson(msgspec.Struct):
    """One endpoint as JSON; ``started_unix_ms`` is absent if it started long ago."""

    name: str
    state: Literal["ready", "draining", "gone"]
    shard: int
    zone: str = ""
    started_unix_ms: float = 0.0
    identity: str = ""


class EndpointListJson(msgspec.Struct):
    """A list, or its changes since the previous token, as JSON. ``version`` grows with each change; 0 if there is none."""

    token: str
    form: Literal["full", "changes", "cached"]
    nodes: list[EndpointJson]
    version: int = 0


@dataclass(frozen=True, slots=True)
class ReceivedList:
    """A source's list or changes to it: token for the next call, kind, entries, and the list's version."""

    resume_token: str
    kind: EndpointListKind
    entries: tuple[ListedEndpoint, ...]
    version: int


class ListParser:
    """Parses one source's lists, with start times on the gateway's clock.

    The wall time of a start is converted to monotonic time only once: if each list converted it again, drift between the
    clocks would look like restarts.
    """

    def __init__(self) -> None:
        self._started_at_ms: dict[tuple[str, float], float] = {}

    def parse(self, data: bytes, now_ms: float, unix_ms: float) -> ReceivedList:
        """Returns the list in an answer.

        Raises:
            EndpointListError: The bytes are not a valid list.
        """
        try:
            message = msgspec.json.decode(data, type=EndpointListJson)
        except msgspec.DecodeError as error:
            raise EndpointListError(f"the list can't be read: {error}") from error
        _check_names([entry.name for entry in message.nodes])
        entries = tuple(self._entry(entry, now_ms, unix_ms) for entry in message.nodes)
        if message.form != "changes":
            self._retain_starts({(entry.name, entry.started_unix_ms) for entry in message.nodes})
        return ReceivedList(message.token, KIND_BY_JSON_FORM[message.form], entries, message.version)

    def _retain_starts(self, starts: set[tuple[str, float]]) -> None:
        self._started_at_ms = {key: at_ms for key, at_ms in self._started_at_ms.items() if key in starts}

    def _entry(self, entry: EndpointJson, now_ms: float, unix_ms: float) -> ListedEndpoint:
        started_at_ms = 0.0
        if entry.started_unix_ms > 0:
            # A start in the future comes from a wrong clock and is treated as a start now.
            converted_ms = min(now_ms, now_ms - (unix_ms - entry.started_unix_ms))
            start = (entry.name, entry.started_unix_ms)
            started_at_ms = self._started_at_ms.setdefault(start, max(converted_ms, EARLIEST_START_MS))
        status = STATUS_BY_JSON_STATE[entry.state]
        return ListedEndpoint(entry.name, status, entry.shard, entry.zone, started_at_ms, entry.identity)


def _check_names(names: list[str]) -> None:
    if len(set(names)) != len(names):
        raise EndpointListError("the list contains a node more than once")
    for name in names:
        host, _, port = name.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise EndpointListError(f"the list contains {name!r}, which is not HOST:PORT")
