"""Simulates starts of many gateways while discovery is down, with the real scheduler and the real endpoint view.

The capacity of stores grows after a start, and more units than the rule allows overload them, as with the stand-ins.
A gateway's cached list names endpoints that have moved, addresses that other stores use by now, and stores that restarted
shortly before. List calls, connections and identity checks take fixed times; stores report their uptime as over sockets.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass

from msgspec.structs import replace

from winchdyke import interface as api
from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.endpoint_view import EndpointView
from winchdyke.discovery.records import CachedEndpoint, DiscoveryStatus, EndpointEvidence, ListedEndpoint
from winchdyke.model.world import CLASSES, PLANS, Simulation, SimulationSetup, Workload

WARM_MS, COLD_FROM, FALL_MULTIPLE, FALL_WINDOW_MS, COLD_UNITS = 10_000.0, 0.2, 3.0, 1500.0, 9.0
DIAL_TIMEOUT_MS, TICK_MS = 250.0, 20.0


@dataclass(frozen=True)
class StartupConditions:
    """How the gateways start, and how their cached endpoint lists differ from the true state.

    Attributes:
        policy: "belief" checks cached endpoints before use, "outright" uses them unchecked, "wait" waits for discovery,
            "plain" waits too and retries at a fixed interval.
        discovery_at_ms: The time from which the list service answers.
        moved_fraction: The fraction of cached endpoints that have moved; another store uses half of the old addresses.
        fresh_fraction: The fraction of endpoints that restarted shortly before, at the same address.
        spread_ms: The time over which gateways start.
    """

    policy: str = "belief"
    discovery_at_ms: float = 0.0
    moved_fraction: float = 0.05
    fresh_fraction: float = 0.1
    spread_ms: float = 1000.0


class SimulatedStore:
    """A store with queued work, a capacity that grows after its start, and overload while it is cold."""

    def __init__(self, name: str, shard: int, cores: int, unit_ms: float, started_at_ms: float) -> None:
        self.name, self.shard, self.cores, self.unit_ms, self.started_at_ms = (
            name,
            shard,
            cores,
            unit_ms,
            started_at_ms,
        )
        self.free, self.queue = cores, deque[tuple[int, str, int, float, float]]()
        self.overloaded = self.has_other_identity = False
        self.alive = True
        self.sent: deque[tuple[float, float]] = deque()
        self.misdirected_requests = 0

    def capacity_fraction(self, now: float) -> float:
        """The part of its full capacity that it has now."""
        age = now - self.started_at_ms
        return 1.0 if age >= WARM_MS else COLD_FROM + (1 - COLD_FROM) * max(0.0, age) / WARM_MS

    def record_sent(self, now: float, units: float) -> None:
        """Count units sent to it while it is cold; too many in a window overload it permanently."""
        if now - self.started_at_ms >= WARM_MS:
            return
        self.sent.append((now, units))
        while self.sent[0][0] < now - FALL_WINDOW_MS:
            self.sent.popleft()
        power = self.cores * 1000 / self.unit_ms * self.capacity_fraction(now)
        limit_units = max(COLD_UNITS, FALL_MULTIPLE * power * FALL_WINDOW_MS / 1000)
        self.overloaded = self.overloaded or sum(units for _, units in self.sent) > limit_units


class StartupSimulation(Simulation):
    """One simulated start of many gateways."""

    def __init__(self, setup: SimulationSetup, startup: StartupConditions) -> None:
        self.startup = startup
        rng = self.rng = random.Random(f"{setup.seed}/start")
        names = [f"n{shard}" for shard in range(setup.stores)]
        moved = set(rng.sample(range(setup.stores), round(startup.moved_fraction * setup.stores)))
        fresh = set(
            rng.sample(
                [n for n in range(setup.stores) if n not in moved],
                round(startup.fresh_fraction * setup.stores),
            )
        )
        self.simulated_stores: dict[str, SimulatedStore] = {}
        self.listed: list[tuple[str, int, float]] = []  # the true list: name, shard, start
        for shard, name in enumerate(names):
            started_at_ms = -2000.0 if shard in fresh else -1e9
            endpoint_name = f"m{shard}" if shard in moved else name
            self.simulated_stores[endpoint_name] = SimulatedStore(
                endpoint_name, shard, setup.cores, setup.unit_ms, started_at_ms
            )
            self.listed.append((endpoint_name, shard, started_at_ms if shard in fresh else 0.0))
            if shard in moved:
                previous = self.simulated_stores[name] = SimulatedStore(
                    name, shard, setup.cores, setup.unit_ms, -1e9
                )
                previous.has_other_identity = bool(rng.random() < 0.5)
                previous.alive = previous.has_other_identity
        self.cached_endpoints = [
            CachedEndpoint(
                name,
                shard,
                status=DiscoveryStatus.USABLE,
                identity=f"store-{shard}",
                confirmed_unix_ms=rng.random(),
            )
            for shard, name in enumerate(names)
        ]
        bounds = DiscoveryBounds(warmup_ms=WARM_MS)
        self.endpoint_views = [EndpointView(bounds) for _ in range(setup.gateways)]
        self.checked: set[tuple[int, str]] = set()
        self.checking: set[int] = set()
        self.started: set[int] = set()
        self.list_calls: Counter[int] = Counter()  # calls of the list service, by second
        self.failed_calls: Counter[int] = Counter()  # failed calls of the list service, by gateway
        self.watching: set[int] = set()
        settings = api.Settings(
            gateway_count=setup.gateways,
            gateway_index=0,
            classes=CLASSES,
            plans=PLANS,
            mean_request_units=2.0,
            max_request_units=8.0,
            fair_share_priority_factor=0.3,
            excess_priority_factor=0.08,
            max_attempts=3,
            max_retry_after_ms=500.0,
            connect_timeout_ms=DIAL_TIMEOUT_MS,
            slow_start_initial_capacity=COLD_FROM,
            slow_start_duration_ms=WARM_MS,
            slow_start_overload_factor=FALL_MULTIPLE,
            slow_start_overload_window_ms=FALL_WINDOW_MS,
            slow_start_initial_units=COLD_UNITS,
            retry_budget_window_ms=5000.0,
            retry_budget_base=3,
            retry_budget_ratio=0.1,
        )
        super().__init__(setup, scheduler_settings=settings)

    def _start_gateway(self, index: int, nodes: tuple[api.Endpoint, ...]) -> None:
        self._schedule(self.rng.uniform(0.0, self.startup.spread_ms), "start", index)

    def _on_start(self, now: float, index: int) -> None:
        self.started.add(index)
        if self.startup.policy == "belief":
            self.endpoint_views[index].restore_cached(
                [replace(known) for known in self.cached_endpoints], now
            )
            self._schedule(now, "tick", index)
        elif self.startup.policy == "outright":
            nodes = tuple(
                api.Endpoint(known.name, api.EndpointStatus.READY, known.shard)
                for known in self.cached_endpoints
            )
            self._handle_events(now, index, [api.EndpointList(api.EndpointListKind.CACHED, nodes)])
        self._watch_endpoints(now, index)

    def _on_arrive(self, now: float, gateway: int, request: api.Request) -> None:
        if (
            gateway not in self.started and self.started
        ):  # the gateway has not started, so the client uses another one
            gateway = self.rng.choice(sorted(self.started))
        super()._on_arrive(now, gateway, request)

    # The list service

    def _watch_endpoints(self, now: float, index: int) -> None:
        if index not in self.watching:
            self.list_calls[int(now // 1000)] += 1
            self._schedule(now + 1.0, "list", index)

    def _on_list(self, now: float, index: int) -> None:
        if index in self.watching:
            return
        if now < self.startup.discovery_at_ms:
            self.failed_calls[index] += 1
            self.endpoint_views[index].mark_source_failed("list", now)
            self._handle_events(now, index, [api.EndpointList(api.EndpointListKind.FAILED)])
            if self.startup.policy == "plain":
                self._schedule(now + 500.0, "retry", index)
            return
        self.watching.add(index)
        entries = [
            ListedEndpoint(name, api.EndpointStatus.READY, shard, "", started_at_ms, f"store-{shard}")
            for name, shard, started_at_ms in self.listed
        ]
        self.endpoint_views[index].apply_list("list", entries, now, version=1)
        self.endpoint_views[index].take_changes()
        nodes = tuple(
            api.Endpoint(entry.name, entry.status, entry.shard, "", entry.started_at_ms) for entry in entries
        )
        self._handle_events(now, index, [api.EndpointList(api.EndpointListKind.FULL, nodes)])

    def _on_retry(self, now: float, index: int) -> None:
        self._watch_endpoints(now, index)

    # Endpoint views

    def _on_tick(self, now: float, index: int) -> None:
        view = self.endpoint_views[index]
        view.tick(now)
        name = None if index in self.checking else view.next_health_check(now)
        if name is not None:
            self.checking.add(index)
            duration_ms = self._dial_ms(name)
            self._schedule(now + self.rng.uniform(0, TICK_MS) + duration_ms, "tried", index, name)
        self._report_changes(now, index)
        if now < self.setup.length_ms:
            self._schedule(now + TICK_MS, "tick", index)

    def _on_tried(self, now: float, index: int, name: str) -> None:
        self.checking.discard(index)
        self._check_identity(now, index, name)
        self._report_changes(now, index)

    def _check_identity(self, now: float, index: int, name: str) -> bool:
        """Connect to an endpoint and check the identity of its store; returns whether the view accepts it."""
        store = self.simulated_stores[name]
        if not store.alive or store.overloaded:
            self.endpoint_views[index].record_connect_failure(name, now)
            return False
        identity = "other-store" if store.has_other_identity else f"store-{store.shard}"
        accepted = self.endpoint_views[index].record_response(
            name, EndpointEvidence(identity, "b", now - store.started_at_ms), now
        )
        if accepted:
            self.checked.add((index, name))
        return accepted

    def _dial_ms(self, name: str) -> float:
        store = self.simulated_stores[name]
        if store.overloaded:
            return DIAL_TIMEOUT_MS
        # Half of the unused addresses time out, as their hosts are gone; the others refuse connections at once.
        return 2 * self.setup.net_ms if store.alive or int(name[1:]) % 2 else DIAL_TIMEOUT_MS

    def _report_changes(self, now: float, index: int) -> None:
        view = self.endpoint_views[index]
        if changes := view.take_changes():
            if index in self.watching:
                self._handle_events(
                    now, index, [api.EndpointList(api.EndpointListKind.CHANGES, tuple(changes))]
                )
            else:
                self._handle_events(
                    now, index, [api.EndpointList(api.EndpointListKind.CACHED, tuple(view.snapshot()))]
                )

    # Work

    def _send_attempt(self, now: float, index: int, request: api.Request, attempt: int, node: str) -> None:
        store = self.simulated_stores[node]
        if not store.alive or store.overloaded:
            duration_ms = self._dial_ms(node)
            self._schedule_attempt_end(
                now + duration_ms,
                index,
                request.request_id,
                attempt,
                node,
                api.AttemptOutcome.CONNECT_FAILED,
                duration_ms,
            )
            return
        if (
            self.startup.policy == "belief"
            and (index, node) not in self.checked
            and not self._check_identity(now, index, node)
        ):
            self._schedule_attempt_end(
                now + 1.0, index, request.request_id, attempt, node, api.AttemptOutcome.CONNECT_FAILED, 1.0
            )
            return
        if store.has_other_identity:  # another store: it has none of the requested objects
            store.misdirected_requests += 1
            self._schedule_attempt_end(
                now + 1.0, index, request.request_id, attempt, node, api.AttemptOutcome.ERROR, 1.0
            )
            return
        store.record_sent(now, request.units)
        if store.overloaded:
            store.queue.clear()
            return
        store.queue.append((index, request.request_id, attempt, request.units, now))
        self._serve_queue(now + self.setup.net_ms, store)

    def _schedule_attempt_end(
        self,
        at: float,
        index: int,
        request: str,
        attempt: int,
        node: str,
        outcome: api.AttemptOutcome,
        duration_ms: float,
    ) -> None:
        self._schedule(
            at,
            "answer",
            index,
            api.AttemptEnded(
                request, attempt, node, outcome, duration_ms, outcome is api.AttemptOutcome.SERVED
            ),
        )

    def _serve_queue(self, now: float, store: SimulatedStore) -> None:
        while store.free and store.queue:
            index, request, attempt, units, sent = store.queue.popleft()
            store.free -= 1
            self._schedule(
                now + units * store.unit_ms / store.capacity_fraction(now),
                "done",
                store.name,
                index,
                request,
                attempt,
                sent,
            )

    def _on_done(self, now: float, name: str, index: int, request: str, attempt: int, sent: float) -> None:
        store = self.simulated_stores[name]
        store.free += 1
        if not store.overloaded:
            end = now + self.setup.net_ms
            self._schedule_attempt_end(
                end, index, request, attempt, name, api.AttemptOutcome.SERVED, end - sent
            )
        self._serve_queue(now, store)

    def _on_answer(self, now: float, gateway: int, event: api.AttemptEnded) -> None:
        if event.outcome is api.AttemptOutcome.SERVED:
            super()._on_answer(now, gateway, event)
        else:
            self._handle_events(now, gateway, [event])
            if event.outcome is api.AttemptOutcome.CONNECT_FAILED and self.startup.policy == "belief":
                self.endpoint_views[gateway].record_connect_failure(event.endpoint, now)

    def value_served(self, until_ms: float) -> float:
        """The summed priority weights of the requests that were served within their latency objective until a time."""
        objectives = {kind.name: (kind.latency_objective_ms, kind.priority_weight) for kind in CLASSES}
        return sum(
            objectives[done.class_name][1] * (done.latency <= objectives[done.class_name][0])
            for done in self.done.values()
            if done.outcome == "served" and done.end <= until_ms
        )

    def first_served_ms(self) -> float:
        """The time of the first served request; infinity if there is none."""
        return min(
            (done.end for done in self.done.values() if done.outcome == "served"), default=float("inf")
        )


def startup_simulation_setup(
    gateways: int, stores: int, seed: int, length_ms: float, load: float = 0.5
) -> SimulationSetup:
    """Workloads that together use a part, ``load``, of the capacity of all stores."""
    rate = load * stores * 2 * 1000 / 10.0 / 2.0  # requests per second; 2 units each, 2 cores, 10 ms per unit
    count = 2 * stores
    workloads = tuple(
        Workload(
            f"course-{n}", rate / count, ("fetch", "fetch", "submit")[n % 3], 2.0, ("school", "basic", "contest")[n % 3],
            (n % stores, (n + 5) % stores), tuple(sorted({(n * 7 + step) % gateways for step in range(8)})),
        )
        for n in range(count)
    )  # fmt: skip
    return SimulationSetup(workloads, gateways=gateways, stores=stores, length_ms=length_ms, seed=seed)
