"""Structured logging with structlog: JSON lines, or coloured lines for people."""

from __future__ import annotations

import logging
import sys

import msgspec
import structlog

access_lines = True


def set_up(form: str, access: bool = True) -> None:
    """``json``, ``console`` or ``none``; all lines go to standard error. ``access``: whether each request has one."""
    global access_lines
    access_lines = access and form != "none"
    if form == "none":
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
            cache_logger_on_first_use=True,
        )
        return
    shared: list[structlog.typing.Processor] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso" if form == "console" else None, utc=True),
        structlog.processors.format_exc_info,
    ]
    if form == "console":
        shared[2:] = []
        structlog.configure(
            processors=[*shared, structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())],
            wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
            logger_factory=structlog.PrintLoggerFactory(sys.stderr),
            cache_logger_on_first_use=True,
        )
        return
    structlog.configure(
        processors=[
            *shared,
            structlog.processors.JSONRenderer(serializer=lambda line, **_: msgspec.json.encode(line)),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.BytesLoggerFactory(sys.stderr.buffer),
        cache_logger_on_first_use=True,
    )
