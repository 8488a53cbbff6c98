"""The status that the admin API serves to ``winchdyke fleet``, as plain data. Its keys are part of the API."""

from __future__ import annotations

from typing import Any

from winchdyke.membership.swim import SwimProtocol
from winchdyke.membership.view import MembershipView, MemberView


def membership_status(
    protocol: SwimProtocol, view: MembershipView, stopped: bool, now: float
) -> dict[str, Any]:
    """Returns the protocol's status. Times are in ms before ``now``."""
    return {
        "own": view.local_name,
        "address": protocol.local.address,
        "zone": view.zone,
        "life": protocol.generation,
        "incarnation": protocol.incarnation,
        "version": view.version,
        "alive": view.active_count,
        "alone": view.is_isolated,
        "left": stopped,
        "health": protocol.local_health.score,
        "slept_ms": round(protocol.pause_detector.total_paused_ms),
        "event": _outage_status(view, now),
        "members": [_member_status(protocol, member, now) for member in view.members],
    }


def _outage_status(view: MembershipView, now: float) -> dict[str, Any] | None:
    outage = view.outage
    if outage is None:
        return None
    return {"text": outage.description, "since_ms": round(now - outage.started_at_ms)}


def _member_status(protocol: SwimProtocol, member: MemberView, now: float) -> dict[str, Any]:
    return {
        "name": member.name,
        "address": member.address,
        "zone": member.zone,
        "index": member.index,
        "life": member.generation,
        "incarnation": member.incarnation,
        "state": member.display_state,
        "since_ms": round(now - member.state_since_ms),
        "by": member.reported_by,
        "link": member.link,
        "link_since_ms": round(now - member.link_since_ms) if member.link != "untried" else None,
        "heard_ms": _last_received_ms_ago(protocol, member.name, now),
        "index_known": member.index_in_settings,
    }


def _last_received_ms_ago(protocol: SwimProtocol, name: str, now: float) -> float | None:
    """Returns the ms since the last message from a member; taken from the table, since the view may be older."""
    member = protocol.table.members.get(name)
    if member is None or not member.was_received:
        return None
    return round(now - member.last_received_ms)
