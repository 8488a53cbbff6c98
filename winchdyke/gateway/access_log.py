"""The access log: one line for each request, and what is gathered for it."""

from __future__ import annotations

from dataclasses import dataclass, field

import structlog

from winchdyke import interface as api
from winchdyke.config.model import Kind
from winchdyke.gateway import logs
from winchdyke.gateway.clients import ClientConnection
from winchdyke.gateway.final_response import FinalResponse
from winchdyke.http1 import RequestHead
from winchdyke.latency_attribution.recorder import RequestTrace
from winchdyke.object_api import routes
from winchdyke.quotas.byte_metering import TransferCharge


@dataclass(slots=True)
class AccessLogRecord:
    """What is known of a request while it is processed.

    Attributes:
        trace: Its phases, where latency is attributed.
        config_version: The version of its configuration.
        operation: What it asks for, once that is known.
        kind: Its request class, once that is known.
        excess_units: Units that its body counts beyond those that the scheduler is told.
        unit_bytes: Bytes that count as one unit.
        limit_units_per_s: The limit of its volume over all gateways; 0: none.
        charge: What it pays for the excess, where its volume has a limit.
        request: The request as the scheduler has it.
        attempt_count: Attempts that ended.
        endpoints: Where they were sent.
        outcomes: How they ended, as reason codes.
        queued_ms: Time spent waiting in this gateway.
        attempts_ms: Time of attempts at stores, without time spent waiting for the client.
    """

    trace: RequestTrace | None = None
    config_version: int = 0
    operation: routes.Operation | None = None
    kind: Kind | None = None
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
        """Count the attempts of a part of this request."""
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
        """Write the line of a request that has its final response."""
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
