"""A discrete-event simulation of gateways, stores and clients in virtual time, with the real scheduler.

Its results are simulated, not measured. It leaves out message loss and reordering, delays of endpoint lists, retries by
clients, bodies, and the processing time of gateways. Each workload draws its arrivals from its own seed, so that removing
one workload changes no arrival of the others; the counterfactual check depends on this.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from winchdyke import interface as api
from winchdyke.latency_attribution.apportionment import apportion, apportion_causes
from winchdyke.latency_attribution.merge import merge_accounts
from winchdyke.latency_attribution.queue_observer import SLOW_ATTEMPT_FACTOR, QueueObserver
from winchdyke.latency_attribution.records import Account
from winchdyke.latency_attribution.vocabulary import Holder
from winchdyke.scheduling import Scheduler
from winchdyke.scheduling.endpoint_state import EndpointState

CLASSES = (
    api.RequestClass(
        "fetch", 2.0, 400.0, 3000.0, 0.1, api.RepeatSafety.IDEMPOTENT, api.DeduplicationScope.ALL, 0.0
    ),
    api.RequestClass(
        "submit",
        3.0,
        500.0,
        2500.0,
        0.15,
        api.RepeatSafety.IDEMPOTENCY_KEY,
        api.DeduplicationScope.SHARD,
        4000.0,
        modifies_data=True,
    ),
    api.RequestClass(
        "export", 1.0, 1500.0, 5000.0, 0.2, api.RepeatSafety.IDEMPOTENT, api.DeduplicationScope.ALL, 0.0
    ),
)
PLANS = (
    api.Plan("basic", 0.96, 1.0, 20.0, 0.0),
    api.Plan("school", 1.2, 2.0, 40.0, 30.0),
    api.Plan("contest", 1.4, 6.0, 60.0, 60.0),
)


@dataclass(frozen=True)
class Workload:
    """The traffic of a volume: requests per second, their class and units, and the volume's shards and gateways."""

    name: str
    rate: float
    class_name: str = "fetch"
    units: float = 2.0
    plan: str = "school"
    shards: tuple[int, ...] = (0,)
    gateways: tuple[int, ...] = (0,)
    begin_ms: float = 0.0
    end_ms: float = float("inf")


@dataclass(frozen=True)
class SimulationSetup:
    """A deployment and its workloads. ``slow`` holds (shard, factor) of stores slowed down from ``slow_from_ms`` on."""

    workloads: tuple[Workload, ...]
    gateways: int = 1
    stores: int = 1
    cores: int = 2
    unit_ms: float = 10.0
    net_ms: float = 0.5
    length_ms: float = 10_000.0
    seed: int = 1
    slow: tuple[tuple[int, float], ...] = ()
    slow_from_ms: float = 0.0


@dataclass
class RequestResult:
    """The result of one request; times in milliseconds.

    Attributes:
        blame: Queueing time by holder, as the gateway attributes it.
        causes: Queueing time by cause.
        true_blame: Queueing time by holder, as :class:`OmniscientObserver` attributes it.
        expected_ms: The expected latency of its last attempt.
    """

    id: str
    volume: str
    class_name: str
    gateway: int
    at: float
    queued_ms: float = 0.0
    end: float = 0.0
    outcome: str = ""
    blame: dict[Holder, float] = field(default_factory=dict)
    causes: dict[str, float] = field(default_factory=dict)
    true_blame: dict[Holder, float] = field(default_factory=dict)
    sent: float = -1.0
    node: str = ""
    units: float = 1.0
    expected_ms: float = 0.0

    @property
    def latency(self) -> float:
        """The time from its arrival to its answer, in milliseconds."""
        return self.end - self.at


class _Store:
    def __init__(self, cores: int, unit_ms: float, slow: float, slow_from_ms: float) -> None:
        self.free, self._unit_ms, self._slow, self._slow_from_ms = cores, unit_ms, slow, slow_from_ms
        self.queue: deque[tuple[int, str, int, float, float]] = deque()
        self.busy: set[tuple[int, str]] = set()  # (gateway, request) of the work in progress

    def unit_ms(self, now: float) -> float:
        """Core time per unit of work, in milliseconds."""
        return self._unit_ms * (self._slow if now >= self._slow_from_ms else 1.0)


