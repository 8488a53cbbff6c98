"""The world in which the merging of words on members is checked: a few members, words that are lost, copied, late, reordered.

Every word that was ever said may arrive anywhere, at any time, as often as it likes, or never: it stays in the world. Members
accuse each other, let accusations run out, hear of their own, refute, end and start anew (later lives). The code under test is
:class:`~winchdyke.membership.member_table.MemberTable` as it runs. Invariants, at each step:

    own voice     nobody believes of a member a life or incarnation that it has not taken itself
    no way back   what a view believes of a member never goes back to an earlier (life, incarnation)
    heard is one  two views that have taken in the same words on a member believe the same of it
    refuted       a member that runs and has heard all words on itself stands above all of them
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterable

from winchdyke.membership.datagrams import MemberRecord, MemberState
from winchdyke.membership.member_table import MemberTable, with_state
from winchdyke.membership.swim_config import SwimConfig
from winchdyke.model.checker import InvariantViolation

BOUNDS = SwimConfig(direct_evidence_intervals=-1.0)  # sight depends on time; merging must hold without it
Word = tuple[int, int, int, int]  # member, life, incarnation, state


class MergeModel:
    """One state of the world."""

    def __init__(self, members: int = 3, faults: int = 3, book: type[MemberTable] = MemberTable) -> None:
        self.faults = faults
        self.own: list[tuple[int, int, bool]] = [(1, 0, True)] * members  # life, incarnation, whether it runs
        self.books = [book(str(n), BOUNDS) for n in range(members)]
        self.words: frozenset[Word] = frozenset((n, 1, 0, int(MemberState.ALIVE)) for n in range(members))
        self.heard: list[frozenset[Word]] = [frozenset() for _ in range(members)]
        for n in range(members):
            for word in self.words:
                if word[0] != n:
                    self._hear(n, word)

    @staticmethod
    def _entry(word: Word) -> MemberRecord:
        member, life, incarnation, state = word
        return MemberRecord(str(member), "", "", member, life, incarnation, state, "")

    def _hear(self, viewer: int, word: Word) -> None:
        book, name = self.books[viewer], str(word[0])
        before = book.members[name].record.precedence if name in book.members else (-1, -1, -1)
        book.apply(self._entry(word), 0.0, "x")
        self.heard[viewer] |= {word}
        if name in book.members and book.members[name].record.precedence[:2] < before[:2]:
            raise InvariantViolation(f"no way back: {viewer} goes back on {name}")

    def steps(self) -> Iterable[str]:
        """All that may happen next."""
        for viewer, (_, _, runs) in enumerate(self.own):
            if not runs:
                if self.faults:
                    yield f"start {viewer}"
                continue
            for word in sorted(self.words - self.heard[viewer]):
                yield f"hear {viewer} {'-'.join(map(str, word))}"
            if self.faults:
                yield f"end {viewer}"
                for member in self.books[viewer].members.values():
                    if member.state is MemberState.ALIVE:
                        yield f"accuse {viewer} {member.name}"
                    elif member.state is MemberState.SUSPECT:
                        yield f"bury {viewer} {member.name}"

    def after(self, step: str) -> MergeModel:
        """One step on."""
        world = copy.copy(self)
        world.own, world.heard = list(self.own), list(self.heard)
        world.books = copy.deepcopy(self.books)
        what, who, *rest = step.split()
        viewer = int(who)
        life, incarnation, _ = world.own[viewer]
        if what == "hear":
            parts = [int(part) for part in rest[0].split("-")]
            word: Word = (parts[0], parts[1], parts[2], parts[3])
            if word[0] == viewer:
                world.heard[viewer] |= {word}
                world._refute(viewer, word)
            else:
                world._hear(viewer, word)
        elif what == "end":
            world.faults -= 1
            world.own[viewer] = life, incarnation, False
        elif what == "start":
            world.faults -= 1
            world.own[viewer] = life + 1, 0, True
            world.books[viewer] = type(self.books[viewer])(str(viewer), BOUNDS)
            world.heard[viewer] = frozenset()
            world.words |= {(viewer, life + 1, 0, int(MemberState.ALIVE))}
        else:
            world.faults -= 1
            state = MemberState.SUSPECT if what == "accuse" else MemberState.DEAD
            entry = with_state(world.books[viewer].members[rest[0]].record, state, who)
            word = (int(rest[0]), entry.generation, entry.incarnation, int(state))
            world.words |= {word}
            world._hear(viewer, word)
        world._check()
        return world

    def _refute(self, viewer: int, word: Word) -> None:
        """As the machine does it."""
        life, incarnation, runs = self.own[viewer]
        _, said_life, said_incarnation, state = word
        if said_life == life and state != MemberState.ALIVE and said_incarnation >= incarnation:
            self.own[viewer] = life, said_incarnation + 1, runs
            self.words |= {(viewer, life, said_incarnation + 1, int(MemberState.ALIVE))}

    def _check(self) -> None:
        for viewer, book in enumerate(self.books):
            for name, member in book.members.items():
                life, incarnation, _ = self.own[int(name)]
                if member.record.precedence[:2] > (life, incarnation):
                    raise InvariantViolation(f"own voice: {viewer} believes of {name} what it never said")
        for number in range(len(self.books)):
            name = str(number)
            believed: dict[frozenset[Word], tuple[int, int, int]] = {}
            for viewer, book in enumerate(self.books):
                if name not in book.members:
                    continue
                heard = frozenset(word for word in self.heard[viewer] if word[0] == number)
                order = book.members[name].record.precedence
                if believed.setdefault(heard, order) != order:
                    raise InvariantViolation(f"heard is one: views that heard the same differ on {name}")
            life, incarnation, runs = self.own[number]
            mine = {word for word in self.words if word[0] == number}
            accused = [word[1:3] for word in mine & self.heard[number] if word[3] != MemberState.ALIVE]
            if runs and any(word >= (life, incarnation) for word in accused):
                raise InvariantViolation(
                    f"refuted: {name} has heard an accusation and does not stand above it"
                )

    def key(self) -> Hashable:
        """Equal for worlds from which the same can follow."""
        books = tuple(
            tuple(sorted((n, m.record.precedence) for n, m in book.members.items())) for book in self.books
        )
        return self.faults, tuple(self.own), books, self.words, tuple(self.heard)
