"""What a running gateway's ledger says at this moment: who is held now, and what ended in the last seconds.

A gateway writes ``now`` beside its segments, whole each time (written beside, then renamed); all else is read from the ends
of the segments. Nothing is asked of the gateway.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from winchdyke.latency_attribution.ledger import (
    ENDING,
    HEAD,
    NOW,
    Held,
    Now,
    Recovered,
    decoded,
    whole_records,
)
from winchdyke.latency_attribution.report import Summary, said
from winchdyke.latency_attribution.spans import Account

STALE_S = 5.0  # past which a gateway's word on what it holds is told as old


class Tail:
    """The accounts that come to one ledger's folder, from now or a little before."""

    def __init__(self, folder: Path, back_bytes: int = 1 << 20) -> None:
        self.folder, self.lost = folder, Recovered()
        self._at: dict[str, int] = {}
        newest = max(folder.glob(f"*{ENDING}"), default=None)
        for path in folder.glob(f"*{ENDING}"):
            self._at[path.name] = path.stat().st_size
        if newest is not None:
            self._at[newest.name] = max(0, self._at[newest.name] - back_bytes)

    def more(self) -> list[Account]:
        """What came since the last call; a record that is not whole yet waits for the next."""
        found: list[Account] = []
        for path in sorted(self.folder.glob(f"*{ENDING}")):
            at = self._at.get(path.name, 0)
            try:
                with path.open("rb") as file:
                    file.seek(at)
                    data = file.read()
            except FileNotFoundError:
                continue  # summed up just now
            payloads, whole = whole_records(data, 0 if at else len(HEAD))
            self._at[path.name] = at + whole
            for payload in payloads:
                made = decoded(payload, path.name, self.lost)
                if isinstance(made, Account):
                    found.append(made)
        return found


def held_now(folder: Path) -> Now | None:
    """What the gateway holds, by its own last word; None where it has given none."""
    try:
        return msgspec.msgpack.decode((folder / NOW).read_bytes(), type=Now)
    except (OSError, msgspec.DecodeError):
        return None


class Top:
    """The last seconds of several ledgers, as a table."""

    def __init__(self, folders: Iterable[Path], seconds: float) -> None:
        self.folders, self.seconds = list(folders), seconds
        self._tails = [Tail(folder) for folder in self.folders]
        self._recent: deque[tuple[float, Account]] = deque()

    def look(self, now_ms: float | None = None) -> dict[str, Any]:
        """What is to be shown; times in milliseconds."""
        now = time.time() * 1000 if now_ms is None else now_ms
        for tail in self._tails:
            for account in tail.more():
                self._recent.append((account.began_unix_ms + account.latency / 1e6, account))
        recent = [(end, account) for end, account in self._recent if end > now - self.seconds * 1000]
        self._recent = deque(recent)
        summary = Summary()
        for _, account in recent:
            summary.add(account)
        courses = []
        for name, course in sorted(summary.courses.items(), key=lambda entry: (-entry[1].held, entry[0])):
            holders = summary.holders(name)[:2]
            courses.append(
                {
                    "volume": name, "per_s": course.requests / self.seconds,
                    "refused": course.outcomes["refused"], "failed": course.outcomes["failed"],
                    "held_ms": course.held / 1e6 / course.requests,
                    "p99_ms": course.latency.get_value_at_percentile(99) / 1000,
                    "holders": [f"{100 * share / course.held:.0f}% {said(holder, name)}" for holder, share in holders if course.held],
                }
            )  # fmt: skip
        gateways = []
        for folder in self.folders:
            word = held_now(folder)
            age = None if word is None else max(0.0, now - word.unix_ms) / 1000
            gateways.append(
                {
                    "folder": str(folder), "gateway": word.gateway if word else None, "age_s": age,
                    "stale": age is None or age > STALE_S, "dropped": word.dropped if word else 0,
                    "held": [_held(held) for held in sorted(word.held, key=lambda h: -h.count)] if word else [],
                }
            )  # fmt: skip
        return {
            "seconds": self.seconds,
            "requests": summary.requests,
            "courses": courses,
            "gateways": gateways,
        }


def _held(held: Held) -> dict[str, Any]:
    shares = Counter({(kind, name, what): share for kind, name, what, share in held.holders})
    return {
        "shard": held.shard, "class": held.class_name, "count": held.count, "cause": held.cause,
        "holders": [f"{100 * share:.0f}% {said(holder, '')}" for holder, share in shares.most_common(3)],
    }  # fmt: skip
