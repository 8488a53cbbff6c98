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
from winchdyke.platform.clients import BACKLOG, Client, Clients
from winchdyke.platform.discovery_client import Follower
from winchdyke.platform.graceful_shutdown import ShutdownSchedule, shutdown_schedule
from winchdyke.platform.stores import Attempt, Place, Stores

RESERVE = 24  # descriptors for the standard streams, the loop, the listener and discovery
# Clients that may, by the protocol, send 64 KiB have sent up to 108 KB (zone+brink, seed 31): this machine's memory bounds them.
BODY_PART, LONG_PART = 1 / 256, 1 / 16  # of it, for one such body and for all
CLIENT_PART = 0.7  # of the other descriptors; what is left is for stores
# What discovery's agent has counts as told from a process's first moment, and it answers at once: nobody is served by a list
# of an earlier life before that. Where discovery is down it says nothing, and a gateway that waited for it would serve nobody.
# Where lists are asked for, nothing counts as told before it is, and nothing is waited for.
START_S = 1.0
LATE_MS = 300.0  # after a client's leaving: what is sent on then is counted
STOP_LOOK_S = 0.02  # between looks at what is still open while stopping
TELL_S = 10.0  # between lines of the log
FAULTY_FILE_TRIES, FAULTY_FILE_S = 5, 0.2  # a file that is being replaced is read again


class ForwardedRequest(RequestHandle):
    """A request that was taken, its client, and how its last attempt ended."""

    __slots__ = ("asked", "client", "gone_at", "last", "owner")

    def __init__(self, owner: Gateway, client: Client, asked: protocol.ParsedRequest, end: float) -> None:
        super().__init__(asked.request.request_id, end)
        self.owner, self.client, self.asked = owner, client, asked
        self.last: AttemptOutcome | None = None
        self.gone_at = float("inf")

    def deliver(self, action: RequestAction) -> None:
        """What the scheduler, or the engine in its place, says: carried out at once."""
        self.owner.carry_out(self, action)


