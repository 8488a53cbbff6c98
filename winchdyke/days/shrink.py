"""Minimizes a failing scenario by delta debugging. Pure except for ``fails``.

The algorithm is that of Zeller and Hildebrandt, IEEE Transactions on Software Engineering 28(2), 2002.

A scenario with real processes may fail only sometimes, so callers count a smaller one as failing if any of a few runs fails.
The result has failed at least once; it may not fail in every run.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

T = TypeVar("T")


def minimize(
    items: Sequence[T], fails: Callable[[list[T]], bool], max_calls: int = 10_000
) -> tuple[list[T], bool]:
    """Return a failing subsequence of ``items``, and whether it is known to be minimal.

    Minimal means that ``fails`` returned False for each list that lacks one more item; a shorter failing list that lacks
    several items may exist. ``items`` must fail themselves: this is not tested. After ``max_calls`` calls of ``fails`` the
    smallest failing subsequence so far is returned, as not minimal.

    The empty list is tried first: if the scenario fails without any item, no item is the cause, and the search is not needed.
    """
    calls = 0

    def still_fails(part: list[T]) -> bool:
        nonlocal calls
        calls += 1
        return fails(part)

    smallest, part_count = list(items), 2
    if not smallest or still_fails([]):
        return [], True
    while len(smallest) > 1:
        part_size = -(-len(smallest) // part_count)  # rounded up
        parts = [smallest[start : start + part_size] for start in range(0, len(smallest), part_size)]
        smaller: list[T] | None = None
        # Each part alone first, then each complement of a part.
        complements = [[item for other in parts if other is not part for item in other] for part in parts]
        for candidate in [*parts, *(complements if len(parts) > 2 else [])]:
            if calls >= max_calls:
                return smallest, False
            if still_fails(candidate):
                smaller = candidate
                break
        if smaller is not None:
            part_count = 2 if smaller in parts else max(2, part_count - 1)
            smallest = smaller
        elif part_size == 1:
            break
        else:
            part_count = min(len(smallest), 2 * part_count)
    return smallest, True
