"""The typed settings that the rest of the program reads: immutable, hashable and comparable.

Times are in milliseconds, sizes in bytes, rates in units per second. The origin of each value is kept
separately, in ``loading.Loaded``, so that settings with equal values compare equal.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from winchdyke import interface as api
from winchdyke.config.matching import Matcher, Route

OPERATIONS = (
    "get", "head", "put", "post", "delete", "list", "start-upload", "put-part", "list-parts", "complete-upload",
    "abort-upload",
)  # fmt: skip


@dataclass(frozen=True, slots=True, order=True)
class Listen:
    """An address to listen on; with port 0 the system chooses one."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Gateway:
    """This gateway: its name, index, zone and seed, and the number of gateways."""

    name: str
    index: int
    gateways: int
    zone: str
    seed: int
    port_file: str


@dataclass(frozen=True, slots=True)
class Log:
    """The format of the log, and whether requests are logged (``access``)."""

    form: str
    access: bool


@dataclass(frozen=True, slots=True)
class Accounts:
    """The ledger of which requests waited for which others; an empty ``folder``: there is none."""

    folder: str
    segment_bytes: int
    segment_time: float
    total_bytes: int
    keep_accounts: float
    sync: float


@dataclass(frozen=True, slots=True)
class Changes:
    """The change log of settings; an empty ``folder``: settings change at a restart only."""

    folder: str = ""
    keep: int = 200  # versions; older ones are moved to archives
    clocks_apart: float = 2000.0  # ms


@dataclass(frozen=True, slots=True)
class WriteBack:
    """The write-back log, from which writes are acknowledged; an empty ``folder``: there is none."""

    folder: str = ""
    classes: tuple[str, ...] = ()
    segment_bytes: int = 16 << 20
    total_bytes: int = 1 << 30
    record_bytes: int = 1 << 20
    wide: int = 4
    urgent: float = 60_000.0
    remember: float = 3_600_000.0
    clock_bound: float = 250.0


@dataclass(frozen=True, slots=True)
class Admin:
    """The admin API: TCP with a key file, and a unix socket.

    ``socket``: its path; empty: admin.sock in the change log's folder; ``none``: no socket.
    """

    socket: str = ""
    listen: Listen | None = None
    keys: str = ""


@dataclass(frozen=True, slots=True)
class Fleet:
    """Membership of gateways; off if ``listen`` is None."""

    listen: Listen | None = None
    advertise: str = ""
    seeds: tuple[Listen, ...] = ()
    list: tuple[str, int, str] | None = None
    keys: str = ""
    keep: str = ""
    interval: float = 1000.0
    timeout: float = 300.0
    exchange: float = 30_000.0
    forget: float = 600_000.0


@dataclass(frozen=True, slots=True)
class Tls:
    """TLS of client listeners; off without a certificate.

    ``on``: the listeners with TLS, ``s3`` or ``all``.
    """

    certificate: str = ""
    key: str = ""
    least: str = "1.2"
    clients: str = ""
    on: str = "s3"
    stores: str = ""


@dataclass(frozen=True, slots=True)
class S3:
    """The S3 API: its listener and keys.

    ``unsigned``: requests accepted without a signature, ``none``, ``read`` or ``all``.
    """

    listen: Listen | None = None
    domain: str = ""
    keys: str = ""
    master: str = ""
    unsigned: str = "none"
    part_least: int = 5 << 20
    upload_keep: float = 7 * 24 * 3600 * 1000.0
    parts_at_once: int = 4
    ranges_at_once: int = 8


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the resources of this gateway that clients and stores may use."""

    header_bytes: int
    header_timeout: float
    idle_timeout: float
    stream_idle: float
    answer_margin: float
    connections: int
    body_memory: int
    body_total: int
    object_bytes: int
    connect_timeout: float
    pool_idle: float
    pool_per_node: int
    tick: float


@dataclass(frozen=True, slots=True)
class Discovery:
    """The list service and its fallbacks.

    ``must_ask``: the gateway requests changes, the service does not push them.
    """

    host: str
    port: int
    path: str
    must_ask: bool
    wait: float
    timeout: float
    keep: str = ""
    file: str = ""
    srv: str = ""
    dns: str = ""
    vanish_share: float = 0.5
    hold: float = 300_000.0
    by_index: bool = False


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the scheduler's rules."""

    mean_units: float
    largest_units: float
    fair_worth: float
    idle_worth: float
    meter: float
    max_attempts: int
    may_cancel: bool
    max_retry_after: float
    cold_from: float
    warm_after: float
    fall_multiple: float
    fall_window: float
    cold_units: float
    settle: float
    extra_window: float
    extra_free: float
    extra_share: float


