"""What is believed of each member, and what wins where words differ. Pure.

Words are ordered by (life, incarnation, state): a later life wins, then a higher incarnation, then the worse word, so that all
who have heard the same believe the same in whatever order it came. Two things stand above hearsay: a member speaks for itself
(only it raises its incarnation), and sight: who heard a member directly a moment ago holds others' word of its death for a
suspicion, and tells the member, which refutes it for all.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from winchdyke.membership.bounds import Bounds
from winchdyke.membership.datagrams import Entry, State, Window

FLOOD = 500.0  # messages at once, and a second, that one member may send: some fifty times what it needs


class Link(Enum):
    """How a member and this one hear each other, by the last direct probe."""

    UNTRIED = "untried"
    BOTH = "both"
    DEAF = "deaf"  # heard here, and does not hear this one
    MUTE = "mute"  # hears this one, and is not heard here
    CUT = "cut"  # neither, though others reach it


@dataclass
class Suspicion:
    """A suspicion under way."""

    since: float
    incarnation: int
    by: set[str] = field(default_factory=set)

    @property
    def confirmed(self) -> int:
        """How many others share it with the first."""
        return max(0, len(self.by) - 1)


@dataclass
class Member:
    """One other member."""

    entry: Entry
    since: float  # of its state
    lost: float = 0.0  # since when it has not been alive
    heard: float = -1e18  # last datagram straight from it, of its present life
    answered: float = -1e18  # last answer to a direct probe
    link: Link = Link.UNTRIED
    link_since: float = 0.0
    suspicion: Suspicion | None = None
    window: Window | None = None
    quota: float = FLOOD  # messages that it may still send now
    quota_at: float = -1e18

    @property
    def name(self) -> str:
        """Its name."""
        return self.entry.name

    @property
    def state(self) -> State:
        """Its state."""
        return State(self.entry.state)

    @property
    def there(self) -> bool:
        """Whether it counts: alive or suspect."""
        return self.entry.state <= State.SUSPECT


class MemberTable:
    """All members but the own."""

    def __init__(self, own: str, bounds: Bounds) -> None:
        self.own, self.bounds = own, bounds
        self.members: dict[str, Member] = {}
        self.version = 0
        self.full = 0  # entries passed over since the book was full

    @property
    def size(self) -> int:
        """Members that count, the own among them."""
        return 1 + sum(member.there for member in self.members.values())

    def there(self) -> list[Member]:
        """Those that count."""
        return [member for member in self.members.values() if member.there]

    def learn(self, entry: Entry, now: float, teller: str) -> Member | None:
        """Take in a word on another member; the member where what is believed of it has changed, else None.

        ``teller`` is who said it: this one itself, or who sent the message.
        """
        member = self.members.get(entry.name)
        if member is None:
            if len(self.members) >= self.bounds.members_most:
                self.full += 1
                return None
            member = self.members[entry.name] = Member(entry, now, now)
            if entry.state == State.SUSPECT:
                member.suspicion = Suspicion(now, entry.incarnation, {entry.by or teller})
            return self._changed(member)
        if entry.order <= member.entry.order:
            self._confirm(member, entry, teller)
            return None
        if entry.life > member.entry.life:
            self._reborn(member)
        elif entry.state == State.DEAD and teller != self.own and self._seen(member, now):
            # Guards against a death that others believe because they are cut off from it, or lie. It hurts by the time of one
            # suspicion where the member died just after it was heard.
            if member.state is State.SUSPECT:
                self._confirm(member, entry, teller)
                return None
            entry = said(entry, State.SUSPECT, entry.by)
            if entry.order <= member.entry.order:
                return None
        before = member.entry
        member.entry = entry
        if entry.state == State.SUSPECT:
            if member.suspicion is None or member.suspicion.incarnation < entry.incarnation:
                member.suspicion = Suspicion(now, entry.incarnation, {entry.by or teller})
        else:
            member.suspicion = None
        if before.state != entry.state or before.life != entry.life:
            member.since = now
        if before.state == State.ALIVE:
            member.lost = now
        return self._changed(member)

    def hears(self, name: str, life: int, counter: int, now: float) -> str:
        """A message straight from a member; why it does not count, or "" where it does."""
        member = self.members.get(name)
        if member is None:
            return ""
        if life < member.entry.life:
            return "earlier-life"
        if member.window is None or member.window.life < life:
            member.window = Window(life)
        if life < member.window.life:
            return "earlier-life"
        if not member.window.takes(counter):
            return "replay"
        # Guards against one member, faulty or hostile, that keeps this process busy. It hurts nobody who behaves.
        member.quota = min(FLOOD, member.quota + FLOOD * max(0.0, now - member.quota_at) / 1000)
        member.quota_at = now
        if member.quota < 1:
            return "flood"
        member.quota -= 1
        if life == member.entry.life:
            member.heard = now
        return ""

    def links(self, member: Member, link: Link, now: float) -> bool:
        """How the last probe found the way to a member; whether that is news."""
        if member.link is link:
            return False
        member.link, member.link_since = link, now
        self.version += 1
        return True

    def overdue(self, now: float) -> list[Member]:
        """Suspects whose time to refute is over."""
        size, found = self.size, list[Member]()
        for member in self.members.values():
            suspicion = member.suspicion
            if suspicion is None or member.state is not State.SUSPECT:
                continue
            if now - suspicion.since >= self.bounds.wait(size, suspicion.confirmed):
                found.append(member)
        return found

    def shift(self, by: float) -> None:
        """This process slept: nobody is judged by what it missed meanwhile."""
        for member in self.members.values():
            member.heard += by
            if member.suspicion is not None:
                member.suspicion.since += by

    def forget(self, now: float) -> list[str]:
        """Drop those who have been dead or gone for long."""
        old = [
            name
            for name, member in self.members.items()
            if not member.there and now - member.since >= self.bounds.forget
        ]
        for name in old:
            del self.members[name]
            self.version += 1
        return old

    def _seen(self, member: Member, now: float) -> bool:
        return now - member.heard <= self.bounds.sight * self.bounds.interval

    def _confirm(self, member: Member, entry: Entry, teller: str) -> None:
        suspicion = member.suspicion
        same = entry.life == member.entry.life and entry.incarnation == member.entry.incarnation
        accused = same and entry.state in (State.SUSPECT, State.DEAD)
        if suspicion is not None and accused and len(suspicion.by) <= self.bounds.confirmations:
            suspicion.by.add(entry.by or teller)

    def _reborn(self, member: Member) -> None:
        member.heard = member.answered = -1e18
        member.link, member.suspicion = Link.UNTRIED, None

    def _changed(self, member: Member) -> Member:
        self.version += 1
        return member


def said(entry: Entry, state: State, by: str) -> Entry:
    """The same member in another state, by somebody's word."""
    return msgspec.structs.replace(entry, state=int(state), by=by)
