"""Fleets of gateways that start while discovery is down, in virtual time: real schedulers, real belief; the rest is a model.

Stores have power that grows from a start, and fall over where they are sent more than the rule allows, as the stand-ins do.
The list that a gateway kept names nodes that are gone by now, addresses that other stores have taken, and nodes that started
lately. What a list call, a dial and a question who is there cost is modelled by times; a store's own word is as on sockets.
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
    """How a fleet starts: what it goes by, when discovery answers, and how the kept list differs from what is."""

    policy: str = "belief"  # belief; outright: the kept list is believed; wait: for discovery; plain: waits, retries evenly
    discovery_at_ms: float = 0.0
    gone: float = (
        0.05  # of the list's nodes that are elsewhere by now; at half of their addresses are other stores
    )
    fresh: float = 0.1  # of the nodes that started a moment ago, in place
    spread_ms: float = 1000.0  # over which gateways start


class SimulatedStore:
    """A store: its work, its power since its start, and what makes it fall over."""

    def __init__(self, name: str, shard: int, cores: int, unit_ms: float, born: float) -> None:
        self.name, self.shard, self.cores, self.unit_ms, self.born = name, shard, cores, unit_ms, born
        self.free, self.queue = cores, deque[tuple[int, str, int, float, float]]()
        self.overloaded = self.stranger = False
        self.alive = True
        self.sent: deque[tuple[float, float]] = deque()
        self.misdirected_requests = 0

    def part(self, now: float) -> float:
        """Of its power that it has now."""
        age = now - self.born
        return 1.0 if age >= WARM_MS else COLD_FROM + (1 - COLD_FROM) * max(0.0, age) / WARM_MS

    def press(self, now: float, units: float) -> None:
        """Count what it is sent while cold."""
        if now - self.born >= WARM_MS:
            return
        self.sent.append((now, units))
        while self.sent[0][0] < now - FALL_WINDOW_MS:
            self.sent.popleft()
        power = self.cores * 1000 / self.unit_ms * self.part(now)
        most = max(COLD_UNITS, FALL_MULTIPLE * power * FALL_WINDOW_MS / 1000)
        self.overloaded = self.overloaded or sum(units for _, units in self.sent) > most


class StartupSimulation(Simulation):
    """One start of a fleet."""

    def __init__(self, setup: SimulationSetup, startup: StartupConditions) -> None:
        self.startup = startup
        rng = self.rng = random.Random(f"{setup.seed}/start")
        names = [f"n{shard}" for shard in range(setup.stores)]
        lost = set(rng.sample(range(setup.stores), round(startup.gone * setup.stores)))
        fresh = set(
            rng.sample([n for n in range(setup.stores) if n not in lost], round(startup.fresh * setup.stores))
        )
        self.simulated_stores: dict[str, SimulatedStore] = {}
        self.listed: list[tuple[str, int, float]] = []  # what discovery knows: name, shard, start
        for shard, name in enumerate(names):
            born = -2000.0 if shard in fresh else -1e9
            place = f"m{shard}" if shard in lost else name
            self.simulated_stores[place] = SimulatedStore(place, shard, setup.cores, setup.unit_ms, born)
            self.listed.append((place, shard, born if shard in fresh else 0.0))
            if shard in lost:
                old = self.simulated_stores[name] = SimulatedStore(
                    name, shard, setup.cores, setup.unit_ms, -1e9
                )
                old.stranger = bool(rng.random() < 0.5)
                old.alive = old.stranger
        self.kept = [
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
        self.beliefs = [EndpointView(bounds) for _ in range(setup.gateways)]
        self.checked: set[tuple[int, str]] = set()
        self.trying: set[int] = set()
        self.started: set[int] = set()
        self.list_calls: Counter[int] = Counter()  # at the list service, by second
        self.told: Counter[int] = Counter()  # calls in a row of a gateway that failed
        self.following: set[int] = set()
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

    def _begin(self, index: int, nodes: tuple[api.Endpoint, ...]) -> None:
        self._at(self.rng.uniform(0.0, self.startup.spread_ms), "start", index)

    def _on_start(self, now: float, index: int) -> None:
        self.started.add(index)
        if self.startup.policy == "belief":
            self.beliefs[index].restore_cached([replace(known) for known in self.kept], now)
            self._at(now, "tick", index)
        elif self.startup.policy == "outright":
            nodes = tuple(
                api.Endpoint(known.name, api.EndpointStatus.READY, known.shard) for known in self.kept
            )
            self._give(now, index, [api.EndpointList(api.EndpointListKind.CACHED, nodes)])
        self._watch(now, index)

    def _on_arrive(self, now: float, gateway: int, request: api.Request) -> None:
        if gateway not in self.started and self.started:  # nobody listens yet: the client goes to another one
            gateway = self.rng.choice(sorted(self.started))
        super()._on_arrive(now, gateway, request)

    # The list service

    def _watch(self, now: float, index: int) -> None:
        if index not in self.following:
            self.list_calls[int(now // 1000)] += 1
            self._at(now + 1.0, "list", index)

    def _on_list(self, now: float, index: int) -> None:
        if index in self.following:
            return
        if now < self.startup.discovery_at_ms:
            self.told[index] += 1
            self.beliefs[index].mark_source_failed("list", now)
            self._give(now, index, [api.EndpointList(api.EndpointListKind.FAILED)])
            if self.startup.policy == "plain":
                self._at(now + 500.0, "retry", index)
            return
        self.following.add(index)
        entries = [
            ListedEndpoint(name, api.EndpointStatus.READY, shard, "", born, f"store-{shard}")
            for name, shard, born in self.listed
        ]
        self.beliefs[index].apply_list("list", entries, now, version=1)
        self.beliefs[index].take_changes()
        nodes = tuple(
            api.Endpoint(entry.name, entry.status, entry.shard, "", entry.started_at_ms) for entry in entries
        )
        self._give(now, index, [api.EndpointList(api.EndpointListKind.FULL, nodes)])

    def _on_retry(self, now: float, index: int) -> None:
        self._watch(now, index)

    # Belief

    def _on_tick(self, now: float, index: int) -> None:
        belief = self.beliefs[index]
        belief.tick(now)
        name = None if index in self.trying else belief.next_health_check(now)
        if name is not None:
            self.trying.add(index)
            took = self._dial_ms(name)
            self._at(now + self.rng.uniform(0, TICK_MS) + took, "tried", index, name)
        self._news(now, index)
        if now < self.setup.length_ms:
            self._at(now + TICK_MS, "tick", index)

    def _on_tried(self, now: float, index: int, name: str) -> None:
        self.trying.discard(index)
        self._ask(now, index, name)
        self._news(now, index)

    def _ask(self, now: float, index: int, name: str) -> bool:
        """Dial a node, and ask who is there."""
        machine = self.simulated_stores[name]
        if not machine.alive or machine.overloaded:
            self.beliefs[index].record_connect_failure(name, now)
            return False
        identity = "stranger" if machine.stranger else f"store-{machine.shard}"
        fits = self.beliefs[index].record_response(
            name, EndpointEvidence(identity, "b", now - machine.born), now
        )
        if fits:
            self.checked.add((index, name))
        return fits

    def _dial_ms(self, name: str) -> float:
        machine = self.simulated_stores[name]
        if machine.overloaded:
            return DIAL_TIMEOUT_MS
        # A host that is gone says nothing; a port that nobody listens at refuses at once: half of each.
        return 2 * self.setup.net_ms if machine.alive or int(name[1:]) % 2 else DIAL_TIMEOUT_MS

    def _news(self, now: float, index: int) -> None:
        belief = self.beliefs[index]
        if news := belief.take_changes():
            if index in self.following:
                self._give(now, index, [api.EndpointList(api.EndpointListKind.CHANGES, tuple(news))])
            else:
                self._give(
                    now, index, [api.EndpointList(api.EndpointListKind.CACHED, tuple(belief.snapshot()))]
                )

    # Work

    def _send(self, now: float, index: int, request: api.Request, attempt: int, node: str) -> None:
        machine = self.simulated_stores[node]
        if not machine.alive or machine.overloaded:
            took = self._dial_ms(node)
            self._ended(
                now + took, index, request.request_id, attempt, node, api.AttemptOutcome.CONNECT_FAILED, took
            )
            return
        if (
            self.startup.policy == "belief"
            and (index, node) not in self.checked
            and not self._ask(now, index, node)
        ):
            self._ended(
                now + 1.0, index, request.request_id, attempt, node, api.AttemptOutcome.CONNECT_FAILED, 1.0
            )
            return
        if machine.stranger:  # it answers, and has nothing that is asked for
            machine.misdirected_requests += 1
            self._ended(now + 1.0, index, request.request_id, attempt, node, api.AttemptOutcome.ERROR, 1.0)
            return
        machine.press(now, request.units)
        if machine.overloaded:
            machine.queue.clear()
            return
        machine.queue.append((index, request.request_id, attempt, request.units, now))
        self._serve(now + self.setup.net_ms, machine)

    def _ended(
        self,
        at: float,
        index: int,
        request: str,
        attempt: int,
        node: str,
        how: api.AttemptOutcome,
        took: float,
    ) -> None:
        self._at(
            at,
            "answer",
            index,
            api.AttemptEnded(request, attempt, node, how, took, how is api.AttemptOutcome.SERVED),
        )

    def _serve(self, now: float, machine: SimulatedStore) -> None:
        while machine.free and machine.queue:
            index, request, attempt, units, sent = machine.queue.popleft()
            machine.free -= 1
            self._at(
                now + units * machine.unit_ms / machine.part(now),
                "done",
                machine.name,
                index,
                request,
                attempt,
                sent,
            )

    def _on_done(self, now: float, name: str, index: int, request: str, attempt: int, sent: float) -> None:
        machine = self.simulated_stores[name]
        machine.free += 1
        if not machine.overloaded:
            end = now + self.setup.net_ms
            self._ended(end, index, request, attempt, name, api.AttemptOutcome.SERVED, end - sent)
        self._serve(now, machine)

    def _on_answer(self, now: float, gateway: int, event: api.AttemptEnded) -> None:
        if event.outcome is api.AttemptOutcome.SERVED:
            super()._on_answer(now, gateway, event)
        else:
            self._give(now, gateway, [event])
            if event.outcome is api.AttemptOutcome.CONNECT_FAILED and self.startup.policy == "belief":
                self.beliefs[gateway].record_connect_failure(event.endpoint, now)

    def value_served(self, until_ms: float) -> float:
        """Worth of what was served within its aim, by then."""
        aims = {kind.name: (kind.latency_objective_ms, kind.priority_weight) for kind in CLASSES}
        return sum(
            aims[done.class_name][1] * (done.latency <= aims[done.class_name][0])
            for done in self.done.values()
            if done.outcome == "served" and done.end <= until_ms
        )

    def first_served_ms(self) -> float:
        """When the first request was served."""
        return min(
            (done.end for done in self.done.values() if done.outcome == "served"), default=float("inf")
        )


def startup_simulation_setup(
    gateways: int, stores: int, seed: int, length_ms: float, load: float = 0.5
) -> SimulationSetup:
    """Courses that ask for a part of what all stores can do."""
    rate = load * stores * 2 * 1000 / 10.0 / 2.0  # requests a second of two units, two cores, 10 ms a unit
    count = 2 * stores
    courses = tuple(
        Workload(
            f"course-{n}", rate / count, ("fetch", "fetch", "submit")[n % 3], 2.0, ("school", "basic", "contest")[n % 3],
            (n % stores, (n + 5) % stores), tuple(sorted({(n * 7 + step) % gateways for step in range(8)})),
        )
        for n in range(count)
    )  # fmt: skip
    return SimulationSetup(courses, gateways=gateways, stores=stores, length_ms=length_ms, seed=seed)
