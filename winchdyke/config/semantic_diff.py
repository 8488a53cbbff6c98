"""Semantic diff of settings, after includes, templates, defaults and units are resolved.

Free of side effects.

A change is a path (kind, name, key) with its old and new value; all changes, applied to the old settings,
give the new ones. For changed routes, the diff also finds example requests that are handled differently.
"""

from __future__ import annotations

import dataclasses
import itertools
from dataclasses import dataclass
from typing import Any

from winchdyke import interface as api
from winchdyke.config import schema
from winchdyke.config.loading import Values, assemble
from winchdyke.config.matching import Pattern, RequestAttributes, Route
from winchdyke.config.model import Config
from winchdyke.config.types import Address

ABSENT = None
MAX_SAMPLED = 400  # maximum number of route patterns, and of volumes, that example requests are made for
EFFECT_NAMES = {
    api.RepeatSafety.IDEMPOTENT: "idempotent",
    api.RepeatSafety.IDEMPOTENCY_KEY: "keyed",
    api.RepeatSafety.AT_MOST_ONCE: "at-most-once",
}
LOOSENED_BY_INCREASE = {  # keys of `rules` that demand more of the stores when increased
    "fall_multiple", "cold_units", "extra_free", "extra_share", "max_attempts", "cold_from",
}  # fmt: skip
LOOSENED_BY_DECREASE = {"warm_after", "settle", "extra_window", "fall_window"}


@dataclass(frozen=True, slots=True)
class Change:
    """One value that differs; None on the side that lacks it. ``key`` is empty for a whole block."""

    kind: str
    name: str
    key: str
    old: Any
    new: Any
    text: str
    risk: str = ""

    def to_dict(self) -> dict[str, Any]:
        """Return the change as plain values for JSON."""
        path = ".".join(part for part in (self.kind, self.name, self.key) if part)
        return {"path": path, "text": self.text, "risk": self.risk}


def to_values(config: Config) -> Values:
    """Return the settings as a flat table, with pool names resolved to shards."""
    values: Values = {
        ("gateway", ""): dataclasses.asdict(config.gateway),
        ("log", ""): dataclasses.asdict(config.log),
        ("accounts", ""): dataclasses.asdict(config.accounts),
        ("changes", ""): dataclasses.asdict(config.changes),
        ("writeback", ""): dataclasses.asdict(config.writeback),
        ("admin", ""): {
            "socket": config.admin.socket,
            "listen": config.admin.listen,
            "keys": config.admin.keys,
        },
        ("fleet", ""): {key: getattr(config.fleet, key) for key in schema.BLOCKS["fleet"].keys},
        ("tls", ""): {key: getattr(config.tls, key) for key in schema.BLOCKS["tls"].keys},
        ("s3", ""): {key: getattr(config.s3, key) for key in schema.BLOCKS["s3"].keys},
        ("limits", ""): dataclasses.asdict(config.limits),
        ("rules", ""): dataclasses.asdict(config.rules),
    }
    nodes = config.nodes
    values["nodes", ""] = {
        "list": (nodes.host, nodes.port, nodes.path), "discovery": "asked" if nodes.must_ask else "pushed",
        "wait": nodes.wait, "timeout": nodes.timeout, "keep": nodes.keep, "file": nodes.file, "srv": nodes.srv,
        "dns": nodes.dns, "vanish_share": nodes.vanish_share, "hold": nodes.hold, "form": "index" if nodes.by_index else "token",
    }  # fmt: skip
    for name, address in config.listeners:
        values["listener", name] = {"address": address}
    for name, address in config.peers:
        values["peer", name] = {"address": address}
    for kind in config.kinds:
        rules = kind.rules
        values["class", rules.name] = {
            "operations": kind.operations,
            "also": kind.also,
            "worth": rules.priority_weight,
            "aim": rules.latency_objective_ms,
            "deadline": rules.deadline_ms,
            "late_share": rules.late_value_ratio,
            "effect": EFFECT_NAMES[rules.repeat_safety],
            "scope": rules.deduplication_scope.value,
            "memory": rules.deduplication_window_ms,
            "streamed": rules.streamed,
            "in_order": rules.in_order,
            "writes": rules.modifies_data,
            "unit_bytes": kind.unit_bytes,
            "usual_units": kind.usual_units,
        }
    for plan in config.plans:
        values["plan", plan.name] = {key: getattr(plan, field) for key, field in schema.PLAN_FIELDS.items()}
    for store in config.stores:
        values["store", Address().show(store.address)] = {
            "shard": store.shard, "capacity": store.capacity, "answers_in": store.answers_in,
        }  # fmt: skip
    for rule in config.volumes:
        values["volume", rule.pattern] = {
            "plan": rule.plan, "pool": None, "shards": rule.shards, "gateways": rule.gateways,
        }  # fmt: skip
    for route in config.routes:
        pattern = route.pattern
        values["route", pattern.name] = {
            "priority": pattern.priority, "volume": pattern.volume, "key": pattern.key, "method": pattern.methods,
            "header": pattern.header, "size": pattern.size, "class": route.class_name or None, "pool": None,
            "shards": route.shards,
        }  # fmt: skip
    return values


