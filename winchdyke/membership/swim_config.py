"""The parameters of the SWIM protocol, and the time bounds that follow from them. Without I/O.

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
    probe_timeout_ms: float = 300.0  # timeout of a direct ack; indirect probes have the rest of the interval
    indirect_probe_count: int = 3  # members that are sent a ping-req if no direct ack arrives in time
    min_suspicion_intervals: float = 3.0  # minimum suspicion timeout: intervals times log10 of the members
    max_suspicion_factor: float = 4.0  # timeout of an unconfirmed suspicion: times the minimum
    max_confirmations: int = 3  # confirmations by other members after which the minimum timeout applies
    max_local_health_score: int = 3
    retransmit_factor: float = 4.0  # transmissions of one update: times log10 of the members
    state_exchange_interval_ms: float = 30_000.0
    min_reconnect_backoff_ms: float = 1000.0  # backoff between attempts to reach seeds or dead members
    max_reconnect_backoff_ms: float = 10_000.0
    departed_retention_ms: float = 600_000.0  # time after which dead members and those that left are removed
    min_pause_ms: float = 250.0  # a turn that starts this late is evidence of a pause of the process
    max_members: int = 1024
    # Number of probe intervals for which a received message overrides gossip of a death.
    direct_evidence_intervals: float = 2.0

    def log10_members(self, members: int) -> float:
        """Returns log10 of the number of members, at least 1."""
        return max(1.0, math.log10(max(1, members)))

    def min_suspicion_ms(self, members: int) -> float:
        """Returns the timeout of a suspicion that enough members have confirmed."""
        return self.min_suspicion_intervals * self.log10_members(members) * self.probe_interval_ms

    def max_suspicion_ms(self, members: int) -> float:
        """Returns the timeout of an unconfirmed suspicion."""
        return self.max_suspicion_factor * self.min_suspicion_ms(members)

    def suspicion_timeout_ms(self, members: int, confirmations: int) -> float:
        """Returns the suspicion timeout after a number of confirmations (Lifeguard, section IV-B)."""
        shortest_ms = self.min_suspicion_ms(members)
        longest_ms = self.max_suspicion_ms(members)
        # With two members there is no third one that could confirm.
        needed = min(self.max_confirmations, max(0, members - 2))
        if not needed:
            return shortest_ms
        fraction = math.log(confirmations + 1) / math.log(needed + 1)
        return max(shortest_ms, longest_ms - (longest_ms - shortest_ms) * fraction)

    def retransmit_limit(self, members: int) -> int:
        """Returns the number of transmissions of one update."""
        return math.ceil(self.retransmit_factor * self.log10_members(members))

    def detection_bound_ms(self, members: int, rounds: float = 5.0) -> float:
        """Returns the ms within which every reachable member declares a killed one dead, except in e^-``rounds`` of the cases.

        The bound is the sum of three times. Until the first probe: each of n members draws one of n - 1 per round, so that the
        probability that no probe has reached the member after r rounds is at most e^-r. A round and its probe take up to
        1 + ``max_local_health_score`` intervals, since loss, pauses and dead helpers raise the local health score. Then the
        longest suspicion timeout, and log2(n) + 2 rounds for the update to spread.
        """
        slow_rounds = (1 + self.max_local_health_score) * (rounds + 1)
        spread_rounds = math.log2(max(2, members))
        return (slow_rounds + spread_rounds + 2) * self.probe_interval_ms + self.max_suspicion_ms(members)

    def convergence_bound_ms(self, members: int) -> float:
        """Returns the ms after the last fault within which all views are equal, with the probability of the detection bound.

        In this time dead members are contacted again, their refutations spread, and pending suspicions expire.
        """
        return self.max_reconnect_backoff_ms + self.detection_bound_ms(members) + self.probe_interval_ms * 2
