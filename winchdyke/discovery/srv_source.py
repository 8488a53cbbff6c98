"""A source of endpoint lists: DNS SRV records (RFC 2782), one name per shard."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from winchdyke.discovery.list_protocol import ReceivedList
from winchdyke.discovery.polling import jittered_backoff_seconds
from winchdyke.discovery.records import ListedEndpoint
from winchdyke.discovery.sources import OnFailure, OnList
from winchdyke.interface import EndpointListKind, EndpointStatus

if TYPE_CHECKING:
    import dns.asyncresolver

QUERY_INTERVAL_SECONDS = 5.0
MIN_JITTER_FACTOR = 0.5
QUERY_TIMEOUT_SECONDS = 2.0


class SrvSource:
    """Queries ``SHARD.DOMAIN`` for each shard; the address and port of a target are an endpoint.

    Records have no start time, so only an endpoint's own uptime shows whether it is warming up. A name without records
    is a shard without endpoints.
    """

    name = "srv"

    def __init__(self, domain: str, server: tuple[str, int], shards: int) -> None:
        """``server``: the DNS server's address and port; ``shards``: the number of shards."""
        self._domain = domain
        self._server = server
        self._shards = shards
        self._rng = random.Random()

    def request_poll(self) -> None:
        """Does nothing: the records are queried at regular intervals."""

    async def run(self, on_list: OnList, on_failure: OnFailure) -> None:
        """Queries until cancelled."""
        from dns.exception import DNSException

        failures = 0
        while True:
            try:
                entries = await self._query_all()
            except (DNSException, OSError, ValueError) as error:
                failures += 1
                await on_failure(self.name, f"{self._domain}: {str(error) or type(error).__name__}")
                await anyio.sleep(jittered_backoff_seconds(failures, self._rng))
                continue
            failures = 0
            await on_list(self.name, ReceivedList("", EndpointListKind.FULL, entries, 0))
            await anyio.sleep(QUERY_INTERVAL_SECONDS * (MIN_JITTER_FACTOR + self._rng.random()))

    async def _query_all(self) -> tuple[ListedEndpoint, ...]:
        import dns.asyncresolver

        host, port = self._server
        resolver = dns.asyncresolver.Resolver(configure=False)
        resolver.nameservers = [host]
        resolver.port = port
        resolver.lifetime = QUERY_TIMEOUT_SECONDS
        entries: list[ListedEndpoint] = []
        for shard in range(self._shards):
            entries += await self._query_shard(resolver, shard)
        return tuple(entries)

    async def _query_shard(self, resolver: dns.asyncresolver.Resolver, shard: int) -> list[ListedEndpoint]:
        import dns.resolver

        try:
            records = await resolver.resolve(f"{shard}.{self._domain}", "SRV", search=False)
        except (dns.resolver.NXDOMAIN, dns.resolver.NoAnswer):
            return []
        entries = []
        for record in sorted(records, key=lambda each: (each.priority, -each.weight)):
            address = str(record.target).rstrip(".")
            if not _is_address(address):
                addresses = await resolver.resolve(record.target, "A", search=False)
                address = str(next(iter(addresses)))
            entries.append(ListedEndpoint(f"{address}:{record.port}", EndpointStatus.READY, shard))
        return entries


def _is_address(text: str) -> bool:
    return all(octet.isdigit() for octet in text.split("."))
