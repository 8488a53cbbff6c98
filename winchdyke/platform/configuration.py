"""The environment of a gateway: four variables and a configuration file, read into one checked value."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from winchdyke import interface as api
from winchdyke.settings import settings_of

Address = tuple[str, int]  # host and port, as sockets take it
MAX_PORT = 65535
REPORTS_IN_RESPONSES = "answers"  # the settings' word
DEFAULT_CORES = 1.0
DEFAULT_MEMORY_MB = 2048.0
DEFAULT_DESCRIPTORS = 1024
DEFAULT_STORE_IDLE_TIMEOUT_MS = 30_000.0


class ConfigurationError(Exception):
    """The environment or the file can't be used; says what is wrong, where, and what to do."""


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """What the machine allows the gateway's process; memory in MiB."""

    cores: float
    memory_mb: float
    max_descriptors: int


@dataclass(frozen=True, slots=True)
class Environment:
    """All that a gateway is started with. ``cached_endpoint_list`` is decoded JSON, empty where there is none."""

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
    """The address of HOST:PORT. ConfigurationError where it is none."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(f"{where} is {text!r}: give HOST:PORT")
    return host, int(port)


def read_environment(variables: Mapping[str, str]) -> Environment:
    """The environment as it is now. ConfigurationError where it can't be used."""
    if not variables.get("NODE_CONFIG"):
        raise ConfigurationError("NODE_CONFIG is not set: give the path of the gateway's configuration file")
    path = Path(variables["NODE_CONFIG"])
    where = str(path)
    info = _read_file(path)
    settings = _object(info, "settings", where)
    limits = _object(info, "limits", where)
    policy_limits = _object(settings, "policy_limits", where)
    reporting = _object(settings, "reporting", where)
    parsed_settings = _parse_settings(settings, where)
    seed = _parse_seed(info, where)
    # A name or address in the file is newer than the variable, which stays as it was at the start.
    return Environment(
        name=_text(info, "name", variables, "NODE_NAME"),
        listen_address=parse_address(
            _text(info, "listen", variables, "NODE_LISTEN"), "the address to listen at"
        ),
        discovery_address=parse_address(
            _text(info, "discovery", variables, "NODE_DISCOVERY"), "discovery's address"
        ),
        config_path=path,
        seed=seed,
        limits=_parse_limits(limits, where),
        settings=parsed_settings,
        cached_endpoint_list=_object(info, "known", where),
        store_idle_timeout_ms=_number(policy_limits, "conn_idle_ms", DEFAULT_STORE_IDLE_TIMEOUT_MS, where),
        load_report_fields=_parse_load_report_fields(reporting),
    )


def _read_file(path: Path) -> dict[str, Any]:
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
    return info


def _object(parent: Mapping[str, Any], key: str, where: str) -> dict[str, Any]:
    """An object under a key; empty where there is none, or null."""
    value = {} if parent.get(key) is None else parent[key]
    if not isinstance(value, dict):
        raise ConfigurationError(f"{where}: {key!r} is {type(value).__name__}: give an object")
    return value


def _number(parent: Mapping[str, Any], key: str, default: float, where: str) -> float:
    """A number above 0 under a key; the default where there is none, or null."""
    value = default if parent.get(key) is None else parent[key]
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
        raise ConfigurationError(f"{where}: {key!r} is {value!r}: give a number above 0")
    return float(value)


def _text(info: Mapping[str, Any], key: str, variables: Mapping[str, str], variable: str) -> str:
    return str(info.get(key) or variables.get(variable, ""))


def _parse_settings(settings: dict[str, Any], where: str) -> api.Settings:
    try:
        return settings_of(settings)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(f"{where}: 'settings' can't be used: {error!r}") from error


def _parse_seed(info: Mapping[str, Any], where: str) -> int:
    seed = str(info.get("seed", "0"))
    try:
        return int(seed, 16)
    except ValueError as error:
        raise ConfigurationError(f"{where}: 'seed' is {seed!r}: give hex digits") from error


def _parse_limits(limits: Mapping[str, Any], where: str) -> MachineLimits:
    return MachineLimits(
        cores=_number(limits, "cores", DEFAULT_CORES, where),
        memory_mb=_number(limits, "memory_mb", DEFAULT_MEMORY_MB, where),
        max_descriptors=int(_number(limits, "sockets", DEFAULT_DESCRIPTORS, where)),
    )


def _parse_load_report_fields(reporting: Mapping[str, Any]) -> tuple[str, ...]:
    """The fields of load reports that responses carry; none where reports come another way."""
    if reporting.get("how") != REPORTS_IN_RESPONSES:
        return ()
    return tuple(reporting.get("fields", ()))
