"""Compares latencies of clients with service times of emulated stores, request by request. Pure.

Clients' lines are written by ``winchdyke load --log``, stores' lines are their record. They are joined by the
client's request ID, which the gateway forwards. A store's time lasts from the head of a request to its
response; overlapping times of several stores count once, and attempts without a response do not count.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Line = dict[str, Any]


@dataclass
class Row:
    """Figures of one operation.

    Attributes:
        waited: Latencies at the clients, in ms.
        stores: Service times at the stores, in ms, in the same order.
        attempts: Number of attempts.
        unanswered: Number of attempts without a response.
    """

    waited: list[float] = field(default_factory=list)
    stores: list[float] = field(default_factory=list)
    attempts: int = 0
    unanswered: int = 0

    def figures(self) -> dict[str, float]:
        """Return the figures of a row of the table."""
        count = len(self.waited)
        return {
            "requests": count, "attempts": self.attempts / count if count else 0.0, "unanswered": self.unanswered,
            "p50": _percentile(self.waited, 50), "p99": _percentile(self.waited, 99),
            "store p50": _percentile(self.stores, 50), "store p99": _percentile(self.stores, 99),
            "store share": sum(self.stores) / sum(self.waited) if sum(self.waited) else 0.0,
        }  # fmt: skip


def _percentile(values: list[float], percent: float) -> float:
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * percent / 100))] if values else 0.0


def _covered(spans: list[tuple[float, float]]) -> float:
    """Return the time that is covered by at least one span, given as start and end."""
    covered, end = 0.0, float("-inf")
    for since, until in sorted(spans):
        covered += max(0.0, until - max(since, end))
        end = max(end, until)
    return covered


def compare(clients: Iterable[Line], stores: Iterable[Line]) -> dict[str, Row]:
    """Return the figures by operation, from the lines of clients and stores."""
    heads: dict[tuple[str, int], Line] = {}
    spans: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    attempts: defaultdict[str, int] = defaultdict(int)
    unanswered: defaultdict[str, int] = defaultdict(int)
    for entry in stores:
        if entry.get("what") == "head":
            heads[entry["request"], entry["attempt"]] = entry
            attempts[entry["client"]] += 1
            unanswered[entry["client"]] += 1
        elif entry.get("what") == "answered":
            head = heads.pop((entry["request"], entry["attempt"]), None)
            if head is not None:
                spans[entry["client"]].append((head["t"], entry["t"]))
                unanswered[entry["client"]] -= 1
    rows: defaultdict[str, Row] = defaultdict(Row)
    for line in clients:
        row, name = rows[line["operation"]], line["id"]
        row.waited.append(line["ms"])
        row.stores.append(_covered(spans.get(name, [])))
        row.attempts += attempts.get(name, 0)
        row.unanswered += unanswered.get(name, 0)
    return dict(rows)


def format_table(rows: dict[str, Row]) -> str:
    """Return the rows as a table of text."""
    names = ("requests", "attempts", "unanswered", "p50", "p99", "store p50", "store p99", "store share")
    lines = [f"{'':8}" + "".join(f"{name:>13}" for name in names)]
    for operation, row in sorted(rows.items()):
        figures = row.figures()
        lines.append(f"{operation:8}" + "".join(f"{figures[name]:13.2f}" for name in names))
    return "\n".join([*lines, "ms; attempts and store share are for each request"])