def diff(old: Config, new: Config) -> list[Change]:
    """Return the changes from ``old`` to ``new``, in the order of the schema."""
    before, after = to_values(old), to_values(new)
    found: list[Change] = []
    for kind in schema.BLOCKS:
        names = sorted({name for block_kind, name in (*before, *after) if block_kind == kind})
        for name in names:
            old_keys, new_keys = before.get((kind, name)), after.get((kind, name))
            if old_keys == new_keys:
                continue
            title = f"{kind} {name}".strip()
            if old_keys is None:
                found.append(
                    Change(
                        kind,
                        name,
                        "",
                        ABSENT,
                        _as_items(new_keys or {}),
                        f"{title} is new",
                        _risk_of_adding(kind, new_keys or {}),
                    )
                )
            elif new_keys is None:
                found.append(
                    Change(
                        kind,
                        name,
                        "",
                        _as_items(old_keys),
                        ABSENT,
                        f"{title} is gone",
                        _risk_of_removing(kind, name, old_keys, new),
                    )
                )
            else:
                found += [
                    _value_change(kind, name, key, old_keys[key], new_keys[key])
                    for key in old_keys
                    if old_keys[key] != new_keys[key]
                ]
    return found


def _as_items(keys: dict[str, Any]) -> tuple[tuple[str, Any], ...]:
    return tuple(keys.items())


def apply(old: Config, changes: list[Change]) -> Config:
    """Return the settings that result from applying changes."""
    values = {where: dict(keys) for where, keys in to_values(old).items()}
    for change in changes:
        where = change.kind, change.name
        if change.key:
            values[where][change.key] = change.new
        elif change.new is ABSENT:
            del values[where]
        else:
            values[where] = dict(change.new)
    return assemble(values)


def show(kind: str, key: str, value: Any) -> str:
    """Format a value in the syntax of the language; ``nothing`` if there is none."""
    rule = schema.BLOCKS[kind].keys.get(key)
    if value is None or value == ():
        return "nothing"
    return rule.type.show(value) if rule else str(value)


def _value_change(kind: str, name: str, key: str, old: Any, new: Any) -> Change:
    title = f"{kind} {name}".strip()
    text = f"{title}: {key} {show(kind, key, old)} -> {show(kind, key, new)}"
    return Change(kind, name, key, old, new, text, _risk(kind, key, old, new))


def _risk(kind: str, key: str, old: Any, new: Any) -> str:
    """Return the risk of a changed value; an empty string if none is known."""
    if kind == "plan" and key == "limit":
        if new and (not old or new < old):
            return "requests of volumes beyond the new limit are refused"
        return "the limit is looser: other volumes on the same stores may get less"
    if kind == "plan" and key == "reserve" and new < old:
        return "less is served with full worth when stores are busy"
    if kind == "rules" and (
        (key in LOOSENED_BY_INCREASE and new > old) or (key in LOOSENED_BY_DECREASE and new < old)
    ):
        return "a rule is loosened: the stores must be able to take the load"
    if kind == "class" and key == "effect":
        order = ("at-most-once", "keyed", "idempotent")
        if order.index(new) > order.index(old):
            return "a rule is loosened: requests that may have run are sent again"
    if kind == "class" and key == "memory" and new > old:
        return "a rule is loosened: stores must remember keys that long"
    if (
        kind == "class"
        and key == "scope"
        and ("cell", "zone", "all").index(new) > ("cell", "zone", "all").index(old)
    ):
        return "a rule is loosened: more stores must know each other's keys"
    if kind == "class" and key == "in_order" and not new:
        return "a rule is loosened: requests of one key may run side by side"
    if kind == "class" and key == "deadline" and new < old:
        return "requests that take longer fail"
    if kind in ("volume", "route") and key in ("shards", "volume", "key"):
        return "objects already stored may be looked for on other shards, and not found"
    if kind == "volume" and key == "gateways":
        return "each gateway's part of the reserve and the limit changes"
    if kind == "limits" and key == "object_bytes" and new < old:
        return "larger objects are refused"
    return ""