class Gateway:
    """All parts of one gateway. Decides nothing."""

    def __init__(self, told: configuration.Environment, loop: asyncio.AbstractEventLoop) -> None:
        self.told, self.loop, self.clock = told, loop, monotonic_ms
        self.log = structlog.get_logger("gateway")
        self.engine = SchedulerLoop(told.settings, told.seed)
        self.engine.on_event_posted = self._posted
        self._turning, self._timer_at = False, float("inf")
        self._timer: asyncio.TimerHandle | None = None
        self.counts: Counter[str] = Counter()
        self.places: dict[str, Place] = {}
        self._started: dict[tuple[str, float], float] = {}
        free = max(32, told.limits.sockets - RESERVE)
        clients = int(free * CLIENT_PART)
        self.stores = Stores(
            loop,
            self.clock,
            told.settings.connect_timeout_ms or 1000.0,
            told.store_idle_ms,
            free - clients,
            told.load_fields,
            told.limits.memory_mb,
        )
        known = self._known()
        self._listed(known, EndpointListKind.CACHED)
        self.engine.process_events()
        self._sock = sockets.listening(told.listen, BACKLOG)
        memory = told.limits.memory_mb * 2**20
        reader = protocol.Reader(told.settings, max(protocol.BODY_MOST, int(memory * BODY_PART)))
        self.clients = Clients(loop, self.clock, self._sock, reader, self._take, clients, memory * LONG_PART)
        self.follower = Follower(loop, told.discovery, known.version, self._heard)
        self.follower.spoken.add_done_callback(lambda _: self.clients.accept(True))
        loop.call_later(0.0 if told.settings.polls_endpoint_list else START_S, self.clients.accept, True)
        self.over = loop.create_future()
        self._leaving: ShutdownSchedule | None = None
        self._lag, self._worst_lag = loop.time(), 0.0
        self._sweep()
        loop.call_later(TELL_S, self._tell_state)
        self._arm()

    # The engine's turns.

    def _posted(self) -> None:
        if not self._turning:
            self._turning = True
            self.loop.call_soon(
                self._turn
            )  # behind all that is ready now, so that it is handed over together

    def _turn(self) -> None:
        self._turning = False
        self.engine.process_events()
        self._arm()

    def _due(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        self._posted()

    def _arm(self) -> None:
        due = self.engine.next_timer_at_ms
        if due is None or due >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = self.loop.call_at(due / 1000, self._due)

    # Requests.

    def _take(self, client: Client, asked: protocol.ParsedRequest, came: float) -> None:
        request = asked.request
        if (
            request.request_id in self.engine.open_requests
            or request.request_id in self.engine.disconnected_requests
        ):
            raise ProtocolError(409, "id-in-use", "a request with this Req-Id is open")
        now = self.clock()
        left = request.time_left_ms - max(0.0, now - came)
        if self._leaving is not None:
            left = min(left, self._leaving.answer_by - now)
        self.counts["taken"] += 1
        asked.request = dataclasses.replace(request, time_left_ms=left)
        call = ForwardedRequest(self, client, asked, now + left)
        client.on_gone = lambda: self._gone(call)
        self.engine.submit(asked.request, call)

    def _gone(self, call: ForwardedRequest) -> None:
        self.counts["gone"] += 1
        self.counts["gone-unsent"] += not call.attempts_started
        call.gone_at = self.clock()
        self.engine.client_disconnected(call)

    def carry_out(self, call: ForwardedRequest, action: RequestAction) -> None:
        """One action of the scheduler's on a request."""
        if isinstance(action, api.StartAttempt):
            self._send(call, action)
        elif isinstance(action, (api.ShedRequest, api.FailRequest)):
            self._final(call, action)

    def _send(self, call: ForwardedRequest, action: api.StartAttempt) -> None:
        number, now = call.attempts_started, self.clock()
        call.attempts_started += 1
        end = min(call.deadline_ms, now + action.timeout_ms) if action.timeout_ms else call.deadline_ms
        place = self.places.get(action.endpoint)
        if place is None or end <= now:
            self._ended(call, number, action.endpoint, protocol.Told(AttemptOutcome.NOT_SENT), 0.0, b"")
            return

        def done(attempt: Attempt, told: protocol.Told, latency: float) -> None:
            late = attempt.written_at - call.gone_at
            self.counts["sent-after-leave"] += late > 0
            self.counts["sent-late-after-leave"] += late > LATE_MS
            self._ended(call, number, action.endpoint, told, latency, attempt.body)

        write_by = now + action.write_timeout_ms if action.write_timeout_ms else float("inf")
        attempt = Attempt(self.stores, place, call.asked, end, done, write_by, call.client.stays)
        call.on_cancel = lambda which: attempt.cancel() if which in (number, -1) else None
        call.on_abandon = lambda which: attempt.call_off() if which == number else None
        attempt.start()

    def _ended(
        self, call: ForwardedRequest, number: int, node: str, told: protocol.Told, latency: float, body: bytes
    ) -> None:
        outcome = call.last = told.outcome
        call.on_cancel = call.on_abandon = None
        self.counts[outcome.name] += 1
        served = outcome is AttemptOutcome.SERVED and not call.finished
        self.engine.attempt_ended(
            call,
            api.AttemptEnded(
                request_id=call.request_id,
                attempt=number,
                endpoint=node,
                outcome=outcome,
                latency_ms=latency,
                request_finished=served or call.finished,
                volume_usage_percent=told.used,
                units_via_other_gateways=told.others,
                load_report=told.load,
            ),
        )
        if served:
            headers: Headers = [(b"content-length", b"%d" % len(body))]
            call.client.answer(200, headers, body)

    def _final(self, call: ForwardedRequest, action: api.ShedRequest | api.FailRequest) -> None:
        up = self.clock() >= call.deadline_ms
        status, outcome, reason = outcomes.final_status(action, call.last, up)
        reason = call.override_reason or reason
        self.counts[f"{outcome}:{reason}"] += 1
        after = action.retry_after_ms if isinstance(action, api.ShedRequest) else 0.0
        status, headers, body = answers.error(
            status, outcome, reason, call.request_id, outcomes.REASON_TEXTS[reason]
        )
        if after > 0:
            headers.append((b"retry-after", b"%.3f" % (after / 1000)))
        call.client.answer(status, headers, body)

    # The list.

    def _known(self) -> protocol.EndpointListing:
        """The list of an earlier life; none where it can't be read, which is no reason not to start: discovery tells it."""
        try:
            return (
                protocol.listing(self.told.known)
                if self.told.known
                else protocol.EndpointListing(0, True, ())
            )
        except protocol.EndpointListError as error:
            self.log.warning("known-refused", where=str(self.told.config), why=str(error))
            return protocol.EndpointListing(0, True, ())

    def _heard(self, news: protocol.EndpointListing) -> None:
        self._listed(news, EndpointListKind.FULL if news.full else EndpointListKind.CHANGES)

    def _listed(self, news: protocol.EndpointListing, kind: EndpointListKind) -> None:
        now, unix = self.clock(), time.time() * 1000
        if kind is not EndpointListKind.CHANGES:
            self.places = {}
        nodes = []
        for entry in news.entries:
            place = (entry.id, entry.address)
            before = self.places.get(entry.id)
            if before is not None and (before != place or entry.state is not EndpointStatus.READY):
                self.stores.forget(before)
            if entry.state is EndpointStatus.REMOVED:
                self.places.pop(entry.id, None)
            else:
                self.places[entry.id] = place
            nodes.append(
                api.Endpoint(entry.id, entry.state, entry.shard, entry.zone, self._since(entry, now, unix))
            )
        self._started = {key: at for key, at in self._started.items() if key[0] in self.places}
        self.engine.post(api.EndpointList(kind, tuple(nodes)))

    def _since(self, entry: protocol.EndpointEntry, now: float, unix: float) -> float:
        # A start is turned into the engine's time once and kept: turned anew each time, the clocks' drift would make
        # every list look like a restart. One in the future is a clock that is off: it counts as now.
        if not entry.started:
            return 0.0
        at = max(1e-3, min(now, now - (unix - entry.started)))
        return self._started.setdefault((entry.id, entry.started), at)

    # Signals, and what only time changes.

    def reload(self, tries: int = FAULTY_FILE_TRIES) -> None:
        """Read the configuration again; what can't be used is reported, and the settings before stay."""
        try:
            told = configuration.read(os.environ)
        except configuration.ConfigurationError as error:
            if tries > 1:
                self.loop.call_later(FAULTY_FILE_S, self.reload, tries - 1)
            else:
                self.log.error("reload-refused", why=str(error))
            return
        if told.settings != self.told.settings or told.listen != self.told.listen:
            self.log.warning(
                "reload-in-part", why="settings and the address to listen at change with a start"
            )
        self.log.info("reloaded", discovery=":".join(map(str, told.discovery)))
        self.follower.move(told.discovery)

    def stop(self) -> None:
        """Serve on while there is time, answer all that has come and still comes, then end."""
        if self._leaving is not None:
            return
        longest = max((kind.deadline_ms for kind in self.told.settings.classes), default=0.0)
        self._leaving = shutdown_schedule(self.clock(), longest)
        self.clients.keep_idle = True
        self.log.info("stopping", open=self.clients.busy)
        self._stop_on()

    def _stop_on(self) -> None:
        assert self._leaving is not None
        now = self.clock()
        if now >= self._leaving.last_call:
            self.clients.closing = True
            self.clients.hang_up()
        if now >= self._leaving.answer_by and self.engine.open_requests:
            # Guards against requests that the end of the process would lose, whatever holds them. It hurts what would have
            # been served between here and the end, which nobody tells beforehand.
            self.engine.finish_all("stopping")
        done = self.clients.closing and now >= self._leaving.end
        done = done and (now >= self._leaving.answer_by or not self.clients.unsettled)
        # Guards against requests that stand in the queue or in a socket, unread, as the process ends: they were taken, and would
        # be lost. Looked for in the turn that ends all, so that nothing comes between.
        if not done or self.engine.open_requests or not self.clients.look_last():
            self.loop.call_later(STOP_LOOK_S, self._stop_on)
        elif not self.over.done():
            self.clients.close()
            self.over.set_result(None)

    async def run(self) -> None:
        """Serve to the end."""
        gc.collect()
        gc.freeze()
        self.log.info("ready", name=self.told.name, stores=len(self.places), memory_mb=_memory_mb())
        await self.over
        self.follower.stop()
        self.stores.close()
        self.log.info("stopped", **self.counts)

    def _sweep(self) -> None:
        now = self.loop.time()
        self._worst_lag, self._lag = max(self._worst_lag, now - self._lag), now + 0.25
        self.stores.sweep(set(self.places.values()))
        self.engine.finish_overdue(self.clock())
        self.loop.call_later(0.25, self._sweep)

    def _tell_state(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.log.info(
            "state",
            **self.counts,
            **{f"client:{key}": value for key, value in self.clients.counts.items()},
            **{f"store:{key}": value for key, value in self.stores.counts.items()},
            clients=self.clients.count,
            open=self.clients.busy,
            links=len(self.stores.links),
            worst_lag_ms=round(self._worst_lag * 1000, 1),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            memory_mb=_memory_mb(),
        )
        self._worst_lag = 0.0
        self.loop.call_later(TELL_S, self._tell_state)


def _memory_mb() -> float:
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return round(int(file.read().split()[1]) * resource.getpagesize() / 2**20, 1)
    except (OSError, ValueError):
        return 0.0
