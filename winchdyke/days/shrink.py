"""The fewest events of a day that still break it: delta debugging (Zeller and Hildebrandt, TSE 28(2), 2002). Pure but for ``fails``.

A day on real processes does not fail every time, so a smaller one counts as failing where any of a few tries fails; and what is
returned has failed just then, though not for sure the next time.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

T = TypeVar("T")


def minimize(
    items: Sequence[T], fails: Callable[[list[T]], bool], max_calls: int = 10_000
) -> tuple[list[T], bool]:
    """A part of ``items`` that fails and from which no single one can be left out, and whether that was reached.

    ``most`` bounds the calls of ``fails``; past it the smallest part found so far is returned. An empty part is tried first:
    what fails with no event at all needs none.
    """
    calls = 0

    def tried(part: list[T]) -> bool:
        nonlocal calls
        calls += 1
        return fails(part)

    kept, pieces = list(items), 2
    if not kept or tried([]):
        return [], True
    while len(kept) > 1:
        size = -(-len(kept) // pieces)
        parts = [kept[at : at + size] for at in range(0, len(kept), size)]
        smaller: list[T] | None = None
        # The parts by themselves first, then all but one.
        rests = [[item for other in parts if other is not part for item in other] for part in parts]
        for candidate in [*parts, *(rests if len(parts) > 2 else [])]:
            if calls >= max_calls:
                return kept, False
            if tried(candidate):
                smaller = candidate
                break
        if smaller is not None:
            pieces = 2 if smaller in parts else max(2, pieces - 1)
            kept = smaller
        elif size == 1:
            break
        else:
            pieces = min(len(kept), 2 * pieces)
    return kept, True
