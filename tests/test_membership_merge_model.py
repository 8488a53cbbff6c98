"""The merging of words on members, over all states of a small world; and mutants of it, each told."""

from __future__ import annotations

import pytest

from winchdyke.membership.datagrams import MemberRecord, MemberState
from winchdyke.membership.member_table import Member, MemberTable
from winchdyke.model.checker import explore
from winchdyke.model.members import Words


def test_two_members_are_explored_whole_and_nothing_is_broken():
    found = explore(Words(2, 3))
    assert found.whole and not found.broken, found.trace
    assert found.states > 1000


def test_three_members_to_a_depth():
    found = explore(Words(3, 2), most=4000)
    assert not found.broken, found.trace


class LastWord(MemberTable):
    """Believes whatever it heard last."""

    def apply(self, entry: MemberRecord, now: float, teller: str) -> Member | None:
        self.members.pop(entry.name, None)
        return super().apply(entry, now, teller)


class LifeBlind(MemberTable):
    """Compares incarnations of different lives."""

    def apply(self, entry: MemberRecord, now: float, teller: str) -> Member | None:
        member = self.members.get(entry.name)
        if member is not None and entry.precedence[1:] > member.record.precedence[1:]:
            del self.members[entry.name]
        return super().apply(entry, now, teller)


class DeadIsDead(MemberTable):
    """Lets no refutation clear a death."""

    def apply(self, entry: MemberRecord, now: float, teller: str) -> Member | None:
        member = self.members.get(entry.name)
        if (
            member is not None
            and member.state is MemberState.DEAD
            and entry.generation == member.record.generation
        ):
            return None
        return super().apply(entry, now, teller)


class FirstWord(MemberTable):
    """Of equal life and incarnation keeps what came first."""

    def apply(self, entry: MemberRecord, now: float, teller: str) -> Member | None:
        member = self.members.get(entry.name)
        if member is not None and entry.precedence[:2] == member.record.precedence[:2]:
            return None
        return super().apply(entry, now, teller)


class Inventive(MemberTable):
    """Raises another's incarnation itself."""

    def apply(self, entry: MemberRecord, now: float, teller: str) -> Member | None:
        if entry.state == MemberState.DEAD:
            entry = MemberRecord(
                entry.name, "", "", 0, entry.generation, entry.incarnation + 1, int(MemberState.DEAD), ""
            )
        return super().apply(entry, now, teller)


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
    found = explore(Words(3, 3, mutant), most=60_000)
    assert found.broken.startswith(told), found
