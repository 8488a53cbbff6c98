"""A day file of the simulator as a day at loopback size. Pure; what can't be carried over is listed in the day.

The fleet is cut to what one host can carry, in step: fewer stores with their own volumes and rates, the same work,
aims and load. Troubles keep their order and their part of the day, which is shortened.
"""

from __future__ import annotations

from typing import Any

import msgspec

from winchdyke.days import script

MOST_RATE = 120.0  # requests a second that stand-ins, clients and gateways of one host keep up with
MOST_STORES, MOST_GATEWAYS, FEWEST = 8, 4, 3
NOT_CARRIED = [
    "network latency between zones and its jitter; loopback has neither",
    "the list service's capacity, period and spread; its lateness is kept",
    "true cold shares and warm-up shapes; the stated ones are used",
    "a node's slots, thrashing, connection caps and handshake work",
    "work put off by writes and done in one go; work saved by reads of the same piece",
    "lateness and noise of meter and load reports; probes and messages of other gateways",
    "how unevenly a volume uses its gateways, and how that changes",
    "the distributions of work within a class; sizes of one to eight units are used",
    "reads of objects written a moment before",
]


class BenchError(Exception):
    """The file is no day of the simulator; says what is missing."""


class BenchTenant(msgspec.Struct):
    """A tenant."""

    name: str


class BenchClass(msgspec.Struct):
    """A request class; times in microseconds."""

    name: str
    share: float
    aim: float
    deadline: float
    worth: float
    effect: str
    group: str
    window: float
    write: bool


class BenchKind(msgspec.Struct):
    """A kind of machine."""

    cores: int
    queue: int


class BenchTier(msgspec.Struct):
    """The servers' common figures."""

    kinds: list[BenchKind]
    stated_cold_from: float
    stated_cold: float


class BenchServer(msgspec.Struct):
    """A server: its kind, its shard, its speed, and whether it is up at first."""

    kind: int
    cell: int
    speed: float
    up: bool


class BenchTrouble(msgspec.Struct):
    """A trouble; ``on`` are servers, ``which`` a tenant."""

    kind: str
    at: float
    len: float
    size: float = 0.0
    extra: float = 0.0
    on: list[int] = []
    which: int = 0
    steps: list[dict[str, Any]] = []
    how: str = ""


class BenchPlan(msgspec.Struct):
    """A plan's figures for each volume."""

    limit: float
    limit_burst: float
    price: float
    rate: float
    reserve: float
    slack: float
    weight: float


class BenchVolume(msgspec.Struct):
    """A volume: its plan, its shards, its gateways, and its size."""

    base: float
    first: int
    hosts: int
    nodes: list[int]
    plan: int


class BenchFamily(msgspec.Struct):
    """What belongs to storage."""

    mean_units: float
    unit_work: float
    plans: list[BenchPlan]
    volumes: list[BenchVolume]
    fresh: list[bool] = []


class BenchDay(msgspec.Struct):
    """As much of a day file as is read here; other keys are passed over."""

    site: str
    kind: str
    length: float
    noise: float
    traffic: dict[str, Any]
    clients: dict[str, Any]
    discovery: dict[str, Any]
    allow: dict[str, Any]
    drain_grace: float
    fall_multiple: float
    fall_for: float
    classes: list[BenchClass]
    tenants: list[BenchTenant]
    tiers: list[BenchTier]
    servers: list[BenchServer]
    balancers: list[dict[str, Any]]
    troubles: list[BenchTrouble]
    fam: BenchFamily
    budget: dict[str, float] | None = None


EFFECTS = {"safe": "idempotent", "keyed": "keyed", "unsafe": "at-most-once"}


def read(data: bytes) -> BenchDay:
    """A day file's text. BenchError where it is none."""
    try:
        day = msgspec.json.decode(data, type=BenchDay)
    except msgspec.DecodeError as error:
        raise BenchError(f"this is no day file of the simulator: {error}") from error
    if not day.tiers or not day.servers or not day.fam.volumes or not day.classes:
        raise BenchError("the day has no servers, volumes or classes")
    return day


