"""What a load run asks and when: drawn from a seed before the run begins (open loop). Pure.

An open loop sends each request at its time, whether or not the ones before it are answered, and its latency counts from that time.
So a gateway that stalls for a second is seen by all whose time came in that second, and not by one.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

OPERATIONS = ("get", "range", "put", "upload", "list")


@dataclass(frozen=True, slots=True)
class Mix:
    """The shares of operations, each over 0."""

    shares: dict[str, float]

    @staticmethod
    def read(text: str) -> Mix:
        """``get=70,put=30``. ValueError says what is wrong."""
        shares: dict[str, float] = {}
        for part in text.split(","):
            name, given, value = part.strip().partition("=")
            if name not in OPERATIONS:
                raise ValueError(f"there is no operation {name!r}; there is {', '.join(OPERATIONS)}")
            try:
                shares[name] = float(value) if given else 1.0
            except ValueError:
                raise ValueError(f"{part.strip()!r} is not NAME=SHARE") from None
            if not 0 < shares[name] < 1e9:
                raise ValueError(f"the share of {name} is {value}; it is over 0")
        return Mix(shares)


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request: its time from the run's start (ms), what, on which object, how large; ``part`` of ``size`` for a range."""

    at: float
    operation: str
    volume: str
    key: str
    size: int
    first: int = 0


def plan_requests(
    seed: int, rate: float, length_ms: float, mix: Mix, volumes: list[str], objects: int, size: int, worker: int = 0,
    workers: int = 1,
) -> Iterator[PlannedRequest]:  # fmt: skip
    """One worker's share of a run: Poisson arrivals of ``rate`` requests a second over all workers. Objects are drawn by a
    Zipf-like law, so that some are hot.
    """
    draw = random.Random(f"load/{seed}/{worker}")
    names, weights = list(mix.shares), list(mix.shares.values())
    now = 0.0
    while True:
        now += draw.expovariate(rate / workers) * 1000
        if now >= length_ms:
            return
        operation = draw.choices(names, weights)[0]
        number = min(objects - 1, int(draw.paretovariate(1.0)) - 1)
        key = (
            f"load-{number}" if operation != "upload" else f"load-upload-{worker}-{draw.getrandbits(48):012x}"
        )
        first = draw.randrange(size) if operation == "range" else 0
        yield PlannedRequest(now, operation, draw.choice(volumes), key, size, first)
