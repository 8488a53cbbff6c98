"""The daemon of one gateway, from start to shutdown: its components, their tasks, and signal handling."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import anyio.to_thread
import structlog
from anyio.abc import SocketAttribute, SocketListener, TaskGroup

from winchdyke import interface as api
from winchdyke.admin import listeners as admin_listeners
from winchdyke.admin.server import AdminServer
from winchdyke.config import Config
from winchdyke.config_rollout.change_log import ChangeLogError
from winchdyke.config_rollout.controller import RolloutController
from winchdyke.config_rollout.cutover import changed_plans
from winchdyke.config_rollout.swap import PreparedSwap
from winchdyke.discovery.records import EndpointEvidence
from winchdyke.discovery.seeds import GatewaySeeds
from winchdyke.gateway import composition
from winchdyke.gateway.config_snapshot import ConfigSnapshot
from winchdyke.gateway.errors import StartError
from winchdyke.gateway.listeners import (
    AdminListeners,
    ClientListeners,
    ListenerSpec,
    OpenListener,
    open_listeners,
)
from winchdyke.gateway.pool import ConnectError, Connection
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.gateway.service import Service
from winchdyke.http1 import EndOfBody
from winchdyke.membership.agent import MembershipAgent
from winchdyke.membership.errors import MembershipError
from winchdyke.object_api import store_protocol
from winchdyke.s3.service import S3Service

__all__ = ["Gateway", "StartError", "serve"]

# How long a shutdown leaves idle connections open, because a request may be in transit on one of them.
LAST_REQUEST_SECONDS = 0.1
SHUTDOWN_MARGIN_SECONDS = 1.0  # added to the longest deadline
SHUTDOWN_POLL_SECONDS = 0.01
SWEEP_INTERVAL_SECONDS = 0.1
QUEUE_REPORT_INTERVAL_MS = 500.0
# The interpreter's switch interval: how long a busy thread can block the event loop. The default of 5 ms would delay each
# step of each request.
THREAD_SWITCH_SECONDS = 0.0002


class Gateway:
    """The daemon of one gateway.

    Attributes:
        config: The configuration at the start.
        scheduler_loop: Runs the scheduler.
        pool: The connections to stores.
        ledger: The ledger of latencies; None: no ledger is configured.
        service: The object API.
        discovery: Follows the endpoint list.
        membership_agent: Takes part in the membership of the fleet; None: no fleet is configured.
        rollout: Applies changes to the configuration; None: changes need a restart.
        write_back: The write-back log; None: no log is configured.
        s3: The S3 API, once the gateway runs; None: it is not configured.
        clients: The listeners of clients.
        admins: The listeners of operators.
        address: The first of ``addresses``.
        addresses: The addresses of the listeners for clients, once the gateway runs.
        admin_addresses: The addresses of the listeners for operators, once the gateway runs.

    Raises:
        StartError: A component can't be created from the configuration.
    """

    def __init__(self, config: Config, scheduler_loop: SchedulerLoop | None = None) -> None:
        self.config = config
        self.scheduler_loop = scheduler_loop or SchedulerLoop(config.settings(), config.gateway.seed)
        clock = self.scheduler_loop.clock
        self.pool = composition.make_pool(config, clock)
        self.ledger = composition.open_ledger(config)
        recorder = composition.make_recorder(config, self.ledger, self.scheduler_loop)
        self.service = Service(config, self.scheduler_loop, self.pool, clock, recorder)
        self.discovery = composition.make_endpoint_follower(
            config, clock, self._apply_endpoint_list, self._health_check
        )
        self.scheduler_loop.on_watch_endpoints = self.discovery.request_poll
        self.pool.verify_identity = self._verify_identity
        self.service.exchanges.on_endpoint_evidence = self.discovery.record_response
        self.service.exchanges.on_connect_failed = self.discovery.record_connect_failure
        self.membership_agent = MembershipAgent(config, clock) if config.fleet.listen is not None else None
        self.rollout = self._make_rollout()
        self.write_back = composition.open_write_back(config, clock, self.service)
        self.address = ("", 0)
        self.addresses: list[tuple[str, int]] = []
        self.admin_addresses: list[object] = []
        self.s3: S3Service | None = None
        self._certificates = composition.load_certificates(config, self.pool)
        self.clients = ClientListeners(
            config.limits, clock, self._certificates, lambda: self.scheduler_loop.settings.max_retry_after_ms
        )
        self.admins = AdminListeners(config.limits, clock)
        self._stop = anyio.Event()
        self._log = structlog.get_logger("gateway")

    # Configuration changes

    def _make_rollout(self) -> RolloutController | None:
        if not self.config.changes.folder:
            return None
        try:
            rollout = RolloutController(
                Path(self.config.changes.folder),
                self.config,
                self._swap,
                self.scheduler_loop.volumes_with_quota,
                self.scheduler_loop.clock,
                self._shards_without_endpoint,
                self.scheduler_loop.refill_quotas,
            )
            canary = rollout.canary
            clock = self.scheduler_loop.clock
            self.service.on_request_end = lambda volume, shard, outcome, total_ms: canary.record_request(
                clock(), volume, shard, outcome, total_ms
            )
            rollout.start()
        except ChangeLogError as error:
            raise StartError(f"{error}; see changes, folder") from error
        return rollout

    def _shards_without_endpoint(self) -> set[int]:
        """Return the shards without a usable endpoint, whose failures are not attributed to a configuration change."""
        view = self.discovery.view
        usable = {known.shard for known in view.endpoints.values() if view.is_usable(known.name)}
        return {known.shard for known in view.endpoints.values()} - usable

    def _swap(self, prepared: PreparedSwap) -> None:
        """Apply another version of the configuration to all later requests."""
        # The scheduler must process the requests of the old version under that version: the new one may lack their plans.
        self.scheduler_loop.process_events()
        plans = prepared.plans
        # A volume may have got a quota since the swap was prepared.
        if new_volumes := self.scheduler_loop.volumes_with_quota(prepared.volume_count):
            plans = {**plans, **changed_plans(new_volumes, prepared.old, prepared.new)}
        if self.service.snapshot.version != prepared.version:
            self.service.snapshot = ConfigSnapshot(prepared.new.config, prepared.version)
        self.scheduler_loop.apply_settings(prepared.settings, plans)
        if self.membership_agent is not None:
            self.membership_agent.update_config(prepared.new.config)

    # Endpoints

    async def _verify_identity(self, connection: Connection) -> None:
        """Verify the identity of a store on a new connection.

        Raises:
            ConnectError: Its identity does not match the endpoint list, or it is draining.
        """
        codec = connection.codec
        headers = [(b"host", b"store"), (store_protocol.GATEWAY_HEADER, self.config.gateway.name.encode())]
        await connection.stream.send(
            codec.request("GET", store_protocol.IDENTITY_PATH, headers) + codec.end()
        )
        head = await connection.read_head()
        while not isinstance(await connection.read_body_chunk(), EndOfBody):
            pass
        evidence = store_protocol.read_report(head).evidence or EndpointEvidence()
        if not self.discovery.record_response(connection.endpoint, evidence):
            raise ConnectError(
                f"{connection.endpoint}: not the store of the endpoint list, or draining", False
            )

    async def _health_check(self, endpoint: str) -> bool:
        try:
            connection = await self.pool.acquire(endpoint)
        except ConnectError:
            self.discovery.record_connect_failure(endpoint)
            return False
        await self.pool.release(connection)
        return True

    async def _apply_endpoint_list(self, event: api.EndpointList) -> None:
        self.scheduler_loop.post(event)
        if event.kind is not api.EndpointListKind.FULL:
            return
        names = {endpoint.name for endpoint in event.endpoints}
        await self.pool.close_idle_except(names)
        self._log.info("endpoint_list_received", endpoints=len(names))

    # Lifecycle

    def stop(self) -> None:
        """Stop accepting requests, answer those that have arrived, and end."""
        self._stop.set()

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        """Serve until :meth:`stop`.

        Args:
            started: Called once the gateway accepts connections.

        Raises:
            StartError: A listener can't be opened.
        """
        sys.setswitchinterval(THREAD_SWITCH_SECONDS)
        listeners = await open_listeners(self._listener_specs())
        admin_sockets = await self._open_admin_sockets(listeners)
        await self._open_fleet([*admin_sockets, *(listener.socket for listener in listeners)])
        self.addresses = [
            listener.socket.extra(SocketAttribute.local_address)[:2]  # type: ignore[misc]
            for listener in listeners
        ]
        self.address = self.addresses[0]
        async with anyio.create_task_group() as group:
            self._start_tasks(group)
            self._start_accepting(group, listeners, admin_sockets)
            host, port = self.address
            self._log.info("started", gateway=self.config.gateway.name, host=host, port=port)
            started()
            await self._stop.wait()
            await self._shut_down()
            group.cancel_scope.cancel()
        await self._close()

    def _listener_specs(self) -> list[ListenerSpec]:
        all_use_tls = self.config.tls.on == "all"
        specs = [
            ListenerSpec(f"listener {name}", address, self.service.handle, all_use_tls)
            for name, address in self.config.listeners
        ]
        if self.config.s3.listen is not None:
            self.s3 = S3Service(self.service, self.config.s3)
            specs.append(ListenerSpec("s3, listen", self.config.s3.listen, self.s3.handle, True))
        return specs

    async def _open_admin_sockets(self, listeners: list[OpenListener]) -> list[SocketListener]:
        folder = self._admin_folder()
        if folder is None:
            return []
        try:
            sockets = await admin_listeners.open_listeners(self.config.admin, folder)
        except admin_listeners.AdminError as error:
            for listener in listeners:
                await listener.socket.aclose()
            raise StartError(str(error)) from error
        self.admin_addresses = [socket.extra(SocketAttribute.local_address) for socket in sockets]
        return sockets

    def _admin_folder(self) -> Path | None:
        """Return the folder of the admin socket; None: there is nothing to administer, or no folder is configured."""
        if self.rollout is not None:
            return self.rollout.folder
        if self.membership_agent is None:
            return None
        if self.config.fleet.keep:
            return Path(self.config.fleet.keep)
        return Path(".") if self.config.admin.socket else None

    async def _open_fleet(self, opened: list[SocketListener]) -> None:
        if self.membership_agent is None:
            return
        try:
            await self.membership_agent.open()
        except MembershipError as error:
            for socket in opened:
                await socket.aclose()
            raise StartError(str(error)) from error

    def _start_tasks(self, group: TaskGroup) -> None:
        group.start_soon(self.scheduler_loop.run)
        self.scheduler_loop.post(api.EndpointList(api.EndpointListKind.CACHED))
        group.start_soon(self.discovery.run)
        group.start_soon(self._sweep)
        if self.rollout is not None:
            group.start_soon(self.rollout.run)
        if self.write_back is not None:
            group.start_soon(self.write_back.run, self.scheduler_loop.queue_lengths)
        if self.membership_agent is None:
            return
        group.start_soon(self.membership_agent.run)
        seed_list = self.config.fleet.list
        if seed_list is not None:
            name = self.config.gateway.name
            seeds = GatewaySeeds(
                seed_list,
                self.config.nodes,
                name,
                self.scheduler_loop.clock,
                self.membership_agent.set_listed_seeds,
            )
            group.start_soon(seeds.run)

    def _start_accepting(
        self, group: TaskGroup, listeners: list[OpenListener], admin_sockets: list[SocketListener]
    ) -> None:
        for listener in listeners:
            group.start_soon(self.clients.accept, listener, group)
        if self.s3 is not None:
            group.start_soon(self.s3.run)
        if not admin_sockets:
            return
        change_log = self.rollout.change_log if self.rollout is not None else None
        admin = AdminServer(self.config.admin, change_log, self.membership_agent)
        for socket in admin_sockets:
            group.start_soon(self.admins.accept, socket, admin.handle, admin.max_connections, group)

    async def _sweep(self) -> None:
        """Check periodically for resets, timeouts, overdue requests and charges that can be settled."""
        reported_at_ms = 0.0
        recorder = self.service.recorder
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            now = self.scheduler_loop.clock()
            for connection in [*self.clients.connections, *self.admins.connections]:
                connection.check_for_reset()
                if connection.timeout_at_ms <= now:
                    await connection.expire()
            self.scheduler_loop.finish_overdue(now)
            self.service.byte_meter.settle()
            if recorder is not None and now >= reported_at_ms + QUEUE_REPORT_INTERVAL_MS:
                reported_at_ms = now
                recorder.publish_snapshot()

    async def _shut_down(self) -> None:
        if self.membership_agent is not None:
            # Leaving first gives the other gateways time to learn of it before this one ends.
            self.membership_agent.leave()
        self.clients.stop_accepting()
        self.admins.stop_accepting()
        await self._drain_connections()
        if self.write_back is not None:
            await self.write_back.stop()

    async def _drain_connections(self) -> None:
        self.service.stopping = True
        if self.rollout is not None:
            self.rollout.stopping = True  # a staged change stays staged until the next start
        await anyio.sleep(LAST_REQUEST_SECONDS)
        longest_deadline_ms = max(kind.rules.deadline_ms for kind in self.config.kinds)
        with anyio.move_on_after(longest_deadline_ms / 1000 + SHUTDOWN_MARGIN_SECONDS):
            while self.clients.connections or self.admins.connections:
                for connection in [*self.clients.connections, *self.admins.connections]:
                    connection.close_when_idle()
                await anyio.sleep(SHUTDOWN_POLL_SECONDS)
        if self.clients.connections:
            self._log.warning("shutdown_connections_closed", connections=len(self.clients.connections))

    async def _close(self) -> None:
        await self.pool.close()
        if self.membership_agent is not None:
            await self.membership_agent.close()
        if self.ledger is not None:
            await anyio.to_thread.run_sync(self.ledger.close)
            self._log.info(
                "ledger_closed",
                written=self.ledger.written,
                dropped=self.ledger.dropped,
                failed=self.ledger.failed,
            )
        self._log.info("stopped", pool=str(self.pool), **self.scheduler_loop.counts)


async def serve(
    config: Config, started: Callable[[Gateway], Awaitable[None] | None] = lambda _: None
) -> None:
    """Run a gateway until SIGTERM or SIGINT; a second signal ends the process at once.

    Args:
        config: The configuration.
        started: Called with the gateway once it accepts connections.

    Raises:
        StartError: The gateway could not start.
    """
    gateway = Gateway(config)

    def ready() -> None:
        if config.gateway.port_file:
            _write_port_files(gateway, Path(config.gateway.port_file))
        started(gateway)

    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, gateway)
        await gateway.run(ready)
        group.cancel_scope.cancel()


async def _stop_on_signal(gateway: Gateway) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            if gateway.service.stopping:
                os._exit(128 + number)
            gateway.stop()


def _write_port_files(gateway: Gateway, path: Path) -> None:
    """Write the addresses to files; ``path`` is written last, so that the other files exist once it does."""
    if gateway.s3 is not None:
        _write_address(path.with_name(path.name + ".s3"), gateway.addresses[-1])
    if gateway.membership_agent is not None:
        _write_address(path.with_name(path.name + ".fleet"), gateway.membership_agent.address)
    _write_address(path, gateway.address)


def _write_address(path: Path, address: tuple[str, int]) -> None:
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    temporary.write_text(f"{address[0]}:{address[1]}\n")
    temporary.replace(path)
