"""What gateway and store say to each other beside plain HTTP. Pure; the page is ``docs/store-protocol.md``."""

from __future__ import annotations

import math
from dataclasses import dataclass

from winchdyke.discovery.records import EndpointEvidence
from winchdyke.http1 import AnswerHead, Headers

REQUEST, ATTEMPT, GATEWAY = b"winchdyke-request", b"winchdyke-attempt", b"winchdyke-gateway"
CLASS, UNITS, SHARD = b"winchdyke-class", b"winchdyke-units", b"winchdyke-shard"
VERSION = b"winchdyke-version"  # of the settings that a request was taken under
KEY, ORDER = b"idempotency-key", b"winchdyke-order-key"
NOT_RUN, USED, OTHERS, LOAD = (
    b"winchdyke-not-run", b"winchdyke-used-percent", b"winchdyke-from-others", b"winchdyke-load",
)  # fmt: skip
STORE, BOOT, UP, DRAINING = (
    b"winchdyke-store", b"winchdyke-boot", b"winchdyke-up-ms", b"winchdyke-draining",
)  # fmt: skip
WHO = b"/-/store"  # what a store answers with its word on itself, and does no work for
HOP = {
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te", b"trailer",
    b"transfer-encoding", b"upgrade",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Told:
    """What an answer tells of load and use."""

    used_percent: float | None = None
    from_others: float = 0.0
    load: tuple[float, ...] = ()
    word: EndpointEvidence | None = None  # what it says of itself, where it does


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def told(head: AnswerHead) -> Told:
    """The report in an answer's head; what can't be read counts as not told."""
    used = others = None
    load: tuple[float, ...] = ()
    said: dict[bytes, str] = {}
    for name, value in head.headers:
        if name == USED:
            used = _number(value.decode("latin-1"))
        elif name == OTHERS:
            others = _number(value.decode("latin-1"))
        elif name == LOAD:
            parts = [_number(part) for part in value.decode("latin-1").split(",")]
            load = tuple(part for part in parts if part is not None) if None not in parts else ()
        elif name in (STORE, BOOT, UP, DRAINING):
            said[name] = value.decode("latin-1")[:200]
    word = None
    if said:
        up = _number(said[UP]) if UP in said else None
        word = EndpointEvidence(said.get(STORE, ""), said.get(BOOT, ""), up, said.get(DRAINING) == "1")
    return Told(used, others or 0.0, load, word)


def never_ran(head: AnswerHead) -> bool:
    """Whether the store says that it did not run the request."""
    return head.status >= 500 and any(name == NOT_RUN and value == b"1" for name, value in head.headers)


def onward(headers: Headers) -> Headers:
    """The headers of a store's answer that are for the client."""
    dropped = HOP
    for name, values in headers:
        if name == b"connection":
            dropped = dropped | {value.strip().lower() for value in values.split(b",")}
    return [
        (name, value) for name, value in headers if name not in dropped and not name.startswith(b"winchdyke-")
    ]
