"""The world in which membership is checked: gateways, nodes and a list service that is up, down, late, stale or lost.

Each node drains, starts anew, gives its address to another store, or dies; each at most ``faults`` times in all. Time is a
step of its own: as long as a start takes to warm up. A gateway polls, tries a doubtful node, sends, keeps its list on the
disk, and starts anew with what is there. Invariants, at each request that reaches a node:

    identity  it is the store that was meant, never another at its address
    cold      where its start is not yet warm the gateway counts it as cold
    drain     a gateway that was told of this start's drain (and kept it, where it started anew since) sends it nothing
"""

from __future__ import annotations

import pickle
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field, replace

from winchdyke.discovery.endpoint_view import (
    CachedEndpoint,
    DiscoveryBounds,
    DiscoveryStatus,
    EndpointEvidence,
    EndpointView,
    ListedEndpoint,
)
from winchdyke.interface import EndpointStatus
from winchdyke.model.checker import InvariantViolation

WARMUP_MS = 1000.0
BOUNDS = DiscoveryBounds(
    warmup_ms=WARMUP_MS,
    min_health_check_interval_ms=0.0,
    initial_backoff_ms=0.0,
    max_backoff_ms=0.0,
    max_vanished_fraction=0.4,
    omission_grace_ms=3 * WARMUP_MS,
    response_freshness_ms=WARMUP_MS,
    start_time_tolerance_ms=1.0,
)


@dataclass
class StoreProcess:
    """A node as it is."""

    identity: int = 0
    boot_number: int = 0
    started_at_ms: float = -10 * WARMUP_MS
    is_running: bool = True
    draining: bool = False


@dataclass
class ListedState:
    """A node as the list has it."""

    status: EndpointStatus
    identity: int
    started_at_ms: float


@dataclass
class ModelledGateway:
    """A gateway: what it believes, its connections (node to boot), its disk, and the drains it was told of."""

    view: EndpointView
    connections: dict[int, tuple[int, int]] = field(default_factory=dict)
    cached: list[CachedEndpoint] = field(default_factory=list)
    known_drains: set[tuple[int, int]] = field(default_factory=set)  # node, boot
    cached_drains: set[tuple[int, int]] = field(default_factory=set)


