"""The inputs (events) and outputs (actions) of :class:`~winchdyke.membership.swim.SwimProtocol`."""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.membership.datagrams import SwimMessage


@dataclass(frozen=True, slots=True)
class LocalMember:
    """The identity and addresses of this member at startup.

    ``generation`` is higher than that of every earlier process of this name that this one knows of. ``address_overrides``
    maps members' names to the addresses at which this host reaches them; they replace the addresses that members advertise.
    """

    name: str
    address: str
    zone: str
    index: int
    generation: int
    gateway_count: int = 0  # number of gateways in the settings; 0: unknown
    seeds: tuple[str, ...] = ()  # addresses of the seeds
    address_overrides: tuple[tuple[str, str], ...] = ()


# Actions.


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a message as one datagram."""

    address: str
    message: SwimMessage


@dataclass(frozen=True, slots=True)
class StartStateExchange:
    """Connect over TCP, send the message, and return the answer as a :class:`StateExchangeFinished` event."""

    address: str
    message: SwimMessage


@dataclass(frozen=True, slots=True)
class ReplyToStateExchange:
    """Answer the state exchange request that is being handled."""

    message: SwimMessage


@dataclass(frozen=True, slots=True)
class ReportEvent:
    """Report a change to operators. ``code`` is the type of the change, ``member`` the member concerned."""

    code: str
    member: str = ""
    text: str = ""


@dataclass(frozen=True, slots=True)
class StopMembership:
    """Stop the protocol: a later process uses this name."""

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
    """The end of a state exchange that this member started; ``message`` is the answer, or None if it failed."""

    address: str
    request_id: int
    message: SwimMessage | None


Event = MessageReceived | StateExchangeFinished
