"""The sockets of membership: datagrams over UDP, state exchanges over TCP. Contains no protocol logic.

Messages are sealed and unsealed here; rejected ones are counted, and logged at a bounded rate.
"""

from __future__ import annotations

import socket
import struct
import time
from collections import Counter
from collections.abc import Callable

import anyio
import structlog
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from winchdyke.config.model import Listen
from winchdyke.membership import datagrams
from winchdyke.membership.addresses import format_address, split_address
from winchdyke.membership.datagrams import SwimMessage
from winchdyke.membership.errors import MembershipError, MessageRejectedError
from winchdyke.membership.events import (
    Event,
    MessageReceived,
    SendDatagram,
    StartStateExchange,
    StateExchangeFinished,
)
from winchdyke.membership.resolver import AddressResolver
from winchdyke.membership.shared_keys import SharedKeys

LENGTH_PREFIX = struct.Struct(">I")
MAX_STATE_EXCHANGES = 8  # maximum concurrent state exchanges in each direction
STATE_EXCHANGE_TIMEOUT_SECONDS = 2.0
MAX_DATAGRAMS_PER_TURN = 256
MAX_PENDING_EVENTS = 1024
RECEIVE_BUFFER_BYTES = 1 << 18  # size requested for the receive buffer of the UDP socket
LOOKUP_TIMEOUT_SECONDS = 5.0
MIN_REJECTION_LOG_GAP_SECONDS = 10.0
ACCEPT_RETRY_SECONDS = 0.05

