"""A cache of the addresses of host names, which the caller looks up in the background. Without I/O.

Sending a datagram to a host name makes the system look it up within the call, and a name server that does not answer blocks the
event loop for seconds. Names are therefore looked up in a background task, and datagrams are sent to known addresses only.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from dataclasses import dataclass, field

ADDRESS_TTL_MS = 30_000.0  # age at which an address is looked up again; the old one is used meanwhile
RETRY_DELAY_MS = 2_000.0  # delay before the next lookup after a failed one
MAX_QUEUED_DATAGRAMS = 4  # maximum datagrams queued for a name without an address; more are dropped
MAX_HOST_NAMES = 1024


@dataclass(frozen=True, slots=True)
class QueuedDatagram:
    """A datagram that waits for its host's address."""

    port: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Resolution:
    """The address to send to now ("" if the datagram was queued or dropped), and whether the caller has to start a lookup."""

    address: str
    needs_lookup: bool


@dataclass
class _HostName:
    address: str = ""
    next_lookup_ms: float = 0.0
    lookup_in_progress: bool = False
    queued: list[QueuedDatagram] = field(default_factory=list)


def is_ip_address(host: str) -> bool:
    """Returns whether a host is an IP address, with or without a scope."""
    try:
        ipaddress.ip_address(host.partition("%")[0])
    except ValueError:
        return False
    return True


class AddressResolver:
    """Known addresses by host name. Times are ms of the caller's clock."""

    def __init__(self) -> None:
        self._hosts: OrderedDict[str, _HostName] = OrderedDict()

    def resolve(self, host: str, port: str, data: bytes, now: float) -> Resolution:
        """Returns the address to send a datagram to; queues the datagram if the address is not known yet."""
        if is_ip_address(host):
            return Resolution(host, needs_lookup=False)
        name = self._hosts.setdefault(host, _HostName())
        self._hosts.move_to_end(host)
        while len(self._hosts) > MAX_HOST_NAMES:
            self._hosts.popitem(last=False)
        needs_lookup = not name.lookup_in_progress and now >= name.next_lookup_ms
        name.lookup_in_progress = name.lookup_in_progress or needs_lookup
        if not name.address and name.lookup_in_progress and len(name.queued) < MAX_QUEUED_DATAGRAMS:
            name.queued.append(QueuedDatagram(port, data))
        return Resolution(name.address, needs_lookup)

    def lookup_finished(self, host: str, address: str, now: float) -> list[QueuedDatagram]:
        """Stores the result of a lookup ("": it failed); returns the queued datagrams, to be sent now."""
        name = self._hosts.get(host)
        if name is None:
            return []
        queued = name.queued
        name.queued = []
        name.lookup_in_progress = False
        name.address = address or name.address  # after a failed lookup the last known address stays in use
        name.next_lookup_ms = now + (ADDRESS_TTL_MS if address else RETRY_DELAY_MS)
        return queued if name.address else []
