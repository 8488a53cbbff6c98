"""The list service's answers: JSON in, node lists out. Pure; the page is ``docs/node-list.md``."""

from __future__ import annotations

from typing import Literal, NamedTuple

import msgspec

from winchdyke import interface as api
from winchdyke.discovery.endpoint_view import ListedEndpoint

STATES = {
    "ready": api.EndpointStatus.READY,
    "draining": api.EndpointStatus.DRAINING,
    "gone": api.EndpointStatus.REMOVED,
}
FORMS = {
    "full": api.EndpointListKind.FULL,
    "changes": api.EndpointListKind.CHANGES,
    "cached": api.EndpointListKind.CACHED,
}


class EndpointListError(Exception):
    """An answer of the list service that can't be used; says what is wrong."""


class EndpointJson(msgspec.Struct):
    """One node; ``started_unix_ms`` is absent where it has been up for long."""

    name: str
    state: Literal["ready", "draining", "gone"]
    shard: int
    zone: str = ""
    started_unix_ms: float = 0.0
    identity: str = ""


class EndpointListJson(msgspec.Struct):
    """A list, or what changed since ``token``'s predecessor."""

    token: str
    form: Literal["full", "changes", "cached"]
    nodes: list[EndpointJson]
    version: int = 0  # grows with every change; 0 where the service keeps none


class ReceivedList(NamedTuple):
    """What a source told: the token for the next call, the form, the entries, and the list's version."""

    resume_token: str
    kind: api.EndpointListKind
    entries: tuple[ListedEndpoint, ...]
    version: int


class ListParser:
    """Turns listings into events on the gateway's clock.

    A start's wall time is turned into monotonic time once and kept: turned anew each time, the clocks' drift would
    make every list look like a restart.
    """

    def __init__(self) -> None:
        self._started: dict[tuple[str, float], float] = {}

    def parse(self, data: bytes, now_ms: float, unix_ms: float) -> ReceivedList:
        """What a listing tells. ListError where the bytes are no listing."""
        try:
            listing = msgspec.json.decode(data, type=EndpointListJson)
        except msgspec.DecodeError as error:
            raise EndpointListError(f"the list can't be read: {error}") from error
        names = [entry.name for entry in listing.nodes]
        if len(set(names)) != len(names):
            raise EndpointListError("the list names a node twice")
        for entry in listing.nodes:
            host, _, port = entry.name.rpartition(":")
            if not host or not port.isdigit() or not 0 < int(port) < 65536:
                raise EndpointListError(f"the list names {entry.name!r}, which is not HOST:PORT")
        nodes = tuple(self._node(entry, now_ms, unix_ms) for entry in listing.nodes)
        if listing.form != "changes":
            kept = {(entry.name, entry.started_unix_ms) for entry in listing.nodes}
            self._started = {key: at for key, at in self._started.items() if key in kept}
        return ReceivedList(listing.token, FORMS[listing.form], nodes, listing.version)

    def _node(self, entry: EndpointJson, now_ms: float, unix_ms: float) -> ListedEndpoint:
        started = 0.0
        if entry.started_unix_ms > 0:
            # A start in the future is a clock that is off: it counts as now.
            at = min(now_ms, now_ms - (unix_ms - entry.started_unix_ms))
            started = self._started.setdefault((entry.name, entry.started_unix_ms), max(at, 1e-3))
        return ListedEndpoint(
            entry.name, STATES[entry.state], entry.shard, entry.zone, started, entry.identity
        )
