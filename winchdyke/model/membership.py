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
    Bounds,
    CachedEndpoint,
    EndpointEvidence,
    EndpointView,
    Entry,
    State,
)
from winchdyke.interface import EndpointStatus
from winchdyke.model.checker import Broken

WARM = 1000.0
BOUNDS = Bounds(
    warm_after=WARM,
    trial_gap=0.0,
    retry=0.0,
    retry_most=0.0,
    vanish_share=0.4,
    hold=3 * WARM,
    heard=WARM,
    slack=1.0,
)


@dataclass
class Machine:
    """A node as it is."""

    identity: int = 0
    boot: int = 0
    born: float = -10 * WARM
    up: bool = True
    draining: bool = False


@dataclass
class Told:
    """A node as the list has it."""

    state: EndpointStatus
    identity: int
    started: float


@dataclass
class Gateway:
    """A gateway: what it believes, its connections (node to boot), its disk, and the drains it was told of."""

    belief: EndpointView
    open: dict[int, tuple[int, int]] = field(default_factory=dict)
    disk: list[CachedEndpoint] = field(default_factory=list)
    drains: set[tuple[int, int]] = field(default_factory=set)  # node, boot
    disk_drains: set[tuple[int, int]] = field(default_factory=set)


class Membership:
    """One state of the world."""

    def __init__(
        self,
        gateways: int = 2,
        nodes: int = 2,
        faults: int = 2,
        kind: type[EndpointView] = EndpointView,
        greets: bool = True,
    ) -> None:
        self.kind, self.faults, self.greets, self.now = kind, faults, greets, 100 * WARM
        self.nodes = [Machine() for _ in range(nodes)]
        self.list = [Told(EndpointStatus.READY, 0, 0.0) for _ in range(nodes)]
        self.version = 2
        self.stale: tuple[int, list[Told]] = (1, [replace(told) for told in self.list])
        self.serves = "list"  # or stale, down, empty
        self.gateways = [Gateway(kind(BOUNDS)) for _ in range(gateways)]

    def steps(self) -> Iterable[str]:
        """All that may happen next."""
        if self.faults:
            for n, node in enumerate(self.nodes):
                if node.up:
                    yield from (f"restart {n}", f"reuse {n}", f"die {n}")
                    if not node.draining:
                        yield f"drain {n}"
            yield from (f"serve {how}" for how in ("down", "stale", "empty") if self.serves == "list")
            yield from (f"reboot {g}" for g in range(len(self.gateways)))
        if self.serves != "list":
            yield "serve list"
        for n in range(len(self.nodes)):
            if self._true(n) != self.list[n]:
                yield f"learn {n}"
        if any(self.now - node.born < WARM for node in self.nodes):
            yield "time"
        for g, gateway in enumerate(self.gateways):
            yield f"poll {g}"
            yield f"save {g}"
            if any(known.state in (State.DOUBTFUL, State.REUSED) for known in gateway.belief.known.values()):
                yield f"try {g}"
            yield from (f"send {g} {n}" for n in range(len(self.nodes)) if gateway.belief.usable(f"n{n}:1"))

    def after(self, step: str) -> Membership:
        """The world one step on."""
        made: Membership = pickle.loads(pickle.dumps(self, pickle.HIGHEST_PROTOCOL))
        what, *words = step.split()
        if what in ("restart", "reuse", "die", "drain", "reboot") or (what == "serve" and words != ["list"]):
            made.faults -= 1
        getattr(made, f"_{what}")(*(word if word.isalpha() else int(word) for word in words))
        return made

    def _true(self, n: int) -> Told:
        node = self.nodes[n]
        if node.identity or not node.up:
            return Told(EndpointStatus.REMOVED, node.identity, 0.0)
        started = node.born if self.now - node.born < WARM else 0.0
        return Told(EndpointStatus.DRAINING if node.draining else EndpointStatus.READY, 0, started)

    def _restart(self, n: int) -> None:
        node = self.nodes[n]
        node.boot, node.born, node.draining = node.boot + 1, self.now, False
        self._break(n)

    def _reuse(self, n: int) -> None:
        self._restart(n)
        self.nodes[n].identity += 1

    def _die(self, n: int) -> None:
        self.nodes[n].up = False
        self._break(n)

    def _break(self, n: int) -> None:
        for gateway in self.gateways:
            gateway.open.pop(n, None)

    def _drain(self, n: int) -> None:
        self.nodes[n].draining = True

    def _serve(self, how: str) -> None:
        self.serves = how

    def _learn(self, n: int) -> None:
        self.stale = self.version, [replace(told) for told in self.list]
        self.list[n] = self._true(n)
        self.version += 1

    def _time(self) -> None:
        self.now += WARM
        for gateway in self.gateways:
            gateway.belief.tick(self.now)

    def _poll(self, g: int) -> None:
        gateway = self.gateways[g]
        if self.serves == "down":
            gateway.belief.failed("list", self.now)
            return
        version, entries = self.stale if self.serves == "stale" else (self.version, self.list)
        if self.serves == "empty":
            version, entries = self.version + 1, []
        told = [
            Entry(f"n{n}:1", entry.state, n, "", entry.started, str(entry.identity))
            for n, entry in enumerate(entries)
            if entry.state is not EndpointStatus.REMOVED
        ]
        gateway.belief.listed("list", told, self.now, version=version)
        for n, entry in enumerate(entries):
            if entry.state is EndpointStatus.DRAINING and entry == self._true(n):
                gateway.drains.add((n, self.nodes[n].boot))

    def _word(self, n: int) -> EndpointEvidence:
        node = self.nodes[n]
        return EndpointEvidence(str(node.identity), str(node.boot), self.now - node.born, node.draining)

    def _dial(self, g: int, n: int) -> bool:
        gateway, node = self.gateways[g], self.nodes[n]
        if not node.up:
            gateway.belief.refused(f"n{n}:1", self.now)
            return False
        fits = not self.greets or self._hear(g, n)
        if fits:
            gateway.open[n] = node.identity, node.boot
        return fits

    def _hear(self, g: int, n: int) -> bool:
        fits = self.gateways[g].belief.heard(f"n{n}:1", self._word(n), self.now)
        if self.nodes[n].draining and not self.nodes[n].identity:
            self.gateways[g].drains.add((n, self.nodes[n].boot))
        return fits

    def _try(self, g: int) -> None:
        name = self.gateways[g].belief.trial(self.now)
        if name is not None:
            self._dial(g, int(name[1:-2]))

    def _send(self, g: int, n: int) -> None:
        gateway, node = self.gateways[g], self.nodes[n]
        if n not in gateway.open and not self._dial(g, n):
            return
        if not gateway.belief.usable(f"n{n}:1"):
            return
        if node.identity:
            raise Broken("identity: a request reaches another store at the address")
        known = gateway.belief.known[f"n{n}:1"]
        if self.now - node.born < WARM and not (known.started and self.now - known.started < WARM):
            raise Broken("cold: a request goes to a node just started as to a warm one")
        if node.draining and (n, node.boot) in gateway.drains:
            raise Broken("drain: a request goes to a node whose drain was told")
        self._hear(g, n)

    def _save(self, g: int) -> None:
        gateway = self.gateways[g]
        gateway.disk = [replace(known) for known in gateway.belief.known.values()]
        gateway.disk_drains = set(gateway.drains)

    def _reboot(self, g: int) -> None:
        old = self.gateways[g]
        new = Gateway(self.kind(BOUNDS), {}, old.disk, set(old.disk_drains), old.disk_drains)
        new.belief.restored(new.disk, self.now)
        self.gateways[g] = new

    def _ago(self, at: float | None) -> int | None:
        """How many steps of time ago, at the most four; 1 for long ago."""
        if at is None or not at:
            return None if at is None else 1
        return max(-4, int((at - self.now) // WARM))

    def _told(self, entries: list[Told]) -> tuple[Hashable, ...]:
        return tuple((told.state, told.identity, self._ago(told.started)) for told in entries)

    def key(self) -> Hashable:
        """Times as steps ago, at most four; versions in their order; gateways in either order, as they are alike."""
        nodes = tuple((m.identity > 0, m.boot, self._ago(m.born), m.up, m.draining) for m in self.nodes)
        gateways = []
        for gateway in self.gateways:
            source = gateway.belief.sources["list"]
            gateways.append(
                (
                    tuple(
                        (k.name, k.state, k.identity, k.boot, self._ago(k.started), k.warm_known, k.aged, k.drained, k.listed,
                         k.why.endswith("own word"), self._ago(k.held_since))
                        for k in sorted(gateway.belief.known.values(), key=lambda k: k.name)
                    ),
                    tuple(sorted(source.entries)), self.version - source.version, source.told, source.healthy,
                    self._ago(source.back_since), tuple(sorted(gateway.open.items())), tuple(sorted(gateway.drains)),
                    tuple((k.name, k.state, k.identity, k.boot, k.drained) for k in sorted(gateway.disk, key=lambda k: k.name)),
                    tuple(sorted(gateway.disk_drains)),
                )
            )  # fmt: skip
        stale = self.version - self.stale[0], self._told(self.stale[1])
        return (
            self.faults,
            nodes,
            self._told(self.list),
            stale,
            self.serves,
            tuple(sorted(gateways, key=repr)),
        )