class OmniscientObserver(QueueObserver):
    """Attributes queueing time like a gateway, with knowledge of the work in the stores and of their true speed.

    The time that a gateway attributes to a slow node is divided among the requests that the store works on. If the store is
    slowed down, the part of the time due to this is attributed to the node.
    """

    def __init__(self, simulation: Simulation, index: int) -> None:
        super().__init__(simulation.schedulers[index])
        self.simulation, self.index = simulation, index

    def _in_flight_shares(self, node: EndpointState, now: float) -> dict[Holder, float]:
        simulation = self.simulation
        store = simulation.stores[node.shard]
        slow_share = 1 - simulation.setup.unit_ms / store.unit_ms(now)
        shares: dict[Holder, float] = {}
        share_of_node = 1.0 / len(node.in_flight)

        def add(holder: Holder, share: float) -> None:
            shares[holder] = shares.get(holder, 0.0) + share

        for (request, _), (sent, class_name) in node.in_flight.items():
            pending = self.scheduler.requests.get(request)
            if now - sent <= SLOW_ATTEMPT_FACTOR * self.expected_latency_ms(
                node, class_name, pending.request.units if pending else 1.0
            ):
                add(("volume", simulation.done[request].volume, class_name), share_of_node)
                continue
            in_progress = [simulation.done[other] for _, other in store.busy]
            if (self.index, request) in store.busy or not in_progress:
                in_progress = [simulation.done[request]]
            add(("node", node.name, "slow"), share_of_node * slow_share)
            for other in in_progress:
                add(
                    ("volume", other.volume, other.class_name),
                    share_of_node * (1 - slow_share) / len(in_progress),
                )
        return shares


