"""Model checking of the merging of member records, and of mutants of it that the checker must detect."""

from __future__ import annotations

import pytest

from winchdyke.membership.datagrams import MemberRecord, MemberState
from winchdyke.membership.member_table import Member, MemberTable
from winchdyke.model.checker import explore
from winchdyke.model.members import MergeModel


def test_two_members_are_explored_completely_without_a_violation():
    result = explore(MergeModel(2, 3))
    assert result.complete and not result.violation, result.trace
    assert result.states > 1000


def test_three_members_are_explored_to_a_depth_without_a_violation():
    result = explore(MergeModel(3, 2), max_states=4000)
    assert not result.violation, result.trace


class LastRecordWins(MemberTable):
    """Accepts the last received record, whatever its precedence."""

    def apply(self, record: MemberRecord, now: float, reporter: str) -> Member | None:
        self.members.pop(record.name, None)
        return super().apply(record, now, reporter)


class IgnoresGenerations(MemberTable):
    """Compares incarnations of different generations."""

    def apply(self, record: MemberRecord, now: float, reporter: str) -> Member | None:
        member = self.members.get(record.name)
        if member is not None and record.precedence[1:] > member.record.precedence[1:]:
            del self.members[record.name]
        return super().apply(record, now, reporter)


class DeathIsFinal(MemberTable):
    """Ignores refutations of a death."""

    def apply(self, record: MemberRecord, now: float, reporter: str) -> Member | None:
        member = self.members.get(record.name)
        if (
            member is not None
            and member.state is MemberState.DEAD
            and record.generation == member.record.generation
        ):
            return None
        return super().apply(record, now, reporter)


class FirstRecordWins(MemberTable):
    """Keeps the first received of records with equal generation and incarnation."""

    def apply(self, record: MemberRecord, now: float, reporter: str) -> Member | None:
        member = self.members.get(record.name)
        if member is not None and record.precedence[:2] == member.record.precedence[:2]:
            return None
        return super().apply(record, now, reporter)


class RaisesIncarnations(MemberTable):
    """Raises another member's incarnation."""

    def apply(self, record: MemberRecord, now: float, reporter: str) -> Member | None:
        if record.state == MemberState.DEAD:
            record = MemberRecord(
                record.name, "", "", 0, record.generation, record.incarnation + 1, int(MemberState.DEAD), ""
            )
        return super().apply(record, now, reporter)


@pytest.mark.parametrize(
    "mutant, violation",
    [
        (LastRecordWins, "convergence"),
        (IgnoresGenerations, "no regression"),
        (DeathIsFinal, "convergence"),
        (FirstRecordWins, "convergence"),
        (RaisesIncarnations, "no forgery"),
    ],
)
def test_each_mutant_of_the_merge_is_detected(mutant, violation):
    result = explore(MergeModel(3, 3, mutant), max_states=60_000)
    assert result.violation.startswith(violation), result
