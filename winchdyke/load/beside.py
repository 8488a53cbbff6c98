"""What clients saw beside what stand-in stores saw, of the same requests: how much of a wait was a store's. Pure.

Clients' lines are those of ``winchdyke load --log``; stores' are a stand-in's record. They meet by the client's request id, which the
gateway passes on. A store's time is from a request's head to its answer, what several had at once counts once; an attempt that was not
answered has none.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Line = dict[str, Any]


@dataclass
class Row:
    """One operation: what its clients waited, what stores took of that, and attempts; times in ms."""

    waited: list[float] = field(default_factory=list)
    stores: list[float] = field(default_factory=list)
    attempts: int = 0
    unanswered: int = 0  # attempts

    def figures(self) -> dict[str, float]:
        """Its figures."""
        count = len(self.waited)
        return {
            "requests": count, "attempts": self.attempts / count if count else 0.0, "unanswered": self.unanswered,
            "p50": _at(self.waited, 50), "p99": _at(self.waited, 99),
            "store p50": _at(self.stores, 50), "store p99": _at(self.stores, 99),
            "store share": sum(self.stores) / sum(self.waited) if sum(self.waited) else 0.0,
        }  # fmt: skip


def _at(values: list[float], percent: float) -> float:
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * percent / 100))] if values else 0.0


def _covered(spans: list[tuple[float, float]]) -> float:
    """How long at least one of these was under way."""
    found, end = 0.0, float("-inf")
    for since, until in sorted(spans):
        found += max(0.0, until - max(since, end))
        end = max(end, until)
    return found


def compare(clients: Iterable[Line], stores: Iterable[Line]) -> dict[str, Row]:
    """By operation."""
    heads: dict[tuple[str, int], Line] = {}
    spans: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    tries: defaultdict[str, int] = defaultdict(int)
    lost: defaultdict[str, int] = defaultdict(int)
    for seen in stores:
        if seen.get("what") == "head":
            heads[seen["request"], seen["attempt"]] = seen
            tries[seen["client"]] += 1
            lost[seen["client"]] += 1
        elif seen.get("what") == "answered":
            head = heads.pop((seen["request"], seen["attempt"]), None)
            if head is not None:
                spans[seen["client"]].append((head["t"], seen["t"]))
                lost[seen["client"]] -= 1
    rows: defaultdict[str, Row] = defaultdict(Row)
    for line in clients:
        row, name = rows[line["operation"]], line["id"]
        row.waited.append(line["ms"])
        row.stores.append(_covered(spans.get(name, [])))
        row.attempts += tries.get(name, 0)
        row.unanswered += lost.get(name, 0)
    return dict(rows)


def format_table(rows: dict[str, Row]) -> str:
    """For people."""
    names = ("requests", "attempts", "unanswered", "p50", "p99", "store p50", "store p99", "store share")
    lines = [f"{'':8}" + "".join(f"{name:>13}" for name in names)]
    for operation, row in sorted(rows.items()):
        figures = row.figures()
        lines.append(f"{operation:8}" + "".join(f"{figures[name]:13.2f}" for name in names))
    return "\n".join([*lines, "ms; attempts and store share are for each request"])
