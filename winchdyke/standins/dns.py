"""An emulated DNS server over UDP (RFC 1035) that answers SRV queries (RFC 2782) from a table."""

from __future__ import annotations

import anyio
import dns.message
import dns.rcode
import dns.rrset
from anyio.abc import TaskGroup


class DnsServer:
    """An emulated DNS server on the loopback interface.

    Attributes:
        port: The UDP port; 0 before the start.
        silent: Whether queries are left unanswered.
        query_count: Number of queries received.
        records: SRV records by name, as (priority, weight, port, target); other names get NXDOMAIN.
    """

    def __init__(self) -> None:
        self.port, self.silent, self.query_count = 0, False, 0
        self.records: dict[str, list[tuple[int, int, int, str]]] = {}

    async def start(self, group: TaskGroup) -> None:
        """Listen on a port chosen by the system."""
        socket = await anyio.create_udp_socket(local_host="127.0.0.1")
        self.port = int(socket.extra(anyio.abc.SocketAttribute.local_port))

        async def run() -> None:
            async with socket:
                async for data, address in socket:
                    self.query_count += 1
                    if not self.silent:
                        await socket.sendto(self._response(data), *address)

        group.start_soon(run)

    def _response(self, data: bytes) -> bytes:
        query = dns.message.from_wire(data)
        response = dns.message.make_response(query)
        name = query.question[0].name
        records = self.records.get(str(name).rstrip("."))
        if records is None:
            response.set_rcode(dns.rcode.NXDOMAIN)
        else:
            texts = [f"{priority} {weight} {port} {target}" for priority, weight, port, target in records]
            response.answer.append(dns.rrset.from_text(name, 5, "IN", "SRV", *texts))
        return response.to_wire()
