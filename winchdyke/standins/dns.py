"""A stand-in DNS server (RFC 1035, SRV by RFC 2782) over UDP: answers from a table, or not at all."""

from __future__ import annotations

import anyio
import dns.message
import dns.rcode
import dns.rrset
from anyio.abc import TaskGroup


class DnsServer:
    """``records`` maps a name to its SRV records as (priority, weight, port, target); ``silent`` says nothing."""

    def __init__(self) -> None:
        self.port, self.silent, self.query_count = 0, False, 0
        self.records: dict[str, list[tuple[int, int, int, str]]] = {}

    async def start(self, group: TaskGroup) -> None:
        """Listen on loopback at a port the system gives."""
        socket = await anyio.create_udp_socket(local_host="127.0.0.1")
        self.port = int(socket.extra(anyio.abc.SocketAttribute.local_port))

        async def run() -> None:
            async with socket:
                async for data, where in socket:
                    self.query_count += 1
                    if not self.silent:
                        await socket.sendto(self._answer(data), *where)

        group.start_soon(run)

    def _answer(self, data: bytes) -> bytes:
        asked = dns.message.from_wire(data)
        answer = dns.message.make_response(asked)
        name = asked.question[0].name
        found = self.records.get(str(name).rstrip("."))
        if found is None:
            answer.set_rcode(dns.rcode.NXDOMAIN)
        else:
            texts = [f"{priority} {weight} {port} {target}" for priority, weight, port, target in found]
            answer.answer.append(dns.rrset.from_text(name, 5, "IN", "SRV", *texts))
        return answer.to_wire()
