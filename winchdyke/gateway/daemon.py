"""One gateway from start to stop: listener, engine, list and connections under one task group."""

from __future__ import annotations

import errno
import os
import signal
import ssl
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import anyio.to_thread
import structlog
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup
from anyio.streams.tls import TLSStream

from winchdyke import interface as api
from winchdyke.admin.server import Admin, AdminError, listen
from winchdyke.config import Config
from winchdyke.config_rollout.change_log import ChangeLogError
from winchdyke.config_rollout.controller import Prepared, RolloutController
from winchdyke.config_rollout.cutover import moved
from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.file_source import FileSource
from winchdyke.discovery.follower import EndpointFollower
from winchdyke.discovery.list_service import ListServiceSource
from winchdyke.discovery.records import EndpointEvidence
from winchdyke.discovery.seeds import GatewaySeeds
from winchdyke.discovery.sources import EndpointSource
from winchdyke.discovery.srv_source import SrvSource
from winchdyke.gateway.attempts import LOST
from winchdyke.gateway.clients import ClientConnection
from winchdyke.gateway.pool import NO_DESCRIPTORS, ConnectError, Connection, ConnectionPool
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.gateway.service import ConfigSnapshot, Service
from winchdyke.gateway.tls import Certificates, TlsError, load_stores
from winchdyke.gateway.writeback import WriteBack, WriteBackError
from winchdyke.http1 import End, Need, RequestHead
from winchdyke.latency_attribution.ledger_writer import LedgerBounds, LedgerWriter
from winchdyke.latency_attribution.recorder import Recorder
from winchdyke.membership.agent import MembershipAgent, MembershipError
from winchdyke.object_api import answers, store_protocol
from winchdyke.s3.service import S3

LAST_WORD_S = 0.1  # at a stop, before connections at rest are closed
LAST_ACCEPT_S = 0.01  # at a stop, for connections that wait to be accepted
ACCEPT_PAUSE_S = 0.05  # before the next accept where no descriptor is left
STOP_SLACK_S = 1.0  # beyond the longest deadline, for what is still out at a stop
BACKLOG = 1024
SWEEP_S = 0.1  # between looks at connections and tickets that are overdue
SWITCH_S = 0.0002  # for which a thread beside the loop may keep it waiting
TELL_MS = 500.0  # between words in the ledger on what is held now


Handle = Callable[[ClientConnection, RequestHead], Awaitable[None]]


class StartError(Exception):
    """The gateway could not start; says why and what to do."""


