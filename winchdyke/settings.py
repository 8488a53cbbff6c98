"""The settings object that a gateway is told at its start, in the simulator's first message or in its configuration.

Nothing here decides anything, and nothing outside the standard library is imported: the simulator's adapter starts with it.
"""

from __future__ import annotations

from typing import Any

from winchdyke import interface as api

EFFECTS = {
    "idempotent": api.Effect.IDEMPOTENT,
    "deduplicated": api.Effect.KEYED,
    "at_most_once": api.Effect.AT_MOST_ONCE,
}
SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}


class SettingsError(ValueError):
    """Settings that the wire's description does not allow."""


def word(table: dict[str, Any], text: str) -> Any:
    """The meaning of one of the wire's fixed words."""
    if text not in table:
        raise SettingsError(f"unknown value {text!r}")
    return table[text]


def _told(value: Any) -> Any:
    """The same without what is null, which is as good as absent."""
    if isinstance(value, dict):
        return {key: _told(of) for key, of in value.items() if of is not None}
    return [_told(of) for of in value] if isinstance(value, list) else value


def settings_of(info: dict[str, Any]) -> api.Settings:
    """The settings; keys that are not known here are passed over, and so is what is null."""
    info = _told(info)
    domain, rules, allow = info.get("domain", {}), info.get("guarantees", {}), info.get("policy_limits", {})
    goal, writes = info.get("goal", {}), info.get("domain", {}).get("changes_data", [])
    classes = tuple(
        api.RequestClass(
            name=c["name"],
            worth=c["worth"],
            aim_ms=c.get("promise_ms") or c["deadline_ms"],  # no aim: any time is good
            deadline_ms=c["deadline_ms"],
            late_share=c.get("late_share", 0.0),
            effect=word(EFFECTS, c["effect"]),
            scope=word(SCOPES, c.get("dedup_scope", "all")),
            memory_ms=c.get("memory_span_ms", 0.0),
            streamed=c.get("streamed", False),
            in_order=c.get("in_order", False),
            writes=at < len(writes) and bool(writes[at]),
        )
        for at, c in enumerate(info["classes"])
    )
    plans = tuple(
        api.Plan(
            name=p["name"],
            worth_factor=p.get("worth_factor", 1.0),
            weight=p.get("proportion", 1.0),
            usual_rate=p.get("usual_rate", 0.0),
            reserve=p.get("reservation", 0.0),
            limit=p.get("never_over", 0.0),
            limit_burst=p.get("limit_burst", 0.0),
        )
        for p in info.get("grades", [])
    )
    return api.Settings(
        gateways=info["balancers"],
        index=info["index"],
        classes=classes,
        plans=plans,
        zone=info.get("zone", ""),
        tick_ms=info.get("tick_ms", 1.0),
        mean_units=domain.get("mean_units") or 1.0,
        largest_units=domain.get("units_top", 1.0),
        fair_worth=domain.get("fair_worth", 1.0),
        idle_worth=domain.get("idle_worth", 1.0),
        meter_ms=domain.get("metering_ms", 0.0),
        goal_whole=goal.get("whole", 1.0),
        goal_worst_class=goal.get("worst_class", 0.0),
        goal_worst_plan=goal.get("worst_tenant", 0.0),
        must_ask=info.get("discovery") == "on_request",
        max_attempts=allow.get("max_attempts", 1),
        may_cancel=allow.get("cancel", False),
        may_probe=allow.get("may_probe", False),
        may_tell=allow.get("may_tell", False),
        second_copies=allow.get("second_copies", False),
        max_retry_after_ms=allow.get("max_retry_after_ms", 0.0) if allow.get("retry_after") else 0.0,
        connect_timeout_ms=allow.get("connect_timeout_ms", 0.0),
        cold_from=rules.get("cold_from") or 1.0,
        warm_after_ms=rules.get("warm_after_ms", 0.0),
        fall_multiple=rules.get("fall_multiple", 0.0),
        fall_window_ms=rules.get("tip_after_ms", 0.0),
        cold_units=domain.get("young_limit", 0.0),
        settle_ms=rules.get("order_settle_ms", 0.0),
        extra_window_ms=rules.get("extra_window_ms", 0.0),
        extra_free=rules.get("extra_free", 0.0),
        extra_share=rules.get("further_ratio", 0.0),
    )
