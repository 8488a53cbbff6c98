"""A model checker: every interleaving of a small world, breadth first, with invariants. States that look alike are one."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Protocol


class InvariantViolation(Exception):
    """An invariant does not hold; names it."""


class Model(Protocol):
    """What is explored: a state with the steps that are possible in it."""

    def steps(self) -> Iterable[str]:
        """The names of all steps that may be taken now."""

    def after(self, step: str) -> Model:
        """A new world, one step on. Broken where that breaks an invariant."""

    def key(self) -> Hashable:
        """Equal for worlds from which the same can follow."""


@dataclass
class Exploration:
    """What was found: states, steps taken between them, depth reached, and the shortest way to a broken invariant."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    complete: bool = False  # whether nothing is left beyond
    violation: str = ""
    trace: list[str] = field(default_factory=list)


def explore(
    first: Model,
    depth: int = 1000,
    most: int = 10_000_000,
    watch: Callable[[Exploration], None] = lambda _: None,
) -> Exploration:
    """Explore until nothing new is left, or to a depth, or so many states; stops at the first broken invariant."""
    found = Exploration(states=1)
    seen = {first.key()}
    came: dict[Hashable, tuple[Hashable, str]] = {}
    layer: list[Model] = [first]
    while layer and found.depth < depth and found.states < most:
        following: list[Model] = []
        for world in layer:
            here = world.key()
            for step in world.steps():
                found.steps += 1
                try:
                    after = world.after(step)
                except InvariantViolation as error:
                    found.violation, found.trace = str(error), [*_way(here, came), step]
                    return found
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    came[key] = here, step
                    following.append(after)
        found.states = len(seen)
        found.depth += 1
        watch(found)
        layer = following
    found.complete = not layer
    return found


def _way(key: Hashable, came: dict[Hashable, tuple[Hashable, str]]) -> list[str]:
    steps: list[str] = []
    while key in came:
        key, step = came[key]
        steps.append(step)
    return steps[::-1]
