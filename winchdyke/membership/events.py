"""What a :class:`~winchdyke.membership.swim.Machine` starts from, what happens to it, and what it gives back to be done."""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.membership.datagrams import Envelope


@dataclass(frozen=True, slots=True)
class Own:
    """This member, as it starts. ``life`` is higher than that of any process before it under this name, as far as it can know."""

    name: str
    address: str
    zone: str
    index: int
    life: int
    gateways: int = 0  # that the settings know; 0: not told
    seeds: tuple[str, ...] = ()  # addresses
    at: tuple[
        tuple[str, str], ...
    ] = ()  # where members are reached from here, by name; these win over what is heard


# What is to be done.


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a datagram."""

    address: str
    message: Envelope


@dataclass(frozen=True, slots=True)
class Exchange:
    """Connect, send this over TCP, hand back the answer as :class:`Exchanged`."""

    address: str
    message: Envelope


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the exchange that is being handled."""

    message: Envelope


@dataclass(frozen=True, slots=True)
class Note:
    """A line for operators; ``code`` is the reason, ``member`` whom it is about."""

    code: str
    member: str = ""
    text: str = ""


@dataclass(frozen=True, slots=True)
class Leave:
    """A later process has this name: this one is to say so and leave the fleet."""

    why: str


Action = Tell | Exchange | Reply | Note | Leave


# What happens.


@dataclass(frozen=True, slots=True)
class Arrived:
    """A datagram, or over TCP the question of an exchange."""

    message: Envelope
    address: str = ""
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Exchanged:
    """How an exchange that this one began has ended; None: not at all."""

    address: str
    number: int
    message: Envelope | None
