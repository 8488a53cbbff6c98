"""The access log: one line per request, and the data collected for it."""

from __future__ import annotations

from dataclasses import dataclass, field

import structlog

from winchdyke import interface as api
from winchdyke.config.model import ClassConfig
from winchdyke.gateway import logs
from winchdyke.gateway.clients import ClientConnection
from winchdyke.gateway.final_response import FinalResponse
from winchdyke.http1 import RequestHead
from winchdyke.latency_attribution.recorder import RequestTrace
from winchdyke.object_api import routes
from winchdyke.quotas.byte_metering import TransferCharge


@dataclass(slots=True)
class AccessLogRecord:
    """Data about one request, collected while it is processed.

    Attributes:
        trace: The trace of its phases; None: its latency is not attributed.
        config_version: The version of the configuration that applies to it; 0: the one at the start.
        operation: The requested operation; None until the request has been parsed.
        kind: Its request class; None until it is resolved.
        excess_units: Units of its body beyond those passed to the scheduler.
        unit_bytes: Bytes per unit.
        limit_units_per_s: The limit of its volume, over all gateways; 0: no limit.
        charge: Charges the excess to the limit of its volume; None: nothing to charge.
        request: The request as passed to the scheduler; None until then.
        attempt_count: Number of attempts that have ended.
        endpoints: The endpoints of these attempts, in order.
        outcomes: The outcomes of these attempts, as reason codes.
        queued_ms: Time spent queued in this gateway.
        attempts_ms: Duration of the attempts, excluding time spent waiting for the client.
    """

    trace: RequestTrace | None = None
    config_version: int = 0
    operation: routes.Operation | None = None
    kind: ClassConfig | None = None
    excess_units: float = 0.0
    unit_bytes: int = 0
    limit_units_per_s: float = 0.0
    charge: TransferCharge | None = None
    request: api.Request | None = None
    attempt_count: int = 0
    endpoints: list[str] = field(default_factory=list)
    outcomes: list[str] = field(default_factory=list)
    queued_ms: float = 0.0
    attempts_ms: float = 0.0

    def add_attempts_of(self, other: AccessLogRecord) -> None:
        """Add the attempts of a request that was sent as a part of this one."""
        self.attempt_count += other.attempt_count
        self.endpoints += other.endpoints
        self.outcomes += other.outcomes
        self.queued_ms += other.queued_ms
        self.attempts_ms += other.attempts_ms


class AccessLog:
    """Writes the access log."""

    def __init__(self) -> None:
        self._log = structlog.get_logger("access")

    def write(
        self,
        request_id: str,
        connection: ClientConnection,
        head: RequestHead,
        final: FinalResponse,
        record: AccessLogRecord,
        total_ms: float,
    ) -> None:
        """Write the line of a request whose final response has been sent."""
        if not logs.access_log_enabled:
            return
        operation = record.operation
        self._log.info(
            "request",
            request=request_id,
            client_request=head.get(b"x-request-id"),
            method=head.method,
            path=head.target.decode("latin-1")[:200],
            operation=operation.name if operation else None,
            volume=operation.volume if operation else None,
            request_class=record.kind.rules.name if record.kind else None,
            status=connection.response_status or final.status,
            outcome=final.outcome,
            reason=final.reason,
            attempts=record.attempt_count,
            endpoints=record.endpoints,
            outcomes=record.outcomes,
            queued_ms=round(record.queued_ms, 2),
            attempts_ms=round(record.attempts_ms, 2),
            total_ms=round(total_ms, 2),
            bytes=connection.response_bytes,
        )
