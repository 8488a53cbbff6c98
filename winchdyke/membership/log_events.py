"""The log event names of protocol events."""

from __future__ import annotations

# Keys: the event codes that `winchdyke fleet history` shows.
LOG_EVENTS = {
    "found": "membership_member_found",
    "joined": "membership_joined",
    "alive": "membership_member_alive",
    "suspect": "membership_member_suspect",
    "dead": "membership_member_dead",
    "left": "membership_member_left",
    "started-anew": "membership_member_restarted",
    "moved": "membership_member_moved",
    "link-both": "membership_link_bidirectional",
    "link-deaf": "membership_link_outbound_down",
    "link-mute": "membership_link_inbound_down",
    "link-cut": "membership_link_unreachable",
    "refuted": "membership_suspicion_refuted",
    "slept": "membership_pause_detected",
    "renewed": "membership_generation_renewed",
    "superseded": "membership_superseded",
    "index-unknown": "membership_index_unknown",
}
LOCAL_MEMBER_LEFT = "membership_left"  # the code "left" without a member


def log_event(code: str, member: str) -> str:
    """Returns the log event name of a protocol event."""
    if code == "left" and not member:
        return LOCAL_MEMBER_LEFT
    return LOG_EVENTS[code]
