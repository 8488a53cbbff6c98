"""The settings object that a gateway is told at its start, in the simulator's first message or in its configuration.

Nothing here decides anything, and nothing outside the standard library is imported: the simulator's adapter starts with it.
"""

from __future__ import annotations

from typing import Any

from winchdyke import interface as api

EFFECTS = {
    "idempotent": api.RepeatSafety.IDEMPOTENT,
    "deduplicated": api.RepeatSafety.IDEMPOTENCY_KEY,
    "at_most_once": api.RepeatSafety.AT_MOST_ONCE,
}
SCOPES = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.SHARD,
}


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
            priority_weight=c["worth"],
            latency_objective_ms=c.get("promise_ms") or c["deadline_ms"],  # no aim: any time is good
            deadline_ms=c["deadline_ms"],
            late_value_ratio=c.get("late_share", 0.0),
            repeat_safety=word(EFFECTS, c["effect"]),
            deduplication_scope=word(SCOPES, c.get("dedup_scope", "all")),
            deduplication_window_ms=c.get("memory_span_ms", 0.0),
            streamed=c.get("streamed", False),
            in_order=c.get("in_order", False),
            modifies_data=at < len(writes) and bool(writes[at]),
        )
        for at, c in enumerate(info["classes"])
    )
    plans = tuple(
        api.Plan(
            name=p["name"],
            priority_factor=p.get("worth_factor", 1.0),
            fair_share_weight=p.get("proportion", 1.0),
            expected_units_per_s=p.get("usual_rate", 0.0),
            reserved_units_per_s=p.get("reservation", 0.0),
            limit_units_per_s=p.get("never_over", 0.0),
            limit_burst_units=p.get("limit_burst", 0.0),
        )
        for p in info.get("grades", [])
    )
    return api.Settings(
        gateway_count=info["balancers"],
        gateway_index=info["index"],
        classes=classes,
        plans=plans,
        zone=info.get("zone", ""),
        clock_tick_ms=info.get("tick_ms", 1.0),
        mean_request_units=domain.get("mean_units") or 1.0,
        max_request_units=domain.get("units_top", 1.0),
        fair_share_priority_factor=domain.get("fair_worth", 1.0),
        excess_priority_factor=domain.get("idle_worth", 1.0),
        usage_report_interval_ms=domain.get("metering_ms", 0.0),
        goal_total_weight=goal.get("whole", 1.0),
        goal_worst_class_weight=goal.get("worst_class", 0.0),
        goal_worst_plan_weight=goal.get("worst_tenant", 0.0),
        polls_endpoint_list=info.get("discovery") == "on_request",
        max_attempts=allow.get("max_attempts", 1),
        can_cancel_attempts=allow.get("cancel", False),
        can_health_check=allow.get("may_probe", False),
        can_message_peers=allow.get("may_tell", False),
        can_hedge_requests=allow.get("second_copies", False),
        max_retry_after_ms=allow.get("max_retry_after_ms", 0.0) if allow.get("retry_after") else 0.0,
        connect_timeout_ms=allow.get("connect_timeout_ms", 0.0),
        slow_start_initial_capacity=rules.get("cold_from") or 1.0,
        slow_start_duration_ms=rules.get("warm_after_ms", 0.0),
        slow_start_overload_factor=rules.get("fall_multiple", 0.0),
        slow_start_overload_window_ms=rules.get("tip_after_ms", 0.0),
        slow_start_initial_units=domain.get("young_limit", 0.0),
        order_settle_ms=rules.get("order_settle_ms", 0.0),
        retry_budget_window_ms=rules.get("extra_window_ms", 0.0),
        retry_budget_base=rules.get("extra_free", 0.0),
        retry_budget_ratio=rules.get("further_ratio", 0.0),
    )
