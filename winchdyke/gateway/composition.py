"""Creates the components of a gateway from its configuration."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

from winchdyke import interface as api
from winchdyke.config import Config
from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.file_source import FileSource
from winchdyke.discovery.follower import EndpointFollower
from winchdyke.discovery.list_service import ListServiceSource
from winchdyke.discovery.sources import EndpointSource
from winchdyke.discovery.srv_source import SrvSource
from winchdyke.gateway.errors import StartError
from winchdyke.gateway.pool import ConnectionPool
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.gateway.service import Service
from winchdyke.gateway.tls import CertificateReloader, TlsError, load_store_context
from winchdyke.gateway.writeback import WriteBack, WriteBackError
from winchdyke.latency_attribution.ledger_writer import LedgerBounds, LedgerWriter
from winchdyke.latency_attribution.recorder import Recorder


def make_pool(config: Config, clock: Callable[[], float]) -> ConnectionPool:
    """Create the pool of connections to stores."""
    limits = config.limits
    return ConnectionPool(limits.connect_timeout, limits.pool_idle, limits.pool_per_node, clock)


def load_certificates(config: Config, pool: ConnectionPool) -> CertificateReloader | None:
    """Load the certificates of listeners, and make the pool verify stores by the configured issuers.

    Returns:
        The certificates of listeners; None: none are configured.

    Raises:
        StartError: A file can't be used.
    """
    try:
        certificates = CertificateReloader(config.tls) if config.tls.certificate else None
        if config.tls.stores:
            context = load_store_context(config.tls.stores)
            pool.tls_context = lambda: context
    except TlsError as error:
        raise StartError(str(error)) from error
    return certificates


def open_ledger(config: Config) -> LedgerWriter | None:
    """Open the ledger of latencies; None: no ledger is configured.

    Raises:
        StartError: Its folder can't be written to.
    """
    accounts = config.accounts
    if not accounts.folder:
        return None
    bounds = LedgerBounds(
        max_segment_bytes=accounts.segment_bytes,
        max_segment_seconds=accounts.segment_time / 1000,
        max_total_bytes=accounts.total_bytes,
        sync_interval_seconds=accounts.sync / 1000,
        detail_retention_seconds=accounts.keep_accounts / 1000,
    )
    try:
        return LedgerWriter(Path(accounts.folder), bounds)
    except OSError as error:
        raise StartError(
            f"can't write to {accounts.folder}: {error.strerror}; see accounts, folder"
        ) from error


def make_recorder(
    config: Config, ledger: LedgerWriter | None, scheduler_loop: SchedulerLoop
) -> Recorder | None:
    """Create the recorder of latencies, and let the scheduler loop observe queueing; None without a ledger."""
    if ledger is None:
        return None
    scheduler_loop.start_observing()
    return Recorder(config.gateway.name, ledger, lambda: scheduler_loop.observer)


def open_write_back(config: Config, clock: Callable[[], float], service: Service) -> WriteBack | None:
    """Open the write-back log, and let the service acknowledge writes from it; None: no log is configured.

    Raises:
        StartError: The log can't be used.
    """
    if not config.writeback.folder:
        return None
    try:
        write_back = WriteBack(config, clock, service.execute_internal)
    except WriteBackError as error:
        raise StartError(str(error)) from error
    service.acknowledge_writes_from(write_back)
    return write_back


def make_endpoint_follower(
    config: Config,
    clock: Callable[[], float],
    on_endpoint_list: Callable[[api.EndpointList], Awaitable[None]],
    health_check: Callable[[str], Awaitable[bool]],
) -> EndpointFollower:
    """Create the follower of the endpoint list, with the configured sources."""
    discovery = config.nodes
    name = config.gateway.name
    sources: list[EndpointSource] = [ListServiceSource(discovery, name, clock)]
    if discovery.file:
        sources.append(FileSource(Path(discovery.file), clock))
    if discovery.srv:
        shard_count = 1 + max((shard for rule in config.volumes for shard in rule.shards), default=0)
        host, _, port = discovery.dns.rpartition(":")
        sources.append(SrvSource(discovery.srv, (host, int(port)), shard_count))
    bounds = DiscoveryBounds(
        warmup_ms=config.rules.warm_after,
        max_vanished_fraction=discovery.vanish_share,
        omission_grace_ms=discovery.hold,
    )
    cache_directory = Path(discovery.keep) if discovery.keep else None
    return EndpointFollower(bounds, sources, name, clock, on_endpoint_list, health_check, cache_directory)
