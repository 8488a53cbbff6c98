"""The figures that membership goes by, and the bounds that follow from them. Pure.

Sources: Das, Gupta, Motivala, *SWIM* (2002); Dadgar, Phillips, Currey, *Lifeguard* (2018), for the suspicion's time and the
local health; the derivations are in ``docs/fleet.md``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Times in ms."""

    probe_interval_ms: float = 1000.0  # between probes, each of one member
    probe_timeout_ms: float = 300.0  # for a direct answer; the rest of the interval is for indirect ones
    indirect_probe_count: int = 3  # that are asked to probe where no direct answer came
    min_suspicion_intervals: float = 3.0  # intervals times log10 of the members: the least time to refute
    max_suspicion_factor: float = 4.0  # times the least: the time to refute where nobody else suspects
    max_confirmations: int = 3  # others' suspicions after which the least time holds
    max_local_health_score: int = 3  # of the local health, which lengthens the own interval and time-outs
    retransmit_factor: float = 4.0  # times log10 of the members: how often one entry is sent on
    state_exchange_interval_ms: float = 30_000.0  # between full exchanges with one member
    min_reconnect_backoff_ms: float = (
        1000.0  # first gap between tries to reach seeds, or members that are dead
    )
    max_reconnect_backoff_ms: float = 10_000.0
    departed_retention_ms: float = 600_000.0  # after which the dead and the left are forgotten
    min_pause_ms: float = 250.0  # the own clock was late by so much: the process slept
    max_members: int = 1024
    direct_evidence_intervals: float = (
        2.0  # intervals for which a member that was heard is not dead by hearsay
    )

    def log10_members(self, members: int) -> float:
        """log10 of the members, 1 at the least."""
        return max(1.0, math.log10(max(1, members)))

    def min_suspicion_ms(self, members: int) -> float:
        """ms from a suspicion to a death that several say."""
        return self.min_suspicion_intervals * self.log10_members(members) * self.probe_interval_ms

    def max_suspicion_ms(self, members: int) -> float:
        """ms from a suspicion to a death that one alone says."""
        return self.max_suspicion_factor * self.min_suspicion_ms(members)

    def suspicion_timeout_ms(self, members: int, confirmed: int) -> float:
        """ms of a suspicion that so many others share (Lifeguard, section IV-B)."""
        least, most = self.min_suspicion_ms(members), self.max_suspicion_ms(members)
        # Two members: nobody else can confirm.
        needed = min(self.max_confirmations, max(0, members - 2))
        if not needed:
            return least
        part = math.log(confirmed + 1) / math.log(needed + 1)
        return max(least, most - (most - least) * part)

    def retransmit_limit(self, members: int) -> int:
        """How often one entry is sent on."""
        return math.ceil(self.retransmit_factor * self.log10_members(members))

    def detection_bound_ms(self, members: int, rounds: float = 5.0) -> float:
        """ms within which all that can be reached call a killed member dead, but for e to the minus ``rounds`` of deaths.

        Until somebody probes it: each of n members draws one of n - 1 a round, so that none has after r rounds with a chance
        of e^-r at the most; a round and its probe take up to 1 + ``health_most`` intervals, where loss, sleep or the deaths of helpers
        make members doubt themselves. Then the longest suspicion (each later one of others shortens it), and the word's way:
        log2(n) rounds and two.
        """
        slow = (1 + self.max_local_health_score) * (rounds + 1)
        return (slow + math.log2(max(2, members)) + 2) * self.probe_interval_ms + self.max_suspicion_ms(
            members
        )

    def convergence_bound_ms(self, members: int) -> float:
        """ms after the last trouble within which all views are equal, with the chance above: dead members are tried
        anew, their refutations go round, and accusations still under way run out."""
        return self.max_reconnect_backoff_ms + self.detection_bound_ms(members) + self.probe_interval_ms * 2
