"""Divides whole nanoseconds in proportion to weights, so that the shares add up exactly."""

from __future__ import annotations

from collections.abc import Mapping

from winchdyke.latency_attribution.vocabulary import CAUSE_TURN, TURN_HOLDER, Holder


def apportion(total_ns: int, weights: Mapping[Holder, float]) -> dict[Holder, int]:
    """Divides a time among holders by the largest-remainder method.

    Without positive weights, all of it goes to :data:`~.vocabulary.TURN_HOLDER`.
    """
    if total_ns <= 0:
        return {}
    if len(weights) == 1:
        return dict.fromkeys(weights, total_ns)
    total_weight = sum(weight for weight in weights.values() if weight > 0)
    if total_weight <= 0:
        return {TURN_HOLDER: total_ns}
    exact = {holder: total_ns * weight / total_weight for holder, weight in weights.items() if weight > 0}
    shares = {holder: int(share) for holder, share in exact.items()}
    remainder = total_ns - sum(shares.values())
    by_remainder = sorted(exact, key=lambda holder: (shares[holder] - exact[holder], holder))
    for index in range(abs(remainder)):
        shares[by_remainder[index % len(by_remainder)]] += 1 if remainder > 0 else -1
    return {holder: share for holder, share in shares.items() if share}


def apportion_causes(total_ns: int, weights: Mapping[str, float]) -> dict[str, int]:
    """Divides a time among causes; without positive weights, all of it goes to :data:`~.vocabulary.CAUSE_TURN`."""
    by_holder: dict[Holder, float] = {("cause", cause, ""): weight for cause, weight in weights.items()}
    shares = apportion(total_ns, by_holder)
    return {CAUSE_TURN if holder == TURN_HOLDER else holder[1]: share for holder, share in shares.items()}
