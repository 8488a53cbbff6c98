"""The typed settings that all else reads. Times are milliseconds, sizes bytes, rates units a second."""

from __future__ import annotations

from dataclasses import dataclass, field
from fnmatch import fnmatchcase

from winchdyke import interface as api

OPERATIONS = (
    "get", "head", "put", "post", "delete", "list", "start-upload", "put-part", "list-parts", "complete-upload",
    "abort-upload",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Listen:
    """An address to listen at; port 0 lets the system choose."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Gateway:
    """This gateway: its name, its number among all, and where it listens."""

    name: str
    index: int
    gateways: int
    listen: Listen
    zone: str
    seed: int
    log: str
    port_file: str


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what clients and stores may use of this gateway."""

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
    """The list service: its address, and whether it must be asked before it tells changes."""

    host: str
    port: int
    path: str
    must_ask: bool
    wait: float
    timeout: float


@dataclass(frozen=True, slots=True)
class Kind:
    """A request class with the operations that fall into it by default."""

    rules: api.RequestClass
    operations: tuple[str, ...]
    unit_bytes: int
    usual_units: float


@dataclass(frozen=True, slots=True)
class VolumeRule:
    """What holds for volumes whose name matches: their plan, their shards, and how many gateways serve them."""

    pattern: str
    plan: str
    shards: tuple[int, ...]
    gateways: int


@dataclass(frozen=True, slots=True)
class Config:
    """All settings of one gateway."""

    gateway: Gateway
    limits: Limits
    nodes: Discovery
    kinds: tuple[Kind, ...]
    plans: tuple[api.Plan, ...]
    volumes: tuple[VolumeRule, ...]
    rules: dict[str, float | bool | int] = field(default_factory=dict)

    def settings(self) -> api.Settings:
        """What the scheduler is told at its start."""
        return api.Settings(
            gateways=self.gateway.gateways,
            index=self.gateway.index,
            classes=tuple(kind.rules for kind in self.kinds),
            plans=self.plans,
            zone=self.gateway.zone,
            tick_ms=self.limits.tick,
            must_ask=self.nodes.must_ask,
            connect_timeout_ms=self.limits.connect_timeout,
            **self.rules,  # type: ignore[arg-type]
        )

    def volume(self, name: str) -> VolumeRule | None:
        """The first rule that matches a volume's name, exact names before patterns; None where none does."""
        exact = [rule for rule in self.volumes if rule.pattern == name]
        return next(iter(exact or [rule for rule in self.volumes if fnmatchcase(name, rule.pattern)]), None)

    def kind_for(self, operation: str, asked: str | None) -> Kind | None:
        """The class of an operation: the one asked for where it takes that operation, else the first that does."""
        fits = [kind for kind in self.kinds if operation in kind.operations]
        if asked is not None:
            fits = [kind for kind in fits if kind.rules.name == asked]
        return fits[0] if fits else None