class _Scaled:
    """One conversion: the fleet that was chosen, and what was left behind."""

    def __init__(self, bench: BenchDay, length_s: float) -> None:
        self.bench, self.left = bench, list(NOT_CARRIED)
        self.squeeze = min(1.0, length_s * 1e6 / bench.length)
        up = [server for server in bench.servers if server.up]
        self.unit_ms = bench.fam.unit_work / 1000
        self.load = float(bench.traffic.get("load", 0.6))
        cells = sorted({server.cell for server in up})
        by_cell = {server.cell: server for server in up}
        count = min(MOST_STORES, len(cells))
        while count > FEWEST and self._rate([by_cell[cell] for cell in cells[:count]]) > MOST_RATE:
            count -= 1
        self.cells = cells[:count]
        self.stores = [by_cell[cell] for cell in self.cells]
        self.rate = min(MOST_RATE, self._rate(self.stores))
        self.gateways = max(1, min(MOST_GATEWAYS, len(bench.balancers)))
        self.part = count / len(cells)
        if self.part < 1 or self.gateways < len(bench.balancers):
            size = f"{len(bench.balancers)} gateways and {len(cells)} nodes"
            self.left.append(f"the fleet's size: {size} became {self.gateways} and {count}")
        if self.squeeze < 1:
            self.left.append(
                f"the day's length: times of troubles and warm-up are {self.squeeze:.2f} of what they were"
            )

    def _power(self, server: BenchServer) -> float:
        return self.bench.tiers[0].kinds[server.kind].cores * server.speed * 1000 / self.unit_ms

    def _rate(self, servers: list[BenchServer]) -> float:
        return self.load * 0.9 * sum(self._power(server) for server in servers) / self.bench.fam.mean_units

    def shard(self, server: int) -> int:
        """Where a server of the day file ends up: its own shard's place, or another in turn."""
        cell = self.bench.servers[server].cell
        return self.cells.index(cell) if cell in self.cells else cell % len(self.cells)

    def volumes(self) -> list[script.Volume]:
        """A part of the volumes, in step with the stores, every plan among them."""
        fam = self.bench.fam
        count = max(len(fam.plans), round(len(fam.volumes) * self.part))
        chosen = sorted(range(len(fam.volumes)), key=lambda at: (at * 7919) % len(fam.volumes))[:count]
        for plan in range(len(fam.plans)):
            if not any(fam.volumes[at].plan == plan for at in chosen):
                chosen += [at for at, volume in enumerate(fam.volumes) if volume.plan == plan][:1]
        sizes = {at: fam.volumes[at].base * fam.plans[fam.volumes[at].plan].rate for at in chosen}
        whole = sum(sizes.values()) or 1.0
        found = []
        for at in sorted(chosen):
            volume = fam.volumes[at]
            shards = sorted({node % len(self.cells) for node in volume.nodes})
            gateways = sorted({(volume.first + turn) % self.gateways for turn in range(max(1, volume.hosts))})
            name = self.bench.tenants[volume.plan].name
            found.append(script.Volume(f"v{at}", name, shards, gateways, self.rate * sizes[at] / whole))
        return found

    def events(self, volumes: list[script.Volume]) -> list[script.Event]:
        """The troubles, with what can't be brought about here left out and said."""
        found: list[script.Event] = []
        for trouble in self.bench.troubles:
            at, length = trouble.at / 1000 * self.squeeze, trouble.len / 1000 * self.squeeze
            on = sorted({self.shard(server) for server in trouble.on})
            if trouble.kind in ("deploy", "preempt"):
                stops = [[self.shard(server) for server in step.get("stop", [])] for step in trouble.steps]
                order = list(dict.fromkeys(shard for batch in stops for shard in batch)) or on
                batch_size = max(1, round(len(order) / max(1, len(stops))))
                length = max(length, 2000.0 * len(order) / batch_size)
                found.append(script.Event("deploy", at, length, order, batch_size))
            elif trouble.kind in ("crash", "mass_restart", "vanish"):
                found.append(script.Event("silent" if trouble.kind == "vanish" else "crash", at, length, on))
            elif trouble.kind in ("slow", "neighbour", "pauses"):
                size = (
                    trouble.size if trouble.kind != "pauses" or trouble.size < 5000 else trouble.size / 1000
                )
                found.append(script.Event(trouble.kind, at, length, on, size))  # type: ignore[arg-type]
            elif trouble.kind == "answer_lost":
                found.append(script.Event("lost", at, length, on, trouble.size, trouble.how or "reset"))
            elif trouble.kind == "give_up":
                found.append(script.Event("hurry", at, length, [], max(0.05, min(0.33, trouble.extra))))
            elif trouble.kind == "hot_key":
                extra = 2.5 * trouble.size * self.rate / 2
                found.append(script.Event("burst", at, length, [0, len(volumes) // 2], extra))
            elif trouble.kind in ("tenant_burst", "burst"):
                name = self.bench.tenants[trouble.which % len(self.bench.tenants)].name
                for number, volume in enumerate(volumes):
                    if trouble.kind == "burst" or volume.plan == name:
                        more = volume.rate * max(0.0, trouble.size - 1)
                        found.append(script.Event("burst", at, length, [number], more))
            else:
                self.left.append(f"the trouble {trouble.kind!r}, which has no like here")
        return found


def convert(bench: BenchDay, length_s: float = 20.0) -> script.Scenario:
    """The day at loopback size; ``carried_not`` says what was left behind."""
    scaled = _Scaled(bench, length_s)
    volumes = scaled.volumes()
    events = scaled.events(volumes)
    tier, budget = bench.tiers[0], bench.budget or {}
    kinds: list[script.RequestClass] = []
    for at, kind in enumerate(bench.classes):
        first = not any(other.writes == kind.write for other in kinds)
        reads, writes = (script.READS, script.WRITES) if first else ("get", "put post")
        kinds.append(
            script.RequestClass(
                name=kind.name,
                operations=writes if kind.write else reads,
                aim=kind.aim / 1000,
                deadline=kind.deadline / 1000,
                worth=kind.worth,
                effect=EFFECTS.get(kind.effect, "at-most-once"),
                scope=kind.group if kind.group in ("all", "zone", "cell") else "cell",
                memory=kind.window / 1000,
                writes=kind.write,
                share=kind.share,
                new=kind.write and bench.fam.fresh[at : at + 1] == [True],
            )
        )
    plans = [
        script.Plan(
            bench.tenants[at].name,
            plan.rate,
            plan.weight,
            plan.price,
            plan.reserve,
            plan.limit,
            plan.limit_burst,
            plan.slack,
        )
        for at, plan in enumerate(bench.fam.plans)
    ]
    rules = script.Rules(
        drain_grace=bench.drain_grace / 1000,
        cold_from=tier.stated_cold_from,
        warm_after=tier.stated_cold / 1000 * scaled.squeeze,
        fall_multiple=bench.fall_multiple,
        fall_window=bench.fall_for / 1000,
        extra_window=budget.get("window", 0.0) / 1000,
        extra_free=budget.get("free", 0.0),
        extra_share=budget.get("share", 0.0),
        max_attempts=int(bench.allow.get("max_attempts", 3)),
        max_retry_after=float(bench.clients.get("max_retry_after", 500_000)) / 1000,
    )
    machine = tier.kinds[scaled.stores[0].kind]
    return script.Scenario(
        name=f"{bench.site}-{bench.kind}".replace(":", "-"),
        seed=int(bench.noise) % 100_000,
        gateways=scaled.gateways,
        stores=len(scaled.stores),
        length=bench.length / 1000 * scaled.squeeze,
        classes=kinds,
        plans=plans,
        volumes=volumes,
        events=events,
        rules=rules,
        unit_ms=scaled.unit_ms,
        cores=machine.cores,
        speeds=[server.speed * tier.kinds[server.kind].cores / machine.cores for server in scaled.stores],
        queue=machine.queue,
        late_list=min(2000.0, float(bench.discovery.get("notice", 300_000)) / 1000),
        must_ask=bool(bench.discovery.get("ask", False)),
        carried_not=scaled.left,
    )
