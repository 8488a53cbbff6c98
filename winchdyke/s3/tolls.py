"""The limit of a course over large parts. Pure.

The scheduler is told at most ``largest_units`` for a request: more would never fit. So a part of 8 MiB counts as a few units there,
and a course with a limit could move many times what it may. Where a plan has a limit, what S3 clients move is paid for here as well,
in full units, from an account of the course at this gateway: its part of the limit fills it, its part of the burst is the most it
holds, and it begins empty. A request may go while there is anything in it, and is paid from it whole, into debt where it is larger:
the next one waits until that is paid. So over any time what is moved is at most limit x time + burst + one part for each gateway.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Toll:
    """One course's account at one gateway: units, and when it was last filled (ms)."""

    at: float
    level: float = 0.0

    def wait_ms(self, now: float, rate: float, most: float) -> float:
        """Milliseconds until a request may go; 0: now. ``rate`` in units a second, ``most`` in units."""
        self.level = min(most, self.level + rate * max(0.0, now - self.at) / 1000)
        self.at = now
        if self.level > 0:
            return 0.0
        return (-self.level / rate) * 1000 + 1.0

    def pay(self, units: float) -> None:
        """A request goes."""
        self.level -= units


def units_of(length: int, unit_bytes: int) -> float:
    """What so many bytes count, in full."""
    return float(max(1, math.ceil(length / unit_bytes)))
