"""One gateway: connects its components, runs the scheduler, handles signals and shutdown."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from collections import Counter
from collections.abc import Callable

import structlog

from winchdyke.gateway.scheduler_loop import SchedulerLoop, monotonic_ms
from winchdyke.interface import EndpointListKind
from winchdyke.peer_limits.turn_budget import TurnBudget
from winchdyke.platform import configuration, protocol, sockets
from winchdyke.platform.client_connection import ClientConnection
from winchdyke.platform.client_connections import ClientConnections
from winchdyke.platform.client_idle_eviction import IdleEviction
from winchdyke.platform.client_listener import LISTEN_BACKLOG, ClientListener
from winchdyke.platform.client_memory import ClientMemory
from winchdyke.platform.discovery_client import DiscoveryClient
from winchdyke.platform.discovery_protocol import EndpointListError, EndpointListing, parse_endpoint_list
from winchdyke.platform.endpoint_directory import EndpointDirectory
from winchdyke.platform.maintenance import Maintenance, memory_mb
from winchdyke.platform.peer_memory import MemoryFullLog, PeerMemory
from winchdyke.platform.process_memory import own_memory_bytes
from winchdyke.platform.request_forwarding import RequestForwarder
from winchdyke.platform.shutdown_sequence import ShutdownSequence
from winchdyke.platform.upstream_pool import UpstreamPool
from winchdyke.platform.upstream_response import ResponseMemory

RESERVED_DESCRIPTORS = 24  # used by the standard streams, the event loop, the listener and discovery
MIN_SHARED_DESCRIPTORS = 32
CLIENT_DESCRIPTOR_FRACTION = 0.7  # clients' fraction of the shared descriptors; stores get the others
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0
# The platform regards a gateway as notified of everything that discovery's agent knows as soon as the gateway's
# process starts. The agent responds at once, so the gateway waits for its first response before it serves any
# client from the cached list of an earlier process. The wait is limited, because the agent sends nothing while
# discovery is down. If lists are polled, the gateway doesn't wait: the platform regards nothing as
# notified before it was requested.
MAX_DISCOVERY_WAIT_SECONDS = 1.0
MAX_RELOAD_ATTEMPTS = 5  # the file may be incomplete while it is being replaced
RELOAD_RETRY_SECONDS = 0.2


class PlatformGateway:
    """The components of one gateway: passes events to the scheduler and carries out its actions.

    ``process_bytes`` returns the memory that the process has in use; it is looked at before the gateway serves, once
    it has the cached endpoint list. Raises OSError if the listening socket can't be opened.
    """

    def __init__(
        self,
        environment: configuration.Environment,
        loop: asyncio.AbstractEventLoop,
        process_bytes: Callable[[], int],
    ) -> None:
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
        client_descriptors = int(descriptors * CLIENT_DESCRIPTOR_FRACTION)
        self.turn_budget = TurnBudget(loop.call_soon)
        store_descriptors = descriptors - client_descriptors
        self.memory = PeerMemory.of_machine(environment.limits.memory_mb, process_bytes(), store_descriptors)
        self.upstream_pool = self._make_upstream_pool(store_descriptors)
        self.endpoints = EndpointDirectory(self.scheduler_loop, self.upstream_pool, self.clock)
        self.forwarder = RequestForwarder(
            self.scheduler_loop, self.upstream_pool, self.endpoints, self.clock, self.memory.requests
        )
        cached = self._read_cached_list()
        self.endpoints.apply(cached, EndpointListKind.CACHED)
        self.scheduler_loop.process_events()
        self.memory.fit(process_bytes())
        max_clients = self.memory.max_clients(client_descriptors)
        listening_socket = sockets.open_listener(environment.listen_address, LISTEN_BACKLOG)
        self.clients = self._make_clients()
        self.upstream_pool.response_memory.make_room = self.clients.client_memory.evict_slow_reader
        self.idle_eviction = IdleEviction(self.clients)
        self.listener = ClientListener(listening_socket, self.clients, self.idle_eviction, max_clients)
        self.clients.on_connection_idle = self.idle_eviction.trim_idle
        self.clients.on_connection_closed = self.listener.resume
        self.discovery = DiscoveryClient(
            loop, environment.discovery_address, cached.version, self._on_endpoint_list, self.turn_budget
        )
        self._accept_after_first_discovery_response()
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
        """The numbers of accepted requests, of attempts by outcome and of final responses by reason."""
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
            self._make_response_memory(),
            self.turn_budget,
        )

    def _make_response_memory(self) -> ResponseMemory:
        memory = ResponseMemory(self.memory.max_response_body_bytes, self.memory.responses)
        reason = "the largest incomplete responses fail"
        full_log = MemoryFullLog("response_memory_full", self.memory.responses, self.clock, reason)
        memory.on_full = lambda: full_log.write(len(self.upstream_pool.connections))
        return memory

    def _make_clients(self) -> ClientConnections:
        parser = protocol.RequestParser(self.environment.settings, self.memory.max_request_body_bytes)
        clients = ClientConnections(
            self.loop, self.clock, parser, self._accept_request, self.memory, self.turn_budget
        )
        clients.client_memory = ClientMemory(clients, self.memory.requests)
        return clients

    def _accept_after_first_discovery_response(self) -> None:
        polls = self.environment.settings.polls_endpoint_list
        wait_seconds = 0.0 if polls else MAX_DISCOVERY_WAIT_SECONDS
        self.discovery.first_response.add_done_callback(lambda _: self.listener.set_accepting(True))
        self.loop.call_later(wait_seconds, self.listener.set_accepting, True)

    def _accept_request(
        self, client: ClientConnection, request: protocol.ParsedRequest, received_at_ms: float
    ) -> None:
        self.forwarder.accept(client, request, received_at_ms, self.shutdown.respond_by_ms)

    # Running the scheduler.

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            # The turn runs after the callbacks that are ready now, so that simultaneous events form one batch.
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
        """Return the endpoint list of an earlier process.

        It is empty if the cached list is invalid, since discovery sends a new list.
        """
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
        """Read the configuration again; an invalid one is logged and changes nothing.

        Only the discovery address can change without a restart. An invalid file is read up to ``attempts``
        times, since it may be incomplete while it is being replaced.
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
                "config_reload_partial", reason="changes to settings or the listen address need a restart"
            )
        self.log.info("config_reloaded", discovery=":".join(map(str, environment.discovery_address)))
        self.discovery.change_address(environment.discovery_address)

    def stop(self) -> None:
        """Start a graceful shutdown: serve while time permits, respond to every open request, then exit."""
        if self.shutdown.schedule is not None:
            return
        classes = self.environment.settings.classes
        longest_deadline_ms = max((each.deadline_ms for each in classes), default=0.0)
        self.shutdown.start(longest_deadline_ms)
        self.log.info("stopping", open_requests=self.clients.awaiting_count)
        self.shutdown.advance()

    async def run(self) -> None:
        """Serve until the shutdown has finished."""
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
    """Run a gateway, configured by the process's environment, until a shutdown has finished.

    ``early_signals`` lists the SIGHUP and SIGTERM signals received before the gateway existed; it handles
    them first. Raises ConfigurationError if the environment is invalid, OSError if the listening socket can't
    be opened.
    """
    loop = asyncio.get_running_loop()
    environment = configuration.read_environment(os.environ)
    gateway = PlatformGateway(environment, loop, own_memory_bytes)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    loop.add_signal_handler(signal.SIGTERM, gateway.stop)
    for number in early_signals:
        if number == signal.SIGHUP:
            gateway.reload()
        else:
            gateway.stop()
    await gateway.run()
