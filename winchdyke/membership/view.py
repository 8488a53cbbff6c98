"""Immutable snapshots of membership for readers, and the detection of outages of many members. Without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from winchdyke.membership.datagrams import MemberState
from winchdyke.membership.member import LinkState, Member

OUTAGE_GAP_MS = 20_000.0  # the longest time between consecutive failures of one outage
MIN_OUTAGE_FRACTION = 0.3  # minimum fraction of all members that an outage affects
MIN_OUTAGE_MEMBERS = 3


@dataclass(frozen=True, slots=True)
class MemberView:
    """One member as this gateway sees it. Times are ms on the gateway's monotonic clock; -1: never."""

    name: str
    address: str
    zone: str
    index: int
    generation: int
    incarnation: int
    state: str
    state_since_ms: float
    reported_by: str  # the member that set the state; the member itself if it is alive
    link: str
    link_since_ms: float
    last_received_ms: float
    index_in_settings: bool

    @property
    def is_active(self) -> bool:
        """Whether it is alive or suspect."""
        return self.state in ("alive", "suspect")

    @property
    def display_state(self) -> str:
        """The state as shown to operators: ``cut`` if it is alive but the link is not bidirectional."""
        link_is_broken = self.link in ("deaf", "mute", "cut")
        return "cut" if self.state == "alive" and link_is_broken else self.state


@dataclass(frozen=True, slots=True)
class Outage:
    """Many members that became unreachable at about the same time."""

    started_at_ms: float
    members: tuple[str, ...]
    total_members: int  # number of members at that time, the local one included
    zone: str  # the zone that is unreachable as a whole, else ""

    @property
    def description(self) -> str:
        """A short description for operators."""
        if self.zone:
            return f"zone {self.zone} unreachable"
        return f"{len(self.members)} of {self.total_members} members unreachable"


@dataclass(frozen=True, slots=True)
class MembershipView:
    """The membership as one gateway sees it at one time."""

    local_name: str
    version: int
    created_at_ms: float
    zone: str
    members: tuple[MemberView, ...]  # sorted by name, without the local one
    outage: Outage | None
    local_health_score: int
    is_isolated: bool  # whether there was no contact with another member yet

    @property
    def active_count(self) -> int:
        """The number of members that are alive or suspect, the local one included."""
        return 1 + sum(member.is_active for member in self.members)

    def active_generations(self) -> tuple[tuple[str, int], ...]:
        """Returns the names and generations of active members without the local one: equal once two views converge."""
        return tuple((member.name, member.generation) for member in self.members if member.is_active)


def member_view(member: Member, gateway_count: int) -> MemberView:
    """Returns the view of one member; ``gateway_count`` is from the settings, 0: unknown."""
    record = member.record
    return MemberView(
        name=record.name,
        address=record.address,
        zone=record.zone,
        index=record.index,
        generation=record.generation,
        incarnation=record.incarnation,
        state=member.state.name.lower(),
        state_since_ms=member.state_since_ms,
        reported_by=record.reported_by or record.name,
        link=member.link_state.value,
        link_since_ms=member.link_since_ms,
        last_received_ms=member.last_received_ms if member.was_received else -1.0,
        index_in_settings=record.index < gateway_count or not gateway_count,
    )


def detect_outage(members: Iterable[Member], local_zone: str) -> Outage | None:
    """Returns the current outage: enough members that became unreachable shortly after one another."""
    present = [member for member in members if member.state is not MemberState.LEFT]
    affected = _largest_cluster(present)
    total_members = 1 + len(present)
    if len(affected) < max(MIN_OUTAGE_MEMBERS, MIN_OUTAGE_FRACTION * total_members):
        return None
    names = tuple(sorted(member.name for member in affected))
    zone = _unreachable_zone(affected, present, local_zone)
    return Outage(_unreachable_since_ms(affected[0]), names, total_members, zone)


def _largest_cluster(members: list[Member]) -> list[Member]:
    """Returns the largest run of unreachable members without a gap over ``OUTAGE_GAP_MS``; of equal ones the earliest."""
    unreachable = sorted((member for member in members if _is_unreachable(member)), key=_unreachable_since_ms)
    largest: list[Member] = []
    cluster: list[Member] = []
    for member in unreachable:
        if cluster and _unreachable_since_ms(member) - _unreachable_since_ms(cluster[-1]) > OUTAGE_GAP_MS:
            cluster = []
        cluster.append(member)
        if len(cluster) > len(largest):
            largest = cluster
    return largest


def _unreachable_zone(affected: list[Member], present: list[Member], local_zone: str) -> str:
    """Returns the zone that is unreachable as a whole, or ""."""
    zones = {member.record.zone for member in affected}
    if len(zones) != 1:
        return ""
    zone = zones.pop()
    if zone == local_zone:
        return ""
    if any(member.record.zone == zone and not _is_unreachable(member) for member in present):
        return ""
    return zone


def _unreachable_since_ms(member: Member) -> float:
    """Returns since when an unreachable member is so: since its link failed if it is alive, otherwise since it was last alive."""
    return member.link_since_ms if member.state is MemberState.ALIVE else member.unreachable_since_ms


def _is_unreachable(member: Member) -> bool:
    """Returns whether a member is suspect or dead, or neither direction of its link works."""
    return (
        member.state in (MemberState.SUSPECT, MemberState.DEAD) or member.link_state is LinkState.UNREACHABLE
    )