class DiscoveryModel:
    """One state of the world."""

    def __init__(
        self,
        gateways: int = 2,
        nodes: int = 2,
        faults: int = 2,
        kind: type[EndpointView] = EndpointView,
        greets: bool = True,
    ) -> None:
        self.view_type, self.faults, self.checks_identity, self.now = kind, faults, greets, 100 * WARMUP_MS
        self.nodes = [StoreProcess() for _ in range(nodes)]
        self.listed = [ListedState(EndpointStatus.READY, 0, 0.0) for _ in range(nodes)]
        self.version = 2
        self.stale_list: tuple[int, list[ListedState]] = (1, [replace(told) for told in self.listed])
        self.service_mode = "list"  # or stale, down, empty
        self.gateways = [ModelledGateway(kind(BOUNDS)) for _ in range(gateways)]

    def steps(self) -> Iterable[str]:
        """All that may happen next."""
        if self.faults:
            for n, node in enumerate(self.nodes):
                if node.is_running:
                    yield from (f"restart {n}", f"reuse {n}", f"die {n}")
                    if not node.draining:
                        yield f"drain {n}"
            yield from (f"serve {how}" for how in ("down", "stale", "empty") if self.service_mode == "list")
            yield from (f"reboot {g}" for g in range(len(self.gateways)))
        if self.service_mode != "list":
            yield "serve list"
        for n in range(len(self.nodes)):
            if self._true(n) != self.listed[n]:
                yield f"learn {n}"
        if any(self.now - node.started_at_ms < WARMUP_MS for node in self.nodes):
            yield "time"
        for g, gateway in enumerate(self.gateways):
            yield f"poll {g}"
            yield f"save {g}"
            if any(
                known.status in (DiscoveryStatus.DOUBTFUL, DiscoveryStatus.REUSED)
                for known in gateway.view.endpoints.values()
            ):
                yield f"try {g}"
            yield from (f"send {g} {n}" for n in range(len(self.nodes)) if gateway.view.is_usable(f"n{n}:1"))

    def after(self, step: str) -> DiscoveryModel:
        """The world one step on."""
        made: DiscoveryModel = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        what, *words = step.split()
        if what in ("restart", "reuse", "die", "drain", "reboot") or (what == "serve" and words != ["list"]):
            made.faults -= 1
        getattr(made, f"_{what}")(*(word if word.isalpha() else int(word) for word in words))
        return made

    def _true(self, n: int) -> ListedState:
        node = self.nodes[n]
        if node.identity or not node.is_running:
            return ListedState(EndpointStatus.REMOVED, node.identity, 0.0)
        started = node.started_at_ms if self.now - node.started_at_ms < WARMUP_MS else 0.0
        return ListedState(EndpointStatus.DRAINING if node.draining else EndpointStatus.READY, 0, started)

    def _restart(self, n: int) -> None:
        node = self.nodes[n]
        node.boot_number, node.started_at_ms, node.draining = node.boot_number + 1, self.now, False
        self._break(n)

    def _reuse(self, n: int) -> None:
        self._restart(n)
        self.nodes[n].identity += 1

    def _die(self, n: int) -> None:
        self.nodes[n].is_running = False
        self._break(n)

    def _break(self, n: int) -> None:
        for gateway in self.gateways:
            gateway.connections.pop(n, None)

    def _drain(self, n: int) -> None:
        self.nodes[n].draining = True

    def _serve(self, how: str) -> None:
        self.service_mode = how

    def _learn(self, n: int) -> None:
        self.stale_list = self.version, [replace(told) for told in self.listed]
        self.listed[n] = self._true(n)
        self.version += 1

    def _time(self) -> None:
        self.now += WARMUP_MS
        for gateway in self.gateways:
            gateway.view.tick(self.now)

    def _poll(self, g: int) -> None:
        gateway = self.gateways[g]
        if self.service_mode == "down":
            gateway.view.mark_source_failed("list", self.now)
            return
        version, entries = self.stale_list if self.service_mode == "stale" else (self.version, self.listed)
        if self.service_mode == "empty":
            version, entries = self.version + 1, []
        told = [
            ListedEndpoint(f"n{n}:1", entry.status, n, "", entry.started_at_ms, str(entry.identity))
            for n, entry in enumerate(entries)
            if entry.status is not EndpointStatus.REMOVED
        ]
        gateway.view.apply_list("list", told, self.now, version=version)
        for n, entry in enumerate(entries):
            if entry.status is EndpointStatus.DRAINING and entry == self._true(n):
                gateway.known_drains.add((n, self.nodes[n].boot_number))

    def _word(self, n: int) -> EndpointEvidence:
        node = self.nodes[n]
        return EndpointEvidence(
            str(node.identity), str(node.boot_number), self.now - node.started_at_ms, node.draining
        )

    def _dial(self, g: int, n: int) -> bool:
        gateway, node = self.gateways[g], self.nodes[n]
        if not node.is_running:
            gateway.view.record_connect_failure(f"n{n}:1", self.now)
            return False
        fits = not self.checks_identity or self._hear(g, n)
        if fits:
            gateway.connections[n] = node.identity, node.boot_number
        return fits

    def _hear(self, g: int, n: int) -> bool:
        fits = self.gateways[g].view.record_response(f"n{n}:1", self._word(n), self.now)
        if self.nodes[n].draining and not self.nodes[n].identity:
            self.gateways[g].known_drains.add((n, self.nodes[n].boot_number))
        return fits

    def _try(self, g: int) -> None:
        name = self.gateways[g].view.next_health_check(self.now)
        if name is not None:
            self._dial(g, int(name[1:-2]))

    def _send(self, g: int, n: int) -> None:
        gateway, node = self.gateways[g], self.nodes[n]
        if n not in gateway.connections and not self._dial(g, n):
            return
        if not gateway.view.is_usable(f"n{n}:1"):
            return
        if node.identity:
            raise InvariantViolation("identity: a request reaches another store at the address")
        known = gateway.view.endpoints[f"n{n}:1"]
        if self.now - node.started_at_ms < WARMUP_MS and not (
            known.started_at_ms and self.now - known.started_at_ms < WARMUP_MS
        ):
            raise InvariantViolation("cold: a request goes to a node just started as to a warm one")
        if node.draining and (n, node.boot_number) in gateway.known_drains:
            raise InvariantViolation("drain: a request goes to a node whose drain was told")
        self._hear(g, n)

    def _save(self, g: int) -> None:
        gateway = self.gateways[g]
        gateway.cached = [replace(known) for known in gateway.view.endpoints.values()]
        gateway.cached_drains = set(gateway.known_drains)

    def _reboot(self, g: int) -> None:
        old = self.gateways[g]
        new = ModelledGateway(
            self.view_type(BOUNDS), {}, old.cached, set(old.cached_drains), old.cached_drains
        )
        new.view.restore_cached(new.cached, self.now)
        self.gateways[g] = new

    def _ago(self, at: float | None) -> int | None:
        """How many steps of time ago, at the most four; 1 for long ago."""
        if at is None or not at:
            return None if at is None else 1
        return max(-4, int((at - self.now) // WARMUP_MS))

    def _told(self, entries: list[ListedState]) -> tuple[Hashable, ...]:
        return tuple((told.status, told.identity, self._ago(told.started_at_ms)) for told in entries)

    def key(self) -> Hashable:
        """Times as steps ago, at most four; versions in their order; gateways in either order, as they are alike."""
        nodes = tuple(
            (m.identity > 0, m.boot_number, self._ago(m.started_at_ms), m.is_running, m.draining)
            for m in self.nodes
        )
        gateways = []
        for gateway in self.gateways:
            source = gateway.view.sources["list"]
            gateways.append(
                (
                    tuple(
                        (k.name, k.status, k.identity, k.boot_id, self._ago(k.started_at_ms), k.start_time_known, k.uptime_reported, k.drain_announced, k.listed,
                         k.reason.endswith("own word"), self._ago(k.omitted_since_ms))
                        for k in sorted(gateway.view.endpoints.values(), key=lambda k: k.name)
                    ),
                    tuple(sorted(source.entries)), self.version - source.version, source.has_reported, source.healthy,
                    self._ago(source.regressed_since_ms), tuple(sorted(gateway.connections.items())), tuple(sorted(gateway.known_drains)),
                    tuple((k.name, k.status, k.identity, k.boot_id, k.drain_announced) for k in sorted(gateway.cached, key=lambda k: k.name)),
                    tuple(sorted(gateway.cached_drains)),
                )
            )  # fmt: skip
        stale = self.version - self.stale_list[0], self._told(self.stale_list[1])
        return (
            self.faults,
            nodes,
            self._told(self.listed),
            stale,
            self.service_mode,
            tuple(sorted(gateways, key=repr)),
        )
