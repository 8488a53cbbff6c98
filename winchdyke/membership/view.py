"""The snapshot that readers get, and the large events that it names. Immutable, with a version and its time. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from winchdyke.membership.datagrams import MemberState
from winchdyke.membership.member_table import LinkState, Member

OUTAGE_GAP_MS = 20_000.0  # what turns within so long of the one before belongs to one event
MIN_OUTAGE_FRACTION, MIN_OUTAGE_MEMBERS = 0.3, 3  # part of all members, and how many, that make an event


@dataclass(frozen=True, slots=True)
class MemberView:
    """One member as it is believed to be. Times are ms on the gateway's monotonic clock; -1 where there was none."""

    name: str
    address: str
    zone: str
    index: int
    generation: int
    incarnation: int
    state: str
    state_since_ms: float
    reported_by: str  # who says so; the member itself where it is alive
    link: str
    link_since_ms: float
    last_received_ms: float
    index_in_settings: bool  # whether the settings know its index

    @property
    def display_state(self) -> str:
        """One word for people: the state, and ``cut`` where it is alive and not both ways within hearing."""
        cut = self.state == "alive" and self.link in ("deaf", "mute", "cut")
        return "cut" if cut else self.state


@dataclass(frozen=True, slots=True)
class Outage:
    """Many members out of reach at about one time: one event, not one for each."""

    started_at_ms: float
    members: tuple[str, ...]
    total_members: int  # members in all then, the own among them
    zone: str  # where all of them stand in one zone that has no other, else ""

    @property
    def description(self) -> str:
        """For people."""
        where = f"zone {self.zone}" if self.zone else f"{len(self.members)} of {self.total_members} members"
        return f"{where} unreachable"


@dataclass(frozen=True, slots=True)
class MembershipView:
    """What one gateway believes, at one time."""

    local_name: str
    version: int
    created_at_ms: float
    zone: str
    members: tuple[MemberView, ...]  # by name, the own not among them
    outage: Outage | None
    local_health_score: int
    is_isolated: bool  # nobody was ever heard

    @property
    def active_count(self) -> int:
        """Members that count, the own among them."""
        return 1 + sum(member_view.state in ("alive", "suspect") for member_view in self.members)

    def active_generations(self) -> tuple[tuple[str, int], ...]:
        """What two views have in common once they agree: the names that count, with their lives, the own without."""
        return tuple(
            (member_view.name, member_view.generation)
            for member_view in self.members
            if member_view.state in ("alive", "suspect")
        )


def member_view(member: Member, gateways: int) -> MemberView:
    """A member for readers."""
    entry = member.record
    return MemberView(
        entry.name, entry.address, entry.zone, entry.index, entry.generation, entry.incarnation,
        MemberState(entry.state).name.lower(), member.state_since_ms, entry.reported_by or entry.name, member.link_state.value,
        member.link_since_ms, member.last_received_ms if member.last_received_ms > -1e17 else -1.0, entry.index < gateways or not gateways,
    )  # fmt: skip


def detect_outage(members: Iterable[Member], zone: str) -> Outage | None:
    """The event under way, if there is one: enough members suspect or dead whose trouble began close together."""
    everyone = [member for member in members if member.state is not MemberState.LEFT]
    lost = sorted((member for member in everyone if _lost(member)), key=_trouble)
    most: list[Member] = []
    run: list[Member] = []
    for member in lost:
        if run and _trouble(member) - _trouble(run[-1]) > OUTAGE_GAP_MS:
            run = []
        run.append(member)
        most = run if len(run) > len(most) else most
    of = 1 + len(everyone)
    if len(most) < max(MIN_OUTAGE_MEMBERS, MIN_OUTAGE_FRACTION * of):
        return None
    zones = {member.record.zone for member in most}
    whole = zones.pop() if len(zones) == 1 else ""
    if whole and (whole == zone or any(m.record.zone == whole and not _lost(m) for m in everyone)):
        whole = ""
    return Outage(_trouble(most[0]), tuple(sorted(member.name for member in most)), of, whole)


def _trouble(member: Member) -> float:
    return member.link_since_ms if member.state is MemberState.ALIVE else member.unreachable_since_ms


def _lost(member: Member) -> bool:
    return (
        member.state in (MemberState.SUSPECT, MemberState.DEAD) or member.link_state is LinkState.UNREACHABLE
    )