_STREAM_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class Transport:
    """One UDP socket and the TCP listeners of the same port."""

    def __init__(self, keys: SharedKeys, clock: Callable[[], float], counts: Counter[str]) -> None:
        self.counts = counts
        self.address = ("", 0)
        self.is_stopped = False  # if true, received messages are dropped
        self._keys = keys
        self._clock = clock
        self._log = structlog.get_logger("membership")
        self._udp: socket.socket | None = None
        self._listeners: list[SocketListener] = []
        self._group: TaskGroup | None = None
        self._resolver = AddressResolver()
        self._exchange_slots = anyio.Semaphore(MAX_STATE_EXCHANGES)
        self._events: list[Event] = []
        self._event_arrived = anyio.Event()
        self._rejection_logged_at_seconds = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the sockets are open."""
        return self._udp is not None

    async def open(self, listen: Listen) -> None:
        """Binds the sockets. Raises MembershipError."""
        try:
            await self._bind(listen)
        except OSError as error:
            await self.close()
            raise MembershipError(
                f"can't listen at {listen.host}:{listen.port}: {error.strerror}; see fleet, listen"
            ) from error

    async def close(self) -> None:
        """Closes the sockets."""
        if self._udp is not None:
            self._udp.close()
            self._udp = None
        for listener in self._listeners:
            await listener.aclose()
        self._listeners = []

    def start(self, group: TaskGroup, answer: Callable[[MessageReceived], SwimMessage | None]) -> None:
        """Starts receiving in a task group; ``answer`` returns the reply to a state exchange's request, or None."""
        self._group = group
        group.start_soon(self._receive_datagrams)
        for listener in self._listeners:
            group.start_soon(self._accept_state_exchanges, listener, answer)

    # Events.

    def take_events(self) -> list[Event]:
        """Returns the events since the last call."""
        self._read_datagrams()
        events = self._events
        self._events = []
        self._event_arrived = anyio.Event()
        return events

    async def wait_for_event(self) -> None:
        """Waits until an event arrives after :meth:`take_events`, or :meth:`wake` is called."""
        await self._event_arrived.wait()

    def wake(self) -> None:
        """Ends :meth:`wait_for_event`."""
        self._event_arrived.set()

    # Datagrams.

    def send(self, action: SendDatagram) -> None:
        """Sends a datagram now, or once the address of its host is known. On an error it is counted and lost."""
        host, port = split_address(action.address)
        data = datagrams.seal(action.message, self._keys.sealing_secret)
        self.counts["sent"] += 1
        self.counts["sent-bytes"] += len(data)
        resolution = self._resolver.resolve(host, port, data, self._clock())
        if resolution.needs_lookup and self._group is not None:
            self._group.start_soon(self._look_up, host)
        if resolution.address:
            self._send_to(resolution.address, port, data)

    async def _bind(self, listen: Listen) -> None:
        multi_listener = await anyio.create_tcp_listener(local_host=listen.host, local_port=listen.port)
        self._listeners = [each for each in multi_listener.listeners if isinstance(each, SocketListener)]
        bound: tuple[str, int] = self._listeners[0].extra(SocketAttribute.local_address)  # type: ignore[assignment]
        host = str(bound[0])
        port = bound[1]
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._udp = socket.socket(family, socket.SOCK_DGRAM)
        self._udp.setblocking(False)
        self._udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._udp.bind((host, port))
        self.address = (host, int(port))

    async def _receive_datagrams(self) -> None:
        assert self._udp is not None
        while True:
            await anyio.wait_readable(self._udp)
            self._read_datagrams()
            self.wake()
            await anyio.sleep(0)

    def _read_datagrams(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self._udp is None:
                return
            try:
                data, sender = self._udp.recvfrom(datagrams.MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.counts["udp-error"] += 1  # an ICMP error caused by an earlier datagram
                continue
            self._handle_datagram(data, sender)

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        if self.is_stopped or len(self._events) >= MAX_PENDING_EVENTS:
            self.counts["dropped:overrun"] += 1
            return
        message = self._unseal(data, datagrams.MAX_DATAGRAM_BYTES)
        if message is not None:
            self._events.append(MessageReceived(message, format_address(sender[0], sender[1])))

    def _unseal(self, data: bytes, max_bytes: int) -> SwimMessage | None:
        try:
            return datagrams.unseal(data, self._keys.secrets, max_bytes)
        except MessageRejectedError as rejection:
            self.counts[f"dropped:{rejection.reason}"] += 1
            self._log_rejection(rejection.reason)
            return None

    def _log_rejection(self, reason: str) -> None:
        now_seconds = time.monotonic()
        if now_seconds >= self._rejection_logged_at_seconds + MIN_REJECTION_LOG_GAP_SECONDS:
            self._rejection_logged_at_seconds = now_seconds
            self._log.warning("membership_message_rejected", reason=reason)

    def _send_to(self, address: str, port: str, data: bytes) -> None:
        assert self._udp is not None
        try:
            self._udp.sendto(data, (address, int(port)))
        except (OSError, ValueError, OverflowError):
            self.counts["send-failed"] += 1

    async def _look_up(self, host: str) -> None:
        address = await self._look_up_address(host)
        if not address:
            self.counts["name-unknown"] += 1
            self._log.warning("membership_host_lookup_failed", host=host)
        for queued in self._resolver.lookup_finished(host, address, self._clock()):
            self._send_to(address, queued.port, queued.data)

    async def _look_up_address(self, host: str) -> str:
        """Returns the address of a host, or "" if the lookup fails or times out."""
        assert self._udp is not None
        try:
            with anyio.move_on_after(LOOKUP_TIMEOUT_SECONDS):
                found = await anyio.getaddrinfo(host, None, family=self._udp.family, type=socket.SOCK_DGRAM)
                return str(found[0][4][0])
        except (OSError, UnicodeError, IndexError):
            pass
        return ""

    # State exchanges.

    def start_state_exchange(self, action: StartStateExchange) -> None:
        """Starts a state exchange in the background; it ends with a :class:`StateExchangeFinished` event."""
        assert self._group is not None
        self._group.start_soon(self._exchange_state, action)

    async def _exchange_state(self, action: StartStateExchange) -> None:
        reply: SwimMessage | None = None
        host, port = split_address(action.address)
        try:
            with anyio.move_on_after(STATE_EXCHANGE_TIMEOUT_SECONDS):
                async with self._exchange_slots, await anyio.connect_tcp(host, int(port)) as stream:
                    await self._send_stream(stream, action.message)
                    reply = await self._receive_stream(stream)
        except (*_STREAM_ERRORS, ValueError):
            pass
        self._events.append(StateExchangeFinished(action.address, action.message.request_id, reply))
        self.wake()

    async def _accept_state_exchanges(
        self, listener: SocketListener, answer: Callable[[MessageReceived], SwimMessage | None]
    ) -> None:
        assert self._group is not None
        slots = anyio.Semaphore(MAX_STATE_EXCHANGES)
        while True:
            await slots.acquire()
            try:
                stream = await listener.accept()
            except OSError:
                slots.release()
                await anyio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            except anyio.ClosedResourceError:
                return
            self._group.start_soon(self._serve_state_exchange, stream, answer, slots)

    async def _serve_state_exchange(
        self,
        stream: SocketStream,
        answer: Callable[[MessageReceived], SwimMessage | None],
        slots: anyio.Semaphore,
    ) -> None:
        try:
            with anyio.move_on_after(STATE_EXCHANGE_TIMEOUT_SECONDS):
                async with stream:
                    await self._answer_state_exchange(stream, answer)
        except _STREAM_ERRORS:
            pass
        finally:
            slots.release()

    async def _answer_state_exchange(
        self, stream: SocketStream, answer: Callable[[MessageReceived], SwimMessage | None]
    ) -> None:
        message = await self._receive_stream(stream)
        if message is None or self.is_stopped:
            return
        sender = stream.extra(SocketAttribute.remote_address)
        address = format_address(sender[0], sender[1])
        reply = answer(MessageReceived(message, address, is_state_exchange=True))
        if reply is not None:
            await self._send_stream(stream, reply)

    async def _send_stream(self, stream: SocketStream, message: SwimMessage) -> None:
        data = datagrams.seal(message, self._keys.sealing_secret)
        self.counts["sent-bytes"] += len(data)
        await stream.send(LENGTH_PREFIX.pack(len(data)) + data)

    async def _receive_stream(self, stream: SocketStream) -> SwimMessage | None:
        received = bytearray()
        while len(received) < LENGTH_PREFIX.size:
            received += await stream.receive()
        length = int(LENGTH_PREFIX.unpack_from(received)[0])
        if length > datagrams.MAX_STATE_EXCHANGE_BYTES:
            self.counts["dropped:too-long"] += 1
            return None
        end = LENGTH_PREFIX.size + length
        while len(received) < end:
            received += await stream.receive()
        return self._unseal(bytes(received[LENGTH_PREFIX.size : end]), datagrams.MAX_STATE_EXCHANGE_BYTES)
