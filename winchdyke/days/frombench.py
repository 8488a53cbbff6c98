"""Converts a day file of the simulator to a scenario at loopback size. Pure; the scenario lists what is not carried over.

The deployment is reduced in proportion to what one host can run: fewer stores, with their volumes and rates, and the same
work per request, aims and load. Faults keep their order and their relative times; the whole duration is shortened.
"""

from __future__ import annotations

from typing import Any

import msgspec

from winchdyke.days import script

# Requests per second that stand-ins, clients and gateways on one host can keep up with.
MAX_REQUESTS_PER_S = 120.0
MAX_STORES, MAX_GATEWAYS, MIN_STORES = 8, 4, 3
NOT_CARRIED = [
    "network latency between zones and its jitter: loopback has neither",
    "the list service's capacity, period and spread: its delay is kept",
    "true cold capacities and warm-up curves: the stated ones are used",
    "a node's slots, thrashing, connection limits and handshake work",
    "deferred work of writes, and work saved by reads of the same data",
    "delay and noise of meter and load reports; probes and messages of other gateways",
    "the distribution of a volume's requests over its gateways, and its changes",
    "the distributions of work within a class: sizes of one to eight units are used",
    "reads of recently written objects",
]


class BenchError(Exception):
    """The file is not a day of the simulator; the message says what is wrong."""


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
    """A machine type: its cores, and the length of its queue."""

    cores: int
    queue: int


class BenchTier(msgspec.Struct):
    """Settings that all servers have in common."""

    kinds: list[BenchKind]
    stated_cold_from: float
    stated_cold: float


class BenchServer(msgspec.Struct):
    """A server: its machine type, its shard, its relative speed, and whether it runs at the start."""

    kind: int
    cell: int
    speed: float
    up: bool


class BenchFault(msgspec.Struct):
    """A fault; ``on`` are servers, ``which`` is a tenant."""

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
    """The rates and limits that a plan gives each of its volumes."""

    limit: float
    limit_burst: float
    price: float
    rate: float
    reserve: float
    slack: float
    weight: float


class BenchVolume(msgspec.Struct):
    """A volume: its plan, its shards, its gateways (``hosts`` of them from ``first``), and its relative size."""

    base: float
    first: int
    hosts: int
    nodes: list[int]
    plan: int


class BenchFamily(msgspec.Struct):
    """The part of a day that is specific to storage."""

    mean_units: float
    unit_work: float
    plans: list[BenchPlan]
    volumes: list[BenchVolume]
    fresh: list[bool] = []


class BenchScenario(msgspec.Struct):
    """The keys of a day file that are converted; others are ignored."""

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
    troubles: list[BenchFault]
    fam: BenchFamily
    budget: dict[str, float] | None = None


EFFECTS = {"safe": "idempotent", "keyed": "keyed", "unsafe": "at-most-once"}


def read(data: bytes) -> BenchScenario:
    """Decode a day file. Raises BenchError if it is not one."""
    try:
        day = msgspec.json.decode(data, type=BenchScenario)
    except msgspec.DecodeError as error:
        raise BenchError(f"not a day file of the simulator: {error}") from error
    if not day.tiers or not day.servers or not day.fam.volumes or not day.classes:
        raise BenchError("the day has no servers, volumes or classes")
    return day


