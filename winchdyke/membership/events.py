"""What a :class:`~winchdyke.membership.swim.Machine` starts from, what happens to it, and what it gives back to be done."""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.membership.datagrams import SwimMessage


@dataclass(frozen=True, slots=True)
class LocalMember:
    """This member, as it starts. ``life`` is higher than that of any process before it under this name, as far as it can know."""

    name: str
    address: str
    zone: str
    index: int
    generation: int
    gateway_count: int = 0  # that the settings know; 0: not told
    seeds: tuple[str, ...] = ()  # addresses
    address_overrides: tuple[
        tuple[str, str], ...
    ] = ()  # where members are reached from here, by name; these win over what is heard


# What is to be done.


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram."""

    address: str
    message: SwimMessage


@dataclass(frozen=True, slots=True)
class StartStateExchange:
    """Connect, send this over TCP, hand back the answer as :class:`Exchanged`."""

    address: str
    message: SwimMessage


@dataclass(frozen=True, slots=True)
class ReplyToStateExchange:
    """Answer the exchange that is being handled."""

    message: SwimMessage


@dataclass(frozen=True, slots=True)
class ReportEvent:
    """A line for operators; ``code`` is the reason, ``member`` whom it is about."""

    code: str
    member: str = ""
    text: str = ""


@dataclass(frozen=True, slots=True)
class StopMembership:
    """A later process has this name: this one is to say so and leave the fleet."""

    reason: str


Action = SendDatagram | StartStateExchange | ReplyToStateExchange | ReportEvent | StopMembership


# What happens.


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A datagram, or over TCP the question of an exchange."""

    message: SwimMessage
    address: str = ""
    is_state_exchange: bool = False


@dataclass(frozen=True, slots=True)
class StateExchangeFinished:
    """How an exchange that this one began has ended; None: not at all."""

    address: str
    request_id: int
    message: SwimMessage | None
