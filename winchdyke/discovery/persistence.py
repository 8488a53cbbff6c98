"""Writes the endpoint cache and the status history of a running gateway; disk errors are logged and never fatal."""

from __future__ import annotations

import time
from collections.abc import Collection
from pathlib import Path

import anyio.to_thread
import structlog
from msgspec.structs import replace

from winchdyke.discovery import cache, history
from winchdyke.discovery.records import NEVER_MS, CachedEndpoint

MIN_SAVE_INTERVAL_SECONDS = 1.0
CONFIRMATION_SAVE_INTERVAL_SECONDS = 60.0  # interval between saves if only times of confirmation changed


class ViewPersistence:
    """Saves one gateway's endpoint view to a directory; does nothing without one."""

    def __init__(self, directory: Path | None, gateway: str) -> None:
        self._directory = directory
        self._gateway = gateway
        self._log = structlog.get_logger("discovery")
        self._saved_key: frozenset[tuple[str, int, str, str]] = frozenset()
        self._saved_at_ms = NEVER_MS
        self._last_error = ""

    def load(self) -> cache.CachedEndpointList | None:
        """Creates the directory if needed, and reads the cache; problems are logged."""
        if self._directory is None:
            return None
        try:
            self._directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        except OSError as error:
            reason = f"{self._directory}: {error.strerror}; the endpoint list is not cached"
            self._log.warning("endpoint_cache_unavailable", reason=reason)
            self._directory = None
            return None
        loaded = cache.load(self._directory)
        for warning in loaded.warnings:
            self._log.warning("cached_endpoints_invalid", reason=warning)
        if loaded.cached is not None:
            age_s = max(0.0, time.time() - loaded.cached.saved_unix_ms / 1000)
            self._log.info(
                "cached_endpoints_loaded", endpoints=len(loaded.cached.endpoints), age_s=round(age_s)
            )
        return loaded.cached

    async def save_if_due(self, endpoints: Collection[CachedEndpoint], now_ms: float) -> None:
        """Saves the view if it changed and the minimum interval since the last save has passed."""
        if self._directory is None or not endpoints:
            return
        since_save_ms = now_ms - self._saved_at_ms
        if since_save_ms < MIN_SAVE_INTERVAL_SECONDS * 1000:
            return
        key = cache.membership_key(endpoints)
        changed = key != self._saved_key
        if not changed and since_save_ms < CONFIRMATION_SAVE_INTERVAL_SECONDS * 1000:
            return
        copies = [replace(endpoint) for endpoint in endpoints]  # the view may change while the thread writes
        cached = cache.CachedEndpointList(time.time() * 1000, self._gateway, copies)
        rotate = changed and bool(self._saved_key)
        self._saved_at_ms = now_ms
        try:
            await anyio.to_thread.run_sync(cache.save, self._directory, cached, rotate)
        except OSError as error:
            self._log_write_error(error)
            return
        self._saved_key = key
        self._last_error = ""

    def append_history(self, changes: list[history.StatusChange]) -> None:
        """Appends status changes to the history."""
        if self._directory is None or not changes:
            return
        try:
            history.append(self._directory, changes)
        except OSError as error:
            self._log_write_error(error)

    def _log_write_error(self, error: OSError) -> None:
        """Logs an error once, not at every attempt to save."""
        text = error.strerror or str(error)
        if text == self._last_error:
            return
        self._last_error = text
        reason = f"{self._directory}: {text}; the cached endpoint list is out of date"
        self._log.warning("endpoint_cache_write_failed", reason=reason)
