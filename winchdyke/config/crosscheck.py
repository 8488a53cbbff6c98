"""Checks across values: references, limits of plans, unreachable routes, contradictions within classes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from winchdyke.config.diagnostics import WARNING
from winchdyke.config.matching import Pattern
from winchdyke.config.schema import BLOCKS
from winchdyke.config.types import Duration, suggest

if TYPE_CHECKING:
    from winchdyke.config.loading import Builder

MAX_ROUTES_COMPARED = 4000  # with more, a route is compared only with routes for the same volume name


def check(builder: Builder) -> None:
    """Run all checks; findings are added to the builder."""
    by_kind: dict[str, dict[str, dict[str, Any]]] = {kind: {} for kind in BLOCKS}
    for (kind, name), keys in builder.values.items():
        by_kind[kind][name] = keys
    _check_references(builder, by_kind)
    _check_gateway(builder, by_kind)
    _check_fleet(builder, by_kind)
    _check_classes(builder, by_kind)
    _check_aims(builder, by_kind)
    _check_plans(builder, by_kind)
    _check_volumes(builder, by_kind)
    _check_routes(builder, by_kind)


def _check_references(builder: Builder, by_kind: dict[str, dict[str, dict[str, Any]]]) -> None:
    used: dict[str, set[str]] = {"plan": set(), "pool": set(), "class": set()}
    for (kind, name), keys in builder.values.items():
        for key, rule in BLOCKS[kind].keys.items():
            value = keys.get(key)
            if not rule.refers_to or not value:
                continue
            used[rule.refers_to].add(value)
            if value not in by_kind[rule.refers_to] and (rule.refers_to, value) not in builder.blocks:
                shown = f"[{rule.refers_to} {value}]" if builder.ini else f"{rule.refers_to} {value!r}"
                fix = suggest(value, by_kind[rule.refers_to])
                builder.report_value(kind, name, key, "undefined", f"there is no {shown}", fix)
    for kind in ("plan", "pool"):
        for name in by_kind[kind]:
            if name not in used[kind] and (kind, name) in builder.blocks:
                builder.report_value(kind, name, "", "unused", f"no {'volume' if kind == 'plan' else 'volume or route'} uses it",
                            "use it, or remove it", WARNING)  # fmt: skip
    for name, keys in by_kind["class"].items():
        if (
            "operations" in keys
            and not keys["operations"]
            and not keys.get("also")
            and name not in used["class"]
        ):
            builder.report_value(
                "class",
                name,
                "",
                "unused",
                "no operation and no route selects it",
                "add operations",
                WARNING,
            )


def _check_gateway(builder: Builder, by_kind: dict[str, dict[str, dict[str, Any]]]) -> None:
    gateway = by_kind["gateway"].get("", {})
    count = gateway.get("gateways", 1)
    if gateway.get("index", 0) >= count:
        text = f"counts from 0 and must be less than gateways = {count}"
        builder.report_value("gateway", "", "index", "out-of-range", text, f"write 0 to {count - 1}")
    seen: dict[Any, str] = {}
    for name, keys in by_kind["listener"].items():
        address = keys.get("address")
        if address is None or not address.port:
            continue
        if address in seen:
            text = f"listener {seen[address]!r} has the same address, {address.host}:{address.port}"
            builder.report_value("listener", name, "address", "same-address", text, "choose another port")
        seen.setdefault(address, name)


def _check_fleet(builder: Builder, by_kind: dict[str, dict[str, dict[str, Any]]]) -> None:
    fleet = by_kind["fleet"].get("", {})
    if not {"listen", "keys", "timeout", "interval", "advertise"} <= fleet.keys():
        return  # a required value is missing or invalid, which is reported already
    if fleet["listen"] is None:
        if ("fleet", "") in builder.blocks or by_kind["peer"]:
            text = "there is a fleet or peer block but no address to listen on: membership is off"
            builder.report_value("fleet", "", "listen", "off", text, "add listen = HOST:PORT", WARNING)
        return
    if not fleet["keys"]:
        text = "is missing: messages between gateways are authenticated with these keys"
        builder.report_value(
            "fleet", "", "keys", "no-keys", text, "add keys = FILE; `winchdyke keys new` makes one"
        )
    if fleet["timeout"] * 2 > fleet["interval"]:
        text = "leaves less than half of the interval for indirect probes"
        builder.report_value(
            "fleet", "", "timeout", "timeout-too-long", text, "write half of the interval, or less"
        )
    if not fleet["advertise"] and fleet["listen"].host in ("0.0.0.0", "::", ""):
        text = f"is missing, and other gateways can't connect to {fleet['listen'].host}"
        builder.report_value("fleet", "", "advertise", "no-address", text, "add advertise = HOST:PORT")


def _check_classes(builder: Builder, by_kind: dict[str, dict[str, dict[str, Any]]]) -> None:
    owner: dict[str, str] = {}
    show = Duration().show
    for name, keys in by_kind["class"].items():
        aim, deadline, memory = keys.get("aim"), keys.get("deadline"), keys.get("memory")
        if aim is not None and deadline is not None and aim > deadline:
            meant = f"; was {show(aim / 1000)} meant?" if aim / 1000 >= 1 else ""
            text = f"is longer than the deadline {show(deadline)}{meant}"
            builder.report_value(
                "class", name, "aim", "aim-past-deadline", text, "set the aim before its deadline"
            )
        if keys.get("effect") == "keyed" and memory is not None and deadline is not None:
            if not memory:
                text = "a keyed class must state how long stores drop its repeats"
                builder.report_value(
                    "class",
                    name,
                    "memory",
                    "no-memory",
                    text,
                    "write memory = 4s, or what the stores are set to",
                )
            elif memory < deadline:
                text = f"stores forget its keys after {show(memory)}, before its deadline {show(deadline)}"
                fix = (
                    "a retry after that time fails without being sent; raise the memory or lower the deadline"
                )
                builder.report_value("class", name, "memory", "short-memory", text, fix, WARNING)
        for operation in keys.get("operations") or ():
            if operation in owner and not builder.ini:
                text = f"{operation} already belongs to class {owner[operation]!r}"
                builder.report_value(
                    "class", name, "operations", "ambiguous", text, f"write also = {operation} in one of them"
                )
            owner.setdefault(operation, name)


def _check_aims(builder: Builder, by_kind: dict[str, dict[str, dict[str, Any]]]) -> None:
    """Warn of an aim over a thousand times the response time of the slowest store: probably a wrong unit."""
    slowest = max((keys.get("answers_in") or 0.0 for keys in by_kind["store"].values()), default=0.0)
    show = Duration().show
    for name, keys in by_kind["class"].items() if slowest else ():
        aim = keys.get("aim") or 0.0
        if aim > 1000 * slowest:
            text = f"is {show(aim)}, and the slowest store answers in {show(slowest)}"
            builder.report_value(
                "class", name, "aim", "doubtful", text, f"was {show(aim / 1000)} meant?", WARNING
            )


def _check_plans(builder: Builder, by_kind: dict[str, dict[str, dict[str, Any]]]) -> None:
    largest = by_kind["rules"].get("", {}).get("largest_units", 0)
    for name, keys in by_kind["plan"].items():
        limit, reserve, burst = keys.get("limit"), keys.get("reserve"), keys.get("limit_burst")
        if limit and burst is not None and burst < largest:
            text = f"is less than largest_units = {largest:g}, so requests of that size are never admitted"
            builder.report_value(
                "plan", name, "limit_burst", "burst-too-small", text, f"write {largest:g} or more"
            )
        if limit and reserve and limit < reserve:
            text = f"is less than the reserve of {reserve:g} units/s, which can then never be used up"
            builder.report_value(
                "plan", name, "limit", "limit-under-reserve", text, "raise the limit or lower the reserve"
            )
    stores = [keys for keys in by_kind["store"].values() if "capacity" in keys]
    if not stores or any(not keys["capacity"] for keys in stores):
        return
    capacity = sum(keys["capacity"] for keys in stores)
    promised = 0.0
    for name, keys in by_kind["volume"].items():
        plan = by_kind["plan"].get(keys.get("plan") or "", {})
        promised += plan.get("reserve") or 0.0
        if promised > capacity and plan.get("reserve"):
            text = (
                f"reserves up to here add up to {promised:g} units/s, but all stores can serve {capacity:g}"
            )
            builder.report_value(
                "volume", name, "plan", "reserves-too-large", text, "lower reserves, or add stores"
            )
            return


def _check_volumes(builder: Builder, by_kind: dict[str, dict[str, dict[str, Any]]]) -> None:
    count = by_kind["gateway"].get("", {}).get("gateways", 1)
    for name, keys in by_kind["volume"].items():
        if keys.get("gateways", 1) > count:
            text = f"is more than the {count} gateways of the deployment"
            builder.report_value("volume", name, "gateways", "out-of-range", text, f"write {count} or less")
        pool, shards = keys.get("pool"), keys.get("shards")
        are_valid = {"pool", "shards"} <= keys.keys()
        if are_valid and not pool and not shards:
            fix = "add shards = 0-7, or a pool"
            builder.report_value("volume", name, "shards", "missing", "is missing and has no default", fix)
        if pool and shards:
            builder.report_value(
                "volume", name, "shards", "both", "a pool is given too", "keep one of the two"
            )


def _patterns(by_kind: dict[str, dict[str, dict[str, Any]]]) -> list[tuple[Pattern, dict[str, Any]]]:
    found = []
    for name, keys in by_kind["route"].items():
        if {"priority", "volume", "key", "method", "header", "size"} <= keys.keys():
            parts = (keys[key] for key in ("priority", "volume", "key", "method", "header", "size"))
            found.append((Pattern(name, *parts), keys))
    return sorted(found, key=lambda entry: (tuple(-part for part in entry[0].rank), entry[0].name))


def _check_routes(builder: Builder, by_kind: dict[str, dict[str, dict[str, Any]]]) -> None:
    patterns = _patterns(by_kind)
    by_volume: dict[str, list[Pattern]] = {}
    for pattern, keys in patterns:
        name = pattern.name
        if not keys.get("class") and not keys.get("pool"):
            text = "gives neither a class nor a pool"
            builder.report_value("route", name, "", "does-nothing", text, "add class = NAME or pool = NAME")
        if keys.get("pool") and (pattern.methods or pattern.header or pattern.size):
            text = "a route with a pool may match on volume and key only"
            fix = "other requests would not find an object on these shards; remove method, header and size, or the pool"
            builder.report_value("route", name, "pool", "pool-by-method", text, fix)
        # Only a route whose volume pattern equals this one's, or is a prefix of it, can cover it.
        volume = pattern.volume.rstrip("*")
        for end in range(len(volume) + 1) if len(patterns) <= MAX_ROUTES_COMPARED else (len(volume),):
            places = [volume[:end] + "*"] + ([pattern.volume] if end == len(volume) else [])
            before = next(
                (
                    each
                    for place in dict.fromkeys(places)
                    for each in by_volume.get(place, ())
                    if each.covers(pattern)
                ),
                None,
            )
            if before is not None:
                same = before.covers(pattern) and pattern.covers(before)
                text = f"can never match: route {before.name!r} matches all its requests first"
                fix = (
                    "both match the same requests; keep one"
                    if same
                    else f"lower the priority of {before.name!r}, or remove one"
                )
                builder.report_value("route", name, "", "shadowed", text, fix, WARNING)
                break
        by_volume.setdefault(pattern.volume, []).append(pattern)
