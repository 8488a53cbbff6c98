"""The task that runs a gateway's membership: it feeds the protocol with events and carries out its actions.

All decisions are made by :class:`~winchdyke.membership.swim.SwimProtocol`. Sockets are read before timers run, so that
messages that have already arrived are processed before a member is considered silent.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import structlog

from winchdyke.config.model import Config
from winchdyke.membership import member_cache, startup
from winchdyke.membership.addresses import format_address, format_listen
from winchdyke.membership.datagrams import SwimMessage
from winchdyke.membership.errors import MembershipError
from winchdyke.membership.events import (
    Action,
    LocalMember,
    MessageReceived,
    ReplyToStateExchange,
    ReportEvent,
    SendDatagram,
    StartStateExchange,
    StopMembership,
)
from winchdyke.membership.log_events import log_event
from winchdyke.membership.shared_keys import SharedKeys
from winchdyke.membership.status import membership_status
from winchdyke.membership.swim import SwimProtocol
from winchdyke.membership.transport import Transport
from winchdyke.membership.view import MembershipView

KEY_RELOAD_SECONDS = 1.0
CACHE_WRITE_SECONDS = 2.0
MIN_TURN_MS = 1.0
MAX_HISTORY = 500  # maximum events listed in the status


class MembershipAgent:
    """Runs one gateway's membership: the protocol, its sockets, key reloads and the member cache."""

    def __init__(self, config: Config, clock: Callable[[], float]) -> None:
        assert config.fleet.listen is not None
        self.config = config
        self.clock = clock
        self.protocol: SwimProtocol | None = None
        self.counts: Counter[str] = Counter()
        self.history: deque[dict[str, object]] = deque(maxlen=MAX_HISTORY)
        self.keys = SharedKeys(config.fleet.keys)
        self.transport = Transport(self.keys, clock, self.counts)
        self._settings = config.fleet
        self._log = structlog.get_logger("membership")
        self._cached_seeds: tuple[str, ...] = ()  # addresses from the member cache
        self._listed_seeds: tuple[str, ...] = ()  # addresses from a list service

    # Lifecycle.

    async def open(self) -> None:
        """Reads the keys and binds the sockets. Raises MembershipError."""
        assert self._settings.listen is not None
        self.keys.load()
        await self.transport.open(self._settings.listen)
        try:
            self.protocol = self._create_protocol()
        except MembershipError:
            await self.transport.close()
            raise

    async def run(self) -> None:
        """Runs the protocol until cancelled; call :meth:`leave` first to notify the other members."""
        assert self.protocol is not None and self.transport.is_open
        async with anyio.create_task_group() as group:
            self.transport.start(group, self._answer_state_exchange)
            group.start_soon(self._reload_keys)
            if self._settings.keep:
                group.start_soon(self._write_cache)
            while not self.stopped:
                await self._run_turn(self.protocol)
            await anyio.sleep_forever()

    def leave(self) -> None:
        """Notifies other members that this one leaves, and stops the protocol."""
        if self.protocol is not None and self.transport.is_open:
            self._execute(self.protocol.leave(self.clock()))
            self.transport.is_stopped = True

    async def close(self) -> None:
        """Closes the sockets."""
        await self.transport.close()

    # Addresses.

    def update_config(self, config: Config) -> None:
        """Replaces the peers and seeds. Known members stay in the table until they are removed."""
        if self.protocol is None:
            return
        if (config.peers, config.fleet.seeds) == (self.config.peers, self._settings.seeds):
            return
        self.config = config
        self._settings = replace(self._settings, seeds=config.fleet.seeds)
        self.protocol.update_addresses(self._seeds(), self._address_overrides())
        self.transport.wake()

    def set_listed_seeds(self, addresses: tuple[str, ...]) -> None:
        """Sets the seeds named by a list service, in addition to all other seeds."""
        self._listed_seeds = addresses
        if self.protocol is not None:
            self.protocol.update_addresses(self._seeds(), self._address_overrides(), soon=False)
            self.transport.wake()

    # State.

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that the sockets are bound to."""
        return self.transport.address

    @property
    def stopped(self) -> bool:
        """Whether this member left, or a later process of the same name replaced it."""
        return self.transport.is_stopped

    @property
    def view(self) -> MembershipView:
        """The current view."""
        assert self.protocol is not None
        return self.protocol.view(self.clock())

    def status(self) -> dict[str, Any]:
        """Returns the status as plain data, for the admin API. Times are in ms before now."""
        assert self.protocol is not None
        status = membership_status(self.protocol, self.view, self.stopped, self.clock())
        status["counts"] = {**self.protocol.counts, **self.counts}
        status["history"] = list(self.history)
        return status

    # Internals.

    def _create_protocol(self) -> SwimProtocol:
        startup.check_settings(self.config)
        gateway = self.config.gateway
        known = self._load_cache()
        local = LocalMember(
            name=gateway.name,
            address=self._settings.advertise or format_address(*self.address),
            zone=gateway.zone,
            index=gateway.index,
            generation=startup.new_generation(gateway.name, self.address, known),
            gateway_count=gateway.gateways,
            seeds=self._seeds(),
            address_overrides=tuple(self._address_overrides().items()),
        )
        seed = time.monotonic_ns() ^ gateway.seed
        return SwimProtocol(local, startup.swim_config(self._settings), seed, self.clock())

    def _load_cache(self) -> member_cache.KnownMembers | None:
        """Reads the member cache, and uses its addresses as seeds."""
        if not self._settings.keep:
            return None
        known, problem = member_cache.load(Path(self._settings.keep))
        if problem:
            self._log.warning("membership_cache_invalid", reason=problem)
        if known is not None:
            name = self.config.gateway.name
            self._cached_seeds = tuple(member.address for member in known.members if member.name != name)
        return known

    def _address_overrides(self) -> dict[str, str]:
        return {name: format_listen(address) for name, address in self.config.peers}

    def _seeds(self) -> tuple[str, ...]:
        """Returns all seeds without duplicates: from the settings, the peers, the member cache and a list service."""
        configured = [*map(format_listen, self._settings.seeds), *self._address_overrides().values()]
        return tuple(dict.fromkeys([*configured, *self._cached_seeds, *self._listed_seeds]))

    async def _run_turn(self, protocol: SwimProtocol) -> None:
        now = self.clock()
        events = self.transport.take_events()
        self._execute(protocol.handle(now, events))
        wait_ms = max(MIN_TURN_MS, protocol.next_turn_ms - self.clock())
        with anyio.move_on_after(wait_ms / 1000):
            await self.transport.wait_for_event()

    def _answer_state_exchange(self, event: MessageReceived) -> SwimMessage | None:
        assert self.protocol is not None
        actions = self.protocol.handle(self.clock(), [event])
        self._execute(actions)
        replies = [action.message for action in actions if isinstance(action, ReplyToStateExchange)]
        return replies[0] if replies else None

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendDatagram):
                self.transport.send(action)
            elif isinstance(action, StartStateExchange):
                self.transport.start_state_exchange(action)
            elif isinstance(action, ReportEvent):
                self._report(action)
            elif isinstance(action, StopMembership):
                self._log.error("membership_stopped", reason=action.reason)
                self.transport.is_stopped = True

    def _report(self, event: ReportEvent) -> None:
        entry: dict[str, object] = {
            "unix_ms": round(time.time() * 1000),
            "code": event.code,
            "member": event.member,
        }
        if event.text:
            entry["text"] = event.text
        self.history.append(entry)
        self._log.info(log_event(event.code, event.member), member=event.member, text=event.text)

    async def _reload_keys(self) -> None:
        while True:
            await anyio.sleep(KEY_RELOAD_SECONDS)
            self.keys.reload()

    async def _write_cache(self) -> None:
        written: member_cache.KnownMembers | None = None
        while True:
            known = self._known_members()
            if known != written:
                try:
                    await anyio.to_thread.run_sync(member_cache.save, Path(self._settings.keep), known)
                    written = known
                except OSError as error:
                    self._log.warning(
                        "membership_cache_write_failed", error=f"{error.strerror}; see fleet, keep"
                    )
            await anyio.sleep(CACHE_WRITE_SECONDS)

    def _known_members(self) -> member_cache.KnownMembers:
        assert self.protocol is not None
        members = [
            member_cache.KnownMember(member.name, member.address)
            for member in self.view.members
            if member.state != "left"
        ]
        return member_cache.KnownMembers(self.config.gateway.name, self.protocol.generation, members)
