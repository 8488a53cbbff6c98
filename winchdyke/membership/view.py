"""The snapshot that readers get, and the large events that it names. Immutable, with a version and its time. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from winchdyke.membership.datagrams import State
from winchdyke.membership.member_table import Link, Member

TOGETHER_MS = 20_000.0  # what turns within so long of the one before belongs to one event
LARGE, LEAST = 0.3, 3  # part of all members, and how many, that make an event


@dataclass(frozen=True, slots=True)
class Seen:
    """One member as it is believed to be. Times are ms on the gateway's monotonic clock; -1 where there was none."""

    name: str
    address: str
    zone: str
    index: int
    life: int
    incarnation: int
    state: str
    since: float
    by: str  # who says so; the member itself where it is alive
    link: str
    link_since: float
    heard: float
    known: bool  # whether the settings know its index

    @property
    def word(self) -> str:
        """One word for people: the state, and ``cut`` where it is alive and not both ways within hearing."""
        cut = self.state == "alive" and self.link in ("deaf", "mute", "cut")
        return "cut" if cut else self.state


@dataclass(frozen=True, slots=True)
class Event:
    """Many members out of reach at about one time: one event, not one for each."""

    since: float
    members: tuple[str, ...]
    of: int  # members in all then, the own among them
    zone: str  # where all of them stand in one zone that has no other, else ""

    @property
    def text(self) -> str:
        """For people."""
        where = f"zone {self.zone}" if self.zone else f"{len(self.members)} of {self.of} members"
        return f"{where} unreachable"


@dataclass(frozen=True, slots=True)
class View:
    """What one gateway believes, at one time."""

    own: str
    version: int
    at: float
    zone: str
    members: tuple[Seen, ...]  # by name, the own not among them
    event: Event | None
    health: int
    alone: bool  # nobody was ever heard

    @property
    def alive(self) -> int:
        """Members that count, the own among them."""
        return 1 + sum(seen.state in ("alive", "suspect") for seen in self.members)

    def agrees(self) -> tuple[tuple[str, int], ...]:
        """What two views have in common once they agree: the names that count, with their lives, the own without."""
        return tuple((seen.name, seen.life) for seen in self.members if seen.state in ("alive", "suspect"))


def seen(member: Member, gateways: int) -> Seen:
    """A member for readers."""
    entry = member.entry
    return Seen(
        entry.name, entry.address, entry.zone, entry.index, entry.life, entry.incarnation,
        State(entry.state).name.lower(), member.since, entry.by or entry.name, member.link.value,
        member.link_since, member.heard if member.heard > -1e17 else -1.0, entry.index < gateways or not gateways,
    )  # fmt: skip


def event(members: Iterable[Member], zone: str) -> Event | None:
    """The event under way, if there is one: enough members suspect or dead whose trouble began close together."""
    everyone = [member for member in members if member.state is not State.LEFT]
    lost = sorted((member for member in everyone if _lost(member)), key=_trouble)
    most: list[Member] = []
    run: list[Member] = []
    for member in lost:
        if run and _trouble(member) - _trouble(run[-1]) > TOGETHER_MS:
            run = []
        run.append(member)
        most = run if len(run) > len(most) else most
    of = 1 + len(everyone)
    if len(most) < max(LEAST, LARGE * of):
        return None
    zones = {member.entry.zone for member in most}
    whole = zones.pop() if len(zones) == 1 else ""
    if whole and (whole == zone or any(m.entry.zone == whole and not _lost(m) for m in everyone)):
        whole = ""
    return Event(_trouble(most[0]), tuple(sorted(member.name for member in most)), of, whole)


def _trouble(member: Member) -> float:
    return member.link_since if member.state is State.ALIVE else member.lost


def _lost(member: Member) -> bool:
    return member.state in (State.SUSPECT, State.DEAD) or member.link is Link.CUT
