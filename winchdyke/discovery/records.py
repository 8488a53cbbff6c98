"""The records of endpoint discovery: list entries, evidence from endpoints, and the state of each endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from winchdyke.interface import EndpointStatus

NEVER_MS = -1e18  # earlier than any clock value


class DiscoveryStatus(StrEnum):
    """The status of an endpoint in the endpoint view; the values are stored in the cache and in the history.

    Attributes:
        UNCONFIRMED: Known from an old list, or unreachable and not listed; checked before it is used.
        USABLE: Named by a healthy source, or it has responded under the expected identity.
        WARMING_UP: Usable, but it started recently or its start time is not known.
        DRAINING: A list or the endpoint announced a drain; it ends with a later start or a list that withdraws it.
        REMOVED: A list omitted it, or it does not respond and no healthy list names it.
        ADDRESS_REUSED: Another store responds at its address; no request goes there.
    """

    UNCONFIRMED = "doubtful"
    USABLE = "usable"
    WARMING_UP = "cold"
    DRAINING = "draining"
    REMOVED = "gone"
    ADDRESS_REUSED = "reused"


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One entry of a source's list. ``started_at_ms`` is on the gateway's monotonic clock, 0 for long ago."""

    name: str
    status: EndpointStatus
    shard: int
    zone: str = ""
    started_at_ms: float = 0.0
    identity: str = ""


@dataclass(frozen=True, slots=True)
class EndpointEvidence:
    """A store's report about itself: identity, an id of its current start, uptime, and whether it is draining."""

    identity: str = ""
    boot_id: str = ""
    uptime_ms: float | None = None
    draining: bool = False


class CachedEndpoint(msgspec.Struct):
    """The state of an endpoint. Explicit names are the stored ones.

    Attributes:
        reason: The reason for its status, for operators.
        status_since_ms: When its status was set.
        started_at_ms: Its start on the gateway's clock, 0 for long ago.
        start_time_known: Whether anything reported its start time.
        uptime_reported: Whether the endpoint itself reported the uptime of its present start to this gateway.
        drain_announced: Whether a list or the endpoint announced a drain.
        listed: Whether the authoritative source names it.
        confirmed_by: The source of its last confirmation.
        confirmed_unix_ms: The wall time of its last confirmation.
        last_response_at_ms: When it last responded.
        omitted_since_ms: When an untrusted list omitted it; it stays in service meanwhile.
        failed_attempts: Failed connection attempts since its last response.
        next_attempt_at_ms: The earliest time of its next health check.
    """

    name: str
    shard: int
    zone: str = ""
    status: DiscoveryStatus = msgspec.field(default=DiscoveryStatus.UNCONFIRMED, name="state")
    reason: str = msgspec.field(default="", name="why")
    status_since_ms: float = msgspec.field(default=0.0, name="since")
    identity: str = ""
    boot_id: str = msgspec.field(default="", name="boot")
    started_at_ms: float = msgspec.field(default=0.0, name="started")
    start_time_known: bool = msgspec.field(default=False, name="warm_known")
    uptime_reported: bool = msgspec.field(default=False, name="aged")
    drain_announced: bool = msgspec.field(default=False, name="drained")
    listed: bool = False
    confirmed_by: str = msgspec.field(default="", name="by")
    confirmed_unix_ms: float = msgspec.field(default=0.0, name="confirmed_unix")
    last_response_at_ms: float = msgspec.field(default=NEVER_MS, name="answered")
    omitted_since_ms: float | None = msgspec.field(default=None, name="held_since")
    failed_attempts: int = msgspec.field(default=0, name="tries")
    next_attempt_at_ms: float = msgspec.field(default=0.0, name="next_try")

    @property
    def is_in_service(self) -> bool:
        """Whether requests may be sent to it."""
        return self.status in (DiscoveryStatus.USABLE, DiscoveryStatus.WARMING_UP)
