"""One gateway on real sockets: its parts put together, the scheduler's turns on the event loop, signals and the end."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from collections import Counter

import structlog

from winchdyke.gateway.scheduler_loop import SchedulerLoop, monotonic_ms
from winchdyke.interface import EndpointListKind
from winchdyke.platform import configuration, protocol, sockets
from winchdyke.platform.client_connection import ClientConnection
from winchdyke.platform.client_connections import ClientConnections
from winchdyke.platform.client_idle_eviction import IdleEviction
from winchdyke.platform.client_listener import LISTEN_BACKLOG, ClientListener
from winchdyke.platform.discovery_client import DiscoveryClient
from winchdyke.platform.discovery_protocol import EndpointListError, EndpointListing, parse_endpoint_list
from winchdyke.platform.endpoint_directory import EndpointDirectory
from winchdyke.platform.maintenance import Maintenance, memory_mb
from winchdyke.platform.request_forwarding import RequestForwarder
from winchdyke.platform.shutdown_sequence import ShutdownSequence
from winchdyke.platform.upstream_pool import UpstreamPool

RESERVED_DESCRIPTORS = 24  # for the standard streams, the event loop, the listener and discovery
MIN_SHARED_DESCRIPTORS = 32
CLIENT_DESCRIPTOR_FRACTION = 0.7  # of the other descriptors; what is left is for stores
# Some clients exceed the protocol's 64 KiB; the machine's memory limits what is taken.
MAX_BODY_MEMORY_FRACTION = 1 / 256  # for one request body
LARGE_BODIES_MEMORY_FRACTION = 1 / 16  # for all bodies over the protocol's limit
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0
# What discovery's agent holds counts as notified from a process's first moment, and it answers at once: nobody is served by the cached
# list of an earlier process before that. While discovery is down the agent says nothing. Where lists are polled, nothing counts as
# notified before it was requested, and there is no wait.
MAX_DISCOVERY_WAIT_SECONDS = 1.0
MAX_RELOAD_ATTEMPTS = 5  # a file that is being replaced is read again
RELOAD_RETRY_SECONDS = 0.2


class PlatformGateway:
    """All parts of one gateway. It decides nothing: events go to the scheduler, its actions are carried out.

    OSError where the listening socket can't be opened.
    """

    def __init__(self, environment: configuration.Environment, loop: asyncio.AbstractEventLoop) -> None:
        self.environment = environment
        self.loop = loop
        self.clock = monotonic_ms
        self.log = structlog.get_logger("gateway")
        self._turn_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = float("inf")
        self.scheduler_loop = SchedulerLoop(environment.settings, environment.seed)
        self.scheduler_loop.on_event_posted = self._schedule_turn
        descriptors = max(MIN_SHARED_DESCRIPTORS, environment.limits.max_descriptors - RESERVED_DESCRIPTORS)
        max_clients = int(descriptors * CLIENT_DESCRIPTOR_FRACTION)
        self.upstream_pool = self._make_upstream_pool(descriptors - max_clients)
        self.endpoints = EndpointDirectory(self.scheduler_loop, self.upstream_pool, self.clock)
        self.forwarder = RequestForwarder(self.scheduler_loop, self.upstream_pool, self.endpoints, self.clock)
        cached = self._read_cached_list()
        self.endpoints.apply(cached, EndpointListKind.CACHED)
        self.scheduler_loop.process_events()
        listening_socket = sockets.open_listener(environment.listen_address, LISTEN_BACKLOG)
        self.clients = self._make_clients()
        self.idle_eviction = IdleEviction(self.clients)
        self.listener = ClientListener(listening_socket, self.clients, self.idle_eviction, max_clients)
        self.clients.on_connection_idle = self.idle_eviction.trim_idle
        self.clients.on_connection_closed = self.listener.resume
        self.discovery = DiscoveryClient(
            loop, environment.discovery_address, cached.version, self._on_endpoint_list
        )
        self._accept_once_discovery_spoke()
        self.shutdown = ShutdownSequence(
            loop, self.clock, self.scheduler_loop, self.clients, self.idle_eviction, self.listener
        )
        self._maintenance = Maintenance(
            loop,
            self.clock,
            self.scheduler_loop,
            self.clients,
            self.upstream_pool,
            self.endpoints,
            self.forwarder,
        )
        self._maintenance.start()
        self._set_timer()

    @property
    def counts(self) -> Counter[str]:
        """How many requests were accepted, attempts ended how, and final responses given by which reason."""
        return self.forwarder.counts

    def _make_upstream_pool(self, max_connections: int) -> UpstreamPool:
        environment = self.environment
        return UpstreamPool(
            self.loop,
            self.clock,
            environment.settings.connect_timeout_ms or DEFAULT_CONNECT_TIMEOUT_MS,
            environment.store_idle_timeout_ms,
            max_connections,
            environment.load_report_fields,
            environment.limits.memory_mb,
        )

    def _make_clients(self) -> ClientConnections:
        memory_bytes = self.environment.limits.memory_mb * 2**20
        max_body_bytes = max(protocol.MAX_BODY_BYTES, int(memory_bytes * MAX_BODY_MEMORY_FRACTION))
        parser = protocol.RequestParser(self.environment.settings, max_body_bytes)
        return ClientConnections(
            self.loop,
            self.clock,
            parser,
            self._accept_request,
            memory_bytes * LARGE_BODIES_MEMORY_FRACTION,
        )

    def _accept_once_discovery_spoke(self) -> None:
        polls = self.environment.settings.polls_endpoint_list
        wait_seconds = 0.0 if polls else MAX_DISCOVERY_WAIT_SECONDS
        self.discovery.first_response.add_done_callback(lambda _: self.listener.set_accepting(True))
        self.loop.call_later(wait_seconds, self.listener.set_accepting, True)

    def _accept_request(
        self, client: ClientConnection, request: protocol.ParsedRequest, received_at_ms: float
    ) -> None:
        self.forwarder.accept(client, request, received_at_ms, self.shutdown.answer_by_ms)

    # The scheduler's turns.

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            # Behind all that is ready now, so that events which came together are handed over together.
            self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._turn_scheduled = False
        self.scheduler_loop.process_events()
        self._set_timer()

    def _set_timer(self) -> None:
        due_at_ms = self.scheduler_loop.next_timer_at_ms
        if due_at_ms is None or due_at_ms >= self._timer_at_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at_ms = due_at_ms
        self._timer = self.loop.call_at(due_at_ms / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._timer_at_ms = float("inf")
        self._schedule_turn()

    # The endpoint list.

    def _read_cached_list(self) -> EndpointListing:
        """The list of an earlier process; an empty one where it can't be read, since discovery sends it anew."""
        empty = EndpointListing(0, True, ())
        cached = self.environment.cached_endpoint_list
        if not cached:
            return empty
        try:
            return parse_endpoint_list(cached)
        except EndpointListError as error:
            config_path = str(self.environment.config_path)
            self.log.warning("cached_endpoints_invalid", path=config_path, error=str(error))
            return empty

    def _on_endpoint_list(self, listing: EndpointListing) -> None:
        self.endpoints.apply(listing, EndpointListKind.FULL if listing.full else EndpointListKind.CHANGES)

    # Signals.

    def reload(self, attempts: int = MAX_RELOAD_ATTEMPTS) -> None:
        """Read the configuration again; one that can't be used is reported, and changes nothing.

        Only discovery's address changes without a restart. ``attempts``: how often the file is read until it can be used.
        """
        try:
            environment = configuration.read_environment(os.environ)
        except configuration.ConfigurationError as error:
            if attempts > 1:
                self.loop.call_later(RELOAD_RETRY_SECONDS, self.reload, attempts - 1)
            else:
                self.log.error("config_reload_failed", error=str(error))
            return
        current = self.environment
        if environment.settings != current.settings or environment.listen_address != current.listen_address:
            self.log.warning(
                "config_reload_partial", reason="settings and the listen address change with a restart"
            )
        self.log.info("config_reloaded", discovery=":".join(map(str, environment.discovery_address)))
        self.discovery.change_address(environment.discovery_address)

    def stop(self) -> None:
        """Shut down gracefully: serve on while there is time, answer all that was accepted, then end."""
        if self.shutdown.schedule is not None:
            return
        classes = self.environment.settings.classes
        longest_deadline_ms = max((each.deadline_ms for each in classes), default=0.0)
        self.shutdown.start(longest_deadline_ms)
        self.log.info("stopping", open_requests=self.clients.awaiting_count)
        self.shutdown.advance()

    async def run(self) -> None:
        """Serve until a shutdown has finished."""
        gc.collect()
        gc.freeze()
        self.log.info(
            "ready",
            name=self.environment.name,
            endpoints=len(self.endpoints.addresses),
            memory_mb=memory_mb(),
        )
        await self.shutdown.finished
        self.discovery.stop()
        self.upstream_pool.close_idle()
        self.log.info("stopped", **self.counts)


async def serve(early_signals: list[int]) -> None:
    """Run a gateway by the process's environment until a shutdown has finished.

    ``early_signals``: SIGHUP and SIGTERM received before, which the gateway then handles. ConfigurationError where the environment
    can't be used, OSError where the listening socket can't be opened.
    """
    loop = asyncio.get_running_loop()
    gateway = PlatformGateway(configuration.read_environment(os.environ), loop)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    loop.add_signal_handler(signal.SIGTERM, gateway.stop)
    for number in early_signals:
        if number == signal.SIGHUP:
            gateway.reload()
        else:
            gateway.stop()
    await gateway.run()
