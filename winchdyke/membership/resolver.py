"""Which address a host's name has, looked up beside the loop: what is sent waits for no name server. Pure.

A datagram that is sent to a name makes the system look it up there and then, and a name server that does not answer holds the
whole process for seconds: its members, and each live request. Guards against that; it hurts where a name has just moved, by
``FRESH_MS`` at the most.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from dataclasses import dataclass, field

ADDRESS_TTL_MS = (
    30_000.0  # for which an address is taken as the name's; then it is looked up anew, and used meanwhile
)
RETRY_DELAY_MS = 2_000.0  # between lookups that fail
MAX_QUEUED_DATAGRAMS = 4  # datagrams that wait for a name's first address; more are lost, as on the way
MAX_HOST_NAMES = 1024  # names known at once: as many as members


@dataclass
class _Name:
    address: str = ""
    due: float = 0.0  # when to look it up again
    asked: bool = False
    held: list[tuple[str, bytes]] = field(default_factory=list)  # port and datagram


def is_ip_address(host: str) -> bool:
    """Whether a host is an address already."""
    try:
        ipaddress.ip_address(host.partition("%")[0])
    except ValueError:
        return False
    return True


class AddressResolver:
    """What is known of hosts' names. Times are ms of the caller's clock."""

    def __init__(self) -> None:
        self._hosts: OrderedDict[str, _Name] = OrderedDict()

    def resolve(self, host: str, port: str, data: bytes, now: float) -> tuple[str, bool]:
        """Where to send something now ("": it is held until the name is known, or lost), and whether to look the name up."""
        if is_ip_address(host):
            return host, False
        name = self._hosts.setdefault(host, _Name())
        self._hosts.move_to_end(host)
        while len(self._hosts) > MAX_HOST_NAMES:
            self._hosts.popitem(last=False)
        ask = not name.asked and now >= name.due
        name.asked = name.asked or ask
        if not name.address and name.asked and len(name.held) < MAX_QUEUED_DATAGRAMS:
            name.held.append((port, data))
        return name.address, ask

    def lookup_finished(self, host: str, address: str, now: float) -> list[tuple[str, bytes]]:
        """A lookup has ended ("": it failed); what was held for it goes now, or is lost."""
        name = self._hosts.get(host)
        if name is None:
            return []
        held, name.held, name.asked = name.held, [], False
        name.address = address or name.address  # no name server: the last one known goes on counting
        name.due = now + (ADDRESS_TTL_MS if address else RETRY_DELAY_MS)
        return held if name.address else []