class _Conversion:
    """One conversion: the size of the deployment, and what is not carried over."""

    def __init__(self, bench: BenchScenario, length_s: float) -> None:
        self.bench, self.not_carried = bench, list(NOT_CARRIED)
        self.time_scale = min(1.0, length_s * 1e6 / bench.length)
        up = [server for server in bench.servers if server.up]
        self.unit_ms = bench.fam.unit_work / 1000
        self.load = float(bench.traffic.get("load", 0.6))
        shards = sorted({server.cell for server in up})
        by_shard = {server.cell: server for server in up}
        count = min(MAX_STORES, len(shards))
        while (
            count > MIN_STORES
            and self._request_rate([by_shard[shard] for shard in shards[:count]]) > MAX_REQUESTS_PER_S
        ):
            count -= 1
        self.shards = shards[:count]
        self.stores = [by_shard[shard] for shard in self.shards]
        self.rate = min(MAX_REQUESTS_PER_S, self._request_rate(self.stores))
        self.gateways = max(1, min(MAX_GATEWAYS, len(bench.balancers)))
        self.store_fraction = count / len(shards)
        if self.store_fraction < 1 or self.gateways < len(bench.balancers):
            size = f"{len(bench.balancers)} gateways and {len(shards)} nodes"
            self.not_carried.append(f"the size of the deployment: {size} became {self.gateways} and {count}")
        if self.time_scale < 1:
            self.not_carried.append(
                f"the duration: times of faults and warm-up are {self.time_scale:.2f} of the original"
            )

    def _capacity_units_per_s(self, server: BenchServer) -> float:
        return self.bench.tiers[0].kinds[server.kind].cores * server.speed * 1000 / self.unit_ms

    def _request_rate(self, servers: list[BenchServer]) -> float:
        return (
            self.load
            * 0.9
            * sum(self._capacity_units_per_s(server) for server in servers)
            / self.bench.fam.mean_units
        )

    def shard(self, server: int) -> int:
        """The shard of a server of the day file: the index of its own shard, or another one if that is left out."""
        shard = self.bench.servers[server].cell
        return self.shards.index(shard) if shard in self.shards else shard % len(self.shards)

    def volumes(self) -> list[script.Volume]:
        """A part of the volumes, in proportion to the stores, with at least one of each plan."""
        fam = self.bench.fam
        count = max(len(fam.plans), round(len(fam.volumes) * self.store_fraction))
        chosen = sorted(range(len(fam.volumes)), key=lambda index: (index * 7919) % len(fam.volumes))[:count]
        for plan in range(len(fam.plans)):
            if not any(fam.volumes[index].plan == plan for index in chosen):
                chosen += [index for index, volume in enumerate(fam.volumes) if volume.plan == plan][:1]
        sizes = {index: fam.volumes[index].base * fam.plans[fam.volumes[index].plan].rate for index in chosen}
        total_size = sum(sizes.values()) or 1.0
        result = []
        for index in sorted(chosen):
            volume = fam.volumes[index]
            shards = sorted({node % len(self.shards) for node in volume.nodes})
            gateways = sorted({(volume.first + turn) % self.gateways for turn in range(max(1, volume.hosts))})
            name = self.bench.tenants[volume.plan].name
            result.append(
                script.Volume(f"v{index}", name, shards, gateways, self.rate * sizes[index] / total_size)
            )
        return result

    def events(self, volumes: list[script.Volume]) -> list[script.Event]:
        """The faults that can be injected over loopback; others are noted as not carried over."""
        result: list[script.Event] = []
        for fault in self.bench.troubles:
            at, length = fault.at / 1000 * self.time_scale, fault.len / 1000 * self.time_scale
            on = sorted({self.shard(server) for server in fault.on})
            if fault.kind in ("deploy", "preempt"):
                stops = [[self.shard(server) for server in step.get("stop", [])] for step in fault.steps]
                order = list(dict.fromkeys(shard for batch in stops for shard in batch)) or on
                batch_size = max(1, round(len(order) / max(1, len(stops))))
                length = max(length, 2000.0 * len(order) / batch_size)
                result.append(script.Event("deploy", at, length, order, batch_size))
            elif fault.kind in ("crash", "mass_restart", "vanish"):
                result.append(script.Event("silent" if fault.kind == "vanish" else "crash", at, length, on))
            elif fault.kind in ("slow", "neighbour", "pauses"):
                size = fault.size if fault.kind != "pauses" or fault.size < 5000 else fault.size / 1000
                result.append(script.Event(fault.kind, at, length, on, size))  # type: ignore[arg-type]
            elif fault.kind == "answer_lost":
                result.append(script.Event("lost", at, length, on, fault.size, fault.how or "reset"))
            elif fault.kind == "give_up":
                result.append(script.Event("hurry", at, length, [], max(0.05, min(0.33, fault.extra))))
            elif fault.kind == "hot_key":
                extra = 2.5 * fault.size * self.rate / 2
                result.append(script.Event("burst", at, length, [0, len(volumes) // 2], extra))
            elif fault.kind in ("tenant_burst", "burst"):
                name = self.bench.tenants[fault.which % len(self.bench.tenants)].name
                for number, volume in enumerate(volumes):
                    if fault.kind == "burst" or volume.plan == name:
                        extra_rate = volume.rate * max(0.0, fault.size - 1)
                        result.append(script.Event("burst", at, length, [number], extra_rate))
            else:
                self.not_carried.append(f"the fault {fault.kind!r}, which has no counterpart here")
        return result


def convert(bench: BenchScenario, length_s: float = 20.0) -> script.Scenario:
    """The scenario at loopback size; its ``carried_not`` lists what is not carried over."""
    conversion = _Conversion(bench, length_s)
    volumes = conversion.volumes()
    events = conversion.events(volumes)
    tier, budget = bench.tiers[0], bench.budget or {}
    request_classes: list[script.RequestClass] = []
    for index, bench_class in enumerate(bench.classes):
        first = not any(other.writes == bench_class.write for other in request_classes)
        reads, writes = (script.READS, script.WRITES) if first else ("get", "put post")
        request_classes.append(
            script.RequestClass(
                name=bench_class.name,
                operations=writes if bench_class.write else reads,
                aim=bench_class.aim / 1000,
                deadline=bench_class.deadline / 1000,
                worth=bench_class.worth,
                effect=EFFECTS.get(bench_class.effect, "at-most-once"),
                scope=bench_class.group if bench_class.group in ("all", "zone", "cell") else "cell",
                memory=bench_class.window / 1000,
                writes=bench_class.write,
                share=bench_class.share,
                new=bench_class.write and bench.fam.fresh[index : index + 1] == [True],
            )
        )
    plans = [
        script.Plan(
            bench.tenants[index].name,
            plan.rate,
            plan.weight,
            plan.price,
            plan.reserve,
            plan.limit,
            plan.limit_burst,
            plan.slack,
        )
        for index, plan in enumerate(bench.fam.plans)
    ]
    rules = script.Rules(
        drain_grace=bench.drain_grace / 1000,
        cold_from=tier.stated_cold_from,
        warm_after=tier.stated_cold / 1000 * conversion.time_scale,
        fall_multiple=bench.fall_multiple,
        fall_window=bench.fall_for / 1000,
        extra_window=budget.get("window", 0.0) / 1000,
        extra_free=budget.get("free", 0.0),
        extra_share=budget.get("share", 0.0),
        max_attempts=int(bench.allow.get("max_attempts", 3)),
        max_retry_after=float(bench.clients.get("max_retry_after", 500_000)) / 1000,
    )
    machine_kind = tier.kinds[conversion.stores[0].kind]
    return script.Scenario(
        name=f"{bench.site}-{bench.kind}".replace(":", "-"),
        seed=int(bench.noise) % 100_000,
        gateways=conversion.gateways,
        stores=len(conversion.stores),
        length=bench.length / 1000 * conversion.time_scale,
        classes=request_classes,
        plans=plans,
        volumes=volumes,
        events=events,
        rules=rules,
        unit_ms=conversion.unit_ms,
        cores=machine_kind.cores,
        speeds=[
            server.speed * tier.kinds[server.kind].cores / machine_kind.cores for server in conversion.stores
        ],
        queue=machine_kind.queue,
        late_list=min(2000.0, float(bench.discovery.get("notice", 300_000)) / 1000),
        must_ask=bool(bench.discovery.get("ask", False)),
        carried_not=conversion.not_carried,
    )