def _risk_of_adding(kind: str, keys: dict[str, Any]) -> str:
    if kind in ("volume", "route") and keys.get("shards"):
        return "objects of the volumes that it matches may be looked for on other shards, and not found"
    return ""


def _risk_of_removing(kind: str, name: str, keys: dict[str, Any], new: Config) -> str:
    if kind == "store":
        others = [store for store in new.stores if store.shard == keys["shard"]]
        return "" if others else f"shard {keys['shard']} has no store any more"
    if kind == "volume":
        left = new.volume(name.rstrip("*") or "any")
        return (
            "its volumes are unknown after the change: requests get 404"
            if left is None
            else f"its volumes match {left.pattern!r} after the change"
        )
    if kind == "class":
        return "its operations have no class after the change, or another one"
    return "clients that connect there are refused" if kind == "listener" else ""


# Routes: requests that are handled differently.


@dataclass(frozen=True, slots=True)
class ReroutedRequest:
    """An example request that is handled differently, with its old and new handling."""

    request: RequestAttributes
    old: str
    new: str

    def __str__(self) -> str:
        size = f" of {self.request.size} bytes" if self.request.size else ""
        header = "".join(f" with {name}: {value}" for name, value in self.request.headers.items())
        path = f"/{self.request.volume}/{self.request.key}"
        return f"{self.request.method} {path}{size}{header}: {self.old} -> {self.new}"


def _sample_requests(patterns: list[Pattern], volumes: list[str]) -> list[RequestAttributes]:
    """Return requests at the boundaries of patterns: matching ones and ones that just fail to match."""
    found: list[RequestAttributes] = []
    for pattern in patterns[:MAX_SAMPLED]:
        names = (
            [pattern.volume[:-1] + ("x" if pattern.volume != "*" else "any")]
            if pattern.volume.endswith("*")
            else []
        )
        names = names or [pattern.volume]
        keys = [pattern.key + "object", "other"] if pattern.key else ["object"]
        methods = [*pattern.methods[:2], *(m for m in ("GET", "PUT") if m not in pattern.methods)][:3]
        low, high = pattern.size or (-1, 0)
        sizes = sorted({max(0, low), max(0, low) + 1, min(high, 2**40), 0})
        headers: list[dict[str, str]] = [{}] + ([dict([pattern.header])] if pattern.header else [])
        for volume, key, method, size, header in itertools.product(names, keys, methods, sizes, headers):
            found.append(RequestAttributes(method, volume, key, size, header))
    found += [
        RequestAttributes(method, (name.rstrip("*") or "any"), "object")
        for name in volumes[:MAX_SAMPLED]
        for method in ("GET", "PUT")
    ]
    return found


OPERATION_BY_METHOD = {"GET": "get", "HEAD": "head", "PUT": "put", "POST": "post", "DELETE": "delete"}


def routing_summary(config: Config, request: RequestAttributes) -> str:
    """Describe the handling of a request: its class, plan and shards."""
    volume = config.volume(request.volume)
    if volume is None:
        return "404, no such volume"
    route: Route | None = config.matcher.match(request)
    operation = OPERATION_BY_METHOD[request.method]
    kind = config.kind_for(operation, route.class_name if route and route.class_name else None)
    kind = kind or config.kind_for(operation, None)
    shards = route.shards if route and route.shards else volume.shards
    name = kind.rules.name if kind else "no class"
    return (
        f"class {name}, plan {volume.plan}, shards {schema.BLOCKS['pool'].keys['shards'].type.show(shards)}"
    )


def find_rerouted_requests(old: Config, new: Config, limit: int = 5) -> list[ReroutedRequest]:
    """Return example requests that are handled differently, one for each pair of old and new handling."""
    patterns = [route.pattern for route in (*old.routes, *new.routes)]
    changed = {route.pattern for route in old.routes} ^ {route.pattern for route in new.routes}
    patterns.sort(key=lambda pattern: (pattern not in changed, pattern.name))
    volumes = sorted({rule.pattern for rule in (*old.volumes, *new.volumes)})
    found: dict[tuple[str, str], ReroutedRequest] = {}
    for request in _sample_requests(patterns, volumes):
        before, after = routing_summary(old, request), routing_summary(new, request)
        if before != after and (before, after) not in found:
            found[before, after] = ReroutedRequest(request, before, after)
            if len(found) >= limit:
                break
    return list(found.values())