class Gateway:
    """A gateway, made from its settings; ``run`` serves until it is stopped."""

    def __init__(self, config: Config, engine: SchedulerLoop | None = None) -> None:
        limits = config.limits
        self.config = config
        self.engine = engine or SchedulerLoop(config.settings(), config.gateway.seed)
        self.pool = ConnectionPool(
            limits.connect_timeout, limits.pool_idle, limits.pool_per_node, self.engine.clock
        )
        self.ledger = self._ledger()
        recorder = None
        if self.ledger is not None:
            self.engine.observe()
            recorder = Recorder(config.gateway.name, self.ledger, lambda: self.engine.observer)
        self.service = Service(config, self.engine, self.pool, self.engine.clock, recorder)
        self.membership = self._membership()
        self.engine.watch = self.membership.request_poll
        self.pool.greet = self._greet
        self.service.on_word, self.service.on_refused = (
            self.membership.record_response,
            self.membership.record_connect_failure,
        )
        self.fleet = MembershipAgent(config, self.engine.clock) if config.fleet.listen is not None else None
        self.live = self._live()
        self.writeback = self._writeback()
        self.address = ("", 0)
        self.addresses: list[tuple[str, int]] = []
        self.admin_addresses: list[object] = []
        self.s3: S3 | None = None
        self._shaking = 0  # handshakes under way
        try:
            self.certificates = Certificates(config.tls) if config.tls.certificate else None
            if config.tls.stores:
                secured = load_stores(config.tls.stores)
                self.pool.secure = lambda: secured
        except TlsError as error:
            raise StartError(str(error)) from error
        self._connections: set[ClientConnection] = set()
        self._admins: set[ClientConnection] = set()
        self._stop = anyio.Event()
        self._log = structlog.get_logger("gateway")

    def _ledger(self) -> LedgerWriter | None:
        accounts = self.config.accounts
        if not accounts.folder:
            return None
        bounds = LedgerBounds(
            accounts.segment_bytes,
            accounts.segment_time / 1000,
            accounts.total_bytes,
            sync_interval_seconds=accounts.sync / 1000,
            detail_retention_seconds=accounts.keep_accounts / 1000,
        )
        try:
            return LedgerWriter(Path(accounts.folder), bounds)
        except OSError as error:
            raise StartError(
                f"can't write to {accounts.folder}: {error.strerror}; see accounts, folder"
            ) from error

    def _writeback(self) -> WriteBack | None:
        if not self.config.writeback.folder:
            return None
        try:
            made = WriteBack(self.config, self.engine.clock, self.service.carry_own)
        except WriteBackError as error:
            raise StartError(str(error)) from error
        self.service.writeback = made
        return made

    def _live(self) -> RolloutController | None:
        if not self.config.changes.folder:
            return None
        try:
            live = RolloutController(
                Path(self.config.changes.folder),
                self.config,
                self._swap,
                self.engine.accounts,
                self.engine.clock,
                self._dead,
                self.engine.freshen,
            )
            watch, clock = live.watch, self.engine.clock
            self.service.on_end = lambda volume, shard, outcome, took: watch.ended(
                clock(), volume, shard, outcome, took
            )
            live.begin()
        except ChangeLogError as error:
            raise StartError(f"{error}; see changes, folder") from error
        return live

    def _dead(self) -> set[int]:
        """Shards that have no node by the list's or the nodes' own word: no change of settings does that."""
        usable = {
            known.shard
            for known in self.membership.view.endpoints.values()
            if self.membership.view.is_usable(known.name)
        }
        return {known.shard for known in self.membership.view.endpoints.values()} - usable

    def _swap(self, prepared: Prepared) -> None:
        """Other settings from this instant on: nothing else runs while this does."""
        # Guards against what was asked under the old version and is decided by the new one: its plan may be gone by then.
        self.engine.turn()
        plans = prepared.plans
        if new := self.engine.accounts(prepared.known):  # that have come since it was prepared
            plans = {**plans, **moved(new, prepared.before, prepared.after)}
        if self.service.snapshot.version != prepared.version:
            self.service.snapshot = ConfigSnapshot(prepared.after.config, prepared.version)
        self.engine.retell(prepared.settings, plans)
        if self.fleet is not None:
            self.fleet.expect(prepared.after.config)

    def _membership(self) -> EndpointFollower:
        where, name, clock = self.config.nodes, self.config.gateway.name, self.engine.clock
        sources: list[EndpointSource] = [ListServiceSource(where, name, clock)]
        if where.file:
            sources.append(FileSource(Path(where.file), clock))
        if where.srv:
            shards = 1 + max((shard for rule in self.config.volumes for shard in rule.shards), default=0)
            host, _, port = where.dns.rpartition(":")
            sources.append(SrvSource(where.srv, (host, int(port)), shards))
        bounds = DiscoveryBounds(
            warmup_ms=self.config.rules.warm_after,
            max_vanished_fraction=where.vanish_share,
            omission_grace_ms=where.hold,
        )
        folder = Path(where.keep) if where.keep else None
        return EndpointFollower(bounds, sources, name, clock, self._listed, self._trial, folder)

    async def _greet(self, connection: Connection) -> None:
        """Ask a store who it is before it is sent anything; DialError where another one is meant."""
        codec = connection.codec
        headers = [(b"host", b"store"), (store_protocol.GATEWAY, self.config.gateway.name.encode())]
        await connection.stream.send(codec.request("GET", store_protocol.WHO, headers) + codec.end())
        while isinstance(head := codec.head(), Need):
            codec.feed(await connection.stream.receive())
        while not isinstance(piece := codec.body(), End):
            if isinstance(piece, Need):
                codec.feed(await connection.stream.receive())
        if not self.membership.record_response(
            connection.node, store_protocol.told(head).word or EndpointEvidence()
        ):
            raise ConnectError(f"{connection.node}: not the store that is meant, or it drains", False)

    async def _trial(self, node: str) -> bool:
        try:
            connection = await self.pool.get(node)
        except ConnectError:
            self.membership.record_connect_failure(node)
            return False
        await self.pool.put(connection)
        return True

    async def _listed(self, news: api.EndpointList) -> None:
        self.engine.post(news)
        if news.kind is api.EndpointListKind.FULL:
            listed = {node.name for node in news.endpoints}
            await self.pool.forget(listed)
            self._log.info("nodes", listed=len(listed))

    def stop(self) -> None:
        """Take nothing new, answer all that was taken, and end."""
        self._stop.set()

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        """Serve until stopped. StartError where the address can't be listened at."""
        # Guards against requests that wait for a version being checked beside them: a thread that computes gives way to the loop
        # only so often, and a request needs the loop many times.
        sys.setswitchinterval(SWITCH_S)
        listeners = await self._listen()
        admins = await self._admin_listeners([listener for listener, _ in listeners])
        if self.fleet is not None:
            try:
                await self.fleet.open()
            except MembershipError as error:
                for listener in [*admins, *(listener for listener, _ in listeners)]:
                    await listener.aclose()
                raise StartError(str(error)) from error
        self.addresses = [listener.extra(SocketAttribute.local_address)[:2] for listener, _ in listeners]  # type: ignore[misc]
        self.address = self.addresses[0]
        async with anyio.create_task_group() as group:
            group.start_soon(self.engine.run)
            self.engine.post(api.EndpointList(api.EndpointListKind.CACHED))
            group.start_soon(self.membership.run)
            group.start_soon(self._sweep)
            if self.live is not None:
                group.start_soon(self.live.run)
            if self.writeback is not None:
                group.start_soon(self.writeback.run, self.engine.held)
            if self.fleet is not None:
                group.start_soon(self.fleet.run)
                if (where := self.config.fleet.list) is not None:
                    name = self.config.gateway.name
                    seeds = GatewaySeeds(where, self.config.nodes, name, self.engine.clock, self.fleet.listed)
                    group.start_soon(seeds.run)
            accepting: list[anyio.CancelScope] = []
            for listener, handle in listeners:
                group.start_soon(self._accept, listener, handle, accepting, group)
            if self.s3 is not None:
                group.start_soon(self.s3.run)
            if admins:
                admin = Admin(
                    self.config.admin, self.live.trail if self.live is not None else None, self.fleet
                )
                for listener in admins:
                    group.start_soon(self._accept_admin, listener, admin, accepting, group)
            self._log.info(
                "started", gateway=self.config.gateway.name, host=self.address[0], port=self.address[1]
            )
            started()
            await self._stop.wait()
            if self.fleet is not None:
                self.fleet.leave()  # heard long before the process ends
            for scope in accepting:
                scope.cancel()
            await self._drain()
            if self.writeback is not None:
                await self.writeback.stop()
            group.cancel_scope.cancel()
        await self.pool.close()
        if self.fleet is not None:
            await self.fleet.close()
        if self.ledger is not None:
            await anyio.to_thread.run_sync(self.ledger.close)
            kept = {
                "written": self.ledger.written,
                "dropped": self.ledger.dropped,
                "failed": self.ledger.failed,
            }
            self._log.info("ledger", **kept)
        self._log.info(
            "stopped", pool=str(self.pool), **{key.lower(): n for key, n in self.engine.counts.items()}
        )

    async def _listen(self) -> list[tuple[SocketListener, Handle]]:
        asked = [(f"listener {name}", where, self.service.handle) for name, where in self.config.listeners]
        if self.config.s3.listen is not None:
            self.s3 = S3(self.service, self.config.s3)
            asked.append(("s3, listen", self.config.s3.listen, self.s3.handle))
        found: list[tuple[SocketListener, Handle]] = []
        for name, where, handle in asked:
            try:
                multi = await anyio.create_tcp_listener(
                    local_host=where.host, local_port=where.port, backlog=BACKLOG
                )
            except OSError as error:
                for listener, _ in found:
                    await listener.aclose()
                reason = error.strerror or error
                raise StartError(
                    f"can't listen at {where.host}:{where.port}: {reason}; see {name}"
                ) from error
            found += [(each, handle) for each in multi.listeners if isinstance(each, SocketListener)]
        return found

    async def _admin_listeners(self, others: list[SocketListener]) -> list[SocketListener]:
        folder = self.live.folder if self.live is not None else None
        if folder is None and self.fleet is not None:
            folder = Path(self.config.fleet.keep) if self.config.fleet.keep else None
            if folder is None and not self.config.admin.socket:
                return []
        elif folder is None:
            return []
        try:
            found = await listen(self.config.admin, folder or Path("."))
        except AdminError as error:
            for listener in others:
                await listener.aclose()
            raise StartError(str(error)) from error
        self.admin_addresses = [listener.extra(SocketAttribute.local_address) for listener in found]
        return found

    async def _accept_admin(
        self, listener: SocketListener, admin: Admin, scopes: list[anyio.CancelScope], group: TaskGroup
    ) -> None:
        """Those who ask for changes have connections of their own, few at once: they take none from clients."""
        places = anyio.Semaphore(admin.connections)

        async def one(stream: SocketStream) -> None:
            connection = ClientConnection(stream, self.config.limits, self.engine.clock)
            self._admins.add(connection)
            try:
                await connection.run(admin.handle)
            except Exception as error:
                self._log.error("connection", exc_info=error)
            finally:
                self._admins.discard(connection)
                places.release()

        async with listener:
            with anyio.CancelScope() as mine:
                scopes.append(mine)
                while True:
                    await places.acquire()
                    try:
                        stream = await listener.accept()
                    except OSError as error:
                        places.release()
                        if error.errno not in (*NO_DESCRIPTORS, errno.ECONNABORTED):
                            raise
                        await anyio.sleep(ACCEPT_PAUSE_S)
                        continue
                    _hold_back(stream)
                    group.start_soon(one, stream)

    async def _accept(
        self, listener: SocketListener, handle: Handle, scopes: list[anyio.CancelScope], group: TaskGroup
    ) -> None:
        async with listener:
            with anyio.CancelScope() as mine:
                scopes.append(mine)
                while True:
                    try:
                        stream = await listener.accept()
                    except OSError as error:
                        if error.errno not in (*NO_DESCRIPTORS, errno.ECONNABORTED):
                            raise
                        self._log.warning("accept", error=error.strerror)
                        await anyio.sleep(ACCEPT_PAUSE_S)
                        continue
                    _hold_back(stream)
                    group.start_soon(self._connection, stream, handle)
            # Guards against a reset for those whom the host had let in and this gateway not yet, on a host that is behind.
            while True:
                with anyio.move_on_after(LAST_ACCEPT_S) as none_left:
                    stream = await listener.accept()
                    _hold_back(stream)
                    group.start_soon(self._connection, stream, handle)
                if none_left.cancelled_caught:
                    return

    async def _shaken(self, stream: SocketStream, certificates: Certificates) -> SocketStream | None:
        """The stream secured; None where that failed, took too long, or too many do so at once."""
        secured: TLSStream | None = None
        if len(self._connections) + self._shaking < self.config.limits.connections:
            self._shaking += 1
            try:
                with anyio.move_on_after(self.config.limits.header_timeout / 1000):
                    secured = await TLSStream.wrap(
                        stream,
                        server_side=True,
                        ssl_context=certificates.context(),
                        standard_compatible=False,
                    )
            except (*LOST, ssl.SSLError):
                pass
            finally:
                self._shaking -= 1
        if secured is None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
        return secured  # type: ignore[return-value]

    async def _connection(self, stream: SocketStream, handle: Handle) -> None:
        if self.certificates is not None and (self.config.tls.on == "all" or handle != self.service.handle):
            secured = await self._shaken(stream, self.certificates)
            if secured is None:
                return
            stream = secured
        connection = ClientConnection(stream, self.config.limits, self.engine.clock)
        if len(self._connections) >= self.config.limits.connections:
            connection.close_after = True
            text = "this gateway holds as many connections as it may; come back later"
            after = self.engine.settings.max_retry_after_ms
            await connection.refuse(*answers.error(503, "refused", "too-many-connections", "-", text, after))
            return
        self._connections.add(connection)
        try:
            await connection.run(handle)
        except Exception as error:
            self._log.error("connection", exc_info=error)
        finally:
            self._connections.discard(connection)

    async def _sweep(self) -> None:
        told = 0.0
        while True:
            await anyio.sleep(SWEEP_S)
            now = self.engine.clock()
            for connection in [*self._connections, *self._admins]:
                connection.look()
                if connection.due <= now:
                    await connection.expire()
            self.engine.answer_overdue(now)
            self.service.tolls.settle()
            if self.service.recorder is not None and now >= told + TELL_MS:
                told = now
                self.service.recorder.publish_snapshot()

    async def _drain(self) -> None:
        self.service.stopping = True
        if self.live is not None:
            self.live.stopping = True  # nothing new is begun: what is staged stays so for the next start
        await anyio.sleep(LAST_WORD_S)  # for requests that are on their way
        longest = max(kind.rules.deadline_ms for kind in self.config.kinds) / 1000
        with anyio.move_on_after(longest + STOP_SLACK_S):
            while self._connections or self._admins:
                for connection in [*self._connections, *self._admins]:
                    connection.hang_up()
                await anyio.sleep(0.01)
        if self._connections:
            self._log.warning("stop-cut", connections=len(self._connections))


