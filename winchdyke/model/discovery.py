"""A model of endpoint discovery for the model checker: gateways, stores, and a list service with faults.

Stores drain, restart, give their address to another store, or fail; the list service is up, down, stale or empty, and
learns late; ``faults`` bounds these events in total. Time is a step of its own, as long as a warmup. A gateway polls,
checks an unconfirmed endpoint, sends, saves its cache, and restarts from it. Invariants, for each request that reaches a
store:

    identity  the store is the intended one, not another one at its address
    cold      the gateway counts a store that is warming up as warming up
    drain     the gateway had not learnt of a drain of this process, or had restarted without having cached it
"""

from __future__ import annotations

import pickle
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field, replace

from msgspec.structs import replace as replace_struct

from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.endpoint_transitions import DRAINING_BY_OWN_REPORT
from winchdyke.discovery.endpoint_view import EndpointView
from winchdyke.discovery.records import CachedEndpoint, DiscoveryStatus, EndpointEvidence, ListedEndpoint
from winchdyke.interface import EndpointStatus
from winchdyke.model.checker import InvariantViolation

WARMUP_MS = 1000.0
START_MS = 100 * WARMUP_MS
MAX_AGE_STEPS = 4  # older times count as equal
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
FAULT_STEPS = ("restart", "reuse", "die", "drain", "reboot")


@dataclass
class StoreProcess:
    """The true state of a store."""

    identity: int = 0
    boot_number: int = 0
    started_at_ms: float = -10 * WARMUP_MS
    is_running: bool = True
    draining: bool = False


@dataclass
class ListedState:
    """The state of a store on the list."""

    status: EndpointStatus
    identity: int
    started_at_ms: float


@dataclass
class ModelledGateway:
    """A gateway of the model.

    Attributes:
        view: Its endpoint view.
        connections: The identity and boot number at the other end of each open connection, by store.
        cached: Its cache on the disk.
        known_drains: The drains it has learnt of, as store and boot number.
        cached_drains: The drains that it knew when it last saved the cache.
    """

    view: EndpointView
    connections: dict[int, tuple[int, int]] = field(default_factory=dict)
    cached: list[CachedEndpoint] = field(default_factory=list)
    known_drains: set[tuple[int, int]] = field(default_factory=set)
    cached_drains: set[tuple[int, int]] = field(default_factory=set)


def _name(store: int) -> str:
    return f"n{store}:1"


