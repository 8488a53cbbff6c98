"""The inputs and outputs of :class:`~winchdyke.membership.swim.SwimProtocol`: events that happen, actions to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.membership.datagrams import SwimMessage


@dataclass(frozen=True, slots=True)
class LocalMember:
    """This member at its start.

    ``generation`` is higher than that of any earlier process of this name, as far as this one can know. ``address_overrides``
    maps members' names to the addresses that reach them from here; these win over the addresses that members advertise.
    """

    name: str
    address: str
    zone: str
    index: int
    generation: int
    gateway_count: int = 0  # in the settings; 0: unknown
    seeds: tuple[str, ...] = ()  # addresses
    address_overrides: tuple[tuple[str, str], ...] = ()


# Actions.


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a message as one datagram."""

    address: str
    message: SwimMessage


@dataclass(frozen=True, slots=True)
class StartStateExchange:
    """Connect over TCP, send the message, and hand back the answer as :class:`StateExchangeFinished`."""

    address: str
    message: SwimMessage


@dataclass(frozen=True, slots=True)
class ReplyToStateExchange:
    """Answer the state exchange whose request is being handled."""

    message: SwimMessage


@dataclass(frozen=True, slots=True)
class ReportEvent:
    """Report a change to operators. ``code`` names it, ``member`` is whom it is about."""

    code: str
    member: str = ""
    text: str = ""


@dataclass(frozen=True, slots=True)
class StopMembership:
    """Stop taking part: a later process has this name."""

    reason: str


Action = SendDatagram | StartStateExchange | ReplyToStateExchange | ReportEvent | StopMembership


# Events.


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A datagram, or the request of a state exchange over TCP."""

    message: SwimMessage
    address: str = ""
    is_state_exchange: bool = False


@dataclass(frozen=True, slots=True)
class StateExchangeFinished:
    """The end of a state exchange that this member started; ``message`` is None where it failed."""

    address: str
    request_id: int
    message: SwimMessage | None


Event = MessageReceived | StateExchangeFinished
