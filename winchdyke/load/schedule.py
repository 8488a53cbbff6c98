"""The requests of a load run and their times, drawn from a seed (open loop). Pure.

An open loop sends each request at its planned time, whether or not earlier ones have been answered, and
measures its latency from that time. A gateway that stalls for a second thus delays all requests planned in that
second, and not only one per connection.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

OPERATIONS = ("get", "range", "put", "upload", "list")


@dataclass(frozen=True, slots=True)
class Mix:
    """Relative frequencies of operations, each above 0."""

    shares: dict[str, float]

    @staticmethod
    def parse(text: str) -> Mix:
        """Parse text such as ``get=70,put=30``; raises ValueError with the reason if it is invalid."""
        shares: dict[str, float] = {}
        for part in text.split(","):
            name, given, value = part.strip().partition("=")
            if name not in OPERATIONS:
                raise ValueError(f"no operation {name!r}; the operations are {', '.join(OPERATIONS)}")
            try:
                shares[name] = float(value) if given else 1.0
            except ValueError:
                raise ValueError(f"{part.strip()!r} is not NAME=SHARE") from None
            if not 0 < shares[name] < 1e9:
                raise ValueError(f"the share of {name} is {value}; it must be above 0")
        return Mix(shares)


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request with its planned time.

    Attributes:
        at: Time from the start of the run, in ms.
        size: Bytes of the object.
        first: First byte of a range read.
    """

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
    """Yield the requests of one worker.

    All workers together have Poisson arrivals of ``rate`` requests per second. Objects are drawn from
    a Zipf-like distribution, so that some are hot.
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
