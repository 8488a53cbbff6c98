"""The report as one self-contained HTML page. Names are escaped: nothing in them becomes markup."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

from jinja2 import Environment, PackageLoader, StrictUndefined


def page(report: dict[str, Any], losses: list[str]) -> str:
    """The page of a report's data."""
    environment = Environment(
        loader=PackageLoader("winchdyke.latency_attribution", "."), autoescape=True, undefined=StrictUndefined
    )
    sums = {int(minute): sum(by.values()) for minute, by in report["minutes"].items()}
    first, last = (min(sums), max(sums)) if sums else (0, 0)
    most = max(sums.values(), default=1.0) or 1.0
    width = 900 / max(1, last - first + 1)
    bars = [
        {
            "x": round((minute - first) * width, 1), "width": round(max(1.0, width - 1), 1),
            "y": round(150 * (1 - ms / most) + 5, 1), "height": round(150 * ms / most, 1),
            "title": f"{_time(minute * 60_000)}: {ms / 1000:.1f} s",
        }
        for minute, ms in sums.items()
    ]  # fmt: skip
    span = "no requests"
    if report["requests"]:
        span = f"from {_time(report['from_unix_ms'])} to {_time(report['to_unix_ms'])} UTC"
    return environment.get_template("page.html.j2").render(report=report, bars=bars, span=span, losses=losses)


def _time(unix_ms: float) -> str:
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
