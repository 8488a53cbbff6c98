"""One real gateway: the engine driven by the loop's own turns, clients on one side, stores on the other, discovery beside."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import os
import resource
import time
from collections import Counter

import structlog

from winchdyke import interface as api
from winchdyke.gateway import outcomes
from winchdyke.gateway.scheduler_loop import RequestAction, RequestHandle, SchedulerLoop, monotonic_ms
from winchdyke.http1 import Headers, ProtocolError
from winchdyke.interface import AttemptOutcome, EndpointListKind, EndpointStatus
from winchdyke.object_api import answers
from winchdyke.platform import configuration, protocol, sockets
from winchdyke.platform.client_connection import LISTEN_BACKLOG, ClientConnection, ClientConnections
from winchdyke.platform.discovery_client import DiscoveryClient
from winchdyke.platform.graceful_shutdown import ShutdownSchedule, shutdown_schedule
from winchdyke.platform.upstream_attempt import EndpointAddress, UpstreamAttempt, UpstreamPool

RESERVED_DESCRIPTORS = 24  # descriptors for the standard streams, the loop, the listener and discovery
# Clients that may, by the protocol, send 64 KiB have sent up to 108 KB (zone+brink, seed 31): this machine's memory bounds them.
MAX_BODY_MEMORY_FRACTION, LARGE_BODIES_MEMORY_FRACTION = (
    1 / 256,
    1 / 16,
)  # of it, for one such body and for all
CLIENT_DESCRIPTOR_FRACTION = 0.7  # of the other descriptors; what is left is for stores
# What discovery's agent has counts as told from a process's first moment, and it answers at once: nobody is served by a list
# of an earlier life before that. Where discovery is down it says nothing, and a gateway that waited for it would serve nobody.
# Where lists are asked for, nothing counts as told before it is, and nothing is waited for.
MAX_DISCOVERY_WAIT_SECONDS = 1.0
LATE_SEND_MS = 300.0  # after a client's leaving: what is sent on then is counted
SHUTDOWN_CHECK_SECONDS = 0.02  # between looks at what is still open while stopping
STATE_LOG_SECONDS = 10.0  # between lines of the log
MAX_RELOAD_ATTEMPTS, RELOAD_RETRY_SECONDS = 5, 0.2  # a file that is being replaced is read again


class ForwardedRequest(RequestHandle):
    """A request that was taken, its client, and how its last attempt ended."""

    __slots__ = ("client", "disconnected_at_ms", "gateway", "last_outcome", "request")

    def __init__(
        self, owner: PlatformGateway, client: ClientConnection, asked: protocol.ParsedRequest, end: float
    ) -> None:
        super().__init__(asked.request.request_id, end)
        self.gateway, self.client, self.request = owner, client, asked
        self.last_outcome: AttemptOutcome | None = None
        self.disconnected_at_ms = float("inf")

    def tell(self, action: RequestAction) -> None:
        """What the scheduler, or the engine in its place, says: carried out at once."""
        self.gateway.execute(self, action)


class PlatformGateway:
    """All parts of one gateway. Decides nothing."""

    def __init__(self, told: configuration.Environment, loop: asyncio.AbstractEventLoop) -> None:
        self.environment, self.loop, self.clock = told, loop, monotonic_ms
        self.log = structlog.get_logger("gateway")
        self.engine = SchedulerLoop(told.settings, told.seed)
        self.engine.on_post = self._schedule_turn
        self._turn_scheduled, self._timer_at = False, float("inf")
        self._timer: asyncio.TimerHandle | None = None
        self.counts: Counter[str] = Counter()
        self.endpoints: dict[str, EndpointAddress] = {}
        self._started_at_ms: dict[tuple[str, float], float] = {}
        free = max(32, told.limits.max_descriptors - RESERVED_DESCRIPTORS)
        clients = int(free * CLIENT_DESCRIPTOR_FRACTION)
        self.upstream_pool = UpstreamPool(
            loop,
            self.clock,
            told.settings.connect_timeout_ms or 1000.0,
            told.store_idle_timeout_ms,
            free - clients,
            told.load_report_fields,
            told.limits.memory_mb,
        )
        known = self._read_cached_list()
        self._apply_endpoint_list(known, EndpointListKind.CACHED)
        self.engine.turn()
        self._listener = sockets.open_listener(told.listen_address, LISTEN_BACKLOG)
        memory = told.limits.memory_mb * 2**20
        reader = protocol.RequestParser(
            told.settings, max(protocol.MAX_BODY_BYTES, int(memory * MAX_BODY_MEMORY_FRACTION))
        )
        self.clients = ClientConnections(
            loop,
            self.clock,
            self._listener,
            reader,
            self._accept_request,
            clients,
            memory * LARGE_BODIES_MEMORY_FRACTION,
        )
        self.discovery = DiscoveryClient(loop, told.discovery_address, known.version, self._on_endpoint_list)
        self.discovery.first_response.add_done_callback(lambda _: self.clients.set_accepting(True))
        loop.call_later(
            0.0 if told.settings.polls_endpoint_list else MAX_DISCOVERY_WAIT_SECONDS,
            self.clients.set_accepting,
            True,
        )
        self.finished = loop.create_future()
        self._shutdown: ShutdownSchedule | None = None
        self._lag, self._worst_lag = loop.time(), 0.0
        self._run_maintenance()
        loop.call_later(STATE_LOG_SECONDS, self._log_state)
        self._set_timer()

    # The engine's turns.

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self.loop.call_soon(
                self._turn
            )  # behind all that is ready now, so that it is handed over together

    def _turn(self) -> None:
        self._turn_scheduled = False
        self.engine.turn()
        self._set_timer()

    def _on_timer(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        self._schedule_turn()

    def _set_timer(self) -> None:
        due = self.engine.next_due
        if due is None or due >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = self.loop.call_at(due / 1000, self._on_timer)

    # Requests.

    def _accept_request(self, client: ClientConnection, asked: protocol.ParsedRequest, came: float) -> None:
        request = asked.request
        if request.request_id in self.engine.tickets or request.request_id in self.engine.departed:
            raise ProtocolError(409, "id-in-use", "a request with this Req-Id is open")
        now = self.clock()
        left = request.time_left_ms - max(0.0, now - came)
        if self._shutdown is not None:
            left = min(left, self._shutdown.answer_by_ms - now)
        self.counts["taken"] += 1
        asked.request = dataclasses.replace(request, time_left_ms=left)
        call = ForwardedRequest(self, client, asked, now + left)
        client.on_disconnect = lambda: self._on_disconnect(call)
        self.engine.take(asked.request, call)

    def _on_disconnect(self, call: ForwardedRequest) -> None:
        self.counts["gone"] += 1
        self.counts["gone-unsent"] += not call.attempts
        call.disconnected_at_ms = self.clock()
        self.engine.gone(call)

    def execute(self, call: ForwardedRequest, action: RequestAction) -> None:
        """One action of the scheduler's on a request."""
        if isinstance(action, api.StartAttempt):
            self._start_attempt(call, action)
        elif isinstance(action, (api.ShedRequest, api.FailRequest)):
            self._respond_final(call, action)

    def _start_attempt(self, call: ForwardedRequest, action: api.StartAttempt) -> None:
        number, now = call.attempts, self.clock()
        call.attempts += 1
        end = min(call.end, now + action.timeout_ms) if action.timeout_ms else call.end
        place = self.endpoints.get(action.endpoint)
        if place is None or end <= now:
            self._on_attempt_ended(
                call, number, action.endpoint, protocol.AttemptResult(AttemptOutcome.NOT_SENT), 0.0, b""
            )
            return

        def done(attempt: UpstreamAttempt, told: protocol.AttemptResult, latency: float) -> None:
            late = attempt.written_at_ms - call.disconnected_at_ms
            self.counts["sent-after-leave"] += late > 0
            self.counts["sent-late-after-leave"] += late > LATE_SEND_MS
            self._on_attempt_ended(call, number, action.endpoint, told, latency, attempt.body)

        write_by = now + action.write_timeout_ms if action.write_timeout_ms else float("inf")
        attempt = UpstreamAttempt(
            self.upstream_pool, place, call.request, end, done, write_by, call.client.is_still_connected
        )
        call.on_cancel = lambda which: attempt.cancel() if which in (number, -1) else None
        call.on_call_off = lambda which: attempt.abandon() if which == number else None
        attempt.start()

    def _on_attempt_ended(
        self,
        call: ForwardedRequest,
        number: int,
        node: str,
        told: protocol.AttemptResult,
        latency: float,
        body: bytes,
    ) -> None:
        outcome = call.last_outcome = told.outcome
        call.on_cancel = call.on_call_off = None
        self.counts[outcome.name] += 1
        served = outcome is AttemptOutcome.SERVED and not call.closed
        self.engine.ended(
            call,
            api.AttemptEnded(
                request_id=call.id,
                attempt=number,
                endpoint=node,
                outcome=outcome,
                latency_ms=latency,
                request_finished=served or call.closed,
                volume_usage_percent=told.volume_usage_percent,
                units_via_other_gateways=told.units_via_other_gateways,
                load_report=told.load_report,
            ),
        )
        if served:
            headers: Headers = [(b"content-length", b"%d" % len(body))]
            call.client.respond(200, headers, body)

    def _respond_final(self, call: ForwardedRequest, action: api.ShedRequest | api.FailRequest) -> None:
        up = self.clock() >= call.end
        status, outcome, reason = outcomes.final(action, call.last_outcome, up)
        reason = call.fault or reason
        self.counts[f"{outcome}:{reason}"] += 1
        after = action.retry_after_ms if isinstance(action, api.ShedRequest) else 0.0
        status, headers, body = answers.error(status, outcome, reason, call.id, outcomes.REASONS[reason])
        if after > 0:
            headers.append((b"retry-after", b"%.3f" % (after / 1000)))
        call.client.respond(status, headers, body)

    # The list.

    def _read_cached_list(self) -> protocol.EndpointListing:
        """The list of an earlier life; none where it can't be read, which is no reason not to start: discovery tells it."""
        try:
            return (
                protocol.parse_endpoint_list(self.environment.cached_endpoint_list)
                if self.environment.cached_endpoint_list
                else protocol.EndpointListing(0, True, ())
            )
        except protocol.EndpointListError as error:
            self.log.warning("known-refused", where=str(self.environment.config_path), why=str(error))
            return protocol.EndpointListing(0, True, ())

    def _on_endpoint_list(self, news: protocol.EndpointListing) -> None:
        self._apply_endpoint_list(news, EndpointListKind.FULL if news.full else EndpointListKind.CHANGES)

    def _apply_endpoint_list(self, news: protocol.EndpointListing, kind: EndpointListKind) -> None:
        now, unix = self.clock(), time.time() * 1000
        if kind is not EndpointListKind.CHANGES:
            self.endpoints = {}
        nodes = []
        for entry in news.entries:
            place = (entry.id, entry.address)
            before = self.endpoints.get(entry.id)
            if before is not None and (before != place or entry.state is not EndpointStatus.READY):
                self.upstream_pool.close_idle_to(before)
            if entry.state is EndpointStatus.REMOVED:
                self.endpoints.pop(entry.id, None)
            else:
                self.endpoints[entry.id] = place
            nodes.append(
                api.Endpoint(
                    entry.id, entry.state, entry.shard, entry.zone, self._started_at(entry, now, unix)
                )
            )
        self._started_at_ms = {key: at for key, at in self._started_at_ms.items() if key[0] in self.endpoints}
        self.engine.post(api.EndpointList(kind, tuple(nodes)))

    def _started_at(self, entry: protocol.EndpointEntry, now: float, unix: float) -> float:
        # A start is turned into the engine's time once and kept: turned anew each time, the clocks' drift would make
        # every list look like a restart. One in the future is a clock that is off: it counts as now.
        if not entry.started_at_unix_ms:
            return 0.0
        at = max(1e-3, min(now, now - (unix - entry.started_at_unix_ms)))
        return self._started_at_ms.setdefault((entry.id, entry.started_at_unix_ms), at)

    # Signals, and what only time changes.

    def reload(self, tries: int = MAX_RELOAD_ATTEMPTS) -> None:
        """Read the configuration again; what can't be used is reported, and the settings before stay."""
        try:
            told = configuration.read_environment(os.environ)
        except configuration.ConfigurationError as error:
            if tries > 1:
                self.loop.call_later(RELOAD_RETRY_SECONDS, self.reload, tries - 1)
            else:
                self.log.error("reload-refused", why=str(error))
            return
        if (
            told.settings != self.environment.settings
            or told.listen_address != self.environment.listen_address
        ):
            self.log.warning(
                "reload-in-part", why="settings and the address to listen at change with a start"
            )
        self.log.info("reloaded", discovery=":".join(map(str, told.discovery_address)))
        self.discovery.change_address(told.discovery_address)

    def stop(self) -> None:
        """Serve on while there is time, answer all that has come and still comes, then end."""
        if self._shutdown is not None:
            return
        longest = max((kind.deadline_ms for kind in self.environment.settings.classes), default=0.0)
        self._shutdown = shutdown_schedule(self.clock(), longest)
        self.clients.keep_idle_connections = True
        self.log.info("stopping", open=self.clients.busy)
        self._continue_shutdown()

    def _continue_shutdown(self) -> None:
        assert self._shutdown is not None
        now = self.clock()
        if now >= self._shutdown.closing_from_ms:
            self.clients.close_after_response = True
            self.clients.close_idle()
        if now >= self._shutdown.answer_by_ms and self.engine.tickets:
            # Guards against requests that the end of the process would lose, whatever holds them. It hurts what would have
            # been served between here and the end, which nobody tells beforehand.
            self.engine.answer_all("stopping")
        done = self.clients.close_after_response and now >= self._shutdown.earliest_exit_ms
        done = done and (now >= self._shutdown.answer_by_ms or not self.clients.has_unsettled)
        # Guards against requests that stand in the queue or in a socket, unread, as the process ends: they were taken, and would
        # be lost. Looked for in the turn that ends all, so that nothing comes between.
        if not done or self.engine.tickets or not self.clients.process_all_pending():
            self.loop.call_later(SHUTDOWN_CHECK_SECONDS, self._continue_shutdown)
        elif not self.finished.done():
            self.clients.close()
            self.finished.set_result(None)

    async def run(self) -> None:
        """Serve to the end."""
        gc.collect()
        gc.freeze()
        self.log.info("ready", name=self.environment.name, stores=len(self.endpoints), memory_mb=_memory_mb())
        await self.finished
        self.discovery.stop()
        self.upstream_pool.close_idle()
        self.log.info("stopped", **self.counts)

    def _run_maintenance(self) -> None:
        now = self.loop.time()
        self._worst_lag, self._lag = max(self._worst_lag, now - self._lag), now + 0.25
        self.upstream_pool.close_expired(set(self.endpoints.values()))
        self.engine.answer_overdue(self.clock())
        self.loop.call_later(0.25, self._run_maintenance)

    def _log_state(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.log.info(
            "state",
            **self.counts,
            **{f"client:{key}": value for key, value in self.clients.counts.items()},
            **{f"store:{key}": value for key, value in self.upstream_pool.counts.items()},
            clients=self.clients.count,
            open=self.clients.busy,
            links=len(self.upstream_pool.connections),
            worst_lag_ms=round(self._worst_lag * 1000, 1),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            memory_mb=_memory_mb(),
        )
        self._worst_lag = 0.0
        self.loop.call_later(STATE_LOG_SECONDS, self._log_state)


def _memory_mb() -> float:
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return round(int(file.read().split()[1]) * resource.getpagesize() / 2**20, 1)
    except (OSError, ValueError):
        return 0.0
