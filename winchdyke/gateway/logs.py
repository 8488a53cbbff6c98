"""Structured logging with structlog: JSON lines, or coloured lines for a terminal."""

from __future__ import annotations

import logging
import sys

import msgspec
import structlog

access_log_enabled = True


def configure(form: str, access: bool = True) -> None:
    """Configure logging to standard error.

    Args:
        form: ``json``, ``console`` or ``none``.
        access: Whether the access log is written.
    """
    global access_log_enabled
    access_log_enabled = access and form != "none"
    if form == "none":
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
            cache_logger_on_first_use=True,
        )
    elif form == "console":
        _configure_console()
    else:
        _configure_json()


def _configure_console() -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def _configure_json() -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt=None, utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode_line),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.BytesLoggerFactory(sys.stderr.buffer),
        cache_logger_on_first_use=True,
    )


def _encode_line(line: object, **_: object) -> bytes:
    return msgspec.json.encode(line)
