"""Parses the settings object of a gateway, from the simulator's first message or from the configuration.

Only this module maps the keys of that object to the fields of :class:`winchdyke.interface.Settings`. It
needs no third-party package, because the simulator's adapter imports it.
"""

from __future__ import annotations

from typing import Any

from winchdyke import interface as api

REPEAT_SAFETY = {
    "idempotent": api.RepeatSafety.IDEMPOTENT,
    "deduplicated": api.RepeatSafety.IDEMPOTENCY_KEY,
    "at_most_once": api.RepeatSafety.AT_MOST_ONCE,
}
DEDUPLICATION_SCOPES = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.SHARD,
}


class SettingsError(ValueError):
    """Raised for settings that the wire format does not allow."""


def enum_value(table: dict[str, Any], name: str) -> Any:
    """Returns the value for a name on the wire. Raises SettingsError if the name is unknown."""
    if name not in table:
        raise SettingsError(f"unknown value {name!r}")
    return table[name]


def settings_of(info: dict[str, Any]) -> api.Settings:
    """Returns the parsed settings. Unknown keys are ignored, and null counts as absent."""
    info = _without_null(info)
    domain = info.get("domain", {})
    guarantees = info.get("guarantees", {})
    allowed = info.get("policy_limits", {})
    goal = info.get("goal", {})
    data_flags = domain.get("changes_data", [])
    classes = tuple(_class(row, index, data_flags) for index, row in enumerate(info["classes"]))
    plans = tuple(_plan(row) for row in info.get("grades", []))
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
        max_attempts=allowed.get("max_attempts", 1),
        can_cancel_attempts=allowed.get("cancel", False),
        can_health_check=allowed.get("may_probe", False),
        can_message_peers=allowed.get("may_tell", False),
        can_hedge_requests=allowed.get("second_copies", False),
        max_retry_after_ms=allowed.get("max_retry_after_ms", 0.0) if allowed.get("retry_after") else 0.0,
        connect_timeout_ms=allowed.get("connect_timeout_ms", 0.0),
        slow_start_initial_capacity=guarantees.get("cold_from") or 1.0,
        slow_start_duration_ms=guarantees.get("warm_after_ms", 0.0),
        slow_start_overload_factor=guarantees.get("fall_multiple", 0.0),
        slow_start_overload_window_ms=guarantees.get("tip_after_ms", 0.0),
        slow_start_initial_units=domain.get("young_limit", 0.0),
        order_settle_ms=guarantees.get("order_settle_ms", 0.0),
        retry_budget_window_ms=guarantees.get("extra_window_ms", 0.0),
        retry_budget_base=guarantees.get("extra_free", 0.0),
        retry_budget_ratio=guarantees.get("further_ratio", 0.0),
    )


def _without_null(value: Any) -> Any:
    """Returns a copy of the value without keys whose value is null."""
    if isinstance(value, dict):
        return {key: _without_null(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_null(item) for item in value]
    return value


def _class(row: dict[str, Any], index: int, data_flags: list[Any]) -> api.RequestClass:
    """Returns a request class. Without a latency objective, the deadline is used as the objective.

    ``data_flags`` holds, by class index, whether the class modifies data; missing entries count as false.
    """
    return api.RequestClass(
        name=row["name"],
        priority_weight=row["worth"],
        latency_objective_ms=row.get("promise_ms") or row["deadline_ms"],
        deadline_ms=row["deadline_ms"],
        late_value_ratio=row.get("late_share", 0.0),
        repeat_safety=enum_value(REPEAT_SAFETY, row["effect"]),
        deduplication_scope=enum_value(DEDUPLICATION_SCOPES, row.get("dedup_scope", "all")),
        deduplication_window_ms=row.get("memory_span_ms", 0.0),
        streamed=row.get("streamed", False),
        in_order=row.get("in_order", False),
        modifies_data=index < len(data_flags) and bool(data_flags[index]),
    )


def _plan(row: dict[str, Any]) -> api.Plan:
    return api.Plan(
        name=row["name"],
        priority_factor=row.get("worth_factor", 1.0),
        fair_share_weight=row.get("proportion", 1.0),
        expected_units_per_s=row.get("usual_rate", 0.0),
        reserved_units_per_s=row.get("reservation", 0.0),
        limit_units_per_s=row.get("never_over", 0.0),
        limit_burst_units=row.get("limit_burst", 0.0),
    )
