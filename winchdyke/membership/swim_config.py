"""The parameters of the SWIM protocol, and the time bounds that follow from them. Pure.

Sources: Das, Gupta, Motivala, *SWIM* (2002); Dadgar, Phillips, Currey, *Lifeguard* (2018), for the suspicion timeout and the
local health. The derivations are in ``docs/fleet.md``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Parameters of one member. Times are in ms."""

    probe_interval_ms: float = 1000.0  # one member is probed per interval
    probe_timeout_ms: float = 300.0  # for a direct ack; the rest of the interval is left to indirect probes
    indirect_probe_count: int = 3  # members that are sent a ping-req when no direct ack came
    min_suspicion_intervals: float = 3.0  # probe intervals, times log10 of the members
    max_suspicion_factor: float = 4.0  # times the minimum: the timeout of a suspicion that nobody confirms
    max_confirmations: int = 3  # from other members, after which the minimum timeout holds
    max_local_health_score: int = 3
    retransmit_factor: float = 4.0  # times log10 of the members: how often one update is sent
    state_exchange_interval_ms: float = 30_000.0
    min_reconnect_backoff_ms: float = 1000.0  # between attempts to reach seeds or dead members
    max_reconnect_backoff_ms: float = 10_000.0
    departed_retention_ms: float = 600_000.0  # after which dead members and those that left are removed
    min_pause_ms: float = 250.0  # a turn that starts this late shows that the process was paused
    max_members: int = 1024
    direct_evidence_intervals: float = 2.0  # probe intervals for which a received message outweighs gossip

    def log10_members(self, members: int) -> float:
        """Return log10 of the number of members, at least 1."""
        return max(1.0, math.log10(max(1, members)))

    def min_suspicion_ms(self, members: int) -> float:
        """Return the suspicion timeout once enough members have confirmed it."""
        return self.min_suspicion_intervals * self.log10_members(members) * self.probe_interval_ms

    def max_suspicion_ms(self, members: int) -> float:
        """Return the suspicion timeout while nobody has confirmed it."""
        return self.max_suspicion_factor * self.min_suspicion_ms(members)

    def suspicion_timeout_ms(self, members: int, confirmations: int) -> float:
        """Return the suspicion timeout after a number of confirmations (Lifeguard, section IV-B)."""
        shortest_ms = self.min_suspicion_ms(members)
        longest_ms = self.max_suspicion_ms(members)
        # Of two members, none is left to confirm.
        needed = min(self.max_confirmations, max(0, members - 2))
        if not needed:
            return shortest_ms
        fraction = math.log(confirmations + 1) / math.log(needed + 1)
        return max(shortest_ms, longest_ms - (longest_ms - shortest_ms) * fraction)

    def retransmit_limit(self, members: int) -> int:
        """Return how often one update is sent."""
        return math.ceil(self.retransmit_factor * self.log10_members(members))

    def detection_bound_ms(self, members: int, rounds: float = 5.0) -> float:
        """Return the ms within which every reachable member declares a killed one dead, except in e^-``rounds`` of the cases.

        Until a probe reaches it: each of n members draws one of n - 1 per round, so that no probe has reached it after r rounds
        with a probability of at most e^-r. A round and its probe take up to 1 + ``max_local_health_score`` intervals, since loss,
        pauses and dead helpers raise the local health score. Then the longest suspicion timeout, and log2(n) + 2 rounds for the
        update to spread.
        """
        slow_rounds = (1 + self.max_local_health_score) * (rounds + 1)
        spread_rounds = math.log2(max(2, members))
        return (slow_rounds + spread_rounds + 2) * self.probe_interval_ms + self.max_suspicion_ms(members)

    def convergence_bound_ms(self, members: int) -> float:
        """Return the ms after the last fault within which all views are equal, with the probability given above.

        Dead members are contacted again, their refutations spread, and suspicions under way run out.
        """
        return self.max_reconnect_backoff_ms + self.detection_bound_ms(members) + self.probe_interval_ms * 2
