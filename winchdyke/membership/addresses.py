"""Formatting and parsing of ``HOST:PORT`` addresses, with brackets around IPv6 hosts."""

from __future__ import annotations

from winchdyke.config.model import Listen


def format_address(host: object, port: object) -> str:
    """Returns ``HOST:PORT``, or ``[HOST]:PORT`` for an IPv6 address."""
    return f"[{host}]:{port}" if ":" in str(host) else f"{host}:{port}"


def format_listen(listen: Listen) -> str:
    """Returns the ``HOST:PORT`` of a listen setting."""
    return format_address(listen.host, listen.port)


def split_address(address: str) -> tuple[str, str]:
    """Returns the host, without brackets, and the port of a ``HOST:PORT``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), port
