"""Scenarios as data: the deployment, its traffic, the faults and the numbers of the rules. From a seed, or from a day file."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any, Literal

import msgspec

from winchdyke.standins.clients import PlannedRequest

FaultKind = Literal[
    "deploy", "silent", "lost", "slow", "pauses", "neighbour", "crash", "burst", "gateway-kill", "list-down",
    "leave-upload", "leave-download", "hurry", "own-drain", "reuse", "change",
    "trick", "large", "link", "gateway-stop", "gateway-leave",
]  # fmt: skip


class Event(msgspec.Struct, frozen=True):
    """A fault: its start and length (ms), the stores, gateways or volumes it affects, and its magnitude.

    ``link`` applies the fault ``how`` to all links between the gateways ``on`` and the others, or among all if ``on`` is empty.
    ``how`` is one of cut, loss, burst, copies, delay, tail, large, no-udp, no-tcp; apart cuts the links between the first of
    ``on`` and the rest of ``on``, deaf cuts those towards ``on``, mute those from ``on``.
    """

    kind: FaultKind
    at: float
    length: float
    on: list[int] = []
    size: float = 0.0
    how: str = ""


class RequestClass(msgspec.Struct, frozen=True):
    """A request class, for the settings and the checker; times in milliseconds. ``new``: writes create objects by POST."""

    name: str
    operations: str
    aim: float
    deadline: float
    worth: float
    effect: str
    scope: str = "cell"
    memory: float = 0.0
    in_order: bool = False
    writes: bool = False
    share: float = 0.1
    new: bool = False


class Plan(msgspec.Struct, frozen=True):
    """The rates and limits that a plan gives each of its volumes; rates in units per second, bursts and slack in units."""

    name: str
    usual_rate: float
    weight: float = 1.0
    worth_factor: float = 1.0
    reserve: float = 0.0
    limit: float = 0.0
    limit_burst: float = 0.0
    slack: float = 0.0


class Volume(msgspec.Struct, frozen=True):
    """A volume: its plan, its shards, the gateways that serve it, and its requests per second."""

    name: str
    plan: str
    shards: list[int]
    gateways: list[int]
    rate: float


class Rules(msgspec.Struct, frozen=True):
    """The numbers of the rules, named as in the settings of the simulator; times in milliseconds."""

    answer_slack: float = 250.0
    drain_grace: float = 1000.0
    cold_from: float = 0.25
    warm_after: float = 6000.0
    fall_multiple: float = 3.0
    fall_window: float = 1500.0
    cold_units: float = 9.0
    settle: float = 400.0
    extra_window: float = 5000.0
    extra_free: float = 3.0
    extra_share: float = 0.1
    max_attempts: int = 3
    max_retry_after: float = 500.0


class Scenario(msgspec.Struct, frozen=True):
    """A scenario, at a size that one host can run over loopback."""

    name: str
    seed: int
    gateways: int
    stores: int
    length: float
    classes: list[RequestClass]
    plans: list[Plan]
    volumes: list[Volume]
    events: list[Event]
    rules: Rules = Rules()
    unit_ms: float = 16.0
    cores: int = 2
    speeds: list[float] = []
    queue: int = 32
    late_list: float = 300.0
    must_ask: bool = False
    # Share of plain reads and writes sent over S3; some writes have a body that fails its checksum.
    s3_share: float = 0.0
    keeps: bool = False  # whether gateways cache the endpoint list on disk
    changes: bool = False  # whether settings are changed at run time
    fleet: float = 0.0  # probe interval of membership (ms), over links with faults; 0: no membership
    zones: int = 1  # number of zones of the gateways
    carried_not: list[str] = []


WRITES = "put post delete start-upload put-part complete-upload abort-upload"
READS = "get head list list-parts"
CLASSES = [
    RequestClass("fetch", READS, 400.0, 2500.0, 2.0, "idempotent", share=0.54),
    RequestClass("submit", WRITES, 500.0, 2500.0, 3.0, "keyed", memory=4000.0, writes=True, share=0.28),
    RequestClass("once", "put delete", 500.0, 2500.0, 2.0, "at-most-once", writes=True, share=0.08),
    RequestClass(
        "turns", "put", 500.0, 2500.0, 2.0, "keyed", memory=4000.0, in_order=True, writes=True, share=0.1
    ),
]
# A class whose deduplication window ends before its deadline, so that answers are lost within the window and after it.
SHORT_MEMORY_CLASS = RequestClass(
    "brief", "put", 500.0, 2500.0, 2.0, "keyed", memory=600.0, writes=True, share=0.06
)
PLANS = [
    Plan("basic", 6.0, worth_factor=0.96, limit=17.0, limit_burst=48.0, slack=8.0),
    Plan("school", 10.0, weight=2.0, worth_factor=1.2, reserve=8.0),
    Plan("contest", 14.0, weight=6.0, worth_factor=1.4, reserve=16.0),
]
VOLUME_COUNT = 12
UNIT_BYTES = 1024
SEEDS = 2**31  # the range of seeds that the settings accept
LARGEST_UNITS = 8
BIG_BYTES = 384 * 1024


def bad_day(seed: int, length: float = 24_000.0, rate: float = 110.0) -> Scenario:
    """Faults of stores, gateways, clients and the list service, one after another and overlapping.

    These are the faults of issue 13. ``length`` is in ms, ``rate`` in requests per second.
    """
    rng = random.Random(seed)
    gateways, stores = 3, 8
    shards = list(range(stores))
    volumes = []
    for number in range(VOLUME_COUNT):
        plan = PLANS[(0, 0, 0, 1, 1, 2)[number % 6]]
        volumes.append(
            Volume(
                f"course-{number}", plan.name, sorted(rng.sample(shards, rng.randint(2, 4))),
                sorted(rng.sample(range(gateways), rng.randint(1, gateways))), 0.0,
            )
        )  # fmt: skip
    weights = [next(plan.usual_rate for plan in PLANS if plan.name == volume.plan) for volume in volumes]
    volumes = [
        msgspec.structs.replace(volume, rate=rate * weight / sum(weights))
        for volume, weight in zip(volumes, weights, strict=True)
    ]
    order = rng.sample(shards, stores)
    hour = length / 24
    limited = [index for index, volume in enumerate(volumes) if volume.plan == "basic"]
    events = [
        Event("lost", 2 * hour, 6 * hour, [order[0]], 0.3, rng.choice(["silence", "reset"])),
        Event("slow", 3 * hour, 6 * hour, [order[1]], rng.uniform(3, 8)),
        Event("pauses", 1 * hour, 20 * hour, [order[2], order[3]], rng.uniform(120, 320)),
        Event("silent", 5 * hour, 4 * hour, [order[4]]),
        Event("burst", 7 * hour, 4 * hour, [rng.choice(limited)], 60.0),
        Event("deploy", 9 * hour, 7 * hour, [order[5], order[6], order[7], order[0]], 2),
        Event("gateway-kill", 12 * hour, 1.5 * hour, [rng.randrange(gateways)]),
        Event("list-down", 4 * hour, 3 * hour, [], 0, rng.choice(["error", "silence"])),
        Event("hurry", 16 * hour, 3 * hour, [], 0.12),
        Event("crash", 18 * hour, 1.5 * hour, [order[1]]),
        *(Event("leave-upload", (3 + 4 * n) * hour, 0.0) for n in range(5)),
        *(Event("leave-download", (4 + 4 * n) * hour, 0.0) for n in range(5)),
    ]
    return with_boundary_load(
        Scenario("bad-day", seed, gateways, stores, length, CLASSES, PLANS, volumes, events), order
    )


def with_boundary_load(scenario: Scenario, order: list[int]) -> Scenario:
    """The same scenario with load and faults that bring each rule near its bound; ``order`` is its random order of the stores.

    Volumes exceed their limits at all gateways at once after a pause, in small requests and in large objects; stores shed work
    in bursts, also during a deploy; two stores under high load restart cold, alone and together; requests are repeated within
    the deduplication window and after it.
    """
    rng = random.Random(f"{scenario.name}/{scenario.seed}/pressed")
    hour, everywhere = scenario.length / 24, list(range(scenario.gateways))
    hot = [order[5], order[6]]
    other_shards = [shard for shard in range(scenario.stores) if shard not in hot]
    extra_volumes = [
        Volume("flood", "basic", sorted(rng.sample(other_shards, 4)), everywhere, 1.0),
        Volume("large", "basic", sorted(rng.sample(other_shards, 4)), everywhere, 0.1),
        *(Volume(f"hot-{shard}", "contest", [shard], everywhere, 24.0) for shard in hot),
    ]
    first = len(scenario.volumes)
    flood, large = first, first + 1
    events = [
        # The second burst lasts while a killed gateway restarts, with empty limit and retry budget accounts.
        *(
            Event("burst", start * hour, length * hour, [flood], 90.0)
            for start, length in ((4, 1.8), (11, 4.8), (18, 1.8))
        ),
        *(Event("large", (5 + 5 * n) * hour, 0.0, [large], 60.0) for n in range(4)),
        Event("trick", 12 * hour, 2.2 * hour, list(range(scenario.stores)), 0.95, "shed"),
        Event("trick", 21.5 * hour, 2.2 * hour, list(range(scenario.stores)), 0.95, "shed"),
        Event("trick", 15 * hour, 3 * hour, order[:3], 0.15, "error"),
        Event("trick", 8.5 * hour, 2 * hour, order[2:4], 0.2, "die-mid-answer"),
        Event("lost", 1 * hour, 4 * hour, [order[4], order[7]], 0.5, "reset"),
        Event("slow", 1 * hour, 3 * hour, order[7:], 5.0),
        Event("crash", 7 * hour, 0.8 * hour, hot[:1]),
        Event("crash", 18 * hour, 0.8 * hour, hot),
    ]
    return msgspec.structs.replace(
        scenario,
        volumes=[*scenario.volumes, *extra_volumes],
        events=[*scenario.events, *events],
        classes=[*scenario.classes, SHORT_MEMORY_CLASS],
        s3_share=0.15,
        rules=msgspec.structs.replace(scenario.rules, fall_multiple=1.2),
    )


def quiet_day(seed: int, length: float = 8_000.0) -> Scenario:
    """The deployment and traffic of bad-day without faults, as a baseline; it exercises few rules."""
    return msgspec.structs.replace(bad_day(seed, length), name="quiet-day", events=[])


def blind_day(seed: int, length: float = 24_000.0) -> Scenario:
    """The list service is down while gateways and stores restart, stores report their own drains, and an address is reused."""
    scenario = bad_day(seed, length)
    rng = random.Random(f"blind/{seed}")
    order, hour = rng.sample(range(scenario.stores), scenario.stores), length / 24
    events = [
        Event("list-down", 4 * hour, 16 * hour, [], 0, rng.choice(["error", "silence"])),
        Event("crash", 5 * hour, 0.5 * hour, [order[0]]),
        *(Event("gateway-kill", (6 + 3 * n) * hour, 0.5 * hour, [n]) for n in range(scenario.gateways)),
        Event("own-drain", 8 * hour, 5 * hour, [order[1], order[2]]),
        Event("reuse", 10 * hour, 9 * hour, [order[3]]),
        Event("slow", 11 * hour, 4 * hour, [order[4]], rng.uniform(3, 6)),
        Event("crash", 14 * hour, 0.5 * hour, [order[5]]),
        Event("own-drain", 16 * hour, 2.5 * hour, [order[6]]),
        Event("hurry", 20 * hour, 2 * hour, [], 0.12),
    ]
    return with_boundary_load(
        msgspec.structs.replace(
            _without_boundary_load(scenario), name="blind-day", events=events, keeps=True
        ),
        order,
    )


def _without_boundary_load(scenario: Scenario) -> Scenario:
    """The scenario without the volumes and classes of :func:`with_boundary_load`, as a base for another scenario."""
    return msgspec.structs.replace(scenario, volumes=scenario.volumes[:VOLUME_COUNT], classes=CLASSES)


def change_day(seed: int, length: float = 32_000.0) -> Scenario:
    """Settings change at run time at three gateways: a limit is lowered, a volume made unreachable, a gateway killed.

    It is long enough for a harmful change that is not rolled back to exceed the bound of a rollback.
    """
    scenario = bad_day(seed, length, rate=140.0)
    rng = random.Random(f"change/{seed}")
    hour = length / 24
    volume_index = rng.choice(
        [index for index, volume in enumerate(scenario.volumes) if volume.plan == "contest"]
    )
    shard = rng.randrange(scenario.stores)
    events = [
        Event("slow", 3 * hour, 3 * hour, [shard], rng.uniform(3, 6)),
        Event("change", 6 * hour, 0.0, [], 4.0, "limit"),
        Event("change", 13 * hour, 0.0, [volume_index], 0.0, "unreachable"),
        Event("gateway-kill", 21 * hour, 1 * hour, [rng.randrange(scenario.gateways)]),
        Event("deploy", 10 * hour, 4 * hour, rng.sample(range(scenario.stores), 2), 1),
        Event("hurry", 19 * hour, 2 * hour, [], 0.12),
    ]
    order = rng.sample(range(scenario.stores), scenario.stores)
    return with_boundary_load(
        msgspec.structs.replace(
            _without_boundary_load(scenario), name="change-day", events=events, changes=True
        ),
        order,
    )


PROBE_INTERVAL_MS = 200.0  # a fifth of the default, so that a scenario takes half a minute


def fleet_day(seed: int, length: float = 44_000.0, gateways: int = 8) -> Scenario:
    """Gateways with membership lose links, are stopped, killed and restarted; the last third has no faults."""
    rng = random.Random(f"fleet/{seed}/{gateways}")
    hour, every = length / 24, list(range(gateways))
    some = rng.sample(every, gateways)
    few = max(1, gateways // 4)
    scenario = quiet_day(seed, length)
    volumes = [
        msgspec.structs.replace(
            volume, gateways=sorted(rng.sample(every, min(gateways, 3))), rate=volume.rate / 3
        )
        for volume in scenario.volumes[:VOLUME_COUNT]
    ]
    events = [
        Event("link", 0.5 * hour, 15 * hour, [], rng.choice([0.05, 0.2]), "loss"),
        Event("link", 1 * hour, 4 * hour, some[:1], 0.0, rng.choice(["deaf", "mute"])),
        Event("gateway-stop", 2 * hour, 2 * hour, some[1:2]),
        Event("gateway-kill", 3 * hour, 5 * hour, some[2:3]),
        Event("gateway-kill", 9 * hour, 0.0, some[1:2]),
        Event("link", 9 * hour, 4 * hour, some[:few], 0.0, "cut"),
        Event("gateway-stop", 11 * hour, 0.7 * hour, some[few:]),
        Event("gateway-leave", 13.5 * hour, 1 * hour, some[2:3]),
    ]
    if gateways >= 8:  # kills 70% of the gateways at once
        events.append(Event("gateway-kill", 14.5 * hour, 0.5 * hour, some[3 : 3 + 7 * gateways // 10 - 2]))
    return msgspec.structs.replace(
        scenario, name="fleet-day", gateways=gateways, volumes=volumes, events=events, fleet=PROBE_INTERVAL_MS,
        zones=2 if gateways >= 8 else 1, length=length,
    )  # fmt: skip


SCENARIOS = {
    "bad-day": bad_day, "quiet-day": quiet_day, "blind-day": blind_day, "change-day": change_day,
    "fleet-day": fleet_day,
}  # fmt: skip


def _active_event(scenario: Scenario, kind: str, at: float) -> Event | None:
    return next((e for e in scenario.events if e.kind == kind and e.at <= at < e.at + e.length), None)


def _draw_request(scenario: Scenario, volume: Volume, at: float, rng: random.Random) -> PlannedRequest:
    request_class = rng.choices(
        scenario.classes, [request_class.share for request_class in scenario.classes]
    )[0]
    hurry = _active_event(scenario, "hurry", at)
    patience = request_class.deadline * (rng.uniform(hurry.size, 3 * hurry.size) if hurry else 1.0)
    number = min(49, int(rng.paretovariate(1.1)) - 1)
    path = f"/{volume.name}/object-{number}"
    size = rng.choice((1, 1, 2, 2, 3, 4, 8)) * UNIT_BYTES - rng.randrange(UNIT_BYTES // 2)
    common: dict[str, Any] = {
        "at": at, "gateway": rng.choice(volume.gateways), "class_name": request_class.name,
        "patience": min(patience, request_class.deadline), "deadline": request_class.deadline,
        "ignores_retry_after": rng.random() < 0.3,
    }  # fmt: skip
    over_s3 = scenario.s3_share > 0 and request_class.name in (
        scenario.classes[0].name,
        scenario.classes[1].name,
    )
    if over_s3 and rng.random() < scenario.s3_share:
        # S3 requests can't name a class or a deadline: the operation determines the class, and the class the deadline.
        common |= {"s3": True, "patience": request_class.deadline}
        if request_class.writes and rng.random() < 0.15:
            common |= {"has_wrong_checksum": True}
    if not request_class.writes:
        first = rng.randrange(512)
        byte_range = (first, first + rng.randrange(1, 256)) if rng.random() < 0.2 else None
        return PlannedRequest(method="GET", path=path, range=byte_range, **common)
    if request_class.name == "turns":
        path = f"/{volume.name}/turn-{number % 3}"
    method, path = ("POST", f"/{volume.name}") if request_class.new else ("PUT", path)
    return PlannedRequest(
        method=method,
        path=path,
        size=size,
        has_idempotency_key=request_class.effect == "keyed" and "s3" not in common,
        is_repeatable=request_class.effect == "idempotent",
        **common,
    )


def client_requests(scenario: Scenario) -> list[PlannedRequest]:
    """All requests of a scenario's clients, drawn from its seed: Poisson arrivals for each volume, with bursts added."""
    rng = random.Random(f"{scenario.name}/{scenario.seed}/traffic")
    requests: list[PlannedRequest] = []
    for index, volume in enumerate(scenario.volumes):
        now = 0.0
        while True:
            # Arrivals are drawn at the peak rate and thinned, so that bursts start and end exactly on time.
            bursts = [e.size for e in scenario.events if e.kind == "burst" and index in e.on]
            peak_rate = volume.rate + sum(bursts)
            now += rng.expovariate(peak_rate) * 1000
            if now >= scenario.length:
                break
            burst = sum(
                e.size
                for e in scenario.events
                if e.kind == "burst" and index in e.on and e.at <= now < e.at + e.length
            )
            if rng.random() * peak_rate <= volume.rate + burst:
                requests.append(_draw_request(scenario, volume, now, rng))
    plain_volume = next(volume for volume in scenario.volumes if volume.plan == scenario.plans[-1].name)
    gateway, big_path = plain_volume.gateways[0], f"/{plain_volume.name}/big"
    writer = next(request_class for request_class in scenario.classes if request_class.writes)
    reader = next(request_class for request_class in scenario.classes if not request_class.writes)
    disconnects = [event for event in scenario.events if event.kind.startswith("leave-")]
    if disconnects:
        requests.append(
            PlannedRequest(
                0.0, gateway, "PUT", big_path, BIG_BYTES, class_name=writer.name, has_idempotency_key=True
            )
        )
    for event in disconnects:
        method, name = ("PUT", writer.name) if event.kind == "leave-upload" else ("GET", reader.name)
        path = f"{big_path}-{event.at:.0f}" if method == "PUT" else big_path
        direction = event.kind.removeprefix("leave-")
        requests.append(
            PlannedRequest(
                event.at,
                gateway,
                method,
                path,
                BIG_BYTES,
                class_name=name,
                abort_phase=direction,
                has_idempotency_key=method == "PUT",
            )
        )
    for event in scenario.events:
        if event.kind == "large":
            requests += _large_object_requests(scenario, event, writer, reader)
    return sorted(requests, key=lambda request: request.at)


