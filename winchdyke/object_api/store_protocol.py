"""The headers that gateways and stores add to HTTP, documented in ``docs/store-protocol.md``. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from winchdyke.discovery.records import EndpointEvidence
from winchdyke.http1 import Headers, ResponseHead

# Headers of requests to stores.
REQUEST_HEADER = b"winchdyke-request"
ATTEMPT_HEADER = b"winchdyke-attempt"
GATEWAY_HEADER = b"winchdyke-gateway"
CLASS_HEADER = b"winchdyke-class"
UNITS_HEADER = b"winchdyke-units"
SHARD_HEADER = b"winchdyke-shard"
CONFIG_VERSION_HEADER = b"winchdyke-version"  # the settings version under which the request was accepted
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
ORDER_KEY_HEADER = b"winchdyke-order-key"
WRITTEN_HEADER = b"winchdyke-written"  # the stamp of a write; stores keep it with the object and report it

# Headers of responses from stores: execution of the request, usage, load, and the state of the store.
NOT_RUN_HEADER = b"winchdyke-not-run"
USED_PERCENT_HEADER = b"winchdyke-used-percent"
FROM_OTHERS_HEADER = b"winchdyke-from-others"
LOAD_HEADER = b"winchdyke-load"
STORE_HEADER = b"winchdyke-store"
BOOT_HEADER = b"winchdyke-boot"
UPTIME_HEADER = b"winchdyke-up-ms"
DRAINING_HEADER = b"winchdyke-draining"
EVIDENCE_HEADERS = (STORE_HEADER, BOOT_HEADER, UPTIME_HEADER, DRAINING_HEADER)

IDENTITY_PATH = b"/-/store"  # a store reports its state here, without executing an operation
MAX_EVIDENCE_CHARACTERS = 200
HOP_BY_HOP_HEADERS = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
}


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """The report in a store's response.

    Attributes:
        volume_usage_percent: The volume's usage over all gateways, in percent of its expected rate;
            None: not reported.
        units_via_other_gateways: Units that the shard served to the volume through other gateways.
        load_report: Values of the load report, in the order of the settings.
        evidence: The store's report of its own state; None: not reported.
    """

    volume_usage_percent: float | None = None
    units_via_other_gateways: float = 0.0
    load_report: tuple[float, ...] = ()
    evidence: EndpointEvidence | None = None


def read_report(head: ResponseHead) -> EndpointReport:
    """Reads the report in the head of a response. Invalid values count as not reported."""
    volume_usage_percent: float | None = None
    units_via_other_gateways: float | None = None
    load_report: tuple[float, ...] = ()
    evidence: dict[bytes, str] = {}
    for name, value in head.headers:
        if name == USED_PERCENT_HEADER:
            volume_usage_percent = _number(value.decode("latin-1"))
        elif name == FROM_OTHERS_HEADER:
            units_via_other_gateways = _number(value.decode("latin-1"))
        elif name == LOAD_HEADER:
            load_report = _numbers(value.decode("latin-1"))
        elif name in EVIDENCE_HEADERS:
            evidence[name] = value.decode("latin-1")[:MAX_EVIDENCE_CHARACTERS]
    return EndpointReport(
        volume_usage_percent,
        units_via_other_gateways or 0.0,
        load_report,
        _evidence(evidence) if evidence else None,
    )


def proves_no_effect(head: ResponseHead) -> bool:
    """Whether the store reports that it did not execute the request."""
    return head.status >= 500 and any(
        name == NOT_RUN_HEADER and value == b"1" for name, value in head.headers
    )


def client_headers(headers: Headers) -> Headers:
    """The headers of a store's response that are forwarded to the client."""
    dropped = HOP_BY_HOP_HEADERS
    for name, value in headers:
        if name == b"connection":
            dropped = dropped | {option.strip().lower() for option in value.split(b",")}
    return [
        (name, value) for name, value in headers if name not in dropped and not name.startswith(b"winchdyke-")
    ]


def _evidence(values: dict[bytes, str]) -> EndpointEvidence:
    uptime_ms = _number(values[UPTIME_HEADER]) if UPTIME_HEADER in values else None
    return EndpointEvidence(
        values.get(STORE_HEADER, ""),
        values.get(BOOT_HEADER, ""),
        uptime_ms,
        values.get(DRAINING_HEADER) == "1",
    )


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def _numbers(text: str) -> tuple[float, ...]:
    """The numbers of a comma-separated list; empty if any of them is invalid."""
    numbers = [_number(part) for part in text.split(",")]
    readable = tuple(number for number in numbers if number is not None)
    return readable if len(readable) == len(numbers) else ()