def _hold_back(stream: SocketStream) -> None:
    # Guards against memory without bound from a client that sends faster than its store takes. anyio's asyncio
    # streams pause the transport after a read that had to wait, and those it dials from the start; one that it
    # accepts reads on until then, which may be never. Nothing public reaches the transport.
    transport = getattr(stream, "_transport", None)
    if transport is not None:
        transport.pause_reading()


def _told(path: Path, address: tuple[str, int]) -> None:
    beside = path.with_name(path.name + f".{os.getpid()}")
    beside.write_text(f"{address[0]}:{address[1]}\n")
    beside.replace(path)


async def serve(
    config: Config, started: Callable[[Gateway], Awaitable[None] | None] = lambda _: None
) -> None:
    """Run a gateway until SIGTERM or SIGINT; a second one ends it at once."""
    gateway = Gateway(config)

    def ready() -> None:
        if config.gateway.port_file:
            path = Path(config.gateway.port_file)
            if gateway.s3 is not None:  # the S3 listener's beside it
                _told(path.with_name(path.name + ".s3"), gateway.addresses[-1])
            if gateway.fleet is not None:
                _told(path.with_name(path.name + ".fleet"), gateway.fleet.address)
            _told(path, gateway.address)
        started(gateway)

    async with anyio.create_task_group() as group:

        async def signals() -> None:
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
                async for number in received:
                    if gateway.service.stopping:
                        os._exit(128 + number)
                    gateway.stop()

        group.start_soon(signals)
        await gateway.run(ready)
        group.cancel_scope.cancel()
