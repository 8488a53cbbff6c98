"""The bench's wire to the module's interface and back: ``python -m winchdyke.benchlink``.

Hosts any number of instances, each with a scheduler of its own; nothing is shared between them and nothing
is decided here. Malformed input ends the program with one plain line on standard error.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from winchdyke import interface as api
from winchdyke.scheduling import Scheduler
from winchdyke.settings import settings_of, word

STATES = {"0": api.EndpointStatus.REMOVED, "1": api.EndpointStatus.READY, "2": api.EndpointStatus.DRAINING}
KINDS = {
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
REPEAT_BIT = 2


class WireError(Exception):
    """Input that the wire's description does not allow."""


def number(text: str) -> float:
    """A number of the wire, where an absent one is 0."""
    return 0.0 if text == "-" else float(text)


def report(text: str) -> tuple[float, ...]:
    """A load report's values, in the order that the settings name."""
    return () if text == "-" else tuple(number(part) for part in text.split(","))


def node(row: list[str]) -> api.Endpoint:
    """An entry of the node list."""
    if row[0] != "M":
        raise WireError(f"expected a list entry, got {row[0]!r}")
    return api.Endpoint(
        name=row[4],
        status=word(STATES, row[6]),
        shard=int(number(row[7])),
        zone=row[2],
        started_at_ms=number(row[3]),
    )


def demand(row: list[str]) -> api.Request:
    """A client's request."""
    return api.Request(
        request_id=row[2],
        request_class=row[3],
        plan=row[4],
        key="" if row[5] == "-" else row[5],
        time_left_ms=number(row[6]),
        volume=row[7],
        units=number(row[8]),
        shard=int(number(row[9])),
        sharing_gateways=int(number(row[10])),
        is_retry=bool(int(number(row[11])) & REPEAT_BIT),
    )


def ended(row: list[str]) -> api.AttemptEnded:
    """The end of an attempt."""
    used = number(row[8])
    return api.AttemptEnded(
        request_id=row[2],
        attempt=int(row[3]),
        endpoint=row[4],
        outcome=word(OUTCOMES, row[5]),
        latency_ms=number(row[6]),
        request_finished=row[7] == "1",
        volume_usage_percent=used - 1 if used else None,
        units_via_other_gateways=number(row[9]),
        load_report=report(row[10]),
    )


def peer(row: list[str]) -> api.PeerMessage:
    """A message of another gateway; what is not base64 is passed on as empty."""
    import base64
    import binascii

    try:
        data = b"" if row[3] == "-" else base64.b64decode(row[3], validate=True)
    except binascii.Error:
        data = b""
    return api.PeerMessage(sender_index=int(row[2]), payload=data)


READERS: dict[str, Callable[[list[str]], api.Event]] = {
    "DEMAND": demand,
    "FLOWING": lambda row: api.StreamStarted(request_id=row[2], attempt=int(row[3])),
    "CLOSED_ATTEMPT": ended,
    "VANISHED": lambda row: api.ClientDisconnected(request_id=row[2]),
    "TIMEOUT_FIRED": lambda row: api.TimerFired(timer_id=int(row[2])),
    "PONG": lambda row: api.HealthCheckEnded(row[2], word(OUTCOMES, row[3]), number(row[4]), report(row[5])),
    "PEER": peer,
}


def written(who: str, action: api.Action) -> str:
    """An action as a line of the wire."""
    match action:
        case api.StartAttempt(request, name, timeout):
            parts = ["ISSUE", who, request, name, f"{timeout:.3f}"]
        case api.ShedRequest(request, after):
            parts = ["REFUSE", who, request, f"{after:.3f}"]
        case api.FailRequest(request):
            parts = ["DROP_REQUEST", who, request]
        case api.SetTimer(tag, after):
            parts = ["DEFER", who, str(tag), f"{after:.3f}"]
        case api.CancelAttempt(request, attempt):
            parts = ["UNDO_SEND", who, request, str(attempt)]
        case api.WatchEndpoints():
            parts = ["TAIL", who, "1"]
        case api.LogMessage(text):
            parts = ["LOG", who, " ".join(text.split())]
    return "\t".join(parts)


class Link:
    """The instances of one process, and the batch that is being read."""

    def __init__(self) -> None:
        self.now = 0.0
        self.schedulers: dict[str, Scheduler] = {}
        self.events: dict[str, list[api.Event]] = {}

    def read(self, row: list[str], more: Iterator[str]) -> None:
        """Take in one message; a node list reads its entries from ``more``."""
        kind, who = row[0], row[1]
        if kind == "POWER_ON":
            self.schedulers[who] = Scheduler(
                settings_of(json.loads("\t".join(row[3:]))), seed=int(row[2]), now=self.now
            )
            self.events[who] = []
        elif kind == "KILLED":
            self.schedulers.pop(who, None)
            self.events.pop(who, None)
        elif who not in self.schedulers:
            raise WireError(f"instance {who!r} is not running")
        elif kind == "MEMBERS":
            nodes = tuple(node(next(more, "").rstrip("\r\n").split("\t")) for _ in range(int(number(row[4]))))
            self.events.setdefault(who, []).append(api.EndpointList(word(KINDS, row[2]), nodes))
        elif kind == "DEMAND" and row[3] not in self.schedulers[who].classes:
            raise WireError(f"unknown class {row[3]!r}")
        elif kind in READERS:
            self.events.setdefault(who, []).append(READERS[kind](row))
        else:
            raise WireError("unknown message")

    def answer(self) -> list[str]:
        """Let each instance that had events decide; the lines of the reply."""
        lines = []
        for who, events in self.events.items():
            actions = self.schedulers[who].handle(self.now, events)
            # A send is written as it is decided here: there is nothing to call off before it.
            lines += [
                written(who, action) for action in actions if not isinstance(action, api.AbandonAttempt)
            ]
        self.events = {}
        return lines


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    link, count = Link(), 0

    def counted() -> Iterator[str]:
        nonlocal count
        for text in source:
            count += 1
            yield text

    lines = counted()
    for text in lines:
        row = text.rstrip("\r\n").split("\t")
        try:
            if row[0] == "CLOCK":
                link.now = float(row[1])
            elif row[0] == "FLUSH":
                sink.write("\n".join([*link.answer(), "NEXT\n"]))
                sink.flush()
            elif row != [""]:
                link.read(row, lines)
        except (WireError, ValueError, TypeError, AttributeError) as error:
            raise WireError(f"line {count}: {row[0] or 'empty message'}: {error}") from error
        except IndexError as error:
            raise WireError(f"line {count}: {row[0]}: a field is missing") from error
        except KeyError as error:
            raise WireError(f"line {count}: {row[0]}: {error} is missing or unknown") from error


def main() -> int:
    """Serve standard input and output; 1 where the input was malformed."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
