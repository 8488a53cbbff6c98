"""The adapter between the simulator's wire protocol and the scheduler: ``python -m winchdyke.benchlink``.

It hosts any number of gateway instances, each with its own scheduler and no shared state, and makes no
decisions. Only this module maps the names of the wire protocol to those of :mod:`winchdyke.interface`. On
malformed input the program prints one line to standard error and exits.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from winchdyke import interface as api
from winchdyke.scheduling import Scheduler
from winchdyke.settings import enum_value, settings_of

ENDPOINT_STATUS = {
    "0": api.EndpointStatus.REMOVED,
    "1": api.EndpointStatus.READY,
    "2": api.EndpointStatus.DRAINING,
}
LIST_KINDS = {
    "0": api.EndpointListKind.FAILED,
    "1": api.EndpointListKind.CHANGES,
    "2": api.EndpointListKind.CACHED,
    "3": api.EndpointListKind.FULL,
}
OUTCOMES = {
    "delivered": api.AttemptOutcome.SERVED,
    "app_error": api.AttemptOutcome.ERROR,
    "shed": api.AttemptOutcome.SHED,
    "expired": api.AttemptOutcome.TIMED_OUT,
    "dial_failed": api.AttemptOutcome.CONNECT_FAILED,
    "dropped": api.AttemptOutcome.CONNECTION_RESET,
    "revoked": api.AttemptOutcome.CANCELLED,
    "unused": api.AttemptOutcome.NOT_SENT,
}
ABSENT = "-"
RETRY_FLAG = 2  # bit in the flags of a DEMAND message


class WireError(Exception):
    """Raised for input that violates the wire protocol."""


def read_number(text: str) -> float:
    """Parses a number; an absent one is 0."""
    return 0.0 if text == ABSENT else float(text)


def read_load_report(text: str) -> tuple[float, ...]:
    """Parses the values of a load report, in the order given in the settings."""
    if text == ABSENT:
        return ()
    return tuple(read_number(part) for part in text.split(","))


def read_endpoint(row: list[str]) -> api.Endpoint:
    """Parses an entry of the endpoint list."""
    if row[0] != "M":
        raise WireError(f"expected a list entry, got {row[0]!r}")
    return api.Endpoint(
        name=row[4],
        status=enum_value(ENDPOINT_STATUS, row[6]),
        shard=int(read_number(row[7])),
        zone=row[2],
        started_at_ms=read_number(row[3]),
    )


def read_request(row: list[str]) -> api.Request:
    """Parses a request of a client."""
    return api.Request(
        request_id=row[2],
        request_class=row[3],
        plan=row[4],
        key="" if row[5] == ABSENT else row[5],
        time_left_ms=read_number(row[6]),
        volume=row[7],
        units=read_number(row[8]),
        shard=int(read_number(row[9])),
        sharing_gateways=int(read_number(row[10])),
        is_retry=bool(int(read_number(row[11])) & RETRY_FLAG),
    )


def read_stream_started(row: list[str]) -> api.StreamStarted:
    """Parses the start of a streamed response."""
    return api.StreamStarted(request_id=row[2], attempt=int(row[3]))


def read_attempt_ended(row: list[str]) -> api.AttemptEnded:
    """Parses the end of an attempt. The volume's usage is sent as percent plus one, with 0 for absent."""
    usage = read_number(row[8])
    return api.AttemptEnded(
        request_id=row[2],
        attempt=int(row[3]),
        endpoint=row[4],
        outcome=enum_value(OUTCOMES, row[5]),
        latency_ms=read_number(row[6]),
        request_finished=row[7] == "1",
        volume_usage_percent=usage - 1 if usage else None,
        units_via_other_gateways=read_number(row[9]),
        load_report=read_load_report(row[10]),
    )


def read_client_disconnected(row: list[str]) -> api.ClientDisconnected:
    """Parses the disconnection of a client."""
    return api.ClientDisconnected(request_id=row[2])


def read_timer_fired(row: list[str]) -> api.TimerFired:
    """Parses the expiry of a timer."""
    return api.TimerFired(timer_id=int(row[2]))


def read_health_check_ended(row: list[str]) -> api.HealthCheckEnded:
    """Parses the result of a health check."""
    outcome = enum_value(OUTCOMES, row[3])
    return api.HealthCheckEnded(row[2], outcome, read_number(row[4]), read_load_report(row[5]))


def read_peer_message(row: list[str]) -> api.PeerMessage:
    """Parses a message from another gateway; a payload that is not valid base64 becomes empty."""
    import base64
    import binascii

    try:
        payload = b"" if row[3] == ABSENT else base64.b64decode(row[3], validate=True)
    except binascii.Error:
        payload = b""
    return api.PeerMessage(sender_index=int(row[2]), payload=payload)