class Simulation:
    """One run of a simulation."""

    def __init__(
        self,
        setup: SimulationSetup,
        without: frozenset[str] = frozenset(),
        omniscient: bool = False,
        scheduler_settings: api.Settings | None = None,
    ) -> None:
        self.setup = setup
        self._heap: list[tuple[float, int, str, tuple[object, ...]]] = []
        self._order = itertools.count()
        self.done: dict[str, RequestResult] = {}
        scheduler_settings = scheduler_settings or api.Settings(
            gateway_count=setup.gateways, gateway_index=0, classes=CLASSES, plans=PLANS, mean_request_units=2.0, max_request_units=8.0,
            fair_share_priority_factor=0.3, excess_priority_factor=0.08, max_attempts=3, max_retry_after_ms=500.0,
        )  # fmt: skip
        self.deadlines = {kind.name: kind.deadline_ms for kind in scheduler_settings.classes}
        settings = [
            dataclasses.replace(scheduler_settings, gateway_index=index) for index in range(setup.gateways)
        ]
        self.schedulers = [Scheduler(each, setup.seed * 1000 + each.gateway_index, 0.0) for each in settings]
        self.observers = [QueueObserver(scheduler) for scheduler in self.schedulers]
        self.omniscient_observers = (
            [OmniscientObserver(self, index) for index in range(setup.gateways)] if omniscient else []
        )
        slow = dict(setup.slow)
        self.stores = [
            _Store(setup.cores, setup.unit_ms, slow.get(n, 1.0), setup.slow_from_ms)
            for n in range(setup.stores)
        ]
        self._open: dict[str, tuple[api.Request, int]] = {}
        nodes = tuple(
            api.Endpoint(f"n{shard}", api.EndpointStatus.READY, shard) for shard in range(setup.stores)
        )
        for index in range(setup.gateways):
            self._start_gateway(index, nodes)
        for workload in setup.workloads:
            if workload.name not in without:
                self._schedule_arrivals(workload)

    def _start_gateway(self, index: int, nodes: tuple[api.Endpoint, ...]) -> None:
        """Start a gateway that knows all endpoints."""
        self._handle_events(0.0, index, [api.EndpointList(api.EndpointListKind.FULL, nodes)])

    def _schedule(self, time: float, kind: str, *arguments: object) -> None:
        heapq.heappush(self._heap, (time, next(self._order), kind, arguments))

    def _schedule_arrivals(self, workload: Workload) -> None:
        rng = random.Random(f"{self.setup.seed}/{workload.name}")
        now, number = workload.begin_ms, 0
        while (now := now + rng.expovariate(workload.rate) * 1000) < min(
            workload.end_ms, self.setup.length_ms
        ):
            number += 1
            request = api.Request(
                f"{workload.name}-{number}", workload.class_name, workload.plan, workload.name, f"k{number}", workload.units,
                rng.choice(workload.shards), len(workload.gateways), self.deadlines[workload.class_name],
            )  # fmt: skip
            self._schedule(now, "arrive", rng.choice(workload.gateways), request)

    def arrivals(self) -> list[tuple[float, api.Request]]:
        """The scheduled arrivals in order, with their times."""
        requests = [(at, arguments[1]) for at, _, kind, arguments in self._heap if kind == "arrive"]
        return sorted(
            ((at, request) for at, request in requests if isinstance(request, api.Request)),
            key=lambda each: each[0],
        )

    def run(self) -> list[RequestResult]:
        """Run to the end; returns all requests in order of arrival."""
        while self._heap:
            now, _, kind, arguments = heapq.heappop(self._heap)
            getattr(self, f"_on_{kind}")(now, *arguments)
        return list(self.done.values())

    def _on_arrive(self, now: float, gateway: int, request: api.Request) -> None:
        done = RequestResult(
            request.request_id, request.volume, request.request_class, gateway, now, units=request.units
        )
        self.done[request.request_id] = done
        self._open[request.request_id] = request, 0
        for observer in self._observers(gateway):
            observer.record_queued(request.request_id, request.shard, request.request_class, now)
        self._handle_events(now, gateway, [request])

    def _on_timer(self, now: float, gateway: int, tag: int) -> None:
        self._handle_events(now, gateway, [api.TimerFired(tag)])

    def _observers(self, index: int) -> list[QueueObserver]:
        return (
            [self.observers[index], self.omniscient_observers[index]]
            if self.omniscient_observers
            else [self.observers[index]]
        )

    def _handle_events(self, now: float, index: int, events: list[api.Event]) -> None:
        for action in self.schedulers[index].handle(now, events):
            if isinstance(action, api.SetTimer):
                self._schedule(now + max(0.001, action.after_ms), "timer", index, action.timer_id)
            elif isinstance(action, api.StartAttempt):
                request, attempt = self._open[action.request_id]
                self._open[action.request_id] = request, attempt + 1
                self._record_queueing(now, index, action.request_id)
                done = self.done[action.request_id]
                endpoint = self.schedulers[index].endpoints[action.endpoint]
                done.sent, done.node = now, action.endpoint
                done.expected_ms = self.observers[index].expected_latency_ms(
                    endpoint, done.class_name, done.units
                )
                self._send_attempt(now, index, request, attempt, action.endpoint)
            elif isinstance(action, (api.ShedRequest, api.FailRequest)):
                self._record_queueing(now, index, action.request_id)
                done = self.done[action.request_id]
                done.end, done.outcome = now, "refused" if isinstance(action, api.ShedRequest) else "failed"
                self._open.pop(action.request_id, None)
            elif isinstance(action, api.WatchEndpoints):
                self._watch_endpoints(now, index)
        for observer in self._observers(index):
            observer.observe(now)

    def _send_attempt(self, now: float, index: int, request: api.Request, attempt: int, node: str) -> None:
        work = request.shard, index, request.request_id, attempt, request.units, now
        self._schedule(now + self.setup.net_ms, "work", *work)

    def _watch_endpoints(self, now: float, index: int) -> None:
        """The scheduler requests the endpoint list, which it already has here."""

    def _record_queueing(self, now: float, index: int, request: str) -> None:
        holders, causes = self.observers[index].record_dequeued(request, now)
        done = self.done[request]
        if self.omniscient_observers:
            for holder, value in self.omniscient_observers[index].record_dequeued(request, now)[0].items():
                done.true_blame[holder] = done.true_blame.get(holder, 0.0) + value
        for holder, value in holders.items():
            done.blame[holder] = done.blame.get(holder, 0.0) + value
        for cause, value in causes.items():
            done.causes[cause] = done.causes.get(cause, 0.0) + value
        done.queued_ms += sum(holders.values())

    def _on_work(
        self, now: float, shard: int, gateway: int, request: str, attempt: int, units: float, sent: float
    ) -> None:
        store = self.stores[shard]
        store.queue.append((gateway, request, attempt, units, sent))
        self._start_queued_work(now, shard)

    def _start_queued_work(self, now: float, shard: int) -> None:
        store = self.stores[shard]
        while store.free and store.queue:
            gateway, request, attempt, units, sent = store.queue.popleft()
            store.free -= 1
            store.busy.add((gateway, request))
            self._schedule(now + units * store.unit_ms(now), "worked", shard, gateway, request, attempt, sent)

    def _on_worked(
        self, now: float, shard: int, gateway: int, request: str, attempt: int, sent: float
    ) -> None:
        self.stores[shard].free += 1
        self.stores[shard].busy.discard((gateway, request))
        self._start_queued_work(now, shard)
        end = now + self.setup.net_ms
        event = api.AttemptEnded(request, attempt, f"n{shard}", api.AttemptOutcome.SERVED, end - sent, True)
        self._schedule(end, "answer", gateway, event)

    def _on_answer(self, now: float, gateway: int, event: api.AttemptEnded) -> None:
        done = self.done[event.request_id]
        if not done.outcome:
            done.end, done.outcome = now, "served"
            self._open.pop(event.request_id, None)
        self._handle_events(now, gateway, [event])