def _large_object_requests(
    scenario: Scenario, event: Event, writer: RequestClass, reader: RequestClass
) -> list[PlannedRequest]:
    """Uploads of large objects at every gateway at once, and reads of one of them, whole and by range."""
    volume, size = scenario.volumes[event.on[0]], int(event.size) * UNIT_BYTES
    requests = []
    for gateway in volume.gateways:
        for number in range(4):
            path = f"/{volume.name}/large-{event.at:.0f}-{gateway}-{number}"
            over_s3 = number >= 2
            requests.append(
                PlannedRequest(
                    event.at,
                    gateway,
                    "PUT",
                    path,
                    size,
                    class_name=writer.name,
                    has_idempotency_key=not over_s3,
                    max_tries=1,
                    s3=over_s3,
                )
            )
            byte_range = (0, size // 2 - 1) if number % 2 else None
            path = f"/{volume.name}/large-{event.at:.0f}-{gateway}-0"
            requests.append(
                PlannedRequest(
                    event.at + 900,
                    gateway,
                    "GET",
                    path,
                    size,
                    byte_range,
                    class_name=reader.name,
                    max_tries=1,
                    s3=over_s3,
                )
            )
    return requests


def settings(scenario: Scenario, index: int, list_port: int, port_file: str, extra_settings: str = "") -> str:
    """The settings of one gateway in the configuration language, with ``extra_settings`` appended."""
    rules = scenario.rules
    blocks: list[tuple[str, dict[str, object]]] = [
        ("gateway", {
            "name": f"gateway-{index}", "index": index, "gateways": scenario.gateways,
            "zone": f"hall-{'abcdefgh'[index % scenario.zones]}",
            "seed": (scenario.seed * 100 + index) % SEEDS, "port_file": f'"{port_file}"',
        }),
        ("listener main", {"address": "127.0.0.1:0"}),
        ("nodes", {
            "list": f"http://127.0.0.1:{list_port}/nodes", "discovery": "asked" if scenario.must_ask else "pushed",
            "wait": "2s", "timeout": "1s",
            **({"keep": f'"{Path(port_file).parent}/nodes-{index}"'} if scenario.keeps else {}),
        }),
        ("rules", {
            "mean_units": 2, "largest_units": LARGEST_UNITS, "max_attempts": rules.max_attempts, "meter": "500ms",
            "max_retry_after": f"{rules.max_retry_after}ms", "cold_from": f"{rules.cold_from * 100}%",
            "warm_after": f"{rules.warm_after}ms", "fall_multiple": rules.fall_multiple,
            "fall_window": f"{rules.fall_window}ms", "cold_units": rules.cold_units, "settle": f"{rules.settle}ms",
            "extra_window": f"{rules.extra_window}ms", "extra_free": rules.extra_free,
            "extra_share": f"{rules.extra_share * 100}%",
        }),
    ]  # fmt: skip
    assigned_operations: set[str] = set()
    for request_class in scenario.classes:
        operations = request_class.operations.split()
        own_operations, shared_operations = (
            [o for o in operations if o not in assigned_operations],
            [o for o in operations if o in assigned_operations],
        )
        assigned_operations |= set(own_operations)
        keys: dict[str, object] = {"operations": ", ".join(own_operations)} if own_operations else {}
        keys |= {"also": ", ".join(shared_operations)} if shared_operations else {}
        keys |= {
            "worth": request_class.worth, "aim": f"{request_class.aim}ms", "deadline": f"{request_class.deadline}ms",
            "late_share": "10%", "effect": request_class.effect, "scope": request_class.scope, "memory": f"{request_class.memory}ms",
            "in_order": "yes" if request_class.in_order else "no", "writes": "yes" if request_class.writes else "no",
            "unit_bytes": f"{UNIT_BYTES}B", "usual_units": 2,
        }  # fmt: skip
        blocks.append((f"class {request_class.name}", keys))
    for plan in scenario.plans:
        keys = {
            "usual_rate": f"{plan.usual_rate} units/s", "weight": plan.weight, "worth_factor": plan.worth_factor,
            "reserve": f"{plan.reserve} units/s", "limit": f"{plan.limit} units/s", "limit_burst": plan.limit_burst,
        }  # fmt: skip
        blocks.append((f"plan {plan.name}", keys))
    for volume in scenario.volumes:
        shards = ", ".join(str(shard) for shard in volume.shards)
        keys = {"plan": volume.plan, "shards": shards, "gateways": len(volume.gateways)}
        blocks.append((f"volume {volume.name}", keys))
    texts = [
        "".join([f"{title} {{\n", *(f"    {key} = {value}\n" for key, value in keys.items()), "}\n"])
        for title, keys in blocks
    ]
    if scenario.s3_share:
        texts.append("s3 {\n    listen = 127.0.0.1:0\n    unsigned = all\n    part_least = 1B\n}\n")
    if scenario.changes:
        texts.append(
            f'changes {{\n    folder = "{Path(port_file).parent}/changes-{index}"\n'
            # Longer than run.ACTIVATION_DELAY_S: the lower limit applies from the arrival of a change, and is checked from then.
            "    clocks_apart = 4s\n}\n"
        )
    return "\n".join(texts) + extra_settings
