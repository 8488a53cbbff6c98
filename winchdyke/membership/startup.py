"""Startup of a gateway's membership: checks of settings, the protocol's parameters, and the generation."""

from __future__ import annotations

import re
import time

from winchdyke.config.model import Config, Fleet
from winchdyke.membership import datagrams
from winchdyke.membership.errors import MembershipError
from winchdyke.membership.member_cache import KnownMembers
from winchdyke.membership.swim_config import SwimConfig
from winchdyke.membership.swim_context import GENERATION_STEP

MAX_INDEX = 65535
MIN_PAUSE_MS = 50.0


def check_settings(config: Config) -> None:
    """Raises MembershipError if other gateways would reject the record of this one."""
    gateway = config.gateway
    advertise = config.fleet.advertise
    texts = {
        "gateway, name": gateway.name,
        "gateway, zone": gateway.zone,
        "fleet, advertise": advertise,
    }
    for key, text in texts.items():
        if len(text.encode()) > datagrams.MAX_NAME_BYTES:
            raise MembershipError(
                f"{key} is {text!r}: other gateways accept at most {datagrams.MAX_NAME_BYTES} bytes; shorten it"
            )
    if advertise and not re.fullmatch(r".+:[0-9]{1,5}", advertise):
        raise MembershipError(f"fleet, advertise is {advertise!r}: give HOST:PORT")
    if not 0 <= gateway.index <= MAX_INDEX:
        raise MembershipError(f"gateway, index is {gateway.index}: other gateways accept 0 to {MAX_INDEX}")


def swim_config(settings: Fleet) -> SwimConfig:
    """Returns the protocol's parameters."""
    return SwimConfig(
        probe_interval_ms=settings.interval,
        probe_timeout_ms=settings.timeout,
        state_exchange_interval_ms=settings.exchange,
        departed_retention_ms=settings.forget,
        min_reconnect_backoff_ms=settings.interval,
        max_reconnect_backoff_ms=10 * settings.interval,
        min_pause_ms=max(MIN_PAUSE_MS, settings.interval / 4),
    )


def new_generation(name: str, address: tuple[str, int], known: KnownMembers | None) -> int:
    """Returns a generation later than every known one of this name: Unix ms with random low bits."""
    generation = int(time.time() * 1000) * GENERATION_STEP
    if known is not None and known.local_name == name:
        generation = max(generation, (known.generation // GENERATION_STEP + 1) * GENERATION_STEP)
    low_bits = hash((address, time.monotonic_ns())) & (GENERATION_STEP - 1)
    return generation | low_bits
