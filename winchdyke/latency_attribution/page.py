"""Renders the report as one self-contained HTML page. All names are escaped."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

from jinja2 import Environment, PackageLoader, StrictUndefined

CHART_WIDTH = 900
CHART_HEIGHT = 150
CHART_MARGIN = 5
MS_PER_MINUTE = 60_000


def render_page(report: dict[str, Any], losses: list[str]) -> str:
    """Returns the page for a report's data; ``losses`` describes the data that could not be read."""
    loader = PackageLoader("winchdyke.latency_attribution", ".")
    environment = Environment(loader=loader, autoescape=True, undefined=StrictUndefined)
    span = "no requests"
    if report["requests"]:
        span = f"from {_format_time(report['from_unix_ms'])} to {_format_time(report['to_unix_ms'])} UTC"
    template = environment.get_template("page.html.j2")
    return template.render(report=report, bars=_bars(report["minutes"]), span=span, losses=losses)


def _bars(minutes: dict[int, dict[str, float]]) -> list[dict[str, Any]]:
    """Returns a bar of the chart for each minute, showing the time that requests spent in the queue."""
    queued_ms = {int(minute): sum(by_volume.values()) for minute, by_volume in minutes.items()}
    if not queued_ms:
        return []
    first = min(queued_ms)
    width = CHART_WIDTH / (max(queued_ms) - first + 1)
    max_ms = max(queued_ms.values()) or 1.0
    return [
        {
            "x": round((minute - first) * width, 1),
            "width": round(max(1.0, width - 1), 1),
            "y": round(CHART_HEIGHT * (1 - ms / max_ms) + CHART_MARGIN, 1),
            "height": round(CHART_HEIGHT * ms / max_ms, 1),
            "title": f"{_format_time(minute * MS_PER_MINUTE)}: {ms / 1000:.1f} s",
        }
        for minute, ms in queued_ms.items()
    ]


def _format_time(unix_ms: float) -> str:
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
