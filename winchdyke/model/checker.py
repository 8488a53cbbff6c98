"""A model checker: explores every interleaving of a small model, breadth first, and checks its invariants."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Protocol


class InvariantViolation(Exception):
    """An invariant does not hold; the message names it."""


class Model(Protocol):
    """One state of a model, with the steps that are possible in it."""

    def steps(self) -> Iterable[str]:
        """The names of all steps that are possible now."""

    def after(self, step: str) -> Model:
        """A new state, one step on. Raises InvariantViolation."""

    def key(self) -> Hashable:
        """A key that is equal for states with the same possible futures."""


@dataclass
class Exploration:
    """The result of an exploration.

    Attributes:
        states: Distinct states found.
        steps: Steps taken between them.
        depth: Depth reached.
        complete: Whether no state was left to explore.
        violation: The invariant that does not hold, or "".
        trace: The shortest sequence of steps to the violation.
    """

    states: int = 0
    steps: int = 0
    depth: int = 0
    complete: bool = False
    violation: str = ""
    trace: list[str] = field(default_factory=list)


def explore(
    initial: Model,
    max_depth: int = 1000,
    max_states: int = 10_000_000,
    on_layer: Callable[[Exploration], None] = lambda _: None,
) -> Exploration:
    """Explore until no new state is left, or up to a bound; stops at the first violation.

    ``on_layer`` is called after each depth.
    """
    result = Exploration(states=1)
    visited = {initial.key()}
    origins: dict[Hashable, tuple[Hashable, str]] = {}
    layer: list[Model] = [initial]
    while layer and result.depth < max_depth and result.states < max_states:
        next_layer: list[Model] = []
        for state in layer:
            key = state.key()
            for step in state.steps():
                result.steps += 1
                try:
                    successor = state.after(step)
                except InvariantViolation as error:
                    result.violation = str(error)
                    result.trace = [*_steps_to(key, origins), step]
                    return result
                successor_key = successor.key()
                if successor_key not in visited:
                    visited.add(successor_key)
                    origins[successor_key] = (key, step)
                    next_layer.append(successor)
        result.states = len(visited)
        result.depth += 1
        on_layer(result)
        layer = next_layer
    result.complete = not layer
    return result


def _steps_to(key: Hashable, origins: dict[Hashable, tuple[Hashable, str]]) -> list[str]:
    steps: list[str] = []
    while key in origins:
        key, step = origins[key]
        steps.append(step)
    return steps[::-1]