@dataclass(frozen=True, slots=True)
class ClassConfig:
    """A request class with its operations: those by default, and those on request (``also``)."""

    rules: api.RequestClass
    operations: tuple[str, ...]
    also: tuple[str, ...]
    unit_bytes: int
    usual_units: float


@dataclass(frozen=True, slots=True)
class Store:
    """Properties of a store that are known in advance."""

    address: Listen
    shard: int
    capacity: float
    answers_in: float


@dataclass(frozen=True, slots=True)
class VolumeRule:
    """The plan, the shards and the number of gateways of volumes whose name matches ``pattern``."""

    pattern: str
    plan: str
    shards: tuple[int, ...]
    gateways: int


@dataclass(frozen=True)
class Config:
    """All settings of one gateway."""

    gateway: Gateway
    listeners: tuple[tuple[str, Listen], ...]
    log: Log
    accounts: Accounts
    changes: Changes
    writeback: WriteBack
    admin: Admin
    fleet: Fleet
    peers: tuple[tuple[str, Listen], ...]
    s3: S3
    tls: Tls
    limits: Limits
    nodes: Discovery
    rules: Rules
    kinds: tuple[ClassConfig, ...]
    plans: tuple[api.Plan, ...]
    stores: tuple[Store, ...]
    volumes: tuple[VolumeRule, ...]
    routes: tuple[Route, ...]

    def settings(self) -> api.Settings:
        """Return the scheduler's settings."""
        rules = self.rules
        return api.Settings(
            gateway_count=self.gateway.gateways,
            gateway_index=self.gateway.index,
            classes=tuple(kind.rules for kind in self.kinds),
            plans=self.plans,
            zone=self.gateway.zone,
            clock_tick_ms=self.limits.tick,
            mean_request_units=rules.mean_units,
            max_request_units=rules.largest_units,
            fair_share_priority_factor=rules.fair_worth,
            excess_priority_factor=rules.idle_worth,
            usage_report_interval_ms=rules.meter,
            polls_endpoint_list=self.nodes.must_ask,
            max_attempts=rules.max_attempts,
            can_cancel_attempts=rules.may_cancel,
            max_retry_after_ms=rules.max_retry_after,
            connect_timeout_ms=self.limits.connect_timeout,
            slow_start_initial_capacity=rules.cold_from,
            slow_start_duration_ms=rules.warm_after,
            slow_start_overload_factor=rules.fall_multiple,
            slow_start_overload_window_ms=rules.fall_window,
            slow_start_initial_units=rules.cold_units,
            order_settle_ms=rules.settle,
            retry_budget_window_ms=rules.extra_window,
            retry_budget_base=rules.extra_free,
            retry_budget_ratio=rules.extra_share,
        )

    @cached_property
    def matcher(self) -> Matcher[Route]:
        """The matcher compiled from the routes."""
        return Matcher([(route.pattern, route) for route in self.routes])

    @cached_property
    def _volumes(self) -> tuple[dict[str, VolumeRule], list[tuple[int, dict[str, VolumeRule]]]]:
        exact = {rule.pattern: rule for rule in self.volumes if not rule.pattern.endswith("*")}
        lengths: dict[int, dict[str, VolumeRule]] = {}
        for rule in self.volumes:
            if rule.pattern.endswith("*"):
                lengths.setdefault(len(rule.pattern) - 1, {})[rule.pattern[:-1]] = rule
        return exact, sorted(lengths.items(), reverse=True)

    def volume(self, name: str) -> VolumeRule | None:
        """Return a volume's rule: by exact name, else by longest prefix; None if no rule matches."""
        exact, prefixes = self._volumes
        if name in exact:
            return exact[name]
        return next((rules[name[:length]] for length, rules in prefixes if name[:length] in rules), None)

    @cached_property
    def _kinds(self) -> dict[str, ClassConfig]:
        return {kind.rules.name: kind for kind in self.kinds}

    @cached_property
    def _defaults(self) -> dict[str, ClassConfig]:
        return {operation: kind for kind in self.kinds for operation in kind.operations}

    def kind_for(self, operation: str, requested_class: str | None) -> ClassConfig | None:
        """Return the requested class, or the operation's default class if none is requested.

        None if the requested class does not exist or does not allow the operation, or if there is no default
        class.
        """
        if requested_class is None:
            return self._defaults.get(operation)
        kind = self._kinds.get(requested_class)
        return kind if kind and (operation in kind.operations or operation in kind.also) else None