def accounts(requests: list[RequestResult], off_ms: Mapping[int, float] | None = None) -> list[Account]:
    """The accounts that the gateways' ledgers would hold; ``off_ms`` is the clock offset of each gateway."""
    result = []
    for done in requests:
        latency_ns, queued_ns = round(done.latency * 1e6), round(done.queued_ms * 1e6)
        store_ns = latency_ns - queued_ns
        blame = apportion(queued_ns, done.blame)
        result.append(
            Account(
                request=done.id, began_unix_ms=done.at + (off_ms or {}).get(done.gateway, 0.0),
                gateway=f"gateway-{done.gateway}", volume=done.volume, class_name=done.class_name, key="",
                outcome=done.outcome, reason="", status=0, latency_ns=latency_ns,
                phases_ns=[span for span in (("held", queued_ns), ("store", store_ns)) if span[1]],
                causes_ns=apportion_causes(queued_ns, done.causes),
                blame=[(*holder, share) for holder, share in blame.items()],
                attempt_endpoints=[done.node] if done.node else [], attempt_outcomes=["served"] if done.node else [],
                units=done.units, attempt_times_ns=[store_ns] if done.node else [],
                expected_times_ns=[round(done.expected_ms * 1e6)] if done.node else [],
                timeline=[("held", 0, queued_ns), ("store", queued_ns, latency_ns)],
            )
        )  # fmt: skip
    return result


def play(setup: SimulationSetup, without: frozenset[str] = frozenset()) -> list[RequestResult]:
    """Run a simulation without some of its workloads; returns all requests in order of arrival."""
    return Simulation(setup, without).run()


@dataclass(frozen=True)
class BlameCheck:
    """Blame compared with a run without the blamed workload; milliseconds, summed over the waiter's requests.

    Attributes:
        blamed_ms: Queueing time attributed to the blamed workload.
        reduction_ms: The reduction of queueing time without it.
        queued_ms: Queueing time with it.
    """

    blamed_ms: float
    reduction_ms: float
    queued_ms: float


def counterfactual(setup: SimulationSetup, waiter: str, blamed: str) -> BlameCheck:
    """Compare the queueing time of one workload that is attributed to another with its reduction without the other."""
    full, reduced = play(setup), play(setup, frozenset({blamed}))
    merged = [account for account in merge_accounts(accounts(full)) if account.volume == waiter]
    blamed_ns = sum(
        share for account in merged for *holder, share in account.blame if holder[:2] == ["volume", blamed]
    )
    queued_ns = sum(account.queued_ns for account in merged)
    remaining_ms = sum(done.queued_ms for done in reduced if done.volume == waiter)
    return BlameCheck(blamed_ns / 1e6, queued_ns / 1e6 - remaining_ms, queued_ns / 1e6)
