"""A model of the merging of membership statements for the model checker: a few members, and messages in any order.

Statements are lost, duplicated, delayed and reordered: each may reach any member at any time, or never. Members suspect each
other, declare each other dead, learn of suspicions of themselves and refute them, end, and restart with a new generation. The
code under test is :class:`~winchdyke.membership.member_table.MemberTable`, unchanged. Invariants, after each step:

    no forgery     no table has a generation or incarnation of a member that the member itself has not used
    no regression  a table's (generation, incarnation) of a member never decreases
    convergence    two tables that received the same statements about a member hold the same record of it
    refutation     a running member has a higher (generation, incarnation) than each suspicion or death of
                   itself that it received
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterable

from winchdyke.membership.datagrams import MemberRecord, MemberState
from winchdyke.membership.member_table import MemberTable, with_state
from winchdyke.membership.swim_config import SwimConfig
from winchdyke.model.checker import InvariantViolation

CONFIG = SwimConfig(
    direct_evidence_intervals=-1.0
)  # direct evidence depends on time; merging must be correct without it
Statement = tuple[int, int, int, int]  # member, generation, incarnation, state


class MergeModel:
    """One state of the model."""

    def __init__(
        self, members: int = 3, faults: int = 3, table_type: type[MemberTable] = MemberTable
    ) -> None:
        self.faults = faults
        self.own_state: list[tuple[int, int, bool]] = [
            (1, 0, True)
        ] * members  # generation, incarnation, whether it runs
        self.tables = [table_type(str(n), CONFIG) for n in range(members)]
        self.statements: frozenset[Statement] = frozenset(
            (n, 1, 0, int(MemberState.ALIVE)) for n in range(members)
        )
        self.received: list[frozenset[Statement]] = [frozenset() for _ in range(members)]
        for n in range(members):
            for statement in self.statements:
                if statement[0] != n:
                    self._receive(n, statement)

    @staticmethod
    def _record(statement: Statement) -> MemberRecord:
        member, generation, incarnation, state = statement
        return MemberRecord(str(member), "", "", member, generation, incarnation, state, "")

    def _receive(self, viewer: int, statement: Statement) -> None:
        table, name = self.tables[viewer], str(statement[0])
        before = table.members[name].record.precedence if name in table.members else (-1, -1, -1)
        table.apply(self._record(statement), 0.0, "x")
        self.received[viewer] |= {statement}
        if name in table.members and table.members[name].record.precedence[:2] < before[:2]:
            raise InvariantViolation(f"no regression: {viewer} returned to an earlier record of {name}")

    def steps(self) -> Iterable[str]:
        """The names of all steps that are possible now."""
        for viewer, (_, _, running) in enumerate(self.own_state):
            if not running:
                if self.faults:
                    yield f"start {viewer}"
                continue
            for statement in sorted(self.statements - self.received[viewer]):
                yield f"receive {viewer} {'-'.join(map(str, statement))}"
            if self.faults:
                yield f"end {viewer}"
                for member in self.tables[viewer].members.values():
                    if member.state is MemberState.ALIVE:
                        yield f"suspect {viewer} {member.name}"
                    elif member.state is MemberState.SUSPECT:
                        yield f"declare-dead {viewer} {member.name}"

    def after(self, step: str) -> MergeModel:
        """The state one step on. Raises InvariantViolation."""
        successor = copy.copy(self)
        successor.own_state, successor.received = list(self.own_state), list(self.received)
        successor.tables = copy.deepcopy(self.tables)
        kind, reporter, *rest = step.split()
        viewer = int(reporter)
        generation, incarnation, _ = successor.own_state[viewer]
        if kind == "receive":
            parts = [int(part) for part in rest[0].split("-")]
            statement: Statement = (parts[0], parts[1], parts[2], parts[3])
            if statement[0] == viewer:
                successor.received[viewer] |= {statement}
                successor._refute(viewer, statement)
            else:
                successor._receive(viewer, statement)
        elif kind == "end":
            successor.faults -= 1
            successor.own_state[viewer] = generation, incarnation, False
        elif kind == "start":
            successor.faults -= 1
            successor.own_state[viewer] = generation + 1, 0, True
            successor.tables[viewer] = type(self.tables[viewer])(str(viewer), CONFIG)
            successor.received[viewer] = frozenset()
            successor.statements |= {(viewer, generation + 1, 0, int(MemberState.ALIVE))}
        else:
            successor.faults -= 1
            state = MemberState.SUSPECT if kind == "suspect" else MemberState.DEAD
            record = with_state(successor.tables[viewer].members[rest[0]].record, state, reporter)
            statement = (int(rest[0]), record.generation, record.incarnation, int(state))
            successor.statements |= {statement}
            successor._receive(viewer, statement)
        successor._check()
        return successor

    def _refute(self, viewer: int, statement: Statement) -> None:
        """Raise the incarnation above a suspicion of this generation, as the protocol does."""
        generation, incarnation, running = self.own_state[viewer]
        _, stated_generation, stated_incarnation, state = statement
        if (
            stated_generation == generation
            and state != MemberState.ALIVE
            and stated_incarnation >= incarnation
        ):
            self.own_state[viewer] = generation, stated_incarnation + 1, running
            self.statements |= {(viewer, generation, stated_incarnation + 1, int(MemberState.ALIVE))}

    def _check(self) -> None:
        for viewer, table in enumerate(self.tables):
            for name, member in table.members.items():
                generation, incarnation, _ = self.own_state[int(name)]
                if member.record.precedence[:2] > (generation, incarnation):
                    raise InvariantViolation(
                        f"no forgery: {viewer} holds a record of {name} with a generation or incarnation it never used"
                    )
        for number in range(len(self.tables)):
            name = str(number)
            precedence_by_received: dict[frozenset[Statement], tuple[int, int, int]] = {}
            for viewer, table in enumerate(self.tables):
                if name not in table.members:
                    continue
                received = frozenset(
                    statement for statement in self.received[viewer] if statement[0] == number
                )
                precedence = table.members[name].record.precedence
                if precedence_by_received.setdefault(received, precedence) != precedence:
                    raise InvariantViolation(
                        f"convergence: tables that received the same statements differ on {name}"
                    )
            generation, incarnation, running = self.own_state[number]
            own_statements = {statement for statement in self.statements if statement[0] == number}
            accusations = [
                statement[1:3]
                for statement in own_statements & self.received[number]
                if statement[3] != MemberState.ALIVE
            ]
            if running and any(statement >= (generation, incarnation) for statement in accusations):
                raise InvariantViolation(
                    f"refutation: {name} received a suspicion or death of itself and has no higher incarnation"
                )

    def key(self) -> Hashable:
        """A key that is equal for states with the same possible futures."""
        tables = tuple(
            tuple(sorted((n, m.record.precedence) for n, m in table.members.items())) for table in self.tables
        )
        return self.faults, tuple(self.own_state), tables, self.statements, tuple(self.received)