READERS: dict[str, Callable[[list[str]], api.Event]] = {
    "DEMAND": read_request,
    "FLOWING": read_stream_started,
    "CLOSED_ATTEMPT": read_attempt_ended,
    "VANISHED": read_client_disconnected,
    "TIMEOUT_FIRED": read_timer_fired,
    "PONG": read_health_check_ended,
    "PEER": read_peer_message,
}


def write_action(instance: str, action: api.Action) -> str:
    """Formats an action as a line of the wire protocol."""
    match action:
        case api.StartAttempt(request_id, endpoint, timeout_ms):
            fields = ["ISSUE", instance, request_id, endpoint, f"{timeout_ms:.3f}"]
        case api.ShedRequest(request_id, retry_after_ms):
            fields = ["REFUSE", instance, request_id, f"{retry_after_ms:.3f}"]
        case api.FailRequest(request_id):
            fields = ["DROP_REQUEST", instance, request_id]
        case api.SetTimer(timer_id, after_ms):
            fields = ["DEFER", instance, str(timer_id), f"{after_ms:.3f}"]
        case api.CancelAttempt(request_id, attempt):
            fields = ["UNDO_SEND", instance, request_id, str(attempt)]
        case api.WatchEndpoints():
            fields = ["TAIL", instance, "1"]
        case api.LogMessage(message):
            fields = ["LOG", instance, " ".join(message.split())]
    return "\t".join(fields)


class Adapter:
    """The schedulers of all instances of this process, and the batch of events that is being read."""

    def __init__(self) -> None:
        self.now = 0.0
        self.schedulers: dict[str, Scheduler] = {}
        self.events: dict[str, list[api.Event]] = {}

    def read_message(self, row: list[str], lines: Iterator[str]) -> None:
        """Processes one message; the entries of an endpoint list are read from ``lines``."""
        kind = row[0]
        instance = row[1]
        if kind == "POWER_ON":
            self._start(instance, row)
        elif kind == "KILLED":
            self.schedulers.pop(instance, None)
            self.events.pop(instance, None)
        elif instance not in self.schedulers:
            raise WireError(f"instance {instance!r} is not running")
        elif kind == "MEMBERS":
            self._add_event(instance, _read_endpoint_list(row, lines))
        elif kind == "DEMAND" and row[3] not in self.schedulers[instance].classes:
            raise WireError(f"unknown class {row[3]!r}")
        elif kind in READERS:
            self._add_event(instance, READERS[kind](row))
        else:
            raise WireError("unknown message")

    def reply(self) -> list[str]:
        """Runs the scheduler of each instance in the batch. Returns the lines of the reply."""
        lines: list[str] = []
        for instance, events in self.events.items():
            for action in self.schedulers[instance].handle(self.now, events):
                # In the simulator an attempt is written as soon as it starts, so there is nothing to abandon.
                if not isinstance(action, api.AbandonAttempt):
                    lines.append(write_action(instance, action))
        self.events = {}
        return lines

    def _start(self, instance: str, row: list[str]) -> None:
        settings = settings_of(json.loads("\t".join(row[3:])))
        self.schedulers[instance] = Scheduler(settings, seed=int(row[2]), now=self.now)
        self.events[instance] = []

    def _add_event(self, instance: str, event: api.Event) -> None:
        self.events.setdefault(instance, []).append(event)


def _read_endpoint_list(row: list[str], lines: Iterator[str]) -> api.EndpointList:
    count = int(read_number(row[4]))
    endpoints = tuple(read_endpoint(next(lines, "").rstrip("\r\n").split("\t")) for _ in range(count))
    return api.EndpointList(enum_value(LIST_KINDS, row[2]), endpoints)


class _NumberedLines:
    """Iterates over the lines of a stream, and keeps the number of the last line read."""

    def __init__(self, source: TextIO) -> None:
        self.number = 0
        self._source = source

    def __iter__(self) -> Iterator[str]:
        for line in self._source:
            self.number += 1
            yield line


def serve(source: TextIO, sink: TextIO) -> None:
    """Answers batches until the input ends. Raises WireError, with the line number, on malformed input."""
    adapter = Adapter()
    numbered = _NumberedLines(source)
    lines = iter(numbered)
    for line in lines:
        row = line.rstrip("\r\n").split("\t")
        try:
            if row[0] == "CLOCK":
                adapter.now = float(row[1])
            elif row[0] == "FLUSH":
                sink.write("\n".join([*adapter.reply(), "NEXT\n"]))
                sink.flush()
            elif row != [""]:
                adapter.read_message(row, lines)
        except (WireError, ValueError, TypeError, AttributeError) as error:
            raise WireError(f"line {numbered.number}: {row[0] or 'empty message'}: {error}") from error
        except IndexError as error:
            raise WireError(f"line {numbered.number}: {row[0]}: a field is missing") from error
        except KeyError as error:
            raise WireError(f"line {numbered.number}: {row[0]}: {error} is missing or unknown") from error


def main() -> int:
    """Serves standard input and output. Returns the exit status: 1 if the input was malformed."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
