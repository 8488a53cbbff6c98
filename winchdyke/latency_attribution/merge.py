"""Ledgers of several gateways as one: who it was, at other gateways, that made a node slow. Pure.

A gateway sees its own requests alone. What it puts down to a slow node may be the crowd of others there. Merged ledgers show
it: a first pass adds up, for each node and bin of time, who was out there through any gateway and how much work came back;
a second one shares what was put down to the node. The part of its pace that it lacked, against its own best in these
ledgers, stays the node's (attribution); the rest goes to those who were out there, by their time out (a guess, as at one
gateway). Clocks that are off by up to ``off_ms`` move a request by as much, so bins are at least twice as wide.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable, Iterator

import msgspec

from winchdyke.latency_attribution.spans import Account, Holder, apportion

BIN_MS = 500.0  # as long as a step of the windows; shorter ones tell chance from pace less well
PACE_QUANTILE = 0.9  # of a node's bins: what it can do, but for a lucky few
KEYS_MOST = 200_000  # volumes and keys that are followed to find second tries
SECOND_TRY_MS = 15_000.0  # after a first that was not served, within which another may be its second


def out(account: Account) -> Iterator[tuple[str, float, float]]:
    """Node, begin and end (Unix milliseconds, by its gateway's clock) of each attempt of an account that has its line."""
    begin: int | None = None
    stretches: list[tuple[int, int]] = []
    for phase, at, end in account.line:
        if phase in ("dial", "send", "body", "store", "answer"):
            begin = at if begin is None else begin
            last = end
        elif begin is not None:
            stretches.append((begin, last))
            begin = None
    if begin is not None:
        stretches.append((begin, last))
    for node, (first, end) in zip(account.nodes, stretches, strict=False):
        yield node, account.began_unix_ms + first / 1e6, account.began_unix_ms + end / 1e6


class ContentionTimeline:
    """Who was out at each node, by bins of time, through all gateways."""

    def __init__(self, off_ms: float = 0.0) -> None:
        self.width = max(BIN_MS, 2 * off_ms)
        self._out: defaultdict[tuple[str, int], Counter[tuple[str, str]]] = defaultdict(Counter)
        self._work: defaultdict[str, Counter[int]] = defaultdict(Counter)
        self._pace: dict[str, float] = {}
        self._seen: OrderedDict[tuple[str, str], list[tuple[float, str, bool]]] = OrderedDict()
        self.forgotten = 0

    def add(self, account: Account) -> None:
        """First pass: count one account."""
        for (node, begin, end), how in zip(out(account), account.ends, strict=False):
            span = max(end - begin, 1e-3)
            for number, part in self._bins(begin, end):
                self._out[node, number][account.volume, account.class_name] += part  # type: ignore[assignment]
                if how == "served":
                    self._work[node][number] += account.units * part / span  # type: ignore[assignment]
        if account.key:
            self._remember(account)
        self._pace.clear()

    def _bins(self, begin: float, end: float) -> Iterator[tuple[int, float]]:
        """Bins that a stretch of time touches, with the milliseconds in each."""
        number = int(begin // self.width)
        while number * self.width < end:
            part = min(end, (number + 1) * self.width) - max(begin, number * self.width)
            if part > 0:
                yield number, part
            number += 1

    def pace(self, node: str) -> float:
        """What a node can do: units of work in a bin, a high quantile over the bins in which it did any."""
        if node not in self._pace:
            values = sorted(self._work[node].values())
            self._pace[node] = values[int(PACE_QUANTILE * (len(values) - 1))] if values else 0.0
        return self._pace[node]

    def holders(self, node: str, number: int) -> dict[Holder, float]:
        """Who made a node slow in a bin: itself by the pace it lacked, and those out there. Adds up to 1."""
        there = self._out.get((node, number))
        pace = self.pace(node)
        lacked = max(0.0, 1 - self._work[node][number] / pace) if pace else 1.0
        if not there:
            return {("node", node, "slow"): 1.0}
        whole = sum(there.values())
        found: dict[Holder, float] = {
            ("volume", volume, name): (1 - lacked) * part / whole for (volume, name), part in there.items()
        }
        found["node", node, "slow"] = lacked
        return found

    def refine(self, account: Account) -> Account:
        """Second pass: the account with what was put down to slow nodes shared anew; sums stay exact."""
        slow = [entry for entry in account.blame if entry[0] == "node" and entry[2] == "slow"]
        held = [(begin, end) for phase, begin, end in account.line if phase == "held" and end > begin]
        if not slow or not held:
            return account
        blame: Counter[Holder] = Counter()
        for kind, name, what, share in account.blame:
            if (kind, what) != ("node", "slow"):
                blame[kind, name, what] += share
        for _, node, _, share in slow:
            parts: Counter[Holder] = Counter()
            for begin, end in held:
                first, last = account.began_unix_ms + begin / 1e6, account.began_unix_ms + end / 1e6
                for number, part in self._bins(first, last):
                    for holder, value in self.holders(node, number).items():
                        parts[holder] += part * value  # type: ignore[assignment]
            blame.update(apportion(share, parts))
        return msgspec.structs.replace(account, blame=[(*holder, share) for holder, share in blame.items()])

    def _remember(self, account: Account) -> None:
        where = account.volume, account.key
        self._seen.setdefault(where, []).append(
            (account.began_unix_ms, account.gateway, account.outcome == "served")
        )
        if len(self._seen) > KEYS_MOST:
            self._seen.popitem(last=False)
            self.forgotten += 1

    def maybe_second_tries(self) -> int:
        """Requests that may repeat one that was not served at another gateway: told as unknown, never guessed."""
        count = 0
        for tries in self._seen.values():
            if len({gateway for _, gateway, _ in tries}) < 2:
                continue
            for began, gateway, _ in tries:
                count += any(
                    not served
                    and other != gateway
                    and -self.width <= began - at <= SECOND_TRY_MS + self.width
                    for at, other, served in tries
                )
        return count


def merged(accounts: Iterable[Account], off_ms: float = 0.0) -> list[Account]:
    """Accounts of several gateways with blame across them. Holds them all; a reader of files takes two passes instead."""
    kept = list(accounts)
    crowd = ContentionTimeline(off_ms)
    for account in kept:
        crowd.add(account)
    return [crowd.refine(account) for account in kept]
