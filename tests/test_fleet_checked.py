"""The merging of words on members, over all states of a small world; and mutants of it, each told."""

from __future__ import annotations

import pytest

from winchdyke.membership.datagrams import Entry, State
from winchdyke.membership.member_table import Member, MemberTable
from winchdyke.model.checker import explore
from winchdyke.model.members import Words


def test_two_members_are_explored_whole_and_nothing_is_broken():
    found = explore(Words(2, 3))
    assert found.complete and not found.violation, found.trace
    assert found.states > 1000


def test_three_members_to_a_depth():
    found = explore(Words(3, 2), max_states=4000)
    assert not found.violation, found.trace


class LastWord(MemberTable):
    """Believes whatever it heard last."""

    def learn(self, entry: Entry, now: float, teller: str) -> Member | None:
        self.members.pop(entry.name, None)
        return super().learn(entry, now, teller)


class LifeBlind(MemberTable):
    """Compares incarnations of different lives."""

    def learn(self, entry: Entry, now: float, teller: str) -> Member | None:
        member = self.members.get(entry.name)
        if member is not None and entry.order[1:] > member.entry.order[1:]:
            del self.members[entry.name]
        return super().learn(entry, now, teller)


class DeadIsDead(MemberTable):
    """Lets no refutation clear a death."""

    def learn(self, entry: Entry, now: float, teller: str) -> Member | None:
        member = self.members.get(entry.name)
        if member is not None and member.state is State.DEAD and entry.life == member.entry.life:
            return None
        return super().learn(entry, now, teller)


class FirstWord(MemberTable):
    """Of equal life and incarnation keeps what came first."""

    def learn(self, entry: Entry, now: float, teller: str) -> Member | None:
        member = self.members.get(entry.name)
        if member is not None and entry.order[:2] == member.entry.order[:2]:
            return None
        return super().learn(entry, now, teller)


class Inventive(MemberTable):
    """Raises another's incarnation itself."""

    def learn(self, entry: Entry, now: float, teller: str) -> Member | None:
        if entry.state == State.DEAD:
            entry = Entry(entry.name, "", "", 0, entry.life, entry.incarnation + 1, int(State.DEAD), "")
        return super().learn(entry, now, teller)


@pytest.mark.parametrize(
    "mutant, told",
    [
        (LastWord, "heard is one"),
        (LifeBlind, "no way back"),
        (DeadIsDead, "heard is one"),
        (FirstWord, "heard is one"),
        (Inventive, "own voice"),
    ],
)
def test_each_mutant_of_the_order_is_told(mutant, told):
    found = explore(Words(3, 3, mutant), max_states=60_000)
    assert found.violation.startswith(told), found
