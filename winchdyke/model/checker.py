"""A model checker: every interleaving of a small world, breadth first, with invariants. States that look alike are one."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Protocol


class Broken(Exception):
    """An invariant does not hold; names it."""


class World(Protocol):
    """What is explored: a state with the steps that are possible in it."""

    def steps(self) -> Iterable[str]:
        """The names of all steps that may be taken now."""

    def after(self, step: str) -> World:
        """A new world, one step on. Broken where that breaks an invariant."""

    def key(self) -> Hashable:
        """Equal for worlds from which the same can follow."""


@dataclass
class Explored:
    """What was found: states, steps taken between them, depth reached, and the shortest way to a broken invariant."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    whole: bool = False  # whether nothing is left beyond
    broken: str = ""
    trace: list[str] = field(default_factory=list)


def explore(
    first: World,
    depth: int = 1000,
    most: int = 10_000_000,
    watch: Callable[[Explored], None] = lambda _: None,
) -> Explored:
    """Explore until nothing new is left, or to a depth, or so many states; stops at the first broken invariant."""
    found = Explored(states=1)
    seen = {first.key()}
    came: dict[Hashable, tuple[Hashable, str]] = {}
    layer: list[World] = [first]
    while layer and found.depth < depth and found.states < most:
        following: list[World] = []
        for world in layer:
            here = world.key()
            for step in world.steps():
                found.steps += 1
                try:
                    after = world.after(step)
                except Broken as error:
                    found.broken, found.trace = str(error), [*_way(here, came), step]
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
    found.whole = not layer
    return found


def _way(key: Hashable, came: dict[Hashable, tuple[Hashable, str]]) -> list[str]:
    steps: list[str] = []
    while key in came:
        key, step = came[key]
        steps.append(step)
    return steps[::-1]
