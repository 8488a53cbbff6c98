"""What a gateway is told by its environment: four variables and a configuration file, read into one checked value."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from winchdyke import interface as api
from winchdyke.settings import settings_of

Address = tuple[str, int]
REPORTS_IN_RESPONSES = "answers"


class ConfigurationError(Exception):
    """The environment or the file can't be used; says what is wrong, where, and what to do."""


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """What the machine allows the gateway's processes."""

    cores: float
    memory_mb: float
    max_descriptors: int


@dataclass(frozen=True, slots=True)
class Environment:
    """One checked value of all that a gateway is told."""

    name: str
    listen_address: Address
    discovery_address: Address
    config_path: Path
    seed: int
    limits: MachineLimits
    settings: api.Settings
    cached_endpoint_list: dict[str, Any]
    store_idle_timeout_ms: float
    load_report_fields: tuple[str, ...]


def parse_address(text: str, where: str) -> Address:
    """HOST:PORT, checked."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{where} is {text!r}: give HOST:PORT")
    return host, int(port)


def _object(of: Mapping[str, Any], key: str, where: str) -> dict[str, Any]:
    value = {} if of.get(key) is None else of[key]
    if not isinstance(value, dict):
        raise ConfigurationError(f"{where}: {key!r} is {type(value).__name__}: give an object")
    return value


def _number(of: Mapping[str, Any], key: str, usual: float, where: str) -> float:
    value = usual if of.get(key) is None else of[key]
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
        raise ConfigurationError(f"{where}: {key!r} is {value!r}: give a number above 0")
    return float(value)


def read_environment(variables: Mapping[str, str]) -> Environment:
    """The environment as it is now. EnvironmentFault where it can't be used."""
    if not variables.get("NODE_CONFIG"):
        raise ConfigurationError("NODE_CONFIG is not set: give the path of the gateway's configuration file")
    path = Path(variables["NODE_CONFIG"])
    try:
        info = json.loads(path.read_bytes())
    except OSError as error:
        raise ConfigurationError(
            f"{path}: {error.strerror}: NODE_CONFIG must name a file that can be read"
        ) from error
    except ValueError as error:
        raise ConfigurationError(f"{path} is no JSON: {error}") from error
    if not isinstance(info, dict):
        raise ConfigurationError(f"{path}: the file holds {type(info).__name__}: give an object")
    where, settings, limits = (
        str(path),
        _object(info, "settings", str(path)),
        _object(info, "limits", str(path)),
    )
    allow, reporting = _object(settings, "policy_limits", where), _object(settings, "reporting", where)
    try:
        told = settings_of(settings)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(f"{where}: 'settings' can't be used: {error!r}") from error
    seed = str(info.get("seed", "0"))
    try:
        number = int(seed, 16)
    except ValueError as error:
        raise ConfigurationError(f"{where}: 'seed' is {seed!r}: give hex digits") from error
    # A name or address in the file is newer than the variable, which stays as it was at the start.
    return Environment(
        name=str(info.get("name") or variables.get("NODE_NAME", "")),
        listen_address=parse_address(
            str(info.get("listen") or variables.get("NODE_LISTEN", "")), "the address to listen at"
        ),
        discovery_address=parse_address(
            str(info.get("discovery") or variables.get("NODE_DISCOVERY", "")), "discovery's address"
        ),
        config_path=path,
        seed=number,
        limits=MachineLimits(
            _number(limits, "cores", 1.0, where),
            _number(limits, "memory_mb", 2048.0, where),
            int(_number(limits, "sockets", 1024, where)),
        ),
        settings=told,
        cached_endpoint_list=_object(info, "known", where),
        store_idle_timeout_ms=_number(allow, "conn_idle_ms", 30000.0, where),
        load_report_fields=tuple(reporting.get("fields", ()))
        if reporting.get("how") == REPORTS_IN_RESPONSES
        else (),
    )