class DiscoveryModel:
    """One state of the model."""

    def __init__(
        self,
        gateways: int = 2,
        nodes: int = 2,
        faults: int = 2,
        view_type: type[EndpointView] = EndpointView,
        checks_identity: bool = True,
    ) -> None:
        """``checks_identity``: whether a gateway asks for a store's identity on its first connection."""
        self.view_type = view_type
        self.faults = faults
        self.checks_identity = checks_identity
        self.now_ms = START_MS
        self.nodes = [StoreProcess() for _ in range(nodes)]
        self.listed = [ListedState(EndpointStatus.READY, 0, 0.0) for _ in range(nodes)]
        self.version = 2
        self.stale_list: tuple[int, list[ListedState]] = (1, [replace(entry) for entry in self.listed])
        self.service_mode = "list"  # or stale, down, empty
        self.gateways = [ModelledGateway(view_type(BOUNDS)) for _ in range(gateways)]

    def steps(self) -> Iterable[str]:
        """The names of all steps that are possible now."""
        if self.faults:
            yield from self._fault_steps()
        if self.service_mode != "list":
            yield "serve list"
        for store in range(len(self.nodes)):
            if self._true_state(store) != self.listed[store]:
                yield f"learn {store}"
        if any(self._is_warming_up(node) for node in self.nodes):
            yield "time"
        for number, gateway in enumerate(self.gateways):
            yield from self._gateway_steps(number, gateway)

    def _fault_steps(self) -> Iterable[str]:
        for store, node in enumerate(self.nodes):
            if node.is_running:
                yield from (f"restart {store}", f"reuse {store}", f"die {store}")
                if not node.draining:
                    yield f"drain {store}"
        if self.service_mode == "list":
            yield from (f"serve {mode}" for mode in ("down", "stale", "empty"))
        yield from (f"reboot {number}" for number in range(len(self.gateways)))

    def _gateway_steps(self, number: int, gateway: ModelledGateway) -> Iterable[str]:
        yield f"poll {number}"
        yield f"save {number}"
        unconfirmed = (DiscoveryStatus.UNCONFIRMED, DiscoveryStatus.ADDRESS_REUSED)
        if any(endpoint.status in unconfirmed for endpoint in gateway.view.endpoints.values()):
            yield f"try {number}"
        for store in range(len(self.nodes)):
            if gateway.view.is_usable(_name(store)):
                yield f"send {number} {store}"

    def after(self, step: str) -> DiscoveryModel:
        """The state one step on. Raises InvariantViolation."""
        successor: DiscoveryModel = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        kind, *arguments = step.split()
        if kind in FAULT_STEPS or (kind == "serve" and arguments != ["list"]):
            successor.faults -= 1
        method = getattr(successor, f"_{kind}")
        method(*(argument if argument.isalpha() else int(argument) for argument in arguments))
        return successor

    def _is_warming_up(self, node: StoreProcess) -> bool:
        return self.now_ms - node.started_at_ms < WARMUP_MS

    def _true_state(self, store: int) -> ListedState:
        node = self.nodes[store]
        if node.identity or not node.is_running:
            return ListedState(EndpointStatus.REMOVED, node.identity, 0.0)
        started_at_ms = node.started_at_ms if self._is_warming_up(node) else 0.0
        status = EndpointStatus.DRAINING if node.draining else EndpointStatus.READY
        return ListedState(status, 0, started_at_ms)

    # Steps of stores, of the list service, and of time

    def _restart(self, store: int) -> None:
        node = self.nodes[store]
        node.boot_number += 1
        node.started_at_ms = self.now_ms
        node.draining = False
        self._close_connections(store)

    def _reuse(self, store: int) -> None:
        self._restart(store)
        self.nodes[store].identity += 1

    def _die(self, store: int) -> None:
        self.nodes[store].is_running = False
        self._close_connections(store)

    def _close_connections(self, store: int) -> None:
        for gateway in self.gateways:
            gateway.connections.pop(store, None)

    def _drain(self, store: int) -> None:
        self.nodes[store].draining = True

    def _serve(self, mode: str) -> None:
        self.service_mode = mode

    def _learn(self, store: int) -> None:
        self.stale_list = (self.version, [replace(entry) for entry in self.listed])
        self.listed[store] = self._true_state(store)
        self.version += 1

    def _time(self) -> None:
        self.now_ms += WARMUP_MS
        for gateway in self.gateways:
            gateway.view.tick(self.now_ms)

    # Steps of gateways

    def _served_list(self) -> tuple[int, list[ListedState]]:
        if self.service_mode == "stale":
            return self.stale_list
        if self.service_mode == "empty":
            return self.version + 1, []
        return self.version, self.listed

    def _poll(self, number: int) -> None:
        gateway = self.gateways[number]
        if self.service_mode == "down":
            gateway.view.mark_source_failed("list", self.now_ms)
            return
        version, entries = self._served_list()
        received = [
            ListedEndpoint(_name(store), entry.status, store, "", entry.started_at_ms, str(entry.identity))
            for store, entry in enumerate(entries)
            if entry.status is not EndpointStatus.REMOVED
        ]
        gateway.view.apply_list("list", received, self.now_ms, version=version)
        for store, entry in enumerate(entries):
            if entry.status is EndpointStatus.DRAINING and entry == self._true_state(store):
                gateway.known_drains.add((store, self.nodes[store].boot_number))

    def _evidence(self, store: int) -> EndpointEvidence:
        node = self.nodes[store]
        uptime_ms = self.now_ms - node.started_at_ms
        return EndpointEvidence(str(node.identity), str(node.boot_number), uptime_ms, node.draining)

    def _connect(self, number: int, store: int) -> bool:
        gateway = self.gateways[number]
        node = self.nodes[store]
        if not node.is_running:
            gateway.view.record_connect_failure(_name(store), self.now_ms)
            return False
        accepted = not self.checks_identity or self._respond(number, store)
        if accepted:
            gateway.connections[store] = (node.identity, node.boot_number)
        return accepted

    def _respond(self, number: int, store: int) -> bool:
        gateway = self.gateways[number]
        node = self.nodes[store]
        accepted = gateway.view.record_response(_name(store), self._evidence(store), self.now_ms)
        if node.draining and not node.identity:
            gateway.known_drains.add((store, node.boot_number))
        return accepted

    def _try(self, number: int) -> None:
        name = self.gateways[number].view.next_health_check(self.now_ms)
        if name is not None:
            self._connect(number, int(name[1:-2]))

    def _send(self, number: int, store: int) -> None:
        gateway = self.gateways[number]
        if store not in gateway.connections and not self._connect(number, store):
            return
        if not gateway.view.is_usable(_name(store)):
            return
        self._check_request(gateway, store)
        self._respond(number, store)

    def _check_request(self, gateway: ModelledGateway, store: int) -> None:
        """Check the invariants for one request. Raises InvariantViolation."""
        node = self.nodes[store]
        if node.identity:
            raise InvariantViolation("identity: a request reaches another store at a reused address")
        started_at_ms = gateway.view.endpoints[_name(store)].started_at_ms
        counts_as_warming_up = started_at_ms and self.now_ms - started_at_ms < WARMUP_MS
        if self._is_warming_up(node) and not counts_as_warming_up:
            raise InvariantViolation("cold: a request goes to a node that is warming up and counts as warm")
        if node.draining and (store, node.boot_number) in gateway.known_drains:
            raise InvariantViolation("drain: a request goes to a node whose drain the gateway had learnt of")

    def _save(self, number: int) -> None:
        gateway = self.gateways[number]
        gateway.cached = [replace_struct(endpoint) for endpoint in gateway.view.endpoints.values()]
        gateway.cached_drains = set(gateway.known_drains)

    def _reboot(self, number: int) -> None:
        previous = self.gateways[number]
        restarted = ModelledGateway(
            self.view_type(BOUNDS), {}, previous.cached, set(previous.cached_drains), previous.cached_drains
        )
        restarted.view.restore_cached(restarted.cached, self.now_ms)
        self.gateways[number] = restarted

    # The key of a state

    def key(self) -> Hashable:
        """The state with times as steps ago, versions as differences, and gateways in sorted order, as they are interchangeable."""
        nodes = tuple(
            (
                node.identity > 0,
                node.boot_number,
                self._steps_ago(node.started_at_ms),
                node.is_running,
                node.draining,
            )
            for node in self.nodes
        )
        stale_version, stale_entries = self.stale_list
        gateways = [self._gateway_key(gateway) for gateway in self.gateways]
        return (
            self.faults,
            nodes,
            self._list_key(self.listed),
            (self.version - stale_version, self._list_key(stale_entries)),
            self.service_mode,
            tuple(sorted(gateways, key=repr)),
        )

    def _steps_ago(self, at_ms: float | None) -> int | None:
        """The time in steps relative to now, at least -4; 1 for an unset time (0), None for None."""
        if at_ms is None:
            return None
        if not at_ms:
            return 1
        return max(-MAX_AGE_STEPS, int((at_ms - self.now_ms) // WARMUP_MS))

    def _list_key(self, entries: list[ListedState]) -> tuple[Hashable, ...]:
        return tuple(
            (entry.status, entry.identity, self._steps_ago(entry.started_at_ms)) for entry in entries
        )

    def _gateway_key(self, gateway: ModelledGateway) -> tuple[Hashable, ...]:
        source = gateway.view.sources["list"]
        endpoints = sorted(gateway.view.endpoints.values(), key=lambda endpoint: endpoint.name)
        cached = sorted(gateway.cached, key=lambda endpoint: endpoint.name)
        return (
            tuple(self._endpoint_key(endpoint) for endpoint in endpoints),
            tuple(sorted(source.entries)),
            self.version - source.version,
            source.has_reported,
            source.healthy,
            self._steps_ago(source.regressed_since_ms),
            tuple(sorted(gateway.connections.items())),
            tuple(sorted(gateway.known_drains)),
            tuple(
                (
                    endpoint.name,
                    endpoint.status,
                    endpoint.identity,
                    endpoint.boot_id,
                    endpoint.drain_announced,
                )
                for endpoint in cached
            ),
            tuple(sorted(gateway.cached_drains)),
        )

    def _endpoint_key(self, endpoint: CachedEndpoint) -> tuple[Hashable, ...]:
        return (
            endpoint.name,
            endpoint.status,
            endpoint.identity,
            endpoint.boot_id,
            self._steps_ago(endpoint.started_at_ms),
            endpoint.start_time_known,
            endpoint.uptime_reported,
            endpoint.drain_announced,
            endpoint.listed,
            endpoint.reason == DRAINING_BY_OWN_REPORT,
            self._steps_ago(endpoint.omitted_since_ms),
        )
