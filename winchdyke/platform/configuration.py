"""A gateway's configuration: four environment variables and a JSON file, validated as one ``Environment``."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from winchdyke import interface as api
from winchdyke.settings import settings_of

Address = tuple[str, int]  # host and port, as the socket module takes it
MAX_PORT = 65535
REPORTS_IN_RESPONSES = "answers"  # value of reporting.how if stores send load reports in their responses
DEFAULT_CORES = 1.0
DEFAULT_MEMORY_MB = 2048.0
DEFAULT_DESCRIPTORS = 1024
DEFAULT_STORE_IDLE_TIMEOUT_MS = 30_000.0


class ConfigurationError(Exception):
    """The environment or the configuration file is invalid; the message says how to fix it."""


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Resource limits of the gateway's process; memory in MiB."""

    cores: float
    memory_mb: float
    max_descriptors: int


@dataclass(frozen=True, slots=True)
class Environment:
    """The parameters of a gateway. ``cached_endpoint_list`` is decoded JSON, empty if there is no list."""

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
    """Parse HOST:PORT. Raises ConfigurationError, with ``where`` as the setting's name, if it is invalid."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(f"{where} is {text!r}: give HOST:PORT")
    return host, int(port)


def read_environment(variables: Mapping[str, str]) -> Environment:
    """Read the environment and the configuration file. Raises ConfigurationError if either is invalid."""
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
    # The file takes precedence: it may have changed since the process started, the variables can't.
    return Environment(
        name=_text(info, "name", variables, "NODE_NAME"),
        listen_address=parse_address(_text(info, "listen", variables, "NODE_LISTEN"), "the listen address"),
        discovery_address=parse_address(
            _text(info, "discovery", variables, "NODE_DISCOVERY"), "the discovery address"
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
        raise ConfigurationError(f"{path} is not valid JSON: {error}") from error
    if not isinstance(info, dict):
        raise ConfigurationError(f"{path}: the file contains {type(info).__name__}: give an object")
    return info


def _object(parent: Mapping[str, Any], key: str, where: str) -> dict[str, Any]:
    """Return the object under a key, or an empty one if the key is missing or null."""
    value = {} if parent.get(key) is None else parent[key]
    if not isinstance(value, dict):
        raise ConfigurationError(f"{where}: {key!r} is {type(value).__name__}: give an object")
    return value


def _number(parent: Mapping[str, Any], key: str, default: float, where: str) -> float:
    """Return the number above 0 under a key, or the default if the key is missing or null."""
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
        raise ConfigurationError(f"{where}: 'settings' is invalid: {error!r}") from error


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
    """Return the fields of the load reports in stores' responses; none if stores report in another way."""
    if reporting.get("how") != REPORTS_IN_RESPONSES:
        return ()
    return tuple(reporting.get("fields", ()))
